//! How fresh the list of servers is: the latest time as of which it was complete.
//!
//! A watch that delivers nothing does not show that nothing changed, since its call or the
//! answer may be lost. The freshness checks of the operator entries state the store's
//! revision, which shows whether the list covers it. A watch that does not deliver what a
//! check has shown to exist is overdue.
//!
//! Invariant: the list counts as complete as of a time at which a request to the store
//! was sent, and only if it covers everything that the store had acknowledged before.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::era::Revision;

use crate::notifier::Notifier;

/// Time in which a watch delivers a change, or a freshness check is answered, while the
/// store is not slow. A watch that is called again too early costs one call.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// A call to the store for servers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    asked: Instant,
    /// The newest state that a check had found before.
    newest: Revision,
}

/// A freshness check that the store answered.
#[derive(Debug, Clone, Copy)]
struct Check {
    /// When it was sent.
    asked: Instant,
    /// The state of the store that its answer stated.
    state: Option<Revision>,
}

/// How fresh the list of servers of one box is.
#[derive(Default)]
pub(super) struct Freshness {
    /// The newest state that a check found.
    newest: Cell<Revision>,
    last_check: Cell<Option<Check>>,
    /// The latest time as of which the list is known to be complete.
    complete_at: Cell<Option<Instant>>,
    /// When the first check was sent that found a state which the list does not cover.
    behind_since: Cell<Option<Instant>>,
    /// Notified when a check finds such a state.
    found_behind: Notifier,
}

impl Freshness {
    /// The latest time as of which the list is known to be complete.
    pub(super) fn complete_at(&self) -> Option<Instant> {
        self.complete_at.get()
    }

    /// A call that is sent now.
    pub(super) fn call(&self) -> Call {
        Call {
            asked: Instant::now(),
            newest: self.newest.get(),
        }
    }

    /// Records that a check that was sent at `asked` found the store in `state`, if it
    /// stated that, while the list covers the store up to `complete`.
    pub(super) fn record_check(&self, asked: Instant, state: Option<Revision>, complete: Revision) {
        if let Some(state) = state {
            self.newest.set(self.newest.get().max(state));
        }
        self.last_check.set(Some(Check { asked, state }));
        self.record_changes(complete);
        let is_behind = self.complete_at.get().is_none_or(|at| at < asked);
        if is_behind && self.behind_since.get().is_none() {
            self.behind_since.set(Some(asked));
            self.found_behind.notify();
        }
    }

    /// Records that the list covers the store up to `complete`, as far as is known without
    /// everything that the store has.
    pub(super) fn record_changes(&self, complete: Revision) {
        if let Some(Check { asked, state }) = self.last_check.get() {
            if state.is_some_and(|state| state <= complete) {
                self.advance(asked);
            }
        }
    }

    /// Records that a call returned everything that the store had, which is up to
    /// `complete`. Returns whether that holds: an answer from an older state than a check
    /// had found before shows nothing.
    pub(super) fn record_all(&self, call: Call, complete: Revision) -> bool {
        let holds = complete >= call.newest;
        if holds {
            self.advance(call.asked);
        }
        self.record_changes(complete);
        holds
    }

    /// Records that another box, whose list was applied, knew it to be complete as of
    /// `moment`.
    pub(super) fn record_report(&self, moment: Instant) {
        self.advance(moment);
    }

    fn advance(&self, moment: Instant) {
        if self.complete_at.get().is_none_or(|known| known < moment) {
            self.complete_at.set(Some(moment));
        }
        let checked = self.last_check.get().map(|check| check.asked);
        if self.complete_at.get() >= checked {
            self.behind_since.set(None);
        }
    }

    /// Completes when a watch that was called at `called` should have delivered what the
    /// list lacks.
    pub(super) async fn overdue(&self, called: Instant) {
        loop {
            let Some(since) = self.behind_since.get() else {
                self.found_behind.wait().await;
                continue;
            };
            let due = since.max(called) + DELIVERY_TIME;
            if Instant::now() >= due {
                return;
            }
            tidepier_clock::sleep_until(due).await;
        }
    }
}
