//! Messages between boxes: what they say, and how they are carried.
//!
//! Whoever asks and whoever answers know the messages; no message knows either.

pub mod boxes;
pub mod follow;
pub mod link;
pub mod part;
pub mod recall;
mod row;
pub mod traffic;

use serde::{Deserialize, Serialize};

/// The version of these messages. A box does not talk to one that has another.
pub const VERSION: u16 = 3;

/// What a box asks another.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum PeerRequest {
    /// What has changed in the store; answered by [`follow::Answer`].
    Follow(follow::Request),
    /// Which requests are under way; answered by [`traffic::Answer`].
    Traffic(traffic::Request),
    /// Which engines keep which parts; answered by [`recall::Answer`].
    Recall(recall::Request),
}
