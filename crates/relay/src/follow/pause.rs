//! Pauses after failed calls.

use std::time::Duration;

use smol::Timer;

/// First pause after a call that failed; doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(120);
/// Longest pause after a call that failed.
const PAUSE_MAX: Duration = Duration::from_millis(900);

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
        let pause = (PAUSE_MIN * 2u32.pow(self.failures.min(4))).min(PAUSE_MAX);
        self.failures += 1;
        Timer::after(pause.mul_f64(0.5 + fastrand::f64() * 0.5)).await;
    }
}
