//! A control group that forms itself and replaces lost voters. It holds whole configurations sent by
//! operators and a directory of targets that announce themselves.
//!
//! Members replicate their state with [`crate::raft`]. Any member accepts any call: it forwards changes
//! to the leader, and answers reads from its own store once that has everything that was acknowledged
//! before the call.

mod archive;
mod background;
mod batches;
pub mod brittle;
mod cursor;
pub mod deltas;
mod endpoints;
mod evacuation;
pub mod evidence;
pub mod fan_out;
mod feed;
mod frames;
pub mod heartbeats;
mod incoming;
pub mod listing;
mod liveness;
mod load_totals;
pub mod loads;
pub mod message;
mod metrics;
pub mod pacer;
mod peers;
mod poison;
mod poison_file;
pub mod prefix_holders;
mod presence;
pub mod propagation;
pub mod relay_peers;
pub mod restarts;
mod rollout;
pub mod settings;
pub mod stream_file;
pub mod stream_origins;
mod update_sender;
mod upgrade;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use prometheus::Histogram;
use slog::{Logger, info, o};
use tokio::sync::{Notify, oneshot, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::control::member::{Member, Published, Started};
use crate::dialect::SharedDialect;
use crate::level::{Level, Readiness};
use crate::poison::{PoisonTracker, Rule};
use crate::raft::{
    BoxedDisk, FolderDisk, GroupId, Members, Replica, RetryingDisk, Standing, StoreId, TailPolicy,
    TimedDisk, WalError, random_store_id,
};
use crate::run_clock::RunClock;
use crate::sampler::Sampler;
use crate::serving::buffers::ClientBuffers;
use crate::start::{StartError, listen_if_set, listen_on};
use crate::store::{Answer, Command};
use crate::sync::lock;

use self::archive::Archive;
use self::batches::Batches;
use self::brittle::BrittleServices;
use self::deltas::Deltas;
use self::evacuation::Withdrawals;
use self::evidence::EvidenceTotals;
use self::fan_out::FanOut;
use self::heartbeats::PendingReport;
use self::liveness::Liveness;
use self::load_totals::LoadTotals;
use self::message::{Call, Reply};
use self::metrics::MemberMetrics;
use self::pacer::Pacer;
use self::peers::Peers;
use self::prefix_holders::PrefixHolderLog;
use self::presence::Presence;
use self::propagation::Propagation;
use self::relay_peers::RelayPeers;
use self::restarts::SuspectedRestarts;
use self::rollout::RolloutTracker;
use self::settings::MemberSettings;
use self::stream_origins::StreamOrigins;
use self::upgrade::GatewaysBehind;

/// Timeout of one attempt to call the leader; after it, the leader is looked up again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);
/// Delay before the leader is looked up again.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// The reason why a member can't start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum GroupError {
    /// An address is missing or can't be bound, or the metrics can't be registered.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The data folder can't be opened.
    #[error("data_dir {path}: {source}")]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The log can't be read or written.
    #[error(transparent)]
    Wal(#[from] WalError),
}

/// The group can't be reached or has no leader. The outcome of the call is unknown: it may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the group has no leader within reach")]
pub struct Unavailable;

/// A running member.
pub struct GroupMember {
    failed: oneshot::Receiver<WalError>,
    shared: Arc<Shared>,
}

/// State shared by the tasks of a member.
pub(crate) struct Shared {
    settings: MemberSettings,
    /// Addresses at which members reach the seeds.
    seeds: Mutex<Vec<SocketAddr>>,
    /// Address at which other members reach this one.
    own_addr: SocketAddr,
    store: StoreId,
    member: Member,
    peers: Peers,
    dialect: SharedDialect,
    /// Addresses of stores, as the stores themselves reported them.
    store_addrs: Mutex<HashMap<StoreId, SocketAddr>>,
    presence: Mutex<Presence>,
    relay_peers: Mutex<RelayPeers>,
    /// Services whose targets say that they are brittle.
    brittle: Mutex<BrittleServices>,
    liveness: Mutex<Liveness>,
    archive: Mutex<Archive>,
    deltas: Mutex<Deltas>,
    fan_out: Mutex<FanOut>,
    /// Propagation of configurations to the gateways connected here.
    propagation: Mutex<Propagation>,
    /// Propagation of evacuation orders to the gateways connected here.
    orders_propagation: Mutex<Propagation>,
    withdrawals: Mutex<Withdrawals>,
    rollouts: Mutex<RolloutTracker>,
    /// Whether this process formed the group.
    formed_here: bool,
    /// The level that each member supports, as it reported.
    readiness: Mutex<Readiness>,
    /// Gateways connected here that support a lower level than this build.
    gateways_behind: Mutex<GatewaysBehind>,
    load_totals: Mutex<LoadTotals>,
    evidence: Mutex<EvidenceTotals>,
    prefix_holders: Mutex<PrefixHolderLog>,
    /// Versions that began the streams of all gateways.
    streams: Mutex<StreamOrigins>,
    /// Run time of this process when it first had contact with a leader.
    led_since: OnceLock<Duration>,
    /// Wakes the task that saves origins of streams.
    streams_recorded: Notify,
    /// Makes that task save them at once.
    streams_urgent: Notify,
    /// Targets whose heartbeats this member answered and has not yet reported to the leader.
    pending_report: Mutex<PendingReport>,
    batches: Batches,
    /// Limits the log lines about refused heartbeats.
    refused_lines: Mutex<Sampler>,
    /// Incarnations of targets that may have ended, as reported by all gateways.
    restarts: Mutex<SuspectedRestarts>,
    /// Number of the last change in `restarts`.
    restart_updates: watch::Sender<u64>,
    /// Requests under which targets crashed, as reported by all gateways.
    poison: Mutex<PoisonTracker>,
    /// Number of the last change in `poison` that gateways are to know.
    poison_updates: watch::Sender<u64>,
    /// Wakes the task that sends poison reports of the gateways here to the other members.
    poison_reported: Notify,
    /// Wakes the task that saves the blocked requests.
    poison_blocks_changed: Notify,
    /// Limits the rate of small blobs, which are sent along with keep-alives.
    small_pacer: Pacer,
    /// Limits the rate of large blobs, which gateways relay to their peers.
    large_pacer: Pacer,
    /// Limits the rate of poison reports to gateways.
    poison_pacer: Pacer,
    /// Connections of operators and targets.
    api_buffers: Arc<ClientBuffers>,
    /// Connections of members and gateways.
    peer_buffers: Arc<ClientBuffers>,
    metrics: MemberMetrics,
    started: Instant,
    /// Time during which this process ran, used for the timeouts of gateways and targets: pauses of this process must
    /// not make others look unresponsive.
    run_clock: Arc<RunClock>,
    log: Logger,
}

impl GroupMember {
    /// Recovers the member from its data folder, forms the group if this is the first start of a founder, and
    /// starts to listen.
    ///
    /// # Errors
    /// [`GroupError`] when a needed setting is missing, or when the data folder or an address can't be used.
    pub async fn start(
        settings: MemberSettings,
        dialect: SharedDialect,
        log: &Logger,
    ) -> Result<Self, GroupError> {
        let listen = settings.listen.ok_or(StartError::Missing { field: "listen" })?;
        let own_addr = settings.peer_addr().ok_or(StartError::Missing { field: "peer_port" })?;
        let log = log.new(o!("role" => "member"));
        let peer_listen = settings.peer_listen().unwrap_or(own_addr);
        let peer_listener = listen_on(peer_listen).await?;
        let api_listener = listen_on(listen).await?;
        let metrics_listener = listen_if_set(settings.metrics_listen).await?;
        let founders = founders(&settings);
        let founder =
            founders.0.iter().find(|member| member.addr == own_addr).map(|member| member.id);
        let metrics = MemberMetrics::new().map_err(StartError::from)?;
        let syncs = metrics.sync.clone();
        let Started { member, outbox, failed } = open(&settings, founder, syncs, &log)?;
        let identity =
            member.query(|replica, _| (replica.node().id(), replica.blank(), replica.log_format()));
        let (store, blank, log_format) = identity.await.unwrap_or((StoreId(0), false, 0));
        if blank && founder == Some(store) {
            let _ = member.form(group_id(&settings), founders).await;
        }
        info!(log, "member started"; "event" => "member_started",
            "version" => env!("CARGO_PKG_VERSION"), "store" => %store, "blank" => blank,
            "log_format" => log_format, "knows" => %Level::NEWEST,
            "founder" => founder.is_some(), "listen" => %listen, "peer" => %own_addr);
        let heartbeat = Duration::from_millis(settings.target_heartbeat_ms);
        let buffers =
            |port, bounds| ClientBuffers::new(port, bounds, metrics.connections_closed(port), &log);
        let api_buffers = buffers("calls", settings.api_bounds());
        let peer_buffers = buffers("peers", settings.peer_bounds());
        let shared = Arc::new(Shared {
            own_addr,
            store,
            member,
            peers: Peers::new(settings.source),
            dialect,
            store_addrs: Mutex::default(),
            presence: Mutex::default(),
            relay_peers: Mutex::default(),
            brittle: Mutex::default(),
            liveness: Mutex::new(Liveness::new(heartbeat)),
            archive: Mutex::default(),
            deltas: Mutex::default(),
            fan_out: Mutex::default(),
            propagation: Mutex::default(),
            orders_propagation: Mutex::default(),
            withdrawals: Mutex::default(),
            rollouts: Mutex::default(),
            formed_here: blank && founder == Some(store),
            readiness: Mutex::default(),
            gateways_behind: Mutex::default(),
            load_totals: Mutex::default(),
            evidence: Mutex::default(),
            prefix_holders: Mutex::default(),
            streams: Mutex::default(),
            led_since: OnceLock::new(),
            streams_recorded: Notify::new(),
            streams_urgent: Notify::new(),
            pending_report: Mutex::default(),
            batches: Batches::default(),
            refused_lines: Mutex::default(),
            restarts: Mutex::default(),
            restart_updates: watch::Sender::new(0),
            poison: Mutex::new(PoisonTracker::new(Rule::default(), None)),
            poison_updates: watch::Sender::new(0),
            poison_reported: Notify::new(),
            poison_blocks_changed: Notify::new(),
            small_pacer: Pacer::new(settings.link_mbps, pacer::SMALL_BLOBS_SHARE),
            large_pacer: Pacer::new(settings.link_mbps, pacer::LARGE_BLOBS_SHARE)
                .with_burst(pacer::LARGE_BLOBS_BURST),
            poison_pacer: Pacer::new(settings.link_mbps, pacer::POISON_SHARE)
                .with_burst(pacer::LARGE_BLOBS_BURST),
            api_buffers,
            peer_buffers,
            metrics,
            started: Instant::now(),
            run_clock: RunClock::start(&log),
            seeds: Mutex::new(settings.seed_peers()),
            settings,
            log,
        });
        tokio::spawn(incoming::listen(shared.clone(), peer_listener));
        tokio::spawn(endpoints::listen(shared.clone(), api_listener));
        tokio::spawn(background::send_raft_messages(shared.clone(), outbox));
        tokio::spawn(background::keep_joined(shared.clone()));
        tokio::spawn(background::send_presence(shared.clone()));
        tokio::spawn(background::send_loads(shared.clone()));
        poison_file::load(&shared);
        stream_file::load(&shared);
        tokio::spawn(stream_file::save(shared.clone()));
        tokio::spawn(poison::send_to_members(shared.clone()));
        tokio::spawn(poison_file::save_changes(shared.clone()));
        tokio::spawn(background::watch_targets(shared.clone()));
        tokio::spawn(rollout::watch(shared.clone()));
        tokio::spawn(upgrade::watch(shared.clone()));
        tokio::spawn(heartbeats::report(shared.clone()));
        batches::spawn_senders(&shared);
        tokio::spawn(background::follow_published(shared.clone()));
        if let Some(metrics_listener) = metrics_listener {
            tokio::spawn(metrics::serve(shared.clone(), metrics_listener));
        }
        Ok(GroupMember { failed, shared })
    }

    /// Applies changed settings. Only `seeds` takes effect without a restart.
    pub fn reload(&self, settings: &MemberSettings) {
        let (seeds, found) = (settings.seeds.clone(), settings.found);
        let restart_needed =
            MemberSettings { seeds, found, ..self.shared.settings.clone() } != *settings;
        *lock(&self.shared.seeds) = settings.seed_peers();
        info!(self.shared.log, "settings reloaded"; "event" => "settings_in_force",
            "seeds" => ?settings.seeds, "restart_needed" => restart_needed);
    }

    /// Waits until the member has to stop because its disk failed, and returns the error.
    pub async fn failed(&mut self) -> WalError {
        match (&mut self.failed).await {
            Ok(error) => error,
            Err(_) => std::future::pending().await,
        }
    }
}

/// Opens the disk in the data folder and starts the thread that runs the Raft replica.
fn open(
    settings: &MemberSettings,
    founder: Option<StoreId>,
    syncs: Histogram,
    log: &Logger,
) -> Result<Started, GroupError> {
    let folder = |source| GroupError::Folder { path: settings.data_dir.clone(), source };
    let disk = RetryingDisk::new(FolderDisk::open(&settings.data_dir).map_err(folder)?);
    let disk = TimedDisk::new(disk, syncs);
    let fresh = founder.unwrap_or_else(random_store_id);
    let started = Member::start(log, |now| {
        let mut replica = Replica::open_with(
            Box::new(disk) as BoxedDisk,
            TailPolicy::Unsynced,
            fresh,
            settings.timing(),
            settings.compact_after_entries,
            now,
            rand::random(),
        )?;
        replica.set_membership_rules(settings.membership_rules());
        Ok(replica)
    });
    Ok(started?)
}

/// The initial members: the seeds, with identities derived from their addresses, so that every
/// seed forms the same group without contact with the others. Empty unless `found` is set.
fn founders(settings: &MemberSettings) -> Members {
    if !settings.found {
        return Members::default();
    }
    let seeds = settings.seed_peers();
    let founder = |addr: SocketAddr| crate::raft::Member {
        id: StoreId(xxh3_64(format!("founder {addr}").as_bytes())),
        addr,
        kind: Standing::Voter,
    };
    let mut members: Vec<_> = seeds.into_iter().map(founder).collect();
    members.sort_by_key(|member| member.id);
    members.dedup();
    Members(members)
}

/// The identity of the group, derived from the addresses of the seeds.
fn group_id(settings: &MemberSettings) -> GroupId {
    let mut seeds = settings.seed_peers();
    seeds.sort_unstable();
    GroupId(xxh3_64(format!("group {seeds:?}").as_bytes()))
}

impl Shared {
    /// Monotonic time since the start.
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn published(&self) -> Published {
        self.member.published().borrow().clone()
    }

    /// Whether this member leads and it is certain that no other does.
    fn leads(&self) -> bool {
        let leadership = self.member.leadership();
        leadership.leads && leadership.fresh(Instant::now())
    }

    /// Addresses of the members of the group and of the seeds.
    fn known_members(&self) -> Vec<SocketAddr> {
        let mut addrs: Vec<SocketAddr> =
            self.published().members.0.iter().map(|member| member.addr).collect();
        addrs.extend(lock(&self.seeds).iter());
        addrs.sort_unstable();
        addrs.dedup();
        addrs
    }

    /// Calls the leader, which may be this member, until it answers or `answer_within_ms` has passed.
    ///
    /// Every call is safe to repeat, so a call whose reply is lost is sent again.
    async fn call_leader(&self, call: Call) -> Result<Reply, Unavailable> {
        let deadline = Instant::now() + Duration::from_millis(self.settings.answer_within_ms);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(Unavailable);
            }
            let leadership = self.member.leadership();
            let reply = if leadership.leads {
                tokio::time::timeout(remaining, self.execute(call.clone())).await.ok()
            } else if let Some(leader) = leadership.leader {
                self.peers.call(leader, call.clone(), remaining.min(ATTEMPT_TIMEOUT)).await.ok()
            } else {
                None
            };
            match reply {
                Some(Reply::NotLeader(_) | Reply::Unknown) | None => {}
                Some(reply) => return Ok(reply),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Executes a call as the leader.
    async fn execute(&self, call: Call) -> Reply {
        let leadership = self.member.leadership();
        if !leadership.leads {
            return Reply::NotLeader(leadership.leader);
        }
        match call {
            Call::Propose(command) => self.propose_here(command).await,
            Call::Announce(announcements) => self.announce_here(announcements).await,
            Call::ReportHeartbeats(targets) => self.record_report(&targets),
            Call::ReadIndex => self.read_index().await,
            Call::Join { store, supported_level, .. } if !self.may_join(store, supported_level) => {
                Reply::Unknown
            }
            Call::Join { store, addr, .. } => {
                lock(&self.store_addrs).insert(store, addr);
                let joined = self.member.query(move |replica, now| replica.join(now, store, addr));
                joined.await.map_or(Reply::Unknown, |()| Reply::Done)
            }
        }
    }

    /// Proposes a command as the leader, unless the level of the group does not allow it yet.
    async fn propose_here(&self, command: Command) -> Reply {
        let raises = matches!(command, Command::Raise(_));
        if !raises && (command.level() > self.level() || self.awaits_level()) {
            return Reply::Unknown;
        }
        let _commit = self.metrics.commit.start_timer();
        match self.member.propose(command).await {
            Ok(answer) => Reply::Answer(answer),
            Err(_) => Reply::Unknown,
        }
    }

    /// The commit index, if this member's lease as the leader is valid.
    async fn read_index(&self) -> Reply {
        let index = self.member.query(|replica, now| {
            let node = replica.node();
            node.lease_valid(now).then(|| node.commit())
        });
        match index.await {
            Ok(Some(index)) => Reply::ReadIndex(index),
            _ => Reply::Unknown,
        }
    }

    /// Has the leader commit a command, and returns the store's answer.
    async fn propose(&self, command: Command) -> Result<Answer, Unavailable> {
        match self.call_leader(Call::Propose(command)).await? {
            Reply::Answer(answer) => Ok(answer),
            _ => Err(Unavailable),
        }
    }

    /// The state of this member, once it has everything that was acknowledged before the call.
    async fn read(&self) -> Result<Published, Unavailable> {
        let Reply::ReadIndex(index) = self.call_leader(Call::ReadIndex).await? else {
            return Err(Unavailable);
        };
        let mut published = self.member.published();
        let wait = Duration::from_millis(self.settings.answer_within_ms);
        let applied = published.wait_for(|published| published.applied >= index);
        let applied = tokio::time::timeout(wait, applied).await;
        let applied = applied.map_err(|_| Unavailable)?.map_err(|_| Unavailable)?;
        Ok(applied.clone())
    }
}
