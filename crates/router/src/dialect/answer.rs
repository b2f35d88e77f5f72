//! Reads the chunks of an engine's answer, and builds the answers for clients.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tidepier_core::answer::Event;
use tidepier_http::server::Reply;
use tidepier_ids as ids;
use tidepier_wire::frame::Kept;

use crate::dialect::request::Api;

#[derive(Deserialize)]
struct Delta<'c> {
    #[serde(borrow, default)]
    content: Option<Cow<'c, str>>,
}

#[derive(Deserialize)]
struct Choice<'c> {
    #[serde(borrow)]
    delta: Delta<'c>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'c, str>>,
}

/// One chunk of an answer, with the fields that the router reads.
#[derive(Deserialize)]
pub(crate) struct Chunk<'c> {
    #[serde(borrow)]
    choices: Vec<Choice<'c>>,
    #[serde(default)]
    pub(crate) usage: Option<Value>,
}

impl<'c> Chunk<'c> {
    pub(crate) fn parse(data: &'c str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(data)
    }

    /// The text that the chunk adds to the answer.
    pub(crate) fn text(&self) -> &str {
        let choice = self.choices.first();
        choice
            .and_then(|choice| choice.delta.content.as_deref())
            .unwrap_or("")
    }

    /// The reason why the answer ends, if this is its last chunk.
    pub(crate) fn finish(&self) -> Option<&str> {
        self.choices.first()?.finish_reason.as_deref()
    }
}

/// The end of a complete answer.
#[derive(Debug, Clone)]
pub(crate) struct End {
    pub(crate) reason: String,
    pub(crate) usage: Option<Value>,
}

impl End {
    /// The end of an answer, read from its last event.
    pub(crate) fn of(event: &Event) -> Self {
        // The chunk can be parsed: an event is marked as the last one only after
        // a finish reason has been read from its chunk.
        let chunk = Chunk::parse(&event.data).ok();
        let reason = chunk.as_ref().and_then(Chunk::finish).unwrap_or_default();
        Self {
            reason: reason.to_string(),
            usage: chunk.and_then(|chunk| chunk.usage),
        }
    }
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct CompleteChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'a str,
}

/// A complete chat completion.
#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a ids::Model,
    choices: [CompleteChoice<'a>; 1],
    usage: &'a Option<Value>,
}

impl<'a> Completion<'a> {
    fn new(id: &'a str, model: &'a ids::Model, text: &'a str, end: &'a End) -> Self {
        let message = Message {
            role: "assistant",
            content: text,
        };
        Self {
            id,
            object: "chat.completion",
            model,
            choices: [CompleteChoice {
                index: 0,
                message,
                finish_reason: &end.reason,
            }],
            usage: &end.usage,
        }
    }
}

/// A complete response of the responses API.
fn response(id: &str, model: &ids::Model, text: &str, end: &End) -> Value {
    serde_json::json!({
        "id": id,
        "object": "response",
        "status": "completed",
        "model": model,
        "output": [{
            "type": "message",
            "role": "assistant",
            "content": [{ "type": "output_text", "text": text }],
        }],
        "usage": end.usage,
    })
}

/// The body of a complete answer.
pub(crate) fn complete_body(
    api: Api,
    model: &ids::Model,
    id: &str,
    text: &str,
    end: &End,
) -> Vec<u8> {
    let body = match api {
        Api::Completions => serde_json::to_vec(&Completion::new(id, model, text, end)),
        Api::Responses => serde_json::to_vec(&response(id, model, text, end)),
    };
    body.unwrap_or_default()
}

/// The event of the responses API that carries the text of one engine event.
pub(crate) fn delta_event(text: &str, sequence: u64) -> String {
    serde_json::json!({
        "type": "response.output_text.delta",
        "sequence_number": sequence,
        "delta": text,
    })
    .to_string()
}

/// The last event of the responses API.
pub(crate) fn completed_event(response: &str, end: &End) -> String {
    serde_json::json!({
        "type": "response.completed",
        "response": { "id": response, "status": "completed", "usage": end.usage },
    })
    .to_string()
}

/// The first event of the responses API.
pub(crate) fn created_event(response: &str) -> String {
    serde_json::json!({
        "type": "response.created",
        "response": { "id": response, "status": "in_progress" },
    })
    .to_string()
}

/// The answer to an earlier arrival of the same request.
pub(crate) fn replay(kept: Kept) -> Reply {
    let mut reply = Reply::text(kept.status, String::new());
    reply.response.set_body(kept.body);
    reply
        .response
        .insert_header("content-type", kept.mime.as_str());
    reply.response.insert_header("tidepier-replayed", "yes");
    reply
}
