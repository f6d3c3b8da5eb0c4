//! Parts of prompts under which targets crash: which of them are blocked, and that sound ones find their way out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use latchmount::poison::{
    Fingerprint, FingerprintKind, Identity, PoisonTracker, PromptPart, RecentSuccesses, Reporter,
    Rule, Suspect, Verdict,
};
use proptest::prelude::*;

const GATEWAYS: u32 = 8;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn part(id: &str) -> Suspect {
    Suspect::part(&PromptPart { service: "s", id }, Some("team-a"))
}

fn key(id: &str) -> Fingerprint {
    PromptPart { service: "s", id }.fingerprint()
}

/// A tracker of gateway 0, which believes its own reports.
fn tracker() -> PoisonTracker {
    PoisonTracker::new(Rule::default(), Some(Reporter::of("g-0")))
}

fn crash(tracker: &mut PoisonTracker, now: Duration, target: u64, parts: &[&str]) {
    for id in parts {
        tracker.record_crash(now, part(id), target, Reporter::of("g-0"));
    }
}

fn blocked(tracker: &PoisonTracker, now: Duration, parts: &[&str]) -> bool {
    let parts: Vec<Fingerprint> = parts.iter().map(|id| key(id)).collect();
    tracker.verdict_on_parts(now, &parts, GATEWAYS).0 == Verdict::Blocked
}

#[test]
fn a_part_is_told_from_a_request_and_from_the_same_part_of_another_service() {
    assert_eq!(key("a").kind(), FingerprintKind::Part);
    assert_ne!(key("a"), PromptPart { service: "t", id: "a" }.fingerprint());
    assert_ne!(key("a"), key("b"));
    let request = Identity { team: None, host: "h", path: "/", body: b"" };
    assert_eq!(request.fingerprint().kind(), FingerprintKind::Request);
    let read: Fingerprint = key("a").to_string().parse().expect("a fingerprint");
    assert_eq!(read, key("a"));
}

#[test]
fn the_part_that_ran_under_all_crashes_is_blocked_and_its_companions_are_not() {
    let mut tracker = tracker();
    crash(&mut tracker, ms(100), 1, &["first", "bad", "doc-1"]);
    crash(&mut tracker, ms(300), 2, &["first", "bad", "doc-2"]);
    crash(&mut tracker, ms(500), 3, &["bad", "doc-3"]);
    let now = ms(500);
    assert!(blocked(&tracker, now, &["first", "bad", "new"]));
    assert!(blocked(&tracker, now, &["bad"]));
    for sound in [&["first"][..], &["doc-1"], &["first", "doc-2"], &[]] {
        assert!(!blocked(&tracker, now, sound), "{sound:?}");
    }
}

#[test]
fn parts_that_can_t_be_told_apart_are_blocked_together_until_another_crash_tells() {
    let mut tracker = tracker();
    for (target, at) in [(1, 100), (2, 200), (3, 300)] {
        crash(&mut tracker, ms(at), target, &["first", "bad"]);
    }
    let now = ms(300);
    assert!(blocked(&tracker, now, &["first", "bad"]), "both are in the request");
    assert!(!blocked(&tracker, now, &["first", "doc"]), "sound requests share one of them");
    assert!(!blocked(&tracker, now, &["bad", "doc"]));
    crash(&mut tracker, ms(400), 4, &["bad", "doc"]);
    let now = ms(400);
    assert!(blocked(&tracker, now, &["bad", "other"]));
    assert!(!blocked(&tracker, now, &["first", "doc"]));
}

#[test]
fn parts_that_ran_beside_a_poison_request_are_not_blocked_with_it() {
    let identity = Identity { team: Some("t"), host: "h", path: "/p/", body: b"poison" };
    let request = Suspect::new(&identity, identity.fingerprint(), "r");
    let mut tracker = tracker();
    for target in 0..4 {
        tracker.record_crash(ms(100), request.clone(), target, Reporter::of("g-0"));
        crash(&mut tracker, ms(100), target, &["first", "doc"]);
    }
    let verdict = tracker.verdict(ms(100), request.fingerprint, GATEWAYS);
    assert_eq!(verdict, Verdict::Blocked);
    assert!(!blocked(&tracker, ms(100), &["first", "doc"]));
}

#[test]
fn a_bad_part_is_blocked_though_each_request_with_it_is_repeated_until_it_is_blocked() {
    let mut tracker = tracker();
    for target in 0..4 {
        let body = format!("body {}", target / 3);
        let identity = Identity { team: Some("t"), host: "h", path: "/p/", body: body.as_bytes() };
        let request = Suspect::new(&identity, identity.fingerprint(), "r");
        tracker.record_crash(ms(100), request, target, Reporter::of("g-0"));
        crash(&mut tracker, ms(100), target, &["first", "bad"]);
    }
    assert!(blocked(&tracker, ms(100), &["first", "bad"]));
}

#[test]
fn two_bad_parts_are_both_blocked() {
    let mut tracker = tracker();
    for target in 0..6 {
        let bad = ["bad-1", "bad-2"][target as usize % 2];
        crash(&mut tracker, ms(100 * target), target, &[bad, &format!("doc-{target}")]);
    }
    let now = ms(600);
    assert!(blocked(&tracker, now, &["bad-1"]) && blocked(&tracker, now, &["bad-2"]));
    assert!(!blocked(&tracker, now, &["doc-0"]));
}

