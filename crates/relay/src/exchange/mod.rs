//! One request, from its arrival to its answer.
//!
//! * `admit`: admission by the catalog in force.
//! * `send`: the choice of a server, and the sending.
//! * `retry`: whether it is sent again, and the refusal if not.
//! * `report`: log lines, metrics and the health of servers.
//!
//! Invariant: a client gets one final answer to a request, a server's or a
//! refusal of this box. Only where events were passed on already may it end
//! incomplete.

mod admit;
mod report;
mod retry;
mod send;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::{Account, Cold, Route};
use tidepier_core::request::Request;
use tidepier_h1::{Head, Writer};
use tidepier_ids as ids;
use tidepier_platform::{answer, refusal as wire_refusal};

pub use admit::deadline;

use crate::attempt::{Failure, Reply};
use crate::content::Content;
use crate::fleet::Backend;
use crate::refusal;
use crate::relay::Relay;
use crate::stream;

/// What becomes of the client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It may carry another request.
    Keep,
    /// It is to be closed.
    Close,
    /// It is to be reset, as its end would make a broken answer look whole.
    Reset,
}

/// A request as it arrived.
pub struct Arrival<'a> {
    /// The head.
    pub head: &'a Head,
    /// The whole body.
    pub body: &'a [u8],
    /// Whether the head announced a body.
    pub has_body: bool,
    /// When the head arrived.
    pub at: Instant,
    /// Whether the connection ends after this request.
    pub close: bool,
}

/// Answers one request.
pub async fn run(relay: &Relay, arrival: &Arrival<'_>, writer: &Writer) -> End {
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

/// The start of one sending.
#[derive(Debug, Clone, Copy)]
struct Start {
    at: Instant,
    /// Time in which the server may read the prompt.
    reading: Duration,
}

/// A request that was admitted.
pub(crate) struct Exchange<'a> {
    pub(crate) relay: &'a Relay,
    pub(crate) arrival: &'a Arrival<'a>,
    pub(crate) writer: &'a Writer,
    pub(crate) request: Request,
    /// What it asks, whichever attempt it is.
    content: Content,
    pub(crate) route: Arc<Route>,
    account: Option<Arc<Account>>,
    service: ids::Service,
    /// Most connections of this box to one server.
    connections: u32,
    /// What a server bears while it is cold.
    cold: Option<Cold>,
    /// Time in ms to copy a token's memory between engines, where they can.
    copy_ms: Option<f64>,
    /// When the client has its final answer at the latest.
    pub(crate) deadline: Instant,
    tried: Vec<ids::Server>,
    /// The last sending.
    sending: Start,
    /// Servers that it was sent to.
    sent: u32,
    /// Servers that were not there: no connection came up, or another server
    /// has the address.
    absent: u32,
    /// Whether the next sending is taken out of the budget already.
    paid: bool,
    /// Whether a server may have run it.
    may_have_run: bool,
    /// A server's own error: the client's answer if no other server has one.
    aside: Option<stream::Whole>,
}

impl Exchange<'_> {
    async fn serve(&mut self) -> Result<End, refusal::Kind> {
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
    async fn give_up(&mut self, kind: refusal::Kind) -> End {
        if let Some(whole) = self.aside.take() {
            let end = whole.deliver(self).await;
            self.note_answered(whole.backend(), whole.status(), whole.first());
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
    ) -> Result<End, Failure> {
        let reply = self.judge(backend, result?).await?;
        stream::pass(self, backend.clone(), reply).await
    }

    /// Whether the client's connection is closed after this answer.
    pub(crate) fn closes(&self) -> bool {
        self.arrival.close || self.relay.sheds()
    }

    /// Encodes an answer's head for the client.
    pub(crate) fn head(&self, head: &Head, length: answer::Length, close: bool) -> Vec<u8> {
        let mut out = Vec::new();
        answer::encode(head, length, close, &mut out);
        out
    }
}
