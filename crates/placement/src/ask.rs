//! Requests for a place on an engine of a pool, and the pool's answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_config::document::Priority;
use tidepier_errors::Fault;
use tidepier_ids as ids;

/// A request for a place on an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The box that asks, and the number it gave the request.
    pub ticket: Ticket,
    /// The account that the request is charged to.
    pub account: ids::Account,
    /// The account's weight in the fair queue.
    pub share: u32,
    /// The account's priority.
    pub priority: Priority,
    /// The hash of the unchanging start of the chat's prompt, which other chats
    /// may share.
    pub prefix: ids::Prefix,
    /// A hash that is unique to this chat and the same in all its turns.
    pub chat: ids::Chat,
    /// Whether the chat has had a turn before.
    pub returning: bool,
    /// The engine that last served the chat, if known.
    pub prefer: Option<ids::Engine>,
    /// Engines on which this request has just failed.
    pub avoid: Vec<ids::Engine>,
    /// Longest time that the request can still wait.
    pub patience: Duration,
}

/// Identifies a request to a keeper: the box that asks and that box's number for
/// the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// The box that asks.
    pub from: ids::Box,
    /// Its number for the request.
    pub number: u64,
}

/// A place on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The engine.
    pub engine: ids::Engine,
    /// Identifies the place when it is released.
    pub slot: ids::Slot,
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The request gets a place.
    Granted(Grant),
    /// The request waits. A later call of `Pool::release` or `Pool::tick` returns
    /// its final verdict.
    Waits,
    /// The request is refused; this is final.
    Refused(Fault),
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// The engine served it, or the client gave up.
    #[serde(rename = "o")]
    Served,
    /// The engine was unreachable or broke off its answer.
    #[serde(rename = "f")]
    Failed,
}
