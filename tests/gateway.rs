//! The gateway's decisions, and those that it shares with the members, each against a naive version
//! or by cases.
//!
//! `LATCHMOUNT_SEED` sets the seed of the random cases.

#[path = "seeds/seed.rs"]
mod seeds;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use latchmount::configuration::{
    ClientLimits, Configuration, Route, RouteKind, Service, Team, Weighted,
};
use latchmount::dialect::{Dialect, OwnDialect};
use latchmount::directory::{Announcement, Directory, Heartbeat, TargetState, key};
use latchmount::document::{Document, PackError};
use latchmount::gateway::balance::{Affinity, Candidate, Wish, choose};
use latchmount::gateway::budget::{BudgetRule, CAUTION, ServiceBudget};
use latchmount::gateway::events::EventSplitter;
use latchmount::gateway::fleet_size::FleetSize;
use latchmount::gateway::health::{AttemptOutcome, Health, Tally};
use latchmount::gateway::outgoing::from_client;
use latchmount::gateway::reason::Refusal;
use latchmount::gateway::reuse::Reuse;
use latchmount::group::listing::Packer;
use latchmount::group::message::{TargetLoad, loads_interval};
use latchmount::group::pacer::{self, Pacer};
use latchmount::jsonc::Validate;
use latchmount::route_table::{Caller, RouteTable};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(100),
        gap_goal: None,
        priority: 0,
        services: vec![Weighted { service: "s".into(), weight: 1 }],
        max_attempts: 2,
        public: false,
        sticky: false,
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    Configuration {
        version: 3,
        routes,
        services: vec![Service {
            name: "s".into(),
            max_connections: None,
            slots: None,
            engine: false,
            fetches: false,
        }],
        limits: ClientLimits::default(),
        teams: None,
    }
}

fn team(name: &str, keys: &[&str]) -> Team {
    let keys = keys.iter().map(|key| key.to_string()).collect();
    Team { name: name.into(), keys, priority: 0 }
}

#[rstest]
#[case::the_longest_prefix_wins("a.example", "/x/y/z", Some("/x/y/"))]
#[case::a_shorter_prefix_takes_the_rest("a.example", "/x/q", Some("/x/"))]
#[case::a_port_does_not_count("a.example:8080", "/x/q", Some("/x/"))]
#[case::the_case_of_the_host_does_not_count("A.Example", "/x/q", Some("/x/"))]
#[case::a_prefix_is_no_part_of_a_name("a.example", "/xylophone", None)]
#[case::another_host("b.example", "/x/q", None)]
fn routes_are_found(#[case] host: &str, #[case] path: &str, #[case] prefix: Option<&str>) {
    let routes = vec![route("a.example", "/x/"), route("a.example", "/x/y/")];
    let table = RouteTable::new(configuration(routes));
    assert_eq!(table.route(host, path).map(|route| route.prefix.as_str()), prefix);
}

#[test]
fn callers_are_known_by_their_key() {
    let mut whole = configuration(vec![route("h", "/a/"), route("h", "/b/")]);
    whole.routes[1].public = true;
    whole.teams = Some(vec![team("t", &["k1", "k2"])]);
    let table = RouteTable::new(whole);
    let private = table.route("h", "/a/").expect("a route").clone();
    let public = table.route("h", "/b/").expect("a route").clone();
    assert!(matches!(table.caller(&private, Some("k2")), Caller::Team(t) if t.name == "t"));
    assert_eq!(table.caller(&private, Some("k3")), Caller::Unknown);
    assert_eq!(table.caller(&private, None), Caller::Unknown);
    assert_eq!(table.caller(&public, None), Caller::Anyone);
    let without = RouteTable::new(configuration(vec![route("h", "/a/")]));
    assert_eq!(without.caller(&private, None), Caller::Anyone);
}

