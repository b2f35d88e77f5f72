//! Structured log lines that never hold the process up.
//!
//! A line is `TIME [LEVEL] TARGET: event=NAME key=value ...`. Whoever logs
//! only copies the line into a bounded queue; a thread writes the queue out.
//! A reader of the log that stalls therefore costs lines and never time.
//!
//! Invariants:
//!
//! * Logging waits for no reader. The lock of the queue is held for the
//!   copying of a line and the swap of two buffers, never while writing.
//! * Every line that is not written is counted, and the count is logged once
//!   there is room.
//! * What waits is bounded in lines and bytes, and so is the length of a line.
//! * Lines are written whole, so that a reader of several processes gets none
//!   that ends within another's.

use std::cell::Cell;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub use ::log::{debug, error, info, trace, warn};
use ::log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use simplelog::{Config, ConfigBuilder, LevelPadding, WriteLogger};

/// Most lines that wait to be written: ten seconds of request lines at
/// [`LINES_PER_SECOND`].
const LINES_WAITING: usize = 2_048;
/// Most bytes of lines that wait to be written; what a stalled reader may cost
/// in memory.
const BYTES_WAITING: usize = 256 << 10;
/// Target of the lines on what became of one request.
const REQUEST_TARGET: &str = "request";
/// Longest line, in bytes; the rest of a longer one is cut off.
const LINE_BYTES: usize = 4 << 10;
/// Most bytes of one write: up to this size a pipe takes all or nothing
/// (`PIPE_BUF` of Linux), so that lines of processes that share one stay whole.
const WRITE_BYTES: usize = 4 << 10;
/// Room that a buffer keeps after use, in bytes: the lines of a usual batch.
const BUFFER_KEPT: usize = 16 << 10;
/// Time after a first line in which others are gathered into one write. Saves
/// wake-ups and system calls; short enough for someone who follows the log.
const GATHER: Duration = Duration::from_millis(50);
/// Longest wait for the last lines at the end of the process.
const FLUSH: Duration = Duration::from_millis(200);
/// Stack of the writing thread, in bytes. It only calls `write`.
const STACK_BYTES: usize = 64 << 10;
/// Request lines per second and event. A box at its usual share of a core
/// decides on fewer requests per second when it is not pressed.
pub const LINES_PER_SECOND: u32 = 200;

/// Lines on their way to the reader.
#[derive(Clone)]
pub struct Queue(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    /// A line came into the empty queue, or someone wants it written now.
    arrived: Condvar,
    /// Everything was written.
    written: Condvar,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    lines: usize,
    /// Lines that were not taken or could not be written.
    dropped: u64,
    /// Those of them that the log has reported.
    reported: u64,
    /// Bytes that were taken from the queue are being written.
    writing: bool,
    /// Someone waits for the end of the writing.
    hurry: bool,
}