#[test]
fn a_part_with_which_a_request_succeeded_lately_is_not_blocked_whatever_crashes() {
    let mut tracker = tracker();
    let trust = Rule::default().part_trust;
    crash(&mut tracker, ms(100), 0, &["sound"]);
    assert!(tracker.record_success(ms(200), key("sound")));
    for target in 1..10 {
        crash(&mut tracker, ms(200) + trust.mul_f64(0.1 * target as f64), target, &["sound"]);
    }
    assert!(!blocked(&tracker, ms(200) + trust, &["sound"]));
    for target in 10..13 {
        crash(&mut tracker, ms(300) + trust, target, &["sound"]);
    }
    assert!(blocked(&tracker, ms(300) + trust, &["sound"]), "no success for long");
    assert!(tracker.record_success(ms(400) + trust, key("sound")));
    assert!(!blocked(&tracker, ms(400) + trust, &["sound"]));
}

#[test]
fn a_success_before_the_crashes_clears_a_part_when_it_becomes_known() {
    let mut tracker = tracker();
    for target in 0..3 {
        crash(&mut tracker, ms(10_000 + 100 * target), target, &["sound"]);
    }
    let now = ms(10_300);
    assert!(blocked(&tracker, now, &["sound"]));
    assert!(!tracker.record_earlier_success(now, key("sound"), ms(1_000)), "too long before");
    assert!(blocked(&tracker, now, &["sound"]));
    assert!(tracker.record_earlier_success(now, key("sound"), ms(9_000)));
    assert!(!blocked(&tracker, now, &["sound"]));
    assert!(!tracker.record_earlier_success(now, key("sound"), ms(9_000)), "nothing is new");
}

#[test]
fn a_blocked_part_is_tried_once_when_its_block_ends() {
    let mut tracker = tracker();
    for target in 0..4 {
        crash(&mut tracker, ms(1_000), target, &["bad"]);
    }
    let spread = Rule::default().trial_interval * GATEWAYS;
    let ends = ms(1_000) + Rule::default().part_block_duration;
    assert!(blocked(&tracker, ends - ms(1), &["bad"]));
    let now = ends + spread;
    assert_eq!(tracker.verdict_on_parts(now, &[key("bad")], GATEWAYS).0, Verdict::Trial);
    tracker.record_trial(now, key("bad"));
    assert!(blocked(&tracker, now + ms(1), &["bad"]));
    crash(&mut tracker, now + ms(100), 9, &["bad"]);
    assert!(blocked(&tracker, now + spread, &["bad"]));
}

#[test]
fn successes_are_remembered_for_as_long_as_they_count_and_are_bounded() {
    let mut sound = RecentSuccesses::new(ms(5_000));
    sound.note(ms(100), key("a"));
    sound.note(ms(5_100), key("b"));
    assert_eq!(sound.last(&key("a")), Some(ms(100)), "in the older generation");
    sound.note(ms(5_200), key("a"));
    assert_eq!(sound.last(&key("a")), Some(ms(5_200)));
    sound.note(ms(20_000), key("c"));
    sound.note(ms(30_000), key("c"));
    assert_eq!(sound.last(&key("a")), None);
    for number in 0..20_000 {
        sound.note(ms(30_001), key(&number.to_string()));
    }
    assert_eq!(sound.last(&key("19999")), None, "more than are remembered");
}

proptest! {
    // Crashes in any order of reports, by target and parts: the blocked parts, and what they are blocked with, are those
    // that a naive choice finds.
    #[test]
    fn which_parts_are_blocked_depends_on_the_crashes_alone(
        crashes in prop::collection::btree_map(
            0..7_u64, prop::collection::btree_set(0..5_usize, 1..4), 0..7),
        order in any::<u64>(),
    ) {
        const IDS: [&str; 5] = ["a", "b", "c", "d", "e"];
        let mut reports: Vec<(u64, usize)> = crashes
            .iter()
            .flat_map(|(target, parts)| parts.iter().map(|part| (*target, *part)))
            .collect();
        reports.sort_by_key(|report| xxhash(order, report));
        let mut tracker = tracker();
        for (target, part) in reports {
            crash(&mut tracker, ms(1_000), target, &[IDS[part]]);
        }
        let naive = naive_blocks(&crashes);
        for asked in 0..1_usize << IDS.len() {
            let asked: BTreeSet<usize> = (0..IDS.len()).filter(|at| asked >> at & 1 == 1).collect();
            let expected = naive.iter().any(|group| group.is_subset(&asked));
            let ids: Vec<&str> = asked.iter().map(|at| IDS[*at]).collect();
            prop_assert_eq!(blocked(&tracker, ms(1_000), &ids), expected, "{:?}", ids);
        }
    }
}

fn xxhash(seed: u64, (target, part): &(u64, usize)) -> u64 {
    seed.wrapping_mul(target * 31 + *part as u64 * 7 + 1).rotate_left(17)
}

/// Groups of parts such that requests with a whole group are blocked.
fn naive_blocks(crashes: &BTreeMap<u64, BTreeSet<usize>>) -> Vec<BTreeSet<usize>> {
    let mut left = crashes.clone();
    let mut groups = Vec::new();
    loop {
        let mut by_targets: BTreeMap<BTreeSet<u64>, BTreeSet<usize>> = BTreeMap::new();
        for part in 0..5 {
            let targets = left.iter().filter(|(_, parts)| parts.contains(&part));
            let targets: BTreeSet<u64> = targets.map(|(target, _)| *target).collect();
            by_targets.entry(targets).or_default().insert(part);
        }
        // Of groups with as many crashes, the one whose targets come last.
        let most =
            by_targets.into_iter().max_by_key(|(targets, _)| (targets.len(), targets.clone()));
        let Some((targets, group)) = most.filter(|(targets, _)| targets.len() >= 3) else {
            return groups;
        };
        left.retain(|target, _| !targets.contains(target));
        groups.push(group);
    }
}
