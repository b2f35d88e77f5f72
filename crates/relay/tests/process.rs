//! The settings, the log and the metrics of a router process.

use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::{env, fs, process};

use log::{LevelFilter, Log};
use metrics::{Key, Level, Metadata, Recorder};
use tidepier_clock::Instant;
use tidepier_relay::log::{logger, Limit, Queue};
use tidepier_relay::metrics::Registry;
use tidepier_relay::settings::{self, Millis, Ports, Settings};

/// A settings file as the platform generates it from the template.
const SAMPLE: &str = include_str!("data/settings.json");

/// Reads `text` as a settings file.
fn read(name: &str, text: &str) -> Result<Settings, settings::Error> {
    let folder = env::temp_dir().join(format!("tidepier-relay-{}", process::id()));
    fs::create_dir_all(&folder).expect("folder");
    let file: PathBuf = folder.join(name);
    fs::write(&file, text).expect("file");
    let settings = settings::read(&file);
    fs::remove_file(&file).expect("file");
    settings
}

/// The error for the sample with `from` replaced by `to`.
fn error_text(name: &str, from: &str, to: &str) -> String {
    assert!(SAMPLE.contains(from), "the sample lacks {from}");
    let error = read(name, &SAMPLE.replacen(from, to, 1)).expect_err("bad settings");
    let text = error.to_string();
    let (_, error_text) = text.split_once(&format!("{name}:")).expect("file");
    error_text.into()
}

#[test]
fn a_generated_settings_file_is_read() {
    let settings = read("whole", SAMPLE).expect("settings");
    let ports = Ports {
        first: 17_340,
        last: 17_355,
    };
    assert_eq!(settings.peer_ports, Some(ports));
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.limits.descriptors, 4_100);
    assert_eq!(settings.limits.memory_mb, 260.0);
    assert_eq!(settings.limits.link_mbps, 1_000.0);
    assert!(settings.first_start);
    assert_eq!(settings.bounds.retry_extra, 58.0);
    let bounds = &settings.bounds;
    assert_eq!((bounds.cold_overage, bounds.cold_tolerance), (1.5, 5.0));
    assert_eq!(bounds.empty_within.duration(), Duration::from_secs(5));
    assert_eq!(settings.regions.len(), 2);
    let stop = settings.bounds.stop_within;
    assert_eq!(stop.duration(), Duration::from_secs(8));
}

/// Runs the program with `--check` on `text` as a settings file.
fn check(name: &str, text: &str) -> process::Output {
    let file = env::temp_dir().join(format!("tidepier-relay-{}-{name}", process::id()));
    fs::write(&file, text).expect("file");
    let program = process::Command::new(env!("CARGO_BIN_EXE_tidepier-relay"))
        .args(["--check", "--settings"])
        .arg(&file)
        .output();
    fs::remove_file(&file).expect("file");
    program.expect("program")
}

#[test]
fn the_program_starts_and_checks_its_settings() {
    let good = check("good", SAMPLE);
    assert_eq!(good.status.code(), Some(0), "{good:?}");
    let bad = check("bad", "{}");
    assert_eq!(bad.status.code(), Some(2), "{bad:?}");
}

#[test]
fn retry_extra_may_be_a_fraction() {
    let text = SAMPLE.replacen("\"retry_extra\": 58", "\"retry_extra\": 39.07", 1);
    let settings = read("fraction", &text).expect("settings");
    assert_eq!(settings.bounds.retry_extra, 39.07);
}

#[test]
fn omitted_fields_have_defaults() {
    let text = r#"{"name": "b", "hall": "h", "callers": "127.0.0.1:1",
        "store": {"address": "127.0.0.1:2"}}"#;
    let settings = read("small", text).expect("settings");
    assert_eq!(settings.bounds, settings::Bounds::default());
    assert_eq!(settings.limits, settings::Limits::default());
    assert_eq!(settings.limits.request_bytes(), 28_000_000);
    assert!(settings.readiness.is_none() && settings.seeds.is_empty());
    assert!(settings.bounds.revoke_when_blind);
    assert_eq!(settings.bounds.retry_extra, 0.0);
}

