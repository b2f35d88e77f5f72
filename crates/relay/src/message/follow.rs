//! What a box asks the one of its hall that reads the store.

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

/// A question of a box to the one that reads the store.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Request {
    /// [`VERSION`](super::VERSION) of the sender.
    pub version: u16,
    /// Comes back in the answer.
    pub number: u64,
    /// Number of the revision of the configuration's entry that the sender knows; 0:
    /// none. One of this form tells its version beside it.
    pub document: u64,
    /// Where the sender stands in the other's record of servers.
    pub position: Position,
    /// What a sender of this form asks beyond that; `None`: one of an older form.
    #[serde(rename = "more", default, skip_serializing_if = "Option::is_none")]
    pub options: Option<Options>,
}

/// What a sender that takes servers in parts asks.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct Options {
    /// The last server that the sender has got of a list of all; `None`: it is not in
    /// the midst of one.
    pub after: Option<ids::Server>,
    /// Number of the revision of the store up to which the sender knows all servers; 0:
    /// it does not.
    pub whole: u64,
    /// The era of that revision.
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    pub era: u64,
    /// The version in force at the sender, 0 where there is none; `None`: the sender
    /// knows no eras.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<u64>,
    /// Whether the sender asks for what the operator wrote alone.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub operator_only: bool,
    /// The list of boxes that the sender knows.
    pub boxes: boxes::Digest,
    /// How long the other may wait for something new before it answers.
    pub wait_ms: u32,
}

impl Options {
    /// Revision of the store up to which the sender knows all servers, if it does.
    pub fn whole(&self) -> Revision {
        Revision::new(Era(self.era), self.whole)
    }
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
    /// Number of the revision of the configuration's entry that the sender knows; 0:
    /// none.
    pub revision: u64,
    /// How far the sender's store is known; `None`: the sender knows no eras.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standing: Option<Status>,
    /// Bytes of that entry, which follow this message as they are, where the
    /// other knows an older one.
    pub document_bytes: Option<u32>,
    /// The halls that are to be empty. `None`: a sender of an older form, which
    /// does not know them.
    #[serde(default)]
    pub emptied: Option<emptied_halls::List>,
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

impl Answer {
    /// The same of a sender that knows no eras, as one of this era.
    pub fn in_era(mut self, era: Era) -> Self {
        self.emptied = self.emptied.map(|list| list.in_era(era));
        self.rollouts = self.rollouts.map(|list| list.in_era(era));
        self.servers = self.servers.in_era(era);
        self
    }
}

/// How far the store is known that an answer is from.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub struct Status {
    /// The era of the store that the answer's revisions are of, unless they tell
    /// another.
    pub era: u64,
    /// The lowest number of the store's state that the sender heard of in that era.
    pub first: u64,
    /// Whether the operator's entries are whole in that era.
    pub settled: bool,
    /// The version in force at the sender; 0: there is none.
    pub in_force: u64,
    /// The version of the entry that the store has; 0: there is none.
    pub stored: u64,
    /// Number of the newest state of the store that is known to have that entry.
    pub state: u64,
    /// How long ago the sender knew all that the store held; `None`: it cannot tell.
    pub followed_ms: Option<u64>,
}

impl Status {
    /// The first state of the era that the sender heard of.
    pub fn first(&self) -> Revision {
        Revision::new(Era(self.era), self.first)
    }

    /// The version in force at the sender.
    pub fn in_force(&self) -> Version {
        Version(self.in_force)
    }
}

/// Servers, as far as the other does not know them.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum Servers {
    /// What has changed since the other's place, in order.
    Changes(Vec<Change>),
    /// All there are, as of a revision of the store.
    All(Vec<Row>, #[serde(with = "revision_serde::number")] Revision),
    /// What the other lacks, or the next piece of it.
    Part(Part),
}

impl Servers {
    /// The same of a sender that knows no eras, as of this era.
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

/// One change.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum Change {
    /// A server came or changed.
    #[serde(rename = "Is")]
    Upserted(Row),
    /// A server is gone, as of a revision of the store.
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
