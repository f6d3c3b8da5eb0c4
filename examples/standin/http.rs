//! A small HTTP server on a free loopback port.

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use tokio::net::TcpSocket;

/// Serves `routes` in a background task; returns the base URL.
pub async fn serve(routes: Router) -> String {
    let socket = TcpSocket::new_v4().expect("a socket");
    // Accepted connections inherit this option, so that chunks of a stream are sent without delay.
    socket.set_nodelay(true).expect("TCP_NODELAY can be set");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let listener = socket.listen(1_024).expect("a listening socket");
    let addr = listener.local_addr().expect("an address");
    let acceptor = TcpAcceptor::try_from(listener).expect("an acceptor");
    tokio::spawn(Server::new(acceptor).disable_fuse().serve(routes));
    format!("http://{addr}")
}
