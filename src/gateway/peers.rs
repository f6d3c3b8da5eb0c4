//! Serves other gateways, and fetches large blobs from them (peer-to-peer distribution).

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::{Gateway, via_peer};
use crate::blob::{Blob, BlobId};
use crate::group::message::{FromPeer, ToPeer};
use crate::link::{FrameReceiver, LinkError, LinkTimeouts, dial, framed};
use crate::serving::buffers::{ClientBuffer, ClientBuffers};
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
/// Maximum number of concurrent fetches by other gateways. Members refer only a few gateways at a time to the same
/// peer.
const MAX_CONNECTIONS: usize = 32;
/// Maximum number of concurrent connections of other gateways with requests. Each carries one request at a time.
const MAX_REQUEST_CONNECTIONS: usize = 256;
/// One in so many descriptors of the process may be used for connections of other gateways, if that is less.
const DESCRIPTORS_SHARE: usize = 8;

/// Serves other gateways until the process ends. The first byte of a connection tells what it is for: requests start
/// with the capital letter of an HTTP method, frames with the highest byte of their length, which is small.
pub(super) async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    let limits = Arc::new(PeerLimits::default());
    let max_connections = MAX_CONNECTIONS + MAX_REQUEST_CONNECTIONS;
    let max_connections = max_connections.min(gateway.settings.max_descriptors / DESCRIPTORS_SHARE);
    let bounds = gateway.settings.peer_bounds(max_connections);
    let closed = gateway.metrics.connections_closed("peers");
    let buffers = ClientBuffers::new("peers", bounds, closed, &gateway.log);
    loop {
        let (stream, client) = buffers.accept(&listener).await;
        tokio::spawn(serve_connection(gateway.clone(), limits.clone(), stream, client));
    }
}

/// Limits on concurrent connections from other gateways.
struct PeerLimits {
    blobs: Semaphore,
    requests: Semaphore,
}

impl Default for PeerLimits {
    fn default() -> Self {
        PeerLimits {
            blobs: Semaphore::new(MAX_CONNECTIONS),
            requests: Semaphore::new(MAX_REQUEST_CONNECTIONS),
        }
    }
}

/// Serves a connection of another gateway: a fetch of a blob, or requests on its behalf.
async fn serve_connection(
    gateway: Arc<Gateway>,
    limits: Arc<PeerLimits>,
    stream: TcpStream,
    client: Arc<ClientBuffer>,
) {
    let mut first = [0];
    let peeking = tokio::time::timeout(SERVE_TIMEOUT, stream.peek(&mut first));
    if !matches!(client.unless_closed(peeking).await, Some(Ok(Ok(1)))) {
        return;
    }
    if first[0].is_ascii_uppercase() {
        // Beyond the limit the connection is closed, and the other gateway asks another peer.
        if let Ok(_slot) = limits.requests.try_acquire() {
            via_peer::server::serve(gateway, stream, client).await;
        }
        return;
    }
    let serving = async {
        let _slot = limits.blobs.acquire().await.map_err(|_| LinkError::Closed)?;
        answer(&gateway, stream, client.clone()).await
    };
    // Errors are ignored: a peer that did not get the blob reports that to its member.
    let _ = client.unless_closed(tokio::time::timeout(SERVE_TIMEOUT, serving)).await;
}

/// Answers one fetch request.
async fn answer(
    gateway: &Gateway,
    stream: TcpStream,
    client: Arc<ClientBuffer>,
) -> Result<(), LinkError> {
    let (mut sender, receiver) = framed(stream, TIMEOUTS)?;
    let mut receiver = receiver.counted(client);
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