impl Queue {
    /// A queue that a thread of its own writes to `out`.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let queue = Self(Arc::new(Shared {
            state: Mutex::default(),
            arrived: Condvar::new(),
            written: Condvar::new(),
        }));
        let thread = thread::Builder::new().name("log".into());
        let writing = queue.clone();
        thread
            .stack_size(STACK_BYTES)
            .spawn(move || writing.write_to(out))?;
        Ok(queue)
    }

    /// The end into which lines are put.
    pub fn lines(&self) -> Lines {
        Lines {
            queue: self.clone(),
            partial: Vec::new(),
        }
    }

    /// Lines that were not written.
    pub fn dropped(&self) -> u64 {
        self.state().dropped
    }

    /// Waits until everything is written, but not for long; whether it is.
    pub fn flush(&self) -> bool {
        let mut state = self.state();
        state.hurry = true;
        self.0.arrived.notify_one();
        let waited = self
            .0
            .written
            .wait_timeout_while(state, FLUSH, |state| state.lines > 0 || state.writing);
        let (mut state, timeout) = waited.unwrap_or_else(|poison| poison.into_inner());
        state.hurry = false;
        !timeout.timed_out()
    }

    /// Adds a line, its end included.
    fn push(&self, line: &[u8]) {
        let mut state = self.state();
        if state.lines >= LINES_WAITING || state.bytes.len() + line.len() > BYTES_WAITING {
            state.dropped += 1;
            drop(state);
            metrics::counter!("tidepier_log_lines_dropped_total").increment(1);
            return;
        }
        state.bytes.extend_from_slice(line);
        state.lines += 1;
        if state.lines == 1 {
            self.0.arrived.notify_one();
        }
    }

    fn write_to(&self, mut out: impl Write) {
        let mut batch = Vec::new();
        loop {
            let lines = self.take(&mut batch);
            let outcome = write_whole(&mut out, &batch);
            let mut state = self.state();
            state.writing = false;
            if outcome.is_err() {
                // The log itself is broken: there is no place to say so.
                state.dropped += lines as u64;
                metrics::counter!("tidepier_log_lines_dropped_total").increment(lines as u64);
            }
            self.0.written.notify_all();
        }
    }

    /// Waits for lines and takes all that come for a while; returns how many.
    fn take(&self, batch: &mut Vec<u8>) -> usize {
        batch.clear();
        batch.shrink_to(BUFFER_KEPT);
        let shared = &self.0;
        let empty = |state: &mut State| state.lines == 0;
        let first = shared.arrived.wait_while(self.state(), empty);
        let first = first.unwrap_or_else(|poison| poison.into_inner());
        let calm = |state: &mut State| !state.hurry;
        let rest = shared.arrived.wait_timeout_while(first, GATHER, calm);
        let (mut state, _) = rest.unwrap_or_else(|poison| poison.into_inner());
        std::mem::swap(&mut state.bytes, batch);
        state.writing = true;
        report_dropped(&mut state, batch);
        std::mem::take(&mut state.lines)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The state is whole between any two statements that change it.
        let state = self.0.state.lock();
        state.unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Writes whole lines at a time, as many as fit into one write.
fn write_whole(out: &mut impl Write, mut lines: &[u8]) -> io::Result<()> {
    while !lines.is_empty() {
        let most = lines.len().min(WRITE_BYTES);
        let end = lines[..most].iter().rposition(|byte| *byte == b'\n');
        let (now, rest) = lines.split_at(end.map_or(most, |end| end + 1));
        out.write_all(now)?;
        out.flush()?;
        lines = rest;
    }
    Ok(())
}

/// Appends a line on those that were dropped, under the time of the last line.
fn report_dropped(state: &mut State, batch: &mut Vec<u8>) {
    if state.dropped == state.reported {
        return;
    }
    let count = state.dropped - state.reported;
    state.reported = state.dropped;
    let before = batch.strip_suffix(b"\n").unwrap_or(batch);
    let start = before.iter().rposition(|byte| *byte == b'\n');
    let start = start.map_or(0, |end| end + 1);
    let time = before[start..].iter().position(|byte| *byte == b' ');
    let end = time.map_or(start, |length| start + length);
    batch.extend_from_within(start..end);
    let line = format!(" [WARN] log: event=lines_dropped count={count}\n");
    batch.extend_from_slice(line.as_bytes());
}

/// The end of a [`Queue`] into which lines are put.
pub struct Lines {
    queue: Queue,
    /// The line that has not ended yet.
    partial: Vec<u8>,
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            let text = part.strip_suffix(b"\n");
            let room = LINE_BYTES.saturating_sub(self.partial.len() + 1);
            let taken = text.unwrap_or(part);
            let taken = &taken[..taken.len().min(room)];
            self.partial.extend_from_slice(taken);
            if text.is_some() {
                self.partial.push(b'\n');
                self.queue.push(&self.partial);
                self.partial.clear();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A logger into `queue`.
pub fn logger(level: LevelFilter, queue: &Queue) -> Box<WriteLogger<Lines>> {
    WriteLogger::new(level, format(), queue.lines())
}

/// Why logging could not be set up.
#[derive(Debug)]
pub enum Error {
    /// The writing thread cannot be started.
    Thread(io::Error),
    /// The process has a logger already.
    Twice(SetLoggerError),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Thread(error) => write!(f, "the log's thread cannot be started: {error}"),
            Error::Twice(error) => write!(f, "the log cannot be set up: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Makes standard output the log of the process. The queue that is returned
/// wants a [`Queue::flush`] at the end.
///
/// # Errors
///
/// The writing thread cannot be started, or there is a logger already.
pub fn init(level: LevelFilter) -> Result<Queue, Error> {
    let queue = Queue::start(io::stdout()).map_err(Error::Thread)?;
    let limited = Limited {
        logger: logger(level, &queue),
        limit: Mutex::new(Limit::new("request", LINES_PER_SECOND)),
    };
    ::log::set_boxed_logger(Box::new(limited)).map_err(Error::Twice)?;
    ::log::set_max_level(level);
    Ok(queue)
}

/// Holds lines about requests back past a rate; all others go through.
struct Limited {
    logger: Box<WriteLogger<Lines>>,
    limit: Mutex<Limit>,
}

impl Limited {
    fn passes(&self, record: &Record<'_>) -> bool {
        if record.target() != REQUEST_TARGET {
            return true;
        }
        // A limit is whole between any two of its statements.
        let limit = self.limit.lock();
        let limit = limit.unwrap_or_else(|poison| poison.into_inner());
        limit.passes(Instant::now())
    }
}

impl Log for Limited {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) && self.passes(record) {
            self.logger.log(record);
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

fn format() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_level_padding(LevelPadding::Off)
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}

/// Lets so many lines of one event through in each second.
#[derive(Debug)]
pub struct Limit {
    event: &'static str,
    per_second: u32,
    second: Cell<Option<Instant>>,
    passed: Cell<u32>,
    held: Cell<u64>,
}

impl Limit {
    /// A limit for the lines of `event`.
    pub const fn new(event: &'static str, per_second: u32) -> Self {
        Self {
            event,
            per_second,
            second: Cell::new(None),
            passed: Cell::new(0),
            held: Cell::new(0),
        }
    }

    /// Whether a line may be logged now. The lines of a second that were held
    /// back are counted, and the count is logged with the next second's first.
    pub fn passes(&self, now: Instant) -> bool {
        let begun = self.second.get();
        if begun.is_none_or(|begun| now.duration_since(begun) >= Duration::from_secs(1)) {
            self.second.set(Some(now));
            self.passed.set(0);
            self.report_held();
        }
        if self.passed.get() < self.per_second {
            self.passed.set(self.passed.get() + 1);
            return true;
        }
        self.held.set(self.held.get() + 1);
        metrics::counter!("tidepier_log_lines_held_total", "event" => self.event).increment(1);
        false
    }

    /// Lines that were held back and not reported yet.
    pub fn held(&self) -> u64 {
        self.held.get()
    }

    fn report_held(&self) {
        let held = self.held.take();
        if held > 0 {
            info!(target: "log", "event=lines_held of={} count={held}", self.event);
        }
    }
}
