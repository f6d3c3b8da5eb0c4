//! Cold targets: how many requests gateways that decide independently send one in its busiest second.

use std::time::Duration;

use latchmount::directory::{Announcement, Directory, HeartbeatClass, TargetState};
use latchmount::gateway::cold::{ColdRule, ColdState};
use latchmount::gateway::fleet_size::FleetSize;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::directory::heartbeat;
use crate::seeds;

const RULE: ColdRule = ColdRule { per_s: 13.0, over: 1.5, slack: 5.0 };
/// How long a target stays cold after its start, in seconds.
const COLD_S: f64 = 3.0;
/// Cold starts simulated for each case.
const COLD_STARTS: u64 = 400;
/// One gateway of so many gets its updates up to `COLD_S` late, the others up to 0.5 s.
const LATE_EVERY: usize = 10;

/// Ways to share the rate bound among gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Each gateway uses its part of the rate.
    Part,
    /// Four gateways, chosen by a hash over their names, share the rate; the others send nothing.
    Few,
    /// Members give permits to random gateways ten times a second; a permit that no request uses in its interval
    /// expires.
    Permits,
}

/// Requests that a cold target got.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    busiest_second: usize,
    /// Fraction of the requests that were sent to it.
    taken: f64,
}

/// Requests that could go to the target while it is cold: the time, in seconds, and the gateway of each.
fn requests(rng: &mut StdRng, gateways: usize, per_second: f64) -> Vec<(f64, usize)> {
    let mut now = 0.0;
    let mut requests = Vec::new();
    loop {
        now += -rng.random::<f64>().max(1e-12).ln() / per_second;
        if now > COLD_S {
            return requests;
        }
        requests.push((now, rng.random_range(0..gateways)));
    }
}

/// When each gateway is notified of the new cold target.
fn notified(rng: &mut StdRng, gateways: usize) -> Vec<f64> {
    let notified_at = |at: usize| {
        let latest = if at.is_multiple_of(LATE_EVERY) { COLD_S } else { 0.5 };
        rng.random_range(0.0..latest)
    };
    (0..gateways).map(notified_at).collect()
}

fn sent(rng: &mut StdRng, way: Way, gateways: usize, requests: &[(f64, usize)]) -> Vec<f64> {
    let notified = notified(rng, gateways);
    match way {
        Way::Part => by_part(rng, &notified, requests),
        Way::Few => by_few(rng, &notified, requests),
        Way::Permits => by_permits(rng, &notified, requests),
    }
}

fn by_part(rng: &mut StdRng, notified: &[f64], requests: &[(f64, usize)]) -> Vec<f64> {
    let (cold_start, gap) = (Duration::from_secs_f64(COLD_S), RULE.gap(notified.len() as u32));
    let mut states = vec![ColdState::default(); notified.len()];
    for (state, at) in states.iter_mut().zip(notified) {
        state.note_cold_left(Duration::from_secs_f64(*at), cold_start);
    }
    let mut sent = Vec::new();
    for (at, gateway) in requests.iter().filter(|(at, gateway)| *at >= notified[*gateway]) {
        let now = Duration::from_secs_f64(*at);
        if states[*gateway].may_send(now, cold_start, gap, || rng.random()) {
            states[*gateway].note_sent(now, gap);
            sent.push(*at);
        }
    }
    sent
}

fn by_few(rng: &mut StdRng, notified: &[f64], requests: &[(f64, usize)]) -> Vec<f64> {
    let few = 4.0;
    let gap = few / (RULE.max_per_second() * 0.4);
    let chosen: Vec<bool> =
        notified.iter().map(|_| rng.random_bool((few / notified.len() as f64).min(1.0))).collect();
    let mut next: Vec<f64> = notified.iter().map(|at| at + rng.random::<f64>() * gap).collect();
    let mut sent = Vec::new();
    for (at, gateway) in requests {
        if chosen[*gateway] && *at >= notified[*gateway] && *at >= next[*gateway] {
            next[*gateway] = at + gap;
            sent.push(*at);
        }
    }
    sent
}

fn by_permits(rng: &mut StdRng, notified: &[f64], requests: &[(f64, usize)]) -> Vec<f64> {
    let (interval, each) = (0.1, RULE.max_per_second() * 0.8 * 0.1);
    let mut sent = Vec::new();
    for step in 0..(COLD_S / interval) as usize {
        // Members learn which permits were used only later, so each interval has its full number. A permit can be used
        // once it has reached its gateway.
        let whole = each.floor() as usize + usize::from(rng.random_bool(each.fract()));
        for _ in 0..whole {
            let gateway = rng.random_range(0..notified.len());
            let from = step as f64 * interval + rng.random_range(0.0..0.3);
            let used = requests.iter().find(|(at, at_gateway)| {
                *at_gateway == gateway
                    && *at >= from.max(notified[gateway])
                    && *at < from + interval
            });
            sent.extend(used.map(|(at, _)| *at));
        }
    }
    sent.sort_by(f64::total_cmp);
    sent
}

