//! Sums that decay with time.

use std::time::Duration;

use tidepier_clock::Instant;

/// The sum of recent values: the weight of each falls to a third within the window. In a
/// steady state it is the sum over one window.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sum {
    value: f64,
    at: Instant,
}

impl Sum {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }

    pub(crate) fn value_at(&self, window: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * (-age.as_secs_f64() / window.as_secs_f64()).exp()
    }

    pub(crate) fn add(&mut self, value: f64, window: Duration, now: Instant) {
        self.value = self.value_at(window, now) + value;
        self.at = now.max(self.at);
    }
}
