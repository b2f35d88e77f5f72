//! Log lines on servers: what a box learns at once is one line.
//!
//! A box that starts learns of all servers; a line for each of them would make
//! the log of a start grow with the fleet: more than half of all lines at 295
//! boxes before 250 servers.

use std::collections::BTreeMap;

use tidepier_clock::Instant;
use tidepier_core::era::Revision;
use tidepier_core::server::Server;
use tidepier_ids as ids;

/// Most ids in one line: 900 bytes of them.
const IDS_MAX: usize = 64;

/// What became of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Change {
    /// It came.
    Joined,
    /// It started again under its id.
    Restarted,
    /// It says that it leaves.
    Leaving,
    /// The store went back to an entry of it that does not stand against what is known.
    Withheld,
    /// Its entry is gone.
    Gone,
    /// Its entry is gone while the store cannot be relied on.
    Missing,
    /// Its entry is still missing when the store can be relied on again.
    Lapsed,
}

/// Servers of which the same became known.
#[derive(Default)]
struct Group {
    count: usize,
    /// The first ones.
    ids: Vec<ids::Server>,
    /// What is told of the first one if it is the only one.
    detail: String,
}

/// What became known of servers at once.
pub(super) struct News {
    /// When.
    pub(super) at: Instant,
    groups: BTreeMap<Change, Group>,
}

impl News {
    /// What becomes known now.
    pub(super) fn new() -> Self {
        Self {
            at: Instant::now(),
            groups: BTreeMap::new(),
        }
    }

    /// Adds a server as an entry of the store's `revision` tells it.
    pub(super) fn add(&mut self, change: Change, server: &Server, revision: Revision) {
        let group = self.push(change, &server.id);
        if group.count == 1 {
            group.detail = format!(
                " address={} service={} hall={} revision={revision}",
                server.address, server.service, server.hall
            );
        }
    }

    /// Adds a server of which no more is told.
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

    /// Writes the lines: one for each kind of change.
    pub(super) fn tell(self) {
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
