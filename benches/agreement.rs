//! What agreement costs, with five control members and eight routers as real processes: commits a
//! second, time to be in force, time without a leader, recovery, bytes. Prints JSON lines.

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
const MEASURE: Duration = Duration::from_secs(4);
const CALLERS: u64 = 64;
const KILLS: usize = 7;
const REVISIONS: usize = 40;
const CHANGES_A_DAY: f64 = 2_400.0;
const SECONDS_A_DAY: f64 = 86_400.0;

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

/// A change that conflicts: it costs a log entry like any other, and needs no base.
fn entry(id: &str) -> Value {
    json!({ "id": id, "base": 999_999, "template": template() })
}

fn revision(id: &str, base: u64) -> Value {
    let mut template = template();
    template["version"] = json!(id);
    json!({ "id": id, "base": base, "template": template })
}

async fn commits(fleet: &Fleet, callers: u64) -> f64 {
    let leader = leader(fleet).await;
    let started = Instant::now();
    let loops = (0..callers).map(|caller| {
        let client = client(fleet, leader);
        async move {
            let mut done = 0u64;
            while started.elapsed() < MEASURE {
                let id = format!("{callers}-{caller}-{done}");
                client.change(TOKEN.into(), entry(&id)).await.expect("an answer");
                done += 1;
            }
            done
        }
    });
    let done: u64 = futures_util::future::join_all(loops).await.into_iter().sum();
    done as f64 / started.elapsed().as_secs_f64()
}

/// Milliseconds, sorted.
fn sorted(mut taken: Vec<f64>) -> Vec<f64> {
    taken.sort_by(f64::total_cmp);
    taken
}

/// From the sending of a change until the leader knows that all routers have it.
async fn in_force(fleet: &Fleet, base: &mut u64) -> Vec<f64> {
    let leader = client(fleet, leader(fleet).await);
    let mut taken = Vec::new();
    for _ in 0..REVISIONS {
        let started = Instant::now();
        let change = revision(&format!("in-force-{base}"), *base);
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
        taken.push(started.elapsed().as_secs_f64() * 1e3);
    }
    sorted(taken)
}

/// From the kill of a leader until another accepts a change.
async fn without_leader(fleet: &mut Fleet, base: &mut u64) -> Vec<f64> {
    let mut taken = Vec::new();
    for round in 0..KILLS {
        let old = leader(fleet).await;
        fleet.controls[usize::from(old)].kill();
        let started = Instant::now();
        let change = revision(&format!("kill-{round}"), *base);
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
        taken.push(started.elapsed().as_secs_f64() * 1e3);
        fleet.controls[usize::from(old)] = fleet.start_control(old);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    sorted(taken)
}

/// From the start of a member until it answers with its log read.
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

    let taken = in_force(&fleet, &mut base).await;
    println!(
        "{}",
        json!({ "bench": "in_force", "routers": ROUTERS, "rounds": REVISIONS,
        "p50_ms": taken[taken.len() / 2], "max_ms": taken[taken.len() - 1] })
    );

    let before = config_bytes(&fleet).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let rest = (config_bytes(&fleet).await - before) / 10.0;
    let before = config_bytes(&fleet).await;
    in_force(&fleet, &mut base).await;
    let change = (config_bytes(&fleet).await - before) / REVISIONS as f64;
    println!(
        "{}",
        json!({ "bench": "bytes", "rest_per_s": rest, "a_change": change,
        "with_2400_a_day_per_s": rest + change * CHANGES_A_DAY / SECONDS_A_DAY })
    );

    let taken = without_leader(&mut fleet, &mut base).await;
    println!(
        "{}",
        json!({ "bench": "without_leader", "kills": KILLS, "min_ms": taken[0],
        "p50_ms": taken[KILLS / 2], "max_ms": taken[KILLS - 1] })
    );

    let leader = client(&fleet, leader(&fleet).await);
    for number in 0..1_000 {
        leader.change(TOKEN.into(), entry(&format!("fill-{number}"))).await.expect("an answer");
    }
    println!(
        "{}",
        json!({ "bench": "recovery", "changes": status(&fleet).await.commit,
        "ms": recovery(&mut fleet).await })
    );
}