#[test]
fn bad_settings_name_file_line_and_field() {
    let address = error_text("address", "127.0.0.1:18227", "here");
    assert!(
        address.starts_with("4: at callers: invalid socket address syntax"),
        "{address}"
    );
    let number = error_text("number", "4100", "\"much\"");
    assert!(
        number.starts_with("11: at descriptors: invalid type"),
        "{number}"
    );
    let tolerance = error_text(
        "tolerance",
        "\"cold_tolerance\": 5",
        "\"cold_tolerance\": -1",
    );
    assert!(
        tolerance.ends_with("at bounds.cold_tolerance: found -1; allowed: 0 or more"),
        "{tolerance}"
    );
    let range = error_text("range", "0.2,", "1.5,");
    assert_eq!(
        range,
        "20: at bounds.retry_share: found 1.5; allowed: 0 to 1"
    );
    let zero = error_text("zero", "\"10s\"", "0");
    assert_eq!(
        zero,
        "21: at bounds.retry_window: found 0ms; allowed: more than 0ms"
    );
    let span = error_text("span", "\"8s\"", "\"soon\"");
    assert!(
        span.starts_with("19: at stop_within: found \"soon\"; allowed: 0ms to 86400s"),
        "{span}"
    );
    let ports = error_text("ports", "17355", "17339");
    assert!(
        ports.starts_with("7: at peer_ports: found 17340 to 17339"),
        "{ports}"
    );
    let missing = error_text("missing", "\"address\": \"127.0.0.1:18223\"", "\"x\": 1");
    assert!(missing.contains("missing field `address`"), "{missing}");
    let broken = error_text("broken", "\"bounds\": {", "\"bounds\": {,");
    assert!(
        broken.starts_with("18: at bounds: key must be a string"),
        "{broken}"
    );
    let absent = settings::read("no/such/file".as_ref()).expect_err("no file");
    assert!(absent.to_string().starts_with("no/such/file: "), "{absent}");
}

#[test]
fn time_spans_are_read_in_both_units() {
    let parse = |text: &str| text.parse::<Millis>().map(Millis::duration);
    assert_eq!(parse("250ms"), Ok(Duration::from_millis(250)));
    assert_eq!(parse("1.5s"), Ok(Duration::from_millis(1_500)));
    assert_eq!(parse("2000.0ms"), Ok(Duration::from_secs(2)));
    assert_eq!(parse("70"), Ok(Duration::from_millis(70)));
    for bad in ["", "ms", "-1s", "NaN", "infs", "86401s", "1h"] {
        assert!(parse(bad).is_err(), "{bad}");
    }
}

