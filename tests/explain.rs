//! Log lines are parsed as they were written, and `explain` builds the timeline of a request from them.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use latchmount::explain::Timeline;
use latchmount::logging::logger_to;
use latchmount::logline::LogLine;
use latchmount::sampler::Sampler;
use slog::{Level, info};

/// A log output whose bytes the test can read.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_line_is_read_back_whatever_its_values_hold() {
    let buffer = SharedBuffer::default();
    let values = ["plain", "two words", "a \"quote\"", "back\\slash", "a=b", "new\nline", ""];
    let log = logger_to(buffer.clone(), "host-1", Level::Info);
    for value in values {
        info!(log, "a message"; "event" => "tried", "id" => "r-1", "value" => value);
    }
    drop(log);
    let text = String::from_utf8(buffer.0.lock().expect("no panic").clone()).expect("text");
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    assert_eq!(lines.len(), values.len(), "{text}");
    for (line, value) in lines.iter().zip(values) {
        assert_eq!((line.host(), line.event(), line.get("id")), ("host-1", "tried", Some("r-1")));
        if !value.contains('\n') {
            assert_eq!(line.get("value"), Some(value), "{text}");
        }
    }
}

#[test]
fn lines_of_other_programs_are_skipped() {
    for line in ["", "thread 'main' panicked", "key=value", "event=x host=h", "a=\"unclosed"] {
        assert_eq!(LogLine::parse(line), None, "{line}");
    }
}

#[test]
fn a_timeline_has_each_decision_in_order_with_the_known_state_of_its_host() {
    let lines = [
        "level=INFO msg=x host=g2 at_ms=990 event=configuration version=9",
        "level=INFO msg=x host=g1 at_ms=400 event=configuration version=3",
        "level=INFO msg=x host=g1 at_ms=900 event=configuration version=4",
        "level=INFO msg=x host=g1 at_ms=950 event=target_paused target=i-1 outcome=Failed",
        "level=INFO msg=x host=g1 at_ms=960 event=target_paused target=i-2 outcome=Failed",
        "level=INFO msg=x host=g1 at_ms=1200 event=given_up id=r-1 reason=not_run sends=1",
        "level=INFO msg=x host=g1 at_ms=1000 event=attempt id=r-1 outcome=not_run target=i-1",
        "level=INFO msg=x host=g1 at_ms=1100 event=configuration version=5",
        "level=INFO msg=x host=g1 at_ms=1000 event=attempt id=r-2 outcome=answered target=i-1",
    ];
    let timeline = Timeline::of("r-1", lines.into_iter());
    let events: Vec<&str> = timeline.steps.iter().map(|step| step.event.as_str()).collect();
    assert_eq!(events, ["attempt", "given_up"]);
    let known_state = |at: usize| -> Vec<(&str, u64, &str)> {
        let known_state = timeline.steps[at].known_state.iter();
        known_state.map(|state| (state.topic, state.age_ms, state.state.as_str())).collect()
    };
    let paused = ("paused target", 50, "target=i-1 outcome=Failed");
    assert_eq!(known_state(0), [("configuration", 100, "version=4"), paused]);
    assert_eq!(known_state(1), [("configuration", 100, "version=5")]);
    let text = timeline.to_string();
    assert!(text.contains("reason=not_run") && text.contains("told 100 ms before"), "{text}");
    assert!(Timeline::of("r-9", lines.into_iter()).to_string().contains("no line tells"));
}

#[test]
fn a_restarted_process_has_no_known_state_from_before() {
    let lines = [
        "level=INFO msg=x host=g1 at_ms=900 event=configuration version=4",
        "level=INFO msg=x host=g1 at_ms=950 event=gateway_started version=0.1.0",
        "level=INFO msg=x host=g1 at_ms=960 event=refused id=r-1 reason=no_configuration",
    ];
    let timeline = Timeline::of("r-1", lines.into_iter());
    let topics: Vec<&str> = timeline.steps[0].known_state.iter().map(|state| state.topic).collect();
    assert_eq!(topics, ["start"]);
}

/// A log output that blocks for ever, like a pipe that nobody reads.
struct BlockedWriter;

impl Write for BlockedWriter {
    fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_log_output_delays_no_logging() {
    let log = logger_to(BlockedWriter, "host-1", Level::Info);
    for at in 0..100_000 {
        info!(log, "a message"; "event" => "tried", "at" => at);
    }
    // The writing thread never ends; dropping the logger would wait for it.
    std::mem::forget(log);
}

#[test]
fn lines_are_thinned_out_only_beyond_many_in_a_second() {
    let mut sampler = Sampler::default();
    for second in 0..3 {
        let now = |at: u64| Duration::from_secs(second) + Duration::from_micros(at * 100);
        let few: u32 = (0..150).filter_map(|at| sampler.sample(now(at))).sum();
        assert_eq!(few, 150, "lines were dropped below the limit");
        let many: Vec<u32> = (150..5_150).filter_map(|at| sampler.sample(now(at))).collect();
        assert!(many.len() < 400, "{} lines kept of 5,000", many.len());
        let stands_for: u32 = many.iter().sum();
        assert!((4_900..=5_100).contains(&stands_for), "they stand for {stands_for}");
    }
}

#[test]
fn a_timeline_of_a_resumed_stream_begins_with_the_request_that_began_it() {
    let lines = [
        "level=INFO msg=x host=g1 at_ms=100 event=answered id=r-1 target=t-1",
        "level=INFO msg=x host=g2 at_ms=900 event=taken_up id=r-3 began_as=r-1 last_event=7",
        "level=INFO msg=x host=g2 at_ms=950 event=answered id=r-3 target=t-2",
        "level=INFO msg=x host=g1 at_ms=960 event=answered id=r-4 target=t-2",
        "level=INFO msg=x host=g1 at_ms=970 event=taken_up id=r-5 began_as=r-5 last_event=1",
    ];
    let steps = |id: &str| {
        let timeline = Timeline::of(id, lines.into_iter());
        timeline.steps.iter().map(|step| step.at_ms).collect::<Vec<u64>>()
    };
    assert_eq!(steps("r-3"), [100, 900, 950]);
    assert_eq!(steps("r-1"), [100]);
    assert_eq!(steps("r-5"), [970], "a request that names itself");
}
