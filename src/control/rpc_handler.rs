//! Handlers of the RPC calls that a control member answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;
use serde_json::Value;
use sha2::{Digest, Sha256};
use slog::{Logger, info};
use subtle::ConstantTimeEq;

use super::member::Member;
use super::registry::Registry;
use crate::claims::{Claim, Release, Verdict};
use crate::jsonc;
use crate::platform::Platform;
use crate::raft::{
    BoxedDisk, Envelope, GroupId, Members, Replica, Standing, StoreId, Time, Timing,
};
use crate::rpc::{
    ControlClient, ControlError, ControlServer, Identity, MemberStatus, Newcomer, Status,
    SyncReply, SyncRequest, WaitReply, connect,
};
use crate::settings::{ControlSettings, Settings};
use crate::store::{Answer, Change, Command, Drain, Revision, Stored};
use crate::template::check_name;

/// Timeout for asking another member for its identity while a group is formed.
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time that a call may wait for a revision.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Timeout for reading the platform's list of targets.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two checks of the routers' revisions while a call waits for a revision.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Addresses of the members that sent messages, as they reported them. A blank member has no list of
/// members yet and needs these to reply.
pub(super) type AddressBook = Arc<Mutex<BTreeMap<StoreId, SocketAddr>>>;

/// State of the RPC handlers.
pub(super) struct RpcHandler {
    partner: String,
    key: String,
    addr: SocketAddr,
    settings: ControlSettings,
    member: Member,
    platform: Platform,
    registry: Mutex<Registry>,
    addresses: AddressBook,
    log: Logger,
}

impl RpcHandler {
    pub(super) fn new(
        settings: &Settings,
        control: &ControlSettings,
        member: Member,
        log: Logger,
    ) -> Self {
        RpcHandler {
            partner: settings.partner.clone(),
            key: settings.key.clone(),
            addr: control.advertised_addr().unwrap_or_else(unspecified),
            settings: control.clone(),
            member,
            platform: Platform::new(reqwest::Client::new(), &settings.platform_url),
            registry: Mutex::new(Registry::new(control.freshness_lease())),
            addresses: AddressBook::default(),
            log,
        }
    }

    pub(super) fn key(&self) -> &str {
        &self.key
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(super) fn member(&self) -> &Member {
        &self.member
    }

    pub(super) fn partner(&self) -> &str {
        &self.partner
    }

    pub(super) fn platform(&self) -> &Platform {
        &self.platform
    }

    pub(super) fn log(&self) -> &Logger {
        &self.log
    }

    pub(super) fn timing(&self) -> Timing {
        self.settings.timing()
    }

    /// Model loads per minute that the weight store allows.
    pub(super) fn loads_per_minute(&self) -> u32 {
        self.settings.loads_per_minute
    }

    /// Whether `revision` is in force at every router that may be admitting requests.
    pub(super) fn in_force(&self, now: Time, leading_since: Time, revision: Revision) -> bool {
        self.registry().in_force(now, leading_since, revision).in_force
    }

    /// Proposes a command that comes from the leader itself, not from an operator.
    pub(super) async fn propose_as_leader(&self, command: Command) -> Result<Answer, ControlError> {
        self.propose("leader", command).await
    }

    /// Addresses of the other members, from the settings.
    pub(super) fn other_members(&self) -> Vec<SocketAddr> {
        let other_members = self.settings.peers.iter().filter(|peer| **peer != self.addr);
        other_members.copied().collect()
    }

    fn check_key(&self, key: &str) -> Result<(), ControlError> {
        let same: bool = key.as_bytes().ct_eq(self.key.as_bytes()).into();
        same.then_some(()).ok_or(ControlError::Unauthorized)
    }

    /// Name of the operator who has `token`.
    fn operator(&self, token: &str) -> Result<String, ControlError> {
        let digest = hex(&Sha256::digest(token.as_bytes()));
        let holder = self.settings.operators.iter().find(|operator| {
            let expected = operator.token_sha256.to_ascii_lowercase();
            bool::from(expected.as_bytes().ct_eq(digest.as_bytes()))
        });
        let holder = holder.ok_or(ControlError::Unauthorized)?;
        Ok(holder.name.clone())
    }

    /// Runs `query` on the replica if this member leads and its lease is valid; fails otherwise.
    pub(super) async fn query_as_leader<T: Send + 'static>(
        &self,
        query: impl FnOnce(&Replica<BoxedDisk>, Time) -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        self.member
            .query(move |replica, now| {
                if replica.node().lease_valid(now) {
                    return Ok(query(replica, now));
                }
                Err(ControlError::NotLeader { leader: other_leader(replica) })
            })
            .await?
    }

