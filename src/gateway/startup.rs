//! Decides when a gateway that has just started begins to listen for clients.
//!
//! Without a configuration it can't serve requests; they wait for the first one. Normally a member sends it at once,
//! and after a power loss all gateways get it late. But if a member accepts connections and sends nothing, the wait may
//! be long while other gateways serve, and a client whose connection is refused tries those at once. So a gateway does
//! not listen while it can connect to members but has received nothing from any of them, for up to 5 s.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::{TcpListener, TcpSocket};

use super::Gateway;
use crate::link::connect_from;
use crate::start::StartError;
use crate::sync::lock;

/// Longest wait for a connection to a member; a round trip takes a few milliseconds.
const MEMBER_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest time before the gateway listens. From then on, clients that have no other gateway get a `Retry-After`.
const MAX_LISTEN_DELAY: Duration = Duration::from_secs(5);
/// Maximum connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The clients' address, bound but not listened on yet: connections to it are refused.
pub(super) struct BoundAddress {
    addr: SocketAddr,
    socket: TcpSocket,
}

impl BoundAddress {
    /// Binds the address.
    ///
    /// # Errors
    /// [`StartError`] if the address can't be bound.
    pub(super) fn bind(addr: SocketAddr) -> Result<Self, StartError> {
        let socket = bound_socket(addr).map_err(|source| StartError::Listen { addr, source })?;
        Ok(BoundAddress { addr, socket })
    }

    /// Listens on the address.
    ///
    /// # Errors
    /// [`StartError`] if the system refuses to listen.
    pub(super) fn listen(self) -> Result<TcpListener, StartError> {
        let addr = self.addr;
        self.socket.listen(BACKLOG).map_err(|source| StartError::Listen { addr, source })
    }
}

fn bound_socket(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

impl Gateway {
    /// Waits until the gateway should listen for clients: at once if no member accepts a connection, else when the
    /// first update has arrived or [`MAX_LISTEN_DELAY`] has passed.
    pub(super) async fn wait_before_listening(&self) {
        if !self.can_reach_member().await {
            return;
        }
        let mut contact = self.member_contact.subscribe();
        let contacted = contact.wait_for(|contact| *contact);
        // After the timeout the gateway listens whatever the members do.
        let _ = tokio::time::timeout(MAX_LISTEN_DELAY, contacted).await;
    }

    /// Whether any member in the settings accepts a connection.
    async fn can_reach_member(&self) -> bool {
        let seeds = lock(&self.seeds).clone();
        let connects = seeds.into_iter().map(|member| {
            let connecting = connect_from(self.settings.source, member);
            tokio::time::timeout(MEMBER_CONNECT_TIMEOUT, connecting)
        });
        let mut connects: FuturesUnordered<_> = connects.collect();
        while let Some(connected) = connects.next().await {
            if matches!(connected, Ok(Ok(_))) {
                return true;
            }
        }
        false
    }
}
