//! JSON-RPC interface of a control member, used by other members, routers and the operators' command line.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::claims::{Claim, Release, Verdict};
use crate::jsonc::Fault;
use crate::raft::{Envelope, GroupId, Member, StoreId, Term};
use crate::store::{Answer, Delta, Drain, Moving, Revision, Stored};
use crate::targets::Listed;

/// Maximum size of a call or answer; a snapshot of 1,000 large templates fits.
pub const MAX_CALL_BYTES: u32 = 256 * 1024 * 1024;

/// Identity of a member, which may not belong to a group yet.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Identity {
    /// Id of its store.
    pub store: StoreId,
    /// Group it belongs to; 0 if none yet.
    pub group: GroupId,
}

/// A member's request to join the group.
// Serde's errors, which callers see, name this type.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Newcomer {
    /// Id of its store.
    pub store: StoreId,
    /// Address of its RPC server.
    pub addr: SocketAddr,
}

/// A router's request for the configuration in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Host of the router.
    pub router: String,
    /// Address at which other routers reach it.
    pub addr: Option<SocketAddr>,
    /// Digest of the set of live routers that it knows, see [`LiveRouters::digest`]; 0 for none.
    pub routers_known: u64,
    /// Group whose configuration it has; 0 if none yet.
    pub group: GroupId,
    /// Revision of the configuration that it has in force.
    pub known: Revision,
    /// How long the member is to wait for a newer revision before it answers, in milliseconds.
    pub wait_ms: u64,
    /// The counts that the router reports.
    pub report: Report,
}

/// Counts that a router reports, since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of requests admitted.
    pub admitted: u64,
    /// Number of requests refused, by reason code.
    pub refused: BTreeMap<String, u64>,
}

/// Answer to a [`SyncRequest`]: the configuration in force, as guaranteed by the lease of the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// Group that answers.
    pub group: GroupId,
    /// Term of the leader that answers.
    pub term: Term,
    /// Difference from the configuration that the router has.
    pub delta: Delta,
    /// The live routers; `None` if the leader does not know them for certain or the router knows the same set.
    pub routers: Option<LiveRouters>,
    /// How long the router may use the configuration, counted from when it sent its request, in milliseconds.
    pub lease_ms: u64,
}

/// Routers that may be admitting requests: their addresses by host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveRouters(pub BTreeMap<String, SocketAddr>);

impl LiveRouters {
    /// Hash of the set, to compare two sets.
    pub fn digest(&self) -> u64 {
        xxh3_64(format!("{:?}", self.0).as_bytes())
    }
}

/// Answer to `wait`: whether a revision is in force at every live router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WaitReply {
    /// Whether the revision is in force at every live router.
    pub in_force: bool,
    /// Routers that may still use an older revision.
    pub behind: Vec<String>,
    /// Routers that use this revision or a later one.
    pub ready: Vec<String>,
}

/// State of a group, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Partner that the group belongs to.
    pub partner: String,
    /// Term of the leader.
    pub term: Term,
    /// Id of the leader's store.
    pub leader: StoreId,
    /// Revision in force.
    pub revision: Revision,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Members of the group.
    pub members: Vec<MemberStatus>,
    /// Routers that called within the freshness lease.
    pub routers: Vec<RouterStatus>,
    /// Names of the hosts and targets being drained.
    pub drains: BTreeSet<String>,
    /// Engines that are switching to another model.
    pub moving: BTreeMap<String, Moving>,
    /// Targets on the platform's list; `None` when it can't be read.
    pub targets: Option<Vec<Listed>>,
}

/// One member, as the leader sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id, address and role.
    pub member: Member,
    /// Whether it answered the leader within an election period.
    pub live: bool,
    /// Index of the last log entry known to be on its disk.
    pub matched: u64,
}

/// One router, as the leader sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Host of the router.
    pub host: String,
    /// Revision of the configuration that it has in force.
    pub revision: Revision,
    /// Time since its last call, in milliseconds.
    pub heard_ms_ago: u64,
    /// Counts that it reported last.
    pub report: Report,
}

/// The RPC methods of a control member.
///
/// `key` is the secret shared by the partner's hosts, `token` an operator's bearer token. A call with a wrong one
/// fails with [`ControlError::Unauthorized`] and has no effect.
#[rpc(client, server, namespace = "latchmount")]
pub trait Control {
    /// Returns the identity of this member.
    #[method(name = "identify")]
    async fn identify(&self, key: String) -> Result<Identity, ErrorObjectOwned>;

    /// Receives Raft messages from the member at `from`.
    #[method(name = "deliver")]
    async fn deliver(
        &self,
        key: String,
        from: SocketAddr,
        messages: Vec<Envelope>,
    ) -> Result<(), ErrorObjectOwned>;

    /// Adds a member to the group.
    #[method(name = "join")]
    async fn join(&self, key: String, newcomer: Newcomer) -> Result<(), ErrorObjectOwned>;

    /// Forms a group of all members in the settings. None of them may belong to a group yet.
    #[method(name = "form")]
    async fn form(&self, token: String) -> Result<GroupId, ErrorObjectOwned>;

    /// Returns the configuration in force to a router.
    #[method(name = "sync")]
    async fn sync(&self, key: String, request: SyncRequest) -> Result<SyncReply, ErrorObjectOwned>;

    /// Claims a request that must run at most once, for a router.
    #[method(name = "claim")]
    async fn claim(&self, key: String, claim: Claim) -> Result<Verdict, ErrorObjectOwned>;

    /// Releases a claim.
    #[method(name = "release")]
    async fn release(&self, key: String, release: Release) -> Result<(), ErrorObjectOwned>;

