//! Log lines on servers: what a box learns at once is one line.
//!
//! A box that starts learns of all servers; a line for each of them would make
//! the log of a start grow with the fleet: more than half of all lines at 295
//! boxes before 250 servers.

use std::collections::BTreeMap;
use std::time::Instant;

use tidepier_core::server::Server;
use tidepier_ids as ids;

/// Most ids in one line: 900 bytes of them.
const IDS_MAX: usize = 64;

/// What became of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Change {
    /// It came.
    Joined,
    /// It says that it leaves.
    Leaving,
    /// Its entry is gone.
    Gone,
    /// Its entry is gone while the store cannot be relied on.
    Missing,
    /// Its entry is still missing when the store can be relied on again.
    Lapsed,
}

/// What became known of servers at once.
pub(super) struct News {
    /// When.
    pub(super) at: Instant,
    /// The servers, by what became of them, each with what is told of it alone.
    servers: BTreeMap<Change, Vec<(ids::Server, String)>>,
}

impl News {
    /// What becomes known now.
    pub(super) fn new() -> Self {
        Self {
            at: Instant::now(),
            servers: BTreeMap::new(),
        }
    }

    /// Adds a server as an entry of the store's `revision` tells it.
    pub(super) fn add(&mut self, change: Change, server: &Server, revision: u64) {
        let Server {
            service,
            address,
            hall,
            ..
        } = server;
        let detail =
            format!(" address={address} service={service} hall={hall} revision={revision}");
        self.push(change, &server.id, detail);
    }

    /// Adds a server of which no more is told.
    pub(super) fn add_id(&mut self, change: Change, id: &ids::Server) {
        self.push(change, id, String::new());
    }

    fn push(&mut self, change: Change, id: &ids::Server, detail: String) {
        let servers = self.servers.entry(change).or_default();
        servers.push((id.clone(), detail));
    }

    /// Writes the lines: one for each kind of change.
    pub(super) fn tell(self) {
        for (change, servers) in self.servers {
            match servers.as_slice() {
                [(id, detail)] => {
                    log::info!(target: "belief", "event=server change={change:?} id={id}{detail}");
                }
                many => {
                    let ids = many.iter().take(IDS_MAX).map(|(id, _)| id.as_str());
                    let ids: Vec<&str> = ids.collect();
                    log::info!(
                        target: "belief",
                        "event=servers change={change:?} count={} ids={}",
                        many.len(),
                        ids.join(",")
                    );
                }
            }
        }
    }
}
