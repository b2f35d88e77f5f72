//! One admitted request, in the terms that it is placed, queued, repeated and
//! resumed by.

use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_ids as ids;

use crate::catalog::Kind;
use crate::request::Prompt;

/// What is asked of a model engine.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its id; the same at every engine that it is sent to.
    pub id: ids::Request,
    /// The client's account.
    pub account: ids::Account,
    /// Urgency at an engine; 0 is the most urgent.
    pub priority: u8,
    /// The model.
    pub model: ids::Model,
    /// The prompt's parts, and the expected output.
    pub prompt: Prompt,
    /// Whether its session has had an answer before.
    pub returning: bool,
    /// The engine that made the answer before, where that is known.
    pub prefer: Option<ids::Engine>,
    /// Engines that have failed it.
    pub avoid: Vec<ids::Engine>,
    /// Whether it may run again, or go on elsewhere after an event.
    pub kind: Kind,
    /// When its answer must be whole.
    pub deadline: Instant,
    /// Pauses after which its engine counts as stuck.
    pub stall_timeouts: Timeouts,
}

/// Longest pauses of an engine that works.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Before the first event.
    pub first: Duration,
    /// Between two events.
    pub between: Duration,
}
