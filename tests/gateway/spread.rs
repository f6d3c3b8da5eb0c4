//! Large news among very many gateways: members, links and gateways in virtual time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use latchmount::blob::{Blob, BlobId};
use latchmount::group::fan_out::{FanOut, PeerGateway};
use latchmount::group::pacer::{LARGE_BLOBS_SHARE, Pacer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Mutex as Link;
use tokio::time::{Instant, sleep, timeout};

use crate::seeds;

/// A change of 1,600 routes, packed.
const CHANGE_BYTES: usize = 20_900;
/// A list of 3,000 targets, packed.
const LIST_BYTES: usize = 32_000;
const MEMBER_MBPS: f64 = 6.0;
const GATEWAY_MBPS: f64 = 10.0;
const HALLS: usize = 6;
/// Silence after which a gateway gives up a fetch.
const SILENCE: Duration = Duration::from_millis(300);
/// A message there and back.
const ROUND_TRIP: Duration = Duration::from_millis(1);

/// What becomes of a gateway that was sent the parcel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It passes the parcel on.
    Sound,
    /// It says nothing to others, as one that is cut off from them or lost power.
    Dark,
    /// Its link carries a tenth of the usual.
    Slow,
}

impl Fate {
    fn draw(rng: &mut StdRng) -> Self {
        match rng.random::<f64>() {
            part if part < 0.18 => Fate::Dark,
            part if part < 0.23 => Fate::Slow,
            _ => Fate::Sound,
        }
    }
}

fn takes(bytes: usize, mbps: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / (mbps * 125_000.0))
}

/// The gateways of one member, and what each is worth to the others.
struct Followers {
    fan_out: Mutex<FanOut>,
    pacer: Pacer,
    parcel: BlobId,
    bytes: usize,
    fates: Vec<Fate>,
    /// One fetch at a time leaves each gateway's link.
    links: Vec<Link<()>>,
}

impl Followers {
    fn new(gateways: usize, bytes: usize, rng: &mut StdRng) -> Arc<Self> {
        Arc::new(Followers {
            fan_out: Mutex::default(),
            pacer: Pacer::new(MEMBER_MBPS, LARGE_BLOBS_SHARE),
            parcel: Blob::new(vec![7; bytes].into()).id(),
            bytes,
            fates: (0..gateways).map(|_| Fate::draw(rng)).collect(),
            links: (0..gateways).map(|_| Link::default()).collect(),
        })
    }

    fn neighbour(&self, gateway: usize) -> PeerGateway {
        let addr = SocketAddr::from(([10, 0, (gateway / 250) as u8, (gateway % 250) as u8], 80));
        PeerGateway { addr, data_hall: format!("hall-{}", gateway % HALLS) }
    }

    /// Time until the gateway has the parcel, as its member's feed has it get one.
    async fn spread_to(self: Arc<Self>, gateway: usize, passes_on: bool) -> Duration {
        let began = Instant::now();
        let own = self.neighbour(gateway);
        let mut turn = Box::pin(self.pacer.turn());
        loop {
            let room = self.fan_out.lock().expect("sound").upload_freed(self.parcel);
            let from = self.fan_out.lock().expect("sound").assign_source(self.parcel, &own);
            if let Some(from) = from.filter(|_| passes_on) {
                sleep(ROUND_TRIP).await;
                let fetched = timeout(SILENCE, self.fetch(from)).await.is_ok();
                let mut fan_out = self.fan_out.lock().expect("sound");
                if fetched {
                    fan_out.release_upload(self.parcel, from);
                    break;
                }
                fan_out.fetch_failed(self.parcel, from);
                continue;
            }
            tokio::select! {
                turn = &mut turn => {
                    turn.spend(self.bytes);
                    sleep(takes(self.bytes, MEMBER_MBPS)).await;
                    break;
                }
                () = room.notified() => {}
            }
        }
        if passes_on {
            self.fan_out.lock().expect("sound").add_holder(self.parcel, &own);
        }
        began.elapsed()
    }

