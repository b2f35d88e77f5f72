//! What this box has observed of one data hall.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;

/// Weight of the newest sample in the mean round-trip time to a hall.
const ROUND_TRIP_WEIGHT: f64 = 0.05;
/// Time for which a hall is avoided since one of its servers became unresponsive, unless data
/// comes from another of them.
const AVOID_TIME: Duration = Duration::from_millis(2_500);

/// What this box has observed of the servers of one hall together. When a hall is
/// partitioned from this box, each of its servers would otherwise have to be found
/// unresponsive by itself.
#[derive(Debug, Default)]
pub struct Hall {
    /// Mean time in ms to open a connection to one of its servers.
    round_trip_ms: Cell<Option<f64>>,
    /// When a server was last sent something that it did not answer.
    unresponsive_since: Cell<Option<Instant>>,
    last_received: Cell<Option<Instant>>,
    /// Whether the operator requested to empty the hall.
    emptied: Cell<bool>,
    /// When the operator cancelled the emptying.
    cancelled_at: Cell<Option<Instant>>,
}

impl Hall {
    /// Records how long it took to open a connection to one of its servers, which is
    /// about one round trip.
    pub fn record_connect_time(&self, took: Duration) {
        let sample = took.as_secs_f64() * 1e3;
        let mean = self.round_trip_ms.get().unwrap_or(sample);
        self.round_trip_ms
            .set(Some(mean + ROUND_TRIP_WEIGHT * (sample - mean)));
    }

    /// Mean round-trip time in ms, once a connection has been opened.
    pub fn round_trip_ms(&self) -> Option<f64> {
        self.round_trip_ms.get()
    }

    /// Mean round-trip time, once a connection has been opened.
    pub fn round_trip(&self) -> Option<Duration> {
        let ms = self.round_trip_ms()?;
        Duration::try_from_secs_f64(ms / 1e3).ok()
    }

    /// Records that data came from one of its servers.
    pub fn record_received(&self, now: Instant) {
        self.last_received.set(Some(now));
    }

    /// Whether data came from one of its servers less than `max_age` ago.
    pub fn received_within(&self, max_age: Duration, now: Instant) -> bool {
        let last_received = self.last_received.get();
        last_received.is_some_and(|last_received| now.duration_since(last_received) < max_age)
    }

    /// Records that one of its servers was unresponsive from a time on, when it was sent what
    /// it has not answered.
    pub fn record_unresponsive(&self, since: Instant) {
        self.unresponsive_since
            .set(self.unresponsive_since.get().max(Some(since)));
    }

    /// Whether the hall seems to be partitioned from this box.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let Some(since) = self.unresponsive_since.get() else {
            return false;
        };
        let is_refuted = self.last_received.get().is_some_and(|at| at >= since);
        !is_refuted && now.saturating_duration_since(since) < AVOID_TIME
    }

    /// Whether the operator requested to empty the hall.
    pub fn is_emptied(&self) -> bool {
        self.emptied.get()
    }

    /// Records whether the operator requested to empty the hall. Returns whether that
    /// changed.
    pub fn set_emptied(&self, emptied: bool, now: Instant) -> bool {
        let is_new = self.emptied.replace(emptied) != emptied;
        if is_new && !emptied {
            self.cancelled_at.set(Some(now));
        }
        is_new
    }

    /// Whether the operator cancelled the emptying of the hall less than `time` ago. Its
    /// servers may have turned cold while it was empty, and no request was sent that
    /// would have shown it.
    pub fn emptying_cancelled_within(&self, time: Duration, now: Instant) -> bool {
        let cancelled_at = self.cancelled_at.get();
        cancelled_at.is_some_and(|at| now.saturating_duration_since(at) < time)
    }
}
