//! Checks the observations of a run against the documented promises, after all faults have ended. Each
//! violation starts with the name of its promise, such as DRAIN or FAILBACK.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::time::Duration;

use crate::harness::{call, eventually};
use crate::recorder::{Component, GatewayFault, Observations, Order, Outcome, PoisonEvent, Seen};
use crate::seeds;
use crate::target::COLD_PERIOD;
use crate::world::{COLD_LIMITS, World};

/// Time within which every connected gateway applies an acknowledged drain or evacuation, on a machine
/// that is not overloaded. Only runs with `LATCHMOUNT_SOAK_STRICT=1` are checked against it, except in
/// `check_shutdown_notices`.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);
/// The bound without `LATCHMOUNT_SOAK_STRICT`, long enough that the result does not depend on the
/// machine's load. Also used for poison requests.
const LENIENT_DRAIN_BOUND: Duration = Duration::from_secs(15);
/// Time after a fault or a repair in which arrivals are not checked against the bounds on drains,
/// evacuations and poison requests. A fault this long before a Retry-After also excuses a gateway.
const SETTLE_TIME: Duration = Duration::from_millis(4_000);
/// Number of retries that the gateways' settings allow in a window, besides `RETRY_RATIO`.
const RETRY_SLACK: f64 = 200.0;
/// Retries allowed in a window as a share of its requests.
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Number of targets that a poison request may end before gateways must block it.
const MAX_POISON_EXITS: usize = 3;
/// Time from the last of these exits until all connected gateways must block the request.
const POISON_BOUND: Duration = Duration::from_millis(3_000);
/// Number of times that a poison request may still be sent after that.
const MAX_LATE_POISON: usize = 3;
/// Share of the innocent requests that may be blocked as poison.
const MAX_BLOCKED_SHARE: f64 = 0.01;
/// Time within which a gateway must apply a target's Retry-After.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);
/// Number of requests that may come during the rest of the pause.
const MAX_DURING_BACKOFF: usize = 2;
/// Time after which a gateway that is cut off from all targets must serve, and in which another fault excuses it.
const CUT_SETTLE_TIME: Duration = Duration::from_secs(3);
/// How often brittle targets may fall over in a run, and one time more for so many targets.
const FALLS_ALLOWED: usize = 2;
const TARGETS_PER_FALL: usize = 10;
const SECOND: Duration = Duration::from_secs(1);

/// Waits until the fleet has recovered, then checks all promises.
pub async fn check(world: &mut World) {
    recover(world).await;
    world.stop_callers();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let observed = world.recorder.lock();
    let mut violations = observed.violations.clone();
    check_runs(&observed, &mut violations);
    check_drains(&observed, &mut violations);
    check_budget(&observed, &mut violations);
    check_evacuations(&observed, &mut violations);
    check_shutdown_notices(&observed, &mut violations);
    check_cut_off(&observed, &mut violations);
    check_falls(&observed, world.targets.len(), &mut violations);
    // Earlier builds do not give these promises.
    if world.earlier_build.is_none() {
        check_cold(&observed, &mut violations);
        check_backoffs(&observed, &mut violations);
        check_poison(&observed, &mut violations);
    }
    drop(observed);
    for process in world.fleet.members.iter_mut().chain(&mut world.fleet.gateways) {
        if process.has_exited() {
            violations.push(format!("{} ended by itself", process.name));
        }
    }
    assert!(
        violations.is_empty(),
        "{} promises broken:\n{}",
        violations.len(),
        violations.join("\n")
    );
}

