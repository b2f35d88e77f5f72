//! The deadline of a request.

use std::future::Future;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_errors::{Fault, Kind};
use tidepier_http::server::within;

/// The time at which the answer to a request must be complete.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    /// The deadline `time` from now.
    pub(crate) fn after(time: Duration) -> Self {
        Self(Instant::now() + time)
    }

    /// The deadline at `instant`.
    pub(crate) fn at(instant: Instant) -> Self {
        Self(instant)
    }

    /// The instant at which it passes.
    pub(crate) fn instant(&self) -> Instant {
        self.0
    }

    /// Time left.
    pub(crate) fn left(&self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    /// Whether it has passed.
    pub(crate) fn passed(&self) -> bool {
        self.left().is_zero()
    }

    /// Runs `work` until the deadline.
    ///
    /// # Errors
    ///
    /// A fault of `kind` when the deadline passes first.
    pub(crate) async fn bound<T>(
        &self,
        kind: Kind,
        work: impl Future<Output = Result<T, Fault>>,
    ) -> Result<T, Fault> {
        let done = within(self.left(), work).await;
        done.unwrap_or_else(|| Err(Fault::new(kind, "the deadline passed")))
    }
}
