//! Keeps this gateway subscribed to one of the members, from which it receives its updates, and decides when to
//! subscribe to another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{error, info, warn};

use super::Gateway;
use super::bootstrap::{self, Subscribed};
use super::disconnect::Disconnect;
use super::failback::{Failback, FailbackEvent};
use super::mechanism::Mechanism;
use super::member_order::MemberOrder;
use super::update_receiver::{FetchResult, UpdateReceiver};
use crate::clock::{Instant, SuspendDetector};
use crate::group::loads::own_loads_interval;
use crate::group::message::{FromMember, Subscription, ToMember, Update};
use crate::group::prefix_holders::ReadPosition;
use crate::group::stream_origins::MAX_PER_GATEWAY_REPORT;
use crate::level::Level;
use crate::link::{FrameReceiver, FrameSender, LinkError, LinkTimeouts};
use crate::sync::{lock, read};

/// After this time without data from the member, the gateway subscribes to another one.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// After the member's updates have reported no contact with a leader for this time, the gateway subscribes to another
/// one.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for the first answer of any known member at the start. After it, all known members are asked again, which
/// may be others by then.
const RACE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before the next member after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeouts of connections to members.
const TIMEOUTS: LinkTimeouts = LinkTimeouts {
    connect: Duration::from_millis(200),
    unacknowledged: Duration::from_millis(1_000),
};

