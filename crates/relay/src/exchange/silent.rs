//! Waits at a server that is silent.
//!
//! Silence of one server shows nothing of the others: they may be silent too, and the request
//! would lose its place, an attempt and a part of the retry budget. Nor does it show that the
//! request will not be answered.
//!
//! Invariant: a request leaves a silent server only if it may be sent again, and for a server
//! that has shown since the silence began that it answers. Else it stays until its deadline.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_admission::verify;
use tidepier_clock::Instant;

use super::state::Exchange;
use crate::attempt::{Cause, Executed, Failure, Reply};
use crate::choose::{self, filter};
use crate::fleet::Backend;
use crate::health_check::{self, Verdict};
use crate::timeout;

/// Time without any bytes from a server, on all connections, after which a repeatable
/// request may go to another server, unless the server accepts a new connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a server that accepts a connection: an engine in the prefill of some
/// long prompts sends nothing for as long. A request taken away from it needs its
/// prefill again at another engine, and requests avoid an engine that counts as unresponsive
/// and overload the others. Half of the shortest usual client time-out remains for
/// another server.
const REACHABLE_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Age up to which data from a server shows that it answers.
const EVIDENCE_AGE: Duration = Duration::from_millis(300);
/// Time for a silent server to go on once another one does, if none did before.
const RETURN_TIME: Duration = Duration::from_millis(150);
/// Interval at which a request looks for a server that answers.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for the answer to a health check, beside that of a busy server over a new connection.
const CHECK_SLACK: Duration = Duration::from_millis(150);

/// How a wait at a silent server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The server went on.
    Answered,
    /// The request goes on at another server.
    Left,
    /// The server or its connection failed.
    Failed,
    /// The deadline was reached.
    Late,
    /// The client left, or the box ended the request.
    Abandoned,
}

impl End {
    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Left => "left",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::Abandoned => "abandoned",
        }
    }
}

/// The wait of a request at a silent server; logged and counted when it ends.
struct Wait<'a> {
    exchange: &'a Exchange<'a>,
    server: &'a Backend,
    began: Instant,
    end: Option<End>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let exchange = self.exchange;
        let end = self
            .end
            .unwrap_or(match Instant::now() < exchange.deadline {
                true => End::Abandoned,
                false => End::Late,
            });
        log::info!(
            target: "request",
            "event=stayed id={} server={} end={} waited_ms={} ms={}",
            exchange.request.attempt,
            self.server.server.id,
            end.name(),
            self.began.elapsed().as_millis(),
            exchange.arrival.at.elapsed().as_millis(),
        );
        metrics::counter!("tidepier_silent_waits_total", "end" => end.name()).increment(1);
    }
}

/// What a request waits for at a silent server.
#[derive(Clone, Copy)]
pub(super) struct Silent<'a> {
    /// The server.
    pub(super) backend: &'a Rc<Backend>,
    /// When the silence began.
    pub(super) since: Instant,
}

