//! Planned stops: told, not discovered.
//!
//! A stopping router is at once not ready for the balancer and tells its
//! peers, but goes on serving what still arrives, since the balancer lags. It
//! stops listening after a grace, finishes its streams, and ends.

use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;
use tidepier_wire::Frame;

use crate::node::Node;
use crate::phase::Phase;

/// Time between looks at what is still open.
const CHECK: Duration = Duration::from_millis(50);

impl Node {
    /// Stops as planned. Resolves when all requests have ended or the time
    /// limit of the settings has passed; returns how many were still open.
    pub async fn finish(self: &Arc<Self>) -> usize {
        let begun = Instant::now();
        self.stop.advance(Phase::Stopping);
        self.table().leave(begun);
        self.table_changed.notify(usize::MAX);
        self.links.beat_now.notify(usize::MAX);
        log::info!("stopping open={}", self.open_requests());
        let limit = self.settings.tuning.stop_ms.duration();
        let grace = self.settings.tuning.grace_ms.duration();
        while begun.elapsed() < grace {
            Timer::after(CHECK).await;
        }
        self.stop.advance(Phase::Closed);
        while self.open_requests() > 0 && begun.elapsed() < limit {
            Timer::after(CHECK).await;
        }
        let word = self.table().last_word();
        self.links.broadcast(&Frame::Bye(word));
        Timer::after(CHECK).await;
        let left = self.open_requests();
        log::info!("stopped open={left}");
        left
    }
}
