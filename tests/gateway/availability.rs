//! Whether a target may be sent requests, against a naive version that keeps every report.

use std::time::Duration;

use latchmount::availability::{Availability, Eligibility};
use latchmount::retry_after::RetryAfter;
use proptest::prelude::*;

/// Back-off applied when the target gave no readable length, and the longest one that is applied.
const UNCLEAR_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Time over which the gateways return to a target after its back-off.
const RETURN_SPREAD: Duration = Duration::from_millis(800);

/// Events around one incarnation of a target.
#[derive(Clone, Debug)]
enum Event {
    /// Milliseconds pass, possibly while the host is suspended.
    Wait(u64),
    /// The target reports that it shuts down.
    Draining,
    /// The target asks for a back-off, in milliseconds, or one of unreadable length.
    Backoff(Option<u64>),
    Answered,
    /// The list says whether the target is draining.
    List(bool),
    Evacuate(bool),
    /// The list drops the target and then has it again.
    Relist(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u64..3_000).prop_map(Event::Wait),
        1 => (0_u64..8_000_000).prop_map(Event::Wait),
        1 => Just(Event::Draining),
        4 => prop::option::of(0_u64..5_000).prop_map(Event::Backoff),
        1 => (0_u64..700_000_000).prop_map(|ms| Event::Backoff(Some(ms))),
        4 => Just(Event::Answered),
        2 => any::<bool>().prop_map(Event::List),
        2 => any::<bool>().prop_map(Event::Evacuate),
        2 => any::<bool>().prop_map(Event::Relist),
    ]
}

/// Keeps all reports.
#[derive(Default)]
struct Naive {
    reported_draining: bool,
    listed_draining: bool,
    evacuated: bool,
    /// Start and length.
    backoffs: Vec<(Duration, Duration)>,
}

impl Naive {
    fn note(&mut self, now: Duration, event: &Event) {
        match event {
            Event::Draining => self.reported_draining = true,
            Event::Backoff(Some(ms)) => {
                self.backoffs.push((now, Duration::from_millis(*ms).min(MAX_BACKOFF)));
            }
            Event::Backoff(None) => self.backoffs.push((now, UNCLEAR_BACKOFF)),
            Event::List(draining) | Event::Relist(draining) => self.listed_draining |= *draining,
            Event::Evacuate(evacuated) => self.evacuated = *evacuated,
            Event::Wait(_) | Event::Answered => {}
        }
    }

    fn backs_off(&self, now: Duration) -> bool {
        self.backoffs.iter().any(|(at, length)| now < *at + *length)
    }
}

fn list(known: &mut Availability, draining: bool) {
    if draining {
        known.record_listed_draining();
    }
}

fn note(known: &mut Availability, now: Duration, event: &Event, chance: f64, evacuated: bool) {
    match event {
        Event::Wait(_) => {}
        Event::Draining => {
            known.record_shutdown();
        }
        Event::Backoff(ms) => {
            let backoff =
                ms.map_or(RetryAfter::Unclear, |ms| RetryAfter::In(Duration::from_millis(ms)));
            known.back_off(now, backoff, RETURN_SPREAD, chance);
        }
        Event::Answered => known.record_answer(now),
        Event::List(draining) => list(known, *draining),
        Event::Evacuate(evacuated) => known.set_evacuated(*evacuated),
        Event::Relist(draining) => {
            let reported = known.own_report();
            *known = Availability::default();
            list(known, *draining);
            known.set_evacuated(evacuated);
            reported.into_iter().for_each(|report| known.restore(report));
        }
    }
}

proptest! {
    /// A target gets no request once it has reported that it shuts down, nor during a back-off that it asked for, and
    /// may get one as soon as no report forbids it.
    #[test]
    fn every_report_of_a_target_holds_for_its_time_and_no_longer(
        events in prop::collection::vec((event(), 0.0..1.0_f64), 1..60),
    ) {
        let (mut known, mut naive) = (Availability::default(), Naive::default());
        let mut now = Duration::from_secs(5);
        for (event, chance) in events {
            if let Event::Wait(ms) = event {
                now += Duration::from_millis(ms);
            }
            note(&mut known, now, &event, chance, naive.evacuated);
            naive.note(now, &event);
            let standing = known.eligibility(now);
            let draining = naive.reported_draining || naive.listed_draining;
            prop_assert_eq!(standing == Eligibility::ShuttingDown, draining);
            let free = !draining && !naive.evacuated && !naive.backs_off(now);
            prop_assert_eq!(standing.accepts_work(), free, "{:?} at {:?}", standing, now);
        }
    }
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn backoff(seconds: f64) -> RetryAfter {
    RetryAfter::In(secs(seconds))
}

#[test]
fn a_target_comes_back_with_one_request_and_twice_as_many_with_each_answer() {
    let mut known = Availability::default();
    known.back_off(secs(10.0), backoff(3.0), secs(2.0), 0.5);
    assert_eq!(known.eligibility(secs(12.9)), Eligibility::BackingOff { until: secs(13.0) });
    // An answer from before the end of the back-off does not raise the limit.
    known.record_answer(secs(12.9));
    let early = known.eligibility(secs(13.5));
    assert_eq!(early, Eligibility::Returning { allowed: 0 }, "only as a last resort");
    assert!(early.accepts_work() && early.over_return_limit(0));
    for allowed in [1, 2, 4, 8] {
        let standing = known.eligibility(secs(14.0));
        assert_eq!(standing, Eligibility::Returning { allowed });
        assert!(!standing.over_return_limit(allowed - 1) && standing.over_return_limit(allowed));
        known.record_answer(secs(14.0));
    }
    assert_eq!(known.eligibility(secs(14.0)), Eligibility::Open);
}

/// Until the next incarnation under an identity is listed, its answers are attributed to the one before. A back-off
/// requested shortly before the listing may be its own, so it applies to both. A shutdown report applies to the old one
/// only.
#[test]
fn only_a_backoff_requested_just_before_the_next_incarnation_is_listed_applies_to_it() {
    let mut old = Availability::default();
    old.record_shutdown();
    old.back_off(secs(10.0), backoff(30.0), Duration::ZERO, 0.5);
    let mut next = Availability::default();
    next.restore(
        old.next_incarnation_report(secs(12.0))
            .expect("the back-off may be of the next incarnation"),
    );
    assert_eq!(next.eligibility(secs(12.0)), Eligibility::BackingOff { until: secs(40.0) });
    assert_eq!(
        old.next_incarnation_report(secs(20.0)),
        None,
        "a back-off of 10 s ago is of the old incarnation"
    );
}

#[test]
fn a_shorter_backoff_does_not_shorten_a_longer_one_and_zero_is_none() {
    let mut known = Availability::default();
    known.back_off(secs(1.0), backoff(0.0), secs(1.0), 0.5);
    assert_eq!(known.eligibility(secs(1.0)), Eligibility::Open);
    known.back_off(secs(1.0), backoff(5.0), Duration::ZERO, 0.5);
    known.back_off(secs(1.5), backoff(1.0), Duration::ZERO, 0.5);
    known.back_off(secs(2.0), backoff(0.0), Duration::ZERO, 0.5);
    assert_eq!(known.eligibility(secs(5.9)), Eligibility::BackingOff { until: secs(6.0) });
}