    async fn fetch(&self, from: SocketAddr) {
        let at = (0..self.fates.len()).find(|at| self.neighbour(*at).addr == from);
        let at = at.expect("a gateway");
        let mbps = match self.fates[at] {
            Fate::Dark => return std::future::pending().await,
            Fate::Slow => GATEWAY_MBPS / 10.0,
            Fate::Sound => GATEWAY_MBPS,
        };
        let _link = self.links[at].lock().await;
        sleep(takes(self.bytes, mbps)).await;
    }
}

/// Time until the last gateway of a member has the parcel.
async fn spread(gateways: usize, bytes: usize, passes_on: bool) -> Duration {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    let followers = Followers::new(gateways, bytes, &mut rng);
    let all =
        (0..gateways).map(|gateway| tokio::spawn(followers.clone().spread_to(gateway, passes_on)));
    let times = futures_util::future::join_all(all).await;
    times.into_iter().map(|time| time.expect("no panic")).max().expect("gateways")
}

/// Half of the bound of 3 s, while a fifth of those that have it do not pass it on.
#[tokio::test(start_paused = true)]
async fn a_large_change_reaches_every_gateway_of_a_member_soon_however_many() {
    for gateways in [2, 17, 59, 75, 200] {
        let last = spread(gateways, CHANGE_BYTES, true).await;
        println!("{gateways} gateways of one member: the last after {last:?}");
        assert!(last < Duration::from_millis(1_500), "{last:?} with {gateways} gateways");
    }
}

/// All gateways start, and need the whole list.
#[tokio::test(start_paused = true)]
async fn a_long_list_reaches_every_gateway_of_a_member_soon() {
    let last = spread(68, LIST_BYTES, true).await;
    assert!(last < Duration::from_secs(2), "{last:?}");
}

/// What the members alone would take, at the part of their link that is for such news.
#[tokio::test(start_paused = true)]
async fn members_alone_would_keep_the_last_of_hundreds_waiting() {
    assert!(spread(59, CHANGE_BYTES, false).await > Duration::from_secs(5));
}

#[test]
fn a_place_is_taken_once_and_free_again_when_the_parcel_was_passed_on() {
    let parcel = Blob::new(vec![1; 9].into()).id();
    let neighbour = |port: u16, hall: &str| PeerGateway {
        addr: SocketAddr::from(([10, 0, 0, 1], port)),
        data_hall: hall.to_owned(),
    };
    let (far, near, asker) = (neighbour(1, "a"), neighbour(2, "b"), neighbour(3, "b"));
    let mut fan_out = FanOut::default();
    assert_eq!(fan_out.assign_source(parcel, &asker), None);
    fan_out.add_holder(parcel, &far);
    fan_out.add_holder(parcel, &near);
    fan_out.add_holder(parcel, &asker);
    let lent: Vec<_> = std::iter::from_fn(|| fan_out.assign_source(parcel, &asker)).collect();
    assert!(lent.iter().all(|addr| *addr != asker.addr), "a gateway is not named to itself");
    let (of_near, of_far) = lent.split_at(lent.len() / 2);
    assert!(of_near.iter().all(|addr| *addr == near.addr), "its own data hall first: {lent:?}");
    assert!(of_far.iter().all(|addr| *addr == far.addr));
    fan_out.release_upload(parcel, far.addr);
    assert_eq!(fan_out.assign_source(parcel, &asker), Some(far.addr));
    fan_out.release_upload(parcel, near.addr);
    fan_out.fetch_failed(parcel, near.addr);
    assert_eq!(fan_out.assign_source(parcel, &asker), None);
    fan_out.release_upload(parcel, far.addr);
    fan_out.remove_gateway(far.addr);
    assert_eq!(fan_out.assign_source(parcel, &asker), None);
}
