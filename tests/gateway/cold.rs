//! Cold targets: what many gateways that decide alone send one in its fullest second.

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
/// How long a start takes, in seconds.
const COLD_FOR: f64 = 3.0;
/// Spells played of each case.
const SPELLS: u64 = 400;
/// Gateways that miss the news for seconds: one of so many.
const MISSES: usize = 10;

/// Ways to keep the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Each gateway keeps its part of the rate.
    Part,
    /// Four gateways, as a hash over names says, share the rate; the others send nothing.
    Few,
    /// Members deal permits out to gateways at random, ten times a second; one that finds no request in its interval is
    /// lost.
    Permits,
}

/// What a cold target got.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    fullest_second: usize,
    /// Part of the requests that wanted it.
    taken: f64,
}

/// Requests that want a target in its spell: when, and at which gateway.
fn wants(rng: &mut StdRng, gateways: usize, a_second: f64) -> Vec<(f64, usize)> {
    let mut now = 0.0;
    let mut wants = Vec::new();
    loop {
        now += -rng.random::<f64>().max(1e-12).ln() / a_second;
        if now > COLD_FOR {
            return wants;
        }
        wants.push((now, rng.random_range(0..gateways)));
    }
}

/// When each gateway hears that the target is there, and cold.
fn hears(rng: &mut StdRng, gateways: usize) -> Vec<f64> {
    let heard = |at: usize| {
        let latest = if at.is_multiple_of(MISSES) { COLD_FOR } else { 0.5 };
        rng.random_range(0.0..latest)
    };
    (0..gateways).map(heard).collect()
}

fn sent(rng: &mut StdRng, way: Way, gateways: usize, wants: &[(f64, usize)]) -> Vec<f64> {
    let hears = hears(rng, gateways);
    match way {
        Way::Part => by_part(rng, &hears, wants),
        Way::Few => by_few(rng, &hears, wants),
        Way::Permits => by_permits(rng, &hears, wants),
    }
}

fn by_part(rng: &mut StdRng, hears: &[f64], wants: &[(f64, usize)]) -> Vec<f64> {
    let (cold_start, gap) = (Duration::from_secs_f64(COLD_FOR), RULE.gap(hears.len() as u32));
    let mut warmth = vec![ColdState::default(); hears.len()];
    for (warmth, at) in warmth.iter_mut().zip(hears) {
        warmth.note_cold_left(Duration::from_secs_f64(*at), cold_start);
    }
    let mut sent = Vec::new();
    for (at, gateway) in wants.iter().filter(|(at, gateway)| *at >= hears[*gateway]) {
        let now = Duration::from_secs_f64(*at);
        if warmth[*gateway].may_send(now, cold_start, gap, || rng.random()) {
            warmth[*gateway].note_sent(now, gap);
            sent.push(*at);
        }
    }
    sent
}

fn by_few(rng: &mut StdRng, hears: &[f64], wants: &[(f64, usize)]) -> Vec<f64> {
    let few = 4.0;
    let gap = few / (RULE.max_per_second() * 0.4);
    let chosen: Vec<bool> =
        hears.iter().map(|_| rng.random_bool((few / hears.len() as f64).min(1.0))).collect();
    let mut next: Vec<f64> = hears.iter().map(|at| at + rng.random::<f64>() * gap).collect();
    let mut sent = Vec::new();
    for (at, gateway) in wants {
        if chosen[*gateway] && *at >= hears[*gateway] && *at >= next[*gateway] {
            next[*gateway] = at + gap;
            sent.push(*at);
        }
    }
    sent
}

