//! What one gateway is sent, and when.
//!
//! Small parcels go along with signs of life. A large one is sent to a gateway in its turn, unless
//! another that has it can pass it on sooner.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::{Notify, mpsc};

use super::Shared;
use super::cursor::{Cursor, Lacked, Loan, Piece};
use super::fan_out::Neighbour;
use super::loads::Loads;
use super::message::{Elsewhere, FromMember, HallNews, Subscription, Update};
use super::metrics::BlobDelivery;
use super::pacer::Turn;
use crate::clock::Instant;
use crate::control::member::Published;
use crate::link::{FrameSender, LinkError, encode};
use crate::parcel::ParcelId;
use crate::rollout::RolloutNews;
use crate::sync::lock;

/// Between two signs of life to a gateway while nothing is in flight.
const SIGN_OF_LIFE: Duration = Duration::from_millis(400);
/// Shortest time between two words with small parcels to one gateway: changes that come in quick
/// succession share a frame. With 60 gateways on 6 Mbit/s, ten frames of 300 B a second and gateway
/// fill the part for small parcels.
const SMALL_APART: Duration = Duration::from_millis(100);
/// What a gateway tells of a parcel.
pub(super) enum Word {
    /// It has the parcel.
    Has(ParcelId),
    /// It could not fetch the parcel.
    Lacks(ParcelId),
}

/// A turn to send a large parcel that is waited for.
type WaitingTurn<'a> = Pin<Box<dyn Future<Output = Turn<'a>> + Send + 'a>>;

/// One gateway's connection, as far as it is sent to.
pub(super) struct Push<'a> {
    shared: &'a Shared,
    gateway: String,
    /// Whether it is sent neither configurations nor targets.
    looks: bool,
    /// The gateway as others see it, if it passes parcels on.
    neighbour: Option<Neighbour>,
    cursor: Cursor,
    sender: FrameSender,
    /// When the gateway must hear that this member lives.
    sign_at: tokio::time::Instant,
    /// When it may be sent small parcels again.
    small_at: tokio::time::Instant,
    turn: Option<WaitingTurn<'a>>,
    poison_turn: Option<WaitingTurn<'a>>,
}

impl<'a> Push<'a> {
    pub(super) fn new(
        shared: &'a Shared,
        subscription: &Subscription,
        sender: FrameSender,
    ) -> Self {
        let data_hall = subscription.data_hall.clone();
        let neighbour = subscription.passes_on_at.map(|addr| Neighbour { addr, data_hall });
        let now = tokio::time::Instant::now();
        Push {
            shared,
            gateway: subscription.gateway.clone(),
            looks: subscription.looks,
            neighbour,
            cursor: Cursor::at(subscription),
            sender,
            sign_at: now,
            small_at: now,
            turn: None,
            poison_turn: None,
        }
    }

    /// Sends until the connection ends.
    pub(super) async fn run(&mut self, mut words: mpsc::Receiver<Word>) -> Result<(), LinkError> {
        let mut published = self.shared.member.published();
        let mut poison = self.shared.poison_updates.subscribe();
        loop {
            let known_poison = *poison.borrow_and_update();
            let lacked = self.lacked_now(&published.borrow_and_update())?;
            if self.lacks_evacuations() || self.lacks_rollouts() {
                self.tell_sign().await?;
                continue;
            }
            let has_news = lacked.later || !lacked.small.is_empty() || self.lacks_signs();
            let now = tokio::time::Instant::now();
            if has_news && now >= self.small_at {
                self.tell_small().await?;
                continue;
            }
            if let Some(large) = &lacked.large
                && let Some(neighbour) = self.find_neighbour(large)
            {
                self.tell_neighbour(large, neighbour).await?;
                continue;
            }
            if now >= self.sign_at {
                self.tell_sign().await?;
            }
            let wake_at = if has_news { self.small_at } else { self.sign_at };
            let room = self.room(&lacked);
            self.await_turn(lacked.large.is_some());
            self.await_poison_turn(self.cursor.poison < known_poison);
            tokio::select! {
                changed = published.changed() => changed.map_err(|_| LinkError::Closed)?,
                changed = poison.changed() => changed.map_err(|_| LinkError::Closed)?,
                word = words.recv() => self.hear(word.ok_or(LinkError::Closed)?),
                turn = granted(&mut self.turn) => self.tell_large(turn).await?,
                turn = granted(&mut self.poison_turn) => self.tell_poison(turn).await?,
                () = room.notified() => {}
                () = tokio::time::sleep_until(wake_at) => {}
            }
        }
    }

    /// What wakes this when another gateway can pass on what this one lacks.
    fn room(&self, lacked: &Lacked) -> Arc<Notify> {
        match (&lacked.large, &self.neighbour) {
            (Some(large), Some(_)) => lock(&self.shared.fan_out).room(large.parcel.id()),
            _ => Arc::default(),
        }
    }

    /// Queues for a turn to send a large parcel, or leaves the queue.
    fn await_turn(&mut self, wanted: bool) {
        let pacer = &self.shared.large_pacer;
        match wanted {
            true if self.turn.is_none() => self.turn = Some(Box::pin(pacer.turn())),
            true => {}
            false => self.turn = None,
        }
    }

