//! Measures how the cost of each role grows with load: at least four points each, and a least-squares line through them, as
//! JSON lines. `-- PART` runs one part only.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use latchmount::gateway::health::{AttemptOutcome, Tally};
use latchmount::raft::GroupId;
use latchmount::rpc::{ControlClient, SyncRequest, connect};
use latchmount::store::Answer;
use latchmount::targets::Serves;
use serde_json::{Value, json};
use support::engine::{EngineOptions, spec};
use support::{Fleet, FleetOptions, KEY, Process, TOKEN, template};

/// Length of a processor clock tick as the kernel counts it.
const TICK_MS: f64 = 10.0;
/// Time over which cost without load is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Numbers of routers that follow the leader.
const FOLLOWER_COUNTS: [usize; 5] = [8, 40, 100, 200, 340];
const CHANGES: usize = 20;
/// Number of failures that are judged for each point.
const JUDGED_FAILURES: usize = 2_000;

/// Prints the points, their least-squares line and its value at the target size.
fn report(slope: &str, by: &str, unit: &str, points: &[(f64, f64)], target: f64) {
    let n = points.len() as f64;
    let (sx, sy): (f64, f64) = points.iter().fold((0.0, 0.0), |sum, p| (sum.0 + p.0, sum.1 + p.1));
    let sxx: f64 = points.iter().map(|p| p.0 * p.0).sum();
    let sxy: f64 = points.iter().map(|p| p.0 * p.1).sum();
    let per = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    let at_zero = (sy - per * sx) / n;
    println!(
        "{}",
        json!({ "bench": "capacity", "slope": slope, "by": by, "unit": unit, "points": points,
            "each": per, "at_zero": at_zero, "target_size": target,
            "at_target": at_zero + per * target })
    );
}

async fn control_bytes(fleet: &Fleet, kind: &str) -> f64 {
    fleet.metric(0, "latchmount_control_bytes_total", &format!("kind=\"{kind}\"")).await
}

/// Processor time that the process uses during `work`, in milliseconds.
async fn cpu_ms<T>(process: &Process, work: impl Future<Output = T>) -> f64 {
    let before = process.cpu_ticks();
    work.await;
    (process.cpu_ticks() - before) as f64 * TICK_MS
}

fn smallest_fleet() -> FleetOptions {
    let engine = EngineOptions { token_ms: 0, prefill_ms: 0, batch: 10_000, ..Default::default() };
    let router = json!({ "max_in_flight_per_target": 5_000 });
    FleetOptions { engine, router, routers: 1, engines: 1, ..FleetOptions::default() }
}

