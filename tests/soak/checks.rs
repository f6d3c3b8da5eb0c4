//! Holds what was seen against the promises of the pages, once every fault has ended.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::time::Duration;

use crate::harness::{call, eventually};
use crate::ledger::{Bite, Book, Ended, Order, Party};
use crate::seeds;
use crate::target::COLD_FOR;
use crate::world::{COLD, World};

/// Time after which an acknowledged drain is known at every gateway in touch, on a machine that has
/// time for it; `LATCHMOUNT_SOAK_STRICT=1` holds runs by hand to it.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);
/// The same whatever else the machine does, so that the verdict does not hang on its speed.
const DRAIN_BOUND_ANYWHERE: Duration = Duration::from_secs(15);
/// Time without any fault before and after an arrival for the bound on drains to count.
const CALM: Duration = Duration::from_millis(4_000);
/// Further arrivals that the settings allow in a window, and their part of the requests.
const SLACK: f64 = 200.0;
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);
/// Targets that may end under a request before it is to be sent nowhere.
const ENDS: usize = 3;
/// Time from the third until all gateways in touch know, and sends that may come later.
const CONTACT: Duration = Duration::from_millis(3_000);
const MOST_LATE: usize = 3;
/// Part of the innocent requests that may be taken for one that ends targets.
const MOST_ACCUSED: f64 = 0.01;
/// Time after which a gateway must have heard that a target wants rest, and requests that may come in it all the same.
const REST_FROM: Duration = Duration::from_millis(500);
const MOST_IN_REST: usize = 2;
const SECOND: Duration = Duration::from_secs(1);

/// Waits until the fleet is whole again, then checks everything.
pub async fn check(world: &mut World) {
    recover(world).await;
    world.stop_callers();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let book = world.ledger.book();
    let mut broken = book.broken.clone();
    check_runs(&book, &mut broken);
    check_drains(&book, &mut broken);
    check_budget(&book, &mut broken);
    check_evacuations(&book, &mut broken);
    check_leaving(&book, &mut broken);
    // Builds from before these promises take part.
    if world.earlier.is_none() {
        check_cold(&book, &mut broken);
        check_rests(&book, &mut broken);
        check_poison(&book, &mut broken);
    }
    drop(book);
    for process in world.fleet.members.iter_mut().chain(&mut world.fleet.gateways) {
        if process.died() {
            broken.push(format!("{} ended by itself", process.name));
        }
    }
    assert!(broken.is_empty(), "{} promises broken:\n{}", broken.len(), broken.join("\n"));
}

/// Everything that was acknowledged is read back, a further change is in force at every gateway,
/// and every gateway serves.
async fn recover(world: &mut World) {
    let doors = world.doors.clone();
    let acknowledged = *world.ledger.book().acknowledged.keys().max().expect("some");
    let mut at = 0;
    let read = eventually("the configuration is read back", async || {
        at += 1;
        let answer = call(doors[at % doors.len()], "GET", "/config", "").await?;
        (answer.status == 200).then_some(answer.body)
    })
    .await;
    let value: serde_json::Value = serde_json::from_str(&read).expect("JSON");
    let version = value["version"].as_u64().expect("a version");
    let sent = world.ledger.book().configurations.get(&version).cloned();
    if version < acknowledged {
        world.ledger.broken(format!("LOST: read {version}, acknowledged was {acknowledged}"));
    }
    if sent.as_deref() != Some(&read) {
        world.ledger.broken(format!("CONFIG: version {version} is not what was sent under it"));
    }
    check_orders(world).await;
    world.configure_until_acknowledged().await;
    for gateway in 0..world.fleet.gateways.len() {
        world.fleet.in_force(gateway, world.version).await;
    }
    let calm = world.ledger.now();
    world.add_caller_at_each_gateway();
    eventually("every gateway serves again", async || {
        let book = world.ledger.book();
        let served = |gateway: usize| {
            let later = book.seen.iter().filter(|seen| seen.sent > calm);
            let good = later.filter(|seen| seen.ended == Ended::Status(200));
            good.filter(|seen| seen.gateway == gateway).count()
        };
        (0..world.fleet.gateways.len()).all(|gateway| served(gateway) >= 5).then_some(())
    })
    .await;
}

