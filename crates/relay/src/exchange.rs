//! The way of one request: admitted, placed, sent, answered.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_core::catalog::{Account, Catalog, Route};
use tidepier_core::request::{Forward, Request};
use tidepier_h1::{Head, Writer};
use tidepier_ids as ids;
use tidepier_platform::{answer, refusal as wire_refusal, request as wire_request};

use crate::attempt::{self, Cause, Failure, Ran, Reply, Sending};
use crate::choose::{self, Ask, Choice};
use crate::fleet::Backend;
use crate::health::Outcome;
use crate::refusal;
use crate::relay::Relay;
use crate::stream;

/// Time left under which a request is not sent again.
const RETRY_TIME_MIN: Duration = Duration::from_millis(30);
/// Servers to which a connection is tried in vain before a request is refused.
const CONNECTS_MAX: u32 = 4;
/// Longest rest of a kept connection for a request that may run only once: a
/// server that closes a resting connection would make its fate unknown.
const REST_ONCE: Duration = Duration::from_millis(1_500);
/// The same to a server in another hall: a cut is found by opening a
/// connection, before anything is sent that could be lost.
const REST_OTHER_HALL: Duration = Duration::from_millis(400);
/// Longest rest of a kept connection for a request that may be repeated.
const REST_REPEATABLE: Duration = Duration::from_secs(10);
/// Silence of a server, on all connections, after which a request that may be
/// repeated is sent elsewhere.
const SILENCE: Duration = Duration::from_millis(500);
/// Ranks at a model engine.
const RANK_LAST: u8 = 9;
/// Ranks of routes within one rank of accounts.
const ROUTE_RANKS: u8 = 3;

/// What becomes of the client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It may carry another request.
    Keep,
    /// It is to be closed.
    Close,
}

/// A request as it arrived.
pub struct Arrival<'a> {
    /// The head.
    pub head: &'a Head,
    /// The whole body.
    pub body: &'a [u8],
    /// Whether the head told of a body.
    pub has_body: bool,
    /// When the head arrived.
    pub at: Instant,
    /// Whether the connection ends after this request.
    pub close: bool,
}

/// Answers one request.
pub async fn run(relay: &Relay, arrival: &Arrival<'_>, writer: &Writer) -> End {
    let mut exchange = match admit(relay, arrival, writer) {
        Ok(exchange) => exchange,
        Err((kind, attempt)) => {
            return refuse(relay, arrival, writer, kind, &attempt).await;
        }
    };
    match exchange.serve().await {
        Ok(end) => end,
        Err(kind) => {
            let attempt = exchange.request.attempt.clone();
            refuse(relay, arrival, writer, kind, &attempt).await
        }
    }
}

/// Writes an answer of this box's own.
pub async fn refuse(
    relay: &Relay,
    arrival: &Arrival<'_>,
    writer: &Writer,
    kind: refusal::Kind,
    attempt: &str,
) -> End {
    let view = &relay.view;
    log::info!(
        target: "request",
        "event=refused id={attempt} why={kind} status={} ms={} version={} age_ms={}",
        kind.status(),
        arrival.at.elapsed().as_millis(),
        view.version(),
        view.age().map_or(-1, |age| age.as_millis() as i64),
    );
    metrics::counter!("tidepier_refusals_total", "why" => kind.name()).increment(1);
    let close = arrival.close || relay.sheds();
    let mut out = Vec::new();
    wire_refusal::encode(
        kind.status(),
        attempt,
        kind.retry_after(),
        kind.name(),
        close,
        &mut out,
    );
    match writer.write_all(&out).await {
        Ok(()) if !close => End::Keep,
        _ => End::Close,
    }
}

type Denied = (refusal::Kind, Box<str>);

