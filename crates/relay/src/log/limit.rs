//! A rate limit for log lines, so that a flood of requests does not become a flood
//! of lines.
//!
//! Invariant: every suppressed line is counted, and the count is logged before the
//! first line that passes in a later second.

use std::cell::Cell;
use std::time::Duration;

use log::info;
use tidepier_clock::Instant;

/// Allows a number of lines of one kind in each second.
#[derive(Debug)]
pub struct Limit {
    event: &'static str,
    per_second: u32,
    second: Cell<Option<Instant>>,
    passed: Cell<u32>,
    suppressed: Cell<u64>,
}

impl Limit {
    /// A limit for lines of the kind `event`.
    pub const fn new(event: &'static str, per_second: u32) -> Self {
        Self {
            event,
            per_second,
            second: Cell::new(None),
            passed: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Whether a line may be logged now. A line that may not is counted as suppressed;
    /// the first call in a later second logs the count.
    pub fn allows(&self, now: Instant) -> bool {
        let begun = self.second.get();
        if begun.is_none_or(|begun| now.duration_since(begun) >= Duration::from_secs(1)) {
            self.second.set(Some(now));
            self.passed.set(0);
            self.report_suppressed();
        }
        if self.passed.get() < self.per_second {
            self.passed.set(self.passed.get() + 1);
            return true;
        }
        self.suppressed.set(self.suppressed.get() + 1);
        metrics::counter!("tidepier_log_lines_held_total", "event" => self.event).increment(1);
        false
    }

    /// Number of suppressed lines that have not been reported yet.
    pub fn suppressed(&self) -> u64 {
        self.suppressed.get()
    }

    fn report_suppressed(&self) {
        let suppressed = self.suppressed.take();
        if suppressed > 0 {
            info!(target: "log", "event=lines_held of={} count={suppressed}", self.event);
        }
    }
}
