//! Measures the path through a router: latency and throughput compared with direct requests to the stand-in engine, plain
//! and streamed; memory of open streams; cost of claims; and goodput under overload. Prints JSON lines.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use support::engine::{EngineOptions, Fault};
use support::{Fleet, FleetOptions};

/// Requests per second while latency is measured.
const RATE: u64 = 200;
/// Requests of one latency round; rounds alternate between the direct path and the router.
const ROUND_REQUESTS: u64 = 600;
const ROUNDS: u64 = 4;
/// Concurrent callers while throughput is measured.
const CALLERS: usize = 64;
/// Time over which throughput is measured.
const THROUGHPUT_TIME: Duration = Duration::from_secs(4);
/// Number of streams held open while memory is measured.
const OPEN_STREAMS: usize = 2_000;

/// An address that requests are sent to: the engine directly, or the router.
#[derive(Clone)]
struct Endpoint {
    name: &'static str,
    url: String,
}

impl Endpoint {
    /// Sends one chat request; returns whether a complete answer came.
    async fn send_chat(&self, http: &reqwest::Client, number: u64, stream: bool) -> bool {
        let request = http
            .post(format!("{}/v1/chat/completions", self.url))
            .header("latchmount-team", "agents")
            .header("latchmount-chat", number.to_string())
            .header("x-attempt-id", "direct")
            .json(&json!({
                "stream": stream, "messages": [{ "role": "user", "content": number.to_string() }],
            }));
        let Ok(answer) = request.send().await else {
            return false;
        };
        let accepted = answer.status().is_success();
        accepted && answer.text().await.is_ok_and(|text| text.contains(&format!("re:{number}")))
    }
}

/// Latencies in microseconds of `ROUND_REQUESTS` requests, sent at `RATE` without waiting for answers.
async fn latency(
    http: &reqwest::Client,
    endpoint: &Endpoint,
    first: u64,
    stream: bool,
) -> Histogram<u64> {
    let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / RATE));
    let mut tasks = Vec::new();
    for number in first..first + ROUND_REQUESTS {
        ticks.tick().await;
        let (http, endpoint) = (http.clone(), endpoint.clone());
        tasks.push(tokio::spawn(async move {
            let started = Instant::now();
            let complete = endpoint.send_chat(&http, number, stream).await;
            (complete, started.elapsed().as_micros() as u64)
        }));
    }
    let mut latencies = Histogram::new(3).expect("a histogram");
    for task in tasks {
        let (complete, micros) = task.await.expect("a task");
        assert!(complete, "an answer was missing, refused or incomplete");
        latencies.record(micros).expect("a value in range");
    }
    latencies
}

