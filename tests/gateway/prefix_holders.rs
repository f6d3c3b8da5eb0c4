//! Prefix holders, the targets that have a prompt cached, as gateways report them to each other by way of members.

use std::collections::HashSet;
use std::time::Duration;

use latchmount::gateway::balance::{Affinity, is_expected_holder};
use latchmount::gateway::prefix_holders::PrefixHolders;
use latchmount::group::loads::LoadKey;
use latchmount::group::prefix_holders::{
    MAX_HOLDERS_PER_MESSAGE, PrefixHolder, PrefixHolderLog, PromptKey, ReadPosition, ReportedBy,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::seeds;

const GATEWAYS: usize = 65;
const MEMBERS: usize = 5;
const TARGETS: u64 = 112;
const PROMPTS: u64 = 467;
/// Interval between two reports of a gateway or member, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;
/// Requests a second whose prompt is expensive to process.
const REQUESTS_PER_S: u64 = 118;
/// Simulated time, in seconds.
const SIMULATED_S: u64 = 30;
/// Fraction of the requests that goes to another target, since the prompt's first home is full.
const AWAY_FRACTION: f64 = 0.15;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn holder(prompt: u64, target: u64) -> PrefixHolder {
    PrefixHolder { prompt: PromptKey::of(prompt << 40), target: LoadKey::of(target << 40) }
}

fn targets(holders: &PrefixHolders, now: Duration, prompt: u64) -> Vec<LoadKey> {
    holders.of(now, PromptKey::of(prompt << 40)).collect()
}

/// Readers that come at any time, before entries expire, get each entry once and in order, although a message has a
/// bounded size.
#[test]
fn every_reader_gets_each_entry_once() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut log = PrefixHolderLog::default();
    let mut readers =
        [(ReadPosition::default(), Vec::new()), (ReadPosition::default(), Vec::new())];
    let mut members = (ReadPosition::default(), Vec::new());
    let (mut all, mut from_gateways) = (Vec::new(), Vec::new());
    for step in 0..2_000_u64 {
        let now = ms(step * 50);
        if rng.random_bool(0.5) {
            let by = if rng.random_bool(0.5) { ReportedBy::Gateway } else { ReportedBy::Member };
            let message = vec![holder(step, rng.random_range(0..TARGETS))];
            log.record(now, by, &message);
            all.extend(&message);
            if by == ReportedBy::Gateway {
                from_gateways.extend(&message);
            }
        }
        let reader = &mut readers[rng.random_range(0..2)];
        let message = log.next_for_gateway(now, &mut reader.0);
        assert!(message.len() <= MAX_HOLDERS_PER_MESSAGE, "seed {seed}");
        reader.1.extend(message);
        members.1.extend(log.next_for_members(now, &mut members.0));
    }
    for (position, received) in &mut readers {
        received.extend(log.next_for_gateway(ms(100_000), position));
        assert_eq!(*received, all, "seed {seed}");
    }
    assert_eq!(members.1, from_gateways, "seed {seed}");
}

#[test]
fn a_log_holds_a_bounded_number_for_a_bounded_time_and_nothing_twice() {
    let mut log = PrefixHolderLog::default();
    for prompt in 0..5_000 {
        log.record(ms(prompt / 10), ReportedBy::Gateway, &[holder(prompt, 1), holder(prompt, 1)]);
    }
    let position = &mut ReadPosition::default();
    let messages = std::iter::repeat_with(|| log.next_for_gateway(ms(500), position));
    let received: Vec<PrefixHolder> =
        messages.take_while(|message| !message.is_empty()).flatten().collect();
    assert!(received.len() <= 1_024, "{}", received.len());
    assert_eq!(received.last(), Some(&holder(4_999, 1)));
    assert_eq!(log.next_for_gateway(ms(60_000), &mut ReadPosition::default()), []);
}

#[test]
fn a_holder_is_reported_again_only_after_a_while_and_expires_after_longer() {
    let mut holders = PrefixHolders::default();
    holders.note_prompt_read(ms(0), holder(1, 7));
    assert_eq!(holders.take_pending(), [holder(1, 7)]);
    holders.note_prompt_read(ms(5_000), holder(1, 7));
    assert_eq!(holders.take_pending(), [], "the other gateways know it");
    holders.note_prompt_read(ms(11_000), holder(1, 7));
    assert_eq!(holders.take_pending(), [holder(1, 7)], "the target still has it cached");
    assert_eq!(targets(&holders, ms(30_000), 1), [holder(1, 7).target]);
    assert_eq!(targets(&holders, ms(31_000), 1), []);
}

#[test]
fn the_newest_holders_of_a_prompt_come_first_and_are_bounded() {
    let mut holders = PrefixHolders::default();
    for target in [1, 2, 3, 4, 2] {
        holders.record(ms(target), &[holder(9, target)]);
    }
    let expected: Vec<LoadKey> = [2, 4, 3].map(|target| holder(9, target).target).into();
    assert_eq!(targets(&holders, ms(10), 9), expected);
    assert_eq!(targets(&holders, ms(10), 8), []);
}

