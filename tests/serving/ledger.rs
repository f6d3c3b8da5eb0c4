//! The ledger of memory held for connections, against a naive one.

use std::collections::BTreeMap;
use std::time::Duration;

use latchmount::serving::ledger::{
    Admission, Bounds, BufferLedger, ClientId, Reservation, SMALL_BYTES, WaitFor,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::seeds;

/// Time after which a client that the process waits for counts as slow and may be disconnected.
const SLOW_AFTER: Duration = Duration::from_secs(1);
/// Time in which a connection that is to be closed normally is.
const CLOSES_WITHIN: Duration = Duration::from_millis(100);
/// Bounds of the ledgers in these tests.
const BOUNDS: Bounds = Bounds { max_bytes: 10_000, max_connections: 5, min_wait: SLOW_AFTER };
/// Bounds at which bodies larger than [`SMALL_BYTES`] leave memory to others.
const LARGE: Bounds = Bounds { max_bytes: 1_000_000, ..BOUNDS };
const WAITS: [WaitFor; 3] = [WaitFor::Request, WaitFor::Body, WaitFor::Read];

/// A client of the naive ledger.
#[derive(Clone, Copy, Debug, Default)]
struct Client {
    held: usize,
    waits: [Option<Duration>; 3],
    answered: bool,
    closing: Option<Duration>,
}

impl Client {
    /// How long the process has waited for it, if that makes it slow.
    fn slow_for(&self, now: Duration) -> Option<Duration> {
        let since = self.waits.into_iter().flatten().min()?;
        let waited = now - since;
        (waited >= SLOW_AFTER).then_some(waited)
    }
}

/// What the naive ledger says to a request for memory or for a connection.
#[derive(Debug, PartialEq)]
enum Said {
    Yes,
    Later(Vec<ClientId>),
    No,
}

#[derive(Debug)]
struct Naive {
    bounds: Bounds,
    clients: BTreeMap<ClientId, Client>,
}

impl Naive {
    fn new(bounds: Bounds) -> Self {
        Naive { bounds, clients: BTreeMap::new() }
    }

    fn held(&self) -> usize {
        self.clients.values().map(|client| client.held).sum()
    }

    /// Disconnects slow clients, the largest product of bytes and waiting time first, until what is left fits beside
    /// `bytes` more. Disconnects nobody if that does not make enough room.
    fn find_memory(&mut self, now: Duration, id: Option<ClientId>, bytes: usize) -> Said {
        let own = id.map_or(Some(0), |id| {
            self.clients.get(&id).filter(|own| own.closing.is_none()).map(|own| own.held)
        });
        let Some(own) = own else {
            return Said::No;
        };
        let small = own + bytes <= SMALL_BYTES;
        let limit = self.bounds.max_bytes - if small { 0 } else { self.bounds.max_bytes / 10 };
        if self.held() + bytes <= limit {
            return Said::Yes;
        }
        let mut disconnected = Vec::new();
        loop {
            let staying = |(other, client): &(&ClientId, &Client)| {
                client.closing.is_none() && !disconnected.contains(*other)
            };
            let stays: usize =
                self.clients.iter().filter(staying).map(|(_, client)| client.held).sum();
            if stays + bytes <= limit {
                break;
            }
            let slow = self.clients.iter().filter(staying).filter_map(|(other, client)| {
                let waited = client.slow_for(now).filter(|_| client.held > 0)?;
                (Some(*other) != id).then_some((client.held as f64 * waited.as_secs_f64(), *other))
            });
            let worst = slow.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            let Some((_, worst)) = worst else {
                return Said::No;
            };
            disconnected.push(worst);
        }
        for other in &disconnected {
            self.clients.get_mut(other).expect("an open client").closing = Some(now);
        }
        Said::Later(disconnected)
    }

    /// Lets a client in, or disconnects the one that has been slow for longest, those without an answer first.
    fn admit(&mut self, now: Duration, bytes: usize) -> Said {
        if self.clients.len() < self.bounds.max_connections {
            return self.find_memory(now, None, bytes);
        }
        let mut closing = self.clients.values().filter_map(|client| client.closing);
        if closing.any(|since| now - since < CLOSES_WITHIN) {
            return Said::Later(Vec::new());
        }
        let mut slow: Vec<(bool, Duration, ClientId)> = Vec::new();
        for (id, client) in self.clients.iter().filter(|(_, client)| client.closing.is_none()) {
            slow.extend(client.slow_for(now).map(|waited| (client.answered, waited, *id)));
        }
        slow.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        let Some((_, _, worst)) = slow.first() else {
            return Said::No;
        };
        self.clients.get_mut(worst).expect("an open client").closing = Some(now);
        Said::Later(vec![*worst])
    }
}

fn said(reservation: Reservation) -> Said {
    match reservation {
        Reservation::Granted => Said::Yes,
        Reservation::Pending(disconnected) => Said::Later(disconnected),
        Reservation::Refused => Said::No,
    }
}

/// Does the same random step to both ledgers, and compares what they say.
fn step(
    rng: &mut StdRng,
    now: Duration,
    ledger: &mut BufferLedger,
    naive: &mut Naive,
    most: usize,
) {
    let ids: Vec<ClientId> = naive.clients.keys().copied().collect();
    let id = ids.get(rng.random_range(0..ids.len().max(1))).copied();
    let bytes = rng.random_range(0..most);
    let (Some(id), 1..) = (id, rng.random_range(0..12)) else {
        let expected = naive.admit(now, bytes / 10);
        match ledger.admit(now, bytes / 10) {
            Admission::Admitted(id) => {
                assert_eq!(expected, Said::Yes);
                let waits = [Some(now), None, None];
                let client = Client { held: bytes / 10, waits, ..Client::default() };
                naive.clients.insert(id, client);
            }
            Admission::Pending(disconnected) => assert_eq!(expected, Said::Later(disconnected)),
            Admission::Full => assert_eq!(expected, Said::No),
        }
        return;
    };
    let wait = WAITS[rng.random_range(0..WAITS.len())];
    let client = naive.clients.get_mut(&id).expect("an open client");
    match rng.random_range(0..12) {
        0 | 1 => {
            ledger.close(id);
            naive.clients.remove(&id);
        }
        2 | 3 => {
            ledger.start_waiting(now, id, wait);
            client.waits[wait as usize].get_or_insert(now);
        }
        4 => {
            ledger.stop_waiting(id, wait);
            client.waits[wait as usize] = None;
        }
        5 => {
            ledger.record_answer(now, id);
            client.answered = true;
            client.waits[0].get_or_insert(now);
        }
        6 => {
            ledger.release(id, bytes / 3);
            client.held = client.held.saturating_sub(bytes / 3);
        }
        7 => {
            let closing = client.closing.is_some();
            let small = client.held + bytes <= SMALL_BYTES;
            let max = naive.bounds.max_bytes;
            let limit = if small { max } else { max - max / 10 };
            let free = !closing && naive.held() + bytes <= limit;
            assert_eq!(ledger.reserve_free(id, bytes), free);
            if free {
                naive.clients.get_mut(&id).expect("an open client").held += bytes;
            }
        }
        _ => {
            let expected = naive.find_memory(now, Some(id), bytes);
            assert_eq!(said(ledger.reserve(now, id, bytes)), expected);
            if expected == Said::Yes {
                naive.clients.get_mut(&id).expect("an open client").held += bytes;
            }
        }
    }
}

#[test]
fn the_ledger_disconnects_the_same_clients_as_the_naive_one_and_stays_within_its_limit() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    for round in 0..200 {
        let (bounds, most) = if round % 2 == 0 { (BOUNDS, 3_000) } else { (LARGE, 300_000) };
        let (mut ledger, mut naive) = (BufferLedger::new(bounds), Naive::new(bounds));
        let mut now = Duration::ZERO;
        for _ in 0..300 {
            now += Duration::from_millis(rng.random_range(0..300));
            step(&mut rng, now, &mut ledger, &mut naive, most);
            assert_eq!(ledger.held(), naive.held(), "seed {seed} round {round}");
            assert_eq!(ledger.connections(), naive.clients.len(), "seed {seed} round {round}");
            assert!(ledger.held() <= bounds.max_bytes);
            assert!(ledger.connections() <= bounds.max_connections);
        }
    }
}

