//! Pauses after failed calls.

use std::time::Duration;

use smol::Timer;

/// First pause after a call that failed; doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(120);
/// Longest pause after a call that failed.
const PAUSE_MAX: Duration = Duration::from_millis(900);

/// Boxes before this one that lengthen its pauses: a box whose hall cannot
/// inform it still finds out by itself within a few seconds.
const BEHIND_MAX: u32 = 3;

/// The pause after a failed call: grows, with jitter, so that boxes that fail
/// together do not come back together.
#[derive(Default)]
pub(super) struct Pause {
    failures: u32,
}

impl Pause {
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    pub(super) async fn rest(&mut self) {
        self.rest_behind(0).await;
    }

    /// Rests longer the more boxes come before this one: they call the store
    /// and inform it.
    pub(super) async fn rest_behind(&mut self, behind: u32) {
        let pause = (PAUSE_MIN * 2u32.pow(self.failures.min(4))).min(PAUSE_MAX);
        self.failures += 1;
        let times = 1 + behind.min(BEHIND_MAX);
        Timer::after((pause * times).mul_f64(0.5 + fastrand::f64() * 0.5)).await;
    }
}
