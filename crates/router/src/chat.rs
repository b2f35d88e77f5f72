//! Chat completions and responses.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tidepier_config::document::{Account, Document};
use tidepier_errors::{Fault, Kind};
use tidepier_http::events;
use tidepier_http::http_types::Request;
use tidepier_http::server::Reply;
use tidepier_ids as ids;

use crate::answer::{self, Completion, End};
use crate::deadline::Deadline;
use crate::node::Node;
use crate::old;
use crate::once::{self, Permit};
use crate::place::Need;
use crate::seal::Ticket;
use crate::stream::{Job, Piece, Source};
use crate::trace::Hop;

/// The header that carries the response id of a streamed answer.
const RESPONSE_HEADER: &str = "tidepier-response";
/// Messages that identify a chat's stable start.
const PREFIX_MESSAGES: usize = 2;

/// Which of the two APIs a caller uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Api {
    /// `/v1/chat/completions`.
    Completions,
    /// `/v1/responses`.
    Responses,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Message {
    role: String,
    content: Value,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

/// A caller's request. Fields that the router does not know go to the engine
/// as they are.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Chat {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default, skip_serializing)]
    previous_response_id: Option<String>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

#[derive(Deserialize)]
struct ResponsesBody {
    model: String,
    input: Value,
    #[serde(default)]
    instructions: Option<String>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    previous_response_id: Option<String>,
    #[serde(default)]
    max_output_tokens: Option<u64>,
}

impl Chat {
    /// Parses a body of either API.
    ///
    /// # Errors
    ///
    /// [`Kind::BadRequest`] that says what is wrong where.
    pub(crate) fn parse(api: Api, bytes: &[u8]) -> Result<Self, Fault> {
        let bad = |error: serde_json::Error| Fault::new(Kind::BadRequest, error.to_string());
        let chat: Chat = match api {
            Api::Completions => serde_json::from_slice(bytes).map_err(bad)?,
            Api::Responses => {
                let body: ResponsesBody = serde_json::from_slice(bytes).map_err(bad)?;
                body.chat().map_err(bad)?
            }
        };
        if chat.messages.is_empty() {
            return Err(Fault::new(
                Kind::BadRequest,
                "messages: found none; allowed: one or more",
            ));
        }
        Ok(chat)
    }

    /// The hash of the stable start: the first messages, up to `most` bytes.
    /// Later turns leave it as it is. Accounts that read the same document
    /// share it, so that the document is cached once.
    fn prefix(&self, most: usize) -> ids::Prefix {
        let mut start = Vec::with_capacity(most.min(8192));
        for message in self.messages.iter().take(PREFIX_MESSAGES) {
            let room = most.saturating_sub(start.len());
            match &message.content {
                Value::String(text) => {
                    start.extend_from_slice(&text.as_bytes()[..text.len().min(room)])
                }
                other => {
                    let text = other.to_string();
                    start.extend_from_slice(&text.as_bytes()[..text.len().min(room)]);
                }
            }
        }
        ids::Prefix::of(&start)
    }

    /// The hash of the first messages as a whole, which this chat alone has
    /// and keeps through all its turns.
    fn identity(&self, account: &ids::Account) -> ids::Chat {
        let texts =
            self.messages
                .iter()
                .take(PREFIX_MESSAGES)
                .map(|message| match &message.content {
                    Value::String(text) => Cow::from(text),
                    other => Cow::from(other.to_string()),
                });
        let texts: Vec<_> = texts.collect();
        let account = std::iter::once(account.as_str().as_bytes());
        ids::Chat::of(account.chain(texts.iter().map(|text| text.as_bytes())))
    }

    /// Whether the chat has had a turn before.
    fn returns(&self) -> bool {
        self.messages
            .iter()
            .any(|message| message.role == "assistant")
    }

    /// The body for an engine, which always streams; `text` is an answer so
    /// far that the engine is to continue.
    pub(crate) fn for_engine(&self, text: &str) -> Result<Vec<u8>, Fault> {
        let mut chat = self.clone();
        chat.stream = true;
        if !text.is_empty() {
            chat.messages.push(Message {
                role: "assistant".into(),
                content: Value::String(text.into()),
                rest: Map::new(),
            });
            chat.rest
                .insert("continue_final_message".into(), Value::Bool(true));
            chat.rest
                .insert("add_generation_prompt".into(), Value::Bool(false));
        }
        serde_json::to_vec(&chat).map_err(|error| Fault::new(Kind::Internal, error.to_string()))
    }
}

impl ResponsesBody {
    fn chat(self) -> Result<Chat, serde_json::Error> {
        let mut messages = Vec::new();
        if let Some(text) = self.instructions {
            messages.push(message("system", Value::String(text)));
        }
        match self.input {
            Value::Array(items) => {
                for item in items {
                    messages.push(serde_json::from_value(item)?);
                }
            }
            text => messages.push(message("user", text)),
        }
        let mut rest = Map::new();
        if let Some(most) = self.max_output_tokens {
            rest.insert("max_tokens".into(), most.into());
        }
        Ok(Chat {
            model: self.model,
            messages,
            stream: self.stream,
            previous_response_id: self.previous_response_id,
            rest,
        })
    }
}

fn message(role: &str, content: Value) -> Message {
    Message {
        role: role.into(),
        content,
        rest: Map::new(),
    }
}

/// A caller's request with all that was found out about it.
pub(crate) struct Incoming<'a> {
    pub(crate) id: ids::Request,
    pub(crate) account: &'a Account,
    pub(crate) document: &'a Document,
    pub(crate) deadline: Deadline,
    pub(crate) request: &'a Request,
}

