//! The protocol to engines: chat completions whose events are numbered.

use std::time::Duration;

use tidepier_core::answer::Event;
use tidepier_core::work::{Timeouts, Work};
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Answer, Call};
use tidepier_http::events::Frame;
use tidepier_ids as ids;

use crate::dialect::answer::Chunk;
use crate::dialect::request::Chat;
use crate::engine::Dialect;

/// An engine that sends nothing for longer than this counts as stalled. The
/// prefill of some prompts takes many seconds; after it, several tokens arrive
/// per second.
pub(crate) const STALL_TIMEOUTS: Timeouts = Timeouts {
    first: Duration::from_secs(30),
    between: Duration::from_secs(3),
};

/// The protocol to engines for one chat.
pub(crate) struct Engine {
    /// The request; `None` when a running answer is only resumed.
    pub(crate) chat: Option<Chat>,
}

impl Dialect for Engine {
    fn start(&self, work: &Work, text: &str) -> Result<Call, Fault> {
        let chat = self
            .chat
            .as_ref()
            .ok_or_else(|| Fault::new(Kind::Internal, "no request"))?;
        let body = chat.engine_body(text)?;
        Ok(Call::post("/v1/chat/completions", body)
            .header("x-request-id", work.id.to_string())
            .header("x-priority", work.priority.to_string()))
    }

    fn resume(&self, request: ids::Request, offset: u64) -> Call {
        Call::get(format!("/v1/streams/{request}?from={offset}"))
    }

    fn cancel(&self, request: ids::Request, reader: u64) -> Call {
        let path = format!("/v1/streams/{request}/cancel?reader={reader}");
        Call::post(path, *b"{}")
    }

    fn reader(&self, answer: &Answer) -> u64 {
        let header = answer.header("x-reader");
        header.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn position(&self, frame: &Frame) -> Option<(ids::Request, ids::Offset)> {
        let (request, offset) = frame.id.split_once(':')?;
        let offset = offset.parse().ok()?;
        Some((request.parse().ok()?, ids::Offset(offset)))
    }

    fn event(&self, frame: Frame) -> Option<Event> {
        let (request, offset) = self.position(&frame)?;
        let chunk = Chunk::parse(&frame.data).ok()?;
        Some(Event {
            request,
            offset,
            text: chunk.text().to_string(),
            last: chunk.finish().is_some(),
            data: frame.data,
        })
    }
}
