//! The bodies of `/v1/chat/completions` and `/v1/responses`.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tidepier_core::request::{Part, Prompt};
use tidepier_errors::{Fault, Kind};
use tidepier_ids as ids;

/// Number of first messages that make up a chat's stable start.
const PREFIX_MESSAGES: usize = 2;
/// Bytes of English text per token with common tokenizers.
const BYTES_PER_TOKEN: u32 = 4;
/// Fields that limit the number of tokens of the answer.
const OUTPUT_FIELDS: [&str; 2] = ["max_completion_tokens", "max_tokens"];

/// Which of the two APIs a client uses.
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

/// A client's request. Fields that the router does not know are sent to the
/// engine unchanged.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Chat {
    /// The model that the client requests.
    pub(crate) model: String,
    messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default, skip_serializing)]
    pub(crate) previous_response_id: Option<String>,
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
    /// [`Kind::BadRequest`] that names what is wrong and where.
    pub(crate) fn parse(api: Api, bytes: &[u8]) -> Result<Self, Fault> {
        let bad = |error: serde_json::Error| Fault::new(Kind::BadRequest, error.to_string());
        let chat: Chat = match api {
            Api::Completions => serde_json::from_slice(bytes).map_err(bad)?,
            Api::Responses => {
                let body: ResponsesBody = serde_json::from_slice(bytes).map_err(bad)?;
                body.into_chat().map_err(bad)?
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
    /// Later turns of the chat do not change it. Accounts that ask about the same
    /// text share the hash, so that engines cache the text once.
    pub(crate) fn prefix(&self, most: usize) -> ids::Prefix {
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

    /// The hash of the account and the complete first messages. It identifies
    /// this chat and stays the same in all its turns.
    fn chat_hash(&self, account: &ids::Account) -> ids::Chat {
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

    /// The parts of the prompt: the start that other chats share, and the chat's
    /// own part. Their sizes are estimates from the length; no decision uses them
    /// yet.
    pub(crate) fn prompt(&self, prefix: ids::Prefix, account: &ids::Account) -> Prompt {
        let tokens = |message: &Message| message.bytes() / BYTES_PER_TOKEN;
        let start = self.messages.iter().take(PREFIX_MESSAGES).map(tokens).sum();
        let rest = self.messages.iter().skip(PREFIX_MESSAGES).map(tokens).sum();
        let output = OUTPUT_FIELDS.iter().find_map(|name| self.rest.get(*name));
        let output = output.and_then(Value::as_u64).unwrap_or(0);
        let shared = Part {
            id: prefix.0,
            tokens: start,
        };
        let own = Part {
            id: self.chat_hash(account).0.into(),
            tokens: rest,
        };
        Prompt {
            input: start.saturating_add(rest),
            output: u32::try_from(output).unwrap_or(u32::MAX),
            hint: None,
            parts: vec![shared, own],
        }
    }

    /// Whether the chat has had an earlier turn.
    pub(crate) fn has_previous_turn(&self) -> bool {
        self.messages
            .iter()
            .any(|message| message.role == "assistant")
    }

    /// The body for an engine, which always streams; `text` is the answer so far
    /// that the engine continues.
    pub(crate) fn engine_body(&self, text: &str) -> Result<Vec<u8>, Fault> {
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

impl Message {
    /// The length of the text; 0 for content that is not text, as its size in
    /// tokens is not known.
    fn bytes(&self) -> u32 {
        let bytes = self.content.as_str().map_or(0, str::len);
        u32::try_from(bytes).unwrap_or(u32::MAX)
    }
}

impl ResponsesBody {
    fn into_chat(self) -> Result<Chat, serde_json::Error> {
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
