//! A small HTTP server on a free port of the loopback.

use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::{Router, Server};

/// Starts to serve `routes`; returns the base URL.
pub async fn serve(routes: Router) -> String {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let addr = acceptor.holdings()[0].local_addr.to_string();
    let addr = addr.rsplit('/').next().unwrap_or(&addr).to_owned();
    tokio::spawn(Server::new(acceptor).disable_fuse().serve(routes));
    format!("http://{addr}")
}
