//! Ways to find poison requests, side by side on the same scenes and seeds, in virtual time.
//!
//! `cargo bench --bench poison -- SEEDS`; figures stand in docs/design/poison-requests.md.

#[path = "../tests/poison/model.rs"]
mod model;

use std::time::Instant;

use latchmount::poison::{Identity, Rule};
use model::{Figures, Model, Scene, Trouble, Way};

/// Gateways, targets, and innocent requests a second.
const SIZES: [(usize, usize, f64); 3] = [(8, 18, 300.0), (65, 112, 1_500.0), (372, 790, 4_000.0)];
const TROUBLES: [Trouble; 5] =
    [Trouble::None, Trouble::Crash, Trouble::Flapping, Trouble::HallLost, Trouble::Rolling];
/// Bodies whose digests are timed, in bytes.
const BODIES: [usize; 3] = [1_700, 24_000, 140_000];

fn ways() -> [(&'static str, Way); 3] {
    let counted = Rule { clears: false, ..Rule::default() };
    let cleared = Rule::default();
    [
        ("counted", Way { rule: counted, apart: false }),
        ("cleared", Way { rule: cleared, apart: false }),
        ("apart", Way { rule: cleared, apart: true }),
    ]
}

fn main() {
    let seeds = std::env::args().filter_map(|word| word.parse().ok()).next().unwrap_or(1);
    time_digests();
    for size in SIZES {
        for trouble in TROUBLES {
            for (killers, late) in [(0, 0.0), (1, 0.0), (6, 0.0), (1, 0.2)] {
                let (gateways, targets, rate) = size;
                let scene = Scene { gateways, targets, killers, rate, trouble, late, seconds: 20 };
                ways().iter().for_each(|(name, way)| compare(scene, name, *way, seeds));
            }
        }
    }
}

fn compare(scene: Scene, name: &str, way: Way, seeds: u64) {
    let mut sum = Figures::default();
    (1..=seeds).for_each(|seed| sum.add(Model::play(scene, way, seed)));
    sum.known_after_ms.sort_unstable();
    let Scene { gateways, killers, trouble, late, .. } = scene;
    let each = sum.ended as f64 / (killers.max(1) as u64 * seeds) as f64;
    let refused = 1_000.0 * sum.refused as f64 / sum.tries.max(1) as f64;
    println!(
        "gateways={gateways} trouble={trouble:?} killers={killers} late={late} way={name} \
        ended_each={each:.2} refused_permille={refused:.3} lost={} last_ms={:?} reports={}",
        sum.lost,
        sum.known_after_ms.last(),
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
