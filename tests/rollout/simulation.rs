//! Simulates one roll-out in steps of 100 ms.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use latchmount::gateway::versions::trial_size;
use latchmount::rollout::Stage;
use latchmount::rollout::history::History;
use latchmount::rollout::route_mix::RouteMix;
use latchmount::rollout::steps::Progress;
use latchmount::rollout::tally::{Compared, RouteKey};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::strategy::Strategy;

/// Simulated time per step.
const STEP: Duration = Duration::from_millis(100);
/// Fraction of requests for the new version in the first stage, in thousandths.
pub const TRIAL_PERMILLE: u16 = 70;
/// Maximum number of requests that a bad version may get: this fraction of all requests, plus this many.
const MAX_EXPOSURE: (f64, f64) = (0.1, 50.0);

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    /// Nothing.
    None,
    /// This fraction of its answers fails.
    Fails(f64),
    /// Its answers take this many times as long.
    Slow(f64),
}

/// When and where the defect shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trigger {
    /// From the start.
    AtOnce,
    /// From this fraction of the roll-out's time on.
    Later(f64),
    /// While each target on trial gets at least half as many requests as a target of the old version.
    UnderLoad,
    /// On this route only.
    OnRoute(usize),
    /// Once the new version gets all requests.
    AfterShift,
}

/// A fault that affects both versions alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SharedFault {
    /// Nothing.
    None,
    /// This fraction of all answers fails from the middle of the roll-out on.
    BothFail(f64),
    /// A third of the answers of both versions takes this many times as long, as if a data hall were slow.
    SlowHall(f64),
    /// On this route this fraction of all answers fails.
    RouteFails(usize, f64),
}

/// A route gets more requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    pub route: usize,
    /// Start, as a fraction of the roll-out's time.
    pub from: f64,
    /// Factor by which its request rate grows.
    pub factor: f64,
}

/// A time in which no answer begins, as if a host had no processor time left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stall {
    /// Start, as a fraction of the roll-out's time.
    pub from: f64,
    pub length: Duration,
    /// The gateway that stalls; `None` if all do.
    pub gateway: Option<u32>,
}

/// A roll-out to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub lasts: Duration,
    pub gateways: u32,
    /// Requests per second on each route.
    pub routes: Vec<f64>,
    /// Targets of each version.
    pub targets: usize,
    pub defect: Defect,
    pub trigger: Trigger,
    pub shared_fault: SharedFault,
    /// Time from which the new targets are up and warm.
    pub ready: Duration,
    pub surge: Option<Surge>,
    pub stalls: Vec<Stall>,
}

/// Result of a simulated roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub stage: Stage,
    /// Time until it was completed or rolled back.
    pub took: Duration,
    /// Number of requests that the new version got before the roll-out's deadline.
    pub exposed: f64,
    /// Number of requests that a bad version may get.
    pub allowed: f64,
    /// Time from the first request for which the defect showed until the roll-out was over.
    pub bad_for: Duration,
    /// Number of requests for which the defect showed.
    pub bad: f64,
}

/// Outcomes on their way to the leader, with the time of their arrival.
type InTransit = VecDeque<(Duration, Vec<Compared>)>;

/// The requests of one step.
struct StepOutcomes {
    /// Outcomes by route.
    seen: Vec<Compared>,
    /// Number of requests that the new version got.
    to_new: f64,
    /// Number of those for which the defect showed.
    defective: f64,
}

/// Stage and route mix that gateways apply.
#[derive(Clone, Debug)]
struct Applied {
    stage: Stage,
    mix: RouteMix,
}

impl Applied {
    /// Fraction of a route's requests for the new version.
    fn new_fraction(&self, strategy: Strategy, route: usize) -> f64 {
        match strategy.divides() {
            true => self.mix.fraction_of_route(route_key(route), self.stage.share()),
            false => self.stage.share(),
        }
    }
}

fn route_key(route: usize) -> RouteKey {
    RouteKey::of(&route.to_string())
}

impl Scenario {
    /// Time until outcomes seen by a gateway reach the leader: two messages, each slower with more gateways.
    fn report_delay(&self) -> Duration {
        Duration::from_millis(200) + Duration::from_micros(500) * self.gateways
    }

    /// Time until gateways apply a new stage.
    fn update_delay(&self) -> Duration {
        Duration::from_millis(100) + Duration::from_micros(500) * self.gateways
    }