    /// Submits or revises a template; `change` is a [`crate::store::Change`].
    #[method(name = "change")]
    async fn change(&self, token: String, change: Value) -> Result<Answer, ErrorObjectOwned>;

    /// Starts or ends the drain of a host or target.
    #[method(name = "drain")]
    async fn drain(&self, token: String, drain: Drain) -> Result<Answer, ErrorObjectOwned>;

    /// Returns every template in force.
    #[method(name = "templates")]
    async fn templates(&self, token: String) -> Result<Vec<Stored>, ErrorObjectOwned>;

    /// Waits until `revision` is in force at every live router, at most `timeout_ms`.
    #[method(name = "wait")]
    async fn wait(
        &self,
        token: String,
        revision: Revision,
        timeout_ms: u64,
    ) -> Result<WaitReply, ErrorObjectOwned>;

    /// Returns the state of the group.
    #[method(name = "status")]
    async fn status(&self, token: String) -> Result<Status, ErrorObjectOwned>;
}

/// Error of a call to a control member.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ControlError {
    /// The key or token is wrong or missing.
    #[error("not authorized: check the token or key")]
    Unauthorized,
    /// The member is not the leader; the call had no effect.
    #[error("this member does not lead the group; ask {}", .leader.map_or("another".into(), |addr| addr.to_string()))]
    NotLeader {
        /// The leader's address, where known.
        leader: Option<SocketAddr>,
    },
    /// The leader can't prove that it is still the leader, or lost leadership during the call. A change may have been
    /// accepted, so it must be resent with the same id.
    #[error("the outcome is not known; resend the same change id")]
    Unknown,
    /// The content is invalid; the call had no effect.
    #[error("the content has faults: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<Fault>),
    /// The group can't be formed.
    #[error("the group can't be formed: {0}")]
    Form(String),
    /// The member is stopping.
    #[error("the member is stopping")]
    Stopping,
    /// The call could not be delivered or answered.
    #[error("the call failed: {0}")]
    Call(String),
}

const UNAUTHORIZED: i32 = -32001;
const NOT_LEADER: i32 = -32002;
const UNKNOWN: i32 = -32003;
const INVALID: i32 = -32004;
const FORM: i32 = -32005;
const STOPPING: i32 = -32006;

impl From<ControlError> for ErrorObjectOwned {
    fn from(error: ControlError) -> Self {
        let message = error.to_string();
        match error {
            ControlError::Unauthorized => Self::owned(UNAUTHORIZED, message, None::<()>),
            ControlError::NotLeader { leader } => Self::owned(NOT_LEADER, message, Some(leader)),
            ControlError::Unknown => Self::owned(UNKNOWN, message, None::<()>),
            ControlError::Invalid(faults) => Self::owned(INVALID, message, Some(faults)),
            ControlError::Form(why) => Self::owned(FORM, message, Some(why)),
            ControlError::Stopping => Self::owned(STOPPING, message, None::<()>),
            ControlError::Call(why) => Self::owned(UNKNOWN, why, None::<()>),
        }
    }
}

impl From<ClientError> for ControlError {
    fn from(error: ClientError) -> Self {
        let ClientError::Call(object) = error else {
            return ControlError::Call(error.to_string());
        };
        match object.code() {
            UNAUTHORIZED => ControlError::Unauthorized,
            NOT_LEADER => ControlError::NotLeader { leader: data(&object).flatten() },
            UNKNOWN => ControlError::Unknown,
            INVALID => ControlError::Invalid(data(&object).unwrap_or_default()),
            FORM => ControlError::Form(data(&object).unwrap_or_default()),
            STOPPING => ControlError::Stopping,
            _ => ControlError::Call(object.message().to_owned()),
        }
    }
}

/// Decodes the data of an error object; `None` when there is none or it does not match.
fn data<T: serde::de::DeserializeOwned>(object: &ErrorObjectOwned) -> Option<T> {
    serde_json::from_str(object.data()?.get()).ok()
}

/// Creates a client for the member at `addr`.
///
/// # Errors
/// When the client can't be built.
pub fn connect(addr: SocketAddr, timeout: Duration) -> Result<HttpClient, ControlError> {
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_request_size(MAX_CALL_BYTES)
        .max_response_size(MAX_CALL_BYTES)
        .build(format!("http://{addr}"))
        .map_err(ControlError::from)
}

/// Clients for all members of a group. Starts with a random member and switches to the leader when an error names it.
#[derive(Clone)]
pub struct MemberClients {
    clients: Vec<(SocketAddr, HttpClient)>,
    current: usize,
}

impl MemberClients {
    /// Creates clients for the members at `addrs`.
    ///
    /// # Errors
    /// When a client can't be built.
    pub fn new(addrs: &[SocketAddr], timeout: Duration) -> Result<Self, ControlError> {
        let clients = addrs
            .iter()
            .map(|addr| Ok((*addr, connect(*addr, timeout)?)))
            .collect::<Result<Vec<_>, ControlError>>()?;
        let current = rand::random_range(0..clients.len().max(1));
        Ok(MemberClients { clients, current })
    }

    /// Client for the member to call next.
    pub fn current(&self) -> &HttpClient {
        &self.clients[self.current].1
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Switches to the leader that `error` names, otherwise to the next member.
    pub fn switch_member(&mut self, error: &ControlError) {
        let hint = match error {
            ControlError::NotLeader { leader } => *leader,
            _ => None,
        };
        let named = hint.and_then(|hint| self.clients.iter().position(|(addr, _)| *addr == hint));
        self.current = named.unwrap_or((self.current + 1) % self.clients.len());
    }
}