fn by_permits(rng: &mut StdRng, hears: &[f64], wants: &[(f64, usize)]) -> Vec<f64> {
    let (interval, each) = (0.1, RULE.max_per_second() * 0.8 * 0.1);
    let mut sent = Vec::new();
    for step in 0..(COLD_FOR / interval) as usize {
        // Dealt by members that hear of what is used only later, and used when word has come.
        let whole = each.floor() as usize + usize::from(rng.random_bool(each.fract()));
        for _ in 0..whole {
            let gateway = rng.random_range(0..hears.len());
            let from = step as f64 * interval + rng.random_range(0.0..0.3);
            let used = wants.iter().find(|(at, wanting)| {
                *wanting == gateway && *at >= from.max(hears[gateway]) && *at < from + interval
            });
            sent.extend(used.map(|(at, _)| *at));
        }
    }
    sent.sort_by(f64::total_cmp);
    sent
}

fn fullest_second(sent: &[f64]) -> usize {
    let within = |first: usize| sent[first..].iter().filter(|at| **at < sent[first] + 1.0).count();
    (0..sent.len()).map(within).max().unwrap_or(0)
}

fn play(way: Way, gateways: usize, a_second: f64) -> Got {
    let seed = seeds::seed();
    let mut got = Got::default();
    for spell in 0..SPELLS {
        let mut rng = StdRng::seed_from_u64(seed ^ spell);
        let wants = wants(&mut rng, gateways, a_second);
        let sent = sent(&mut rng, way, gateways, &wants);
        got.fullest_second = got.fullest_second.max(fullest_second(&sent));
        got.taken += sent.len() as f64 / wants.len().max(1) as f64 / SPELLS as f64;
    }
    got
}

/// The bound is 24.5 requests in any second. `-- --nocapture` prints what each way gives.
#[rstest]
fn no_second_of_a_cold_target_is_too_full_whatever_wants_it(
    #[values(8, 24, 65, 295, 372)] gateways: usize,
    #[values(7.0, 60.0, 400.0)] a_second: f64,
) {
    let way = Way::Part;
    let got = play(way, gateways, a_second);
    println!("{gateways} gateways, {a_second} a second: {way:?} {got:?}");
    assert!(got.fullest_second as f64 <= RULE.max_per_second(), "{got:?}");
}

#[test]
fn the_ways_side_by_side() {
    for gateways in [8, 65, 372] {
        for a_second in [7.0, 60.0, 400.0] {
            for way in [Way::Part, Way::Few, Way::Permits] {
                let got = play(way, gateways, a_second);
                println!("{gateways} gateways, {a_second} a second: {way:?} {got:?}");
            }
        }
    }
}

#[test]
fn a_target_is_cold_by_its_own_word_and_for_a_start_after_its_hall_returned() {
    let secs = Duration::from_secs_f64;
    let (cold_start, gap) = (secs(3.0), secs(2.0));
    let mut warmth = ColdState::default();
    assert!(!warmth.cold(secs(1.0), cold_start));
    warmth.note_cold_left(secs(1.0), secs(2.5));
    assert!(warmth.cold(secs(3.4), cold_start) && !warmth.cold(secs(3.5), cold_start));
    warmth.note_cold_left(secs(2.0), Duration::ZERO);
    assert!(!warmth.cold(secs(2.0), cold_start), "its later word goes before the earlier one");
    warmth.note_returned(secs(10.0));
    warmth.note_cold_left(secs(10.5), Duration::ZERO);
    assert!(warmth.cold(secs(12.9), cold_start), "a word from before proves nothing");
    assert!(!warmth.cold(secs(13.0), cold_start));
    // The first request of a spell comes at a drawn time, the next a gap later.
    assert!(!warmth.may_send(secs(10.0), cold_start, gap, || 0.5));
    assert!(warmth.may_send(secs(11.0), cold_start, gap, || 0.9));
    warmth.note_sent(secs(11.0), gap);
    assert!(!warmth.may_send(secs(12.9), cold_start, gap, || 0.0));
    assert!(warmth.may_send(secs(13.0), cold_start, gap, || 0.0), "it is warm");
}

#[test]
fn nothing_is_asked_of_a_cold_target_before_the_others_are_known() {
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
fn the_end_of_a_start_and_another_start_are_news_and_the_time_between_is_not() {
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
