//! When a gateway that has just started takes connections of clients.
//!
//! Without a configuration it can serve nobody. Requests wait for the first one, which a member tells in a moment, or
//! tells late to all gateways after a loss of all power. But a member that takes connections and says nothing may be
//! silent for long, while other gateways serve: a client whose connection is refused turns to them at once. So a gateway
//! does not listen while that is all it sees of the members.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::{TcpListener, TcpSocket};

use super::Gateway;
use crate::link::connect_from;
use crate::start::StartError;
use crate::sync::lock;

/// Longest wait for a connection to a member; a round trip takes some milliseconds.
const REACHED_WITHIN: Duration = Duration::from_millis(50);
/// Longest time without a listener; clients that have no other gateway are told then when to come back.
const LISTENS_WITHIN: Duration = Duration::from_secs(5);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The address of clients, taken but not listened on: connections to it are refused.
pub(super) struct Reserved {
    addr: SocketAddr,
    socket: TcpSocket,
}

impl Reserved {
    /// Takes the address.
    ///
    /// # Errors
    /// [`StartError`] when it can't be used.
    pub(super) fn take(addr: SocketAddr) -> Result<Self, StartError> {
        let socket = bound(addr).map_err(|source| StartError::Listen { addr, source })?;
        Ok(Reserved { addr, socket })
    }

    /// Listens on it.
    ///
    /// # Errors
    /// [`StartError`] when it can't be listened on.
    pub(super) fn listen(self) -> Result<TcpListener, StartError> {
        let addr = self.addr;
        self.socket.listen(BACKLOG).map_err(|source| StartError::Listen { addr, source })
    }
}

fn bound(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

impl Gateway {
    /// Waits until the gateway had better take connections.
    pub(super) async fn may_listen(&self) {
        if !self.reaches_a_member().await {
            return;
        }
        let mut heard = self.member_contact.subscribe();
        let told = heard.wait_for(|heard| *heard);
        // Past that time it listens whatever the members do.
        let _ = tokio::time::timeout(LISTENS_WITHIN, told).await;
    }

    /// Whether any member of the settings takes a connection.
    async fn reaches_a_member(&self) -> bool {
        let seeds = lock(&self.seeds).clone();
        let dials = seeds.into_iter().map(|member| {
            let connecting = connect_from(self.settings.source, member);
            tokio::time::timeout(REACHED_WITHIN, connecting)
        });
        let mut dials: FuturesUnordered<_> = dials.collect();
        while let Some(dialled) = dials.next().await {
            if matches!(dialled, Ok(Ok(_))) {
                return true;
            }
        }
        false
    }
}