    /// The address book, shared with the task that sends messages.
    pub(super) fn address_book(&self) -> AddressBook {
        self.addresses.clone()
    }

    fn addresses(&self) -> MutexGuard<'_, BTreeMap<StoreId, SocketAddr>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Identities of all members in the settings. Fails if one can't be reached or belongs to a group already.
    async fn blank_members(&self) -> Result<Members, ControlError> {
        let mut members = Vec::new();
        for peer in &self.settings.peers {
            let client = connect(*peer, IDENTIFY_TIMEOUT)?;
            let identity = client.identify(self.key.clone()).await;
            let identity = identity.map_err(|error| {
                ControlError::Form(format!("{peer} must be up: {}", ControlError::from(error)))
            })?;
            if identity.group != GroupId::default() {
                return Err(ControlError::Form(format!("{peer} belongs to a group already")));
            }
            members.push(crate::raft::Member {
                id: identity.store,
                addr: *peer,
                kind: Standing::Voter,
            });
        }
        Ok(Members(members))
    }

    /// Proposes a command for `operator` and logs the answer.
    async fn propose(&self, operator: &str, command: Command) -> Result<Answer, ControlError> {
        let answer = self.member.propose(command).await?;
        info!(
            self.log, "command answered";
            "event" => "command", "operator" => operator, "answer" => answer.label()
        );
        Ok(answer)
    }
}

/// Placeholder for a missing address; settings that passed the checks have one.
fn unspecified() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

