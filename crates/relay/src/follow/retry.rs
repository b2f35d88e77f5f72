//! Retry delay after failed calls.

use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;

/// Retry delay after the first failed call; doubled up to [`DELAY_MAX`].
const DELAY_MIN: Duration = Duration::from_millis(120);
/// Longest retry delay after a failed call.
const DELAY_MAX: Duration = Duration::from_millis(900);

/// Number of boxes of a hall that probe an unreachable store often, so that its return
/// is noticed soon. The other boxes of the hall send their requests to these.
pub const PROBING_BOXES: u32 = 2;
/// Interval between the starts of two calls of a probing box. The delay until the
/// return is noticed is a small part of the time in which entries come back.
const PROBE_INTERVAL: Duration = Duration::from_millis(350);
/// Shortest retry delay of a probing box.
const PROBE_DELAY_MIN: Duration = Duration::from_millis(120);
/// Most boxes ranked before this one that lengthen its retry delay: if the hall cannot
/// inform it, a box still finds out by itself within a few seconds.
const RANK_MAX: u32 = 3;

/// Retry delay after failed calls. It grows exponentially, with jitter, so that boxes
/// that fail at the same time do not retry at the same time.
#[derive(Default)]
pub(super) struct Delay {
    failures: u32,
}

impl Delay {
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failed calls since the last one that succeeded.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) async fn wait(&mut self) {
        let delay = self.advance();
        jittered(delay).await;
    }

    /// Waits after a failed call that was sent at `asked`. The delay of a probing box
    /// is short. That of the others grows with the number of boxes that rank before
    /// them, which call the store and inform them.
    pub(super) async fn wait_by_rank(&mut self, rank: u32, asked: Instant) {
        let grown = self.advance();
        if rank < PROBING_BOXES {
            let left = PROBE_INTERVAL.saturating_sub(asked.elapsed());
            jittered(left.max(PROBE_DELAY_MIN)).await;
        } else {
            jittered(grown * (1 + rank.min(RANK_MAX))).await;
        }
    }

    fn advance(&mut self) -> Duration {
        let delay = (DELAY_MIN * 2u32.pow(self.failures.min(4))).min(DELAY_MAX);
        self.failures += 1;
        delay
    }
}

async fn jittered(delay: Duration) {
    Timer::after(delay.mul_f64(0.5 + fastrand::f64() * 0.5)).await;
}
