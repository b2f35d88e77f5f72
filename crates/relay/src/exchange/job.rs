//! One request while it is worked on.

use std::sync::Arc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::{Account, Cold, Route};
use tidepier_core::request::Request;
use tidepier_h1::{Head, Writer};
use tidepier_ids as ids;
use tidepier_platform::answer;

use super::answer::Whole;
use crate::content::Fingerprint;
use crate::relay::Relay;

/// A request as it arrived.
pub struct IncomingRequest<'a> {
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

/// The start of one sending.
#[derive(Debug, Clone, Copy)]
pub(super) struct Start {
    pub(super) at: Instant,
    /// Time in which the server may read the prompt.
    pub(super) reading: Duration,
}

/// A request that was admitted.
pub(super) struct Exchange<'a> {
    pub(super) relay: &'a Relay,
    pub(super) arrival: &'a IncomingRequest<'a>,
    pub(super) writer: &'a Writer,
    pub(super) request: Request,
    /// What it asks, whichever attempt it is.
    pub(super) content: Fingerprint,
    pub(super) route: Arc<Route>,
    pub(super) account: Option<Arc<Account>>,
    pub(super) service: ids::Service,
    /// Most connections of this box to one server.
    pub(super) connections: u32,
    /// What a server bears while it is cold.
    pub(super) cold: Option<Cold>,
    /// Time in ms to copy a token's memory between engines, where they can.
    pub(super) copy_ms: Option<f64>,
    /// When the client has its final answer at the latest.
    pub(super) deadline: Instant,
    pub(super) tried: Vec<ids::Server>,
    /// The last sending.
    pub(super) sending: Start,
    /// Servers that it was sent to.
    pub(super) sent: u32,
    /// Servers that were not there: no connection came up, or another server
    /// has the address.
    pub(super) absent: u32,
    /// Whether the next sending is taken out of the budget already.
    pub(super) paid: bool,
    /// Whether a server may have run it.
    pub(super) may_have_run: bool,
    /// A server's own error: the client's answer if no other server has one.
    pub(super) aside: Option<Whole>,
}

impl Exchange<'_> {
    /// Whether the client's connection is closed after this answer.
    pub(super) fn closes(&self) -> bool {
        self.arrival.close || self.relay.closes_clients()
    }

    /// Encodes an answer's head for the client.
    pub(super) fn head(&self, head: &Head, length: answer::Length, close: bool) -> Vec<u8> {
        let mut out = Vec::new();
        answer::encode(head, length, close, &mut out);
        out
    }
}
