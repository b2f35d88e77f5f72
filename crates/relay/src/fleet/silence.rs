//! How long requests of this box have waited at one server without any answer.
//!
//! A request that waits says nothing of its server's speed until it is answered. That the
//! server has answered none since it was sent tells a server that stands still from one
//! that works on a long request.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;

/// Time after a wait for which it counts. A server that is avoided because of it gets no
/// request that could show that it answers again.
const MEMORY: Duration = Duration::from_secs(5);

/// A time in which requests have waited and none was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Its length.
    pub time: Duration,
    /// How long ago the last of the requests was given up; `None` while one waits.
    pub ended: Option<Duration>,
}

/// The requests of this box that wait at one server.
#[derive(Debug, Default)]
pub struct Silence {
    /// Requests that were sent and neither answered nor given up.
    waiting: Cell<u32>,
    /// Since when there is such a request; the time of the last answer if that is later.
    since: Cell<Option<Instant>>,
    /// The last wait that ended without an answer: its length, and when it ended.
    unanswered: Cell<Option<(Duration, Instant)>>,
    answered: Cell<Option<Instant>>,
}

impl Silence {
    /// Records that a request was sent. Returns whether it is the only one.
    pub(super) fn begin(&self, now: Instant) -> bool {
        let is_only = self.waiting.replace(self.waiting.get() + 1) == 0;
        if is_only {
            self.since.set(Some(now));
        }
        is_only
    }

    /// Records that a request no longer waits, whether it was answered or given up.
    pub(super) fn end(&self, now: Instant) {
        self.waiting.set(self.waiting.get().saturating_sub(1));
        if self.waiting.get() > 0 {
            return;
        }
        if let Some(since) = self.since.take() {
            let waited = now.saturating_duration_since(since);
            self.unanswered.set(Some((waited, now)));
        }
    }

    /// Records that the server has answered a request. Those that still wait count from now
    /// on.
    pub(super) fn answered(&self, now: Instant) {
        self.answered.set(Some(now));
        self.unanswered.set(None);
        self.since.set((self.waiting.get() > 0).then_some(now));
    }

    /// Leaves `time` out of the current wait: for as long, this box could not have read an
    /// answer.
    pub fn leave_out(&self, time: Duration, now: Instant) {
        let since = self.since.get();
        self.since.set(since.map(|since| (since + time).min(now)));
    }

    /// The current wait, or the last one without an answer if that is longer and not long
    /// ago.
    pub fn wait(&self, now: Instant) -> Option<Wait> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let unanswered = self.unanswered.get().map(|(time, ended)| Wait {
            time,
            ended: Some(age(ended)),
        });
        let unanswered = unanswered.filter(|wait| wait.ended < Some(MEMORY));
        let current = self.since.get().map(|since| Wait {
            time: age(since),
            ended: None,
        });
        current
            .into_iter()
            .chain(unanswered)
            .max_by_key(|it| it.time)
    }

    /// Since when requests wait.
    pub fn waiting_since(&self) -> Option<Instant> {
        self.since.get()
    }

    /// When the server last answered a request of this box.
    pub fn last_answered(&self) -> Option<Instant> {
        self.answered.get()
    }
}