/// Address of the leader if another member leads. Callers have found this member's own lease not valid, so
/// it is never named.
fn other_leader(replica: &Replica<BoxedDisk>) -> Option<SocketAddr> {
    let node = replica.node();
    let leader = node.leader().filter(|id| *id != node.id())?;
    node.members().get(leader).map(|member| member.addr)
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[expect(
    clippy::disallowed_methods,
    reason = "request keys contain the wall-clock time of their clients"
)]
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Lower-case hexadecimal text.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[async_trait]
impl ControlServer for Arc<RpcHandler> {
    async fn identify(&self, key: String) -> Result<Identity, ErrorObjectOwned> {
        self.check_key(&key)?;
        let identity = self.member.query(|replica, _| Identity {
            store: replica.node().id(),
            group: replica.node().hard().group,
        });
        Ok(identity.await?)
    }

    async fn deliver(
        &self,
        key: String,
        from: SocketAddr,
        messages: Vec<Envelope>,
    ) -> Result<(), ErrorObjectOwned> {
        self.check_key(&key)?;
        if let Some(message) = messages.first() {
            self.addresses().insert(message.from, from);
        }
        self.member.deliver(messages);
        Ok(())
    }

    async fn join(&self, key: String, newcomer: Newcomer) -> Result<(), ErrorObjectOwned> {
        self.check_key(&key)?;
        let admitted = self.member.query(move |replica, now| {
            replica.admit(now, newcomer.store, newcomer.addr);
        });
        Ok(admitted.await?)
    }

    async fn form(&self, token: String) -> Result<GroupId, ErrorObjectOwned> {
        let operator = self.operator(&token)?;
        let members = self.blank_members().await?;
        let group = GroupId(rand::random());
        self.member.form(group, members).await?;
        info!(self.log, "group formed"; "event" => "formed", "operator" => operator);
        Ok(group)
    }

    async fn sync(&self, key: String, request: SyncRequest) -> Result<SyncReply, ErrorObjectOwned> {
        self.check_key(&key)?;
        let known = request.known;
        let (now, group, revision) = self
            .query_as_leader(|replica, now| {
                (now, replica.node().hard().group, replica.store().revision())
            })
            .await?;
        // A router that has another group's configuration counts as having none.
        let applied = if request.group == group { known } else { 0 };
        let (wait_ms, routers_known) = (request.wait_ms, request.routers_known);
        self.registry().record(now, applied, request);
        if revision == applied {
            let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
            let mut changes = self.member.revision();
            let newer = changes.wait_for(|revision| *revision > applied);
            let _ = tokio::time::timeout(wait, newer).await;
        }
        let lease_ms = self.settings.freshness_lease_ms;
        let (now, since, mut reply) = self
            .query_as_leader(move |replica, now| {
                let node = replica.node();
                let (term, delta) = (node.hard().term, replica.store().since(applied));
                let reply = SyncReply { group, term, delta, routers: None, lease_ms };
                (now, node.leading_since().unwrap_or(now), reply)
            })
            .await?;
        let routers = self.registry().live(now, since);
        reply.routers = routers.filter(|routers| routers.digest() != routers_known);
        Ok(reply)
    }

    async fn claim(&self, key: String, mut claim: Claim) -> Result<Verdict, ErrorObjectOwned> {
        self.check_key(&key)?;
        claim.now_ms = unix_ms();
        match self.member.propose(Command::Claim(claim)).await? {
            Answer::Claim(verdict) => Ok(verdict),
            _ => Err(ControlError::Unknown.into()),
        }
    }

    async fn release(&self, key: String, release: Release) -> Result<(), ErrorObjectOwned> {
        self.check_key(&key)?;
        self.member.propose(Command::Release(release)).await?;
        Ok(())
    }

    async fn change(&self, token: String, change: Value) -> Result<Answer, ErrorObjectOwned> {
        let operator = self.operator(&token)?;
        let mut change: Change = jsonc::from_value(change).map_err(ControlError::Invalid)?;
        change.author = operator.clone();
        Ok(self.propose(&operator, Command::Change(Box::new(change))).await?)
    }

    async fn drain(&self, token: String, drain: Drain) -> Result<Answer, ErrorObjectOwned> {
        let operator = self.operator(&token)?;
        let mut faults = Vec::new();
        check_name(&mut faults, "name", &drain.name);
        if !faults.is_empty() {
            return Err(ControlError::Invalid(faults).into());
        }
        Ok(self.propose(&operator, Command::Drain(drain)).await?)
    }

    async fn templates(&self, token: String) -> Result<Vec<Stored>, ErrorObjectOwned> {
        self.operator(&token)?;
        let templates = self.query_as_leader(|replica, _| {
            let templates = replica.store().templates().values();
            templates.cloned().collect()
        });
        Ok(templates.await?)
    }

    async fn wait(
        &self,
        token: String,
        revision: Revision,
        timeout_ms: u64,
    ) -> Result<WaitReply, ErrorObjectOwned> {
        self.operator(&token)?;
        let timeout = Duration::from_millis(timeout_ms).min(MAX_WAIT);
        let started = tokio::time::Instant::now();
        loop {
            let (now, since) = self
                .query_as_leader(|replica, now| {
                    (now, replica.node().leading_since().unwrap_or(now))
                })
                .await?;
            let reply = self.registry().in_force(now, since, revision);
            if reply.in_force || started.elapsed() >= timeout {
                return Ok(reply);
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    async fn status(&self, token: String) -> Result<Status, ErrorObjectOwned> {
        self.operator(&token)?;
        let partner = self.partner.clone();
        let (now, mut status) = self
            .query_as_leader(move |replica, now| (now, status_of(partner, replica, now)))
            .await?;
        status.routers = self.registry().status(now);
        let list = self.platform.list(LIST_TIMEOUT).await;
        status.targets = list.ok().map(|list| list.listing.targets);
        Ok(status)
    }
}

/// Status of the group, without the routers and targets.
fn status_of(partner: String, replica: &Replica<BoxedDisk>, now: Time) -> Status {
    let node = replica.node();
    let members = node.members().0.iter().map(|member| {
        let (live, matched) = node.follower_progress(now, member.id);
        MemberStatus { member: *member, live, matched }
    });
    Status {
        partner,
        term: node.hard().term,
        leader: node.id(),
        revision: replica.store().revision(),
        commit: node.commit(),
        members: members.collect(),
        routers: Vec::new(),
        drains: replica.store().drains().clone(),
        moving: replica.store().moving().clone(),
        targets: None,
    }
}