/// A gateway that reports wrong holders of very many prompts gets no more than one message of them stored, and the
/// memory of members and gateways stays bounded.
#[test]
fn wrong_reports_are_bounded() {
    let (mut log, mut holders) = (PrefixHolderLog::default(), PrefixHolders::default());
    let wrong: Vec<PrefixHolder> = (0..100_000).map(|prompt| holder(prompt, 3)).collect();
    log.record(ms(0), ReportedBy::Gateway, &wrong);
    let position = &mut ReadPosition::default();
    assert_eq!(log.next_for_gateway(ms(1), position).len(), MAX_HOLDERS_PER_MESSAGE);
    assert_eq!(log.next_for_gateway(ms(1), position).len(), 0);
    wrong.iter().for_each(|holder| holders.note_prompt_read(ms(0), *holder));
    assert_eq!(holders.take_pending().len(), MAX_HOLDERS_PER_MESSAGE);
    let known = (0..100_000).filter(|prompt| !targets(&holders, ms(1), *prompt).is_empty());
    assert!(known.count() <= 8_192);
}

/// All gateways rank the homes for an affinity alike and expect the prefix at the first one only.
#[test]
fn exactly_one_home_is_expected_to_hold_an_affinity() {
    for hash in 0..200 {
        let affinity = Affinity { hash, tokens: 5_000 };
        let homes = || (0..20).map(Some).chain([None]);
        let expected = homes().filter(|home| is_expected_holder(*home, homes(), affinity)).count();
        assert_eq!(expected, 1, "{hash}");
    }
}

/// Result of a simulated fleet in which some requests go to another target than the first home of their prompt.
struct Results {
    /// Requests that reached a target without their prompt, while another target had it.
    misses: u32,
    /// Those of them that named a target that has it, to fetch it from.
    named: u32,
}

fn simulate(seed: u64, reports: bool) -> Results {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut gateways: Vec<PrefixHolders> =
        (0..GATEWAYS).map(|_| PrefixHolders::default()).collect();
    let mut logs: Vec<PrefixHolderLog> = (0..MEMBERS).map(|_| PrefixHolderLog::default()).collect();
    let mut gateway_positions = vec![ReadPosition::default(); GATEWAYS];
    let mut member_positions = [ReadPosition::default(); MEMBERS];
    let mut cached: HashSet<(u64, u64)> = HashSet::new();
    let mut results = Results { misses: 0, named: 0 };
    for at in (0..SIMULATED_S * 1_000).step_by(REPORT_INTERVAL_MS as usize) {
        let now = ms(at);
        for _ in 0..REQUESTS_PER_S * REPORT_INTERVAL_MS / 1_000 {
            let (prompt, gateway) = (rng.random_range(0..PROMPTS), rng.random_range(0..GATEWAYS));
            let first = prompt % TARGETS;
            let away = rng.random_bool(AWAY_FRACTION);
            let target = if away { rng.random_range(0..TARGETS) } else { first };
            let has_cached = cached.contains(&(prompt, target));
            let others = cached.iter().any(|(p, t)| *p == prompt && *t != target);
            if !has_cached && others {
                let known = targets(&gateways[gateway], now, prompt);
                let named = known.first().copied().unwrap_or(holder(prompt, first).target);
                let right = (0..TARGETS)
                    .any(|t| cached.contains(&(prompt, t)) && holder(0, t).target == named);
                results.misses += 1;
                results.named += u32::from(right);
            }
            cached.insert((prompt, target));
            if target != first && reports {
                gateways[gateway].note_prompt_read(now, holder(prompt, target));
            }
        }
        for (gateway, holders) in gateways.iter_mut().enumerate() {
            logs[gateway % MEMBERS].record(now, ReportedBy::Gateway, &holders.take_pending());
        }
        for member in 0..MEMBERS {
            let message = logs[member].next_for_members(now, &mut member_positions[member]);
            for other in (0..MEMBERS).filter(|other| *other != member) {
                logs[other].record(now, ReportedBy::Member, &message);
            }
        }
        for (gateway, holders) in gateways.iter_mut().enumerate() {
            let log = &mut logs[gateway % MEMBERS];
            holders.record(now, &log.next_for_gateway(now, &mut gateway_positions[gateway]));
        }
    }
    results
}

/// A prompt is processed again if the target named to fetch it from does not have it. Without reports that is the first
/// home, which often has not served the prompt yet.
#[test]
fn reported_holders_are_named_rightly_where_expected_ones_are_not() {
    let seed = seeds::seed();
    let (guessing, reporting) = (simulate(seed, false), simulate(seed, true));
    println!("guessing {} of {}", guessing.named, guessing.misses);
    println!("reporting {} of {}", reporting.named, reporting.misses);
    assert!(reporting.named * 100 > reporting.misses * 97);
    assert!(guessing.named * 100 < guessing.misses * 90);
}