impl Exchange<'_> {
    /// The result of an attempt that leaves a server which has sent nothing on any connection
    /// for the silence time-out, if another one answers.
    pub(super) async fn unless_silent(
        &self,
        backend: &Rc<Backend>,
        sent: impl Future<Output = Result<Reply, Failure>>,
    ) -> Result<Reply, Failure> {
        let mut sent = pin!(sent);
        let mut since = Instant::now();
        loop {
            let silent = async {
                since = self.until_silent(backend, since).await;
                None
            };
            let ended = async { Some(sent.as_mut().await) };
            if let Some(result) = ended.or(silent).await {
                return result;
            }
            let silent = Silent { backend, since };
            let is_silent = || is_silent_since(backend, since);
            // Boxed, as the futures of all requests would hold it otherwise.
            let stayed = Box::pin(self.stay(silent, is_silent, sent.as_mut()));
            if let Some(result) = stayed.await {
                return result;
            }
            since = backend.last_received().unwrap_or(since);
        }
    }

    /// Waits until a server has sent nothing on any connection for the silence time-out.
    /// Returns since when.
    async fn until_silent(&self, backend: &Rc<Backend>, mut since: Instant) -> Instant {
        loop {
            tidepier_clock::sleep_until(since + SILENCE_TIMEOUT).await;
            if is_silent_since(backend, since) && self.accepts_connection(backend).await {
                tidepier_clock::sleep_until(since + REACHABLE_SILENCE_TIMEOUT).await;
            }
            if is_silent_since(backend, since) {
                return since;
            }
            since = backend.last_received().unwrap_or(since);
        }
    }

    /// Whether the server accepts another connection over the way that the request took.
    async fn accepts_connection(&self, backend: &Backend) -> bool {
        let carrier = self.path.get().and_then(|path| path.carrier);
        let dialer = &self.relay.dialer;
        dialer.accepts_connection(backend, carrier).await
    }

    /// Goes on with `work` at a silent server. Returns its result; [`Cause::Stalled`] once
    /// the request has to go to another server, the retry being charged; `None` if
    /// `is_silent` does not hold any longer.
    pub(super) async fn stay<T>(
        &self,
        silent: Silent<'_>,
        is_silent: impl Fn() -> bool,
        work: impl Future<Output = Result<T, Failure>>,
    ) -> Option<Result<T, Failure>> {
        let mut wait = Wait {
            exchange: self,
            server: silent.backend,
            began: Instant::now(),
            end: None,
        };
        let leave = async {
            let left = self.until_another_answers(silent, is_silent).await;
            left.then_some(Err(Failure {
                executed: Executed::Unknown,
                cause: Cause::Stalled,
            }))
        };
        let result = async { Some(work.await) }.or(leave).await;
        wait.end = match &result {
            Some(Ok(_)) | None => Some(End::Answered),
            Some(Err(failure)) => match failure.cause {
                Cause::Stalled => Some(End::Left),
                Cause::TimedOut => Some(End::Late),
                _ => Some(End::Failed),
            },
        };
        result
    }

    /// Waits until the request has to go to another server, and charges the retry; returns
    /// false if `is_silent` does not hold any longer.
    async fn until_another_answers(
        &self,
        silent: Silent<'_>,
        is_silent: impl Fn() -> bool,
    ) -> bool {
        // A server that is full would reject the request, or keep it waiting as well.
        let is_other = |it: &Rc<Backend>| {
            !Rc::ptr_eq(it, silent.backend) && filter::has_room(it, Instant::now())
        };
        let mut is_way_lost = None;
        while is_silent() {
            if self.may_be_resent() {
                if self.another_answers(silent.since, is_other).await {
                    // Servers that were all silent may all go on at once.
                    if is_way_lost.is_some() {
                        tidepier_clock::sleep(RETURN_TIME).await;
                    }
                    if is_silent() && self.leaves(silent.since, is_other) {
                        return true;
                    }
                }
                let way_lost = match is_way_lost {
                    Some(lost) => lost,
                    None => !self.accepts_connection(silent.backend).await,
                };
                is_way_lost = Some(way_lost);
                // The same server may answer over another way.
                let is_same = |it: &Rc<Backend>| Rc::ptr_eq(it, silent.backend);
                if way_lost
                    && self.another_answers(silent.since, is_same).await
                    && self.leaves(silent.since, is_same)
                {
                    return true;
                }
            }
            tidepier_clock::sleep(LOOK_INTERVAL).await;
        }
        false
    }

    /// Whether one of the servers that `may_go` accepts is known to answer, or answers a
    /// health check now.
    async fn another_answers(&self, since: Instant, may_go: impl Fn(&Rc<Backend>) -> bool) -> bool {
        if self.known(since, &may_go).is_some() {
            return true;
        }
        let (interval, now) = (verify::check_interval(self.relay.boxes()), Instant::now());
        let due = self.candidate(|it| may_go(it) && it.check.is_due(interval, now));
        match due {
            Some(backend) => self.answers_check_elsewhere(&backend).await,
            None => false,
        }
    }

    /// A server that is known to answer, as far as `may_go` accepts it.
    fn known(&self, since: Instant, may_go: impl Fn(&Rc<Backend>) -> bool) -> Option<Rc<Backend>> {
        let since = evidence_since(since);
        self.candidate(|it| may_go(it) && it.has_answered_since(since))
    }

    /// Whether the request leaves for a server that is known to answer. Charges the retry.
    fn leaves(&self, since: Instant, may_go: impl Fn(&Rc<Backend>) -> bool) -> bool {
        let known = self.known(since, may_go);
        let Some(known) = known.filter(|_| self.charge_retry()) else {
            return false;
        };
        log::info!(
            target: "request",
            "event=leaves id={} for={} ms={}",
            self.request.attempt,
            known.server.id,
            self.arrival.at.elapsed().as_millis(),
        );
        self.retry_charged.set(true);
        self.answering_since.set(Some(evidence_since(since)));
        true
    }

    /// Whether the request could be sent to another server now.
    fn may_be_resent(&self) -> bool {
        let (relay, now) = (self.relay, Instant::now());
        self.attempts < self.route.attempts
            && self.time_for_retry(Duration::ZERO)
            && relay.budget.allows(&self.service, relay.boxes(), now)
            && self.check_release_serves().is_ok()
            && relay.crashes.table.refused(self.content, now).is_none()
    }

    /// One of the servers that may get the request and that `matches` accepts: the first one
    /// after a random one, as few of them are usually ruled out.
    fn candidate(&self, matches: impl Fn(&Rc<Backend>) -> bool) -> Option<Rc<Backend>> {
        let servers = self.relay.fleet.serving(&self.service);
        let matching: Vec<&Rc<Backend>> = servers.iter().filter(|it| matches(it)).collect();
        if matching.is_empty() {
            return None;
        }
        let (regions, selector) = (self.relay.regions(), self.release_selector());
        let criteria = self.criteria(self.filter(&regions, &selector, Duration::ZERO));
        let now = Instant::now();
        let (before, after) = matching.split_at(fastrand::usize(..matching.len()));
        let mut in_turn = after.iter().chain(before);
        let open = in_turn.find(|it| choose::is_open(it, &criteria, now));
        open.map(|it| Rc::clone(it))
    }

    /// Sends a health check to a server that the request may go to. Returns whether it is
    /// answered in time.
    async fn answers_check_elsewhere(&self, backend: &Rc<Backend>) -> bool {
        backend.check.begin(Instant::now());
        let limit =
            CHECK_SLACK + verify::check_limit(health_check::round_trip(self.relay, backend));
        let checked = timeout::within(limit, health_check::send(self.relay, backend)).await;
        let verdict = Verdict::of(checked);
        metrics::counter!("tidepier_silence_checks_total", "result" => verdict.as_str())
            .increment(1);
        let is_answered = verdict == Verdict::Answered;
        if is_answered {
            backend.check.record(true, Instant::now());
        }
        is_answered
    }
}

/// From when on data from a server shows that it answers while another one is silent.
fn evidence_since(silent_since: Instant) -> Instant {
    let recent = Instant::now().checked_sub(EVIDENCE_AGE);
    recent.map_or(silent_since, |at| at.max(silent_since))
}

/// Whether a server has sent nothing on any connection since a time.
fn is_silent_since(backend: &Backend, since: Instant) -> bool {
    backend.last_received().is_none_or(|at| at <= since)
}
