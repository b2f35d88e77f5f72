//! The state of one request while it is handled.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use tidepier_admission::speed::{Prediction, Work};
use tidepier_clock::Instant;
use tidepier_core::catalog::{Account, Cold, Kind, Route, Service};
use tidepier_core::request::Request;
use tidepier_h1::{head, Head, Writer};
use tidepier_ids as ids;
use tidepier_platform::{answer, request as wire_request};

use super::buffered::Answer;
use crate::attempt::Path;
use crate::content::Fingerprint;
use crate::fleet::used::Used;
use crate::origin::Origin;
use crate::relay::Relay;

/// A request as read from the client's connection.
pub struct IncomingRequest<'a> {
    /// The head.
    pub head: &'a Head,
    /// The complete body.
    pub body: &'a [u8],
    /// Whether the head announced a body.
    pub has_body: bool,
    /// When the head arrived.
    pub at: Instant,
    /// Whether the connection closes after this request.
    pub close: bool,
    /// Whether a part of the answer has been written.
    pub answer_begun: Cell<bool>,
}

/// The client's id of a request, for the log; `-` if it has none.
pub(crate) fn request_id(head: &Head) -> String {
    let request = wire_request::decode(head);
    request.map_or_else(|_| "-".to_owned(), |request| request.attempt.to_string())
}

/// Who sent a request: the account or, on a route without accounts, the key if there is one.
pub(super) fn caller<'a>(request: &'a Request, account: Option<&'a Account>) -> &'a str {
    let account = account.map(|account| account.name.as_str());
    account.or(request.key.as_deref()).unwrap_or_default()
}

/// The start of one attempt to send the request to a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Start {
    pub(super) at: Instant,
    /// Time that the server may need for the prefill of the prompt; this part of the
    /// delay does not count as slowness.
    pub(super) prefill_time: Duration,
    /// What a model engine has to do before the first event, and how fast it was expected
    /// to be.
    pub(super) first_event: Option<(Work, Prediction)>,
}

/// What the catalog declares of a service, as far as it matters to one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Terms {
    /// Most connections of this box to one server.
    pub(super) connections: u32,
    /// How long a server is cold after its start, and the rate of requests it admits then.
    pub(super) cold: Option<Cold>,
    /// Time in ms to copy the KV cache of a token between engines; `None` if the
    /// engines of the service cannot copy.
    pub(super) copy_ms: Option<f64>,
}

impl Terms {
    /// The terms of a service, which `boxes` boxes send requests to.
    pub(super) fn new(declared: Option<&Service>, boxes: usize) -> Self {
        let connections = declared.map_or(u32::MAX, |service| service.connections);
        let engine = declared.and_then(|service| service.engine);
        Self {
            connections: (connections / boxes as u32).max(2),
            cold: declared.and_then(|service| service.cold),
            copy_ms: engine.and_then(|engine| engine.copy_ms_per_token),
        }
    }
}

/// An admitted request and the state of its handling.
pub(super) struct Exchange<'a> {
    pub(super) relay: &'a Relay,
    pub(super) arrival: &'a IncomingRequest<'a>,
    pub(super) writer: &'a Writer,
    pub(super) request: Request,
    /// Fingerprint of its content, the same for every attempt.
    pub(super) content: Fingerprint,
    pub(super) route: Arc<Route>,
    pub(super) account: Option<Arc<Account>>,
    pub(super) service: ids::Service,
    pub(super) terms: Terms,
    /// Deadline for the final answer.
    pub(super) deadline: Instant,
    /// How long ago the client first asked, as far as that shows.
    pub(super) elapsed: Duration,
    pub(super) tried: Vec<ids::Server>,
    /// The start of the latest attempt.
    pub(super) last_attempt: Start,
    /// When another box had opened its connection, if that was done for it.
    pub(super) tunnel_opened_at: Cell<Option<Instant>>,
    /// When data of the answer to the latest attempt last came, once its head had.
    pub(super) last_data: Cell<Option<Instant>>,
    /// The connection of the latest attempt; `None` until there is one.
    pub(super) path: Cell<Option<Path>>,
    /// The connections over which it was sent.
    pub(super) used: Used,
    /// Number of servers that it was sent to, without those counted as absent.
    pub(super) attempts: u32,
    /// Number of servers that were absent: no connection could be opened, or
    /// another server answers at the address.
    pub(super) absent_count: u32,
    /// Whether the retry budget has already been charged for the next attempt.
    pub(super) retry_charged: Cell<bool>,
    /// Set while the request leaves a silent server: it goes to one that has answered since.
    pub(super) answering_since: Cell<Option<Instant>>,
    /// Whether a server may have executed it.
    pub(super) may_have_executed: bool,
    /// A server's 5xx answer, which the client gets if no other server answers.
    pub(super) fallback: Option<Answer>,
    /// The release that began the stream, once a client has an event of it.
    pub(super) origin: Cell<Option<Origin>>,
    /// Time for which its answer has waited for the client, or for memory that slow
    /// clients take.
    pub(super) client_wait: Cell<Duration>,
}

impl Exchange<'_> {
    /// Whether the answer is a stream that another server can continue.
    pub(super) fn is_resumable(&self) -> bool {
        self.route.kind == Kind::Stream { resumable: true }
    }

    /// Who sent the request.
    pub(super) fn caller(&self) -> &str {
        caller(&self.request, self.account.as_deref())
    }

    /// Directs the request to another service of its route.
    pub(super) fn set_service(&mut self, service: ids::Service) {
        if self.service == service {
            return;
        }
        let catalog = self.relay.view.catalog();
        let declared = catalog.as_ref().and_then(|it| it.services.get(&service));
        self.terms = Terms::new(declared, self.relay.boxes());
        self.service = service;
    }

    /// Whether the client's connection closes after this answer.
    pub(super) fn closes(&self) -> bool {
        self.arrival.close || self.relay.closes_clients()
    }

    /// Where the connection of the latest attempt comes from and which box carries it, for
    /// the log; `-` if there is none.
    pub(super) fn path_names(&self) -> (&'static str, String) {
        let path = self.path.get();
        let gateways = &self.relay.dialer.gateways;
        let carrier = path.and_then(|path| path.carrier);
        let carrier = carrier.map(|address| match gateways.at(address) {
            Some(gateway) => gateway.name.to_string(),
            None => address.to_string(),
        });
        (
            path.map_or("-", |path| path.origin.name()),
            carrier.unwrap_or_else(|| "-".to_owned()),
        )
    }

    /// When the latest attempt began, as far as the server is concerned: finding another box
    /// that opens a connection takes time that is not the server's.
    pub(super) fn attempt_began(&self) -> Instant {
        self.tunnel_opened_at.get().unwrap_or(self.last_attempt.at)
    }

    /// When the silence began in which the latest attempt was given up.
    pub(super) fn silent_since(&self) -> Instant {
        let began = self.attempt_began();
        self.last_data.get().map_or(began, |at| at.max(began))
    }

    /// Adds to the time for which the answer has waited for the client.
    pub(super) fn add_client_wait(&self, time: Duration) {
        self.client_wait.set(self.client_wait.get() + time);
    }

    /// Encodes the head of an answer for the client.
    pub(super) fn head(
        &self,
        head: &Head<head::Answer>,
        length: answer::Length,
        close: bool,
    ) -> Vec<u8> {
        let mut out = Vec::new();
        answer::encode(head, length, close, &mut out);
        out
    }
}
