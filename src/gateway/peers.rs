//! Peer-to-peer distribution of large blobs: serves them to other gateways and fetches them from there.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::Gateway;
use crate::blob::{Blob, BlobId};
use crate::group::message::{FromPeer, ToPeer};
use crate::link::{FrameReceiver, LinkError, LinkTimeouts, dial, framed};
use crate::sync::lock;

/// Timeouts of connections between gateways. They are short, since a blob that a peer gateway does not
/// deliver is requested from the member.
const TIMEOUTS: LinkTimeouts = LinkTimeouts {
    connect: Duration::from_millis(150),
    unacknowledged: Duration::from_millis(1_000),
};
/// A fetch fails when no byte arrives for this long. The peer has the blob in memory, so only a busy link
/// delays it.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Connections of other gateways are closed after this time.
const SERVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent connections from other gateways. Members refer only a few gateways at a
/// time to the same peer.
const MAX_CONNECTIONS: usize = 32;
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves blobs to other gateways until the process ends.
pub(super) async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            // Errors are ignored: a peer that did not get the blob reports that to its member.
            let _ = tokio::time::timeout(SERVE_TIMEOUT, answer(&gateway, stream)).await;
            drop(slot);
        });
    }
}

/// Answers one fetch request.
async fn answer(gateway: &Gateway, stream: TcpStream) -> Result<(), LinkError> {
    let (mut sender, mut receiver) = framed(stream, TIMEOUTS)?;
    let ToPeer::Fetch(id) = receiver.receive().await?;
    let cached = lock(&gateway.blob_cache).get(id).map(|blob| blob.bytes().clone());
    gateway.metrics.blob_requested(cached.is_some());
    sender.send(&cached.map_or(FromPeer::Unknown, FromPeer::Blob)).await?;
    // Waits until the peer, having received everything, closes the connection.
    receiver.receive::<ToPeer>().await.map(|_| ())
}

/// Fetches a blob from another gateway.
///
/// # Errors
/// [`LinkError::Closed`] when that gateway does not have the blob, [`LinkError::Garbled`] when the bytes
/// received don't match `id`, another [`LinkError`] when the connection fails.
pub(super) async fn fetch(
    source: Option<IpAddr>,
    from: SocketAddr,
    id: BlobId,
) -> Result<Blob, LinkError> {
    let (mut sender, mut receiver) = dial(source, from, TIMEOUTS).await?;
    sender.send(&ToPeer::Fetch(id)).await?;
    let FromPeer::Blob(bytes) = receive(&mut receiver).await? else {
        return Err(LinkError::Closed);
    };
    let blob = Blob::new(bytes);
    if blob.id() == id { Ok(blob) } else { Err(LinkError::Garbled) }
}

/// Receives the answer; times out only when no byte arrives for [`READ_TIMEOUT`].
async fn receive(receiver: &mut FrameReceiver) -> Result<FromPeer, LinkError> {
    let mut timeout_at = Instant::now() + READ_TIMEOUT;
    loop {
        tokio::select! {
            received = receiver.receive() => return received,
            () = tokio::time::sleep_until(timeout_at) => {
                timeout_at = Instant::from(receiver.last_read_at() + READ_TIMEOUT);
                if timeout_at <= Instant::now() {
                    return Err(LinkError::Timeout);
                }
            }
        }
    }
}