/// Lets a connection in whose memory does not count.
fn admit(ledger: &mut BufferLedger, now: Duration) -> ClientId {
    match ledger.admit(now, 0) {
        Admission::Admitted(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Reserves bytes, and closes the connections that must be closed for them.
fn reserve(
    ledger: &mut BufferLedger,
    now: Duration,
    id: ClientId,
    bytes: usize,
) -> Option<Vec<ClientId>> {
    match ledger.reserve(now, id, bytes) {
        Reservation::Granted => Some(Vec::new()),
        Reservation::Refused => None,
        Reservation::Pending(disconnected) => {
            disconnected.iter().for_each(|slow| ledger.close(*slow));
            assert_eq!(ledger.reserve(now, id, bytes), Reservation::Granted);
            Some(disconnected)
        }
    }
}

/// Slow clients fill the ledger while quick clients come and go: hardly any quick one may be refused.
#[test]
fn hundreds_of_slow_clients_cost_the_quick_ones_nothing() {
    const BODY: usize = 500;
    let bounds = Bounds { max_connections: 1_000, ..BOUNDS };
    let mut ledger = BufferLedger::new(bounds);
    let mut slow: Vec<ClientId> = Vec::new();
    let (mut served, mut refused) = (0, 0);
    for step in 0..6_000_u64 {
        let now = Duration::from_millis(step * 10);
        // A slow client arrives every 200 ms, sends or reads 500 bytes and then stalls: together they take a quarter of the
        // limit each second. In production a link of 10 Mbit/s fills a fiftieth of a limit of 64 MB each second.
        if step % 20 == 0 {
            let id = admit(&mut ledger, now);
            ledger.start_waiting(now, id, WaitFor::Body);
            if let Some(disconnected) = reserve(&mut ledger, now, id, BODY) {
                slow.retain(|other| !disconnected.contains(other));
                slow.push(id);
            }
        }
        // A quick client arrives every 10 ms and finishes at once.
        let id = admit(&mut ledger, now);
        match reserve(&mut ledger, now, id, BODY) {
            Some(disconnected) => {
                served += 1;
                slow.retain(|other| !disconnected.contains(other));
            }
            None => refused += 1,
        }
        ledger.close(id);
    }
    assert!(f64::from(refused) <= 0.05 * f64::from(served + refused), "{served} {refused}");
    assert!(slow.len() <= BOUNDS.max_bytes / BODY);
}

#[test]
fn only_slow_clients_are_disconnected_and_only_if_that_makes_enough_room() {
    let mut ledger = BufferLedger::new(BOUNDS);
    let at = Duration::from_secs;
    let (quick, slow, new) =
        (admit(&mut ledger, at(0)), admit(&mut ledger, at(0)), admit(&mut ledger, at(100)));
    ledger.stop_waiting(quick, WaitFor::Request);
    assert_eq!(reserve(&mut ledger, at(0), quick, 8_000), Some(vec![]));
    assert_eq!(reserve(&mut ledger, at(0), slow, 1_500), Some(vec![]));
    assert_eq!(reserve(&mut ledger, at(100), new, 3_000), None);
    assert_eq!(reserve(&mut ledger, at(100), new, 2_000), Some(vec![slow]));
    assert_eq!(reserve(&mut ledger, at(100), slow, 1), None);
}

#[test]
fn bytes_of_a_connection_that_is_being_closed_count_until_it_is_closed() {
    let mut ledger = BufferLedger::new(BOUNDS);
    let at = Duration::from_secs;
    let (slow, new) = (admit(&mut ledger, at(0)), admit(&mut ledger, at(10)));
    assert_eq!(ledger.reserve(at(0), slow, 9_000), Reservation::Granted);
    assert_eq!(ledger.reserve(at(10), new, 5_000), Reservation::Pending(vec![slow]));
    assert_eq!(ledger.held(), 9_000);
    assert_eq!(ledger.reserve(at(10), new, 5_000), Reservation::Pending(vec![]));
    ledger.close(slow);
    assert_eq!(ledger.reserve(at(10), new, 5_000), Reservation::Granted);
}

#[test]
fn a_client_without_an_answer_makes_room_before_one_that_waits_between_requests() {
    let mut ledger = BufferLedger::new(Bounds { max_connections: 2, ..BOUNDS });
    let at = Duration::from_secs;
    let (ordinary, silent) = (admit(&mut ledger, at(0)), admit(&mut ledger, at(5)));
    ledger.record_answer(at(0), ordinary);
    assert_eq!(ledger.admit(at(5), 0), Admission::Pending(vec![ordinary]));
    ledger.close(ordinary);
    let ordinary = admit(&mut ledger, at(5));
    ledger.record_answer(at(5), ordinary);
    assert_eq!(ledger.admit(at(20), 0), Admission::Pending(vec![silent]));
}

#[test]
fn a_connection_that_does_not_close_at_once_keeps_no_other_from_making_room() {
    let mut ledger = BufferLedger::new(Bounds { max_connections: 2, ..BOUNDS });
    let at = Duration::from_millis;
    let (first, second) = (admit(&mut ledger, at(0)), admit(&mut ledger, at(100)));
    assert_eq!(ledger.admit(at(2_000), 0), Admission::Pending(vec![first]));
    assert_eq!(ledger.admit(at(2_050), 0), Admission::Pending(vec![]));
    assert_eq!(ledger.admit(at(2_100), 0), Admission::Pending(vec![second]));
    assert_eq!(ledger.admit(at(3_000), 0), Admission::Full);
}
