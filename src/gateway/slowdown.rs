//! How long work takes at a target whose machine is shared with others.

use std::time::Duration;

/// What is usual, in percent.
const USUAL_PERCENT: f64 = 100.0;
/// Most that is believed, as a multiple: a target that tells more is as good as out of use already.
const MAX_MULTIPLE: f64 = 10.0;
/// Time after which half of what a target told is thought to be over.
const HALF_LIFE: Duration = Duration::from_millis(250);

/// What a target told last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slowdown {
    latest: Option<(Duration, f64)>,
}

impl Slowdown {
    /// The target told how long work takes there, in percent of what is usual.
    pub fn note(&mut self, now: Duration, percent: u32) {
        self.latest = Some((now, (f64::from(percent) / USUAL_PERCENT).clamp(1.0, MAX_MULTIPLE)));
    }

    /// How long work takes there, as a multiple of what is usual: the older the word, the nearer to 1.
    pub fn multiple(&self, now: Duration) -> f64 {
        let Some((at, multiple)) = self.latest else {
            return 1.0;
        };
        let half_lives = now.saturating_sub(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (multiple - 1.0) * 0.5_f64.powf(half_lives)
    }
}
