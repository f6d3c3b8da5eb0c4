//! Passes large parcels of news on to other gateways, and fetches them from there.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::Gateway;
use crate::group::message::{FromNeighbour, ToNeighbour};
use crate::link::{FrameReceiver, LinkError, LinkTiming, dial, frames};
use crate::parcel::{Parcel, ParcelId};
use crate::sync::lock;

/// How fast connections between gateways give up: the member is asked then.
const TIMING: LinkTiming = LinkTiming {
    connect: Duration::from_millis(150),
    unacknowledged: Duration::from_millis(1_000),
};
/// Silence after which a fetch is given up: the other has the parcel, and only its link may be busy.
const SILENCE: Duration = Duration::from_millis(300);
/// Longest time that a connection of another gateway is kept.
const SERVED_WITHIN: Duration = Duration::from_secs(5);
/// Connections of other gateways at the same time; members name few at a time.
const MOST_CONNECTIONS: usize = 32;
/// Pause after the listener fails, for example without descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// Serves other gateways for ever.
pub(super) async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            // Whoever fetched and got nothing asks its member.
            let _ = tokio::time::timeout(SERVED_WITHIN, answer(&gateway, stream)).await;
            drop(place);
        });
    }
}

async fn answer(gateway: &Gateway, stream: TcpStream) -> Result<(), LinkError> {
    let (mut sender, mut receiver) = frames(stream, TIMING)?;
    let ToNeighbour::Fetch(id) = receiver.receive().await?;
    let kept = lock(&gateway.blob_cache).get(id).map(|parcel| parcel.bytes().clone());
    gateway.metrics.asked_for_parcel(kept.is_some());
    sender.send(&kept.map_or(FromNeighbour::Unknown, FromNeighbour::Parcel)).await?;
    // Closed by the other side, once it has all.
    receiver.receive::<ToNeighbour>().await.map(|_| ())
}

/// Fetches a parcel from another gateway.
///
/// # Errors
/// [`LinkError`] when it can't be had there, or is not the one that was asked for.
pub(super) async fn fetch(
    source: Option<IpAddr>,
    from: SocketAddr,
    id: ParcelId,
) -> Result<Parcel, LinkError> {
    let (mut sender, mut receiver) = dial(source, from, TIMING).await?;
    sender.send(&ToNeighbour::Fetch(id)).await?;
    let FromNeighbour::Parcel(bytes) = receive(&mut receiver).await? else {
        return Err(LinkError::Closed);
    };
    let parcel = Parcel::of(bytes);
    if parcel.id() == id { Ok(parcel) } else { Err(LinkError::Garbled) }
}

/// Waits for an answer for as long as bytes come.
async fn receive(receiver: &mut FrameReceiver) -> Result<FromNeighbour, LinkError> {
    let mut silent_at = Instant::now() + SILENCE;
    loop {
        tokio::select! {
            received = receiver.receive() => return received,
            () = tokio::time::sleep_until(silent_at) => {
                silent_at = Instant::from(receiver.heard_at() + SILENCE);
                if silent_at <= Instant::now() {
                    return Err(LinkError::Timeout);
                }
            }
        }
    }
}
