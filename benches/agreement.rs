//! Measures the control group with five members and eight routers as real processes: commits per second, time until a
//! change is in force, time without a leader, recovery time, and bytes sent. Prints JSON lines.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use jsonrpsee::http_client::HttpClient;
use latchmount::rpc::{ControlClient, Status, connect};
use latchmount::store::Answer;
use serde_json::{Value, json};
use support::{Fleet, FleetOptions, KEY, TOKEN, eventually, template};

const MEMBERS: u16 = 5;
const ROUTERS: u16 = 8;
const MEASURE_TIME: Duration = Duration::from_secs(4);
const CALLERS: u64 = 64;
const KILLS: usize = 7;
const CHANGES: usize = 40;
const CHANGES_PER_DAY: f64 = 2_400.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

fn client(fleet: &Fleet, member: u16) -> HttpClient {
    connect(fleet.control_addr(member), Duration::from_secs(5)).expect("a client")
}

async fn status(fleet: &Fleet) -> Status {
    eventually("a leader answers", async || {
        for member in 0..MEMBERS {
            if let Ok(status) = client(fleet, member).status(TOKEN.into()).await {
                return Some(status);
            }
        }
        None
    })
    .await
}

async fn leader(fleet: &Fleet) -> u16 {
    let status = status(fleet).await;
    let members = status.members.iter().map(|status| status.member);
    let addr = members.clone().find(|member| member.id == status.leader).expect("a leader").addr;
    (0..MEMBERS).find(|member| fleet.control_addr(*member) == addr).expect("a known address")
}

/// A change that always conflicts: it costs a log entry like any other, but needs no valid base version.
fn conflicting_change(id: &str) -> Value {
    json!({ "id": id, "base": 999_999, "template": template() })
}

fn valid_change(id: &str, base: u64) -> Value {
    let mut template = template();
    template["version"] = json!(id);
    json!({ "id": id, "base": base, "template": template })
}

/// Commits per second with this number of concurrent callers.
async fn commits(fleet: &Fleet, callers: u64) -> f64 {
    let leader = leader(fleet).await;
    let started = Instant::now();
    let loops = (0..callers).map(|caller| {
        let client = client(fleet, leader);
        async move {
            let mut committed = 0u64;
            while started.elapsed() < MEASURE_TIME {
                let id = format!("{callers}-{caller}-{committed}");
                client.change(TOKEN.into(), conflicting_change(&id)).await.expect("an answer");
                committed += 1;
            }
            committed
        }
    });
    let committed: u64 = futures_util::future::join_all(loops).await.into_iter().sum();
    committed as f64 / started.elapsed().as_secs_f64()
}

/// Sorts times in milliseconds.
fn sorted(mut times_ms: Vec<f64>) -> Vec<f64> {
    times_ms.sort_by(f64::total_cmp);
    times_ms
}

/// Times from sending a change until the leader knows that all routers have it, in milliseconds.
async fn in_force(fleet: &Fleet, base: &mut u64) -> Vec<f64> {
    let leader = client(fleet, leader(fleet).await);
    let mut times_ms = Vec::new();
    for _ in 0..CHANGES {
        let started = Instant::now();
        let change = valid_change(&format!("in-force-{base}"), *base);
        let answer = leader.change(TOKEN.into(), change).await.expect("an answer");
        let Answer::Accepted { version, revision } = answer else {
            panic!("{answer:?}");
        };
        *base = version;
        loop {
            let status = leader.status(TOKEN.into()).await.expect("a status");
            let ready = status.routers.iter().filter(|router| router.revision >= revision);
            if ready.count() == usize::from(ROUTERS) {
                break;
            }
        }
        times_ms.push(started.elapsed().as_secs_f64() * 1e3);
    }
    sorted(times_ms)
}

/// Times from killing a leader until another one accepts a change, in milliseconds.
async fn without_leader(fleet: &mut Fleet, base: &mut u64) -> Vec<f64> {
    let mut times_ms = Vec::new();
    for round in 0..KILLS {
        let old = leader(fleet).await;
        fleet.controls[usize::from(old)].kill();
        let started = Instant::now();
        let change = valid_change(&format!("kill-{round}"), *base);
        let others: Vec<HttpClient> = (0..MEMBERS)
            .filter(|member| *member != old)
            .map(|member| client(fleet, member))
            .collect();
        'accepted: loop {
            for other in &others {
                let answer = other.change(TOKEN.into(), change.clone()).await;
                if let Ok(Answer::Accepted { version, .. }) = answer {
                    *base = version;
                    break 'accepted;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        times_ms.push(started.elapsed().as_secs_f64() * 1e3);
        fleet.controls[usize::from(old)] = fleet.start_control(old);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    sorted(times_ms)
}

/// Time from the start of a member until it has read its log and answers, in milliseconds.
async fn recovery(fleet: &mut Fleet) -> f64 {
    let follower = (leader(fleet).await + 1) % MEMBERS;
    fleet.controls[usize::from(follower)].kill();
    let started = Instant::now();
    fleet.controls[usize::from(follower)] = fleet.start_control(follower);
    let client = client(fleet, follower);
    while client.identify(KEY.into()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    started.elapsed().as_secs_f64() * 1e3
}

async fn config_bytes(fleet: &Fleet) -> f64 {
    fleet.metric(0, "latchmount_control_bytes_total", "kind=\"config\"").await
}

#[tokio::main]
async fn main() {
    let shape = FleetOptions { controls: MEMBERS, routers: ROUTERS, ..FleetOptions::default() };
    let mut fleet = Fleet::start_configured(shape).await;
    let mut base = 1;

    let alone = commits(&fleet, 1).await;
    let batched = commits(&fleet, CALLERS).await;
    println!(
        "{}",
        json!({ "bench": "commits", "alone_per_s": alone.round(),
        "callers": CALLERS, "batched_per_s": batched.round() })
    );

    let times_ms = in_force(&fleet, &mut base).await;
    println!(
        "{}",
        json!({ "bench": "in_force", "routers": ROUTERS, "rounds": CHANGES,
        "p50_ms": times_ms[times_ms.len() / 2], "max_ms": times_ms[times_ms.len() - 1] })
    );

    let before = config_bytes(&fleet).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let idle = (config_bytes(&fleet).await - before) / 10.0;
    let before = config_bytes(&fleet).await;
    in_force(&fleet, &mut base).await;
    let change = (config_bytes(&fleet).await - before) / CHANGES as f64;
    println!(
        "{}",
        json!({ "bench": "bytes", "rest_per_s": idle, "a_change": change,
        "with_2400_a_day_per_s": idle + change * CHANGES_PER_DAY / SECONDS_PER_DAY })
    );

    let times_ms = without_leader(&mut fleet, &mut base).await;
    println!(
        "{}",
        json!({ "bench": "without_leader", "kills": KILLS, "min_ms": times_ms[0],
        "p50_ms": times_ms[KILLS / 2], "max_ms": times_ms[KILLS - 1] })
    );

    let leader = client(&fleet, leader(&fleet).await);
    for number in 0..1_000 {
        leader
            .change(TOKEN.into(), conflicting_change(&format!("fill-{number}")))
            .await
            .expect("an answer");
    }
    println!(
        "{}",
        json!({ "bench": "recovery", "changes": status(&fleet).await.commit,
        "ms": recovery(&mut fleet).await })
    );
}
