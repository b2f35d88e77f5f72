//! Handles one request, from its arrival to its answer.
//!
//! * `admission`: admits or refuses the request by the catalog in force.
//! * `overload`: admits or refuses requests for plain services by their load.
//! * `origin`: finds out which release began a stream that a client takes up.
//! * `state`: the state of the request while it is handled.
//! * `send`: chooses a server and sends the request there.
//! * `silent`: waits at a server that is silent.
//! * `stream`: forwards the answer to the client.
//! * `deliver`: writes an answer that was read completely.
//! * `time_left`: whether a server can answer before a shutdown of this box ends.
//! * `retry`: decides whether the request is sent again, and how it is refused if not.
//! * `report`: log lines, metrics and the health of servers.
//!
//! Invariant: a client gets exactly one final answer to a request: either a
//! server's answer or a refusal by this box. The answer may end incomplete
//! only after events of a stream have been forwarded, or if the client does not take it.

mod admission;
mod buffered;
mod check;
mod deliver;
mod disposition;
mod origin;
mod overload;
mod report;
mod retry;
mod send;
mod silent;
mod state;
mod stream;
mod time_left;

use std::future;
use std::rc::Rc;

use futures_lite::FutureExt;
use tidepier_h1::Writer;
use tidepier_platform::refusal::Refusal;

pub use admission::deadline;
pub use disposition::Disposition;
pub(crate) use report::{log_client_cut, log_client_left};
pub(crate) use state::request_id;
use state::Exchange;
pub use state::IncomingRequest;
pub use time_left::latest_start;

use crate::attempt::{Failure, Reply};
use crate::fleet::Backend;
use crate::refusal;
use crate::relay::Relay;

/// Handles one request and writes its answer.
pub async fn run(relay: &Relay, arrival: &IncomingRequest<'_>, writer: &Writer) -> Disposition {
    let mut exchange = match admission::admit(relay, arrival, writer) {
        Ok(exchange) => exchange,
        Err((kind, attempt)) => {
            return refuse(relay, arrival, writer, kind, &attempt).await;
        }
    };
    let served = async { Some(exchange.serve().await) };
    let stopped = async {
        relay.stop.wait_for_deadline().await;
        // An answer of which nothing is missing is written for as long as possible.
        if arrival.answer_begun.get() && arrival.cut_action.get().is_none() {
            future::pending::<()>().await;
        }
        None
    };
    match (served.or(stopped).await, arrival.cut_action.get()) {
        (Some(Ok(end)), _) => end,
        (Some(Err(kind)), _) => exchange.finish_without_server(kind).await,
        (None, Some(cut_action)) => {
            report::log_interrupted(arrival);
            cut_action
        }
        (None, None) => exchange.finish_at_stop().await,
    }
}

/// Writes a refusal by this box.
pub async fn refuse(
    relay: &Relay,
    arrival: &IncomingRequest<'_>,
    writer: &Writer,
    kind: refusal::Kind,
    attempt: &str,
) -> Disposition {
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
    let close = arrival.close || relay.closes_clients();
    let mut out = Vec::new();
    let answer = Refusal {
        method: arrival.head.method(),
        status: kind.status(),
        attempt,
        retry_after: kind.retry_after(),
        reason: kind.name(),
        close,
    };
    answer.encode(&mut out);
    match writer.write_all(&out).await {
        Ok(()) if !close => Disposition::Keep,
        _ => Disposition::Close,
    }
}

impl Exchange<'_> {
    async fn serve(&mut self) -> Result<Disposition, refusal::Kind> {
        self.find_origin().await?;
        self.admit_by_load()?;
        loop {
            let sent = self.send(self.request.resume_after).await;
            let (backend, result) = sent.map_err(|kind| self.lost_if_may_have_executed(kind))?;
            match self.forward(&backend, result).await {
                Ok(end) => return Ok(end),
                Err(failure) => {
                    self.record_failure(&backend, &failure);
                    self.may_retry(&failure)?;
                }
            }
        }
    }

    /// Answers to a request that no further server will handle: with the 5xx
    /// answer that a server gave earlier, if there is one, else with a refusal.
    async fn finish_without_server(&mut self, kind: refusal::Kind) -> Disposition {
        if let Some(answer) = self.fallback.take() {
            return self.deliver(answer).await;
        }
        let attempt = &self.request.attempt;
        refuse(self.relay, self.arrival, self.writer, kind, attempt).await
    }

    /// Answers to a request that is still in flight at the deadline of the shutdown.
    async fn finish_at_stop(&mut self) -> Disposition {
        let kind = if self.may_be_executing.get() || self.may_have_executed {
            refusal::Kind::Interrupted
        } else {
            refusal::Kind::Stopping
        };
        self.finish_without_server(kind).await
    }

    /// Forwards a server's answer, unless the request has to go to another server.
    async fn forward(
        &mut self,
        backend: &Rc<Backend>,
        result: Result<Reply, Failure>,
    ) -> Result<Disposition, Failure> {
        let reply = self.check_reply(backend, result?).await?;
        stream::forward(self, backend.clone(), reply).await
    }
}
