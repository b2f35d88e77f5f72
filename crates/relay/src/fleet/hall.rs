//! What this box knows of one data hall.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;

/// Weight of the newest time in the mean time to a hall.
const WAY_WEIGHT: f64 = 0.05;
/// Time that a hall is avoided after one of its servers was silent, unless
/// another of them is heard.
const HALL_TIME: Duration = Duration::from_millis(2_500);
/// What is heard so shortly before a silence is found does not refute it: the
/// silence began before it was found.
const HALL_SLACK: Duration = Duration::from_millis(150);

/// What this box has seen of the servers of one hall together. When a hall is
/// cut off, each of its servers would otherwise be found silent by itself.
#[derive(Debug, Default)]
pub struct Hall {
    /// Mean time in ms to open a connection to one of its servers.
    round_trip_ms: Cell<Option<f64>>,
    silent: Cell<Option<Instant>>,
    heard: Cell<Option<Instant>>,
    /// Whether the operator asked to send nothing there.
    emptied: Cell<bool>,
    /// When the operator took it back.
    returned: Cell<Option<Instant>>,
}

impl Hall {
    /// Records how long it took to open a connection to one of its servers:
    /// about the time there and back.
    pub fn record_connect_time(&self, took: Duration) {
        let sample = took.as_secs_f64() * 1e3;
        let mean = self.round_trip_ms.get().unwrap_or(sample);
        self.round_trip_ms
            .set(Some(mean + WAY_WEIGHT * (sample - mean)));
    }

    /// Mean time there and back in ms, once a connection was opened.
    pub fn round_trip_ms(&self) -> Option<f64> {
        self.round_trip_ms.get()
    }

    /// Records that something came from one of its servers.
    pub fn hear(&self, now: Instant) {
        self.heard.set(Some(now));
    }

    /// Whether something came from one of its servers less than `most` ago.
    pub fn received_within(&self, most: Duration, now: Instant) -> bool {
        let heard = self.heard.get();
        heard.is_some_and(|heard| now.duration_since(heard) < most)
    }

    /// Records that one of its servers was found silent.
    pub fn miss(&self, now: Instant) {
        self.silent.set(Some(now));
    }

    /// Whether the hall seems to be cut off.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let Some(silent) = self.silent.get() else {
            return false;
        };
        let refuted = self
            .heard
            .get()
            .is_some_and(|heard| heard + HALL_SLACK > silent);
        !refuted && now.duration_since(silent) < HALL_TIME
    }

    /// Whether the operator asked to send nothing there.
    pub fn is_emptied(&self) -> bool {
        self.emptied.get()
    }

    /// Records what the operator asked; returns whether that is new.
    pub fn set_emptied(&self, emptied: bool, now: Instant) -> bool {
        let is_new = self.emptied.replace(emptied) != emptied;
        if is_new && !emptied {
            self.returned.set(Some(now));
        }
        is_new
    }

    /// Whether the operator took it back less than `time` ago: its servers may
    /// have turned cold before, and nothing was sent that would have shown it.
    pub fn returned_within(&self, time: Duration, now: Instant) -> bool {
        let returned = self.returned.get();
        returned.is_some_and(|at| now.saturating_duration_since(at) < time)
    }
}