fn admit<'a>(
    relay: &'a Relay,
    arrival: &'a Arrival<'a>,
    writer: &'a Writer,
) -> Result<Exchange<'a>, Denied> {
    let request = wire_request::decode(arrival.head).map_err(|error| {
        log::info!(target: "request", "event=malformed why=\"{error}\"");
        (refusal::Kind::Malformed, "".into())
    })?;
    let denied = |kind| (kind, request.attempt.clone());
    let catalog = relay.view.catalog();
    let catalog = catalog.ok_or_else(|| denied(refusal::Kind::NotReady))?;
    let fresh = relay.view.is_fresh(relay.bounds().fresh);
    // What is missing in an old catalog may have been added since.
    let fact = |kind| denied(if fresh { kind } else { refusal::Kind::Stale });
    let route = catalog.route(&request.host, &request.path).cloned();
    let route = route.ok_or_else(|| fact(refusal::Kind::NoRoute))?;
    let account = account(relay, &catalog, &route, &request).map_err(|kind| match kind {
        refusal::Kind::NoAccount => fact(kind),
        other => denied(other),
    })?;
    let service = share(&route);
    let declared = catalog.services.get(&service);
    let connections = declared.map_or(u32::MAX, |service| service.connections);
    let engine = declared.and_then(|service| service.engine);
    let patience = request.patience.unwrap_or(route.timeout);
    relay.budget.request(&service, arrival.at);
    Ok(Exchange {
        relay,
        arrival,
        writer,
        connections: (connections / relay.boxes() as u32).max(2),
        deadline: arrival.at + patience.min(route.timeout),
        patience_end: arrival.at + patience,
        copy_ms: engine.and_then(|engine| engine.copy_ms_per_token),
        request,
        account,
        service,
        route,
        tried: Vec::new(),
        sent: 0,
        connects: 0,
        may_have_run: false,
    })
}

/// The account of a request's key, on a route that asks for one.
fn account(
    relay: &Relay,
    catalog: &Catalog,
    route: &Route,
    request: &Request,
) -> Result<Option<Arc<Account>>, refusal::Kind> {
    if route.public || catalog.accounts.is_none() {
        return Ok(None);
    }
    // A key may have been taken away since the catalog was the newest one.
    let trusted = relay
        .bounds()
        .trusted
        .is_none_or(|most| relay.view.is_fresh(most));
    if !trusted {
        return Err(refusal::Kind::Stale);
    }
    let key = request.key.as_deref().ok_or(refusal::Kind::NoAccount)?;
    let account = catalog.account(key).cloned();
    account.map(Some).ok_or(refusal::Kind::NoAccount)
}

/// Picks a service of the route by weight.
fn share(route: &Route) -> ids::Service {
    let total: u64 = route
        .split
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    let mut at = fastrand::u64(0..total.max(1));
    for share in &route.split {
        let weight = u64::from(share.weight);
        if at < weight {
            return share.service.clone();
        }
        at -= weight;
    }
    route.split[0].service.clone()
}

/// A request that was admitted.
pub(crate) struct Exchange<'a> {
    pub(crate) relay: &'a Relay,
    pub(crate) arrival: &'a Arrival<'a>,
    pub(crate) writer: &'a Writer,
    pub(crate) request: Request,
    pub(crate) route: Arc<Route>,
    account: Option<Arc<Account>>,
    service: ids::Service,
    /// Most connections of this box to one server.
    connections: u32,
    /// Time in ms to copy a token's memory between engines, where they can.
    copy_ms: Option<f64>,
    /// When the client has its final answer at the latest.
    pub(crate) deadline: Instant,
    /// When the client gives up.
    patience_end: Instant,
    tried: Vec<ids::Server>,
    /// Servers that it was sent to.
    sent: u32,
    /// Connections that failed.
    connects: u32,
    /// Whether a server may have run it.
    may_have_run: bool,
}