    /// Queues for a turn to tell of requests under which targets ended, which nothing else has to wait for.
    fn await_poison_turn(&mut self, wanted: bool) {
        if wanted && self.poison_turn.is_none() {
            self.poison_turn = Some(Box::pin(self.shared.poison_pacer.turn()));
        }
    }

    /// Tells what the gateway does not know of requests under which targets ended.
    async fn tell_poison(&mut self, turn: Turn<'a>) -> Result<(), LinkError> {
        self.poison_turn = None;
        let now = self.shared.now();
        let (poison, told) = lock(&self.shared.poison).news_for_gateways(now, self.cursor.poison);
        self.cursor.poison = told;
        let frame = encode(&FromMember::Update(Box::new(Update { poison, ..self.sign() })))?;
        turn.spend(frame.len());
        self.send_frame(frame).await
    }

    /// What the gateway lacks, if that may be sent: while targets start, changes come many times in the time between
    /// two words to a gateway, and each would be packed for nothing.
    fn lacked_now(&self, published: &Published) -> Result<Lacked, LinkError> {
        if self.looks {
            return Ok(Lacked::default());
        }
        let starts = self.cursor.version == 0 || self.cursor.directory == 0;
        let waits = self.turn.is_some();
        if starts || waits || tokio::time::Instant::now() >= self.small_at {
            return self.lacked(published);
        }
        let newer = published.version() > self.cursor.version
            || published.directory.revision() > self.cursor.directory;
        Ok(Lacked { later: newer, ..Lacked::default() })
    }

    fn lacked(&self, published: &Published) -> Result<Lacked, LinkError> {
        let shared = self.shared;
        let mut archive = lock(&shared.archive);
        let newest = published.document.as_ref();
        let document =
            newest.map(|newest| archive.pack(newest, self.cursor.version)).transpose()?;
        let (known, directory) = (self.cursor.directory, &published.directory);
        let targets = lock(&shared.deltas).pack(shared.now(), directory, known)?;
        Ok(self.cursor.sort(document.flatten(), targets))
    }

    /// Whether the gateway does not know where members are, or whether this one hears a leader.
    fn lacks_signs(&self) -> bool {
        let published = self.shared.member.published();
        let members = member_addrs(&published.borrow());
        members != self.cursor.members || self.fresh() != self.cursor.fresh
    }

    /// Whether a data hall had an order that the gateway does not know. Word of that waits for no turn.
    fn lacks_evacuations(&self) -> bool {
        let newest = self.shared.member.published().borrow().evacuations.revision();
        self.cursor.evacuations.is_none_or(|known| known < newest)
    }

    /// Orders about data halls, if the gateway lacks any.
    fn next_halls(&mut self) -> Option<HallNews> {
        if !self.lacks_evacuations() {
            return None;
        }
        let news = self.shared.evacuations_update();
        self.cursor.evacuations = Some(news.revision);
        Some(news)
    }

    /// Whether a roll-out changed and the gateway does not know. Word of that waits for no turn either.
    fn lacks_rollouts(&self) -> bool {
        let newest = self.shared.member.published().borrow().rollouts.revision();
        self.cursor.rollouts.is_none_or(|known| known < newest)
    }

    /// Roll-outs, if the gateway lacks any.
    fn next_rollouts(&mut self) -> Option<RolloutNews> {
        if !self.lacks_rollouts() {
            return None;
        }
        let news = self.shared.rollouts_update();
        self.cursor.rollouts = Some(news.revision);
        Some(news)
    }

    fn fresh(&self) -> bool {
        self.shared.member.standing().fresh(Instant::now())
    }

    /// A gateway that can pass on the parcel now; its place is taken.
    fn find_neighbour(&self, large: &Piece) -> Option<SocketAddr> {
        let to = self.neighbour.as_ref()?;
        lock(&self.shared.fan_out).lend(large.parcel.id(), to)
    }

    /// Tells the gateway to fetch a parcel from another.
    async fn tell_neighbour(&mut self, large: &Piece, at: SocketAddr) -> Result<(), LinkError> {
        let parcel = large.parcel.id();
        self.cursor.loan = Some(Loan { parcel, from: at, brings: large.brings });
        self.shared.metrics.count_large_blob(BlobDelivery::FromPeer);
        let elsewhere = Some(Elsewhere { parcel, at });
        let update = Update { elsewhere, ..self.sign() };
        self.send(update).await
    }

    /// Sends the large parcel that the gateway lacks.
    async fn tell_large(&mut self, turn: Turn<'a>) -> Result<(), LinkError> {
        self.turn = None;
        let Some(large) = self.lacked(&self.shared.published())?.large else {
            return Ok(());
        };
        self.cursor.advance(large.brings);
        self.shared.metrics.count_large_blob(BlobDelivery::Sent);
        turn.spend(large.parcel.bytes().len());
        let parcels = vec![large.parcel.bytes().clone()];
        let update = Update { parcels, ..self.sign() };
        self.send(update).await
    }

