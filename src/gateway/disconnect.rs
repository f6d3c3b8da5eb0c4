//! Why a gateway follows a member no longer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::link::LinkError;

/// Why a member is followed no longer.
#[derive(Debug, thiserror::Error)]
pub(super) enum Disconnect {
    /// The connection failed, or the member fell silent.
    #[error("{0}")]
    Link(#[from] LinkError),
    /// It hears no leader.
    #[error("it hears no leader")]
    Leaderless,
    /// It was followed for the first configuration only.
    #[error("it told the first configuration, and another is next")]
    ConfigurationReceived,
    /// This host was suspended: what the member sent meanwhile may be old, and come late.
    #[error("this host was suspended for {0:?}")]
    Suspended(Duration),
    /// One that comes earlier in the gateway's order can be followed again.
    #[error("{0} comes earlier and can be followed")]
    PreferredMember(SocketAddr),
}

impl Disconnect {
    /// Its name among metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Disconnect::Link(error) => error.label(),
            Disconnect::Leaderless => "leaderless",
            Disconnect::ConfigurationReceived => "first",
            Disconnect::Suspended(_) => "suspended",
            Disconnect::PreferredMember(_) => "earlier",
        }
    }
}
