//! The ledger of bytes buffered for slow clients, against a naive one.

use std::collections::BTreeMap;
use std::time::Duration;

use latchmount::gateway::buffer_ledger::{BufferLedger, ClientId, Reservation};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::seeds;

/// Maximum bytes of the ledgers in these tests.
const MAX_BYTES: usize = 10_000;
/// Time after which a client that the gateway waits for counts as slow and may be disconnected.
const SLOW_AFTER: Duration = Duration::from_secs(1);

/// For each client its buffered bytes, and since when the gateway waits for it.
type Naive = BTreeMap<ClientId, (usize, Option<Duration>)>;

fn held(naive: &Naive) -> usize {
    naive.values().map(|(bytes, _)| bytes).sum()
}

/// Disconnects slow clients, the largest product of bytes and waiting time first, until there is room. Disconnects
/// nobody and returns `None` if that does not make enough room.
fn naive_reserve(
    naive: &mut Naive,
    now: Duration,
    id: ClientId,
    bytes: usize,
) -> Option<Vec<ClientId>> {
    let mut remaining = naive.clone();
    let mut disconnected = Vec::new();
    while held(&remaining) + bytes > MAX_BYTES {
        let weight = |(bytes, since): &(usize, Option<Duration>)| {
            let waited = now.saturating_sub((*since)?);
            (*bytes > 0 && waited >= SLOW_AFTER).then_some(*bytes as f64 * waited.as_secs_f64())
        };
        let slow = remaining.iter().filter(|(other, _)| **other != id);
        let slow = slow.filter_map(|(other, entry)| Some((weight(entry)?, *other)));
        let (_, worst) = slow.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)))?;
        remaining.remove(&worst);
        disconnected.push(worst);
    }
    remaining.get_mut(&id)?.0 += bytes;
    *naive = remaining;
    Some(disconnected)
}

#[test]
fn the_ledger_disconnects_the_same_clients_as_the_naive_one_and_stays_within_its_limit() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    for round in 0..200 {
        let (mut ledger, mut naive) = (BufferLedger::new(MAX_BYTES), Naive::new());
        let mut now = Duration::ZERO;
        for _ in 0..200 {
            now += Duration::from_millis(rng.random_range(0..300));
            let ids: Vec<ClientId> = naive.keys().copied().collect();
            let Some(id) = ids.get(rng.random_range(0..ids.len().max(1))).copied() else {
                naive.insert(ledger.open(), (0, None));
                continue;
            };
            match rng.random_range(0..10) {
                0 => {
                    naive.insert(ledger.open(), (0, None));
                }
                1 => {
                    ledger.close(id);
                    naive.remove(&id);
                }
                2 | 3 => {
                    ledger.start_waiting(now, id);
                    naive.get_mut(&id).expect("an open client").1.get_or_insert(now);
                }
                4 => {
                    ledger.stop_waiting(id);
                    naive.get_mut(&id).expect("an open client").1 = None;
                }
                5 => {
                    let bytes = rng.random_range(0..1_000);
                    ledger.release(id, bytes);
                    let entry = naive.get_mut(&id).expect("an open client");
                    entry.0 = entry.0.saturating_sub(bytes);
                }
                _ => {
                    let bytes = rng.random_range(0..3_000);
                    let disconnected = match ledger.reserve(now, id, bytes) {
                        Reservation::Granted(disconnected) => Some(disconnected),
                        Reservation::Refused => None,
                    };
                    assert_eq!(
                        disconnected,
                        naive_reserve(&mut naive, now, id, bytes),
                        "{seed} {round}"
                    );
                }
            }
            assert_eq!(ledger.held(), held(&naive), "seed {seed} round {round}");
            assert!(ledger.held() <= MAX_BYTES);
        }
    }
}

/// Slow clients fill the ledger while quick clients come and go: hardly any quick one may be refused.
#[test]
fn hundreds_of_slow_clients_cost_the_quick_ones_nothing() {
    const BODY: usize = 500;
    let mut ledger = BufferLedger::new(MAX_BYTES);
    let mut slow: Vec<ClientId> = Vec::new();
    let (mut served, mut refused) = (0, 0);
    for step in 0..6_000_u64 {
        let now = Duration::from_millis(step * 10);
        // A slow client arrives every 200 ms, sends or reads 500 bytes and then stalls: together they take a quarter of the
        // limit each second. In production a link of 10 Mbit/s fills a fiftieth of a limit of 64 MB each second.
        if step % 20 == 0 {
            let id = ledger.open();
            ledger.start_waiting(now, id);
            if let Reservation::Granted(disconnected) = ledger.reserve(now, id, BODY) {
                slow.retain(|other| !disconnected.contains(other));
                slow.push(id);
            }
        }
        // A quick client arrives every 10 ms and finishes at once.
        let id = ledger.open();
        match ledger.reserve(now, id, BODY) {
            Reservation::Granted(disconnected) => {
                served += 1;
                slow.retain(|other| !disconnected.contains(other));
            }
            Reservation::Refused => refused += 1,
        }
        ledger.close(id);
    }
    assert!(f64::from(refused) <= 0.05 * f64::from(served + refused), "{served} {refused}");
    assert!(slow.len() <= MAX_BYTES / BODY);
}

#[test]
fn only_slow_clients_are_disconnected_and_only_if_that_makes_enough_room() {
    let mut ledger = BufferLedger::new(MAX_BYTES);
    let (quick, slow, new) = (ledger.open(), ledger.open(), ledger.open());
    let at = Duration::from_secs;
    assert_eq!(ledger.reserve(at(0), quick, 8_000), Reservation::Granted(vec![]));
    ledger.start_waiting(at(0), slow);
    assert_eq!(ledger.reserve(at(0), slow, 1_500), Reservation::Granted(vec![]));
    assert_eq!(ledger.reserve(at(100), new, 3_000), Reservation::Refused);
    assert_eq!(ledger.reserve(at(100), new, 2_000), Reservation::Granted(vec![slow]));
    assert_eq!(ledger.reserve(at(100), slow, 1), Reservation::Refused);
}
