//! What boxes tell each other of the requests under way, the placements and the ends of
//! servers.

use serde::{Deserialize, Serialize};

use crate::crash::table;
use crate::fleet::Count;
use crate::rollout::{self, evidence};
use crate::traffic::log::{Placement, Position};

/// Who asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Requester {
    /// A box of the same hall: it tells of its own requests and hears of all.
    Box,
    /// The hub of another hall: it hears of this hall's requests.
    Hub,
}

/// What a box tells, and asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// [`VERSION`](super::VERSION) of the sender.
    pub version: u16,
    /// Comes back in the answer.
    pub number: u64,
    /// Who asks.
    pub asker: Requester,
    /// Where the sender stands in the other's log of placements.
    pub place: Position,
    /// What the sender tells.
    pub report: Report,
}

/// What one side tells the other.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Boxes whose requests are counted.
    pub boxes: u32,
    /// Counts that differ from what was told before on this connection.
    pub counts: Vec<Count>,
    /// Placements that are new.
    pub rows: Vec<Placement>,
    /// Further ones for which there was no room.
    pub untold: u32,
    /// Contents that servers ended under, as far as that is new.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<table::Row>,
    /// What answers showed of releases that services are moved to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<evidence::Row>,
    /// The orders to move services, while there are any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollouts: Option<rollout::List>,
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// [`VERSION`](super::VERSION) of the sender.
    pub version: u16,
    /// The question's number.
    pub number: u64,
    /// Whether the sender is the hub of its hall: only a hub knows the whole
    /// hall's requests.
    pub is_hub: bool,
    /// The asker's place in the log after these rows.
    pub place: Position,
    /// What the sender tells.
    pub report: Report,
}
