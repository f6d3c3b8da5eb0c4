//! What every role needs at its start: addresses to listen on, and metrics.

use std::net::SocketAddr;

use tokio::net::TcpListener;

/// A role can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting that the checks demand is missing.
    #[error("{field}: missing")]
    Missing {
        /// The setting.
        field: &'static str,
    },
    /// An address can't be listened on.
    #[error("listen {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The metrics library refused a name.
    #[error("metrics: {0}")]
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
