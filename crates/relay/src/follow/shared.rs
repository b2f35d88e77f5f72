//! A read that several tasks want: one makes it, the others wait for what it found.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::era::Revision;

use crate::notifier::Notifier;

/// Whether a read is under way, and what the last one found.
#[derive(Default)]
pub(super) struct Read {
    under_way: Cell<bool>,
    found: Cell<Option<Revision>>,
    at: Cell<Option<Instant>>,
    ended: Notifier,
}

impl Read {
    /// Whether one is under way.
    pub(super) fn is_under_way(&self) -> bool {
        self.under_way.get()
    }

    /// Waits for the end of the one under way; returns what it found, if it did.
    pub(super) async fn wait(&self) -> Option<Revision> {
        self.ended.wait().await;
        self.found.get()
    }

    /// What one found that ended less than `most` ago.
    pub(super) fn recent(&self, most: Duration) -> Option<Revision> {
        let at = self.at.get()?;
        self.found.get().filter(|_| at.elapsed() < most)
    }

    /// Begins one; it ends with the guard, be it dropped.
    pub(super) fn begin(&self) -> Guard<'_> {
        self.under_way.set(true);
        self.found.set(None);
        Guard(self)
    }
}

/// A read that is under way.
pub(super) struct Guard<'a>(&'a Read);

impl Guard<'_> {
    /// Ends the read with what it found.
    pub(super) fn end(self, found: Option<Revision>) {
        self.0.found.set(found);
        self.0.at.set(Some(Instant::now()));
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.under_way.set(false);
        self.0.ended.notify();
    }
}
