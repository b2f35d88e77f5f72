//! How long requests of this box have waited at one server without any answer.
//!
//! A request that waits says nothing of its server's speed until it is answered. That the
//! server has answered none since it was sent tells a server that stands still from one
//! that works on a long request.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;

/// Time after the last wait for which it counts. A server that is avoided because of it
/// gets no request that could show that it answers again.
const MEMORY: Duration = Duration::from_secs(5);

/// Time for which requests have waited, each of them without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// How long there was such a request, since the last answer.
    pub time: Duration,
    /// How long ago the last of them was given up; `None` while one waits.
    pub ended: Option<Duration>,
}

/// The requests of this box that wait at one server.
#[derive(Debug, Default)]
pub struct Silence {
    /// Requests that were sent and neither answered nor given up.
    waiting: Cell<u32>,
    /// Since when there is such a request; the time of the last answer if that is later.
    since: Cell<Option<Instant>>,
    /// Time for which there were such requests before, since the last answer.
    earlier: Cell<Duration>,
    /// When the last of those was given up.
    ended: Cell<Option<Instant>>,
    answered: Cell<Option<Instant>>,
}

impl Silence {
    /// Records that a request was sent.
    pub(super) fn begin(&self, now: Instant) {
        if self.waiting.replace(self.waiting.get() + 1) > 0 {
            return;
        }
        let is_over = |ended| now.saturating_duration_since(ended) >= MEMORY;
        if self.ended.get().is_some_and(is_over) {
            self.earlier.set(Duration::ZERO);
        }
        self.since.set(Some(now));
    }

    /// Records that a request no longer waits, whether it was answered or given up.
    pub(super) fn end(&self, now: Instant) {
        self.waiting.set(self.waiting.get().saturating_sub(1));
        if self.waiting.get() > 0 {
            return;
        }
        if let Some(since) = self.since.take() {
            let waited = now.saturating_duration_since(since);
            self.earlier.set(self.earlier.get() + waited);
            self.ended.set(Some(now));
        }
    }

    /// Records that the server has answered a request. Those that still wait count from now
    /// on.
    pub(super) fn answered(&self, now: Instant) {
        self.answered.set(Some(now));
        self.earlier.set(Duration::ZERO);
        self.ended.set(None);
        self.since.set((self.waiting.get() > 0).then_some(now));
    }

    /// Leaves `time` out of the current wait: for as long, this box could not have read an
    /// answer.
    pub fn leave_out(&self, time: Duration, now: Instant) {
        let since = self.since.get();
        self.since.set(since.map(|since| (since + time).min(now)));
    }

    /// The time for which requests have waited without an answer, if that was not long ago.
    pub fn wait(&self, now: Instant) -> Option<Wait> {
        let wait = match (self.since.get(), self.ended.get()) {
            (Some(since), ended) => {
                let is_over = |ended| now.saturating_duration_since(ended) >= MEMORY;
                let earlier = match ended.is_some_and(is_over) {
                    true => Duration::ZERO,
                    false => self.earlier.get(),
                };
                Wait {
                    time: earlier + now.saturating_duration_since(since),
                    ended: None,
                }
            }
            (None, Some(ended)) => Wait {
                time: self.earlier.get(),
                ended: Some(now.saturating_duration_since(ended)),
            },
            (None, None) => return None,
        };
        wait.ended
            .is_none_or(|ended| ended < MEMORY)
            .then_some(wait)
    }

    /// Whether a request waits for its answer.
    pub fn is_waiting(&self) -> bool {
        self.waiting.get() > 0
    }

    /// When the server last answered a request of this box.
    pub fn last_answered(&self) -> Option<Instant> {
        self.answered.get()
    }
}
