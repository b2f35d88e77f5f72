//! Log lines on changes of servers: changes that a box learns at the same time share
//! one line.
//!
//! A box that starts learns of all servers. With a line for each of them the log of a
//! start would grow with the fleet: these were more than half of all lines at 295 boxes
//! before 250 servers.

use std::collections::BTreeMap;

use tidepier_clock::Instant;
use tidepier_core::era::Revision;
use tidepier_core::server::Server;
use tidepier_ids as ids;

/// Most ids in one line; they take 900 bytes.
const IDS_MAX: usize = 64;

/// How a server changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Change {
    /// Its entry appeared.
    Joined,
    /// It was restarted under the same id.
    Restarted,
    /// It advertises that it is leaving.
    Leaving,
    /// The store was restored to a backup entry of it that contradicts the known state;
    /// the entry is withheld.
    Withheld,
    /// It is removed: its entry was deleted.
    Gone,
    /// Its entry is missing while the store is unreachable or in its grace period.
    Missing,
    /// Its entry is still missing at the end of the grace period.
    Lapsed,
}

/// Servers with the same change.
#[derive(Default)]
struct Group {
    count: usize,
    /// The first ones, up to `IDS_MAX`.
    ids: Vec<ids::Server>,
    /// Further keys of the log line, written if there is only one server.
    detail: String,
}

/// Changes of servers that were learned at the same time.
pub(super) struct Batch {
    /// When they were learned.
    pub(super) at: Instant,
    groups: BTreeMap<Change, Group>,
}

impl Batch {
    /// An empty set of changes, learned now.
    pub(super) fn new() -> Self {
        Self {
            at: Instant::now(),
            groups: BTreeMap::new(),
        }
    }

    /// Adds a change of a server by its entry at `revision`.
    pub(super) fn add(&mut self, change: Change, server: &Server, revision: Revision) {
        let group = self.push(change, &server.id);
        if group.count == 1 {
            group.detail = format!(
                " address={} service={} hall={} release={} revision={revision}",
                server.address,
                server.service,
                server.hall,
                server.release_name()
            );
        }
    }

    /// Adds a change of a server with no details.
    pub(super) fn add_id(&mut self, change: Change, id: &ids::Server) {
        self.push(change, id);
    }

    fn push(&mut self, change: Change, id: &ids::Server) -> &mut Group {
        let group = self.groups.entry(change).or_default();
        group.count += 1;
        if group.count <= IDS_MAX {
            group.ids.push(id.clone());
        }
        group
    }

    /// Writes one line for each kind of change.
    pub(super) fn write(self) {
        for (change, Group { count, ids, detail }) in self.groups {
            let ids: Vec<&str> = ids.iter().map(ids::Server::as_str).collect();
            let ids = ids.join(",");
            match count {
                1 => {
                    log::info!(target: "belief", "event=server change={change:?} id={ids}{detail}")
                }
                _ => log::info!(
                    target: "belief",
                    "event=servers change={change:?} count={count} ids={ids}"
                ),
            }
        }
    }
}
