//! One admitted request for a model engine: what placing, queueing, retrying and
//! resuming it need to know.

use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_ids as ids;

use crate::catalog::Kind;
use crate::request::Prompt;

/// An admitted request for a model engine.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its id; the same at every engine that it is sent to.
    pub id: ids::Request,
    /// The client's account.
    pub account: ids::Account,
    /// Priority at an engine; 0 is the most urgent.
    pub priority: u8,
    /// The model.
    pub model: ids::Model,
    /// The prompt's parts, and the expected output.
    pub prompt: Prompt,
    /// Whether an earlier request of its session was answered.
    pub returning: bool,
    /// The engine that made that earlier answer, where it is known.
    pub prefer: Option<ids::Engine>,
    /// Engines at which the request failed.
    pub avoid: Vec<ids::Engine>,
    /// Whether it may run again, or be continued at another engine after an event.
    pub kind: Kind,
    /// When its answer has to be complete.
    pub deadline: Instant,
    /// Gaps in the answer from which its engine counts as stuck.
    pub stall_timeouts: Timeouts,
}

/// Longest gaps in the answers of an engine that is not stuck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Before the first event.
    pub first: Duration,
    /// Between two events.
    pub between: Duration,
}
