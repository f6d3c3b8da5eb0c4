//! Decisions against naive versions of themselves, on random inputs.

mod seeds;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use latchmount::choice::{Candidate, Key, NameHash, cap, choose, score};
use latchmount::claims::{CLAIM_WINDOW, Claim, Claims, Release, RequestKey, Verdict};
use latchmount::orders::{ORDER_TIMEOUT, Orders};
use latchmount::placement::{Change, Demand, Engine, plan};
use latchmount::queue::Queue;
use latchmount::reason::{Outcome, Reason};
use latchmount::retry::{Attempts, Budget, MAX_ATTEMPTS, Next};
use latchmount::router::metrics::Metrics;
use latchmount::store::{Command, Config, Drain, Store};
use latchmount::template::Spec;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;

const CASES: u32 = 2_000;

fn spec(model: u8) -> Spec {
    Spec { model: format!("m{model}"), version: "1".into(), adapter: String::new() }
}

fn demand(weights: &BTreeMap<u8, u16>) -> Demand {
    let mut demand = Demand::default();
    for (model, weight) in weights {
        demand.add(spec(*model), f64::from(*weight));
    }
    demand
}

/// Gives engines out one by one, looking at every model each time.
fn naive_quotas(weights: &BTreeMap<u8, u16>, engines: usize) -> BTreeMap<Spec, usize> {
    let mut quotas: BTreeMap<u8, usize> = weights.keys().map(|model| (*model, 0)).collect();
    for _ in 0..engines {
        let mut best: Option<(f64, u8)> = None;
        for (model, weight) in weights {
            let has = quotas[model];
            let quotient =
                if has == 0 { f64::MAX } else { f64::from(*weight) / (2 * has + 1) as f64 };
            if best.is_none_or(|(most, _)| quotient > most) {
                best = Some((quotient, *model));
            }
        }
        if let Some((_, model)) = best {
            *quotas.get_mut(&model).expect("a model") += 1;
        }
    }
    quotas.into_iter().map(|(model, count)| (spec(model), count)).collect()
}

fn engines(loaded: &[Option<u8>]) -> Vec<Engine> {
    let engine = |(number, model): (usize, &Option<u8>)| Engine {
        name: format!("e{number:03}"),
        loaded: model.iter().map(|model| spec(*model)).collect(),
    };
    loaded.iter().enumerate().map(engine).collect()
}

fn carry_out(engines: &mut [Engine], changes: &[Change]) {
    for change in changes {
        let engine = engines.iter_mut().find(|engine| engine.name == change.engine);
        engine.expect("a known engine").loaded = change.to.clone();
    }
}