/// Answers a chat.
///
/// # Errors
///
/// The fault to answer with.
pub(crate) async fn handle(
    node: &Arc<Node>,
    api: Api,
    incoming: &Incoming<'_>,
    bytes: &[u8],
) -> Result<Reply, Fault> {
    let chat = Chat::parse(api, bytes)?;
    let model = allowed_model(incoming, &chat.model)?;
    let prefix = chat.prefix(incoming.document.returning.prefix_bytes);
    if let Some(old) = old::share(incoming, &model, prefix) {
        return old::pass(node, incoming, old, bytes).await;
    }
    let target = format!("model/{model}");
    let once = once::wanted(incoming.request, false)?;
    let permit = match &once {
        None => None,
        Some(wish) => match once::enter(node, incoming, &target, wish, bytes).await? {
            once::Entry::Permit(permit) => Some(permit),
            once::Entry::Answered(reply) => return Ok(*reply),
        },
    };
    let account = &incoming.account.name;
    let streamed = chat.stream;
    let linger = match streamed {
        true => node.settings.tuning.linger_ms.duration(),
        false => Duration::ZERO,
    };
    let previous = chat.previous_response_id.as_deref();
    let prefer = previous.and_then(|id| node.sealer.open(id));
    let prefer = prefer.filter(|ticket| ticket.account == *account && ticket.model == model);
    let need = Need {
        request: incoming.id,
        account: account.clone(),
        model: model.clone(),
        prefix,
        chat: chat.identity(account),
        returning: chat.returns(),
        prefer: prefer.map(|ticket| ticket.engine),
        avoid: Vec::new(),
        deadline: incoming.deadline,
    };
    let job = Job {
        need,
        priority: incoming.account.priority,
        chat: Some(chat),
        repeat: once.is_none(),
        linger,
        moved: false,
    };
    if let Some(permit) = &permit {
        permit.sending();
    }
    let source = Source::open(node.clone(), job).await;
    let source = match source {
        Ok(source) => source,
        Err(fault) => {
            if let Some(permit) = permit {
                permit.refused(&fault);
            }
            return Err(fault);
        }
    };
    let response = response_id(node, incoming, &model, &source);
    match streamed {
        true => Ok(stream(node, api, incoming.id, response, source, permit, 0)),
        false => whole(api, &model, &response, source, permit).await,
    }
}

fn allowed_model(incoming: &Incoming<'_>, name: &str) -> Result<ids::Model, Fault> {
    let document = incoming.document;
    let model = document
        .models
        .iter()
        .find(|model| model.name.as_str() == name);
    let model = model.ok_or_else(|| Fault::new(Kind::NotFound, format!("no model {name:?}")))?;
    if !incoming.account.models.contains(&model.name) {
        let detail = format!("the account may not use model {name:?}");
        return Err(Fault::new(Kind::Forbidden, detail));
    }
    Ok(model.name.clone())
}

