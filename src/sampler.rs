//! Thins out log lines of one kind while there are very many of them.

use std::time::Duration;

/// Length of the span that lines are counted in.
const SPAN: Duration = Duration::from_secs(1);
/// Lines of a span that are all kept.
const ALL_KEPT: u32 = 200;
/// Of the lines beyond, one in so many is kept.
const ONE_IN: u32 = 20;

/// Counts the lines of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sampler {
    span: u64,
    lines: u32,
}

impl Sampler {
    /// Whether to keep a line, and how many lines it stands for.
    pub fn keep(&mut self, now: Duration) -> Option<u32> {
        let span = (now.as_nanos() / SPAN.as_nanos()) as u64;
        if span != self.span {
            *self = Sampler { span, lines: 0 };
        }
        self.lines += 1;
        if self.lines <= ALL_KEPT {
            return Some(1);
        }
        self.lines.is_multiple_of(ONE_IN).then_some(ONE_IN)
    }
}