fn counts(engines: &[Engine]) -> BTreeMap<Spec, usize> {
    let mut counts = BTreeMap::new();
    for engine in engines {
        if let Some(spec) = engine.loaded.first() {
            *counts.entry(spec.clone()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn a_model_that_no_engine_serves_comes_before_one_that_lacks_as_many() {
    let demand = demand(&[(0, 1), (1, 1), (2, 15)].into());
    let engines = engines(&[Some(0), Some(2), Some(0), Some(0)]);
    let changes = plan(&demand, &engines, 2);
    assert!(changes.iter().any(|change| change.to.contains(&spec(1))), "{changes:?}");
}

proptest! {
    #![proptest_config(seeds::config(CASES, "LATCHMOUNT_CASES"))]

    #[test]
    fn quotas_are_those_of_the_naive_apportionment(
        weights in btree_map(0u8..6, 1u16..1000, 1..6),
        engines in 0usize..60,
    ) {
        prop_assert_eq!(demand(&weights).quotas(engines), naive_quotas(&weights, engines));
    }

    #[test]
    fn a_plan_unloads_no_more_than_it_must_and_comes_to_rest_near_the_quotas(
        weights in btree_map(0u8..6, 1u16..1000, 1..6),
        loaded in vec(proptest::option::of(0u8..8), 1..30),
    ) {
        let demand = demand(&weights);
        let mut engines = engines(&loaded);
        let quotas = naive_quotas(&weights, engines.len());
        let before = counts(&engines);
        let lacking: usize = quotas
            .iter()
            .map(|(spec, quota)| quota.saturating_sub(*before.get(spec).unwrap_or(&0)))
            .sum();
        let mut changed = 0;
        loop {
            let changes = plan(&demand, &engines, 2);
            prop_assert!(changes.iter().filter(|change| change.unloads).count() <= 2);
            if changes.is_empty() {
                break;
            }
            changed += changes.len();
            prop_assert!(changed <= lacking, "{changed} changes where {lacking} do");
            carry_out(&mut engines, &changes);
        }
        let after = counts(&engines);
        for (spec, quota) in quotas {
            let has = *after.get(&spec).unwrap_or(&0);
            prop_assert!(has + 1 >= quota, "{spec} has {has} of {quota}");
            prop_assert!(has > 0 || quota == 0, "{spec} has none");
        }
    }

    #[test]
    fn the_choice_is_that_of_a_plain_sort(
        key: u64,
        loads in vec(0usize..6, 0..40),
        cap in 0usize..7,
    ) {
        let candidates: Vec<Candidate> = loads
            .iter()
            .enumerate()
            .map(|(number, load)| Candidate { name: NameHash::new(&number.to_string()), load: *load })
            .collect();
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by_key(|at| std::cmp::Reverse(score(Key(key), candidates[*at].name)));
        let expected = order.into_iter().find(|at| candidates[*at].load < cap);
        prop_assert_eq!(choose(Key(key), &candidates, cap), expected);
    }

    #[test]
    fn a_cap_always_leaves_room_for_one_more(loads in vec(0usize..50, 1..40)) {
        let total = loads.iter().sum::<usize>() + 1;
        let cap = cap(total, loads.len(), 1.25);
        prop_assert!(loads.iter().any(|load| *load < cap));
        prop_assert!(cap as f64 <= 1.25 * total as f64 / loads.len() as f64 + 1.0);
    }

    #[test]
    fn no_order_overtakes_another(
        steps in vec((0u64..3_000, 0usize..3, any::<bool>(), any::<bool>()), 1..80),
        fenced: bool,
    ) {
        let lease = Duration::from_secs(1);
        let mut orders = Orders::new(7, Duration::ZERO, lease, 600);
        let mut now = Duration::ZERO;
        let mut last = 0;
        let mut under_way: BTreeMap<String, Duration> = BTreeMap::new();
        for (millis, engine, answer, _) in steps {
            now += Duration::from_millis(millis);
            let engine = engine.to_string();
            let sent = orders.send(now, &engine, fenced, BTreeSet::new());
            if let Some(order) = sent {
                prop_assert!(order.sequence > last);
                last = order.sequence;
                prop_assert!(fenced || now >= lease + ORDER_TIMEOUT);
                let busy = under_way.insert(engine.clone(), now);
                prop_assert!(busy.is_none_or(|sent| now >= sent + ORDER_TIMEOUT));
            }
            if answer {
                orders.answered(&engine);
                under_way.remove(&engine);
            }
        }
    }

    #[test]
    fn a_request_that_may_have_run_is_retried_only_when_repeatable(
        repeatable: bool,
        failures in vec(0usize..Reason::ALL.len(), 1..6),
        seed: u64,
    ) {
        let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(seed);
        let mut budget = Budget::new(100.0);
        let deadline = Duration::from_secs(1_000);
        let mut attempts = Attempts::new(repeatable, deadline);
        let mut may_have_run = false;
        for (made, failure) in failures.into_iter().enumerate() {
            let reason = Reason::ALL[failure];
            may_have_run |= reason.outcome() != Outcome::NotRun;
            match attempts.failed(Duration::ZERO, reason, &mut budget, &mut rng) {
                Next::Retry(_) => {
                    prop_assert!(repeatable || !may_have_run);
                    prop_assert!(made + 1 < MAX_ATTEMPTS as usize);
                }
                Next::GiveUp(last) => {
                    prop_assert_eq!(last.outcome() != Outcome::NotRun, may_have_run);
                    break;
                }
            }
        }
    }

    #[test]
    fn retries_never_exceed_their_budget(events in vec(any::<bool>(), 1..2_000)) {
        let mut budget = Budget::new(10.0);
        let (mut successes, mut retries) = (0.0, 0.0);
        for success in events {
            if success {
                successes += 1.0;
                budget.earn();
            } else if budget.spend() {
                retries += 1.0;
            }
            prop_assert!(retries <= 10.0 + successes * 0.1 + 1e-6);
        }
    }

    #[test]
    fn deltas_bring_a_router_to_what_the_store_holds(
        steps in vec((0u8..5, any::<bool>(), any::<bool>()), 1..60),
    ) {
        let mut store = Store::default();
        let mut config = Config::default();
        for (index, (name, on, sync)) in (1u64..).zip(steps) {
            store.apply(index, Command::Drain(Drain { name: name.to_string(), on }));
            if sync {
                prop_assert!(config.apply(store.since(config.revision())));
                prop_assert_eq!(config.revision(), store.revision());
                for name in 0..5u8 {
                    let name = name.to_string();
                    prop_assert_eq!(config.closed(&name), store.drains().contains(&name));
                }
            }
        }
        let old = Store::default().since(0);
        prop_assert!(config.revision() == 0 || !config.apply(old));
    }

    #[test]
    fn claims_are_those_of_a_list_of_all_claims_ever(
        steps in vec((0u64..5, 0u8..3, 0u8..2, 0u64..4, any::<bool>()), 1..80),
    ) {
        let window = CLAIM_WINDOW.as_millis() as u64;
        let mut claims = Claims::default();
        let mut naive: Vec<(RequestKey, u64, u64)> = Vec::new();
        let mut granted: BTreeMap<RequestKey, BTreeSet<u64>> = BTreeMap::new();
        let mut now = 10 * window;
        for (passed, key, digest, nonce, release) in steps {
            now += passed * window / 20;
            let made_at = 10 * window + u64::from(key) * window / 10;
            let key = RequestKey(u128::from(made_at) << 80 | 7 << 76 | u128::from(key));
            if release {
                claims.release(Release { key, nonce });
                naive.retain(|held| (held.0, held.2) != (key, nonce));
                // Given back means truly not run: another may run it.
                granted.entry(key).or_default().remove(&nonce);
                continue;
            }
            let digest = u64::from(digest);
            let claim = Claim { key, digest, router_url: nonce.to_string(), nonce, now_ms: now };
            let verdict = claims.claim(claim);
            let holder = naive.iter().find(|held| held.0 == key);
            match (&verdict, holder) {
                (Verdict::TooOld, _) => prop_assert!(made_at + window < now),
                (Verdict::Ahead, _) => prop_assert!(made_at > now),
                (Verdict::Granted, Some(held)) => prop_assert_eq!((held.1, held.2), (digest, nonce)),
                (Verdict::Granted, None) => naive.push((key, digest, nonce)),
                (Verdict::Mismatch, held) => prop_assert!(held.is_some_and(|held| held.1 != digest)),
                (Verdict::Held { .. }, held) => prop_assert!(held.is_none_or(|held| held.2 != nonce)),
                (Verdict::Full, _) => prop_assert!(false, "full with {} claims", claims.len()),
            }
            if verdict == Verdict::Granted {
                let runs = granted.entry(key).or_default();
                runs.insert(nonce);
                prop_assert!(runs.len() <= 1, "two routers may run {key:?}");
            }
        }
    }

    #[test]
    fn the_queue_is_a_stable_sort_by_priority(
        steps in vec(proptest::option::of(0u8..10), 1..100),
        capacity in 1usize..10,
    ) {
        let mut queue = Queue::new(capacity);
        let mut naive: Vec<(u8, usize)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let Some(priority) = step else {
                let expected = (!naive.is_empty()).then(|| naive.remove(0).1);
                prop_assert_eq!(queue.pop(), expected);
                continue;
            };
            naive.push((priority, number));
            naive.sort_by_key(|(priority, _)| std::cmp::Reverse(*priority));
            let expected = (naive.len() > capacity).then(|| naive.pop().expect("a last one").1);
            let (_, refused) = queue.push(priority, number);
            prop_assert_eq!(refused, expected);
            prop_assert_eq!(queue.len(), naive.len());
        }
    }
}

#[test]
fn every_reason_and_metric_stands_on_the_operators_page() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/OPERATIONS.md"));
    let page = page.expect("the page");
    for reason in Reason::ALL {
        let outcome = match reason.outcome() {
            Outcome::NotRun => "not run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        };
        let row = format!("| `{reason}` | {outcome} |");
        assert!(page.contains(&row), "{row} is missing");
    }
    let metrics = Metrics::new().expect("metrics").render();
    let metrics = String::from_utf8(metrics).expect("text");
    for name in metrics.lines().filter_map(|line| line.strip_prefix("# TYPE ")) {
        let name = name.split(' ').next().expect("a name");
        assert!(page.contains(&format!("`{name}")), "{name} is missing");
    }
}
