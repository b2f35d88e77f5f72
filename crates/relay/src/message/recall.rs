//! What a box that has started asks others: which engines keep which parts.

use serde::{Deserialize, Serialize};

use crate::traffic::index::Entry;
use crate::traffic::Progress;

/// What a box asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// [`VERSION`](super::VERSION) of the sender.
    pub version: u16,
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// [`VERSION`](super::VERSION) of the sender.
    pub version: u16,
    /// How much the sender knows.
    pub progress: Progress,
    /// What is known to be kept.
    pub kept: Vec<Entry>,
}
