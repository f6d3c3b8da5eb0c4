//! Start of a process of any role: listening sockets and start-up errors.

use std::net::SocketAddr;

use tokio::net::TcpListener;

/// A process can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting that this role requires is missing.
    #[error("{field}: required setting is missing")]
    Missing {
        /// Name of the setting.
        field: &'static str,
    },
    /// The process can't listen on an address.
    #[error("can't listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics library refused to register a metric.
    #[error("can't register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Listens on an address.
pub(crate) async fn listen_on(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.map_err(|source| StartError::Listen { addr, source })
}

/// Listens on an address, if one is set.
pub(crate) async fn listen_if_set(
    addr: Option<SocketAddr>,
) -> Result<Option<TcpListener>, StartError> {
    match addr {
        Some(addr) => Ok(Some(listen_on(addr).await?)),
        None => Ok(None),
    }
}
