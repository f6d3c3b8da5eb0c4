//! Compares policies against poison requests on the same scenarios and seeds, in virtual time.
//!
//! Run with `cargo bench --bench poison -- SEEDS`; results are in docs/design/poison-requests.md.

#[path = "../tests/poison/model.rs"]
mod model;

use std::time::Instant;

use latchmount::poison::{Identity, Rule};
use model::{Model, Policy, Scenario, Totals, Trouble};

/// Numbers of gateways, of targets, and of innocent requests per second.
const SIZES: [(usize, usize, f64); 3] = [(8, 18, 300.0), (65, 112, 1_500.0), (372, 790, 4_000.0)];
const TROUBLES: [Trouble; 5] =
    [Trouble::None, Trouble::Crash, Trouble::Flapping, Trouble::HallLost, Trouble::Rolling];
/// Sizes of the bodies whose digests are timed, in bytes.
const BODIES: [usize; 3] = [1_700, 24_000, 140_000];

fn policies() -> [(&'static str, Policy); 4] {
    let untrusting = Rule { part_trust: std::time::Duration::ZERO, ..Rule::default() };
    let counted = Rule { clears: false, ..Rule::default() };
    let cleared = Rule::default();
    [
        ("counted", Policy { rule: counted, isolate_suspects: false }),
        ("cleared", Policy { rule: cleared, isolate_suspects: false }),
        ("apart", Policy { rule: cleared, isolate_suspects: true }),
        ("untrusting", Policy { rule: untrusting, isolate_suspects: false }),
    ]
}

fn main() {
    let seeds = std::env::args().filter_map(|arg| arg.parse().ok()).next().unwrap_or(1);
    time_digests();
    for size in SIZES {
        for trouble in TROUBLES {
            for (killers, late) in [(0, 0.0), (1, 0.0), (6, 0.0), (1, 0.2)] {
                let (gateways, targets, rate) = size;
                for parts in [false, true] {
                    let scenario = Scenario {
                        gateways,
                        targets,
                        killers,
                        parts,
                        rate,
                        trouble,
                        late,
                        seconds: 20,
                    };
                    policies()
                        .iter()
                        .for_each(|(name, policy)| compare(scenario, name, *policy, seeds));
                }
            }
        }
    }
}

fn compare(scenario: Scenario, name: &str, policy: Policy, seeds: u64) {
    let mut sum = Totals::default();
    (1..=seeds).for_each(|seed| sum.add(Model::simulate(scenario, policy, seed)));
    sum.blocked_after_ms.sort_unstable();
    let Scenario { gateways, killers, parts, trouble, late, .. } = scenario;
    let each = sum.crashed as f64 / (killers.max(1) as u64 * seeds) as f64;
    let refused = 1_000.0 * sum.refused as f64 / sum.attempts.max(1) as f64;
    println!(
        "gateways={gateways} trouble={trouble:?} killers={killers} parts={parts} late={late} way={name} \
        ended_each={each:.2} late_sends={} refused_permille={refused:.3} lost={} last_ms={:?} reports={}",
        sum.late_sends,
        sum.lost,
        sum.blocked_after_ms.last(),
        sum.reports
    );
}

fn time_digests() {
    for bytes in BODIES {
        let body = vec![7; bytes];
        let identity = Identity { team: Some("t"), host: "h.example", path: "/p/q", body: &body };
        let rounds = 2_000;
        let began = Instant::now();
        (0..rounds).for_each(|_| {
            std::hint::black_box(identity.fingerprint());
        });
        let fingerprint = began.elapsed() / rounds;
        let began = Instant::now();
        (0..rounds).for_each(|_| {
            std::hint::black_box(identity.quick_hash());
        });
        println!("body={bytes} fingerprint={fingerprint:?} outline={:?}", began.elapsed() / rounds);
    }
}
