//! A rate limit for the log lines of one event, so that a flood of requests
//! does not become a flood of lines.
//!
//! Invariant: every line that is held back is counted, and the count is logged
//! with the first line of a later second.

use std::cell::Cell;
use std::time::Duration;

use log::info;
use tidepier_clock::Instant;

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
