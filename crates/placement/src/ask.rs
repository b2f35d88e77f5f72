//! What is asked of a pool, and its answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_config::document::Priority;
use tidepier_errors::Fault;
use tidepier_ids as ids;

/// A request for a place on an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The box that asks, and its own number for the request.
    pub ticket: Ticket,
    /// The account that pays.
    pub account: ids::Account,
    /// The account's weight.
    pub share: u32,
    /// The account's priority.
    pub priority: Priority,
    /// The hash of the chat's stable start, which other chats may share.
    pub prefix: ids::Prefix,
    /// The hash that this chat alone keeps through all its turns.
    pub chat: ids::Chat,
    /// Whether the chat has had a turn before.
    pub returning: bool,
    /// The engine that served the chat last, if known.
    pub prefer: Option<ids::Engine>,
    /// Engines that have just failed this request.
    pub avoid: Vec<ids::Engine>,
    /// Time that the request can still wait.
    pub patience: Duration,
}

/// Names a request towards a keeper: a box and its own number.
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
    /// Names the place when it is given back.
    pub slot: ids::Slot,
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// A place.
    Granted(Grant),
    /// The request waits; a verdict follows from `Pool::release` or
    /// `Pool::tick`.
    Waits,
    /// Final refusal.
    Refused(Fault),
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// The engine served it, or the caller gave up.
    #[serde(rename = "o")]
    Served,
    /// The engine could not be reached or broke off.
    #[serde(rename = "f")]
    Failed,
}
