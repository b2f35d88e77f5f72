//! A budget for retries: a share of recent successes, so that a fault of many
//! engines does not multiply the load on the others.

use std::sync::Mutex;

/// Retries earned by each success.
const EARNED: f64 = 0.1;
/// Retries that can be saved up.
const SAVED: f64 = 50.0;
/// Retries at hand in a fresh process.
const START: f64 = 10.0;

/// The budget of one router.
#[derive(Debug)]
pub(crate) struct Budget(Mutex<f64>);

impl Default for Budget {
    fn default() -> Self {
        Self(Mutex::new(START))
    }
}

impl Budget {
    /// Counts a success.
    pub(crate) fn earn(&self) {
        let mut left = self.0.lock().unwrap_or_else(|e| e.into_inner());
        *left = (*left + EARNED).min(SAVED);
    }

    /// Takes the retry of a request whose engine is gone. The first one of each
    /// request is not taken from the budget: what it ran on is gone with it, so
    /// that the engines left get each request of the lost one once more at most,
    /// through their keeper's bound and queue. The streams of one engine can be
    /// more than any budget that is saved up.
    pub(crate) fn move_on(&self, moved: &mut bool) -> bool {
        if std::mem::replace(moved, true) {
            return self.spend();
        }
        metrics::counter!("tidepier_retries_total").increment(1);
        true
    }

    /// Takes one retry, if any is left.
    pub(crate) fn spend(&self) -> bool {
        let mut left = self.0.lock().unwrap_or_else(|e| e.into_inner());
        if *left < 1.0 {
            metrics::counter!("tidepier_retries_denied_total").increment(1);
            return false;
        }
        *left -= 1.0;
        metrics::counter!("tidepier_retries_total").increment(1);
        true
    }
}
