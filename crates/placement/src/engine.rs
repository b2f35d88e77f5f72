//! What a pool's keeper knows of one engine: its load and its failures.

use std::time::Duration;

use tidepier_clock::Instant;

/// Time that an engine is ejected after its first failure. It doubles with each
/// further failure within [`FAILURE_RETENTION`], so that an engine that fails
/// again and again gets fewer and fewer requests.
const EJECTION_TIME_MIN: Duration = Duration::from_secs(1);
/// Longest time that an engine is ejected after a failure.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(60);
/// Time without a failure after which an engine's earlier failures no longer
/// lengthen the next ejection.
const FAILURE_RETENTION: Duration = Duration::from_secs(120);

/// An engine of the pool.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Whether the configuration lets it take new requests.
    pub active: bool,
    /// Open grants.
    pub open: u32,
    /// Requests that it reports as running beyond this keeper's grants.
    pub foreign: u32,
    /// The highest numbers of open grants: since the last report, and between
    /// the last report and the one before.
    peaks: [u32; 2],
    /// Set while the engine is ejected after a failure. The ejection ends when
    /// the engine answers its keeper, but not before this instant.
    pub ejected: Option<Instant>,
    failures: u32,
    last_failure: Option<Instant>,
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
            last_failure: None,
        }
    }

    /// Requests that count towards the bound.
    pub(crate) fn load(&self) -> u32 {
        self.open + self.foreign
    }

    /// Counts a grant.
    pub(crate) fn record_grant(&mut self) {
        self.open += 1;
        self.peaks[0] = self.peaks[0].max(self.open);
    }

    /// Records how many requests the engine reports as running. A report
    /// describes a moment that may lie before the previous report, so only what
    /// exceeds the highest number of open grants since then was not granted by
    /// this keeper.
    pub(crate) fn report(&mut self, running: u32) {
        let most = self.peaks[0].max(self.peaks[1]);
        self.foreign = running.saturating_sub(most);
        self.peaks = [self.open, self.peaks[0]];
    }

    /// Whether it may be granted requests.
    pub(crate) fn usable(&self) -> bool {
        self.active && self.ejected.is_none()
    }

    /// Ejects it after a failure, for longer each time that it fails again after
    /// it was used again. Failures while it is ejected are ignored: they say
    /// nothing new.
    pub(crate) fn eject(&mut self, now: Instant) {
        if self.ejected.is_some() {
            return;
        }
        let since = self
            .last_failure
            .map(|at| now.saturating_duration_since(at));
        let soon = since.is_some_and(|since| since < FAILURE_RETENTION);
        self.failures = if soon { self.failures + 1 } else { 0 };
        let factor = 2u32.saturating_pow(self.failures.min(8));
        self.last_failure = Some(now);
        self.ejected = Some(now + (EJECTION_TIME_MIN * factor).min(EJECTION_TIME_MAX));
    }

    /// Records that it answers. It is used again if its ejection time has
    /// passed.
    pub(crate) fn recover(&mut self, now: Instant) {
        if self.ejected.is_some_and(|until| until <= now) {
            self.ejected = None;
        }
    }
}
