//! Reasons for which a gateway stops following a member.

use std::net::SocketAddr;
use std::time::Duration;

use crate::link::LinkError;

/// Why the gateway stopped following a member.
#[derive(Debug, thiserror::Error)]
pub(super) enum Disconnect {
    /// The connection failed, or the member sent nothing within the timeout.
    #[error("{0}")]
    Link(#[from] LinkError),
    /// The member has no contact with a leader.
    #[error("it hears no leader")]
    Leaderless,
    /// The member was followed only until it sent the first configuration.
    #[error("it told the first configuration, and another is next")]
    ConfigurationReceived,
    /// This host was suspended, so what the member sent meanwhile may be outdated and arrive late.
    #[error("this host was suspended for {0:?}")]
    Suspended(Duration),
    /// A member that comes earlier in the gateway's order of preference can be followed again.
    #[error("{0} comes earlier and can be followed")]
    PreferredMember(SocketAddr),
}

impl Disconnect {
    /// Label value of the metric that counts disconnections by reason.
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
