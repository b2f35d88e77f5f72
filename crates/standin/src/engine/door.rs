//! The HTTP interface of an engine.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, Request};
use serde::Deserialize;
use serde_json::json;
use tidepier_errors::{Fault, Kind};
use tidepier_http::server::{Handler, Reply};
use tidepier_http::{body, events, http_types};
use tidepier_ids as ids;

use super::batch::{Engine, Sequence, Start};
use super::orders::Order;
use crate::faults::Counted;
use crate::oracle::{self, Message};

/// Largest request body in bytes.
const BODY_BYTES_MAX: u64 = 16 << 20;
/// Tokens of the answer to a request without `max_tokens`.
const TOKENS_DEFAULT: u64 = 64;
/// Time-out for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    #[serde(default)]
    continue_final_message: bool,
}

#[derive(Deserialize)]
struct Blocks {
    blocks: Vec<u64>,
}

/// HTTP handler of an [`Engine`].
pub struct Door(pub Arc<Engine>);

impl Handler for Door {
    async fn handle(&self, mut request: Request) -> Reply {
        let engine = &self.0;
        let read = body::read(&mut request, BODY_BYTES_MAX, BODY_TIMEOUT).await;
        engine.switches.pause().await;
        if engine.switches.consume(Counted::Refuse) {
            return Reply::text(503, "refused by switch".into());
        }
        let path = request.url().path().to_string();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let answered = match (request.method(), parts.as_slice()) {
            (Method::Post, ["v1", "chat", "completions"]) => {
                read.and_then(|bytes| self.chat(&request, &bytes))
            }
            (Method::Get, ["v1", "streams", id]) => self.resume(&request, id),
            (Method::Post, ["v1", "streams", id, "cancel"]) => self.cancel(&request, id),
            (Method::Get, ["load"]) => Ok(Reply::json(200, &engine.report())),
            (Method::Get, ["cache", "events"]) => {
                let after = query(&request, "after").unwrap_or(0);
                let changes = engine.cache().changes(after);
                Ok(Reply::json(200, &json!({ "changes": changes })))
            }
            (Method::Post, ["kv", "export"]) => read.and_then(|bytes| self.export(&bytes)),
            (Method::Post, ["kv", "import"]) => read.and_then(|bytes| self.import(&bytes)),
            (Method::Get, ["orders"]) => {
                let orders = engine.orders.lock().unwrap_or_else(|e| e.into_inner());
                Ok(Reply::json(200, &orders.loaded))
            }
            (Method::Post, ["orders"]) => read.and_then(|bytes| self.order(&bytes)),
            _ => Err(Fault::new(Kind::NotFound, path.as_str())),
        };
        answered.unwrap_or_else(|fault| Reply::fault(&fault))
    }
}

impl Door {
    fn chat(&self, request: &Request, bytes: &[u8]) -> Result<Reply, Fault> {
        let mut chat: Chat = parse(bytes)?;
        let id = header(request, "x-request-id").and_then(|text| text.parse().ok());
        let id = id.unwrap_or_else(ids::Request::random);
        let priority = header(request, "x-priority").and_then(|text| text.parse().ok());
        let partial = match chat.continue_final_message {
            true => chat
                .messages
                .pop()
                .map_or(String::new(), |last| last.content),
            false => String::new(),
        };
        let prompt = oracle::prompt(&chat.messages);
        let start = Start {
            id,
            seed: oracle::seed(&chat.model, &prompt),
            first: partial.split_whitespace().count() as u64,
            total: chat.max_tokens.unwrap_or(TOKENS_DEFAULT),
            prompt: prompt + &partial,
            priority: priority.unwrap_or(1),
        };
        let first = start.first;
        match self.0.start(start) {
            Some(sequence) => Ok(self.stream(sequence, first)),
            None => Err(Fault::new(Kind::Conflict, "the request id is known")),
        }
    }

    fn resume(&self, request: &Request, id: &str) -> Result<Reply, Fault> {
        let sequence = self.find(id)?;
        let from = query(request, "from").unwrap_or(0);
        if from < sequence.first {
            return Err(Fault::new(Kind::Gone, "the answer starts later here"));
        }
        Ok(self.stream(sequence, from))
    }

    fn cancel(&self, request: &Request, id: &str) -> Result<Reply, Fault> {
        let sequence = self.find(id)?;
        let reader = query(request, "reader").unwrap_or(u64::MAX);
        let cancelled = self.0.cancel(sequence.id, reader);
        Ok(Reply::json(200, &json!({ "cancelled": cancelled })))
    }

    fn find(&self, id: &str) -> Result<Arc<Sequence>, Fault> {
        let id = id.parse().map_err(|_| Fault::new(Kind::NotFound, id))?;
        let found = self.0.find(id);
        found.ok_or_else(|| Fault::new(Kind::NotFound, "no such stream"))
    }

