//! Logs: one line of key=value pairs for each event, on standard error.

use slog::{Drain, FnValue, Level, LevelFilter, Logger, Record, o};
use slog_logfmt::Logfmt;
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines that wait to be written before further ones are dropped and counted.
const QUEUE_LEN: usize = 4_096;

/// A logger for `host` that writes events of `level` and above.
///
/// Values are quoted and escaped, so that no caller's bytes can forge a line.
pub fn logger(host: &str, level: Level) -> Logger {
    let format =
        Logfmt::new(std::io::stderr()).no_prefix().print_level(true).print_msg(true).build().fuse();
    let queue = slog_async::Async::new(format).chan_size(QUEUE_LEN).build().fuse();
    let filtered = LevelFilter::new(queue, level).fuse();
    let at = FnValue(|_: &Record<'_>| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    });
    Logger::root(filtered, o!("at_ms" => at, "host" => host.to_owned()))
}

/// A logger that writes nothing.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
