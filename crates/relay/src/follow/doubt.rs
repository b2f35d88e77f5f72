//! Whether the store can be relied on, and how long the absence of an entry
//! says nothing after trouble of the store.
//!
//! While the store is away, servers cannot write to it and their entries may
//! lapse; they come back a while after the store does. When it came back is
//! not known here: at the earliest when the last call that failed was sent, at
//! the latest when the first one that succeeded was.
//!
//! Invariant: the doubt is over early enough after the earliest end that the
//! other boxes of the hall, which learn from this one, are past it as well when
//! the store's word counts again.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;

/// How long after the store is back an entry that lapsed may stay missing: the
/// platform's two seconds, and a margin for the way here.
const LAPSE_TIME: Duration = Duration::from_millis(2_200);
/// Time before the store's word counts again at which the doubt is over here:
/// the others ask every 400 ms and get their answer within the hall.
const PASS_ON_TIME: Duration = Duration::from_millis(500);

/// What one box thinks of the store.
#[derive(Debug, Default)]
pub struct Doubt {
    unreachable: Cell<bool>,
    /// When the last call that failed was sent.
    failed: Cell<Option<Instant>>,
    /// Until when an entry's absence may be the store's fault.
    until: Cell<Option<Instant>>,
}

impl Doubt {
    /// Whether the store was found to be unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Records that a call failed that was sent at `asked`; returns whether
    /// the store counted as reachable before.
    pub fn lost(&self, asked: Instant) -> bool {
        let failed = self.failed.get().map_or(asked, |at| at.max(asked));
        self.failed.set(Some(failed));
        !self.unreachable.replace(true)
    }

    /// Records that the store is reachable at `now`; its word counts again
    /// `contact` after the end of its trouble. Returns whether it counted as
    /// unreachable before.
    pub fn back(&self, now: Instant, contact: Duration) -> bool {
        let was_unreachable = self.unreachable.replace(false);
        if was_unreachable {
            let latest = now + LAPSE_TIME;
            let counts = contact.saturating_sub(PASS_ON_TIME);
            let until = self.failed.get().map(|at| (at + counts).min(latest));
            self.until.set(until);
        }
        was_unreachable
    }

    /// Records that the store was found at `now` to have gone back to an older copy, and
    /// was last heard of before that at `answered`; its word counts again as after trouble.
    pub fn restored(&self, answered: Instant, now: Instant, contact: Duration) {
        let earliest = self.failed.get().map_or(answered, |at| at.max(answered));
        let counts = contact.saturating_sub(PASS_ON_TIME);
        self.until
            .set(Some((earliest + counts).min(now + LAPSE_TIME)));
    }

    /// Whether an entry that is absent at `now` is gone.
    pub fn is_over(&self, now: Instant) -> bool {
        let doubted = self.until.get().is_some_and(|until| now < until);
        !self.unreachable.get() && !doubted
    }
}