    /// Simulates the roll-out.
    pub fn simulate(&self, strategy: Strategy, rng: &mut StdRng) -> Outcome {
        let mut known: BTreeMap<RouteKey, Compared> =
            (0..self.routes.len()).map(|at| (route_key(at), Compared::default())).collect();
        let mut history = History::default();
        let mut in_transit = InTransit::new();
        let mut mixes = VecDeque::new();
        let mut stage = Stage::Part(TRIAL_PERMILLE);
        let mut applied = Applied { stage, mix: RouteMix::default() };
        let (mut stage_since, mut answers_before) = (Duration::ZERO, 0);
        let (mut exposed, mut total) = (0.0, 0.0);
        let (mut over_at, mut bad_since, mut bad) = (None, None, 0.0);
        let mut now = Duration::ZERO;
        while now < self.lasts {
            if now >= stage_since + self.update_delay() {
                applied.stage = stage;
            }
            while let Some((_, mix)) = mixes.pop_front_if(|(at, _)| *at <= now) {
                applied.mix = mix;
            }
            let StepOutcomes { seen, to_new, defective } =
                self.simulate_step(now, strategy, &applied, rng);
            exposed += to_new;
            bad += defective;
            if defective > 0.0 {
                bad_since.get_or_insert(now);
            }
            total += self.rates(now).sum::<f64>() * STEP.as_secs_f64();
            in_transit.push_back((now + self.report_delay(), seen));
            while let Some((_, seen)) = in_transit.pop_front_if(|(at, _)| *at <= now) {
                for (at, seen) in seen.iter().enumerate() {
                    known.entry(route_key(at)).or_default().add(seen);
                }
            }
            history.record(now, stage, &known);
            mixes.push_back((now + self.update_delay(), history.mix()));
            let routes = history.routes();
            let progress = Progress {
                stage,
                elapsed: now,
                in_stage: now - stage_since,
                lasts: self.lasts,
                trial_permille: TRIAL_PERMILLE,
                routes: &routes,
                unjudged: false,
                answers_before,
                old_in_flight: u32::from(
                    now < stage_since + self.update_delay() + self.report_delay(),
                ),
            };
            if let Some(next) = strategy.next(&progress) {
                stage = next;
                stage_since = now;
                answers_before = progress.answers();
                if !stage.under_way() {
                    over_at.get_or_insert(now);
                }
            }
            now += STEP;
        }
        let took = over_at.unwrap_or(self.lasts);
        Outcome {
            stage,
            took,
            exposed,
            allowed: MAX_EXPOSURE.0 * total + MAX_EXPOSURE.1,
            bad_for: took.saturating_sub(bad_since.unwrap_or(took)),
            bad,
        }
    }

    /// Requests per second on each route at this time.
    fn rates(&self, now: Duration) -> impl Iterator<Item = f64> {
        self.routes.iter().enumerate().map(move |(route, per_s)| match self.surge {
            Some(surge) if surge.route == route && now >= self.lasts.mul_f64(surge.from) => {
                per_s * surge.factor
            }
            _ => *per_s,
        })
    }

    /// Time until the last stall that a request sent at `now` meets ends.
    fn stalled_for(&self, now: Duration, rng: &mut StdRng) -> Duration {
        let ends = self.stalls.iter().filter_map(|stall| {
            let from = self.lasts.mul_f64(stall.from);
            let met = now >= from && now < from + stall.length;
            let here =
                met && stall.gateway.is_none_or(|at| rng.random_range(0..self.gateways) == at);
            here.then(|| from + stall.length - now)
        });
        ends.max().unwrap_or_default()
    }

    /// Simulates the requests of one step.
    fn simulate_step(
        &self,
        now: Duration,
        strategy: Strategy,
        applied: &Applied,
        rng: &mut StdRng,
    ) -> StepOutcomes {
        let mut seen = vec![Compared::default(); self.routes.len()];
        let (mut to_new, mut all_defective) = (0.0, 0.0);
        let share_of_all = if now < self.ready { 0.0 } else { applied.stage.share() };
        for (route, per_s) in self.rates(now).enumerate() {
            let share =
                if share_of_all > 0.0 { applied.new_fraction(strategy, route) } else { 0.0 };
            let requests = per_s * STEP.as_secs_f64();
            let count = requests as u32 + u32::from(rng.random_bool(requests.fract()));
            for _ in 0..count {
                let new = share > 0.0 && rng.random_bool(share);
                let outcomes = if new { &mut seen[route].new } else { &mut seen[route].old };
                to_new += f64::from(u8::from(new));
                let defective = new && self.defect_shows(now, route, share_of_all);
                all_defective += f64::from(u8::from(defective));
                let mut took = 0.05 * 2.0_f64.powf(rng.random_range(-0.7..1.5));
                let mut fails = rng.random_bool(0.004);
                if let SharedFault::SlowHall(times) = self.shared_fault
                    && rng.random_bool(1.0 / 3.0)
                {
                    took *= times;
                }
                if let SharedFault::BothFail(fraction) = self.shared_fault
                    && now > self.lasts / 2
                {
                    fails |= rng.random_bool(fraction);
                }
                if let SharedFault::RouteFails(failing, fraction) = self.shared_fault
                    && route == failing
                {
                    fails |= rng.random_bool(fraction);
                }
                match self.defect {
                    Defect::Fails(fraction) if defective => fails |= rng.random_bool(fraction),
                    Defect::Slow(times) if defective => took *= times,
                    _ => {}
                }
                took += self.stalled_for(now, rng).as_secs_f64();
                match fails {
                    true => outcomes.failed += 1,
                    false => outcomes.latencies.record(Duration::from_secs_f64(took)),
                }
            }
        }
        StepOutcomes { seen, to_new, defective: all_defective }
    }

    fn defect_shows(&self, now: Duration, route: usize, share: f64) -> bool {
        match self.trigger {
            Trigger::AtOnce => true,
            Trigger::Later(fraction) => now >= self.lasts.mul_f64(fraction),
            Trigger::OnRoute(only) => route == only,
            Trigger::AfterShift => share >= 1.0,
            Trigger::UnderLoad => {
                let trial_targets = trial_size(share, self.targets, self.targets) as f64;
                share / trial_targets >= 0.5 * (1.0 - share) / self.targets as f64
            }
        }
    }
}