fn response_id(
    node: &Node,
    incoming: &Incoming<'_>,
    model: &ids::Model,
    source: &Source,
) -> String {
    node.sealer.seal(&Ticket {
        account: incoming.account.name.clone(),
        engine: source.engine().clone(),
        request: incoming.id,
        model: model.clone(),
    })
}

/// Collects the whole answer.
async fn whole(
    api: Api,
    model: &ids::Model,
    response: &str,
    mut source: Source,
    permit: Option<Permit>,
) -> Result<Reply, Fault> {
    let end = loop {
        match source.next().await {
            Ok(Piece::Token { .. }) => {}
            Ok(Piece::Last { end, .. }) => break end,
            Err(fault) => {
                if let Some(permit) = permit {
                    permit.refused(&fault);
                }
                return Err(fault);
            }
        }
    };
    let body = whole_body(api, model, response, source.text(), &end);
    if let Some(permit) = permit {
        permit.done(200, "application/json", &body);
    }
    let mut reply = Reply::text(200, String::new());
    reply.response.set_body(body);
    reply
        .response
        .insert_header("content-type", "application/json");
    reply.response.insert_header(RESPONSE_HEADER, response);
    Ok(reply)
}

fn whole_body(api: Api, model: &ids::Model, id: &str, text: &str, end: &End) -> Vec<u8> {
    let body = match api {
        Api::Completions => serde_json::to_vec(&Completion::new(id, model, text, end)),
        Api::Responses => serde_json::to_vec(&answer::response(id, model, text, end)),
    };
    body.unwrap_or_default()
}

/// Passes the answer on as it comes.
pub(crate) fn stream(
    node: &Arc<Node>,
    api: Api,
    id: ids::Request,
    response: String,
    source: Source,
    permit: Option<Permit>,
    skip: u64,
) -> Reply {
    let (mut head, sender) = events::response();
    head.insert_header(RESPONSE_HEADER, response.as_str());
    let opened = node.opened();
    let node = node.clone();
    let pump = async move {
        let _opened = opened;
        let outcome = pump(api, response, source, sender, skip).await;
        let note = match &outcome {
            Ok(()) => "answered whole".to_string(),
            Err(fault) => format!("ended with {fault}"),
        };
        node.ring.note(node.name(), id, Hop::Caller, note);
        if let Some(permit) = permit {
            // A streamed answer is not kept.
            permit.streamed();
        }
    };
    Reply {
        response: head,
        pump: Some(Box::pin(pump)),
    }
}

async fn pump(
    api: Api,
    response: String,
    mut source: Source,
    mut sender: events::Sender,
    mut sequence: u64,
) -> Result<(), Fault> {
    let left = |_| Fault::new(Kind::Lost, "the caller left");
    if api == Api::Responses {
        let created = serde_json::json!({
            "type": "response.created",
            "response": { "id": response, "status": "in_progress" },
        });
        sender.send("", &created.to_string()).await.map_err(left)?;
    }
    loop {
        match source.next().await {
            Ok(Piece::Token { offset, data }) => {
                let data = match api {
                    Api::Completions => data,
                    Api::Responses => delta(&data, sequence),
                };
                sequence += 1;
                sender
                    .send(&offset.to_string(), &data)
                    .await
                    .map_err(left)?;
            }
            Ok(Piece::Last { offset, data, end }) => {
                let data = match api {
                    Api::Completions => data,
                    Api::Responses => completed(&response, &end),
                };
                sender
                    .send(&offset.to_string(), &data)
                    .await
                    .map_err(left)?;
                return sender.send("", "[DONE]").await.map_err(left);
            }
            Err(fault) => {
                // Said aloud: a stream that just ends could pass for whole.
                let body = serde_json::to_string(&fault.body()).unwrap_or_default();
                sender.send("", &body).await.map_err(left)?;
                return Err(fault);
            }
        }
    }
}

fn delta(data: &str, sequence: u64) -> String {
    let chunk = answer::Chunk::parse(data);
    let text = chunk.as_ref().map_or("", |chunk| chunk.text());
    serde_json::json!({
        "type": "response.output_text.delta",
        "sequence_number": sequence,
        "delta": text,
    })
    .to_string()
}

fn completed(response: &str, end: &End) -> String {
    serde_json::json!({
        "type": "response.completed",
        "response": { "id": response, "status": "completed", "usage": end.usage },
    })
    .to_string()
}
