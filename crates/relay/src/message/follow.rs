//! Messages by which a box follows the store through another box of its hall.

use serde::{Deserialize, Serialize};
use tidepier_core::catalog::Version;
use tidepier_core::era::{Era, Revision};
use tidepier_ids as ids;

use super::boxes;
use super::part::Part;
pub use super::row::Row;
use crate::emptied_halls;
use crate::revision_serde;
use crate::rollout;

/// A request of a box to its upstream box.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Request {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// Number of the request, which its answer repeats.
    pub number: u64,
    /// Number of the revision of the configuration document that the sender knows; 0:
    /// none. A sender with [`options`](Self::options) also states the version in force.
    pub document: u64,
    /// Position of the sender in the receiver's change log of servers.
    pub position: Position,
    /// Fields that senders of an older protocol version lack; `None`: the sender is one
    /// of them.
    #[serde(rename = "more", default, skip_serializing_if = "Option::is_none")]
    pub options: Option<Options>,
}

/// The fields of a request from a sender that accepts lists of servers in parts.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct Options {
    /// The last server that the sender has received of a full list; `None`: it is not in
    /// the middle of one.
    pub after: Option<ids::Server>,
    /// Number of the store revision as of which the sender's list of servers is complete;
    /// 0: it is not complete.
    #[serde(rename = "whole")]
    pub complete_revision: u64,
    /// Era of that revision.
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    pub era: u64,
    /// The version in force at the sender, 0 if there is none; `None`: the sender does
    /// not know eras.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<u64>,
    /// Whether the sender wants only the operator entries.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub operator_only: bool,
    /// Digest of the list of boxes that the sender knows.
    pub boxes: boxes::Digest,
    /// How long the receiver may hold the request until there is a change.
    pub wait_ms: u32,
}

impl Options {
    /// The store revision as of which the sender's list of servers is complete, if it is.
    pub fn complete_revision(&self) -> Revision {
        Revision::new(Era(self.era), self.complete_revision)
    }
}

/// A position in a box's change log of servers.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Position {
    /// Identifies one instance of the log; a restarted box has a new one.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of changes in the log up to this position.
    pub changes: u64,
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Answer {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// Number of the request.
    pub number: u64,
    /// How long ago all data in the answer was last confirmed to be current; `None`: the
    /// sender cannot confirm that.
    pub age_ms: Option<u64>,
    /// How long ago the configuration in the answer was last confirmed to be current,
    /// however long that is; for a box that starts and knows nothing at all.
    #[serde(default)]
    pub known_ms: Option<u64>,
    /// Number of the revision of the configuration document that the sender knows; 0:
    /// none.
    pub revision: u64,
    /// The sender's view of the store; `None`: the sender does not know eras.
    #[serde(rename = "standing", default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Status>,
    /// Length of the configuration document, whose bytes follow this message unchanged if
    /// the receiver knows an older one.
    pub document_bytes: Option<u32>,
    /// The emptied halls. `None`: the sender has an older protocol version without them.
    #[serde(default)]
    pub emptied: Option<emptied_halls::List>,
    /// The operator's orders to move services to another release. `None`: the sender has
    /// an older protocol version without them.
    #[serde(default)]
    pub rollouts: Option<rollout::List>,
    /// Changed servers.
    pub servers: Servers,
    /// Position in the change log after these changes.
    pub position: Position,
    /// How long the request was held before this answer.
    #[serde(default)]
    pub held_ms: u64,
    /// The list of boxes, if the receiver knows a different one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boxes: Option<boxes::List>,
}

impl Answer {
    /// Assigns an era to all revisions in the answer of a sender that does not know eras.
    pub fn in_era(mut self, era: Era) -> Self {
        self.emptied = self.emptied.map(|list| list.in_era(era));
        self.rollouts = self.rollouts.map(|list| list.in_era(era));
        self.servers = self.servers.in_era(era);
        self
    }
}

/// The sender's view of the store that an answer is based on.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub struct Status {
    /// Era of the store to which the answer's revisions belong unless they state another.
    pub era: u64,
    /// Lowest number of a state of the store that the sender has seen in that era.
    pub first: u64,
    /// Whether the operator entries are known to be complete in that era.
    pub settled: bool,
    /// The version in force at the sender; 0: there is none.
    pub in_force: u64,
    /// The version of the configuration in the store; 0: there is none.
    pub stored: u64,
    /// Number of the newest state of the store that is known to contain that
    /// configuration.
    pub state: u64,
    /// How long ago the sender knew everything in the store; `None`: it cannot confirm
    /// that it did.
    pub followed_ms: Option<u64>,
    /// Whether a server whose entry is missing in the store may still count as present at
    /// the sender, because the sender, or the box that it follows, is in the grace period
    /// after an outage of the store. Senders of an older release do not state it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub in_grace_period: bool,
}

impl Status {
    /// The first state of the era that the sender has seen.
    pub fn first(&self) -> Revision {
        Revision::new(Era(self.era), self.first)
    }

    /// The version in force at the sender.
    pub fn in_force(&self) -> Version {
        Version(self.in_force)
    }
}

/// Servers that the receiver does not know yet.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum Servers {
    /// Changes since the receiver's position, in order.
    Changes(Vec<Change>),
    /// All servers, as of a revision of the store.
    All(Vec<Row>, #[serde(with = "revision_serde::number")] Revision),
    /// What the receiver lacks, or the next piece of a full list.
    Part(Part),
}

impl Servers {
    /// Assigns an era to all revisions from a sender that does not know eras.
    fn in_era(self, era: Era) -> Self {
        let of_era = |revision: Revision| Revision::new(era, revision.number());
        let row_of_era = |row: Row| {
            let revision = of_era(row.revision());
            row.with_revision(revision)
        };
        match self {
            Servers::All(rows, seen) => {
                Servers::All(rows.into_iter().map(row_of_era).collect(), of_era(seen))
            }
            Servers::Changes(changes) => {
                let changes = changes.into_iter().map(|change| match change {
                    Change::Upserted(row) => Change::Upserted(row_of_era(row)),
                    Change::Removed(id, seen) => Change::Removed(id, of_era(seen)),
                });
                Servers::Changes(changes.collect())
            }
            Servers::Part(part) => Servers::Part(part.in_era(era)),
        }
    }
}

/// A change of one server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum Change {
    /// A server was added or changed.
    #[serde(rename = "Is")]
    Upserted(Row),
    /// A server was removed, as of a revision of the store.
    #[serde(rename = "Gone")]
    Removed(
        ids::Server,
        #[serde(with = "revision_serde::number")] Revision,
    ),
}

impl Change {
    /// The server.
    pub fn id(&self) -> &ids::Server {
        match self {
            Change::Upserted(row) => row.id(),
            Change::Removed(id, _) => id,
        }
    }
}
