//! A member of a control group: one of the few processes that replicate the durable state of a partner
//! (an organization that shares capacity with others) and answer RPC calls of routers and operators.

pub(crate) mod member;
mod peers;
mod placement_runner;
mod registry;
mod rpc_handler;
mod server;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use jsonrpsee::server::{Server, ServerConfig, ServerHandle, stop_channel};
use prometheus::IntCounter;
use slog::{Logger, info, o};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::raft::{BoxedDisk, FolderDisk, Replica, WalError, random_store_id};
use crate::rpc::{ControlServer, MAX_CALL_BYTES};
use crate::serving::buffers::ClientBuffers;
use crate::settings::{ControlSettings, Settings};

use self::member::Member;
use self::rpc_handler::RpcHandler;
use self::server::RpcServer;

/// The reason why a control member can't start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The data folder can't be opened.
    #[error("control.data_dir: can't open {path}: {source}")]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The log can't be read or written.
    #[error(transparent)]
    Wal(#[from] WalError),
    /// The counter of closed connections can't be created.
    #[error(transparent)]
    Metrics(#[from] prometheus::Error),
    /// The address can't be bound.
    #[error("control.listen: can't serve on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A running control member.
pub struct Control {
    server: ServerHandle,
    failed: oneshot::Receiver<WalError>,
}

impl Control {
    /// Recovers the member's state from disk and starts to listen.
    ///
    /// # Errors
    /// [`MemberError`] when the data folder or the log can't be read, or the address can't be bound.
    pub async fn start(
        settings: &Settings,
        control: &ControlSettings,
        log: &Logger,
    ) -> Result<Self, MemberError> {
        let addr = control.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let log = log.new(o!("role" => "control", "addr" => addr.to_string()));
        let disk = FolderDisk::open(&control.data_dir)
            .map_err(|source| MemberError::Folder { path: control.data_dir.clone(), source })?;
        let started = Member::start(&log, |now| {
            Replica::open(
                Box::new(disk) as BoxedDisk,
                random_store_id(),
                control.timing(),
                control.compact_after_entries,
                now,
                rand::random(),
            )
        })?;
        let bounds = control.connection_bounds();
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_CALL_BYTES)
            .max_response_body_size(MAX_CALL_BYTES)
            .max_connections(bounds.max_connections as u32)
            .http_only()
            .build();
        let listening = TcpListener::bind(addr).await;
        let listener = listening.map_err(|source| MemberError::Listen { addr, source })?;
        let handler = Arc::new(RpcHandler::new(settings, control, started.member, log.clone()));
        peers::start(&handler, started.outbox, &log);
        tokio::spawn(placement_runner::run(handler.clone()));
        let (stop, server) = stop_channel();
        let calls = RpcServer {
            // Control members serve no metrics, so that only the log tells of these connections.
            buffers: ClientBuffers::new(
                "calls",
                bounds,
                IntCounter::new("closed", "Connections closed for others.")?,
                &log,
            ),
            service: Server::builder().set_config(config).to_service_builder(),
            methods: ControlServer::into_rpc(handler).into(),
            stop,
        };
        tokio::spawn(calls.serve(listener));
        info!(log, "control member listening"; "event" => "control_started");
        Ok(Control { server, failed: started.failed })
    }

    /// Waits until the member stops because its disk failed, and returns the error. Pends for ever if it
    /// stops without an error.
    pub async fn failed(&mut self) -> WalError {
        match (&mut self.failed).await {
            Ok(error) => error,
            Err(_) => std::future::pending().await,
        }
    }

    /// Stops listening.
    pub async fn stop(self) {
        let _ = self.server.stop();
        self.server.stopped().await;
    }
}
