//! Whether a server can answer before a shutdown of this box ends.
//!
//! Invariant: during a shutdown, a request is sent to a server only if its answer is
//! expected, or its own deadline reached, before the deadline for all answers.

use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::Route;
use tidepier_h1::Head;

use super::admission;
use super::state::Exchange;
use crate::refusal;
use crate::relay::Relay;

/// The latest moment at which a request may be sent to a server in a shutdown with the
/// deadline `end` for all answers. `head` arrived at `at`.
pub fn latest_start(relay: &Relay, head: &Head, at: Instant, end: Instant) -> Instant {
    let Some((route, deadline)) = admission::route_and_deadline(relay, head, at) else {
        // Refused as soon as it is complete.
        return end;
    };
    latest(relay, &route, deadline, Duration::ZERO, end)
}

/// The same for a request with a deadline, whose answer has been arriving for `begun`.
fn latest(
    relay: &Relay,
    route: &Route,
    deadline: Instant,
    begun: Duration,
    end: Instant,
) -> Instant {
    if deadline <= end {
        return deadline;
    }
    end - relay.answer_times.expected(route).saturating_sub(begun)
}

impl Exchange<'_> {
    /// Checks that an answer can be expected before a shutdown ends.
    ///
    /// Called before every attempt, also of a retry, a resumed stream and a request that
    /// waited.
    pub(super) fn check_time_left(&self) -> Result<(), refusal::Kind> {
        let Some(end) = self.relay.stop.deadline() else {
            return Ok(());
        };
        let now = Instant::now();
        let begun = match self.arrival.answer_begun.get() {
            true => now.saturating_duration_since(self.last_attempt.at),
            false => Duration::ZERO,
        };
        if now <= latest(self.relay, &self.route, self.deadline, begun, end) {
            Ok(())
        } else {
            Err(refusal::Kind::Stopping)
        }
    }

    /// Records how long an answer took, or that none came in this time.
    pub(super) fn record_answer_time(&self) {
        let took = self.attempt_began().elapsed();
        let took = took.saturating_sub(self.client_wait.get());
        self.relay.answer_times.record(&self.route, took);
    }
}
