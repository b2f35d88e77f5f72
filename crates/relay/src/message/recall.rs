//! Messages by which a started box learns from others which prompt parts engines have
//! cached.

use serde::{Deserialize, Serialize};

use crate::traffic::index::Entry;
use crate::traffic::Progress;

/// A request for the cached prompt parts that the receiver knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// How far the sender has recovered its own knowledge.
    pub progress: Progress,
    /// Prompt parts known to be cached.
    pub kept: Vec<Entry>,
}
