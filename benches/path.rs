//! What the path through a router costs: latency and throughput beside going directly to the
//! stand-in, plain and streamed, and the memory that open streams take. Prints JSON lines.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use support::engine::EngineOptions;
use support::{Fleet, Shape};

/// Requests a second while latency is measured.
const RATE: u64 = 200;
/// Requests of one latency round; rounds alternate between the two ways.
const ROUND: u64 = 600;
const ROUNDS: u64 = 4;
/// Callers and time while throughput is measured.
const CALLERS: usize = 64;
const THROUGHPUT_TIME: Duration = Duration::from_secs(4);
/// Streams held open while memory is measured.
const OPEN_STREAMS: usize = 2_000;

#[derive(Clone)]
struct Way {
    name: &'static str,
    url: String,
}

impl Way {
    async fn ask(&self, http: &reqwest::Client, number: u64, stream: bool) -> bool {
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
        let whole = answer.status().is_success();
        whole && answer.text().await.is_ok_and(|text| text.contains(&format!("re:{number}")))
    }
}

/// Latency in microseconds of `ROUND` requests, sent at `RATE` whatever the answers do.
async fn latency(http: &reqwest::Client, way: &Way, first: u64, stream: bool) -> Histogram<u64> {
    let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / RATE));
    let mut tasks = Vec::new();
    for number in first..first + ROUND {
        ticks.tick().await;
        let (http, way) = (http.clone(), way.clone());
        tasks.push(tokio::spawn(async move {
            let started = Instant::now();
            let whole = way.ask(&http, number, stream).await;
            (whole, started.elapsed().as_micros() as u64)
        }));
    }
    let mut taken = Histogram::new(3).expect("a histogram");
    for task in tasks {
        let (whole, micros) = task.await.expect("a task");
        assert!(whole, "an answer was not whole");
        taken.record(micros).expect("a value in range");
    }
    taken
}

/// Answers a second with `CALLERS` callers that ask again at once.
async fn throughput(http: &reqwest::Client, way: &Way, stream: bool) -> f64 {
    let answered = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let callers = (0..CALLERS).map(|_| {
        let (http, way, answered) = (http.clone(), way.clone(), answered.clone());
        tokio::spawn(async move {
            while started.elapsed() < THROUGHPUT_TIME {
                let number = rand::random::<u64>();
                if way.ask(&http, number, stream).await {
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

async fn compare(http: &reqwest::Client, ways: &[Way; 2], stream: bool) {
    let mut taken = [
        Histogram::<u64>::new(3).expect("a histogram"),
        Histogram::<u64>::new(3).expect("a histogram"),
    ];
    for round in 0..ROUNDS {
        for (way, all) in ways.iter().zip(&mut taken) {
            let round = latency(http, way, round * ROUND, stream).await;
            all.add(round).expect("equal histograms");
        }
    }
    let mut rates = Vec::new();
    for way in ways {
        rates.push(throughput(http, way, stream).await);
    }
    let quantile = |at: usize, quantile: f64| taken[at].value_at_quantile(quantile);
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
    let fleet = Fleet::ready(Shape { engine, router, routers: 1, ..Shape::default() }).await;
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

/// `cargo bench --bench path`, with `-- latency` or `-- streams` for one part only.
#[tokio::main]
async fn main() {
    let part = std::env::args().nth(1).filter(|arg| !arg.starts_with("--"));
    if part.as_deref() != Some("streams") {
        compare_ways().await;
    }
    if part.as_deref() != Some("latency") {
        open_streams().await;
    }
}

async fn compare_ways() {
    let engine =
        EngineOptions { token_ms: 0, prefill_ms: 0, batch: 10_000, ..EngineOptions::default() };
    let shape = Shape { engine, engines: 1, routers: 1, ..Shape::default() };
    let fleet = Fleet::ready(shape).await;
    let ways = [
        Way { name: "direct", url: fleet.engines[0].url().to_owned() },
        Way { name: "router", url: fleet.router_url(0) },
    ];
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    for way in &ways {
        // Connections are made before anything is measured.
        latency(&http, way, 0, false).await;
        eprintln!("warmed up: {}", way.name);
    }
    compare(&http, &ways, false).await;
    compare(&http, &ways, true).await;
}
