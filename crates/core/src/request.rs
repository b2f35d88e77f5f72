//! One request of a client, without its body.

use std::net::SocketAddr;
use std::time::Duration;

use tidepier_ids as ids;

/// One attempt of a client to have a request answered.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The client's id of this attempt; passed on to the server.
    pub attempt: Box<str>,
    /// Host name, without a port, in lower case.
    pub host: Box<str>,
    /// Path, without the query.
    pub path: Box<str>,
    /// API key, if one was sent.
    pub key: Option<Box<str>>,
    /// How long the client waits from the arrival of the head.
    pub client_timeout: Option<Duration>,
    /// What is asked of a model, if anything.
    pub prompt: Option<Prompt>,
    /// The last event of a broken stream that the client has, when it resumes.
    pub resume_after: Option<u64>,
}

/// A prompt and the expected length of its completion.
#[derive(Debug, Clone, Default)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: u32,
    /// Most tokens of the completion.
    pub output: u32,
    /// The client's estimate of the completion in tokens; right in the median,
    /// often far off.
    pub hint: Option<u32>,
    /// The prompt's parts in order. All but the last are shared with other
    /// requests; the last is the request's own or its session's.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The parts that are shared with other requests.
    pub fn shared(&self) -> &[Part] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Tokens of the parts that are shared with other requests.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// The last part that is shared with other requests.
    pub fn subject(&self) -> Option<&Part> {
        self.shared().last()
    }
}

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Part {
    /// Same id, same tokens.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What the fleet adds to a request that it sends to a server.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// The one server that may run it.
    pub server: &'a ids::Server,
    /// Time that the server may still take.
    pub left: Option<Duration>,
    /// The client's account; `None` on routes without accounts.
    pub account: Option<&'a ids::Account>,
    /// Urgency at a model engine, 0 (first) to 9.
    pub priority: Option<u8>,
    /// Continue a stream after this event.
    pub resume_after: Option<u64>,
    /// Copy what this server keeps of the prompt instead of reading it.
    pub copy_from: Option<SocketAddr>,
    /// Bytes of the body that follows, if the request has a body.
    pub body: Option<usize>,
}
