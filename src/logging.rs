//! Logs: one line of key=value pairs for each event.
//!
//! Lines wait in a bounded queue for a thread that writes them, so that a reader that stands still
//! delays no request: what does not fit is dropped, and the count of dropped lines is logged.

use slog::{Drain, FnValue, Level, LevelFilter, Logger, Record, o};
use slog_logfmt::Logfmt;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines that wait to be written before further ones are dropped and counted.
const QUEUE_LEN: usize = 4_096;

/// A logger for `host` that writes events of `level` and above to standard error.
///
/// Values are quoted and escaped, so that no caller's bytes can forge a line.
pub fn logger(host: &str, level: Level) -> Logger {
    logger_to(std::io::stderr(), host, level)
}

/// The same to any writer.
pub fn logger_to(out: impl Write + Send + 'static, host: &str, level: Level) -> Logger {
    let format = Logfmt::new(out).no_prefix().print_level(true).print_msg(true).build().fuse();
    let queue = slog_async::Async::new(format).chan_size(QUEUE_LEN).build().fuse();
    let filtered = LevelFilter::new(queue, level).fuse();
    #[expect(clippy::disallowed_methods, reason = "lines bear the time of day, for readers alone")]
    let at = FnValue(|_: &Record<'_>| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    });
    Logger::root(filtered, o!("at_ms" => at, "host" => host.to_owned()))
}

/// A logger that writes nothing.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
