//! Distribution of large blobs to very many gateways, by members and from gateway to gateway, simulated in virtual time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use latchmount::blob::{Blob, BlobId};
use latchmount::group::fan_out::{FanOut, PeerGateway};
use latchmount::group::pacer::{LARGE_BLOBS_SHARE, Pacer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, sleep, timeout};

use crate::seeds;

/// Size of a packed change of 1,600 routes.
const CHANGE_BYTES: usize = 20_900;
/// Size of a packed list of 3,000 targets.
const LIST_BYTES: usize = 32_000;
const MEMBER_MBPS: f64 = 6.0;
const GATEWAY_MBPS: f64 = 10.0;
const HALLS: usize = 6;
/// Time after which a gateway gives up a fetch without an answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time of a message to a peer and back.
const ROUND_TRIP: Duration = Duration::from_millis(1);

/// How a gateway that has the blob serves its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    /// It sends the blob to peers.
    Healthy,
    /// It never answers peers, like a gateway that is partitioned from them or lost power.
    Unresponsive,
    /// Its link has a tenth of the usual rate.
    Slow,
}

impl Behavior {
    fn draw(rng: &mut StdRng) -> Self {
        match rng.random::<f64>() {
            draw if draw < 0.18 => Behavior::Unresponsive,
            draw if draw < 0.23 => Behavior::Slow,
            _ => Behavior::Healthy,
        }
    }
}

fn transfer_time(bytes: usize, mbps: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / (mbps * 125_000.0))
}

/// The gateways of one member.
struct Followers {
    fan_out: Mutex<FanOut>,
    pacer: Pacer,
    blob: BlobId,
    bytes: usize,
    behaviors: Vec<Behavior>,
    /// Link of each gateway: it serves one fetch at a time.
    links: Vec<AsyncMutex<()>>,
}

impl Followers {
    fn new(gateways: usize, bytes: usize, rng: &mut StdRng) -> Arc<Self> {
        Arc::new(Followers {
            fan_out: Mutex::default(),
            pacer: Pacer::new(MEMBER_MBPS, LARGE_BLOBS_SHARE),
            blob: Blob::new(vec![7; bytes].into()).id(),
            bytes,
            behaviors: (0..gateways).map(|_| Behavior::draw(rng)).collect(),
            links: (0..gateways).map(|_| AsyncMutex::default()).collect(),
        })
    }

    fn peer(&self, gateway: usize) -> PeerGateway {
        let addr = SocketAddr::from(([10, 0, (gateway / 250) as u8, (gateway % 250) as u8], 80));
        PeerGateway { addr, data_hall: format!("hall-{}", gateway % HALLS) }
    }

    /// Delivers the blob to a gateway, from a peer or the member, as the member's feed does. Returns how long it took.
    async fn deliver(self: Arc<Self>, gateway: usize, relays: bool) -> Duration {
        let began = Instant::now();
        let receiver = self.peer(gateway);
        let mut turn = Box::pin(self.pacer.turn());
        loop {
            let upload_freed = self.fan_out.lock().expect("not poisoned").upload_freed(self.blob);
            let from =
                self.fan_out.lock().expect("not poisoned").assign_source(self.blob, &receiver);
            if let Some(from) = from.filter(|_| relays) {
                sleep(ROUND_TRIP).await;
                let fetched = timeout(FETCH_TIMEOUT, self.fetch(from)).await.is_ok();
                let mut fan_out = self.fan_out.lock().expect("not poisoned");
                if fetched {
                    fan_out.release_upload(self.blob, from);
                    break;
                }
                fan_out.fetch_failed(self.blob, from);
                continue;
            }
            tokio::select! {
                turn = &mut turn => {
                    turn.spend(self.bytes);
                    sleep(transfer_time(self.bytes, MEMBER_MBPS)).await;
                    break;
                }
                () = upload_freed.notified() => {}
            }
        }
        if relays {
            self.fan_out.lock().expect("not poisoned").add_holder(self.blob, &receiver);
        }
        began.elapsed()
    }

