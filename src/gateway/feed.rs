//! Follows the members: which of them tells this gateway its news, and when it turns to another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{error, info, warn};

use super::Gateway;
use super::bootstrap::{self, Subscribed};
use super::disconnect::Disconnect;
use super::failback::{Failback, Look};
use super::mechanism::Mechanism;
use super::news::{Fetched, News};
use super::order::MemberOrder;
use crate::clock::{Instant, Suspensions};
use crate::group::loads::own_loads_interval;
use crate::group::message::{FromMember, Subscription, ToMember, Update};
use crate::level::Level;
use crate::link::{FrameReceiver, FrameSender, LinkError, LinkTiming};
use crate::sync::{lock, read};

/// Silence of a member after which another one is followed.
const SILENCE: Duration = Duration::from_millis(1_000);
/// How long a member that hears no leader is followed.
const LEADERLESS: Duration = Duration::from_millis(800);
/// Longest time in which the members that are asked at the start stay the same: others may have
/// been named since.
const LONGEST_RACE: Duration = Duration::from_secs(4);
/// Pause after a member could not be followed.
const PAUSE: Duration = Duration::from_millis(50);
/// How fast connections to members give up.
const TIMING: LinkTiming = LinkTiming {
    connect: Duration::from_millis(200),
    unacknowledged: Duration::from_millis(1_000),
};

