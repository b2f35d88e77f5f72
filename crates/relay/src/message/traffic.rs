//! Messages by which boxes report requests in flight, placements and crashes of servers.

use serde::{Deserialize, Serialize};

use crate::crash::table;
use crate::fleet::lives::Life;
use crate::fleet::speeds;
use crate::fleet::{Count, Key};
use crate::rollout::{self, evidence};
use crate::traffic::log::{Placement, Position};
use tidepier_admission::demand::Summary;
use tidepier_admission::report::Report as Load;
use tidepier_admission::rise::Rise;
use tidepier_admission::stall;

use super::VERSION;

/// The kind of sender of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Requester {
    /// A box of the same hall: it reports its own requests and gets those of all boxes.
    Box,
    /// The hub of another hall: it gets the requests of this hall.
    Hub,
}

/// A report of a box, and a request for the receiver's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// Number of the request, which its answer repeats.
    pub number: u64,
    /// The kind of sender.
    #[serde(rename = "asker")]
    pub requester: Requester,
    /// Position of the sender in the receiver's log of placements.
    #[serde(rename = "place")]
    pub position: Position,
    /// Report of the sender.
    pub report: Report,
    /// Whether the sender takes rises between two answers. Boxes of former releases do not.
    #[serde(default)]
    pub takes_rises: bool,
    /// Whether the sender, a hub, takes stalls between two answers. Hubs of former releases
    /// do not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub takes_stalls: bool,
}

/// Report of one side to the other.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of boxes whose requests are counted.
    pub boxes: u32,
    /// Counts that changed since the last report on this connection.
    pub counts: Vec<Count>,
    /// New placements.
    pub rows: Vec<Placement>,
    /// Number of further new placements that were left out for lack of space.
    #[serde(rename = "untold")]
    pub omitted: u32,
    /// New observations of request contents during which servers crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<table::Row>,
    /// The same of parts of prompts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub part_crashes: Vec<table::Row>,
    /// Recent requests of the counted boxes by service and subject.
    #[serde(default, skip_serializing_if = "Summary::is_empty")]
    pub demand: Summary,
    /// Recent requests by service of all boxes of the receiver's hall.
    #[serde(default, skip_serializing_if = "Summary::is_empty")]
    pub hall_demand: Summary,
    /// Load of the counted boxes on the plain services.
    #[serde(default, skip_serializing_if = "Load::is_empty")]
    pub load: Load,
    /// What the counted boxes learned of the speeds of engines, as far as it changed since
    /// the last report on this connection.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<speeds::Row>,
    /// Waits at servers of the sender, and of those that report to it, that are longer than
    /// requests take there.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits: Vec<stall::Wait<Key>>,
    /// Servers of plain services that have answered the counted boxes since the last report
    /// on this connection; `None` if there are too many of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lives: Option<Vec<Life>>,
    /// Evidence from answers about the releases that services are being moved to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<evidence::Row>,
    /// The orders to move services to another release, while there are any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollouts: Option<rollout::List>,
}

/// The answer to a [`Request`], or notices that are sent without one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// Number of the request; 0 if only notices are sent.
    pub number: u64,
    /// Whether the sender is the hub of its hall: only a hub knows the requests of the
    /// whole hall.
    pub is_hub: bool,
    /// The receiver's position in the log of placements after these rows.
    #[serde(rename = "place")]
    pub position: Position,
    /// Report of the sender.
    pub report: Report,
    /// Whether the sender takes samples. Boxes of former releases do not.
    #[serde(default)]
    pub takes_samples: bool,
    /// Subjects of which the share of the requests has just risen.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rises: Vec<Rise>,
    /// Whether the sender takes waits at once. Boxes of former releases do not.
    #[serde(default)]
    pub takes_waits: bool,
    /// All servers that stand still, for a box of the same hall; for a hub those that do by
    /// what boxes of the sender's hall report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stalls: Option<Vec<stall::Stall<Key>>>,
    /// Servers of plain services that have answered since the last answer on this
    /// connection; `None` if there are too many of them. Boxes of former releases send none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lives: Option<Lives>,
    /// Servers that have answered again not long ago though boxes avoided them. Boxes of former
    /// releases send none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<stall::Life<Key>>,
}

/// Servers that have answered, by the boxes that they answered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lives {
    /// Boxes of the sender's hall.
    pub hall: Vec<Life>,
    /// Boxes of other halls; for a box of the same hall only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub elsewhere: Vec<Life>,
}

impl Answer {
    /// Rises, stalls and lives that are sent without a request.
    pub fn of_notices(
        rises: Vec<Rise>,
        stalls: Option<Vec<stall::Stall<Key>>>,
        lives: Option<Lives>,
        returned: Vec<stall::Life<Key>>,
    ) -> Self {
        Self {
            version: VERSION,
            number: 0,
            is_hub: true,
            position: Position::default(),
            report: Report::default(),
            takes_samples: true,
            rises,
            takes_waits: true,
            stalls,
            lives,
            returned,
        }
    }
}