    async fn fetch(&self, from: SocketAddr) {
        let at = (0..self.behaviors.len()).find(|at| self.peer(*at).addr == from);
        let at = at.expect("a gateway");
        let mbps = match self.behaviors[at] {
            Behavior::Unresponsive => return std::future::pending().await,
            Behavior::Slow => GATEWAY_MBPS / 10.0,
            Behavior::Healthy => GATEWAY_MBPS,
        };
        let _link = self.links[at].lock().await;
        sleep(transfer_time(self.bytes, mbps)).await;
    }
}

/// Time until the last gateway of a member has the blob.
async fn deliver_to_all(gateways: usize, bytes: usize, relays: bool) -> Duration {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    let followers = Followers::new(gateways, bytes, &mut rng);
    let deliveries =
        (0..gateways).map(|gateway| tokio::spawn(followers.clone().deliver(gateway, relays)));
    let times = futures_util::future::join_all(deliveries).await;
    times.into_iter().map(|time| time.expect("no panic")).max().expect("gateways")
}

/// Must take at most half of the bound of 3 s, while a fifth of the gateways that have the blob do not relay it.
#[tokio::test(start_paused = true)]
async fn a_large_change_reaches_every_gateway_of_a_member_soon_however_many() {
    for gateways in [2, 17, 59, 75, 200] {
        let longest = deliver_to_all(gateways, CHANGE_BYTES, true).await;
        println!("{gateways} gateways of one member: the last after {longest:?}");
        assert!(longest < Duration::from_millis(1_500), "{longest:?} with {gateways} gateways");
    }
}

/// All gateways start together and need the whole list.
#[tokio::test(start_paused = true)]
async fn a_long_list_reaches_every_gateway_of_a_member_soon() {
    let longest = deliver_to_all(68, LIST_BYTES, true).await;
    assert!(longest < Duration::from_secs(2), "{longest:?}");
}

/// Without relaying, members take too long at the share of their link that is for large blobs.
#[tokio::test(start_paused = true)]
async fn members_alone_would_take_too_long_for_hundreds_of_gateways() {
    assert!(deliver_to_all(59, CHANGE_BYTES, false).await > Duration::from_secs(5));
}

#[test]
fn an_upload_is_assigned_once_and_free_again_when_the_blob_was_relayed() {
    let blob = Blob::new(vec![1; 9].into()).id();
    let peer = |port: u16, hall: &str| PeerGateway {
        addr: SocketAddr::from(([10, 0, 0, 1], port)),
        data_hall: hall.to_owned(),
    };
    let (far, near, receiver) = (peer(1, "a"), peer(2, "b"), peer(3, "b"));
    let mut fan_out = FanOut::default();
    assert_eq!(fan_out.assign_source(blob, &receiver), None);
    fan_out.add_holder(blob, &far);
    fan_out.add_holder(blob, &near);
    fan_out.add_holder(blob, &receiver);
    let sources: Vec<_> = std::iter::from_fn(|| fan_out.assign_source(blob, &receiver)).collect();
    assert!(sources.iter().all(|addr| *addr != receiver.addr), "a gateway is not its own source");
    let (of_near, of_far) = sources.split_at(sources.len() / 2);
    assert!(
        of_near.iter().all(|addr| *addr == near.addr),
        "sources in its own data hall come first: {sources:?}"
    );
    assert!(of_far.iter().all(|addr| *addr == far.addr));
    fan_out.release_upload(blob, far.addr);
    assert_eq!(fan_out.assign_source(blob, &receiver), Some(far.addr));
    fan_out.release_upload(blob, near.addr);
    fan_out.fetch_failed(blob, near.addr);
    assert_eq!(fan_out.assign_source(blob, &receiver), None);
    fan_out.release_upload(blob, far.addr);
    fan_out.remove_gateway(far.addr);
    assert_eq!(fan_out.assign_source(blob, &receiver), None);
}