/// Follows members for ever.
pub(super) async fn follow(gateway: Arc<Gateway>) {
    let seeds = lock(&gateway.seeds).clone();
    let Some(order) = MemberOrder::new(&gateway.settings.host, seeds) else {
        error!(gateway.log, "no members to follow"; "event" => "no_members");
        return;
    };
    let mut follower = Follower {
        order,
        news: News::new(gateway.clone()),
        failback: Failback::new(gateway.settings.source),
        lost: false,
        told_none: false,
        suspensions: Suspensions::watch(),
        heard: Heard { at: Instant::now(), ran: gateway.run_clock.ran() },
        poison_told: 0,
        gateway,
    };
    loop {
        let (member, left) = match follower.news.version() {
            0 if follower.gateway.uses(Mechanism::Race) => follower.follow_first_to_tell().await,
            _ => follower.follow_current().await,
        };
        follower.note_left(member, &left);
        follower.learn(follower.order.from_current());
        match left {
            Disconnect::PreferredMember(earlier) => follower.order.turn_to(earlier),
            // The same member tells all that is new, on a connection that holds nothing old.
            Disconnect::Suspended(_) => {}
            _ => {
                follower.order.turn_to_next();
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// For how long a member is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Until {
    /// Until it can't be heard, or hears no leader.
    Lost,
    /// Until there is a configuration.
    Configured,
}

/// What happens while a member is followed.
enum Event {
    /// The member told something.
    Told(Box<Update>),
    /// A parcel was fetched from another gateway, or not.
    Fetched(Fetched),
    /// A look for an earlier member.
    Look(Look),
    /// This host was suspended for so long, and woke.
    Woken(Duration),
    /// It is time to tell what is in flight.
    LoadsDue,
    /// A target ended under a request, or one that was suspected ended well.
    Poison,
}

/// When a member was last heard: by the clock, and by the time that this process had run.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    ran: Duration,
}

struct Follower {
    gateway: Arc<Gateway>,
    /// Members that have been told of, and those of the settings.
    order: MemberOrder,
    news: News,
    failback: Failback,
    /// Whether the members are out of reach, and that was logged.
    lost: bool,
    /// Whether the member knows that nothing is in flight here.
    told_none: bool,
    suspensions: Suspensions,
    /// When the member was last heard.
    heard: Heard,
    /// Up to which change the member knows under which requests targets ended here.
    poison_told: u64,
}

impl Follower {
    /// Follows the member that it is the turn of; tells which, and why no longer.
    async fn follow_current(&mut self) -> (SocketAddr, Disconnect) {
        let member = self.order.current();
        let subscription = self.subscription();
        let opened =
            bootstrap::open(self.gateway.settings.source, member, &subscription, TIMING).await;
        match opened {
            Ok((sender, receiver)) => {
                let subscribed = Subscribed { member, sender, receiver, first: None };
                (member, self.stay(subscribed, Until::Lost).await)
            }
            Err(error) => (member, Disconnect::Link(error)),
        }
    }

    /// Takes the first configuration from whichever member tells one, and then follows the member that
    /// it is the turn of.
    ///
    /// Most gateways of a start hear the same member first, the one that is up or leads before the
    /// others: if all stayed with it, its link would carry every later change to all of them.
    async fn follow_first_to_tell(&mut self) -> (SocketAddr, Disconnect) {
        if let Err(error) = self.find_members().await {
            return (self.order.current(), Disconnect::Link(error));
        }
        let members = self.order.from_current();
        let subscription = self.subscription();
        let racing =
            bootstrap::first_to_tell(self.gateway.settings.source, &members, &subscription);
        let Ok(subscribed) = tokio::time::timeout(LONGEST_RACE, racing).await else {
            return (members[0], Disconnect::Link(LinkError::Timeout));
        };
        let member = subscribed.member;
        if member == members[0] {
            return (member, self.stay(subscribed, Until::Lost).await);
        }
        match self.stay(subscribed, Until::Configured).await {
            Disconnect::ConfigurationReceived => self.follow_current().await,
            left => (member, left),
        }
    }

    /// Learns from whichever known member tells where all members are. A gateway that starts knows a few only, and the
    /// links of those would carry the first lists of all gateways.
    async fn find_members(&mut self) -> Result<(), LinkError> {
        let (known, subscription) = (self.order.from_current(), self.subscription_to_look());
        let naming = bootstrap::first_to_name(self.gateway.settings.source, &known, &subscription);
        let named = tokio::time::timeout(LONGEST_RACE, naming).await;
        let named = named.map_err(|_| LinkError::Timeout)?;
        self.gateway.member_contact.send_replace(true);
        self.learn(named);
        self.order.turn_to_first();
        Ok(())
    }

    fn subscription(&self) -> Subscription {
        Subscription {
            gateway: self.gateway.settings.host.clone(),
            knows: Level::NEWEST,
            version: self.news.version(),
            directory: self.news.directory(),
            evacuations: read(&self.gateway.targets).halls_revision(),
            rollouts: read(&self.gateway.targets).rollouts_revision(),
            data_hall: self.gateway.settings.data_hall.clone(),
            looks: false,
            passes_on_at: self.gateway.blob_addr,
        }
    }

    /// A subscription that only looks, and neither passes parcels on nor is given any to fetch.
    fn subscription_to_look(&self) -> Subscription {
        Subscription { looks: true, passes_on_at: None, ..self.subscription() }
    }

    /// Takes what a member tells; tells why no longer.
    async fn stay(&mut self, subscribed: Subscribed, until: Until) -> Disconnect {
        match self.take_news(subscribed, until).await {
            Ok(left) => left,
            Err(error) => Disconnect::Link(error),
        }
    }

    /// Takes what a member tells until it falls silent or hears no leader, or as long as is wanted.
    async fn take_news(
        &mut self,
        subscribed: Subscribed,
        until: Until,
    ) -> Result<Disconnect, LinkError> {
        let Subscribed { member, mut sender, mut receiver, first } = subscribed;
        info!(self.gateway.log, "member followed"; "event" => "member_followed",
            "member" => %member, "until" => ?until, "version" => self.gateway.version());
        self.news.forget_fetches();
        self.failback.start();
        self.suspensions = Suspensions::watch();
        // A member that has just started knows of nothing.
        self.poison_told = 0;
        self.tell_poison(&mut sender).await?;
        let mut fresh_at = self.gateway.run_clock.ran();
        let mut loads_at = tokio::time::Instant::now() + self.loads_interval();
        if let Some(first) = first {
            self.hear(member, first, &mut sender).await?;
        }
        while until == Until::Lost || self.news.version() == 0 {
            match self.next_event(&mut receiver, loads_at).await? {
                Event::Told(update) => {
                    if self.hear(member, *update, &mut sender).await? {
                        fresh_at = self.gateway.run_clock.ran();
                    } else if self.gateway.run_clock.ran() >= fresh_at + LEADERLESS {
                        return Ok(Disconnect::Leaderless);
                    }
                }
                Event::Woken(suspended) => return Ok(Disconnect::Suspended(suspended)),
                Event::Fetched(fetched) => self.news.take_fetched(fetched, &mut sender).await?,
                Event::LoadsDue => {
                    loads_at = tokio::time::Instant::now() + self.loads_interval();
                    self.tell_loads(&mut sender).await?;
                }
                Event::Poison => self.tell_poison(&mut sender).await?,
                Event::Look(Look::Due) => {
                    self.failback.look(&self.order, self.subscription_to_look());
                }
                // What is on its way would be lost with the connection.
                Event::Look(Look::Found(earlier)) if self.news.complete() => {
                    return Ok(Disconnect::PreferredMember(earlier));
                }
                Event::Look(Look::Found(_)) => {}
            }
        }
        Ok(Disconnect::ConfigurationReceived)
    }

    /// Waits for what happens next while a member is followed.
    ///
    /// # Errors
    /// [`LinkError`] when the connection fails, or nothing has come for too long.
    async fn next_event(
        &mut self,
        receiver: &mut FrameReceiver,
        loads_at: tokio::time::Instant,
    ) -> Result<Event, LinkError> {
        loop {
            let left = SILENCE.saturating_sub(self.silent_for(receiver));
            let event = tokio::select! {
                biased;
                received = receiver.receive() => match received? {
                    FromMember::Update(update) => Event::Told(update),
                    FromMember::Reply { .. } => return Err(LinkError::Garbled),
                },
                () = self.gateway.poison_changed.notified() => Event::Poison,
                look = self.failback.next() => Event::Look(look),
                fetched = self.news.fetched() => Event::Fetched(fetched),
                () = tokio::time::sleep_until(loads_at) => Event::LoadsDue,
                () = self.gateway.run_clock.run_for(left) => {
                    // A long frame may be on its way.
                    if self.silent_for(receiver) >= SILENCE {
                        return Err(LinkError::Timeout);
                    }
                    continue;
                }
            };
            // Whatever woke this first: what it brings may be from before.
            return Ok(self.suspensions.look().map_or(event, Event::Woken));
        }
    }

    /// For how long the member has said nothing while this process ran.
    fn silent_for(&mut self, receiver: &FrameReceiver) -> Duration {
        let (at, ran) = (receiver.heard_at(), self.gateway.run_clock.ran());
        if at != self.heard.at {
            self.heard = Heard { at, ran };
        }
        ran.saturating_sub(self.heard.ran)
    }

    /// Takes an update, and tells whether the member hears a leader.
    async fn hear(
        &mut self,
        member: SocketAddr,
        update: Update,
        sender: &mut FrameSender,
    ) -> Result<bool, LinkError> {
        let fresh = update.fresh;
        self.gateway.member_contact.send_replace(true);
        if fresh {
            *lock(&self.gateway.fresh_at) = Some(Instant::now());
            self.note_found(member);
        }
        if let Some(members) = &update.members {
            self.learn(members.clone());
        }
        self.news.take(member, update, sender).await?;
        Ok(fresh)
    }

    /// Time between two words about loads.
    fn loads_interval(&self) -> Duration {
        own_loads_interval(self.gateway.gateways())
    }

    /// Tells the member what this gateway has in flight, if that has changed or is not nothing.
    async fn tell_loads(&mut self, sender: &mut FrameSender) -> Result<(), LinkError> {
        let (loads, outcomes) = (self.gateway.tell_loads(), self.gateway.tell_outcomes());
        let keepers = lock(&self.gateway.prefix_holders).tell();
        let tallies = self.gateway.tell_tallies();
        let quiet = outcomes.is_empty() && keepers.is_empty() && tallies.is_empty();
        if loads.is_empty() && quiet && self.told_none {
            return Ok(());
        }
        self.told_none = loads.is_empty();
        let frame = ToMember::Loads { loads, outcomes, keepers, tallies };
        let sending = sender.send(&frame);
        tokio::time::timeout(SILENCE, sending).await.map_err(|_| LinkError::Timeout)?
    }

    /// Tells the member what it does not know yet of requests under which targets ended here. Such words are small,
    /// and wait for nothing.
    async fn tell_poison(&mut self, sender: &mut FrameSender) -> Result<(), LinkError> {
        loop {
            let (word, upto) = self.gateway.poison_news_since(self.poison_told);
            if word.is_empty() {
                return Ok(());
            }
            let frame = ToMember::Poison(word);
            let sending = sender.send(&frame);
            tokio::time::timeout(SILENCE, sending).await.map_err(|_| LinkError::Timeout)??;
            self.poison_told = upto;
        }
    }

    /// Remembers where members are, and keeps those of the settings.
    fn learn(&mut self, mut members: Vec<SocketAddr>) {
        members.extend(lock(&self.gateway.seeds).iter());
        self.order.learn(members);
    }

    fn note_found(&mut self, member: SocketAddr) {
        if std::mem::replace(&mut self.lost, false) {
            info!(self.gateway.log, "members in reach"; "event" => "members_found",
                "member" => %member);
        }
    }

    /// Logs why a member is followed no longer, and once that all are out of reach.
    fn note_left(&mut self, member: SocketAddr, why: &Disconnect) {
        self.gateway.metrics.left_member(why.label());
        if !self.lost {
            info!(self.gateway.log, "member left"; "event" => "member_left",
                "member" => %member, "why" => %why);
        }
        let long = lock(&self.gateway.fresh_at).is_none_or(|at| at.elapsed() >= SILENCE * 2);
        if long && !std::mem::replace(&mut self.lost, true) {
            warn!(self.gateway.log, "members out of reach"; "event" => "members_lost",
                "member" => %member, "error" => %why, "version" => self.gateway.version());
        }
    }
}
