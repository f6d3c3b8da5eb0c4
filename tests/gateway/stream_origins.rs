//! Origins of streams: what one process knows, compared with a naive record, and how much of it is known when a client
//! resumes its stream somewhere else in the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use latchmount::gateway::version_history::VersionHistory;
use latchmount::group::loads::{member_loads_interval, own_loads_interval};
use latchmount::group::prefix_holders::ReadPosition;
use latchmount::group::stream_origins::{
    MAX_PER_GATEWAY_REPORT, MAX_PER_MEMBER_REPORT, ReportedBy, StreamKey, StreamOrigin,
    StreamOrigins, VersionKey,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stream(number: u64) -> StreamKey {
    StreamKey::of(Some("team-a"), format!("r-{number}").as_bytes())
}

fn origin(number: u64, left_s: u16) -> StreamOrigin {
    let version = VersionKey::of("s", ["v1", "v2"][number as usize % 2]);
    StreamOrigin { stream: stream(number), version, left_s }
}

#[test]
fn requests_of_two_teams_with_one_id_are_two_streams_and_versions_belong_to_services() {
    assert_ne!(StreamKey::of(Some("a"), b"r"), StreamKey::of(Some("b"), b"r"));
    assert_ne!(StreamKey::of(None, b"r"), StreamKey::of(Some("a"), b"r"));
    assert_ne!(VersionKey::of("s", "v1"), VersionKey::of("s", "v2"));
    assert_ne!(VersionKey::of("s", "v1"), VersionKey::of("t", "v1"));
    assert_ne!(VersionKey::of("s", "1v"), VersionKey::of("s1", "v"));
}

proptest! {
    // Steps: the time since the previous one in ms, a stream, whether it is reported here, and its seconds left.
    #[test]
    fn what_is_known_and_passed_on_is_what_a_naive_record_holds(
        steps in prop::collection::vec((0..900_u64, 0..40_u64, any::<bool>(), 1..6_u16), 1..120),
    ) {
        let (mut origins, mut position) = (StreamOrigins::default(), ReadPosition::default());
        // By stream: when it was first recorded, until when it counts, and whether it is passed on.
        let mut naive: BTreeMap<u64, (Duration, bool)> = BTreeMap::new();
        let mut passed_on = Vec::new();
        let mut expected = Vec::new();
        let mut now = Duration::ZERO;
        for (pause, number, local, left_s) in steps {
            now += ms(pause);
            naive.retain(|_, (until, _)| now < *until);
            let by = if local { ReportedBy::Local } else { ReportedBy::Remote };
            // A stream that is recorded again while it is known is not new.
            if origins.find(now, stream(number)).is_none() {
                naive.insert(number, (now + Duration::from_secs(left_s.into()), local));
                if local {
                    expected.push(stream(number));
                }
            }
            origins.record(now, by, origin(number, left_s));
            for number in 0..40 {
                let found = origins.find(now, stream(number)).map(|found| found.version);
                let known = naive.contains_key(&number).then(|| origin(number, 1).version);
                prop_assert_eq!(found, known);
            }
            passed_on.extend(
                origins.next_local(now, &mut position, MAX_PER_GATEWAY_REPORT).into_iter().map(|origin| origin.stream),
            );
        }
        prop_assert_eq!(passed_on, expected);
    }
}

#[test]
fn reports_of_two_versions_make_an_origin_ambiguous_everywhere() {
    let with = |version| StreamOrigin { version, ..origin(1, 10) };
    let (v1, v2) = (VersionKey::of("s", "v1"), VersionKey::of("s", "v2"));
    let version = |origins: &StreamOrigins| origins.find(ms(9), stream(1)).map(|one| one.version);
    let (mut origins, mut position) = (StreamOrigins::default(), ReadPosition::default());
    origins.record(ms(1), ReportedBy::Local, with(v1));
    origins.record(ms(2), ReportedBy::Local, with(v1));
    assert_eq!(version(&origins), Some(v1));
    let first = origins.next_local(ms(3), &mut position, MAX_PER_GATEWAY_REPORT);
    origins.record(ms(4), ReportedBy::Local, with(v2));
    assert_eq!(version(&origins), Some(VersionKey::AMBIGUOUS));
    let second = origins.next_local(ms(5), &mut position, MAX_PER_GATEWAY_REPORT);
    let mut other = StreamOrigins::default();
    for origin in first.iter().chain(&second) {
        other.record(ms(6), ReportedBy::Remote, *origin);
    }
    assert_eq!(version(&other), Some(VersionKey::AMBIGUOUS));
    other.record(ms(7), ReportedBy::Local, with(v1));
    assert_eq!(version(&other), Some(VersionKey::AMBIGUOUS));
}

#[test]
fn a_new_reader_gets_all_live_origins_in_messages_of_bounded_size() {
    let mut origins = StreamOrigins::default();
    let total = 3 * MAX_PER_GATEWAY_REPORT as u64 + 7;
    for number in 0..total {
        origins.record(ms(number), ReportedBy::Local, origin(number, 60));
    }
    let (mut position, mut read) = (ReadPosition::default(), Vec::new());
    loop {
        let next = origins.next_local(ms(5_000), &mut position, MAX_PER_GATEWAY_REPORT);
        assert!(next.len() <= MAX_PER_GATEWAY_REPORT);
        if next.is_empty() {
            break;
        }
        read.extend(next.into_iter().map(|origin| origin.stream));
    }
    assert_eq!(read, (0..total).map(stream).collect::<Vec<_>>());
}

#[test]
fn what_is_retained_is_bounded_whatever_is_reported() {
    let mut origins = StreamOrigins::default();
    for number in 0..270_000 {
        origins.record(Duration::ZERO, ReportedBy::Remote, origin(number, u16::MAX));
    }
    assert!(origins.len() <= 262_144);
    assert!(origins.find(Duration::ZERO, stream(269_999)).is_some());
    assert!(origins.find(ms(301_000), stream(269_999)).is_none());
}

#[test]
fn a_version_is_the_only_one_only_if_no_other_was_listed_since_a_stream_can_have_begun() {
    let (v1, v2) = (VersionKey::of("s", "v1"), VersionKey::of("s", "v2"));
    let window = ms(8_000);
    let mut history = VersionHistory::default();
    let only = |history: &VersionHistory, at, listed: &[VersionKey]| {
        history.only(ms(at), "s", window, listed.iter().copied())
    };
    assert_eq!(only(&history, 60_000, &[v1]), None, "without any directory");
    history.note_directory(ms(1_000));
    assert_eq!(only(&history, 8_999, &[v1, v1]), None, "a version may have left before the start");
    assert_eq!(only(&history, 9_000, &[v1, v1]), Some(v1));
    assert_eq!(only(&history, 9_000, &[v1, v2]), None);
    history.note_gone(ms(10_000), "s", v2);
    assert_eq!(only(&history, 17_999, &[v1]), None, "the other version left lately");
    assert_eq!(only(&history, 18_000, &[v1]), Some(v1));
    history.note_gone(ms(18_000), "s", v1);
    assert_eq!(only(&history, 18_100, &[v1]), Some(v1), "one target of several left");
    assert_eq!(only(&history, 18_100, &[]), Some(v1), "all targets left");
    history.note_gone(ms(19_000), "t", v2);
    assert_eq!(only(&history, 19_100, &[v1]), Some(v1), "another service");
}

/// A fleet in virtual time: gateways report the streams that they begin to their members, and members to each other.
struct Fleet {
    rng: StdRng,
    gateways: Vec<(StreamOrigins, ReadPosition)>,
    members: Vec<(StreamOrigins, ReadPosition)>,
    /// Messages under way: when they arrive, at which member, from whom, and what they hold.
    under_way: Vec<(Duration, usize, ReportedBy, Vec<StreamOrigin>)>,
    /// Delay of each message in milliseconds.
    delay_ms: std::ops::Range<u64>,
}

/// Time between two steps of a fleet.
const STEP: Duration = Duration::from_millis(10);
/// Origins that a gateway records in a second: two for each stream.
const ORIGINS_PER_GATEWAY_S: u64 = 40;
/// Part of the streams whose origin must be known: with less, fewer than half would go on even if all those did.
const MIN_KNOWN: f64 = 0.5;
/// Length of a stream in milliseconds; its client asks elsewhere for what is left of it.
const STREAM_MS: u64 = 2_000;
/// How long a gateway asks for an origin.
const ASK_MS: u64 = 400;

impl Fleet {
    fn new(gateways: usize, delay_ms: std::ops::Range<u64>, seed: u64) -> Self {
        let new = || (StreamOrigins::default(), ReadPosition::default());
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            gateways: (0..gateways).map(|_| new()).collect(),
            members: (0..5).map(|_| new()).collect(),
            under_way: Vec::new(),
            delay_ms,
        }
    }

    fn send(&mut self, now: Duration, to: usize, by: ReportedBy, origins: Vec<StreamOrigin>) {
        if !origins.is_empty() {
            let delay = ms(self.rng.random_range(self.delay_ms.clone()));
            self.under_way.push((now + delay, to, by, origins));
        }
    }

    /// One step; the members at and after `members_up` are dead.
    fn step(&mut self, now: Duration, members_up: usize) {
        let (arrived, under_way) =
            std::mem::take(&mut self.under_way).into_iter().partition(|(at, ..)| *at <= now);
        self.under_way = under_way;
        let arrived: Vec<(Duration, usize, ReportedBy, Vec<StreamOrigin>)> = arrived;
        for (_, to, by, origins) in arrived {
            let member = &mut self.members[to].0;
            for origin in origins {
                member.record(now, by, origin);
            }
        }
        let gateways = self.gateways.len() as u32;
        let due = |interval: Duration, number: usize| {
            let offset = ms(number as u64 * 37) + now;
            offset.as_millis() % interval.as_millis() < STEP.as_millis()
        };
        for number in 0..self.gateways.len() {
            if due(own_loads_interval(gateways), number) {
                let (origins, position) = &mut self.gateways[number];
                let origins = origins.next_local(now, position, MAX_PER_GATEWAY_REPORT);
                self.send(now, number % members_up, ReportedBy::Local, origins);
            }
        }
        for number in 0..members_up {
            if due(member_loads_interval(gateways, 200), number) {
                let (origins, position) = &mut self.members[number];
                let origins = origins.next_local(now, position, MAX_PER_MEMBER_REPORT);
                for other in (0..members_up).filter(|other| *other != number) {
                    self.send(now, other, ReportedBy::Remote, origins.clone());
                }
            }
        }
    }
}

