//! Evidence on whether a target still runs as the listed incarnation, and the reports of suspected restarts, compared with
//! naive versions.

use std::collections::BTreeMap;
use std::time::Duration;

use latchmount::directory::Born;
use latchmount::gateway::incarnation_check::{IncarnationCheck, ReportedIncarnation};
use latchmount::group::restarts::{
    MAX_PER_MESSAGE, SUSPICION_TTL, SuspectedRestart, SuspectedRestarts,
};
use latchmount::group::stream_origins::ReportedBy;
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::the_same(Some(7), Some(7), ReportedIncarnation::Listed)]
#[case::a_later_one(Some(7), Some(8), ReportedIncarnation::Other)]
#[case::one_whose_clock_stepped_back(Some(7), Some(6), ReportedIncarnation::Other)]
#[case::a_report_without_it(Some(7), None, ReportedIncarnation::Untold)]
#[case::a_listing_without_it(None, Some(7), ReportedIncarnation::Untold)]
fn a_reported_start_time_names_the_incarnation(
    #[case] listed: Option<u64>,
    #[case] reported: Option<u64>,
    #[case] expected: ReportedIncarnation,
) {
    assert_eq!(ReportedIncarnation::compare(Born(listed), Born(reported)), expected);
}

#[test]
fn a_confirmation_counts_against_earlier_signs_only() {
    let mut check = IncarnationCheck::default();
    check.suspect(SECOND);
    check.record_report(ms(900), ReportedIncarnation::Listed);
    assert!(check.suspected(SECOND, false), "the question was sent before the connection broke");
    check.record_report(ms(1_100), ReportedIncarnation::Listed);
    assert!(!check.suspected(ms(1_200), false));
    check.suspect(ms(1_050));
    assert!(!check.suspected(ms(1_200), false), "a sign that another gateway saw before");
    check.suspect(ms(1_150));
    assert!(check.suspected(ms(1_200), false));
}

#[test]
fn another_incarnation_is_never_taken_for_the_listed_one_again() {
    let mut check = IncarnationCheck::default();
    check.record_report(SECOND, ReportedIncarnation::Other);
    check.record_report(SECOND * 2, ReportedIncarnation::Listed);
    assert!(check.suspected(SECOND * 1_000, false));
    assert!(!check.begin_question(SECOND * 1_000));
}

#[test]
fn a_target_that_the_members_miss_must_be_confirmed() {
    let mut check = IncarnationCheck::default();
    assert!(check.suspected(SECOND, true));
    check.record_report(SECOND, ReportedIncarnation::Listed);
    assert!(!check.suspected(ms(1_500), true));
    assert!(check.suspected(ms(2_500), true));
}

#[test]
fn only_a_connection_that_was_open_before_the_first_sign_refutes_it() {
    let mut check = IncarnationCheck::default();
    check.suspect(SECOND);
    check.suspect(SECOND * 2);
    check.record_answer(ms(1_500), SECOND * 3);
    assert!(check.suspected(SECOND * 3, false), "it may lead to the next incarnation");
    check.record_answer(ms(900), ms(1_900));
    assert!(check.suspected(SECOND * 3, false), "the request was sent before the last sign");
    check.record_answer(ms(900), SECOND * 3);
    assert!(!check.suspected(SECOND * 3, false));
}

#[test]
fn a_target_that_does_not_tell_is_not_asked_again() {
    let mut check = IncarnationCheck::default();
    assert!(check.begin_question(SECOND));
    check.record_report(SECOND, ReportedIncarnation::Untold);
    check.suspect(SECOND * 5);
    assert!(!check.begin_question(SECOND * 10));
}

/// One step of a random history of a target.
#[derive(Clone, Copy, Debug)]
enum Step {
    Sign {
        ago: u64,
    },
    Report(ReportedIncarnation),
    /// An answer on a connection that was opened this long before the request was sent.
    Answer {
        sent_ago: u64,
        opened_before: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..800_u64).prop_map(|ago| Step::Sign { ago }),
        Just(Step::Report(ReportedIncarnation::Listed)),
        Just(Step::Report(ReportedIncarnation::Unknown)),
        (0..500_u64, 0..3_000_u64)
            .prop_map(|(sent_ago, opened_before)| Step::Answer { sent_ago, opened_before }),
    ]
}

