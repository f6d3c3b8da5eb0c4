//! Tells gateways of every change, and that the member still hears a leader.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::Shared;
use super::message::{FromMember, Subscription, TargetLoad, ToMember, Update, loads_interval};
use crate::control::member::Published;
use crate::link::{FrameReceiver, FrameSender, LinkError};
use crate::sync::lock;

/// Between two signs of life to a gateway while nothing is in flight.
const SIGN_OF_LIFE: Duration = Duration::from_millis(400);

/// What a gateway has been sent.
struct Cursor {
    version: u64,
    directory: u64,
    members: Vec<std::net::SocketAddr>,
    gateways: u32,
    fresh: bool,
    /// When loads are to be told next.
    loads_at: Duration,
    /// Whether nothing is in flight anywhere.
    idle: bool,
}

/// A configuration on its way to a gateway.
struct UnderWay {
    version: u64,
    since: Instant,
}

/// Serves one gateway until its connection ends.
pub(super) async fn serve(
    shared: &Shared,
    subscription: Subscription,
    sender: FrameSender,
    mut receiver: FrameReceiver,
) -> Result<(), LinkError> {
    let gateway = subscription.gateway.clone();
    lock(&shared.presence).connect(&gateway);
    let under_way = Mutex::new(None);
    let closed = async {
        loop {
            let now = shared.now();
            match receiver.receive().await? {
                ToMember::Loads(loads) => {
                    lock(&shared.board).hear_gateway(now, &gateway, loads);
                }
                ToMember::InForce(version) => note_in_force(shared, &under_way, version),
                _ => return Err(LinkError::Garbled),
            }
        }
    };
    let ended = tokio::select! {
        ended = push(shared, subscription, sender, &under_way) => ended,
        ended = closed => ended,
    };
    let now = shared.now();
    lock(&shared.presence).disconnect(now, &gateway);
    lock(&shared.board).forget_gateway(&gateway);
    ended
}

/// The gateway tells which configuration it now works by.
fn note_in_force(shared: &Shared, under_way: &Mutex<Option<UnderWay>>, version: u64) {
    let mut under_way = lock(under_way);
    if let Some(sent) = under_way.take_if(|sent| sent.version <= version) {
        shared.metrics.in_force.observe(sent.since.elapsed().as_secs_f64());
    }
}

async fn push(
    shared: &Shared,
    subscription: Subscription,
    mut sender: FrameSender,
    under_way: &Mutex<Option<UnderWay>>,
) -> Result<(), LinkError> {
    let mut cursor = Cursor {
        version: subscription.version,
        directory: subscription.directory,
        members: Vec::new(),
        gateways: 0,
        fresh: false,
        loads_at: Duration::ZERO,
        idle: true,
    };
    let mut published = shared.member.published();
    let mut sign_at = tokio::time::Instant::now();
    loop {
        let now = published.borrow_and_update().clone();
        let before = cursor.version;
        let (update, news) = next_update(shared, &now, &mut cursor);
        if before > 0 && cursor.version > before {
            *lock(under_way) = Some(UnderWay { version: cursor.version, since: Instant::now() });
        }
        let due = tokio::time::Instant::now() >= sign_at;
        if news || due {
            let loads = loads_interval(update.gateways);
            let pause = if cursor.idle { SIGN_OF_LIFE } else { loads.min(SIGN_OF_LIFE) };
            sender.send(&FromMember::Update(Box::new(update))).await?;
            sign_at = tokio::time::Instant::now() + pause;
        }
        tokio::select! {
            changed = published.changed() => changed.map_err(|_| LinkError::Closed)?,
            () = tokio::time::sleep_until(sign_at) => {}
        }
    }
}

/// What the gateway lacks, and whether it is worth a frame before the next sign of life.
fn next_update(shared: &Shared, published: &Published, cursor: &mut Cursor) -> (Update, bool) {
    let newest = published.document.as_ref();
    let document = newest.and_then(|newest| lock(&shared.archive).pack(newest, cursor.version));
    let directory = published.directory.since(cursor.directory);
    let directory = directory.filter(|delta| delta.revision > cursor.directory);
    let addrs: Vec<_> = published.members.0.iter().map(|member| member.addr).collect();
    let members = (addrs != cursor.members).then(|| addrs.clone());
    let fresh = shared.member.standing().fresh(Instant::now());
    let now = shared.now();
    let gateways = lock(&shared.presence).alive(now);
    let loads = next_loads(shared, cursor, gateways);
    let news = document.is_some() || directory.is_some() || members.is_some();
    let news = news || gateways != cursor.gateways || fresh != cursor.fresh;
    cursor.version = document.as_ref().map_or(cursor.version, |document| document.version);
    cursor.directory = directory.as_ref().map_or(cursor.directory, |delta| delta.revision);
    cursor.members = addrs;
    cursor.gateways = gateways;
    cursor.fresh = fresh;
    (Update { fresh, document, directory, members, gateways, loads }, news)
}

/// What is in flight at the targets, when it is time to tell.
fn next_loads(shared: &Shared, cursor: &mut Cursor, gateways: u32) -> Option<Vec<TargetLoad>> {
    let now = shared.now();
    if now < cursor.loads_at {
        return None;
    }
    cursor.loads_at = now + loads_interval(gateways);
    let loads = lock(&shared.board).everywhere(now, gateways);
    cursor.idle = loads.is_empty();
    Some(loads)
}
