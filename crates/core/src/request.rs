//! One request of a client, without its body.

use std::net::SocketAddr;
use std::time::Duration;

use tidepier_ids as ids;

/// One attempt of a client to have a request answered.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The client's id of this attempt; it is forwarded to the server.
    pub attempt: Box<str>,
    /// Host name, without a port, in lower case.
    pub host: Box<str>,
    /// Path, without the query.
    pub path: Box<str>,
    /// API key, if one was sent.
    pub key: Option<Box<str>>,
    /// How long the client waits, counted from the arrival of the head.
    pub client_timeout: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// When the client resumes a stream that broke off: the last event that it
    /// received.
    pub resume_after: Option<u64>,
    /// The same client's attempt that brought the first event of that stream.
    pub resumes: Option<Box<str>>,
}

/// A prompt and the expected length of its completion.
#[derive(Debug, Clone, Default)]
pub struct Prompt {
    /// Length of the prompt, in tokens.
    pub input: u32,
    /// Longest completion, in tokens.
    pub output: u32,
    /// The client's estimate of the completion's length, in tokens; accurate in the
    /// median, often far off for a single request.
    pub hint: Option<u32>,
    /// The prompt's parts in order. All but the last are shared with other requests;
    /// the last belongs to the request or its session alone.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The parts that are shared with other requests.
    pub fn shared(&self) -> &[Part] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Total length of the parts that are shared with other requests, in tokens.
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
    /// Its id; parts with the same id have the same tokens.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// What a box adds to a request that it sends to a server.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// The only server that may execute it.
    pub server: &'a ids::Server,
    /// Time that the server may still take.
    pub left: Option<Duration>,
    /// The client's account; `None` on routes without accounts.
    pub account: Option<&'a ids::Account>,
    /// Priority at a model engine, from 0 (most urgent) to 9.
    pub priority: Option<u8>,
    /// The event after which a stream is to be continued.
    pub resume_after: Option<u64>,
    /// The server from which to copy cached parts of the prompt, instead of a prefill.
    pub copy_from: Option<SocketAddr>,
    /// Length of the body that follows, in bytes, if the request has a body.
    pub body: Option<usize>,
}
