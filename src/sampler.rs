//! Samples log lines of one kind when there are very many of them.

use std::time::Duration;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Number of lines per window that are all kept.
const MAX_UNSAMPLED: u32 = 200;
/// Of the lines above [`MAX_UNSAMPLED`], one in so many is kept.
const SAMPLING_RATIO: u32 = 20;

/// Counts the lines of one kind and decides which are logged.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sampler {
    window: u64,
    lines: u32,
}

impl Sampler {
    /// Counts a line. Returns how many lines it represents if it is to be logged, `None` if not.
    pub fn sample(&mut self, now: Duration) -> Option<u32> {
        let window = (now.as_nanos() / WINDOW.as_nanos()) as u64;
        if window != self.window {
            *self = Sampler { window, lines: 0 };
        }
        self.lines += 1;
        if self.lines <= MAX_UNSAMPLED {
            return Some(1);
        }
        self.lines.is_multiple_of(SAMPLING_RATIO).then_some(SAMPLING_RATIO)
    }
}