#[rstest]
#[case::unknown_service(|whole: &mut Configuration| whole.services.clear(), "routes[0].service")]
#[case::no_weight(|whole: &mut Configuration| whole.routes[0].services[0].weight = 0, "routes[0].service")]
#[case::no_timeout(|whole: &mut Configuration| whole.routes[0].timeout = Duration::ZERO, "routes[0].timeout_ms")]
#[case::same_place(|whole: &mut Configuration| whole.routes.push(route("h", "/a/")), "routes[1].prefix")]
#[case::shared_key(|whole: &mut Configuration| whole.teams = Some(vec![team("t", &["k"]), team("u", &["k"])]), "teams[1].keys")]
fn a_faulty_configuration_names_the_field(
    #[case] spoil: fn(&mut Configuration),
    #[case] path: &str,
) {
    let mut whole = configuration(vec![route("h", "/a/")]);
    assert_eq!(whole.faults(), Vec::new());
    spoil(&mut whole);
    let faults = whole.faults();
    assert!(faults.iter().any(|fault| fault.path == path), "{faults:?}");
}

#[test]
fn documents_travel_as_differences_byte_for_byte() {
    let text = |version: u64| {
        let routes: Vec<String> = (0..400).map(|at| format!("{{\"route\":{at}}}")).collect();
        format!("{{\"version\":{version},\n \"routes\":[{}]}}", routes.join(","))
    };
    let document = |version| Document { version, bytes: Bytes::from(text(version)) };
    let (held, newer) = (document(7), document(9));
    let packed = newer.pack(Some(&held)).expect("small");
    assert!(packed.bytes.len() < 100, "{} bytes for a change of one number", packed.bytes.len());
    assert_eq!(packed.unpack(Some(&held)), Ok(newer.clone()));
    assert_eq!(packed.unpack(None), Err(PackError::WrongBase { base: 7 }));
    assert_eq!(packed.unpack(Some(&document(8))), Err(PackError::WrongBase { base: 7 }));
    assert_eq!(newer.pack(None).expect("small").unpack(Some(&held)), Ok(newer));
}

