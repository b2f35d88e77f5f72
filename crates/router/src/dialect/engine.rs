//! How engines are asked: chat completions with numbered events.

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

/// A stuck engine is known by these: some prompts take many seconds to read,
/// tokens then come many times a second.
pub(crate) const PAUSES: Timeouts = Timeouts {
    first: Duration::from_secs(30),
    between: Duration::from_secs(3),
};

/// One chat as engines are asked about it.
pub(crate) struct Engine {
    /// The request; absent when only a running answer is read on.
    pub(crate) chat: Option<Chat>,
}

impl Dialect for Engine {
    fn start(&self, work: &Work, text: &str) -> Result<Call, Fault> {
        let chat = self
            .chat
            .as_ref()
            .ok_or_else(|| Fault::new(Kind::Internal, "no request"))?;
        let body = chat.for_engine(text)?;
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