/// Reads the acknowledged configuration and evacuations back, puts a further configuration in force at
/// every gateway, and waits until every gateway serves again.
async fn recover(world: &mut World) {
    let member_addrs = world.member_addrs.clone();
    let acknowledged =
        *world.recorder.lock().acknowledged.keys().max().expect("an acknowledged version");
    let mut at = 0;
    let read = eventually("the configuration is read back", async || {
        at += 1;
        let answer = call(member_addrs[at % member_addrs.len()], "GET", "/config", "").await?;
        (answer.status == 200).then_some(answer.body)
    })
    .await;
    let value: serde_json::Value = serde_json::from_str(&read).expect("a JSON body");
    let version = value["version"].as_u64().expect("a version");
    let sent = world.recorder.lock().configurations.get(&version).cloned();
    if version < acknowledged {
        world
            .recorder
            .record_violation(format!("LOST: read {version}, acknowledged was {acknowledged}"));
    }
    if sent.as_deref() != Some(&read) {
        world
            .recorder
            .record_violation(format!("CONFIG: version {version} is not what was sent under it"));
    }
    check_orders(world).await;
    world.configure_until_acknowledged().await;
    for gateway in 0..world.fleet.gateways.len() {
        world.fleet.wait_for_configuration(gateway, world.version).await;
    }
    let recovered = world.recorder.now();
    world.add_caller_at_each_gateway();
    eventually("every gateway serves again", async || {
        let observed = world.recorder.lock();
        let served = |gateway: usize| {
            let later = observed.seen.iter().filter(|seen| seen.sent > recovered);
            let good = later.filter(|seen| seen.ended == Outcome::Status(200));
            good.filter(|seen| seen.gateway == gateway).count()
        };
        (0..world.fleet.gateways.len()).all(|gateway| served(gateway) >= 5).then_some(())
    })
    .await;
}