fn heartbeat(id: &str, state: TargetState, sequence: u64) -> Announcement {
    Announcement {
        id: id.into(),
        service: "s".into(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_hall: "z".into(),
        slots: 8,
        state,
        sequence,
    }
}

#[test]
fn heartbeats_are_news_known_or_late() {
    let mut directory = Directory::default();
    let ready = heartbeat("a", TargetState::Ready, 5);
    assert_eq!(directory.judge(&ready), Heartbeat::News);
    directory.announce(10, ready);
    assert_eq!(directory.judge(&heartbeat("a", TargetState::Ready, 6)), Heartbeat::Known);
    directory.announce(11, heartbeat("a", TargetState::Draining, 8));
    assert_eq!(directory.judge(&heartbeat("a", TargetState::Ready, 7)), Heartbeat::Late);
    assert_eq!(directory.judge(&heartbeat("a", TargetState::Draining, 9)), Heartbeat::Known);
    directory.remove(12, "a");
    assert_eq!(directory.judge(&heartbeat("a", TargetState::Ready, 99)), Heartbeat::Late);
    assert!(directory.targets().next().is_none());
}

#[test]
fn a_target_that_replaces_another_takes_its_home_and_moves_no_other() {
    let mut directory = Directory::default();
    let mut index = 0;
    let mut next = || {
        index += 1;
        index
    };
    let ids: Vec<String> = (0..5).map(|at| format!("old{at}")).collect();
    for id in &ids {
        directory.announce(next(), heartbeat(id, TargetState::Ready, 1));
    }
    directory.settle(next(), &ids);
    let homes = |directory: &Directory| -> BTreeMap<String, u32> {
        let delta = directory.since(0).expect("changes");
        let changed = delta.changed.into_iter();
        changed.filter_map(|listed| Some((listed.announcement.id, listed.home?))).collect()
    };
    let before = homes(&directory);
    assert_eq!(before.values().copied().collect::<Vec<_>>(), [0, 1, 2, 3, 4]);
    directory.announce(next(), heartbeat("new", TargetState::Ready, 1));
    assert_eq!(homes(&directory), before, "a newcomer waits for a home");
    directory.announce(next(), heartbeat("old2", TargetState::Draining, 2));
    let mut expected = before.clone();
    let left = expected.remove("old2").expect("it had one");
    expected.insert("new".into(), left);
    assert_eq!(homes(&directory), expected);
    directory.remove(next(), "old2");
    assert_eq!(homes(&directory), expected);
    directory.remove(next(), "old1");
    expected.remove("old1");
    assert_eq!(homes(&directory), expected, "without a newcomer there is a gap");
    directory.announce(next(), heartbeat("later", TargetState::Ready, 1));
    expected.insert("later".into(), 1);
    assert_eq!(homes(&directory), expected, "which the next newcomer takes at once");
}

/// Routers that follow by differences see the same targets as one that asks for all.
#[test]
fn differences_of_the_directory_add_up() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut directory = Directory::default();
    let mut packer = Packer::new().expect("memory");
    let mut followers: Vec<(u64, BTreeMap<String, Announcement>)> = vec![Default::default(); 3];
    for index in 1..2_000u64 {
        let id = format!("t{}", rng.random_range(0..400));
        match rng.random_range(0..10) {
            0..6 => directory.announce(index, heartbeat(&id, TargetState::Ready, index)),
            6 => directory.announce(index, heartbeat(&id, TargetState::Draining, index)),
            7 => directory.silence(index, &[id]),
            _ => directory.remove(index, &id),
        }
        let at = rng.random_range(0..followers.len());
        let (known, targets) = &mut followers[at];
        if let Some(delta) = directory.since(*known) {
            let packed = packer.pack(delta).expect("it encodes");
            let delta = packed.unpack().expect("it decodes");
            if delta.whole {
                targets.clear();
            }
            for id in &delta.removed {
                targets.remove(id);
            }
            for changed in delta.changed {
                targets.insert(changed.announcement.id.clone(), changed.announcement);
            }
            for moved in delta.moved {
                let target = targets.values_mut().find(|target| key(&target.id) == moved.target);
                target.expect("a target that moved is known").state = moved.state;
            }
            *known = delta.revision;
        }
        // Gateways are not told sequences.
        let told = |target: &Announcement| Announcement { sequence: 0, ..target.clone() };
        let all: BTreeMap<String, Announcement> =
            directory.targets().map(|target| (target.id.clone(), told(target))).collect();
        assert_eq!(*targets, all, "seed {seed}, index {index}");
    }
}

/// Members that have just started tell few gateways; nobody takes the slack of all for it.
#[test]
fn a_dip_in_the_number_of_gateways_counts_only_once_it_has_lasted_a_window() {
    let seconds = Duration::from_secs;
    let mut size = FleetSize::new(seconds(10));
    assert_eq!(size.largest(seconds(1)), 0);
    size.note(seconds(1), 62);
    size.note(seconds(20), 1);
    assert_eq!(size.largest(seconds(20)), 1, "what was told long ago counts no more");
    size.note(seconds(21), 60);
    size.note(seconds(22), 3);
    size.note(seconds(23), 8);
    assert_eq!(size.largest(seconds(24)), 60);
    assert_eq!(size.largest(seconds(32)), 8);
    assert_eq!(size.largest(seconds(90)), 8, "the newest counts however old it is");
}

/// The sum over all gateways holds the rule in every window, whatever they do.
#[test]
fn budgets_of_all_gateways_hold_the_rule_in_every_window() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    let rule =
        BudgetRule { ratio: 0.2, window: Duration::from_secs(10), slack: 56.0, used: CAUTION };
    for round in 0..8 {
        let gateways = rng.random_range(1..12u32);
        let mut budgets = vec![ServiceBudget::new(rule); gateways as usize];
        let mut events: Vec<(f64, bool)> = Vec::new();
        let mut now = 0.0;
        while now < 60.0 {
            now += rng.random_range(0.0..0.02);
            let at = rng.random_range(0..budgets.len());
            let time = Duration::from_secs_f64(now);
            budgets[at].request(time);
            events.push((now, false));
            for _ in 0..rng.random_range(0..4) {
                if budgets[at].spend(time, gateways) {
                    events.push((now, true));
                }
            }
        }
        let mut within: VecDeque<(f64, bool)> = VecDeque::new();
        for event in events {
            within.push_back(event);
            while within.front().is_some_and(|(at, _)| *at <= event.0 - 10.0) {
                within.pop_front();
            }
            let further = within.iter().filter(|(_, further)| *further).count() as f64;
            let requests = within.len() as f64 - further;
            assert!(
                further <= 0.2 * requests + 56.0,
                "seed {seed} round {round}: {further} for {requests} at {}",
                event.0
            );
        }
    }
}

