//! What this box has seen of one server's health.
//!
//! Only requests count: a health check may be wrong either way, for all callers
//! or for some. A server that fails several requests in a row is left out for a
//! while, then tried with one request.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;

/// Failures in a row after which a server is left out.
const FAILURES_MAX: u32 = 3;
/// First time that a server is left out; doubled each further time.
const REST_MIN: Duration = Duration::from_millis(800);
/// Longest time that a server is left out.
const REST_MAX: Duration = Duration::from_secs(6);
/// Time after which a request to a server that was left out counts as having
/// brought no result, such as when its client left.
const PROBE_TIME: Duration = Duration::from_secs(2);
/// Weight of the newest result in the failure rate.
const RATE_WEIGHT: f64 = 0.15;
/// Age of the newest time after which times no longer count.
const TIMED_WITHIN: Duration = Duration::from_secs(4);
/// Weight of the newest time in the mean time to an answer.
const TIME_WEIGHT: f64 = 0.2;

/// How one request at a server ended, as far as its health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Whole answer, or a refusal that is no failure.
    Good,
    /// An error, a broken or spoiled answer.
    Bad,
    /// Nobody is there: the connection was refused, or another server has the
    /// address.
    Absent,
    /// Silence, on one connection or while opening it.
    Silent,
}

/// A server's record.
#[derive(Debug, Default)]
pub struct Health {
    in_row: Cell<u32>,
    rests: Cell<u32>,
    out_until: Cell<Option<Instant>>,
    /// When a request was last sent to it after it was left out.
    probed: Cell<Option<Instant>>,
    failure_rate: Cell<f64>,
    /// Mean time to an answer in ms.
    time_ms: Cell<Option<f64>>,
    /// When an answer last began.
    timed: Cell<Option<Instant>>,
}

impl Health {
    /// Records how a request ended.
    pub fn record(&self, outcome: Outcome, now: Instant) {
        self.probed.set(None);
        let failed = outcome != Outcome::Good;
        let rate = self.failure_rate.get();
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate.set(rate + RATE_WEIGHT * (sample - rate));
        if !failed {
            self.in_row.set(0);
            self.rests.set(0);
            self.out_until.set(None);
            return;
        }
        let weight = match outcome {
            Outcome::Absent | Outcome::Silent => 2,
            Outcome::Good | Outcome::Bad => 1,
        };
        self.in_row.set(self.in_row.get() + weight);
        if self.in_row.get() >= FAILURES_MAX {
            let rest = REST_MIN * 2u32.pow(self.rests.get().min(4));
            self.out_until.set(Some(now + rest.min(REST_MAX)));
            self.rests.set(self.rests.get() + 1);
        }
    }

    /// Records the time to an answer, without that of reading a prompt.
    pub fn took(&self, time: Duration) {
        let sample = time.as_secs_f64() * 1e3;
        let mean = self.time_ms.get().unwrap_or(sample);
        self.time_ms.set(Some(mean + TIME_WEIGHT * (sample - mean)));
        self.timed.set(Some(Instant::now()));
    }

    /// Mean time to an answer in ms, once one is known.
    pub fn time_ms(&self) -> Option<f64> {
        self.time_ms.get()
    }

    /// The same, if an answer began lately: a server that is avoided for being
    /// slow is tried again after a while.
    pub fn recent_ms(&self, now: Instant) -> Option<f64> {
        let timed = self.timed.get()?;
        let recent = now.duration_since(timed) < TIMED_WITHIN;
        self.time_ms.get().filter(|_| recent)
    }

    /// Share of recent requests that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate.get()
    }

    /// Whether the last request there did not fail.
    pub fn is_sound(&self) -> bool {
        self.in_row.get() == 0
    }

    /// Whether it may get a request now.
    pub fn allows(&self, now: Instant) -> bool {
        match self.out_until.get() {
            None => true,
            Some(until) if now < until => false,
            Some(_) => {
                let probed = self.probed.get();
                probed.is_none_or(|at| now.duration_since(at) > PROBE_TIME)
            }
        }
    }

    /// Records that a request was sent.
    pub fn sent(&self, now: Instant) {
        if self.out_until.get().is_some() {
            self.probed.set(Some(now));
        }
    }
}