/// Subscribes to members, one after the other, until the process ends.
pub(super) async fn run(gateway: Arc<Gateway>) {
    let seeds = lock(&gateway.seeds).clone();
    let Some(order) = MemberOrder::new(&gateway.settings.host, seeds) else {
        error!(gateway.log, "the settings name no members to subscribe to"; "event" => "no_members");
        return;
    };
    let mut subscriber = Subscriber {
        order,
        updates: UpdateReceiver::new(gateway.clone()),
        failback: Failback::new(gateway.settings.source),
        unreachable: false,
        reported_idle: false,
        suspensions: SuspendDetector::start(),
        last_data: LastData { at: Instant::now(), ran: gateway.run_clock.ran() },
        poison_reported: 0,
        restarts_reported: 0,
        streams_reported: ReadPosition::default(),
        streams_sent: ReadPosition::default(),
        gateway,
    };
    loop {
        let (member, reason) = match subscriber.updates.version() {
            0 if subscriber.gateway.uses(Mechanism::Race) => subscriber.follow_first().await,
            _ => subscriber.follow_current().await,
        };
        subscriber.note_disconnected(member, &reason);
        subscriber.set_members(subscriber.order.from_current());
        match reason {
            Disconnect::PreferredMember(earlier) => subscriber.order.select(earlier),
            // Subscribes to the same member again: a new connection carries only current data.
            Disconnect::Suspended(_) => {}
            _ => {
                subscriber.order.select_next();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// How long a subscription is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Until {
    /// Until the member is unresponsive or has no contact with a leader.
    Lost,
    /// Until the gateway has received its first configuration.
    Configured,
}

/// What happens during a subscription.
enum Event {
    /// The member sent an update.
    Update(Box<Update>),
    /// A fetch from another gateway succeeded or failed.
    Fetch(FetchResult),
    /// A check for an earlier member is due, or found one.
    Failback(FailbackEvent),
    /// This host resumed after a suspension of this length.
    Resumed(Duration),
    /// It is time to report the requests in flight.
    LoadsDue,
    /// A target crashed under a request, or a suspected request completed without a crash.
    Poison,
    /// A target may have restarted.
    RestartSuspected,
    /// A client resumes a stream whose origin is not known here.
    OriginsWanted,
    /// A stream began while several versions serve.
    StreamBegun,
}

/// When the member last sent data.
#[derive(Clone, Copy, Debug)]
struct LastData {
    /// By the clock.
    at: Instant,
    /// By the run time of this process.
    ran: Duration,
}

struct Subscriber {
    gateway: Arc<Gateway>,
    /// Members that other members have announced, and those of the settings.
    order: MemberOrder,
    updates: UpdateReceiver,
    failback: Failback,
    /// Whether the loss of all members has been logged, and contact not been restored since.
    unreachable: bool,
    /// Whether the last load report said that nothing is in flight here.
    reported_idle: bool,
    suspensions: SuspendDetector,
    last_data: LastData,
    /// Change number up to which poison requests seen here have been reported to the member.
    poison_reported: u64,
    /// Change number up to which suspected restarts seen here have been reported to the member.
    restarts_reported: u64,
    /// How far the streams begun here have been reported to the member with the loads.
    streams_reported: ReadPosition,
    /// How far they have been sent to the member without delay.
    streams_sent: ReadPosition,
}

impl Subscriber {
    /// Subscribes to the current member of the order; returns it, and why the subscription ended.
    async fn follow_current(&mut self) -> (SocketAddr, Disconnect) {
        let member = self.order.current();
        let subscription = self.subscription();
        let opened =
            bootstrap::open(self.gateway.settings.source, member, &subscription, TIMEOUTS).await;
        match opened {
            Ok((sender, receiver)) => {
                let subscribed = Subscribed { member, sender, receiver, first: None };
                (member, self.run_until_disconnect(subscribed, Until::Lost).await)
            }
            Err(error) => (member, Disconnect::Link(error)),
        }
    }

    /// Takes the first configuration from whichever member sends one, and then subscribes to the current member of the
    /// order.
    ///
    /// When many gateways start together, most get the first answer from the same member, the one that is up or leads
    /// before the others. If all stayed subscribed to it, its link would carry every later change to all of them.
    async fn follow_first(&mut self) -> (SocketAddr, Disconnect) {
        if let Err(error) = self.discover_members().await {
            return (self.order.current(), Disconnect::Link(error));
        }
        let members = self.order.from_current();
        let subscription = self.subscription();
        let racing =
            bootstrap::subscribe_to_first(self.gateway.settings.source, &members, &subscription);
        let Ok(subscribed) = tokio::time::timeout(RACE_TIMEOUT, racing).await else {
            return (members[0], Disconnect::Link(LinkError::Timeout));
        };
        let member = subscribed.member;
        if member == members[0] {
            return (member, self.run_until_disconnect(subscribed, Until::Lost).await);
        }
        match self.run_until_disconnect(subscribed, Until::Configured).await {
            Disconnect::ConfigurationReceived => self.follow_current().await,
            reason => (member, reason),
        }
    }

    /// Asks the known members for the addresses of all members. A gateway that starts knows only the few in its
    /// settings, and their links would have to carry the first target lists of all gateways.
    async fn discover_members(&mut self) -> Result<(), LinkError> {
        let (known, subscription) = (self.order.from_current(), self.query_subscription());
        let racing =
            bootstrap::discover_members(self.gateway.settings.source, &known, &subscription);
        let members = tokio::time::timeout(RACE_TIMEOUT, racing).await;
        let members = members.map_err(|_| LinkError::Timeout)?;
        self.gateway.member_contact.send_replace(true);
        self.set_members(members);
        self.order.select_first();
        Ok(())
    }

    fn subscription(&self) -> Subscription {
        Subscription {
            gateway: self.gateway.settings.host.clone(),
            supported_level: Level::NEWEST,
            version: self.updates.version(),
            directory: self.updates.directory(),
            evacuations: read(&self.gateway.targets).evacuations_revision(),
            rollouts: read(&self.gateway.targets).rollouts_revision(),
            data_hall: self.gateway.settings.data_hall.clone(),
            status_only: false,
            serves_blobs_at: self.gateway.blob_addr,
            relays: true,
        }
    }

    /// A subscription that only asks for member addresses and contact with a leader; no blobs are sent for it, and this
    /// gateway serves none to others through it.
    fn query_subscription(&self) -> Subscription {
        Subscription {
            status_only: true,
            serves_blobs_at: None,
            relays: false,
            ..self.subscription()
        }
    }

    /// Handles a subscription until it ends; returns why it ended.
    async fn run_until_disconnect(&mut self, subscribed: Subscribed, until: Until) -> Disconnect {
        let ended = self.handle_events(subscribed, until).await;
        self.gateway.streams_told.send_replace(None);
        ended.unwrap_or_else(Disconnect::Link)
    }

    /// Handles the events of a subscription, until the member is unresponsive, has no contact with a leader, or `until`
    /// is reached.
    async fn handle_events(
        &mut self,
        subscribed: Subscribed,
        until: Until,
    ) -> Result<Disconnect, LinkError> {
        let Subscribed { member, mut sender, mut receiver, first } = subscribed;
        info!(self.gateway.log, "subscribed to a member"; "event" => "member_followed",
            "member" => %member, "until" => ?until, "version" => self.gateway.version());
        self.updates.abort_fetches();
        self.failback.restart();
        self.suspensions = SuspendDetector::start();
        // The member may just have started, with no reports at all.
        self.poison_reported = 0;
        self.restarts_reported = 0;
        self.streams_reported = ReadPosition::default();
        // Those that began before are in the next report of loads.
        self.streams_sent = lock(&self.gateway.streams).end();
        self.gateway.streams_told.send_replace(Some(self.streams_sent));
        self.report_restarts(&mut sender).await?;
        self.report_poison(&mut sender).await?;
        let mut fresh_at = self.gateway.run_clock.ran();
        let mut loads_at = tokio::time::Instant::now() + self.loads_interval();
        if let Some(first) = first {
            self.apply_update(member, first, &mut sender).await?;
        }
        while until == Until::Lost || self.updates.version() == 0 {
            match self.next_event(&mut receiver, loads_at).await? {
                Event::Update(update) => {
                    if self.apply_update(member, *update, &mut sender).await? {
                        fresh_at = self.gateway.run_clock.ran();
                    } else if self.gateway.run_clock.ran() >= fresh_at + LEADERLESS_TIMEOUT {
                        return Ok(Disconnect::Leaderless);
                    }
                }
                Event::Resumed(suspended) => return Ok(Disconnect::Suspended(suspended)),
                Event::Fetch(result) => self.updates.apply_fetch(result, &mut sender).await?,
                Event::LoadsDue => {
                    loads_at = tokio::time::Instant::now() + self.loads_interval();
                    self.report_loads(&mut sender).await?;
                }
                Event::Poison => self.report_poison(&mut sender).await?,
                Event::RestartSuspected => self.report_restarts(&mut sender).await?,
                Event::OriginsWanted => self.ask_for_origins(&mut sender).await?,
                Event::StreamBegun => self.send_streams_begun(&mut sender).await?,
                Event::Failback(FailbackEvent::CheckDue) => {
                    self.failback.start_check(&self.order, self.query_subscription());
                }
                // Switches only when no data is in transit, which would be lost with the connection.
                Event::Failback(FailbackEvent::Available(earlier))
                    if self.updates.is_complete() =>
                {
                    return Ok(Disconnect::PreferredMember(earlier));
                }
                Event::Failback(FailbackEvent::Available(_)) => {}
            }
        }
        Ok(Disconnect::ConfigurationReceived)
    }

    /// Waits for the next event of a subscription.
    ///
    /// # Errors
    /// [`LinkError`] when the connection fails, or no data has arrived for [`MEMBER_TIMEOUT`].
    async fn next_event(
        &mut self,
        receiver: &mut FrameReceiver,
        loads_at: tokio::time::Instant,
    ) -> Result<Event, LinkError> {
        loop {
            let remaining = MEMBER_TIMEOUT.saturating_sub(self.idle_time(receiver));
            let event = tokio::select! {
                biased;
                received = receiver.receive() => match received? {
                    FromMember::Update(update) => Event::Update(update),
                    FromMember::Reply { .. } => return Err(LinkError::Garbled),
                },
                () = self.gateway.restart_suspected.notified() => Event::RestartSuspected,
                () = self.gateway.poison_changed.notified() => Event::Poison,
                () = self.gateway.stream_asked_for.notified() => Event::OriginsWanted,
                () = self.gateway.stream_begun.notified() => Event::StreamBegun,
                event = self.failback.next() => Event::Failback(event),
                result = self.updates.next_fetch() => Event::Fetch(result),
                () = tokio::time::sleep_until(loads_at) => Event::LoadsDue,
                () = self.gateway.run_clock.sleep(remaining) => {
                    // Parts of a long frame may have arrived meanwhile.
                    if self.idle_time(receiver) >= MEMBER_TIMEOUT {
                        return Err(LinkError::Timeout);
                    }
                    continue;
                }
            };
            // After a suspension the event is dropped, whichever it is: its data may be from before.
            return Ok(self.suspensions.check().map_or(event, Event::Resumed));
        }
    }

    /// Run time of this process since the member last sent data.
    fn idle_time(&mut self, receiver: &FrameReceiver) -> Duration {
        let (at, ran) = (receiver.last_read_at(), self.gateway.run_clock.ran());
        if at != self.last_data.at {
            self.last_data = LastData { at, ran };
        }
        ran.saturating_sub(self.last_data.ran)
    }

    /// Applies an update, and returns whether the member has contact with a leader.
    async fn apply_update(
        &mut self,
        member: SocketAddr,
        update: Update,
        sender: &mut FrameSender,
    ) -> Result<bool, LinkError> {
        let fresh = update.fresh;
        self.gateway.member_contact.send_replace(true);
        if fresh {
            *lock(&self.gateway.fresh_at) = Some(Instant::now());
            self.note_reconnected(member);
        }
        if let Some(members) = &update.members {
            self.set_members(members.clone());
        }
        self.updates.apply(member, update, sender).await?;
        Ok(fresh)
    }

    /// Interval between load reports.
    fn loads_interval(&self) -> Duration {
        own_loads_interval(self.gateway.gateways())
    }

    /// Reports to the member what this gateway has in flight and how attempts ended. Sends nothing if there is nothing
    /// to report and the last report said so.
    async fn report_loads(&mut self, sender: &mut FrameSender) -> Result<(), LinkError> {
        let (loads, outcomes) = (self.gateway.report_loads(), self.gateway.take_outcomes());
        let prefix_holders = lock(&self.gateway.prefix_holders).take_pending();
        let tallies = self.gateway.take_tallies();
        let now = self.gateway.now();
        let streams = lock(&self.gateway.streams).next_local(
            now,
            &mut self.streams_reported,
            MAX_PER_GATEWAY_REPORT,
        );
        let brittle = lock(&self.gateway.brittle_services).reports(now);
        if !brittle.is_empty() {
            let frame = ToMember::Brittle(brittle);
            send_in_time(sender, &frame).await?;
        }
        let no_events = outcomes.is_empty()
            && prefix_holders.is_empty()
            && tallies.is_empty()
            && streams.is_empty();
        if loads.is_empty() && no_events && self.reported_idle {
            return Ok(());
        }
        self.reported_idle = loads.is_empty();
        let frame = ToMember::Loads { loads, outcomes, prefix_holders, tallies, streams };
        send_in_time(sender, &frame).await
    }

    /// Sends the member the restarts that are suspected here, without delay: clients resume their streams at once.
    async fn report_restarts(&mut self, sender: &mut FrameSender) -> Result<(), LinkError> {
        loop {
            let now = self.gateway.now();
            let (restarts, upto) =
                lock(&self.gateway.restarts).local_changes_after(now, self.restarts_reported);
            self.restarts_reported = upto;
            if restarts.is_empty() {
                return Ok(());
            }
            let frame = ToMember::SuspectedRestarts(restarts);
            send_in_time(sender, &frame).await?;
        }
    }

    /// Sends the member the pending reports on poison requests seen here. They are small, and sent without delay.
    async fn report_poison(&mut self, sender: &mut FrameSender) -> Result<(), LinkError> {
        loop {
            let (reports, upto) = self.gateway.poison_reports_since(self.poison_reported);
            if reports.is_empty() {
                return Ok(());
            }
            let frame = ToMember::Poison(reports);
            send_in_time(sender, &frame).await?;
            self.poison_reported = upto;
        }
    }

    /// Asks the member which versions began the streams that clients resume here.
    async fn ask_for_origins(&mut self, sender: &mut FrameSender) -> Result<(), LinkError> {
        let streams = self.gateway.take_streams_asked_for();
        if streams.is_empty() {
            return Ok(());
        }
        let frame = ToMember::FindStreams(streams);
        send_in_time(sender, &frame).await
    }

    /// Sends the member the origins of the streams that have just begun here.
    async fn send_streams_begun(&mut self, sender: &mut FrameSender) -> Result<(), LinkError> {
        loop {
            let now = self.gateway.now();
            let streams = lock(&self.gateway.streams).next_local(
                now,
                &mut self.streams_sent,
                MAX_PER_GATEWAY_REPORT,
            );
            if streams.is_empty() {
                self.gateway.streams_told.send_replace(Some(self.streams_sent));
                return Ok(());
            }
            send_in_time(sender, &ToMember::Streams(streams)).await?;
        }
    }

    /// Replaces the known members with these and those of the settings.
    fn set_members(&mut self, mut members: Vec<SocketAddr>) {
        members.extend(lock(&self.gateway.seeds).iter());
        self.order.set_members(members);
    }

    /// Logs that contact with the members is restored.
    fn note_reconnected(&mut self, member: SocketAddr) {
        if std::mem::replace(&mut self.unreachable, false) {
            info!(self.gateway.log, "contact with the members restored"; "event" => "members_found",
                "member" => %member);
        }
    }

    /// Logs why a subscription ended, and once that no member is reachable.
    fn note_disconnected(&mut self, member: SocketAddr, reason: &Disconnect) {
        self.gateway.metrics.member_disconnected(reason.label());
        if !self.unreachable {
            info!(self.gateway.log, "subscription to a member ended"; "event" => "member_left",
                "member" => %member, "why" => %reason);
        }
        let stale =
            lock(&self.gateway.fresh_at).is_none_or(|at| at.elapsed() >= MEMBER_TIMEOUT * 2);
        if stale && !std::mem::replace(&mut self.unreachable, true) {
            warn!(self.gateway.log, "no contact with a member that has a leader";
                "event" => "members_lost",
                "member" => %member, "error" => %reason, "version" => self.gateway.version());
        }
    }
}

/// Sends a frame to the member.
///
/// # Errors
/// [`LinkError`] when the connection fails or does not take the frame within [`MEMBER_TIMEOUT`].
async fn send_in_time(sender: &mut FrameSender, frame: &ToMember) -> Result<(), LinkError> {
    let sending = sender.send(frame);
    tokio::time::timeout(MEMBER_TIMEOUT, sending).await.map_err(|_| LinkError::Timeout)?
}