    fn export(&self, bytes: &[u8]) -> Result<Reply, Fault> {
        let wanted: Blocks = parse(bytes)?;
        let cache = self.0.cache();
        let held = cache.hit(&wanted.blocks) / super::BLOCK_TOKENS;
        let blocks = &wanted.blocks[..held as usize];
        Ok(Reply::json(200, &json!({ "blocks": blocks })))
    }

    fn import(&self, bytes: &[u8]) -> Result<Reply, Fault> {
        let given: Blocks = parse(bytes)?;
        self.0.cache().store(&given.blocks);
        Ok(Reply::json(200, &json!({ "blocks": given.blocks.len() })))
    }

    fn order(&self, bytes: &[u8]) -> Result<Reply, Fault> {
        let order: Order = parse(bytes)?;
        let mut orders = self.0.orders.lock().unwrap_or_else(|e| e.into_inner());
        match orders.take(&order) {
            Ok(()) => Ok(Reply::json(200, &orders.loaded)),
            Err(highest) => {
                let detail = format!("fencing number {} is below {highest}", order.fencing);
                Err(Fault::new(Kind::Conflict, detail))
            }
        }
    }

    fn stream(&self, sequence: Arc<Sequence>, from: u64) -> Reply {
        let reader = sequence.readers.fetch_add(1, Ordering::SeqCst) + 1;
        let (mut response, sender) = events::response();
        response.insert_header("x-reader", reader.to_string());
        let writing = write(self.0.clone(), sequence, from, sender);
        Reply {
            response,
            pump: Some(Box::pin(async move {
                // A failed write means that the client has closed the
                // connection, which it may do at any time.
                let _ = writing.await;
            })),
        }
    }
}

async fn write(
    engine: Arc<Engine>,
    sequence: Arc<Sequence>,
    from: u64,
    mut sender: events::Sender,
) -> std::io::Result<()> {
    let cut = engine.switches.consume(Counted::Cut).then_some(from + 3);
    let cross = engine.switches.consume(Counted::Cross).then_some(from + 2);
    let repeat = engine.switches.consume(Counted::Repeat).then_some(from + 2);
    let gap = engine.switches.consume(Counted::Gap).then_some(from + 2);
    let mut offset = from;
    loop {
        let listener = sequence.progressed.listen();
        let made = sequence.made.load(Ordering::SeqCst).min(sequence.total);
        while offset < made {
            engine.switches.wait_while_frozen().await;
            if cut == Some(offset) {
                return Ok(());
            }
            if cross == Some(offset) {
                let other = ids::Request(sequence.id.0 ^ 1);
                sender
                    .send(&frame_id(other, offset), &chunk(other, "foreign "))
                    .await?;
            }
            if gap == Some(offset) {
                offset += 1;
                continue;
            }
            let data = chunk(sequence.id, &oracle::token(sequence.seed, offset));
            sender.send(&frame_id(sequence.id, offset), &data).await?;
            if repeat == Some(offset) {
                sender.send(&frame_id(sequence.id, offset), &data).await?;
            }
            offset += 1;
        }
        // Not `sequence.is_complete()`: more tokens may have been made since
        // `made` was read above, and they have not been sent yet.
        if offset >= sequence.total {
            break;
        }
        if sequence.aborted.load(Ordering::SeqCst) {
            return Ok(());
        }
        listener.await;
    }
    let end = frame_id(sequence.id, sequence.total);
    sender
        .send(&end, &last_chunk(&engine.name, &sequence))
        .await?;
    sender.send("", "[DONE]").await
}

fn frame_id(id: ids::Request, offset: u64) -> String {
    format!("{id}:{offset}")
}

fn chunk(id: ids::Request, text: &str) -> String {
    // Tokens contain no character that JSON would have to escape.
    format!(
        "{{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\
         \"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}"
    )
}

fn last_chunk(engine: &ids::Engine, sequence: &Sequence) -> String {
    json!({
        "id": sequence.id.to_string(),
        "object": "chat.completion.chunk",
        "system_fingerprint": engine,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        "usage": {
            "prompt_tokens": sequence.prompt,
            "completion_tokens": sequence.total - sequence.first,
            "prompt_tokens_details": {
                "cached_tokens": sequence.cached,
                "best_cached_tokens": sequence.best,
            },
        },
    })
    .to_string()
}

fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(bytes).map_err(|error| Fault::new(Kind::BadRequest, error.to_string()))
}

fn header<'r>(request: &'r Request, name: &str) -> Option<&'r str> {
    request.header(name).map(|values| values.last().as_str())
}

fn query(request: &Request, name: &str) -> Option<u64> {
    let mut pairs = request.url().query_pairs();
    let (_, value) = pairs.find(|(found, _)| found == name)?;
    value.parse().ok()
}
