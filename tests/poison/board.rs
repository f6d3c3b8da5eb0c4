//! Boards: the same reports in any order come to the same, and to what a naive version says.

use std::collections::BTreeMap;
use std::time::Duration;

use latchmount::poison::{
    CrashReport, Fingerprint, Identity, Origin, PoisonTracker, Report, Reporter, Rule, Suspect,
    Verdict,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use crate::seeds;

const GATEWAYS: u32 = 8;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn suspect(team: &str, body: &str) -> Suspect {
    let identity = Identity { team: Some(team), host: "h", path: "/p/", body: body.as_bytes() };
    Suspect::new(&identity, identity.fingerprint(), "r")
}

fn gateway(number: u32) -> Reporter {
    Reporter::of(&format!("g-{number}"))
}

fn member() -> PoisonTracker {
    PoisonTracker::new(Rule::default(), None)
}

fn end(suspect: &Suspect, target: u64, by: u32, ago: Duration) -> Report {
    let ago_ms = ago.as_millis() as u64;
    let ends = vec![CrashReport { target, by: gateway(by), ago_ms }];
    Report { suspect: suspect.clone(), crashes: ends, cleared_ago_ms: None }
}

fn settled(suspect: &Suspect, ago: Duration) -> Report {
    let cleared_ago_ms = Some(ago.as_millis() as u64);
    Report { suspect: suspect.clone(), crashes: Vec::new(), cleared_ago_ms }
}

fn verdict(board: &PoisonTracker, now: Duration, suspect: &Suspect) -> Verdict {
    board.verdict(now, suspect.fingerprint, GATEWAYS)
}

/// Three ends on the word of several gateways.
fn blocked_at(board: &mut PoisonTracker, now: Duration, suspect: &Suspect) {
    for target in 0..3 {
        board.apply(now, Origin::Local, end(suspect, target, target as u32 % 2, Duration::ZERO));
    }
    assert_eq!(verdict(board, now, suspect), Verdict::Blocked);
}

#[test]
fn three_targets_must_end_and_the_same_one_counts_once() {
    let (mut board, request) = (member(), suspect("t", "x"));
    let now = seconds(100);
    for by in 0..4 {
        board.apply(now, Origin::Local, end(&request, 7, by, Duration::ZERO));
        assert_eq!(verdict(&board, now, &request), Verdict::Watched);
    }
    board.apply(now, Origin::Local, end(&request, 8, 1, Duration::ZERO));
    assert_eq!(verdict(&board, now, &request), Verdict::Watched);
    board.apply(now, Origin::Local, end(&request, 9, 1, Duration::ZERO));
    assert_eq!(verdict(&board, now, &request), Verdict::Blocked);
    for other in [suspect("u", "x"), suspect("t", "y")] {
        assert_eq!(verdict(&board, now, &other), Verdict::Free, "another request");
    }
}

#[test]
fn a_request_that_ends_well_is_cleared_and_older_ends_count_no_more() {
    let (mut board, request) = (member(), suspect("t", "x"));
    blocked_at(&mut board, seconds(100), &request);
    board.apply(seconds(102), Origin::Local, settled(&request, Duration::ZERO));
    assert_eq!(verdict(&board, seconds(102), &request), Verdict::Free);
    // A word of an end before that came late.
    board.apply(seconds(103), Origin::Local, end(&request, 4, 2, seconds(2)));
    assert_eq!(verdict(&board, seconds(103), &request), Verdict::Free);
    board.apply(seconds(103), Origin::Local, end(&request, 5, 2, Duration::ZERO));
    assert_eq!(verdict(&board, seconds(103), &request), Verdict::Watched);
}

/// A gateway that is wrong, or cut off from targets that are well, blocks little beyond itself.
#[test]
fn the_word_of_one_gateway_alone_blocks_few_requests_elsewhere_and_any_at_itself() {
    let now = seconds(100);
    let mut own = PoisonTracker::new(Rule::default(), Some(gateway(0)));
    let mut others = PoisonTracker::new(Rule::default(), Some(gateway(1)));
    let requests: Vec<Suspect> = (0..50).map(|n| suspect("t", &format!("{n}"))).collect();
    for request in &requests {
        for target in 0..3 {
            let word = end(request, target, 0, Duration::ZERO);
            own.apply(now, Origin::Local, word.clone());
            others.apply(now, Origin::Relayed, word);
        }
    }
    assert_eq!(own.blocked_len(), 50);
    assert_eq!(others.blocked_len(), 4);
    // A second gateway saw one of them end a target too.
    let last = requests.last().expect("one");
    others.apply(now, Origin::Relayed, end(last, 9, 2, Duration::ZERO));
    assert_eq!(verdict(&others, now, last), Verdict::Blocked);
}

#[test]
fn a_block_ends_with_a_trial_of_one_gateway_at_a_time() {
    let request = suspect("t", "x");
    let at = seconds(100);
    let over = at + Rule::default().block_duration;
    let gateways = 200;
    let mut boards: Vec<PoisonTracker> = (0..gateways)
        .map(|number| PoisonTracker::new(Rule::default(), Some(gateway(number))))
        .collect();
    let mut first_trials = Vec::new();
    for board in &mut boards {
        blocked_at(board, at, &request);
        let trial_at = (0..400)
            .map(|step| over + Duration::from_millis(step * 500))
            .find(|now| board.verdict(*now, request.fingerprint, gateways) == Verdict::Trial);
        let trial_at = trial_at.expect("a turn within the spread");
        board.record_trial(trial_at, request.fingerprint);
        let again = board.verdict(trial_at + seconds(5), request.fingerprint, gateways);
        assert_eq!(again, Verdict::Blocked, "no second trial beside the first");
        first_trials.push(trial_at);
    }
    first_trials.sort_unstable();
    let soon = first_trials[0] + Duration::from_millis(500);
    let within = first_trials.iter().filter(|at| **at < soon).count();
    assert!(within <= 5, "{within} of {gateways} gateways try within the time that word takes");
}

#[test]
fn a_trial_that_ends_a_target_blocks_again_and_one_that_ends_well_frees() {
    let request = suspect("t", "x");
    let over = seconds(100) + Rule::default().block_duration + seconds(100);
    let mut board = member();
    blocked_at(&mut board, seconds(100), &request);
    assert_eq!(verdict(&board, over, &request), Verdict::Trial);
    board.apply(over, Origin::Local, end(&request, 77, 3, Duration::ZERO));
    assert_eq!(verdict(&board, over, &request), Verdict::Blocked);
    board.record_success(over + seconds(1), request.fingerprint);
    assert_eq!(verdict(&board, over + seconds(1), &request), Verdict::Free);
}

#[test]
fn all_is_forgotten_long_after_the_last_end() {
    let mut board = member();
    let request = suspect("t", "x");
    blocked_at(&mut board, seconds(100), &request);
    let later = seconds(100) + Rule::default().retention + seconds(1);
    board.apply(later, Origin::Local, end(&suspect("t", "y"), 1, 1, Duration::ZERO));
    assert_eq!((board.len(), verdict(&board, later, &request)), (1, Verdict::Free));
}

/// Memory is bounded by team and in all, and what has most ends stays.
#[test]
fn records_are_bounded_and_the_weakest_go_first() {
    let rule = Rule { max_records: 400, max_records_per_team: 100, ..Rule::default() };
    let mut board = PoisonTracker::new(rule, None);
    let bad = suspect("flood", "bad");
    blocked_at(&mut board, seconds(1), &bad);
    for number in 0..5_000_u64 {
        let team = if number % 2 == 0 { "flood".to_owned() } else { format!("t-{}", number % 50) };
        let request = suspect(&team, &format!("{number}"));
        let now = seconds(2) + Duration::from_millis(number);
        board.apply(now, Origin::Local, end(&request, number, 1, Duration::ZERO));
        assert!(board.len() <= 400);
    }
    assert_eq!(verdict(&board, seconds(10), &bad), Verdict::Blocked);
    assert!(board.take_dropped() > 4_000);
    let (word, _) = board.local_updates(seconds(10), 0);
    assert!(word.len() <= 64);
}

/// What each process does with the words, without any order or bound.
#[derive(Default)]
struct Naive {
    ends: BTreeMap<Fingerprint, BTreeMap<u64, (u64, Reporter)>>,
    settled: BTreeMap<Fingerprint, u64>,
}

impl Naive {
    fn take(&mut self, at_ms: u64, report: &Report) {
        let fingerprint = report.suspect.fingerprint;
        for end in &report.crashes {
            let ends = self.ends.entry(fingerprint).or_default();
            ends.entry(end.target).or_insert((at_ms, end.by));
        }
        if report.cleared_ago_ms.is_some() {
            let settled = self.settled.entry(fingerprint).or_default();
            *settled = at_ms.max(*settled);
        }
    }

    fn blocked(&self, fingerprint: Fingerprint) -> bool {
        let settled = self.settled.get(&fingerprint).copied();
        let ends = self.ends.get(&fingerprint).into_iter().flat_map(BTreeMap::values);
        let count = ends.filter(|(at, _)| settled.is_none_or(|settled| *at > settled)).count();
        count >= 3
    }
}

/// A target ends once, seen by whoever had the request there, so that a pair of both is one word.
#[test]
fn any_order_of_the_same_words_comes_to_the_same_as_the_naive_version() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    for round in 0..300 {
        let requests: Vec<Suspect> = (0..4).map(|n| suspect("t", &format!("{n}"))).collect();
        let mut words: Vec<(u64, Report)> = Vec::new();
        for step in 0..rng.random_range(1..30_u64) {
            // Further apart than words that count as one.
            let at_ms = 10_000 + step * 2_000;
            let request = &requests[rng.random_range(0..requests.len())];
            let by = rng.random_range(0..4);
            let word = match rng.random_bool(0.2) {
                true => settled(request, Duration::ZERO),
                false => end(request, rng.random_range(0..6) + 100 * step, by, Duration::ZERO),
            };
            words.push((at_ms, word));
        }
        let mut naive = Naive::default();
        words.iter().for_each(|(at_ms, word)| naive.take(*at_ms, word));
        let heard_at = 100_000;
        let mut boards = Vec::new();
        for _ in 0..3 {
            let mut twice: Vec<&(u64, Report)> = words.iter().chain(&words).collect();
            twice.shuffle(&mut rng);
            let mut board = member();
            for (at_ms, word) in twice {
                let ago = heard_at - at_ms;
                let mut word = word.clone();
                word.crashes.iter_mut().for_each(|end| end.ago_ms = ago);
                word.cleared_ago_ms = word.cleared_ago_ms.map(|_| ago);
                board.apply(Duration::from_millis(heard_at), Origin::Relayed, word);
            }
            boards.push(board);
        }
        let now = Duration::from_millis(heard_at);
        for request in &requests {
            let verdicts: Vec<Verdict> =
                boards.iter().map(|board| verdict(board, now, request)).collect();
            let blocked = verdicts[0] == Verdict::Blocked;
            assert!(verdicts.iter().all(|one| *one == verdicts[0]), "seed {seed} round {round}");
            let alone = naive.ends.get(&request.fingerprint).is_some_and(|ends| {
                let mut by: Vec<Reporter> = ends.values().map(|(_, by)| *by).collect();
                by.dedup();
                by.len() == 1
            });
            assert!(
                blocked == naive.blocked(request.fingerprint) || alone,
                "seed {seed} round {round}"
            );
        }
    }
}

/// Whoever asks again and again comes to an end, also where what changed last was dropped for want of room.
#[test]
fn readers_come_to_the_newest_change_whatever_was_dropped() {
    let rule = Rule { max_records: 8, ..Rule::default() };
    let mut board = PoisonTracker::new(rule, None);
    for number in 0..500_u64 {
        let request = suspect("t", &format!("{number}"));
        let now = seconds(1) + Duration::from_millis(number);
        for target in 0..number % 4 {
            let by = (target % 2) as u32;
            board.apply(
                now,
                Origin::Local,
                end(&request, 10 * number + target, by, Duration::ZERO),
            );
        }
        let newest = board.newest_gateway_change();
        let (mut known, mut rounds) = (0, 0);
        while known < newest {
            known = board.gateway_updates(now, known).1;
            rounds += 1;
            assert!(rounds < 3, "change {newest} is waited for");
        }
    }
}