/// Bytes, memory and processor time of a router by the number of listed targets.
async fn targets() {
    let (mut bytes, mut memory, mut cpu, mut change_bytes) = (vec![], vec![], vec![], vec![]);
    let mut shape = smallest_fleet();
    shape.router["list_poll_ms"] = json!(1_000);
    let fleet = Fleet::start_configured(shape).await;
    let mut listed = 2;
    for count in [24, 200, 400, 600, 790] {
        let before = control_bytes(&fleet, "platform_list").await;
        while listed < count {
            listed += 1;
            let name = format!("more-{listed}");
            fleet.platform.add(&name, "http://127.0.0.1:9", Serves::Models(vec![spec("m8@1")]));
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        change_bytes.push((count as f64, control_bytes(&fleet, "platform_list").await - before));
        let before = control_bytes(&fleet, "platform_list").await;
        let used = cpu_ms(&fleet.routers[0], tokio::time::sleep(IDLE_TIME)).await;
        let passed = IDLE_TIME.as_secs_f64();
        bytes
            .push((count as f64, (control_bytes(&fleet, "platform_list").await - before) / passed));
        cpu.push((count as f64, used / passed));
        memory.push((count as f64, fleet.routers[0].resident_kib() as f64));
    }
    report("router_list_bytes_at_rest", "targets", "B/s", &bytes, 790.0);
    report("router_list_bytes_a_change", "targets", "B", &change_bytes, 790.0);
    report("router_memory", "targets", "KiB", &memory, 790.0);
    report("router_cpu_at_rest", "targets", "ms/s", &cpu, 790.0);
}

/// Bytes and memory of a router by the number of teams.
async fn teams() {
    let (mut memory, mut bytes) = (vec![], vec![]);
    for count in [10, 50, 100, 200] {
        let fleet = Fleet::start(smallest_fleet()).await;
        let teams: Value = (0..count)
            .map(|team| (format!("team-{team}"), json!({ "share_percent": 100.0 / 201.0 })))
            .collect::<serde_json::Map<_, _>>()
            .into();
        let mut template = template();
        template["teams"] = teams;
        template["teams"]["agents"] = json!({ "share_percent": 100.0 / 201.0 });
        let before = control_bytes(&fleet, "config").await;
        fleet.submit(&template, "teams").await;
        fleet.wait_until_serving().await;
        bytes.push((count as f64, control_bytes(&fleet, "config").await - before));
        memory.push((count as f64, fleet.routers[0].resident_kib() as f64));
    }
    report("router_bytes_a_template", "teams", "B", &bytes, 200.0);
    report("router_memory", "teams", "KiB", &memory, 200.0);
}

async fn chats(fleet: &Fleet, count: usize, stream: bool) {
    for first in (0..count).step_by(32) {
        let requests = (first..count.min(first + 32)).map(|chat| {
            let request = fleet.chat(0, &chat.to_string(), &["hello"], stream);
            async move { request.send().await.expect("an answer").bytes().await.expect("a body") }
        });
        futures_util::future::join_all(requests).await;
    }
}

/// Processor time of a router by the number of requests and of tokens.
async fn requests() {
    let fleet = Fleet::start_configured(smallest_fleet()).await;
    chats(&fleet, 500, false).await;
    let mut by_request = vec![];
    for count in [1_000, 2_000, 4_000, 8_000] {
        let used = cpu_ms(&fleet.routers[0], chats(&fleet, count, false)).await;
        by_request.push((count as f64, used));
    }
    report("router_cpu", "requests", "ms", &by_request, 20.0);
    let mut by_token = vec![];
    for tokens in [50u64, 200, 400, 800] {
        let mut shape = smallest_fleet();
        shape.engine.tokens = tokens;
        shape.engine.token_ms = 2;
        let fleet = Fleet::start_configured(shape).await;
        let used = cpu_ms(&fleet.routers[0], chats(&fleet, 256, true)).await;
        by_token.push(((tokens * 256) as f64, used));
    }
    // 3 million tokens per second over 340 routers.
    report("router_cpu", "tokens", "ms", &by_token, 3e6 / 340.0);
}

/// Memory of a router by the number of open streams.
async fn streams() {
    let mut shape = smallest_fleet();
    shape.engine.token_ms = 500;
    shape.engine.tokens = 200;
    let fleet = Fleet::start_configured(shape).await;
    let (mut open, mut points) = (vec![], vec![]);
    for count in [250, 500, 1_000, 2_000] {
        while open.len() < count {
            let request = fleet.chat(0, &open.len().to_string(), &["hold"], true);
            open.push(request.send().await.expect("a stream"));
        }
        points.push((count as f64, fleet.routers[0].resident_kib() as f64));
    }
    report("router_memory", "streams", "KiB", &points, 370.0);
}

/// Follows the configuration as a router does, and publishes the newest revision in `seen`.
async fn follow(addr: std::net::SocketAddr, number: usize, seen: tokio::sync::watch::Sender<u64>) {
    let client = connect(addr, Duration::from_secs(5)).expect("a client");
    let (mut known, mut group) = (0, GroupId::default());
    loop {
        let request = SyncRequest {
            router: format!("follower-{number}"),
            addr: None,
            routers_known: 0,
            group,
            known,
            wait_ms: 1_000,
            report: Default::default(),
        };
        if let Ok(reply) = client.sync(KEY.into(), request).await {
            (known, group) = (reply.delta.revision, reply.group);
            seen.send_replace(known);
        }
    }
}

/// The leader's processor time without load and per change, and the time until a change is in force, by the number of
/// routers.
async fn followers() {
    let (mut cpu, mut change_cpu, mut in_force) = (vec![], vec![], vec![]);
    for count in FOLLOWER_COUNTS {
        let fleet =
            Fleet::start_configured(FleetOptions { routers: 1, ..FleetOptions::default() }).await;
        let mut seen = vec![];
        for number in 0..count {
            let (sender, receiver) = tokio::sync::watch::channel(0);
            seen.push(receiver);
            tokio::spawn(follow(fleet.control_addr(0), number, sender));
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let used = cpu_ms(&fleet.controls[0], tokio::time::sleep(IDLE_TIME)).await;
        cpu.push((count as f64, used / IDLE_TIME.as_secs_f64()));
        let client = connect(fleet.control_addr(0), Duration::from_secs(5)).expect("a client");
        let mut times_ms = vec![];
        let before = fleet.controls[0].cpu_ticks();
        for base in 1..=CHANGES as u64 {
            let mut template = template();
            template["priority"] = json!(base % 10);
            let change = json!({ "id": format!("c{base}"), "base": base, "template": template });
            let started = Instant::now();
            let answer = client.change(TOKEN.into(), change).await.expect("an answer");
            let Answer::Accepted { revision, .. } = answer else { panic!("{answer:?}") };
            for follower in &mut seen {
                follower.wait_for(|known| *known >= revision).await.expect("a follower");
            }
            times_ms.push(started.elapsed().as_secs_f64() * 1e3);
        }
        let used = (fleet.controls[0].cpu_ticks() - before) as f64 * TICK_MS;
        change_cpu.push((count as f64, used / CHANGES as f64));
        times_ms.sort_by(f64::total_cmp);
        in_force.push((count as f64, times_ms[CHANGES - 1]));
    }
    report("leader_cpu_at_rest", "routers", "ms/s", &cpu, 340.0);
    report("leader_cpu_a_change", "routers", "ms", &change_cpu, 340.0);
    report("in_force_slowest_of_20", "routers", "ms", &in_force, 340.0);
}

/// Log size and recovery time of a member by changes since its last snapshot, and processor time and memory by claims.
async fn changes() {
    let (mut bytes, mut recovery) = (vec![], vec![]);
    let (mut claim_cpu, mut claim_memory) = (vec![], vec![]);
    let control = json!({ "compact_after_entries": 1_000_000 });
    let mut fleet =
        Fleet::start_configured(FleetOptions { routers: 1, control, ..FleetOptions::default() })
            .await;
    let client = connect(fleet.control_addr(0), Duration::from_secs(30)).expect("a client");
    let mut done = 0;
    for count in [500, 1_000, 2_000, 4_000] {
        while done < count {
            let change = json!({ "id": format!("c{done}"), "base": 999, "template": template() });
            client.change(TOKEN.into(), change).await.expect("an answer");
            done += 1;
        }
        let log = std::fs::metadata(fleet.data_dir(0).join("log")).expect("a log");
        bytes.push((f64::from(count), log.len() as f64 / 1024.0));
        fleet.controls[0].kill();
        let started = Instant::now();
        fleet.controls[0] = fleet.start_control(0);
        while client.identify(KEY.into()).await.is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        recovery.push((f64::from(count), started.elapsed().as_secs_f64() * 1e3));
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    report("member_log", "changes", "KiB", &bytes, 2_400.0);
    report("member_recovery", "changes", "ms", &recovery, 2_400.0);
    let mut done = 0u64;
    for count in [5_000u64, 10_000, 20_000, 40_000] {
        let before = (fleet.controls[0].cpu_ticks(), done);
        while done < count {
            let claims = (done..done + 100).map(|number| client.claim(KEY.into(), claim(number)));
            futures_util::future::join_all(claims).await;
            done += 100;
        }
        let used = (fleet.controls[0].cpu_ticks() - before.0) as f64 * TICK_MS;
        claim_cpu.push(((done - before.1) as f64, used));
        claim_memory.push((done as f64, fleet.controls[0].resident_kib() as f64));
    }
    report("leader_cpu", "claims", "ms", &claim_cpu, 6_800.0);
    report("member_memory", "claims", "KiB", &claim_memory, 80_000.0);
}

fn claim(number: u64) -> latchmount::claims::Claim {
    #[expect(clippy::disallowed_methods, reason = "request keys bear the time of day")]
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let made_at = now.expect("a clock").as_millis();
    latchmount::claims::Claim {
        key: latchmount::claims::RequestKey(made_at << 80 | 7 << 76 | u128::from(number)),
        digest: number,
        router_url: "http://10.1.1.1:8080".into(),
        nonce: number,
        now_ms: 0,
    }
}

/// Time in which a gateway compares one target's failures with those of the other targets of a service.
fn evidence() {
    let mut points = Vec::new();
    for count in [24, 100, 200, 400, 790] {
        let tallies: Vec<Tally> = (0..count).map(tally).collect();
        let began = Instant::now();
        let mut worse = 0;
        for round in 0..JUDGED_FAILURES {
            let (own, others) = tallies.split_at(1 + round % 2);
            worse += usize::from(own[0].worse_than(others));
        }
        let each = began.elapsed().as_secs_f64() * 1e6 / JUDGED_FAILURES as f64;
        eprintln!("{worse} of {JUDGED_FAILURES} worse");
        points.push((count as f64, each));
    }
    report("gateway_failure", "targets", "µs", &points, 790.0);
}

/// A tally of eight attempts, some of them failed.
fn tally(number: u32) -> Tally {
    let mut tally = Tally::default();
    for at in 0..8u64 {
        let failed = number.wrapping_mul(2_654_435_761) >> at & 3 == 0;
        let outcome = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        tally.note(Duration::from_millis(at), outcome);
    }
    tally
}

#[tokio::main]
async fn main() {
    let part = std::env::args().nth(1).filter(|arg| !arg.starts_with("--"));
    let wants = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if wants("evidence") {
        evidence();
    }
    if wants("targets") {
        targets().await;
    }
    if wants("teams") {
        teams().await;
    }
    if wants("requests") {
        requests().await;
    }
    if wants("streams") {
        streams().await;
    }
    if wants("followers") {
        followers().await;
    }
    if wants("changes") {
        changes().await;
    }
}
