//! Pauses after failed calls.

use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;

/// First pause after a call that failed; doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(120);
/// Longest pause after a call that failed.
const PAUSE_MAX: Duration = Duration::from_millis(900);

/// Boxes of a hall that the others ask while the store is unreachable: they
/// call it often, so that its return is noticed soon.
pub const PROBING_BOXES: u32 = 2;
/// Time between the beginnings of two calls of such a box: what it costs to
/// notice the return is a small part of the time in which entries come back.
const SCOUT_TIME: Duration = Duration::from_millis(350);
/// Shortest pause of such a box.
const SCOUT_PAUSE: Duration = Duration::from_millis(120);
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

    /// Calls that have failed since the last one that succeeded.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) async fn rest(&mut self) {
        let pause = self.grown();
        jittered(pause).await;
    }

    /// Rests after a call that was sent at `asked`: briefly if the other boxes
    /// ask this one, else the longer the more boxes come before it, which call
    /// the store and inform it.
    pub(super) async fn rest_behind(&mut self, behind: u32, asked: Instant) {
        let grown = self.grown();
        if behind < PROBING_BOXES {
            let left = SCOUT_TIME.saturating_sub(asked.elapsed());
            jittered(left.max(SCOUT_PAUSE)).await;
        } else {
            jittered(grown * (1 + behind.min(BEHIND_MAX))).await;
        }
    }

    fn grown(&mut self) -> Duration {
        let pause = (PAUSE_MIN * 2u32.pow(self.failures.min(4))).min(PAUSE_MAX);
        self.failures += 1;
        pause
    }
}

async fn jittered(pause: Duration) {
    Timer::after(pause.mul_f64(0.5 + fastrand::f64() * 0.5)).await;
}