/// Part of the streams cut at 6 s whose origins another gateway learns, when `dead_gateways` die then; at 4 s all members
/// from `members_up` on had died.
fn known_share(gateways: usize, dead_gateways: usize, members_up: usize, delay_ms: u64) -> f64 {
    let mut fleet = Fleet::new(gateways, delay_ms / 4..delay_ms + 1, 20_261_203);
    let (mut cut, mut now, mut number) = (Vec::new(), Duration::ZERO, 0);
    while now < ms(6_000) {
        let members_up = if now < ms(4_000) { 5 } else { members_up };
        if now == ms(4_000) {
            // The gateways of dead members turn to others, and report again what they began.
            for (gateway, (_, position)) in fleet.gateways.iter_mut().enumerate() {
                if gateway % 5 >= members_up {
                    *position = ReadPosition::default();
                }
            }
        }
        let begun = ORIGINS_PER_GATEWAY_S as usize * gateways * STEP.as_millis() as usize / 1_000;
        for _ in 0..begun {
            let gateway = fleet.rng.random_range(0..gateways);
            fleet.gateways[gateway].0.record(now, ReportedBy::Local, origin(number, 10));
            if gateway < dead_gateways && now + ms(STREAM_MS) > ms(6_000) {
                cut.push(number);
            }
            number += 1;
        }
        fleet.step(now, members_up);
        now += STEP;
    }
    fleet.gateways.drain(..dead_gateways);
    let asked_at = fleet.rng.random_range(0..members_up);
    while now < ms(6_000 + ASK_MS) {
        fleet.step(now, members_up);
        now += STEP;
    }
    let known =
        cut.iter().filter(|number| fleet.members[asked_at].0.find(now, stream(**number)).is_some());
    known.count() as f64 / cut.len() as f64
}

/// Prints the figures of the capacity page.
#[test]
fn streams_of_gateways_that_die_are_known_elsewhere() {
    for gateways in [8, 40, 340, 986] {
        let quarter = gateways / 4;
        for (dead, members_up, delay_ms) in
            [(1, 5, 20), (quarter, 5, 20), (quarter, 3, 20), (quarter, 5, 500)]
        {
            let share = known_share(gateways, dead, members_up, delay_ms);
            eprintln!("{gateways}: {dead} die, {members_up} members, {delay_ms} ms: {share:.3}");
            assert!(share >= MIN_KNOWN, "{gateways}, {dead}, {members_up}, {delay_ms}: {share}");
        }
    }
}
