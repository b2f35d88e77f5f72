//! What this box has seen of one server's health.
//!
//! Only requests count: a health check may be wrong either way, for all callers
//! or for some. A server that fails several requests in a row is left out for a
//! while, then tried with one request.
//!
//! What requests show fades with time. A server that is avoided for it gets none that
//! could show anything else: without that, three of four boxes sent all streams to one of
//! three servers for as long as they were watched, ten seconds after the others failed.

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
/// Time in which the share of failures halves while no request shows anything: what
/// fails for a part of requests does so for some seconds.
const RATE_HALVES: Duration = Duration::from_secs(3);
/// The same for the time to an answer beyond the usual one: a slow server is found out
/// about anew by one request of a box in some half a minute.
const TIME_HALVES: Duration = Duration::from_secs(8);
/// The same for requests that were turned away: a place comes free when one ends.
const TURNED_HALVES: Duration = Duration::from_millis(500);
/// Most refusals in a row that count.
const TURNED_MAX: f64 = 8.0;
/// Age of the newest time after which times no longer count.
const TIMED_WITHIN: Duration = Duration::from_secs(4);
/// Weight of the newest time in the mean time to an answer.
const TIME_WEIGHT: f64 = 0.2;

/// How one request at a server ended, as far as its health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Whole answer, or a refusal that is no failure.
    Succeeded,
    /// An error, a broken or spoiled answer.
    Errored,
    /// Nobody is there: the connection was refused, or another server has the
    /// address.
    NotListening,
    /// Silence, on one connection or while opening it.
    Unresponsive,
}

/// A figure that was set at one moment and fades from then on.
#[derive(Debug, Default)]
struct Fading(Cell<Option<(f64, Instant)>>);

impl Fading {
    fn set(&self, value: f64, now: Instant) {
        self.0.set(Some((value, now)));
    }

    /// What is left of it; it halves in each time of `halves`.
    fn left(&self, halves: Duration, now: Instant) -> f64 {
        let set = self.0.get();
        set.map_or(0.0, |(value, at)| value * part_left(at, halves, now))
    }
}

/// The part that is left of what was so at `at` and halves in each time of `halves`.
fn part_left(at: Instant, halves: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    0.5f64.powf(age / halves.as_secs_f64())
}

/// A server's record.
#[derive(Debug, Default)]
pub struct Health {
    in_row: Cell<u32>,
    rests: Cell<u32>,
    out_until: Cell<Option<Instant>>,
    /// When a request was last sent to it after it was left out.
    probed: Cell<Option<Instant>>,
    failure_rate: Fading,
    /// Requests that it turned away since it took one.
    turned: Fading,
    /// Mean time to an answer in ms.
    mean_latency_ms: Cell<Option<f64>>,
    /// When an answer last began.
    timed: Cell<Option<Instant>>,
}

impl Health {
    /// Records how a request ended.
    pub fn record(&self, outcome: Outcome, now: Instant) {
        self.probed.set(None);
        let failed = outcome != Outcome::Succeeded;
        let rate = self.failure_rate(now);
        let sample = if failed { 1.0 } else { 0.0 };
        let rate = rate + RATE_WEIGHT * (sample - rate);
        self.failure_rate.set(rate, now);
        if !failed {
            self.in_row.set(0);
            self.rests.set(0);
            self.out_until.set(None);
            return;
        }
        let weight = match outcome {
            Outcome::NotListening | Outcome::Unresponsive => 2,
            Outcome::Succeeded | Outcome::Errored => 1,
        };
        self.in_row.set(self.in_row.get() + weight);
        if self.in_row.get() >= FAILURES_MAX {
            let rest = REST_MIN * 2u32.pow(self.rests.get().min(4));
            self.out_until.set(Some(now + rest.min(REST_MAX)));
            self.rests.set(self.rests.get() + 1);
        }
    }

    /// Records the time to an answer, without that of reading a prompt.
    pub fn record_latency(&self, time: Duration, now: Instant) {
        self.turned.set(0.0, now);
        let sample = time.as_secs_f64() * 1e3;
        let mean = self.mean_latency_ms.get().unwrap_or(sample);
        self.mean_latency_ms
            .set(Some(mean + TIME_WEIGHT * (sample - mean)));
        self.timed.set(Some(now));
    }

    /// Records that it turned a request away.
    pub fn record_rejection(&self, now: Instant) {
        let turned = self.recent_rejections(now) + 1.0;
        self.turned.set(turned.min(TURNED_MAX), now);
    }

    /// Requests that it turned away lately and since it took one.
    pub fn recent_rejections(&self, now: Instant) -> f64 {
        self.turned.left(TURNED_HALVES, now)
    }

    /// Mean time to an answer in ms, once one is known.
    pub fn mean_latency_ms(&self) -> Option<f64> {
        self.mean_latency_ms.get()
    }

    /// Time to an answer in ms that is to be reckoned with, given the usual one.
    pub fn expected_latency_ms(&self, usual_ms: f64, now: Instant) -> f64 {
        let known = self.mean_latency_ms.get().zip(self.timed.get());
        known.map_or(usual_ms, |(time, at)| {
            usual_ms + (time - usual_ms) * part_left(at, TIME_HALVES, now)
        })
    }

    /// Mean time to an answer in ms, if an answer began lately: a server that is avoided for being
    /// slow is tried again after a while.
    pub fn recent_latency_ms(&self, now: Instant) -> Option<f64> {
        let timed = self.timed.get()?;
        let recent = now.duration_since(timed) < TIMED_WITHIN;
        self.mean_latency_ms.get().filter(|_| recent)
    }

    /// Share of recent requests that failed.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate.left(RATE_HALVES, now)
    }

    /// Whether the last request there did not fail.
    pub fn last_succeeded(&self) -> bool {
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
