//! Measures evacuation orders with five members and 65 gateways as real processes: the time until an order is acknowledged
//! and until the last gateway applies it; and the time to choose a target. Prints JSON lines.
//!
//! Results of 200 orders, 70 processes on one machine with 8 cores: acknowledged after 1.8 ms (median), 4.0 ms (99th
//! percentile) and 5.1 ms at most; the last gateway of a member applies an order after 4 ms at most. A choice among 112
//! targets takes 1.2 µs (median) and 1.6 µs (99th percentile), as it did before evacuations existed, since evidence and cold
//! targets are weighed before the choice.

#[path = "../tests/fleet/harness.rs"]
mod harness;
#[path = "../tests/support/usage.rs"]
mod usage;

use std::time::{Duration, Instant};

use harness::{Fleet, call, field};
use latchmount::gateway::balance::{Affinity, Candidate, Preference, choose};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

const MEMBERS: usize = 5;
const GATEWAYS: usize = 65;
const ORDERS: usize = 200;
const TARGETS: u32 = 112;
const CHOICES: u32 = 20_000;

/// The value at a quantile (from 0 to 1) of a sorted list.
fn value_at(sorted: &[f64], quantile: f64) -> f64 {
    let index = ((sorted.len() as f64 - 1.0) * quantile).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

fn print(what: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let (p50, p99, max) = (value_at(&values, 0.5), value_at(&values, 0.99), value_at(&values, 1.0));
    println!(
        "{}",
        json!({ "what": what, "count": values.len(), "p50": p50, "p99": p99, "most": max })
    );
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{ "name": "r", "host": "h.example", "path-prefix": "/r/", "route-type": "safe",
            "timeout-ms": 1_000, "service": "s" }],
        "services": [{ "name": "s" }],
    })
}

async fn orders() {
    let fleet = Fleet::start(MEMBERS, GATEWAYS).await;
    fleet.configure(&configuration()).await;
    let mut acknowledged = Vec::new();
    for number in 0..ORDERS {
        let method = if number % 2 == 0 { "POST" } else { "DELETE" };
        let (began, door) = (Instant::now(), fleet.api_addr(number % MEMBERS));
        let answer = call(door, method, "/evacuations/hall-b", "").await.expect("an answer");
        assert_eq!(answer.status, 200);
        acknowledged.push(began.elapsed().as_secs_f64() * 1_000.0);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    print("order acknowledged, ms", acknowledged);
    let logs: Vec<String> = fleet.members.iter().map(harness::Process::log).collect();
    let lines = logs.iter().flat_map(|log| log.lines());
    let in_force = lines.filter(|line| field(line, "event") == Some("evacuations_everywhere"));
    let waited = in_force.filter_map(|line| field(line, "waited_ms")?.parse().ok());
    print("last gateway of a member obeys, ms", waited.collect());
}

fn choices() {
    let candidate = |home| Candidate {
        key: u64::from(home),
        home: Some(home),
        load: 1.5,
        slots: 12,
        slowdown: 1.0,
        near: home % 4 == 0,
        last_resort: home % 20 == 0,
    };
    let all: Vec<Candidate> = (0..TARGETS).map(candidate).collect();
    let mut rng = StdRng::seed_from_u64(1);
    let mut times_us = Vec::new();
    for hash in 0..u64::from(CHOICES) {
        let affinity = Some(Affinity { hash, tokens: 10_512 });
        let preference = Preference { affinity, load_bound: 2.0, targets: TARGETS as usize };
        let began = Instant::now();
        assert!(choose(&all, preference, &mut rng).is_some());
        times_us.push(began.elapsed().as_secs_f64() * 1e6);
    }
    print("choice among 112 targets, µs", times_us);
}

#[tokio::main]
async fn main() {
    choices();
    orders().await;
}
