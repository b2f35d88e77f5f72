//! Whether the store is reachable, and the grace period after an outage in which a
//! missing entry does not count as deleted.
//!
//! While the store is down, servers cannot write to it and their entries may expire;
//! the servers write them again some time after the store is back. This box does not
//! know exactly when the store came back: at the earliest when the last failed call was
//! sent, at the latest when the first successful call was sent.
//!
//! Invariant: counted from the earliest possible end of the outage, the grace period
//! ends early enough that the other boxes of the hall, which learn from this one, are
//! past it as well at the time from which a missing entry has to count as deleted.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;

/// How long after the store is back an entry that expired may be missing: two seconds
/// by the platform's rules, and a margin for its delivery to this box.
const ENTRY_RETURN_MAX: Duration = Duration::from_millis(2_200);
/// How much earlier the grace period ends here than a missing entry has to count as
/// deleted, so that the other boxes learn of it in time: they send a request every
/// 400 ms, and are answered within the hall.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(500);

/// One box's knowledge of the store's availability.
#[derive(Debug, Default)]
pub struct Availability {
    unreachable: Cell<bool>,
    /// When the last call that failed was sent.
    last_failure: Cell<Option<Instant>>,
    /// End of the grace period: until then, an entry may be missing because of the
    /// outage.
    grace_end: Cell<Option<Instant>>,
}

impl Availability {
    /// Whether the store was found to be unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Records that a call that was sent at `asked` failed; returns whether the store
    /// counted as reachable before.
    pub fn record_failure(&self, asked: Instant) -> bool {
        let failed = self.last_failure.get().map_or(asked, |at| at.max(asked));
        self.last_failure.set(Some(failed));
        !self.unreachable.replace(true)
    }

    /// Records that the store is reachable at `now`. A missing entry has to count as
    /// deleted from `grace_period` after the end of the outage. Returns whether the store
    /// counted as unreachable before.
    pub fn record_recovery(&self, now: Instant, grace_period: Duration) -> bool {
        let was_unreachable = self.unreachable.replace(false);
        if was_unreachable {
            let latest = now + ENTRY_RETURN_MAX;
            let grace = grace_period.saturating_sub(PROPAGATION_MARGIN);
            let until = self.last_failure.get().map(|at| (at + grace).min(latest));
            self.grace_end.set(until);
        }
        was_unreachable
    }

    /// Records that the store, which last answered at `answered`, was found at `now` to
    /// be restored from an older backup. The grace period is the same as after an
    /// outage.
    pub fn record_restore(&self, answered: Instant, now: Instant, grace_period: Duration) {
        let earliest = self
            .last_failure
            .get()
            .map_or(answered, |at| at.max(answered));
        let grace = grace_period.saturating_sub(PROPAGATION_MARGIN);
        self.grace_end
            .set(Some((earliest + grace).min(now + ENTRY_RETURN_MAX)));
    }

    /// Whether the store's answers are authoritative at `now`: a missing entry was deleted.
    pub fn is_authoritative(&self, now: Instant) -> bool {
        let in_grace = self.grace_end.get().is_some_and(|until| now < until);
        !self.unreachable.get() && !in_grace
    }
}
