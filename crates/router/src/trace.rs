//! A bounded ring of spans, which record what this box did for recent requests.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

/// One hop or decision of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The request.
    pub request: ids::Request,
    /// The box that recorded the span.
    #[serde(rename = "box")]
    pub name: ids::Box,
    /// The hop: `caller`, `keeper`, `engine`, `service`, `store`, `peer`.
    pub hop: Hop,
    /// When the span was recorded, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// What was done or decided, and on which local view.
    pub note: String,
}

/// A kind of hop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Hop {
    /// From and to the client. The name is kept: the command line prints it.
    Caller,
    /// The keeper's decision.
    Keeper,
    /// An engine.
    Engine,
    /// A plain service.
    Service,
    /// A claim in the store.
    Store,
}

/// The most recent spans of this box; the oldest is dropped when it is full.
pub(crate) struct Ring {
    size: usize,
    spans: Mutex<VecDeque<Span>>,
}

impl Ring {
    pub(crate) fn new(size: usize) -> Self {
        Self {
            size,
            spans: Mutex::default(),
        }
    }

    /// Records a span of `request`.
    pub(crate) fn record(&self, name: &ids::Box, request: ids::Request, hop: Hop, note: String) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let span = Span {
            request,
            name: name.clone(),
            hop,
            at_us: since.map_or(0, |d| d.as_micros() as u64),
            note,
        };
        let mut spans = self.spans.lock().unwrap_or_else(|e| e.into_inner());
        if spans.len() >= self.size {
            spans.pop_front();
        }
        spans.push_back(span);
    }

    /// The spans of one request that are still kept.
    pub(crate) fn spans_of(&self, request: ids::Request) -> Vec<Span> {
        let spans = self.spans.lock().unwrap_or_else(|e| e.into_inner());
        spans
            .iter()
            .filter(|span| span.request == request)
            .cloned()
            .collect()
    }
}
