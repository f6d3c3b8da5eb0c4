//! How much slower than usual a target works, for example because it shares its machine with
//! others.

use std::time::Duration;

/// Reported value of a target that works at its usual speed, in percent.
const USUAL_PERCENT: f64 = 100.0;
/// Maximum multiple that is used. A target that reports more is practically out of use at this
/// value already.
const MAX_MULTIPLE: f64 = 10.0;
/// Time after which half of a reported slowdown is assumed to be over.
const HALF_LIFE: Duration = Duration::from_millis(250);

/// The slowdown that a target last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slowdown {
    latest: Option<(Duration, f64)>,
}

impl Slowdown {
    /// Records the processing time that the target reported, in percent of the usual time.
    pub fn note(&mut self, now: Duration, percent: u32) {
        self.latest = Some((now, (f64::from(percent) / USUAL_PERCENT).clamp(1.0, MAX_MULTIPLE)));
    }

    /// Estimated processing time as a multiple of the usual time. It decays towards 1 as the report
    /// ages.
    pub fn multiple(&self, now: Duration) -> f64 {
        let Some((at, multiple)) = self.latest else {
            return 1.0;
        };
        let half_lives = now.saturating_sub(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (multiple - 1.0) * 0.5_f64.powf(half_lives)
    }
}