#[test]
fn a_gateway_that_knows_of_no_other_takes_no_slack() {
    let rule =
        BudgetRule { ratio: 0.2, window: Duration::from_secs(10), slack: 56.0, used: CAUTION };
    let mut budget = ServiceBudget::new(rule);
    assert!(!budget.spend(Duration::ZERO, 0));
    assert!(budget.spend(Duration::ZERO, 8));
}

#[rstest]
#[case::one_event("id: 1\ndata: x\n\n", 1)]
#[case::in_single_bytes("id: 1\ndata: x\n\nid: 2\ndata: y\n\n", 2)]
#[case::with_carriage_returns("id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n", 2)]
fn streams_are_cut_into_whole_events(#[case] text: &str, #[case] last: u32) {
    for piece in [1, 2, 3, 7, 1_000] {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            let whole = splitter.push(bytes).expect("short events");
            assert!(whole.is_empty() || whole.ends_with(b"\n\n") || whole.ends_with(b"\n\r\n"));
            passed.extend(whole);
        }
        assert_eq!(passed, text.as_bytes(), "in pieces of {piece}");
        assert_eq!(splitter.last_id(), Some(last.to_string().as_str()));
        assert!(splitter.at_boundary());
    }
}

#[test]
fn an_event_that_did_not_become_whole_is_never_passed_on() {
    let mut splitter = EventSplitter::default();
    let whole = splitter.push(b"id: 1\ndata: x\n\nid: 2\ndata").expect("short");
    assert_eq!(&whole[..], b"id: 1\ndata: x\n\n");
    assert!(!splitter.at_boundary());
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.drop_partial();
    assert_eq!(&splitter.push(b"id: 2\n\n").expect("short")[..], b"id: 2\n\n");
}

fn shared(hash: u64, tokens: u64) -> Affinity {
    Affinity { hash, tokens }
}

/// The bytes on a member's link for words about loads, however many gateways there are.
#[test]
fn words_about_loads_leave_most_of_a_members_link_free() {
    const MEMBERS: u32 = 5;
    const LINK_BYTES_PER_S: f64 = 750_000.0;
    for (gateways, targets) in [(8, 22), (62, 97), (80, 97), (340, 790), (300, 3_000)] {
        let loads: Vec<TargetLoad> =
            (0..targets).map(|at| TargetLoad { target: u64::MAX - at, requests: 20 }).collect();
        let bytes = postcard::to_stdvec(&loads).expect("encodes").len() as f64;
        let a_second = 1.0 / loads_interval(gateways, loads.len()).as_secs_f64();
        let to_gateways = f64::from(gateways.div_ceil(MEMBERS)) * bytes * a_second;
        let to_members = f64::from(MEMBERS - 1) * bytes * a_second;
        let part = (to_gateways + to_members) / LINK_BYTES_PER_S;
        assert!(part < 0.25, "{part:.2} of the link with {gateways} gateways, {targets} targets");
    }
}

/// A change of 1,440 routes (22 KB packed) to 20 gateways of one member, and a start of all of them
/// with the list of 3,000 targets (32 KB), over 6 Mbit/s.
#[test]
fn news_reach_all_gateways_of_a_member_in_time_however_large() {
    let documents = Pacer::new(6.0, pacer::PART_FOR_DOCUMENTS);
    assert!(documents.takes(20 * 22_000) < Duration::from_secs(1));
    let wholes = Pacer::new(6.0, pacer::PART_FOR_WHOLES);
    assert!(wholes.takes(68 * 32_000) < Duration::from_secs(8));
}

