//! One request, from its arrival to its answer.
//!
//! * `admit`: admission by the catalog in force.
//! * `job`: what is known of the request while it is worked on.
//! * `send`: the choice of a server, and the sending.
//! * `stream`: passing the answer on.
//! * `retry`: whether it is sent again, and the refusal if not.
//! * `report`: log lines, metrics and the health of servers.
//!
//! Invariant: a client gets one final answer to a request, a server's or a
//! refusal of this box. Only where events were passed on already may it end
//! incomplete.

mod admit;
mod answer;
mod end;
mod job;
mod report;
mod retry;
mod send;
mod stream;

use std::rc::Rc;

use tidepier_h1::Writer;
use tidepier_platform::refusal as wire_refusal;

pub use admit::deadline;
pub use end::Disposition;
use job::Exchange;
pub use job::IncomingRequest;

use crate::attempt::{Failure, Reply};
use crate::fleet::Backend;
use crate::refusal;
use crate::relay::Relay;

/// Answers one request.
pub async fn run(relay: &Relay, arrival: &IncomingRequest<'_>, writer: &Writer) -> Disposition {
    let mut exchange = match admit::admit(relay, arrival, writer) {
        Ok(exchange) => exchange,
        Err((kind, attempt)) => {
            return refuse(relay, arrival, writer, kind, &attempt).await;
        }
    };
    match exchange.serve().await {
        Ok(end) => end,
        Err(kind) => exchange.give_up(kind).await,
    }
}

/// Writes an answer of this box's own.
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
    wire_refusal::encode(
        kind.status(),
        attempt,
        kind.retry_after(),
        kind.name(),
        close,
        &mut out,
    );
    match writer.write_all(&out).await {
        Ok(()) if !close => Disposition::Keep,
        _ => Disposition::Close,
    }
}

impl Exchange<'_> {
    async fn serve(&mut self) -> Result<Disposition, refusal::Kind> {
        loop {
            let sent = self.send(self.request.resume_after).await;
            let (backend, result) = sent.map_err(|kind| self.unpromised(kind))?;
            match self.pass(&backend, result).await {
                Ok(end) => return Ok(end),
                Err(failure) => {
                    self.failed(&backend, &failure);
                    self.may_retry(&failure)?;
                }
            }
        }
    }

    /// Ends a request that no server answers any more: with the error that a
    /// server made of it, if there is one, else with an answer of this box.
    async fn give_up(&mut self, kind: refusal::Kind) -> Disposition {
        if let Some(whole) = self.aside.take() {
            let end = whole.deliver(self.writer, self.closes()).await;
            self.note_answered(&whole.backend, whole.status, whole.first);
            return end;
        }
        let attempt = &self.request.attempt;
        refuse(self.relay, self.arrival, self.writer, kind, attempt).await
    }

    /// Passes a server's answer on, unless the request is to go elsewhere.
    async fn pass(
        &mut self,
        backend: &Rc<Backend>,
        result: Result<Reply, Failure>,
    ) -> Result<Disposition, Failure> {
        let reply = self.judge(backend, result?).await?;
        stream::pass(self, backend.clone(), reply).await
    }
}
