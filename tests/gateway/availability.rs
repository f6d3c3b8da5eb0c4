//! Whether a target may be sent anything, against a naive version that remembers every word.

use std::time::Duration;

use latchmount::availability::{Availability, Eligibility};
use latchmount::retry_after::RetryAfter;
use proptest::prelude::*;

/// A rest that nobody is told the length of, and the longest.
const UNCLEAR: Duration = Duration::from_secs(1);
const LONGEST: Duration = Duration::from_secs(3_600);
/// Time over which gateways come back.
const SPREAD: Duration = Duration::from_millis(800);

/// What may happen around one start of a target.
#[derive(Clone, Debug)]
enum Event {
    /// Time goes by, be it that the host is suspended meanwhile.
    Wait(u64),
    Leaving,
    Rest(Option<u64>),
    Answered,
    List(bool),
    Evacuate(bool),
    /// A list loses it and brings it back.
    Relist(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u64..3_000).prop_map(Event::Wait),
        1 => (0_u64..8_000_000).prop_map(Event::Wait),
        1 => Just(Event::Leaving),
        4 => prop::option::of(0_u64..5_000).prop_map(Event::Rest),
        1 => (0_u64..700_000_000).prop_map(|ms| Event::Rest(Some(ms))),
        4 => Just(Event::Answered),
        2 => any::<bool>().prop_map(Event::List),
        2 => any::<bool>().prop_map(Event::Evacuate),
        2 => any::<bool>().prop_map(Event::Relist),
    ]
}

/// Remembers all that was said.
#[derive(Default)]
struct Naive {
    said_leaving: bool,
    listed_leaving: bool,
    evacuated: bool,
    rests: Vec<(Duration, Duration)>,
}

impl Naive {
    fn note(&mut self, now: Duration, event: &Event) {
        match event {
            Event::Leaving => self.said_leaving = true,
            Event::Rest(Some(ms)) => {
                self.rests.push((now, Duration::from_millis(*ms).min(LONGEST)));
            }
            Event::Rest(None) => self.rests.push((now, UNCLEAR)),
            Event::List(leaving) | Event::Relist(leaving) => self.listed_leaving = *leaving,
            Event::Evacuate(evacuated) => self.evacuated = *evacuated,
            Event::Wait(_) | Event::Answered => {}
        }
    }

    fn rests(&self, now: Duration) -> bool {
        self.rests.iter().any(|(at, length)| now < *at + *length)
    }
}

fn note(known: &mut Availability, now: Duration, event: &Event, chance: f64, evacuated: bool) {
    match event {
        Event::Wait(_) => {}
        Event::Leaving => {
            known.record_shutdown();
        }
        Event::Rest(ms) => {
            let rest =
                ms.map_or(RetryAfter::Unclear, |ms| RetryAfter::In(Duration::from_millis(ms)));
            known.back_off(now, rest, SPREAD, chance);
        }
        Event::Answered => known.record_answer(now),
        Event::List(leaving) => known.set_listed_draining(*leaving),
        Event::Evacuate(evacuated) => known.set_evacuated(*evacuated),
        Event::Relist(leaving) => {
            let said = known.own_report();
            *known = Availability::default();
            known.set_listed_draining(*leaving);
            known.set_evacuated(evacuated);
            said.into_iter().for_each(|said| known.restore(said));
        }
    }
}

proptest! {
    /// Nothing is sent to a target that has said that it leaves, nor within a rest that it has asked for; and it is
    /// sent something as soon as no word is in the way.
    #[test]
    fn no_word_of_a_target_is_forgotten_and_none_outlives_its_time(
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
            let leaving = naive.said_leaving || naive.listed_leaving;
            prop_assert_eq!(standing == Eligibility::ShuttingDown, leaving);
            let free = !leaving && !naive.evacuated && !naive.rests(now);
            prop_assert_eq!(standing.accepts_work(), free, "{:?} at {:?}", standing, now);
        }
    }
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn rest(seconds: f64) -> RetryAfter {
    RetryAfter::In(secs(seconds))
}

#[test]
fn a_target_comes_back_with_one_request_and_twice_as_many_with_each_answer() {
    let mut known = Availability::default();
    known.back_off(secs(10.0), rest(3.0), secs(2.0), 0.5);
    assert_eq!(known.eligibility(secs(12.9)), Eligibility::BackingOff { until: secs(13.0) });
    // An answer of before the rest proves nothing.
    known.record_answer(secs(12.9));
    let early = known.eligibility(secs(13.5));
    assert_eq!(early, Eligibility::Returning { allowed: 0 }, "only if no other will do");
    assert!(early.accepts_work() && early.over_return_limit(0));
    for allowed in [1, 2, 4, 8] {
        let standing = known.eligibility(secs(14.0));
        assert_eq!(standing, Eligibility::Returning { allowed });
        assert!(!standing.over_return_limit(allowed - 1) && standing.over_return_limit(allowed));
        known.record_answer(secs(14.0));
    }
    assert_eq!(known.eligibility(secs(14.0)), Eligibility::Open);
}

/// The next start under an identity may have answered before any list told of it.
#[test]
fn a_rest_asked_for_just_before_another_start_is_listed_holds_for_that_and_a_leave_does_not() {
    let mut old = Availability::default();
    old.record_shutdown();
    old.back_off(secs(10.0), rest(30.0), Duration::ZERO, 0.5);
    let mut next = Availability::default();
    next.restore(old.next_incarnation_report(secs(12.0)).expect("it may be its word"));
    assert_eq!(next.eligibility(secs(12.0)), Eligibility::BackingOff { until: secs(40.0) });
    assert_eq!(old.next_incarnation_report(secs(20.0)), None, "it was the old one's");
}

#[test]
fn a_shorter_word_does_not_shorten_a_rest_and_no_time_is_no_rest() {
    let mut known = Availability::default();
    known.back_off(secs(1.0), rest(0.0), secs(1.0), 0.5);
    assert_eq!(known.eligibility(secs(1.0)), Eligibility::Open);
    known.back_off(secs(1.0), rest(5.0), Duration::ZERO, 0.5);
    known.back_off(secs(1.5), rest(1.0), Duration::ZERO, 0.5);
    known.back_off(secs(2.0), rest(0.0), Duration::ZERO, 0.5);
    assert_eq!(known.eligibility(secs(5.9)), Eligibility::BackingOff { until: secs(6.0) });
}