fn candidate(home: u32, load: f64) -> Candidate {
    Candidate {
        key: u64::from(home),
        home: Some(home),
        load,
        slots: 64,
        near: false,
        doubtful: false,
    }
}

#[test]
fn an_affinity_always_meets_the_same_target_and_moves_only_with_it() {
    let mut rng = StdRng::seed_from_u64(1);
    let all: Vec<Candidate> = (0..18).map(|key| candidate(key, 1.0)).collect();
    for affinity in 0..500 {
        let wish = Wish { affinity: Some(shared(affinity, 0)), load_bound: 2.0, targets: 18 };
        let first = choose(&all, wish, &mut rng).expect("candidates");
        let without: Vec<Candidate> = all.iter().copied().filter(|c| c.home != Some(5)).collect();
        let then = choose(&without, wish, &mut rng).expect("candidates");
        if all[first].home != Some(5) {
            assert_eq!(without[then].home, all[first].home);
        }
    }
}

#[test]
fn no_target_is_chosen_beyond_its_bound_while_another_is_below() {
    let seed = seeds::seed();
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..2_000 {
        let count = rng.random_range(2..20);
        let loads = |home| candidate(home, f64::from(rng.random_range(0..40u32)));
        let all: Vec<Candidate> = (0..count).map(loads).collect();
        let tokens = rng.random_range(0..20_000);
        let wish =
            Wish { affinity: Some(shared(7, tokens)), load_bound: 2.0, targets: count as usize };
        let at = choose(&all, wish, &mut StdRng::seed_from_u64(2)).expect("candidates");
        let mean = all.iter().map(|c| c.load).sum::<f64>() / count as f64;
        assert!(all[at].load <= 2.0 * mean + 3.0, "seed {seed}: {all:?} chose {at}");
    }
}

#[test]
fn cheap_requests_leave_a_full_home_before_dear_ones() {
    let mut rng = StdRng::seed_from_u64(4);
    let wish = |tokens| Wish { affinity: Some(shared(7, tokens)), load_bound: 2.0, targets: 10 };
    let mut all: Vec<Candidate> = (0..10).map(|home| candidate(home, 4.0)).collect();
    let home = choose(&all, wish(0), &mut rng).expect("candidates");
    all[home].load = 7.0;
    assert_eq!(choose(&all, wish(10_000), &mut rng), Some(home));
    assert_ne!(choose(&all, wish(100), &mut rng), Some(home));
    all[home].load = 12.0;
    assert_ne!(choose(&all, wish(10_000), &mut rng), Some(home));
}

#[test]
fn doubtful_targets_are_chosen_only_when_there_is_no_other() {
    let mut rng = StdRng::seed_from_u64(3);
    for affinity in [None, Some(shared(4, 100))] {
        let wish = Wish { affinity, load_bound: 2.0, targets: 18 };
        let mut all = vec![candidate(1, 0.0), candidate(2, 9.0)];
        all[0].doubtful = true;
        assert_eq!(choose(&all, wish, &mut rng), Some(1));
        all[1].doubtful = true;
        assert!(choose(&all, wish, &mut rng).is_some());
        assert_eq!(choose(&[], wish, &mut rng), None);
    }
}

/// Plays attempts at targets that fail with the given chances, each attempt at a target that is not
/// left alone, and counts how often each was left alone.
fn pauses_under(chances: &[f64], attempts: u32, rng: &mut StdRng) -> Vec<u32> {
    let mut targets = vec![Health::default(); chances.len()];
    let mut pauses = vec![0; chances.len()];
    for attempt in 0..attempts {
        let now = Duration::from_millis(20) * attempt;
        let usable: Vec<usize> =
            (0..chances.len()).filter(|at| !targets[*at].paused(now)).collect();
        let Some(at) = usable.get(rng.random_range(0..usable.len().max(1))).copied() else {
            continue;
        };
        let failed = rng.random_bool(chances[at]);
        let outcome = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let others = usable.iter().filter(|other| **other != at);
        let others: Vec<Tally> = others.map(|other| targets[*other].tally(now)).collect();
        pauses[at] += u32::from(targets[at].note(now, outcome, &others));
    }
    pauses
}

