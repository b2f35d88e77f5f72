//! The deadline of a request.

use std::future::Future;
use std::time::{Duration, Instant};

use tidepier_errors::{Fault, Kind};
use tidepier_http::http_types::Request;
use tidepier_http::server::within;

/// The header with which a caller sets a deadline, in milliseconds from now.
pub(crate) const HEADER: &str = "tidepier-deadline-ms";

/// When the answer to a request must be whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    /// The deadline that a request names, or the default.
    ///
    /// # Errors
    ///
    /// [`Kind::BadRequest`] when the header is no positive number.
    pub(crate) fn of(request: &Request, default: Duration) -> Result<Self, Fault> {
        let Some(values) = request.header(HEADER) else {
            return Ok(Self(Instant::now() + default));
        };
        let text = values.last().as_str();
        match text.parse::<u64>() {
            Ok(millis @ 1..=86_400_000) => Ok(Self(Instant::now() + Duration::from_millis(millis))),
            _ => {
                let detail = format!("{HEADER}: found {text:?}; allowed: 1 to 86400000");
                Err(Fault::new(Kind::BadRequest, detail))
            }
        }
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