/// What was ordered last about each hall, and acknowledged, is in force. Then all halls are taken back.
async fn check_orders(world: &mut World) {
    let doors = world.doors.clone();
    let listed = eventually("the orders are read back", async || {
        let answer = call(doors[0], "GET", "/evacuations/", "").await?;
        (answer.status == 200).then_some(answer.body)
    })
    .await;
    let mut last: BTreeMap<String, Order> = BTreeMap::new();
    for order in &world.ledger.book().orders {
        last.insert(order.data_hall.clone(), order.clone());
    }
    for (data_hall, order) in &last {
        let evacuated = listed.contains(&format!("\"{data_hall}\""));
        if order.acknowledged.is_some() && evacuated != order.evacuate {
            world.ledger.broken(format!("LOST: {order:?}, in force is {listed}"));
        }
    }
    if last.values().any(|order| order.evacuate && order.acknowledged.is_some()) {
        // Calm enough that every gateway is in touch.
        tokio::time::sleep(CALM + SECOND * 2).await;
    }
    let now = world.ledger.now();
    world.ledger.book().ended = now;
    for data_hall in last.keys() {
        eventually(&format!("{data_hall} is taken back"), async || {
            let answer = call(doors[0], "DELETE", &format!("/evacuations/{data_hall}"), "").await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

/// EVAC: in calm times nothing arrives in a hall much later than its evacuation was acknowledged.
fn check_evacuations(book: &Book, broken: &mut Vec<String>) {
    let strict = seeds::env_number("LATCHMOUNT_SOAK_STRICT") == Some(1);
    let bound = if strict { DRAIN_BOUND } else { DRAIN_BOUND_ANYWHERE };
    for (number, order) in book.orders.iter().enumerate().filter(|(_, order)| order.evacuate) {
        let Some(acknowledged) = order.acknowledged else { continue };
        let mut later = book.orders[number + 1..].iter();
        let next = later.find(|next| next.data_hall == order.data_hall);
        let until = next.map_or(Duration::MAX, |next| next.made).min(book.ended);
        for run in book.runs.values().flatten() {
            let there = book.targets[&run.target].data_hall == order.data_hall;
            if there && run.at > acknowledged + bound && run.at < until && calm(book, run.at) {
                broken.push(format!("EVAC: {run:?} after {order:?}"));
            }
        }
    }
}

/// FAILBACK: in no second does a cold target get more than it bears, from whatever gateways.
fn check_cold(book: &Book, broken: &mut Vec<String>) {
    let most = COLD.0 * COLD.1 + COLD.2;
    for (id, place) in &book.targets {
        // Those of the start were cold before there was any caller.
        let cold = |at: &Duration| *at < place.started + COLD_FOR;
        let runs = book.runs.values().flatten().filter(|run| run.target == *id);
        let mut at: Vec<Duration> = runs.map(|run| run.at).filter(cold).collect();
        at.sort_unstable();
        for first in &at {
            let within = at.iter().filter(|at| *at >= first && **at < *first + SECOND).count();
            if within as f64 > most {
                broken.push(format!("FAILBACK: {id} got {within} from {first:?}, {place:?}"));
                break;
            }
        }
    }
}

/// BUDGET: a request under which three targets ended is sent on little, and innocent ones are hardly ever taken for one.
fn check_poison(book: &Book, broken: &mut Vec<String>) {
    let strict = seeds::env_number("LATCHMOUNT_SOAK_STRICT") == Some(1);
    let bound = if strict { CONTACT } else { DRAIN_BOUND_ANYWHERE };
    for (poison, bites) in &book.poisoned {
        // Two tries may run at the same target; it ends once.
        let mut first_ends = BTreeMap::new();
        for (target, at) in bites.iter().filter_map(Bite::ended) {
            first_ends.entry(target).or_insert(at);
        }
        let mut ends: Vec<Duration> = first_ends.into_values().collect();
        ends.sort_unstable();
        if let Some(third) = ends.get(ENDS - 1) {
            let reached = bites.iter().filter_map(Bite::reached);
            let late = reached.filter(|at| *at > *third + bound && calm(book, *at)).count();
            if late > MOST_LATE {
                broken.push(format!("BUDGET: {poison} was sent {late} times later: {bites:?}"));
            }
        }
        // Whoever is cut off, or has just started, finds out by itself.
        if ends.len() > ENDS * book.gateway_starts {
            broken.push(format!("BUDGET: {} targets ended under {poison}: {bites:?}", ends.len()));
        }
    }
    let accused = f64::from(book.accused) / book.seen.len().max(1) as f64;
    if accused > MOST_ACCUSED {
        broken.push(format!("{} of {} innocent requests accused", book.accused, book.seen.len()));
    }
}

/// TWICE, REFUSED, UNASKED: how often each request ran, against what its caller was told.
fn check_runs(book: &Book, broken: &mut Vec<String>) {
    for seen in &book.seen {
        let runs = book.runs.get(&seen.id).map_or(0, Vec::len);
        if !seen.kind.idempotent() && runs > 1 {
            broken.push(format!("TWICE: {seen:?} ran {runs} times: {:?}", book.runs[&seen.id]));
        }
        let promised = matches!(seen.ended, Ended::Status(408 | 421 | 429 | 503));
        if promised && !seen.kind.idempotent() && runs > 0 {
            broken.push(format!("REFUSED: {seen:?} had run: {:?}", book.runs[&seen.id]));
        }
        if matches!(seen.ended, Ended::Status(401 | 403 | 404 | 413 | 431)) {
            broken.push(format!("DENIED: {seen:?}"));
        }
    }
    for (id, runs) in &book.runs {
        if !book.sent_ids.contains(id) {
            broken.push(format!("UNASKED: nobody sent {id}: {runs:?}"));
        }
        if let Some(run) = runs.iter().find(|run| run.team != "tenant-a") {
            broken.push(format!("UNASKED: {id} ran for the wrong team: {run:?}"));
        }
    }
}

/// DRAIN: in calm times nothing arrives at a target much later than its drain was acknowledged.
fn check_drains(book: &Book, broken: &mut Vec<String>) {
    let strict = seeds::env_number("LATCHMOUNT_SOAK_STRICT") == Some(1);
    let bound = if strict { DRAIN_BOUND } else { DRAIN_BOUND_ANYWHERE };
    for (id, run) in book.runs.iter().flat_map(|(id, runs)| runs.iter().map(move |run| (id, run))) {
        if let Some(drained) = book.drained.get(&run.target)
            && run.at > *drained + bound
            && calm(book, run.at)
        {
            broken.push(format!("DRAIN: {id} reached {run:?}, drained at {drained:?}"));
        }
    }
}

/// DRAIN: a request that a caller sent later than the bound after its gateway had passed on an answer by which a target says
/// that it leaves does not reach that target, members or no members. A restart or a freeze of the gateway since excuses it.
fn check_leaving(book: &Book, broken: &mut Vec<String>) {
    let sent: HashMap<&str, Duration> =
        book.seen.iter().map(|seen| (seen.id.as_str(), seen.sent)).collect();
    let mut first: BTreeMap<(IpAddr, &str), Duration> = BTreeMap::new();
    for told in &book.leaving_told {
        let place = (book.gateways[told.gateway], told.target.as_str());
        let at = first.entry(place).or_insert(told.at);
        *at = told.at.min(*at);
    }
    for (id, run) in book.runs.iter().flat_map(|(id, runs)| runs.iter().map(move |run| (id, run))) {
        let told = first.get(&(run.gateway, run.target.as_str()));
        let late =
            |told: &Duration| sent.get(id.as_str()).is_some_and(|sent| *sent > *told + DRAIN_BOUND);
        if let Some(told) = told.filter(|told| late(told))
            && !struck(book, &Party::Gateway(run.gateway), *told, run.at)
        {
            broken.push(format!("DRAIN: {id} reached {run:?}, told since {told:?}"));
        }
    }
}

/// BUDGET: a gateway that a target has asked for rest sends it hardly anything from half a second later until the rest ends.
/// A fault of the gateway or at the target's network, which may have lost the word, excuses it.
fn check_rests(book: &Book, broken: &mut Vec<String>) {
    for rest in &book.rests {
        let from = rest.at + REST_FROM;
        let within = book.arrivals.iter().filter(|arrival| {
            let same = arrival.target == rest.target && arrival.gateway == rest.gateway;
            same && arrival.at > from && arrival.at < rest.until
        });
        let within: Vec<Duration> = within.map(|arrival| arrival.at).collect();
        let lately = rest.at.saturating_sub(CALM);
        let lost = struck(book, &Party::Target(rest.target.clone()), lately, from)
            || struck(book, &Party::Gateway(rest.gateway), lately, rest.until);
        if within.len() > MOST_IN_REST && !lost {
            broken.push(format!("BUDGET: {rest:?} and yet got requests at {within:?}"));
        }
    }
}

/// Whether a fault or a repair struck somebody between two times.
fn struck(book: &Book, party: &Party, from: Duration, to: Duration) -> bool {
    book.struck.iter().any(|(struck, at)| struck == party && *at >= from && *at <= to)
}

/// Whether there was no fault near that time.
fn calm(book: &Book, at: Duration) -> bool {
    !book.disturbed.iter().any(|other| *other + CALM > at && *other < at)
}

/// BUDGET: in no window are there more further arrivals than the rule allows.
fn check_budget(book: &Book, broken: &mut Vec<String>) {
    let mut further: Vec<Duration> = Vec::new();
    for runs in book.runs.values() {
        let mut at: Vec<Duration> = runs.iter().map(|run| run.at).collect();
        at.sort_unstable();
        further.extend(at.iter().skip(1));
    }
    further.sort_unstable();
    for end in &further {
        let start = end.saturating_sub(WINDOW);
        let within = further.iter().filter(|at| **at > start && *at <= end).count() as f64;
        let requests = book.seen.iter().filter(|seen| seen.sent > start && seen.sent <= *end);
        let requests = requests.count() as f64;
        if within > RATIO * requests + SLACK {
            broken.push(format!("BUDGET: {within} further arrivals for {requests} until {end:?}"));
            return;
        }
    }
}