/// Answers per second with `CALLERS` callers that each send the next request after an answer.
async fn throughput(http: &reqwest::Client, endpoint: &Endpoint, stream: bool) -> f64 {
    let answered = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let callers = (0..CALLERS).map(|_| {
        let (http, endpoint, answered) = (http.clone(), endpoint.clone(), answered.clone());
        tokio::spawn(async move {
            while started.elapsed() < THROUGHPUT_TIME {
                let number = rand::random::<u64>();
                if endpoint.send_chat(&http, number, stream).await {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("a task");
    }
    answered.load(Ordering::Relaxed) as f64 / started.elapsed().as_secs_f64()
}

async fn compare(http: &reqwest::Client, endpoints: &[Endpoint; 2], stream: bool) {
    let mut latencies = [
        Histogram::<u64>::new(3).expect("a histogram"),
        Histogram::<u64>::new(3).expect("a histogram"),
    ];
    for round in 0..ROUNDS {
        for (endpoint, all) in endpoints.iter().zip(&mut latencies) {
            let round = latency(http, endpoint, round * ROUND_REQUESTS, stream).await;
            all.add(round).expect("equal histograms");
        }
    }
    let mut rates = Vec::new();
    for endpoint in endpoints {
        rates.push(throughput(http, endpoint, stream).await);
    }
    let quantile = |at: usize, quantile: f64| latencies[at].value_at_quantile(quantile);
    println!(
        "{}",
        json!({
            "bench": "path", "stream": stream, "rate": RATE,
            "direct_p50_us": quantile(0, 0.5), "direct_p99_us": quantile(0, 0.99),
            "router_p50_us": quantile(1, 0.5), "router_p99_us": quantile(1, 0.99),
            "added_p50_us": quantile(1, 0.5) as i64 - quantile(0, 0.5) as i64,
            "added_p99_us": quantile(1, 0.99) as i64 - quantile(0, 0.99) as i64,
            "direct_per_s": rates[0].round(), "router_per_s": rates[1].round(),
            "throughput_ratio": (rates[1] / rates[0] * 100.0).round() / 100.0,
        })
    );
}

/// Memory of a router with many streams open.
async fn open_streams() {
    let engine = EngineOptions {
        token_ms: 500,
        tokens: 100,
        batch: OPEN_STREAMS,
        ..EngineOptions::default()
    };
    let router = json!({ "max_in_flight_per_target": OPEN_STREAMS });
    let fleet = Fleet::start_configured(FleetOptions {
        engine,
        router,
        routers: 1,
        ..FleetOptions::default()
    })
    .await;
    let before = fleet.routers[0].resident_kib();
    let mut streams = Vec::new();
    for number in 0..OPEN_STREAMS {
        let request = fleet.chat(0, &number.to_string(), &["hold"], true);
        streams.push(request.send().await.expect("a stream"));
    }
    let open = fleet.metric(0, "latchmount_in_flight_team", "agents").await;
    let after = fleet.routers[0].resident_kib();
    println!(
        "{}",
        json!({
            "bench": "open_streams", "open": open, "resident_kib_before": before,
            "resident_kib": after, "kib_per_stream": (after - before) as f64 / open,
        })
    );
}

/// Latency that a claim adds to a call, and calls with a claim answered per second.
async fn claims() {
    let fleet = Fleet::start_configured(FleetOptions {
        controls: 5,
        routers: 2,
        ..FleetOptions::default()
    })
    .await;
    let mut latencies =
        [Histogram::<u64>::new(3).expect("a histogram"), Histogram::new(3).expect("a histogram")];
    for number in 0..2_000 {
        for (at, latencies) in latencies.iter_mut().enumerate() {
            let key = request_key();
            let headers = [("latchmount-request-key", key.as_str())];
            let headers = if at == 0 { &[][..] } else { &headers[..] };
            let started = Instant::now();
            let answer = fleet.call(number % 2, "claimed", headers).await.expect("an answer");
            assert!(answer.status().is_success());
            answer.bytes().await.expect("a body");
            latencies.record(started.elapsed().as_micros() as u64).expect("a value in range");
        }
    }
    let started = Instant::now();
    let calls = (0..CALLERS).map(|caller| {
        let fleet = &fleet;
        async move {
            let mut answered = 0u64;
            while started.elapsed() < THROUGHPUT_TIME {
                let key = request_key();
                let headers = [("latchmount-request-key", key.as_str())];
                let answer = fleet.call(caller % 2, "claimed", &headers).await.expect("an answer");
                answered += u64::from(answer.status().is_success());
            }
            answered
        }
    });
    let answered: u64 = futures_util::future::join_all(calls).await.into_iter().sum();
    let [plain, claimed] = latencies;
    let added = |quantile| {
        claimed.value_at_quantile(quantile) as i64 - plain.value_at_quantile(quantile) as i64
    };
    println!(
        "{}",
        json!({
            "bench": "claims", "members": 5, "added_p50_us": added(0.5), "added_p99_us": added(0.99),
            "claimed_per_s": (answered as f64 / started.elapsed().as_secs_f64()).round(),
        })
    );
}

fn request_key() -> String {
    #[expect(clippy::disallowed_methods, reason = "request keys bear the time of day")]
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let random = rand::random::<u128>() & ((1 << 76) - 1);
    let bits = now.expect("a clock").as_millis() << 80 | 7 << 76 | random;
    let hex = format!("{bits:032x}");
    format!("{}-{}-{}-{}-{}", &hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..])
}

/// Complete answers per second at several offered loads, with and without faults: half of the engines lose answers during
/// the middle third of the time.
async fn goodput() {
    const SLOTS: usize = 16;
    const ENGINES: usize = 4;
    const ANSWER_S: f64 = 0.2;
    const TIME: Duration = Duration::from_secs(6);
    let capacity = (SLOTS * ENGINES) as f64 / ANSWER_S;
    for failing in [false, true] {
        for load in [0.5, 1.0, 1.5, 2.0, 3.0] {
            let engine = EngineOptions { token_ms: 10, tokens: 20, ..EngineOptions::default() };
            let router = json!({ "engine_slots": SLOTS, "queue_wait_ms": 200 });
            let control = json!({ "freshness_lease_ms": 2_500 });
            let shape = FleetOptions {
                engine,
                engines: ENGINES,
                router,
                control,
                ..FleetOptions::default()
            };
            let fleet = Fleet::start_configured(shape).await;
            tokio::time::sleep(Duration::from_secs(4)).await;
            let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / (capacity * load)));
            let (started, mut number, mut answers) = (Instant::now(), 0usize, Vec::new());
            while started.elapsed() < TIME {
                ticks.tick().await;
                let middle = (TIME / 3..TIME * 2 / 3).contains(&started.elapsed());
                if failing && middle && number.is_multiple_of(8) {
                    fleet.engines[..2]
                        .iter()
                        .for_each(|engine| engine.fail_next(Fault::LoseAnswer));
                }
                number += 1;
                let request = fleet.chat(number % 2, &number.to_string(), &["hello"], false);
                answers.push(tokio::spawn(async move {
                    let complete = request.send().await.is_ok_and(|answer| answer.status() == 200);
                    u64::from(complete)
                }));
            }
            let mut complete = 0;
            for answer in answers {
                complete += answer.await.expect("a task");
            }
            let mut retries = 0.0;
            for router in 0..2 {
                retries += fleet.metric(router, "latchmount_retries_total", "").await;
            }
            println!(
                "{}",
                json!({
                    "bench": "goodput", "failing": failing, "offered": load,
                    "capacity_per_s": capacity, "whole_per_s": complete as f64 / TIME.as_secs_f64(),
                    "retries": retries, "retry_budget": 20.0 + complete as f64 * 0.1,
                })
            );
        }
    }
}

/// `cargo bench --bench path`; `-- latency`, `streams`, `claims` or `goodput` for one part only.
#[tokio::main]
async fn main() {
    let part = std::env::args().nth(1).filter(|arg| !arg.starts_with("--"));
    let wants = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if wants("latency") {
        compare_endpoints().await;
    }
    if wants("streams") {
        open_streams().await;
    }
    if wants("claims") {
        claims().await;
    }
    if wants("goodput") {
        goodput().await;
    }
}

async fn compare_endpoints() {
    let engine =
        EngineOptions { token_ms: 0, prefill_ms: 0, batch: 10_000, ..EngineOptions::default() };
    let shape = FleetOptions { engine, engines: 1, routers: 1, ..FleetOptions::default() };
    let fleet = Fleet::start_configured(shape).await;
    let endpoints = [
        Endpoint { name: "direct", url: fleet.engines[0].url().to_owned() },
        Endpoint { name: "router", url: fleet.router_url(0) },
    ];
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    for endpoint in &endpoints {
        // Opens connections, so that the measurement does not include connecting.
        latency(&http, endpoint, 0, false).await;
        eprintln!("warmed up: {}", endpoint.name);
    }
    compare(&http, &endpoints, false).await;
    compare(&http, &endpoints, true).await;
}