#[test]
fn targets_are_left_alone_for_failures_only_while_others_do_better() {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    let alike = pauses_under(&[0.45; 18], 1_000, &mut rng);
    assert!(alike.iter().sum::<u32>() <= 18, "all fail alike: {alike:?}");
    for failing in [1, 4, 9, 13] {
        let mut chances = [0.0; 18];
        chances[..failing].fill(0.9);
        let pauses = pauses_under(&chances, 1_000, &mut rng);
        assert!(pauses[..failing].iter().all(|times| *times > 0), "{failing}: {pauses:?}");
        assert!(pauses[failing..].iter().all(|times| *times == 0), "{failing}: {pauses:?}");
    }
}

#[test]
fn a_target_out_of_reach_is_left_alone_longer_each_time_and_comes_back() {
    let mut health = Health::default();
    let mut now = Duration::ZERO;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        assert!(health.note(now, AttemptOutcome::Unreachable, &[]));
        let began = now;
        while health.paused(now) {
            now += Duration::from_millis(10);
        }
        pauses.push(now - began);
        assert!(health.on_trial(now));
    }
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses[5] <= Duration::from_secs(5));
    for _ in 0..20 {
        health.note(now, AttemptOutcome::Answered, &[]);
    }
    assert!(!health.paused(now) && !health.on_trial(now));
}

#[test]
fn a_refusal_that_promises_that_nothing_ran_is_never_given_when_something_may_have() {
    for refusal in Refusal::ALL {
        let status = refusal.status().as_u16();
        let promises = matches!(status, 408 | 421 | 429 | 503);
        assert!(!(promises && refusal.may_have_run()), "{refusal:?}");
        assert_eq!(refusal.come_back_in().is_some(), status == 503, "{refusal:?}");
    }
}

/// A fleet that starts: until most targets have a home, the few that have one do not get the work of
/// all.
#[test]
fn affinities_spread_over_all_targets_while_few_have_homes() {
    let mut rng = StdRng::seed_from_u64(seeds::seed());
    let unhoused = |key: u32| Candidate { home: None, ..candidate(key, 0.0) };
    let mut all: Vec<Candidate> = (0..40).map(unhoused).collect();
    all[7].home = Some(0);
    let mut chosen = vec![0; all.len()];
    for affinity in 0..4_000 {
        let wish = Wish { affinity: Some(shared(affinity, 9_000)), load_bound: 2.0, targets: 40 };
        chosen[choose(&all, wish, &mut rng).expect("candidates")] += 1;
    }
    assert!(chosen.iter().all(|times| (20..400).contains(times)), "{chosen:?}");
}

#[test]
fn no_header_that_only_gateways_set_comes_from_a_client() {
    let dialect = OwnDialect::default();
    let names = dialect.headers();
    let mut client = HeaderMap::new();
    for name in names.set_by_routers() {
        client.append(name.clone(), HeaderValue::from_static("forged"));
        client.append(name.clone(), HeaderValue::from_static("forged again"));
    }
    client.insert("x-hop", HeaderValue::from_static("dropped"));
    client.insert("connection", HeaderValue::from_static("X-Hop"));
    client.insert(names.prompt.clone(), HeaderValue::from_static("a:1,b:2"));
    client.insert("x-other", HeaderValue::from_static("kept"));
    let passed = from_client(&client, names);
    let passed: Vec<&str> = passed.keys().map(|name| name.as_str()).collect();
    assert_eq!(passed, ["latchmount-prompt", "x-other"]);
}

#[rstest]
#[case::just_used(0, true)]
#[case::used_a_second_ago(1_000, true)]
#[case::used_long_ago(3_000, false)]
fn requests_that_may_run_once_use_connections_that_were_used_lately(
    #[case] idle_ms: u64,
    #[case] allowed: bool,
) {
    let idle_for = Duration::from_millis(idle_ms);
    assert_eq!(Reuse::UsedLately.allows(idle_for), allowed);
    assert!(Reuse::Any.allows(idle_for));
}
