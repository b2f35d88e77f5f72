//! Health checks before requests.

use std::rc::Rc;

use tidepier_admission::verify;
use tidepier_clock::Instant;

use super::Exchange;
use crate::fleet::Backend;
use crate::health_check::{self, Verdict};
use crate::timeout;

impl Exchange<'_> {
    /// Sends a server a health check, unless it has just answered one. Returns whether there
    /// is no reason to send the request elsewhere: a server that cannot be checked may still
    /// answer.
    pub(super) async fn answers_check(&self, backend: &Rc<Backend>) -> bool {
        if backend.check.is_answered(Instant::now()) {
            return true;
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let round_trip = health_check::round_trip(self.relay, backend);
        let Some(limit) = verify::check_limit_before_request(round_trip, left) else {
            metrics::counter!("tidepier_checks_total", "result" => "skipped").increment(1);
            return true;
        };
        let checked = timeout::within(limit, health_check::send(self.relay, backend)).await;
        let verdict = Verdict::of(checked);
        let may_answer = matches!(verdict, Verdict::Answered | Verdict::Failed);
        backend.check.record(may_answer, Instant::now());
        metrics::counter!("tidepier_checks_total", "result" => verdict.as_str()).increment(1);
        may_answer
    }
}
