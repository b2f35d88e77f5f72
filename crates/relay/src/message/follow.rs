//! What a box asks the one of its hall that reads the store.

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

use super::boxes;
use super::part::Part;
pub use super::row::Row;
use crate::emptied;
use crate::rollout;

/// A question of a box to the one that reads the store.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Ask {
    /// [`VERSION`](super::VERSION) of the sender.
    pub version: u16,
    /// Comes back in the answer.
    pub number: u64,
    /// Revision of the configuration's entry that the sender knows; 0: none.
    pub document: u64,
    /// Where the sender stands in the other's record of servers.
    pub position: Position,
    /// What a sender of this form asks beyond that; `None`: one of an older form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub more: Option<More>,
}

/// What a sender that takes servers in parts asks.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct More {
    /// The last server that the sender has got of a list of all; `None`: it is not in
    /// the midst of one.
    pub after: Option<ids::Server>,
    /// Revision of the store up to which the sender knows all servers; 0: it does not.
    pub whole: u64,
    /// The list of boxes that the sender knows.
    pub boxes: boxes::Digest,
    /// How long the other may wait for something new before it answers.
    pub wait_ms: u32,
}

/// A place in a box's record of changes of servers.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Position {
    /// One life of the record.
    pub life: u64,
    /// Changes so far.
    pub changes: u64,
}

/// The answer.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Answer {
    /// [`VERSION`](super::VERSION) of the sender.
    pub version: u16,
    /// The question's number.
    pub number: u64,
    /// How long ago all in the answer was provably the newest; `None`: the
    /// sender cannot confirm that.
    pub age_ms: Option<u64>,
    /// How long ago the configuration in the answer was provably the newest,
    /// however long that is; for a box that starts and knows nothing at all.
    #[serde(default)]
    pub known_ms: Option<u64>,
    /// Revision of the configuration's entry that the sender knows; 0: none.
    pub revision: u64,
    /// Bytes of that entry, which follow this message as they are, where the
    /// other knows an older one.
    pub document_bytes: Option<u32>,
    /// The halls that are to be empty. `None`: a sender of an older form, which
    /// does not know them.
    #[serde(default)]
    pub emptied: Option<emptied::List>,
    /// The operator's orders to move services. `None`: a sender of an older form, which
    /// does not know them.
    #[serde(default)]
    pub rollouts: Option<rollout::List>,
    /// Servers that have changed.
    pub servers: Servers,
    /// The place after these changes.
    pub position: Position,
    /// How long the question waited for this answer.
    #[serde(default)]
    pub held_ms: u64,
    /// The boxes, if the other knows another list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boxes: Option<boxes::List>,
}

/// Servers, as far as the other does not know them.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum Servers {
    /// What has changed since the other's place, in order.
    Changes(Vec<Change>),
    /// All there are, as of a revision of the store.
    All(Vec<Row>, u64),
    /// What the other lacks, or the next piece of it.
    Part(Part),
}

/// One change.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum Change {
    /// A server came or changed.
    Is(Row),
    /// A server is gone, as of a revision of the store.
    Gone(ids::Server, u64),
}

impl Change {
    /// The server.
    pub fn id(&self) -> &ids::Server {
        match self {
            Change::Is(row) => row.id(),
            Change::Gone(id, _) => id,
        }
    }
}
