//! The bounded queue between those who log and the thread that writes.
//!
//! Invariants:
//!
//! * The lock is held for the copying of a line and the swap of two buffers,
//!   never while writing.
//! * Lines that find no room, or whose writing fails, are counted.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Most lines that wait to be written: ten seconds of request lines at
/// [`LINES_PER_SECOND`](super::LINES_PER_SECOND).
const LINES_WAITING: usize = 2_048;
/// Most bytes of lines that wait to be written; what a stalled reader may cost
/// in memory.
const BYTES_WAITING: usize = 256 << 10;
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
    pub(super) fn push(&self, line: &[u8]) {
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
