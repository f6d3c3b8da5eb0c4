//! Calls to a control member: by other members, by routers and by the operators' client.

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
use crate::store::{Answer, Delta, Drain, Moving, Revision, StoredTemplate};
use crate::targets::Listed;

/// Largest call or answer, in bytes: a snapshot of 1,000 large templates fits.
pub const MAX_CALL_BYTES: u32 = 256 * 1024 * 1024;

/// Identity of a member that may not belong to a group yet.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Identity {
    /// Identity of its store.
    pub store: StoreId,
    /// Group it belongs to; 0 while blank.
    pub group: GroupId,
}

/// A member that asks to be brought in.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Newcomer {
    /// Identity of its store.
    pub store: StoreId,
    /// Where it takes calls.
    pub addr: SocketAddr,
}

/// A router asks for the configuration in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Host of the router.
    pub router: String,
    /// Where other routers reach it.
    pub addr: Option<SocketAddr>,
    /// Digest of the live routers that it knows; 0 for none.
    pub routers_known: u64,
    /// Group whose configuration it has; 0 for none yet.
    pub group: GroupId,
    /// Revision it has in force.
    pub known: Revision,
    /// How long to wait for a newer revision, in milliseconds.
    pub wait_ms: u64,
    /// Counts since the start of the router.
    pub report: Report,
}

/// What a router tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests admitted.
    pub admitted: u64,
    /// Refusals by reason code.
    pub refused: BTreeMap<String, u64>,
}

/// The configuration in force, proven by the leader's lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// Group that answers.
    pub group: GroupId,
    /// Term of the leader that answers.
    pub term: Term,
    /// What the router lacks.
    pub delta: Delta,
    /// The live routers, when they are surely known and differ from those that the router knows.
    pub routers: Option<LiveRouters>,
    /// How long the router may serve on it, from the sending of its request, in milliseconds.
    pub lease_ms: u64,
}

/// Routers that may be admitting, by host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveRouters(pub BTreeMap<String, SocketAddr>);

impl LiveRouters {
    /// Tells two sets apart.
    pub fn digest(&self) -> u64 {
        xxh3_64(format!("{:?}", self.0).as_bytes())
    }
}

/// Whether a revision is in force at every live router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WaitReply {
    /// Whether it is.
    pub in_force: bool,
    /// Routers that may still serve an older revision.
    pub behind: Vec<String>,
    /// Routers that have it.
    pub ready: Vec<String>,
}

/// State of a group, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Partner that the group belongs to.
    pub partner: String,
    /// Leader's term.
    pub term: Term,
    /// The leader's store.
    pub leader: StoreId,
    /// Revision in force.
    pub revision: Revision,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Members of the group.
    pub members: Vec<MemberStatus>,
    /// Routers heard within the freshness lease.
    pub routers: Vec<RouterStatus>,
    /// Hosts and targets being drained.
    pub drains: BTreeSet<String>,
    /// Engines on their way to another model.
    pub moving: BTreeMap<String, Moving>,
    /// Targets on the platform's list; `None` where it can't be read.
    pub targets: Option<Vec<Listed>>,
}

/// One member, as the leader sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity, address and standing.
    pub member: Member,
    /// Whether it answered the leader within an election period.
    pub live: bool,
    /// Last log index known to be on its disk.
    pub matched: u64,
}

/// One router, as the leader sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Host of the router.
    pub host: String,
    /// Revision it has in force.
    pub revision: Revision,
    /// Time since it was heard, in milliseconds.
    pub heard_ms_ago: u64,
    /// What it told of itself.
    pub report: Report,
}

/// The calls.
///
/// `key` is the secret of the partner's hosts, `token` an operator's bearer token; a wrong one is
/// answered by [`ControlError::Unauthorized`] and nothing else.
#[rpc(client, server, namespace = "latchmount")]
pub trait Control {
    /// Who is this member?
    #[method(name = "identify")]
    async fn identify(&self, key: String) -> Result<Identity, ErrorObjectOwned>;

    /// Messages of the member at `from`.
    #[method(name = "deliver")]
    async fn deliver(
        &self,
        key: String,
        from: SocketAddr,
        messages: Vec<Envelope>,
    ) -> Result<(), ErrorObjectOwned>;

    /// Bring a member in.
    #[method(name = "join")]
    async fn join(&self, key: String, newcomer: Newcomer) -> Result<(), ErrorObjectOwned>;

