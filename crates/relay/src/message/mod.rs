//! Messages between boxes and their transport.
//!
//! The modules that send and serve requests depend on the messages, never the other way
//! round.

pub mod boxes;
pub mod follow;
pub mod link;
pub mod origin;
pub mod part;
pub mod recall;
mod row;
pub mod stall;
pub mod traffic;
pub mod tunnel;

use serde::{Deserialize, Serialize};
use tidepier_admission::rise::Sample;

/// Protocol version of these messages. A box does not communicate with a box that has
/// another version.
pub const VERSION: u16 = 3;

/// A request of a box to another box.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum PeerRequest {
    /// Changes in the store; the answer is a [`follow::Answer`].
    Follow(follow::Request),
    /// Requests in flight; the answer is a [`traffic::Answer`].
    Traffic(Box<traffic::Request>),
    /// Prompt parts that engines have cached; the answer is a [`recall::Answer`].
    Recall(recall::Request),
    /// Samples of the requests that the sender has just sent to servers, for the hub of its
    /// hall; there is no answer.
    Samples(Vec<Sample>),
    /// Waits at servers; there is no answer.
    Stalls(stall::Report),
    /// A connection to a server; the answer is a [`tunnel::Answer`], after which this
    /// connection carries it. Boxes of former releases close the connection.
    Tunnel(tunnel::Request),
    /// Origins of streams; there is no answer. Boxes of former releases close the
    /// connection.
    Origins(origin::Report),
    /// The origin of a stream; the answer is an [`origin::Answer`]. Boxes of former
    /// releases close the connection.
    Origin(origin::Request),
}
