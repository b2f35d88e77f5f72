//! The retry budget: a share of recent successes, so that a failure of many
//! engines does not multiply the load on the others.

use std::sync::Mutex;

/// Retries that each success adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Most retries that the budget holds.
const RETRIES_MAX: f64 = 50.0;
/// Retries that the budget holds when the process starts.
const RETRIES_INITIAL: f64 = 10.0;

/// The retry budget of one router.
#[derive(Debug)]
pub(crate) struct Budget(Mutex<f64>);

impl Default for Budget {
    fn default() -> Self {
        Self(Mutex::new(RETRIES_INITIAL))
    }
}

impl Budget {
    /// Counts a success.
    pub(crate) fn record_success(&self) {
        let mut left = self.0.lock().unwrap_or_else(|e| e.into_inner());
        *left = (*left + RETRIES_PER_SUCCESS).min(RETRIES_MAX);
    }

    /// Takes one retry for a request whose engine is gone. The first such retry
    /// of each request (`moved` is false) does not count against the budget: the
    /// lost engine no longer runs the request, so the remaining engines get each
    /// of its requests at most once more, through their keeper's load bound and
    /// queue. One engine can have more streams than the budget ever holds.
    pub(crate) fn take_after_loss(&self, moved: &mut bool) -> bool {
        if std::mem::replace(moved, true) {
            return self.take();
        }
        metrics::counter!("tidepier_retries_total").increment(1);
        true
    }

    /// Takes one retry; returns whether one was left.
    pub(crate) fn take(&self) -> bool {
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
