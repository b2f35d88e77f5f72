//! A read that several tasks need: one task makes it, the others wait for its result.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::era::Revision;

use crate::notifier::Notifier;

/// Whether a read is in progress, and the result of the last one.
#[derive(Default)]
pub(super) struct Read {
    in_progress: Cell<bool>,
    found: Cell<Option<Revision>>,
    at: Cell<Option<Instant>>,
    ended: Notifier,
}

impl Read {
    /// Whether a read is in progress.
    pub(super) fn is_in_progress(&self) -> bool {
        self.in_progress.get()
    }

    /// Waits for the end of the read in progress; returns its result, or `None` if it
    /// failed.
    pub(super) async fn wait(&self) -> Option<Revision> {
        self.ended.wait().await;
        self.found.get()
    }

    /// The result of the last read if that ended less than `max_age` ago.
    pub(super) fn recent(&self, max_age: Duration) -> Option<Revision> {
        let at = self.at.get()?;
        self.found.get().filter(|_| at.elapsed() < max_age)
    }

    /// Begins a read, which ends when the guard is dropped.
    pub(super) fn begin(&self) -> Guard<'_> {
        self.in_progress.set(true);
        self.found.set(None);
        Guard(self)
    }
}

/// A read that is in progress.
pub(super) struct Guard<'a>(&'a Read);

impl Guard<'_> {
    /// Ends the read with its result.
    pub(super) fn end(self, found: Option<Revision>) {
        self.0.found.set(found);
        self.0.at.set(Some(Instant::now()));
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(false);
        self.0.ended.notify();
    }
}