/// Checks that the last order about each data hall, if acknowledged, is in force. Then withdraws all
/// evacuations.
async fn check_orders(world: &mut World) {
    let member_addrs = world.member_addrs.clone();
    let listed = eventually("the orders are read back", async || {
        let answer = call(member_addrs[0], "GET", "/evacuations/", "").await?;
        (answer.status == 200).then_some(answer.body)
    })
    .await;
    let mut last: BTreeMap<String, Order> = BTreeMap::new();
    for order in &world.recorder.lock().orders {
        last.insert(order.data_hall.clone(), order.clone());
    }
    for (data_hall, order) in &last {
        let evacuated = listed.contains(&format!("\"{data_hall}\""));
        if order.acknowledged.is_some() && evacuated != order.evacuate {
            world.recorder.record_violation(format!("LOST: {order:?}, in force is {listed}"));
        }
    }
    if last.values().any(|order| order.evacuate && order.acknowledged.is_some()) {
        // Long enough after the last fault that every gateway is connected.
        tokio::time::sleep(SETTLE_TIME + SECOND * 2).await;
    }
    let now = world.recorder.now();
    world.recorder.lock().ended = now;
    for data_hall in last.keys() {
        eventually(&format!("{data_hall} is taken back"), async || {
            let answer =
                call(member_addrs[0], "DELETE", &format!("/evacuations/{data_hall}"), "").await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

/// EVAC: no request runs in an evacuated data hall later than the bound after the acknowledgement,
/// unless there was a recent fault.
fn check_evacuations(observed: &Observations, violations: &mut Vec<String>) {
    let strict = seeds::env_number("LATCHMOUNT_SOAK_STRICT") == Some(1);
    let bound = if strict { DRAIN_BOUND } else { LENIENT_DRAIN_BOUND };
    for (number, order) in observed.orders.iter().enumerate().filter(|(_, order)| order.evacuate) {
        let Some(acknowledged) = order.acknowledged else { continue };
        let mut later = observed.orders[number + 1..].iter();
        let next = later.find(|next| next.data_hall == order.data_hall);
        let until = next.map_or(Duration::MAX, |next| next.made).min(observed.ended);
        for run in observed.runs.values().flatten() {
            let there = observed.targets[&run.target].data_hall == order.data_hall;
            if there
                && run.at > acknowledged + bound
                && run.at < until
                && no_recent_fault(observed, run.at)
            {
                violations.push(format!("EVAC: {run:?} after {order:?}"));
            }
        }
    }
}

/// FAILBACK: a cold target gets at most the configured number of requests in any second, summed over
/// all gateways.
fn check_cold(observed: &Observations, violations: &mut Vec<String>) {
    let max_requests = COLD_LIMITS.0 * COLD_LIMITS.1 + COLD_LIMITS.2;
    for (id, place) in &observed.targets {
        // The initial targets were cold before there was any caller.
        let cold = |at: &Duration| *at < place.started + COLD_PERIOD;
        let runs = observed.runs.values().flatten().filter(|run| run.target == *id);
        let mut at: Vec<Duration> = runs.map(|run| run.at).filter(cold).collect();
        at.sort_unstable();
        for first in &at {
            let within = at.iter().filter(|at| *at >= first && **at < *first + SECOND).count();
            if within as f64 > max_requests {
                violations.push(format!("FAILBACK: {id} got {within} from {first:?}, {place:?}"));
                break;
            }
        }
    }
}

/// BUDGET: a request that ended three targets is hardly ever sent to another, and innocent requests are
/// hardly ever blocked as poison.
fn check_poison(observed: &Observations, violations: &mut Vec<String>) {
    let strict = seeds::env_number("LATCHMOUNT_SOAK_STRICT") == Some(1);
    let bound = if strict { POISON_BOUND } else { LENIENT_DRAIN_BOUND };
    for (poison, events) in &observed.poison_events {
        // Two attempts may run at the same target, which exits once.
        let mut first_exits = BTreeMap::new();
        for (target, at) in events.iter().filter_map(PoisonEvent::ended) {
            first_exits.entry(target).or_insert(at);
        }
        let mut exits: Vec<Duration> = first_exits.into_values().collect();
        exits.sort_unstable();
        if let Some(third) = exits.get(MAX_POISON_EXITS - 1) {
            let reached = events.iter().filter_map(PoisonEvent::reached);
            let late =
                reached.filter(|at| *at > *third + bound && no_recent_fault(observed, *at)).count();
            if late > MAX_LATE_POISON {
                violations
                    .push(format!("BUDGET: {poison} was sent {late} times later: {events:?}"));
            }
        }
        // A gateway that is cut off or has just started must detect the poison request by itself.
        if exits.len() > MAX_POISON_EXITS * observed.gateway_starts {
            violations
                .push(format!("BUDGET: {} targets ended under {poison}: {events:?}", exits.len()));
        }
    }
    let blocked_share = f64::from(observed.blocked_innocent) / observed.seen.len().max(1) as f64;
    if blocked_share > MAX_BLOCKED_SHARE {
        violations.push(format!(
            "{} of {} innocent requests accused",
            observed.blocked_innocent,
            observed.seen.len()
        ));
    }
}

/// TWICE: a request that is not idempotent ran more than once. REFUSED: one ran although its response
/// promised that it did not. DENIED: a valid request was rejected as invalid. UNASKED: a request ran
/// that no caller sent, or for the wrong team.
fn check_runs(observed: &Observations, violations: &mut Vec<String>) {
    for seen in &observed.seen {
        let runs = observed.runs.get(&seen.id).map_or(0, Vec::len);
        if !seen.kind.idempotent() && runs > 1 {
            violations
                .push(format!("TWICE: {seen:?} ran {runs} times: {:?}", observed.runs[&seen.id]));
        }
        let refused = matches!(seen.ended, Outcome::Status(408 | 421 | 429 | 503));
        if refused && !seen.kind.idempotent() && runs > 0 {
            violations.push(format!("REFUSED: {seen:?} had run: {:?}", observed.runs[&seen.id]));
        }
        if matches!(seen.ended, Outcome::Status(401 | 403 | 404 | 413 | 431)) {
            violations.push(format!("DENIED: {seen:?}"));
        }
    }
    for (id, runs) in &observed.runs {
        if !observed.sent_ids.contains(id) {
            violations.push(format!("UNASKED: nobody sent {id}: {runs:?}"));
        }
        if let Some(run) = runs.iter().find(|run| run.team != "tenant-a") {
            violations.push(format!("UNASKED: {id} ran for the wrong team: {run:?}"));
        }
    }
}

/// DRAIN: no request runs at a target later than the bound after its drain was acknowledged, unless
/// there was a recent fault.
fn check_drains(observed: &Observations, violations: &mut Vec<String>) {
    let strict = seeds::env_number("LATCHMOUNT_SOAK_STRICT") == Some(1);
    let bound = if strict { DRAIN_BOUND } else { LENIENT_DRAIN_BOUND };
    for (id, run) in
        observed.runs.iter().flat_map(|(id, runs)| runs.iter().map(move |run| (id, run)))
    {
        if let Some(drained) = observed.drained.get(&run.target)
            && run.at > *drained + bound
            && no_recent_fault(observed, run.at)
        {
            violations.push(format!("DRAIN: {id} reached {run:?}, drained at {drained:?}"));
        }
    }
}

/// DRAIN: once a gateway has forwarded a response whose header says that the target is shutting down, requests sent to it
/// later than the bound do not reach that target, whether or not members can be reached. Not checked if the gateway had a
/// fault, such as a restart or a pause, or a repair since.
fn check_shutdown_notices(observed: &Observations, violations: &mut Vec<String>) {
    let sent: HashMap<&str, Duration> =
        observed.seen.iter().map(|seen| (seen.id.as_str(), seen.sent)).collect();
    let mut first: BTreeMap<(IpAddr, &str), Duration> = BTreeMap::new();
    for notice in &observed.shutdown_notices {
        let key = (observed.gateways[notice.gateway], notice.target.as_str());
        let at = first.entry(key).or_insert(notice.at);
        *at = notice.at.min(*at);
    }
    for (id, run) in
        observed.runs.iter().flat_map(|(id, runs)| runs.iter().map(move |run| (id, run)))
    {
        let notice = first.get(&(run.gateway, run.target.as_str()));
        let late = |notice: &Duration| {
            sent.get(id.as_str()).is_some_and(|sent| *sent > *notice + DRAIN_BOUND)
        };
        if let Some(notice) = notice.filter(|notice| late(notice))
            && !had_fault(observed, &Component::Gateway(run.gateway), *notice, run.at)
        {
            violations.push(format!("DRAIN: {id} reached {run:?}, told since {notice:?}"));
        }
    }
}

/// BUDGET: a gateway that got Retry-After from a target sends it hardly any request from half a second later until the pause
/// ends. Not checked if the gateway, or the target's network around that time, had a fault, by which the response may have
/// been lost.
fn check_backoffs(observed: &Observations, violations: &mut Vec<String>) {
    for rest in &observed.backoffs {
        let from = rest.at + BACKOFF_GRACE;
        let within = observed.arrivals.iter().filter(|arrival| {
            let same = arrival.target == rest.target && arrival.gateway == rest.gateway;
            same && arrival.at > from && arrival.at < rest.until
        });
        let within: Vec<Duration> = within.map(|arrival| arrival.at).collect();
        let recently = rest.at.saturating_sub(SETTLE_TIME);
        let lost = had_fault(observed, &Component::Target(rest.target.clone()), recently, from)
            || had_fault(observed, &Component::Gateway(rest.gateway), recently, rest.until);
        if within.len() > MAX_DURING_BACKOFF && !lost {
            violations.push(format!("BUDGET: {rest:?} and yet got requests at {within:?}"));
        }
    }
}

/// RECOVER: gateways that are cut off from all targets serve at least two thirds as often as the others at the same
/// time, from [`CUT_SETTLE_TIME`] after the cut, unless hardly any request fails there. Not counted are requests to
/// gateways with another fault in the [`CUT_SETTLE_TIME`] before them, and times in which the others serve nothing either.
fn check_cut_off(observed: &Observations, violations: &mut Vec<String>) {
    let (mut cut_off, mut others) = ((0_usize, 0_usize), (0_usize, 0_usize));
    let mut failed_here = Vec::new();
    for seen in &observed.seen {
        if !in_touch(observed, seen) {
            continue;
        }
        let lasts = |cut: &GatewayFault| {
            let until = cut.until.unwrap_or(Duration::MAX);
            cut.from + CUT_SETTLE_TIME < seen.sent && seen.sent < until
        };
        if !observed.cuts.iter().any(lasts) || !any_other_served(observed, seen.sent) {
            continue;
        }
        let here = observed.cuts.iter().any(|cut| lasts(cut) && cut.gateway == seen.gateway);
        if here && seen.ended != Outcome::Status(200) {
            failed_here.push(seen);
        }
        let counts = if here { &mut cut_off } else { &mut others };
        counts.0 += 1;
        counts.1 += usize::from(seen.ended == Outcome::Status(200));
    }
    eprintln!(
        "soak: cut off {} of {} served, others {} of {}",
        cut_off.1, cut_off.0, others.1, others.0
    );
    let share = |(sent, served): (usize, usize)| served as f64 / sent.max(1) as f64;
    let failed = cut_off.0 - cut_off.1;
    if share(cut_off) < share(others) * 2.0 / 3.0 && failed > 10 + (cut_off.0 + others.0) / 50 {
        violations.push(format!(
            "RECOVER: gateways cut off served {} of {}, others {} of {}, cuts {:?}, failed {failed_here:#?}",
            cut_off.1, cut_off.0, others.1, others.0, observed.cuts
        ));
    }
}

/// Whether the gateway of a request had no fault, other than cuts from the targets, from [`CUT_SETTLE_TIME`] before it
/// to a second after.
fn in_touch(observed: &Observations, seen: &Seen) -> bool {
    let component = Component::Gateway(observed.gateways[seen.gateway]);
    let recently = seen.sent.saturating_sub(CUT_SETTLE_TIME);
    let lasts = |fault: &GatewayFault| {
        let until = fault.until.map_or(Duration::MAX, |until| until + CUT_SETTLE_TIME);
        fault.gateway == seen.gateway && fault.from < seen.sent + SECOND && seen.sent < until
    };
    !had_fault(observed, &component, recently, seen.sent + SECOND)
        && !observed.gateway_faults.iter().any(lasts)
}

/// Whether any gateway that was not cut off from the targets served a request within a second of a time.
fn any_other_served(observed: &Observations, at: Duration) -> bool {
    observed.seen.iter().any(|seen| {
        let near = seen.sent < at + SECOND && at < seen.sent + SECOND;
        let cut = |cut: &GatewayFault| {
            let until = cut.until.map_or(Duration::MAX, |until| until + SECOND);
            cut.gateway == seen.gateway && cut.from < seen.sent && seen.sent < until
        };
        let served = near && seen.ended == Outcome::Status(200) && in_touch(observed, seen);
        served && !observed.cuts.iter().any(cut)
    })
}

/// Whether a component had a fault or a repair between two times.
fn had_fault(observed: &Observations, component: &Component, from: Duration, to: Duration) -> bool {
    observed
        .component_faults
        .iter()
        .any(|(other, at)| other == component && *at >= from && *at <= to)
}

/// Whether no fault or repair happened anywhere in the `SETTLE_TIME` before that time.
fn no_recent_fault(observed: &Observations, at: Duration) -> bool {
    !observed.fault_times.iter().any(|other| *other + SETTLE_TIME > at && *other < at)
}

/// LIMIT: brittle targets rarely fell over.
fn check_falls(observed: &Observations, targets: usize, violations: &mut Vec<String>) {
    let allowed = FALLS_ALLOWED + targets / TARGETS_PER_FALL;
    if observed.falls.len() > allowed {
        let falls = observed.falls.len();
        violations.push(format!(
            "LIMIT: brittle targets fell over {falls} times; allowed {allowed}: {:?}",
            observed.falls
        ));
    }
}

/// BUDGET: in no window did requests run again more often than the retry budget allows.
fn check_budget(observed: &Observations, violations: &mut Vec<String>) {
    let mut further: Vec<Duration> = Vec::new();
    for runs in observed.runs.values() {
        let mut at: Vec<Duration> = runs.iter().map(|run| run.at).collect();
        at.sort_unstable();
        further.extend(at.iter().skip(1));
    }
    further.sort_unstable();
    for end in &further {
        let start = end.saturating_sub(RETRY_WINDOW);
        let within = further.iter().filter(|at| **at > start && *at <= end).count() as f64;
        let requests = observed.seen.iter().filter(|seen| seen.sent > start && seen.sent <= *end);
        let requests = requests.count() as f64;
        if within > RETRY_RATIO * requests + RETRY_SLACK {
            violations
                .push(format!("BUDGET: {within} further arrivals for {requests} until {end:?}"));
            return;
        }
    }
}
