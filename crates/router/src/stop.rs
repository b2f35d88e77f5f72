//! Graceful shutdown.
//!
//! A stopping router immediately fails the balancer's readiness check and
//! notifies its peers, so that they need not detect its end. It continues to
//! serve new requests for a grace period, as the balancer reacts late. Then it
//! stops listening, finishes its streams, and ends. What is still open at the end is answered
//! with a fault.

use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;
use tidepier_wire::Frame;

use crate::node::Node;
use crate::phase::Phase;

/// Time between two checks for requests that are still open.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the limit of the settings at which open requests are answered with a fault.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

impl Node {
    /// Shuts down gracefully. Resolves when all requests have ended or the time
    /// limit of the settings has passed; returns how many were still open.
    pub async fn finish(self: &Arc<Self>) -> usize {
        let started = Instant::now();
        self.stop.advance(Phase::Stopping);
        self.table().leave(started);
        self.table_changed.notify(usize::MAX);
        self.links.beat_requested.notify(usize::MAX);
        log::info!("stopping open={}", self.open_requests());
        let limit = self.settings.tuning.stop_ms.duration();
        let grace = self.settings.tuning.grace_ms.duration();
        while started.elapsed() < grace {
            Timer::after(CHECK_INTERVAL).await;
        }
        self.stop.advance(Phase::Closed);
        self.wait_for_requests(started, limit.saturating_sub(ANSWER_MARGIN))
            .await;
        let left = self.open_requests();
        self.stop.advance(Phase::Ending);
        self.wait_for_requests(started, limit).await;
        let rumor = self.table().last_word();
        self.links.broadcast(&Frame::Bye(rumor));
        Timer::after(CHECK_INTERVAL).await;
        log::info!("stopped open={left}");
        left
    }

    /// Waits until no request is open, at most for `limit` from `started` on.
    async fn wait_for_requests(&self, started: Instant, limit: Duration) {
        while self.open_requests() > 0 && started.elapsed() < limit {
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}