    /// Form a group of all members in the settings; every one of them must be blank.
    #[method(name = "form")]
    async fn form(&self, token: String) -> Result<GroupId, ErrorObjectOwned>;

    /// The configuration in force, for a router.
    #[method(name = "sync")]
    async fn sync(&self, key: String, request: SyncRequest) -> Result<SyncReply, ErrorObjectOwned>;

    /// Claim a request that must run at most once, for a router.
    #[method(name = "claim")]
    async fn claim(&self, key: String, claim: Claim) -> Result<Verdict, ErrorObjectOwned>;

    /// Give a claim back.
    #[method(name = "release")]
    async fn release(&self, key: String, release: Release) -> Result<(), ErrorObjectOwned>;

    /// Submit or revise a template; `change` is a [`crate::store::Change`].
    #[method(name = "change")]
    async fn change(&self, token: String, change: Value) -> Result<Answer, ErrorObjectOwned>;

    /// Start or end a drain.
    #[method(name = "drain")]
    async fn drain(&self, token: String, drain: Drain) -> Result<Answer, ErrorObjectOwned>;

    /// Every template in force.
    #[method(name = "templates")]
    async fn templates(&self, token: String) -> Result<Vec<StoredTemplate>, ErrorObjectOwned>;

    /// Wait until `revision` is in force at every live router, at most `timeout_ms`.
    #[method(name = "wait")]
    async fn wait(
        &self,
        token: String,
        revision: Revision,
        timeout_ms: u64,
    ) -> Result<WaitReply, ErrorObjectOwned>;

    /// State of the group.
    #[method(name = "status")]
    async fn status(&self, token: String) -> Result<Status, ErrorObjectOwned>;
}

/// Why a control member did not do what it was asked.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ControlError {
    /// Wrong or missing key or token.
    #[error("not authorized: check the token or key")]
    Unauthorized,
    /// This member does not lead; nothing was done.
    #[error("this member does not lead the group; ask {}", .leader.map_or("another".into(), |addr| addr.to_string()))]
    NotLeader {
        /// The leader's address, where known.
        leader: Option<SocketAddr>,
    },
    /// The leader can't prove that it still leads, or lost its place meanwhile; a change may have
    /// been accepted, so resend it under the same id.
    #[error("the outcome is not known; resend the same change id")]
    Unknown,
    /// The content has faults; nothing was done.
    #[error("the content has faults: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<Fault>),
    /// The group can't be formed.
    #[error("the group can't be formed: {0}")]
    Form(String),
    /// The member is stopping.
    #[error("the member is stopping")]
    Stopping,
    /// The call failed on its way.
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

fn data<T: serde::de::DeserializeOwned>(object: &ErrorObjectOwned) -> Option<T> {
    serde_json::from_str(object.data()?.get()).ok()
}

/// A client of the member at `addr`.
///
/// # Errors
/// When the address makes no URL.
pub fn connect(addr: SocketAddr, timeout: Duration) -> Result<HttpClient, ControlError> {
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_request_size(MAX_CALL_BYTES)
        .max_response_size(MAX_CALL_BYTES)
        .build(format!("http://{addr}"))
        .map_err(ControlError::from)
}

/// Clients of all members of a group; begins with any of them and follows the leader.
#[derive(Clone)]
pub struct Group {
    clients: Vec<(SocketAddr, HttpClient)>,
    at: usize,
}

impl Group {
    /// Clients of the members at `addrs`.
    ///
    /// # Errors
    /// When an address makes no URL.
    pub fn new(addrs: &[SocketAddr], timeout: Duration) -> Result<Self, ControlError> {
        let clients = addrs
            .iter()
            .map(|addr| Ok((*addr, connect(*addr, timeout)?)))
            .collect::<Result<Vec<_>, ControlError>>()?;
        let at = rand::random_range(0..clients.len().max(1));
        Ok(Group { clients, at })
    }

    /// Client of the member to ask next.
    pub fn current(&self) -> &HttpClient {
        &self.clients[self.at].1
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Turns to the leader that an error names, else to the next member.
    pub fn turn(&mut self, error: &ControlError) {
        let hint = match error {
            ControlError::NotLeader { leader } => *leader,
            _ => None,
        };
        let named = hint.and_then(|hint| self.clients.iter().position(|(addr, _)| *addr == hint));
        self.at = named.unwrap_or((self.at + 1) % self.clients.len());
    }
}
