//! An engine as its pool's keeper counts it.

use std::time::Duration;

use tidepier_clock::Instant;

/// Time that an engine gets nothing after its first failure; doubled with
/// each failure that follows soon, so that a flapping engine is damped.
const EJECT_FIRST: Duration = Duration::from_secs(1);
/// Longest time that a failed engine gets nothing.
const EJECT_MOST: Duration = Duration::from_secs(60);
/// Time without a failure after which an engine's failures are forgotten.
const FORGIVE: Duration = Duration::from_secs(120);

/// An engine of the pool.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Whether it takes new work by configuration.
    pub active: bool,
    /// Open grants.
    pub open: u32,
    /// Requests that it reports beyond this keeper's grants.
    pub foreign: u32,
    /// Most open grants since the last report, and between the two before.
    peaks: [u32; 2],
    /// Set while it gets nothing after a failure: until it answers its keeper,
    /// but not before this instant.
    pub ejected: Option<Instant>,
    failures: u32,
    failed: Option<Instant>,
}

impl Engine {
    pub(crate) fn new(active: bool) -> Self {
        Self {
            active,
            open: 0,
            foreign: 0,
            peaks: [0; 2],
            ejected: None,
            failures: 0,
            failed: None,
        }
    }

    /// Requests that count towards the bound.
    pub(crate) fn load(&self) -> u32 {
        self.open + self.foreign
    }

    /// Counts a grant.
    pub(crate) fn hold(&mut self) {
        self.open += 1;
        self.peaks[0] = self.peaks[0].max(self.open);
    }

    /// A report tells of a moment that may lie before the last one. What the
    /// engine runs beyond all that was open since then is not this keeper's.
    pub(crate) fn report(&mut self, running: u32) {
        let most = self.peaks[0].max(self.peaks[1]);
        self.foreign = running.saturating_sub(most);
        self.peaks = [self.open, self.peaks[0]];
    }

    /// Whether it may be granted anything.
    pub(crate) fn usable(&self) -> bool {
        self.active && self.ejected.is_none()
    }

    /// Takes it out after a failure, for longer each time that it had come
    /// back. Failures while it is out tell nothing new.
    pub(crate) fn eject(&mut self, now: Instant) {
        if self.ejected.is_some() {
            return;
        }
        let since = self.failed.map(|at| now.saturating_duration_since(at));
        let soon = since.is_some_and(|since| since < FORGIVE);
        self.failures = if soon { self.failures + 1 } else { 0 };
        let factor = 2u32.saturating_pow(self.failures.min(8));
        self.failed = Some(now);
        self.ejected = Some(now + (EJECT_FIRST * factor).min(EJECT_MOST));
    }

    /// Notes that it answers; it is used again once its time has passed.
    pub(crate) fn recover(&mut self, now: Instant) {
        if self.ejected.is_some_and(|until| until <= now) {
            self.ejected = None;
        }
    }
}
