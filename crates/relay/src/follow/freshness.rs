//! How fresh the list of servers is: the latest time as of which it was complete.
//!
//! A watch that delivers nothing does not show that nothing changed, since its call or the
//! answer may be lost. The freshness checks of the operator entries state the store's
//! revision, which shows whether the list covers it.
//!
//! Invariant: the list counts as complete as of a time at which a request to the store
//! was sent, and only if it covers everything that the store had acknowledged before.

use std::cell::Cell;

use tidepier_clock::Instant;
use tidepier_core::era::Revision;

/// A freshness check that the store answered.
#[derive(Debug, Clone, Copy)]
struct Check {
    /// When it was sent.
    asked: Instant,
    /// The state of the store that its answer stated.
    state: Option<Revision>,
}

/// How fresh the list of servers of one box is.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    /// The newest state that a check found.
    newest: Cell<Revision>,
    last_check: Cell<Option<Check>>,
    /// The latest time as of which the list is known to be complete.
    complete_at: Cell<Option<Instant>>,
}

impl Freshness {
    /// The latest time as of which the list is known to be complete.
    pub(super) fn complete_at(&self) -> Option<Instant> {
        self.complete_at.get()
    }

    /// Records that a check that was sent at `asked` found the store in `state`, if it
    /// stated that, while the list covers the store up to `complete`.
    pub(super) fn record_check(&self, asked: Instant, state: Option<Revision>, complete: Revision) {
        if let Some(state) = state {
            self.newest.set(self.newest.get().max(state));
        }
        self.last_check.set(Some(Check { asked, state }));
        self.apply_check(complete);
    }

    /// Records that the list covers the store up to `complete`.
    pub(super) fn record_changes(&self, complete: Revision) {
        self.apply_check(complete);
    }

    /// Records that the list covers the store up to `complete`, which includes everything
    /// as of `asked`. A store that answers from an older state than a check found shows
    /// nothing.
    pub(super) fn record_complete(&self, asked: Instant, complete: Revision) {
        if complete >= self.newest.get() {
            self.advance(asked);
        }
        self.apply_check(complete);
    }

    /// Records that another box, whose list was applied, knew it to be complete as of
    /// `moment`.
    pub(super) fn record_report(&self, moment: Instant) {
        self.advance(moment);
    }

    fn apply_check(&self, complete: Revision) {
        if let Some(Check { asked, state }) = self.last_check.get() {
            if state.is_some_and(|state| state <= complete) {
                self.advance(asked);
            }
        }
    }

    fn advance(&self, moment: Instant) {
        if self.complete_at.get().is_none_or(|known| known < moment) {
            self.complete_at.set(Some(moment));
        }
    }
}