    /// Sends all that is small and the gateway lacks, in its turn.
    async fn tell_small(&mut self) -> Result<(), LinkError> {
        let turn = self.shared.small_pacer.turn().await;
        let published = self.shared.published();
        let small = if self.looks { Vec::new() } else { self.lacked(&published)?.small };
        for piece in &small {
            self.cursor.advance(piece.brings);
        }
        let parcels = small.into_iter().map(|piece| piece.parcel.bytes().clone()).collect();
        let addrs = member_addrs(&published);
        let members = (addrs != self.cursor.members).then(|| addrs.clone());
        self.cursor.members = addrs;
        let update = Update { parcels, members, ..self.sign() };
        self.cursor.fresh = update.fresh;
        let frame = encode(&FromMember::Update(Box::new(update)))?;
        turn.spend(frame.len());
        self.small_at = tokio::time::Instant::now() + SMALL_APART;
        self.send_frame(frame).await
    }

    /// Tells that this member lives, and what is in flight when it is time for that.
    async fn tell_sign(&mut self) -> Result<(), LinkError> {
        let update = self.sign();
        self.send(update).await
    }

    async fn send(&mut self, update: Update) -> Result<(), LinkError> {
        self.send_frame(encode(&FromMember::Update(Box::new(update)))?).await
    }

    async fn send_frame(&mut self, frame: bytes::Bytes) -> Result<(), LinkError> {
        let loads = self.shared.loads_interval();
        let pause = if self.cursor.idle { SIGN_OF_LIFE } else { loads.min(SIGN_OF_LIFE) };
        self.sender.send_encoded(frame).await?;
        self.sign_at = tokio::time::Instant::now() + pause;
        Ok(())
    }

    fn sign(&mut self) -> Update {
        let now = self.shared.now();
        let gateways = self.shared.gateways_alive();
        let loads = self.next_loads(now);
        let version = self.shared.member.published().borrow().version();
        let (halls, rollouts) = (self.next_halls(), self.next_rollouts());
        let slack = self.shared.loads_interval() / 4;
        let evidence = loads.is_some().then(|| lock(&self.shared.evidence).total(now, slack));
        let keepers = match loads {
            Some(_) => {
                lock(&self.shared.prefix_holders).next_for_gateway(now, &mut self.cursor.keepers)
            }
            None => Vec::new(),
        };
        let mixes = loads.as_ref().map(|_| lock(&self.shared.rollouts).mixes());
        let mixes = mixes.unwrap_or_default();
        let fresh = self.fresh();
        let rest = Update { keepers, mixes, ..Update::default() };
        Update { fresh, version, halls, rollouts, gateways, loads, evidence, ..rest }
    }

    /// What is in flight at the targets, when it is time to tell.
    fn next_loads(&mut self, now: Duration) -> Option<Loads> {
        if now < self.cursor.loads_at {
            return None;
        }
        self.cursor.loads_at = now + self.shared.loads_interval();
        let longest = self.shared.loads_ttl();
        let slack = self.shared.loads_interval() / 4;
        let loads = lock(&self.shared.load_totals).total(now, longest, slack);
        self.cursor.idle = loads.is_empty();
        Some(loads)
    }

    /// Takes note of what the gateway tells of a parcel.
    fn hear(&mut self, word: Word) {
        let shared = self.shared;
        let mut fan_out = lock(&shared.fan_out);
        let (parcel, has) = match word {
            Word::Has(parcel) => (parcel, true),
            Word::Lacks(parcel) => (parcel, false),
        };
        if let Some(loan) = self.cursor.loan.take_if(|loan| loan.parcel == parcel) {
            if has {
                self.cursor.advance(loan.brings);
                fan_out.passed_on(parcel, loan.from);
            } else {
                fan_out.failed(parcel, loan.from);
                shared.metrics.count_large_blob(BlobDelivery::PeerFailed);
                info!(shared.log, "parcel not passed on"; "event" => "not_passed_on",
                    "from" => %loan.from, "to" => &self.gateway, "brings" => ?loan.brings);
            }
        }
        if let Some(neighbour) = self.neighbour.as_ref().filter(|_| has) {
            fan_out.hold(parcel, neighbour);
        }
    }

    /// The connection has ended: the gateway passes nothing on, and fetches nothing.
    pub(super) fn close(&mut self) {
        let mut fan_out = lock(&self.shared.fan_out);
        if let Some(loan) = self.cursor.loan.take() {
            fan_out.passed_on(loan.parcel, loan.from);
        }
        if let Some(neighbour) = &self.neighbour {
            fan_out.forget(neighbour.addr);
        }
    }
}

/// The turn that is waited for, if any is.
async fn granted<'a>(turn: &mut Option<WaitingTurn<'a>>) -> Turn<'a> {
    match turn {
        Some(turn) => turn.await,
        None => std::future::pending().await,
    }
}

fn member_addrs(published: &Published) -> Vec<SocketAddr> {
    published.members.0.iter().map(|member| member.addr).collect()
}