fn busiest_second(sent: &[f64]) -> usize {
    let within = |first: usize| sent[first..].iter().filter(|at| **at < sent[first] + 1.0).count();
    (0..sent.len()).map(within).max().unwrap_or(0)
}

fn simulate(way: Way, gateways: usize, per_second: f64) -> Received {
    let seed = seeds::seed();
    let mut received = Received::default();
    for start in 0..COLD_STARTS {
        let mut rng = StdRng::seed_from_u64(seed ^ start);
        let requests = requests(&mut rng, gateways, per_second);
        let sent = sent(&mut rng, way, gateways, &requests);
        received.busiest_second = received.busiest_second.max(busiest_second(&sent));
        received.taken += sent.len() as f64 / requests.len().max(1) as f64 / COLD_STARTS as f64;
    }
    received
}

/// The bound is 24.5 requests in any second. `-- --nocapture` prints the result of each case.
#[rstest]
fn a_cold_target_gets_no_more_than_the_bound_in_any_second(
    #[values(8, 24, 65, 295, 372)] gateways: usize,
    #[values(7.0, 60.0, 400.0)] per_second: f64,
) {
    let way = Way::Part;
    let received = simulate(way, gateways, per_second);
    println!("{gateways} gateways, {per_second} a second: {way:?} {received:?}");
    assert!(received.busiest_second as f64 <= RULE.max_per_second(), "{received:?}");
}

/// Prints the results of all ways for comparison; checks nothing.
#[test]
fn the_ways_side_by_side() {
    for gateways in [8, 65, 372] {
        for per_second in [7.0, 60.0, 400.0] {
            for way in [Way::Part, Way::Few, Way::Permits] {
                let received = simulate(way, gateways, per_second);
                println!("{gateways} gateways, {per_second} a second: {way:?} {received:?}");
            }
        }
    }
}

#[test]
fn a_target_is_cold_as_it_reports_and_for_a_cold_start_after_its_hall_returned() {
    let secs = Duration::from_secs_f64;
    let (cold_start, gap) = (secs(3.0), secs(2.0));
    let mut state = ColdState::default();
    assert!(!state.cold(secs(1.0), cold_start));
    state.note_cold_left(secs(1.0), secs(2.5));
    assert!(state.cold(secs(3.4), cold_start) && !state.cold(secs(3.5), cold_start));
    state.note_cold_left(secs(2.0), Duration::ZERO);
    assert!(!state.cold(secs(2.0), cold_start), "the later report replaces the earlier one");
    state.note_returned(secs(10.0));
    state.note_cold_left(secs(10.5), Duration::ZERO);
    assert!(
        state.cold(secs(12.9), cold_start),
        "a report cannot end the cold start after a return"
    );
    assert!(!state.cold(secs(13.0), cold_start));
    // The first request of a cold start may be sent after a random part of the gap, the next one a gap later.
    assert!(!state.may_send(secs(10.0), cold_start, gap, || 0.5));
    assert!(state.may_send(secs(11.0), cold_start, gap, || 0.9));
    state.note_sent(secs(11.0), gap);
    assert!(!state.may_send(secs(12.9), cold_start, gap, || 0.0));
    assert!(state.may_send(secs(13.0), cold_start, gap, || 0.0), "it is warm");
}

#[test]
fn nothing_is_sent_to_a_cold_target_before_the_number_of_gateways_is_known() {
    let secs = Duration::from_secs_f64;
    let mut size = FleetSize::new(secs(10.0));
    assert_eq!(size.confirmed(secs(0.0)), 0);
    size.note(secs(1.0), 3);
    assert_eq!(size.confirmed(secs(2.1)), 0, "members that have just started count few");
    size.note(secs(2.0), 65);
    assert_eq!(size.confirmed(secs(2.3)), 65);
    assert!(RULE.gap(0) > secs(3_600.0));
    assert!(ColdRule { per_s: 0.0, over: 1.0, slack: 0.0 }.gap(8) > secs(3_600.0));
}

fn cold(sequence: u64, cold_left_ms: u64) -> Announcement {
    let cold_left = Duration::from_millis(cold_left_ms);
    Announcement { cold_left, ..heartbeat("a", TargetState::Ready, sequence) }
}

#[test]
fn the_end_of_a_cold_start_and_a_new_one_are_changes_and_the_countdown_is_not() {
    let mut directory = Directory::default();
    directory.announce(1, cold(1, 3_000));
    assert_eq!(directory.classify(&cold(2, 1_800)), HeartbeatClass::Unchanged);
    assert_eq!(directory.classify(&cold(3, 0)), HeartbeatClass::Changed);
    directory.announce(2, cold(3, 0));
    assert_eq!(directory.classify(&cold(4, 0)), HeartbeatClass::Unchanged);
    assert_eq!(directory.classify(&cold(5, 2_000)), HeartbeatClass::Changed);
    directory.announce(3, cold(5, 2_000));
    assert_eq!(directory.classify(&cold(6, 2_900)), HeartbeatClass::Changed);
    let delta = directory.delta_since(2).expect("a change");
    assert_eq!(delta.moved[0].cold_left, Duration::from_millis(2_000));
}
