//! The bounded queue between logging calls and the writer thread.
//!
//! Invariants:
//!
//! * The lock is held only to copy a line or to swap two buffers, never while
//!   writing.
//! * Lines that do not fit, or whose writing fails, are counted.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Most lines in the queue: ten seconds of request lines at
/// [`LINES_PER_SECOND`](super::LINES_PER_SECOND).
const QUEUE_LINES_MAX: usize = 2_048;
/// Most bytes in the queue: bounds the memory used while the reader stalls.
const QUEUE_BYTES_MAX: usize = 256 << 10;
/// Most bytes of one write. Writes to a pipe are atomic up to this size (`PIPE_BUF` on
/// Linux), so that the lines of processes that share a pipe stay intact.
const WRITE_BYTES_MAX: usize = 4 << 10;
/// Capacity that a buffer keeps after use, in bytes: the size of a usual batch.
const BUFFER_CAPACITY_MAX: usize = 16 << 10;
/// Time after the first line of a batch in which further lines join it. Batching saves
/// wake-ups and system calls; the delay is short enough for a person who follows the
/// log.
const GATHER_TIME: Duration = Duration::from_millis(50);
/// Longest wait for the last lines before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Stack size of the writer thread, in bytes. It only calls `write`.
const STACK_BYTES: usize = 64 << 10;
/// A bounded queue of log lines and its writer thread.
#[derive(Clone)]
pub struct Queue(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    /// Notified when a line enters the empty queue or a flush is requested.
    arrived: Condvar,
    /// Notified after each batch is written.
    written: Condvar,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    lines: usize,
    /// Lines that did not fit or could not be written.
    dropped: u64,
    /// The part of `dropped` that has been reported in the log.
    reported: u64,
    /// Whether a batch taken from the queue is being written.
    writing: bool,
    /// Whether a flush waits until everything is written.
    flushing: bool,
}

impl Queue {
    /// Creates a queue and starts a thread that writes it to `out`.
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

    /// Number of lines that were dropped.
    pub fn dropped(&self) -> u64 {
        self.state().dropped
    }

    /// Waits a short time until everything is written; returns whether it is.
    pub fn flush(&self) -> bool {
        let mut state = self.state();
        state.flushing = true;
        self.0.arrived.notify_one();
        let waited = self
            .0
            .written
            .wait_timeout_while(state, FLUSH_TIMEOUT, |state| {
                state.lines > 0 || state.writing
            });
        let (mut state, timeout) = waited.unwrap_or_else(|poison| poison.into_inner());
        state.flushing = false;
        !timeout.timed_out()
    }

    /// Adds a line, which includes its newline.
    pub(super) fn push(&self, line: &[u8]) {
        let mut state = self.state();
        if state.lines >= QUEUE_LINES_MAX || state.bytes.len() + line.len() > QUEUE_BYTES_MAX {
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
            let outcome = write_lines(&mut out, &batch);
            let mut state = self.state();
            state.writing = false;
            if outcome.is_err() {
                // Writing the log failed, so the failure cannot be logged; the
                // lines are counted.
                state.dropped += lines as u64;
                metrics::counter!("tidepier_log_lines_dropped_total").increment(lines as u64);
            }
            self.0.written.notify_all();
        }
    }

    /// Waits for a line, gathers further ones for a short time, and takes all of them;
    /// returns how many.
    fn take(&self, batch: &mut Vec<u8>) -> usize {
        batch.clear();
        batch.shrink_to(BUFFER_CAPACITY_MAX);
        let shared = &self.0;
        let empty = |state: &mut State| state.lines == 0;
        let first = shared.arrived.wait_while(self.state(), empty);
        let first = first.unwrap_or_else(|poison| poison.into_inner());
        let not_flushing = |state: &mut State| !state.flushing;
        let rest = shared
            .arrived
            .wait_timeout_while(first, GATHER_TIME, not_flushing);
        let (mut state, _) = rest.unwrap_or_else(|poison| poison.into_inner());
        std::mem::swap(&mut state.bytes, batch);
        state.writing = true;
        report_dropped(&mut state, batch);
        std::mem::take(&mut state.lines)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A panic while the lock was held leaves the state consistent.
        let state = self.0.state.lock();
        state.unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Writes the lines in chunks, each with as many complete lines as fit into one write.
fn write_lines(out: &mut impl Write, mut lines: &[u8]) -> io::Result<()> {
    while !lines.is_empty() {
        let most = lines.len().min(WRITE_BYTES_MAX);
        let end = lines[..most].iter().rposition(|byte| *byte == b'\n');
        let (now, rest) = lines.split_at(end.map_or(most, |end| end + 1));
        out.write_all(now)?;
        out.flush()?;
        lines = rest;
    }
    Ok(())
}

/// Appends a line with the number of newly dropped lines, with the timestamp of the
/// last line of the batch.
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
