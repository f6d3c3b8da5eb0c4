//! A small HTTP server on a free port of the loopback.

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use tokio::net::TcpSocket;

/// Starts to serve `routes`; returns the base URL.
pub async fn serve(routes: Router) -> String {
    let socket = TcpSocket::new_v4().expect("a socket");
    // Accepted connections take this over, so that pieces of a stream leave at once.
    socket.set_nodelay(true).expect("an option of the socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let listener = socket.listen(1_024).expect("a listening socket");
    let addr = listener.local_addr().expect("an address");
    let acceptor = TcpAcceptor::try_from(listener).expect("an acceptor");
    tokio::spawn(Server::new(acceptor).disable_fuse().serve(routes));
    format!("http://{addr}")
}