impl Exchange<'_> {
    async fn serve(&mut self) -> Result<End, refusal::Kind> {
        loop {
            let sent = self.send(self.request.resume_after).await;
            let (backend, result) = sent.map_err(|kind| self.unpromised(kind))?;
            let failure = match result {
                Ok(reply) => match self.judge(&backend, reply).await {
                    Ok(reply) => match stream::pass(self, backend.clone(), reply).await {
                        Ok(end) => return Ok(end),
                        Err(failure) => failure,
                    },
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            self.failed(&backend, &failure);
            self.may_retry(&failure)?;
        }
    }

    /// Chooses a server and sends the request there.
    pub(crate) async fn send(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<(Rc<Backend>, Result<Reply, Failure>), refusal::Kind> {
        let choice = self.choose()?;
        let backend = choice.backend.clone();
        self.note_placed(&choice);
        let bytes = self.encode(&choice, resume_after);
        let rest = self.rest(&backend);
        let sending = Sending {
            bytes: &bytes,
            method: self.arrival.head.method(),
            attempt: &self.request.attempt,
            deadline: self.deadline,
            rest,
            prefill: choice.read as u64,
        };
        self.sent += 1;
        self.tried.push(backend.server.id.clone());
        if let Some(prompt) = &self.request.prompt {
            self.relay
                .memory
                .sent(prompt, &backend.server.id, Instant::now());
        }
        let waiting = Waiting::new(&backend, self.route.objective);
        let result = if self.route.kind.repeatable() && self.sent < self.route.attempts {
            attempt::send(&backend, &sending)
                .or(silence(&backend))
                .await
        } else {
            attempt::send(&backend, &sending).await
        };
        waiting.over();
        Ok((backend, result))
    }

    /// Longest rest of a kept connection that may carry the request.
    fn rest(&self, backend: &Backend) -> Duration {
        if backend.server.hall != self.relay.hall {
            REST_OTHER_HALL
        } else if self.route.kind.repeatable() {
            REST_REPEATABLE
        } else {
            REST_ONCE
        }
    }

    fn choose(&self) -> Result<Choice, refusal::Kind> {
        let relay = self.relay;
        let ask = Ask {
            prompt: self.request.prompt.as_ref(),
            copy_ms: self.copy_ms,
            tried: &self.tried,
            hall: &self.relay.hall,
            connections: self.connections,
        };
        let now = Instant::now();
        let choice = choose::choose(&relay.fleet, &self.service, &ask, &relay.memory, now);
        choice.ok_or_else(|| {
            if relay.fleet.serving(&self.service).is_empty() {
                refusal::Kind::NoServer
            } else {
                refusal::Kind::Full
            }
        })
    }

    /// Id of the last part of the prompt that is shared; 0 without one.
    fn subject(&self) -> u64 {
        let prompt = self.request.prompt.as_ref();
        prompt
            .and_then(|prompt| prompt.subject())
            .map_or(0, |part| part.id)
    }

    fn note_placed(&self, choice: &Choice) {
        log::info!(
            target: "request",
            "event=placed id={} route={} account={} server={} try={} cost={:.0} load={:.0} \
             read={:.0} copy={} subject={:x} rank={} hall={} time_ms={:.0} version={} age_ms={}",
            self.request.attempt,
            self.route.name,
            self.account.as_ref().map_or("-", |account| account.name.as_str()),
            choice.backend.server.id,
            self.sent + 1,
            choice.cost,
            choice.load,
            choice.read,
            choice.copy_from.is_some(),
            self.subject(),
            choice.rank.map_or(-1, |rank| rank as i64),
            choice.backend.server.hall,
            choice.backend.health.time_ms().unwrap_or(-1.0),
            self.relay.view.version(),
            self.relay.view.age().map_or(-1, |age| age.as_millis() as i64),
        );
    }

    fn encode(&self, choice: &Choice, resume_after: Option<u64>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(1_024 + self.arrival.body.len());
        let forward = Forward {
            server: &choice.backend.server.id,
            left: Some(self.patience_end.min(self.deadline) - Instant::now()),
            account: self.account.as_ref().map(|account| &account.name),
            priority: self.request.prompt.as_ref().map(|_| self.rank()),
            resume_after,
            copy_from: choice.copy_from,
            body: self.arrival.has_body.then_some(self.arrival.body.len()),
        };
        wire_request::encode(self.arrival.head, &forward, &mut bytes);
        bytes.extend_from_slice(self.arrival.body);
        bytes
    }

    /// Urgency at a model engine: the account's rank goes before the route's.
    fn rank(&self) -> u8 {
        let account = self.account.as_ref().map_or(0, |account| account.priority);
        let route = self.route.priority.min(ROUTE_RANKS - 1);
        account
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(route)
            .min(RANK_LAST)
    }

    /// Whether an answer's head is passed on, or the request goes elsewhere.
    async fn judge(&mut self, backend: &Rc<Backend>, reply: Reply) -> Result<Reply, Failure> {
        if reply.answer.not_run {
            let status = reply.answer.status;
            stream::keep_after(backend, reply, self.deadline).await;
            return Err(Failure {
                ran: Ran::No,
                cause: Cause::Refused(status),
            });
        }
        self.may_have_run = true;
        let own_error = reply.answer.status >= 500;
        let repeatable = self.route.kind.repeatable() && self.time_for_retry();
        if own_error && repeatable && self.retry_is_paid() {
            let status = reply.answer.status;
            stream::keep_after(backend, reply, self.deadline).await;
            return Err(Failure {
                ran: Ran::Unknown,
                cause: Cause::Error(status),
            });
        }
        Ok(reply)
    }

    /// What a failure says of the server; `None`: nothing.
    fn outcome(&self, failure: &Failure) -> Option<Outcome> {
        match &failure.cause {
            Cause::Connect(error) if error.kind() != io::ErrorKind::TimedOut => {
                Some(Outcome::Absent)
            }
            Cause::Connect(_) | Cause::Stalled => Some(Outcome::Silent),
            Cause::Refused(421) => Some(Outcome::Absent),
            Cause::Refused(_) => Some(Outcome::Good),
            // The time may have been too short for any server.
            Cause::Late => {
                let waited = self.arrival.at.elapsed();
                (waited > patience(self.route.objective)).then_some(Outcome::Silent)
            }
            _ => Some(Outcome::Bad),
        }
    }

    /// Records a failure.
    pub(crate) fn failed(&mut self, backend: &Rc<Backend>, failure: &Failure) {
        if failure.ran == Ran::Unknown {
            self.may_have_run = true;
        }
        if let Some(outcome) = self.outcome(failure) {
            backend.record(outcome, Instant::now());
        }
        log::info!(
            target: "request",
            "event=failed id={} server={} why={} detail=\"{}\" ran={:?} ms={} failing={:.2}",
            self.request.attempt,
            backend.server.id,
            failure.cause.name(),
            failure.cause,
            failure.ran,
            self.arrival.at.elapsed().as_millis(),
            backend.health.failure_rate(),
        );
        metrics::counter!("tidepier_send_failures_total", "why" => failure.cause.name())
            .increment(1);
    }

    /// Whether the request may be sent again.
    ///
    /// # Errors
    ///
    /// It may not; the refusal that the client gets.
    pub(crate) fn may_retry(&mut self, failure: &Failure) -> Result<(), refusal::Kind> {
        if !self.time_for_retry() {
            return Err(self.given_up(failure));
        }
        match &failure.cause {
            // Nothing arrived at a server: costs nobody anything.
            Cause::Connect(_) if self.connects < CONNECTS_MAX => {
                self.connects += 1;
                self.sent -= 1;
                Ok(())
            }
            // Already paid for.
            Cause::Error(_) => Ok(()),
            _ if failure.ran == Ran::No || self.route.kind.repeatable() => {
                if self.retry_is_paid() {
                    Ok(())
                } else {
                    Err(self.given_up(failure))
                }
            }
            _ => Err(self.given_up(failure)),
        }
    }

    fn time_for_retry(&self) -> bool {
        self.deadline.saturating_duration_since(Instant::now()) >= RETRY_TIME_MIN
    }

    /// Takes a retry out of the budget, if the route allows another server.
    fn retry_is_paid(&self) -> bool {
        let relay = self.relay;
        let allowed = self.sent < self.route.attempts
            && relay
                .budget
                .spend(&self.service, relay.boxes(), Instant::now());
        if allowed {
            metrics::counter!("tidepier_retries_total").increment(1);
        }
        allowed
    }

    fn given_up(&self, failure: &Failure) -> refusal::Kind {
        match (&failure.cause, self.may_have_run) {
            (Cause::Late, true) => refusal::Kind::Late,
            (_, true) => refusal::Kind::Lost,
            (Cause::Late, false) => refusal::Kind::TimeOver,
            (Cause::Connect(error), false) if is_refused(error) => refusal::Kind::Down,
            (Cause::Connect(_), false) => refusal::Kind::NoServer,
            (_, false) => refusal::Kind::Full,
        }
    }

    /// What a refusal of this box becomes once a server may have run the
    /// request: the kinds that promise the opposite may not be told.
    fn unpromised(&self, kind: refusal::Kind) -> refusal::Kind {
        if self.may_have_run {
            refusal::Kind::Lost
        } else {
            kind
        }
    }

    /// Records that an answer was passed on whole.
    pub(crate) fn answered(&self, backend: &Rc<Backend>, status: u16, first: Duration) {
        let outcome = if status >= 500 {
            Outcome::Bad
        } else {
            Outcome::Good
        };
        backend.record(outcome, Instant::now());
        backend.health.took(first);
        log::info!(
            target: "request",
            "event=answered id={} server={} status={status} first_ms={} ms={} tries={}",
            self.request.attempt,
            backend.server.id,
            first.as_millis(),
            self.arrival.at.elapsed().as_millis(),
            self.sent,
        );
        metrics::counter!("tidepier_answers_total", "status" => class(status)).increment(1);
        metrics::histogram!("tidepier_first_byte_seconds").record(first.as_secs_f64());
        let whole = self.arrival.at.elapsed().as_secs_f64();
        metrics::histogram!("tidepier_answer_seconds").record(whole);
    }

    /// Whether the client's connection is closed after this answer.
    pub(crate) fn closes(&self) -> bool {
        self.arrival.close || self.relay.sheds()
    }

    /// Encodes an answer's head for the client.
    pub(crate) fn head(&self, reply: &Reply, length: answer::Length, close: bool) -> Vec<u8> {
        let mut out = Vec::new();
        answer::encode(&reply.head, length, close, &mut out);
        out
    }
}

/// Whether a machine answered that no process takes connections there.
fn is_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

fn class(status: u16) -> &'static str {
    match status {
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}

/// Ends when a server has been silent on all connections since now.
async fn silence(backend: &Rc<Backend>) -> Result<Reply, Failure> {
    let mut since = Instant::now();
    loop {
        Timer::at(since + SILENCE).await;
        match backend.heard() {
            Some(heard) if heard > since => since = heard,
            _ => {
                return Err(Failure {
                    ran: Ran::Unknown,
                    cause: Cause::Stalled,
                })
            }
        }
    }
}

/// Time in which every healthy server answers.
fn patience(objective: Duration) -> Duration {
    Duration::from_secs(1).max(2 * objective)
}

/// Counts a server as silent when the wait for its answer is abandoned after
/// a time in which every healthy server answers, as when the client leaves.
struct Waiting<'a> {
    backend: &'a Backend,
    since: Instant,
    patience: Duration,
    over: bool,
}

impl<'a> Waiting<'a> {
    fn new(backend: &'a Backend, objective: Duration) -> Self {
        Self {
            backend,
            since: Instant::now(),
            patience: patience(objective),
            over: false,
        }
    }

    fn over(mut self) {
        self.over = true;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.over && self.since.elapsed() > self.patience {
            self.backend.record(Outcome::Silent, Instant::now());
        }
    }
}
