//! A TCP proxy that can hold back all bytes without closing a connection, like a network partition.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A running proxy; it ends with the test's runtime.
pub struct Link {
    cut: watch::Sender<bool>,
}

impl Link {
    /// Listens at `from` and relays each connection to `to`.
    pub async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let (cut, cut_state) = watch::channel(false);
        let listener = TcpListener::bind(from).await.expect("a free address");
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay(near, to, cut_state.clone()));
            }
        });
        Link { cut }
    }

    /// Cuts or restores the link. While it is cut, bytes in both directions and new connections wait.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn relay(near: TcpStream, to: SocketAddr, mut cut: watch::Receiver<bool>) {
    let _ = cut.wait_for(|cut| !cut).await;
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::spawn(copy(near_read, far_write, cut.clone()));
    copy(far_read, near_write, cut).await;
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let _ = cut.wait_for(|cut| !cut).await;
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