/// An output whose reader stalls until it is released.
struct StalledOutput {
    gate: Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Once the sender is dropped, writes no longer block.
        let _ = self.gate.recv();
        self.text.lock().expect("text").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stalled_queue() -> (Queue, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (unblock, gate) = channel();
    let text = Arc::<Mutex<Vec<u8>>>::default();
    let out = StalledOutput {
        gate,
        text: text.clone(),
    };
    (Queue::start(out).expect("thread"), unblock, text)
}

fn log_line(logger: &dyn Log, text: std::fmt::Arguments<'_>) {
    let mut record = log::Record::builder();
    let record = record.level(log::Level::Info).target("request");
    logger.log(&record.args(text).build());
}

fn lines(text: &Mutex<Vec<u8>>) -> Vec<String> {
    let text = text.lock().expect("text");
    let text = std::str::from_utf8(&text).expect("text");
    assert!(text.ends_with('\n'), "a line is truncated");
    text.lines().map(String::from).collect()
}

/// Records each write separately.
#[derive(Clone, Default)]
struct Writes(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for Writes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("writes").push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_logged_together_are_written_whole() {
    const LINES: usize = 300;
    const WRITE_BYTES: usize = 4 << 10;
    let writes = Writes::default();
    let queue = Queue::start(writes.clone()).expect("thread");
    let logger = logger(LevelFilter::Info, &queue);
    for number in 0..LINES {
        let padding = "x".repeat(number);
        log_line(
            &*logger,
            format_args!("event=server number={number} {padding}"),
        );
    }
    assert!(queue.flush(), "not written");
    let writes = writes.0.lock().expect("writes");
    for bytes in writes.iter() {
        assert!(bytes.len() <= WRITE_BYTES, "{} bytes at once", bytes.len());
        assert!(bytes.ends_with(b"\n"), "a line is truncated");
    }
    let written = writes.concat();
    let lines = written.iter().filter(|byte| **byte == b'\n').count();
    assert_eq!(lines, LINES);
}

#[test]
fn a_stalled_reader_drops_lines_without_blocking() {
    const LINES: usize = 20_000;
    let (queue, unblock, text) = stalled_queue();
    let logger = logger(LevelFilter::Info, &queue);
    let begun = Instant::now();
    for number in 0..LINES {
        log_line(&*logger, format_args!("event=placed number={number}"));
    }
    // A single blocked call would last until `unblock` is dropped below.
    assert!(begun.elapsed() < Duration::from_secs(5));
    assert!(!queue.flush(), "nothing could be written");
    let dropped = queue.dropped();
    assert!(dropped > 0);
    drop(unblock);
    let begun = Instant::now();
    while !queue.flush() {
        assert!(begun.elapsed() < Duration::from_secs(10), "never written");
    }
    let lines = lines(&text);
    let (reports, placed): (Vec<_>, Vec<_>) = lines
        .iter()
        .partition(|line| line.contains("lines_dropped"));
    assert_eq!(placed.len() as u64 + dropped, LINES as u64);
    let counts = reports.iter().map(|line| {
        let (_, count) = line.split_once("count=").expect("count");
        count.parse::<u64>().expect("count")
    });
    assert_eq!(counts.sum::<u64>(), dropped);
    for line in &lines {
        let (time, _) = line.split_once(' ').expect("time");
        assert!(time.starts_with("20") && time.ends_with('Z'), "{line}");
    }
}

#[test]
fn lines_are_complete_and_bounded() {
    let (queue, unblock, text) = stalled_queue();
    drop(unblock);
    let logger = logger(LevelFilter::Info, &queue);
    log_line(
        &*logger,
        format_args!("event=long text={}", "x".repeat(100_000)),
    );
    log_line(&*logger, format_args!("event=next"));
    assert!(queue.flush());
    let lines = lines(&text);
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0].len(), 4_095);
    assert!(
        lines[1].ends_with("Z [INFO] request: event=next"),
        "{}",
        lines[1]
    );
    assert_eq!(queue.dropped(), 0);
}

#[test]
fn a_limit_suppresses_and_counts_lines() {
    let limit = Limit::new("placed", 3);
    let begun = Instant::now();
    let passed = (0..10).filter(|_| limit.allows(begun)).count();
    assert_eq!(passed, 3);
    assert_eq!(limit.suppressed(), 7);
    assert!(!limit.allows(begun + Duration::from_millis(999)));
    assert!(limit.allows(begun + Duration::from_secs(1)));
    assert_eq!(limit.suppressed(), 0);
}

#[test]
fn metrics_are_bounded_and_rendered_as_text() {
    let registry = Registry::default();
    let metadata = Metadata::new("test", Level::INFO, None);
    let labels = [("why", "a \"b\"\\\n")];
    let refused = Key::from_parts("refused", &labels);
    registry.register_counter(&refused, &metadata).increment(2);
    registry.register_counter(&refused, &metadata).increment(1);
    let taken = registry.register_histogram(&Key::from_name("taken"), &metadata);
    for sample in [0.001, 0.3, 100.0] {
        taken.record(sample);
    }
    let text = registry.render();
    for line in [
        "# TYPE refused counter",
        r#"refused{why="a \"b\"\\\n"} 3"#,
        r#"taken_bucket{le="0.001"} 1"#,
        r#"taken_bucket{le="0.25"} 1"#,
        r#"taken_bucket{le="0.5"} 2"#,
        r#"taken_bucket{le="+Inf"} 3"#,
        "taken_sum 100.301",
        "taken_count 3",
        "tidepier_metrics_refused_total 0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in\n{text}");
    }
    for number in 0..600 {
        let labels = [("server", number.to_string())];
        let key = Key::from_parts("open", &labels);
        registry.register_gauge(&key, &metadata).set(1.0);
    }
    let text = registry.render();
    let open = text.lines().filter(|line| line.starts_with("open{"));
    assert_eq!(open.count(), 510);
    assert!(text.contains("tidepier_metrics_refused_total 90"));
}
