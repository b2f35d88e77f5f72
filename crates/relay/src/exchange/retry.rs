//! Decides whether a request is sent again, and how it is refused if not.
//!
//! Invariant: a request that may have been executed is sent again only if its
//! route allows repeated execution, and is never refused with a kind that
//! promises that it was not executed.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_platform::answer;

use super::state::Exchange;
use super::stream::{self, discard};
use crate::attempt::{Cause, Executed, Failure, Reply};
use crate::fleet::Backend;
use crate::refusal;

/// Remaining time below which a request is not sent again.
const RETRY_TIME_MIN: Duration = Duration::from_millis(30);
/// Absent servers after which a request is refused, if no untried server looks healthy
/// to this box or if detecting the last absence took longer than a round trip.
const ABSENT_MAX: u32 = 4;
/// The same while an untried server looks healthy and the last absence was detected
/// within a round trip. A refused connection costs one round trip, far less than a
/// client needs to come back after a refusal. When two thirds of 90 servers were gone
/// and no box knew it, 78 boxes that stopped after four absent servers refused 138 in
/// 1,000 requests.
const ABSENT_HEALTHY_MAX: u32 = 12;

impl Exchange<'_> {
    /// Decides by the head of an answer whether it is forwarded.
    ///
    /// # Errors
    ///
    /// The request has to go to another server: this one did not execute it, or
    /// answered with a 5xx status and a retry is allowed.
    pub(super) async fn check_reply(
        &mut self,
        backend: &Rc<Backend>,
        reply: Reply,
    ) -> Result<Reply, Failure> {
        if reply.answer.not_executed {
            let status = reply.answer.status;
            discard::body(backend, reply, self.deadline).await;
            return Err(Failure {
                executed: Executed::No,
                cause: Cause::Refused(status),
            });
        }
        self.may_have_executed = true;
        let own_error = reply.answer.status >= 500;
        // The body of the error is read before the retry, so that the connection
        // can be reused and the client can still get this answer.
        let repeatable = self.route.kind.repeatable() && self.time_for_retry(discard::TIMEOUT);
        if own_error && repeatable && self.charge_retry() {
            self.retry_charged.set(true);
            let status = reply.answer.status;
            let fallback = stream::read_fallback(self, backend, reply).await;
            self.fallback = fallback.or(self.fallback.take());
            return Err(Failure {
                executed: Executed::Unknown,
                cause: Cause::Error(status),
            });
        }
        Ok(reply)
    }

    /// Whether the request may be sent again.
    ///
    /// # Errors
    ///
    /// It may not; the refusal that the client gets.
    pub(crate) fn may_retry(&mut self, failure: &Failure) -> Result<(), refusal::Kind> {
        // The budget was charged when the server's 5xx answer was read, or when the request
        // left a silent server.
        if self.retry_charged.take() {
            return Ok(());
        }
        if !self.time_for_retry(Duration::ZERO) {
            return Err(self.final_refusal(failure));
        }
        match &failure.cause {
            // Nothing was sent, and the server will not be chosen again.
            Cause::Ineligible(_) => {
                self.attempts -= 1;
                Ok(())
            }
            // Nothing reached a server, so the retry costs no server any work.
            Cause::Connect(error) if self.may_skip_absent(is_connection_refused(error)) => {
                self.count_absent();
                Ok(())
            }
            // Another server answers at the address. The intended server got
            // nothing, so a route that allows one server has not used it up yet.
            // The other server had to answer, so the retry is charged to the
            // budget. When a quarter of 240 engines crashed and new ones took over
            // their addresses, 562 attempts within 3 s were given up here, and 153
            // of the callers got no answer at all.
            Cause::Refused(answer::MISDIRECTED) if self.may_skip_absent(false) => {
                self.count_absent();
                self.charge_or_refuse(failure)
            }
            // While the servers of a plain service are full, a retry finds another one full.
            Cause::Refused(status)
                if *status != answer::MISDIRECTED && !self.record_load_rejection() =>
            {
                Err(self.final_refusal(failure))
            }
            _ if failure.executed == Executed::No || self.route.kind.repeatable() => {
                self.charge_or_refuse(failure)
            }
            _ => Err(self.final_refusal(failure)),
        }
    }

    /// Whether one more absent server is tolerated. `at_once`: the last absence was
    /// detected within a round trip.
    fn may_skip_absent(&self, at_once: bool) -> bool {
        if self.absent_count < ABSENT_MAX {
            return true;
        }
        let now = Instant::now();
        let servers = self.relay.fleet.serving(&self.service);
        let mut untried = servers
            .iter()
            .filter(|it| !self.tried.contains(&it.server.id));
        let may_find_one = at_once && untried.any(|it| it.is_healthy(now));
        may_find_one && self.absent_count < ABSENT_HEALTHY_MAX
    }

    /// Counts the last server as absent instead of as one that got the request.
    fn count_absent(&mut self) {
        self.absent_count += 1;
        self.attempts -= 1;
    }

    fn charge_or_refuse(&self, failure: &Failure) -> Result<(), refusal::Kind> {
        if self.charge_retry() {
            Ok(())
        } else {
            Err(self.final_refusal(failure))
        }
    }

    /// Whether enough time is left after `first` to send the request again.
    pub(super) fn time_for_retry(&self, first: Duration) -> bool {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left >= RETRY_TIME_MIN + first && self.check_time_left().is_ok()
    }

    /// Charges a retry to the budget; false if the route allows no further server
    /// or the budget is spent.
    pub(super) fn charge_retry(&self) -> bool {
        let relay = self.relay;
        let allowed = self.attempts < self.route.attempts
            && relay
                .budget
                .spend(&self.service, relay.boxes(), Instant::now());
        if allowed {
            metrics::counter!("tidepier_retries_total").increment(1);
        }
        allowed
    }

    fn final_refusal(&self, failure: &Failure) -> refusal::Kind {
        match (&failure.cause, self.may_have_executed) {
            (Cause::TimedOut, true) => refusal::Kind::Late,
            (_, true) => refusal::Kind::Lost,
            (Cause::TimedOut, false) => refusal::Kind::Expired,
            (Cause::Connect(error), false) if is_connection_refused(error) => {
                refusal::Kind::ServersDown
            }
            (
                Cause::Connect(_) | Cause::Ineligible(_) | Cause::Refused(answer::MISDIRECTED),
                false,
            ) => refusal::Kind::NoServer,
            (_, false) => self.full_refusal(),
        }
    }

    /// Replaces a refusal that may promise non-execution by one that promises nothing once
    /// a server may have executed the request.
    pub(super) fn lost_if_may_have_executed(&self, kind: refusal::Kind) -> refusal::Kind {
        match kind {
            _ if !self.may_have_executed => kind,
            refusal::Kind::Stopping => refusal::Kind::Interrupted,
            _ => refusal::Kind::Lost,
        }
    }
}

/// Whether the host is up but no process listens at the address.
fn is_connection_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}
