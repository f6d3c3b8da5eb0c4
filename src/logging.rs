//! Logs: one line of key=value pairs for each event.
//!
//! A separate thread writes the lines from a bounded queue, so that a blocked reader of the log delays no request.
//! Lines that do not fit into the queue are dropped, and their number is logged.

use slog::{Drain, FnValue, Level, LevelFilter, Logger, Record, o};
use slog_logfmt::Logfmt;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of lines in the queue; further ones are dropped.
const QUEUE_LEN: usize = 4_096;

/// A logger for the process on `host` that writes events of `level` and above to standard error.
///
/// Values are quoted and escaped, so that bytes sent by a client can't forge a log line.
pub fn logger(host: &str, level: Level) -> Logger {
    logger_to(std::io::stderr(), host, level)
}

/// Like [`logger`], but writes to `out`.
pub fn logger_to(out: impl Write + Send + 'static, host: &str, level: Level) -> Logger {
    let format = Logfmt::new(out).no_prefix().print_level(true).print_msg(true).build().fuse();
    let queue = slog_async::Async::new(format).chan_size(QUEUE_LEN).build().fuse();
    let filtered = LevelFilter::new(queue, level).fuse();
    #[expect(
        clippy::disallowed_methods,
        reason = "the wall-clock time is only for readers of the log"
    )]
    let at = FnValue(|_: &Record<'_>| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    });
    Logger::root(filtered, o!("at_ms" => at, "host" => host.to_owned()))
}

/// A logger that discards all events.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