proptest! {
    #[test]
    fn a_target_is_suspected_while_a_sign_is_later_than_every_confirmation(
        steps in prop::collection::vec((0..2_000_u64, step()), 1..60),
    ) {
        let mut check = IncarnationCheck::default();
        // All signs that are not refuted, and the time before which a connection must have been opened to refute them.
        let (mut signs, mut confirmations) = (Vec::new(), Vec::new());
        let mut refutes_before = None;
        // The same where the time of each sign is known, so that a later connection may refute them.
        let (mut exact, mut exact_confirmations) = (Vec::new(), Vec::new());
        let mut now = SECOND * 4;
        for (pause, step) in steps {
            now += ms(pause);
            match step {
                Step::Sign { ago } => {
                    let at = now - ms(ago);
                    check.suspect(at);
                    if confirmations.iter().all(|confirmed| *confirmed <= at) {
                        signs.push(at);
                        refutes_before = Some(refutes_before.map_or(at, |before| at.min(before)));
                    }
                    if exact_confirmations.iter().all(|confirmed| *confirmed <= at) {
                        exact.push(at);
                    }
                }
                Step::Answer { sent_ago, opened_before } => {
                    let sent_at = now - ms(sent_ago);
                    let opened_at = sent_at - ms(opened_before);
                    check.record_answer(opened_at, sent_at);
                    if refutes_before.is_some_and(|before| opened_at < before) {
                        confirmations.push(sent_at);
                        signs.retain(|sign| *sign >= sent_at);
                        refutes_before = refutes_before.map(|before| sent_at.max(before));
                    }
                    if exact.iter().min().is_some_and(|first| opened_at < *first) {
                        exact_confirmations.push(sent_at);
                        exact.retain(|sign| *sign >= sent_at);
                    }
                }
                Step::Report(reported) => {
                    check.record_report(now, reported);
                    if reported == ReportedIncarnation::Listed {
                        confirmations.push(now);
                        signs.retain(|sign| *sign >= now);
                        refutes_before = refutes_before.map(|before| now.max(before));
                        exact_confirmations.push(now);
                        exact.retain(|sign| *sign >= now);
                    }
                }
            }
            refutes_before = refutes_before.filter(|_| !signs.is_empty());
            let suspected = signs.iter().any(|sign| now < *sign + SUSPICION_TTL);
            prop_assert_eq!(check.suspected(now, false), suspected);
            let exactly = exact.iter().any(|sign| now < *sign + SUSPICION_TTL);
            prop_assert!(suspected || !exactly, "trusted against a sign that nothing refutes");
        }
    }

    // Steps: the time since the previous one in ms, a target, the age of the sign in ms, and whether it was seen here.
    #[test]
    fn every_process_is_told_each_suspicion_once(
        steps in prop::collection::vec((0..3_000_u64, 0..6_u64, 0..500_u32, any::<bool>()), 1..100),
    ) {
        let mut known = SuspectedRestarts::default();
        let mut naive: BTreeMap<u64, Duration> = BTreeMap::new();
        let (mut told, mut told_local) = (0, 0);
        let mut now = SECOND;
        for (pause, target, age_ms, local) in steps {
            now += ms(pause);
            let at = now - ms(age_ms.into());
            let new = naive.get(&target).is_none_or(|known| at >= *known + SECOND);
            let by = if local { ReportedBy::Local } else { ReportedBy::Remote };
            let suspicion = SuspectedRestart { target, age_ms };
            prop_assert_eq!(known.record(now, by, suspicion), new);
            let (all, upto) = known.changes_after(now, told);
            let (passed_on, local_upto) = known.local_changes_after(now, told_local);
            prop_assert_eq!(all, Vec::from_iter(new.then_some(suspicion)));
            prop_assert_eq!(passed_on, Vec::from_iter((new && local).then_some(suspicion)));
            (told, told_local) = (upto, local_upto);
            if new {
                naive.insert(target, at);
            }
        }
        let (all, _) = known.changes_after(now, 0);
        let counting = naive.values().filter(|at| now < **at + SUSPICION_TTL).count();
        prop_assert_eq!(all.len(), counting);
    }
}

#[test]
fn suspicions_are_bounded_and_the_oldest_is_dropped() {
    let mut known = SuspectedRestarts::default();
    for target in 0..20_000 {
        let suspicion = SuspectedRestart { target, age_ms: 0 };
        assert!(known.record(SECOND, ReportedBy::Local, suspicion));
    }
    let (mut after, mut targets) = (0, Vec::new());
    loop {
        let (some, upto) = known.changes_after(SECOND, after);
        assert!(some.len() <= MAX_PER_MESSAGE);
        if some.is_empty() {
            break;
        }
        targets.extend(some.iter().map(|suspicion| suspicion.target));
        after = upto;
    }
    assert_eq!(targets, Vec::from_iter(20_000 - 16_384..20_000));
}
