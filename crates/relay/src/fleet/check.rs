//! Health checks of one server before requests that are sent to it unverified, or that wait at
//! another one that is silent.

use std::cell::Cell;
use std::time::Duration;

use tidepier_admission::verify;
use tidepier_clock::Instant;

/// Time for which a server gets nothing that did not answer a check, if another may.
const UNANSWERED_TIME: Duration = Duration::from_secs(1);

/// The last check of one server by this box.
#[derive(Debug, Default)]
pub struct Check {
    /// When the server last answered one.
    answered: Cell<Option<Instant>>,
    /// When it last did not in time.
    unanswered: Cell<Option<Instant>>,
    /// When a request that waits elsewhere last began one.
    begun: Cell<Option<Instant>>,
}

impl Check {
    /// Records whether the server has answered a check in time.
    pub fn record(&self, is_answered: bool, now: Instant) {
        match is_answered {
            true => {
                self.answered.set(Some(now));
                self.unanswered.set(None);
            }
            false => self.unanswered.set(Some(now)),
        }
    }

    /// Whether a request that waits elsewhere may send a check: the server has answered the
    /// last one, or none was sent for an `interval`.
    pub fn is_due(&self, interval: Duration, now: Instant) -> bool {
        self.begun.get().is_none_or(|begun| {
            let is_answered = self.answered.get().is_some_and(|at| at >= begun);
            is_answered || now.saturating_duration_since(begun) >= interval
        })
    }

    /// Records that a request that waits elsewhere sends a check.
    pub fn begin(&self, now: Instant) {
        self.begun.set(Some(now));
    }

    /// When the server last answered a check.
    pub fn last_answered(&self) -> Option<Instant> {
        self.answered.get()
    }

    /// Whether the server has answered a check not long ago: for further requests of this box,
    /// that is as good as an answer to a request.
    pub fn is_answered(&self, now: Instant) -> bool {
        let answered = self.answered.get();
        answered.is_some_and(|at| now.saturating_duration_since(at) < verify::LIFETIME_MIN)
    }

    /// Whether the server has not answered a check, and no request either since then.
    pub fn is_unanswered(&self, last_answer: Option<Instant>, now: Instant) -> bool {
        self.unanswered.get().is_some_and(|at| {
            let is_recent = now.saturating_duration_since(at) < UNANSWERED_TIME;
            is_recent && last_answer.is_none_or(|answered| answered < at)
        })
    }
}
