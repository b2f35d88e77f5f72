//! A record of how the servers changed, for boxes that ask again and again.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::num::NonZeroUsize;

use lru::LruCache;
use tidepier_ids as ids;

use crate::message::follow::{Change, Position, Row, Servers};

/// Changes kept; a box that is further behind gets all servers.
const CHANGES_MAX: usize = 64;

/// Servers that are gone and remembered, so that older information does not
/// bring them back.
const GONE_MAX: NonZeroUsize = NonZeroUsize::new(512).unwrap();

/// The record of one process.
pub struct Record {
    life: u64,
    count: Cell<u64>,
    changes: RefCell<VecDeque<Change>>,
    servers: RefCell<BTreeMap<ids::Server, Row>>,
    /// The newest revision of the store that anything here is from.
    seen: Cell<u64>,
    /// Servers that are gone, each as of a revision.
    gone: RefCell<LruCache<ids::Server, u64>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            // 0 is the place of a box that knows nothing.
            life: fastrand::u64(1..),
            count: Cell::new(0),
            changes: RefCell::default(),
            servers: RefCell::default(),
            seen: Cell::new(0),
            gone: RefCell::new(LruCache::new(GONE_MAX)),
        }
    }
}

impl Record {
    /// The newest revision of the store that anything here is from.
    pub fn seen(&self) -> u64 {
        self.seen.get()
    }

    /// Records that all is known up to a revision of the store.
    pub fn see(&self, revision: u64) {
        self.seen.set(self.seen.get().max(revision));
    }

    /// Whether the known entry of a server is newer than a revision, so that
    /// information as of it says nothing about the server.
    pub fn is_newer(&self, id: &ids::Server, revision: u64) -> bool {
        let servers = self.servers.borrow();
        let known = servers.get(id);
        known.is_some_and(|known| known.revision() > revision)
    }

    /// Whether an entry is older than the one that is known, or than the news
    /// that its server is gone.
    pub fn is_outdated(&self, row: &Row) -> bool {
        if self.is_newer(row.id(), row.revision()) {
            return true;
        }
        let gone = self.gone.borrow();
        gone.peek(row.id())
            .is_some_and(|gone| row.revision() <= *gone)
    }

    /// Records that a server came or changed.
    pub fn is(&self, row: Row) {
        self.see(row.revision());
        let known = self
            .servers
            .borrow_mut()
            .insert(row.id().clone(), row.clone());
        if known.as_ref() == Some(&row) {
            return;
        }
        self.push(Change::Is(row));
    }

    /// Takes over an entry that says the same of its server as the known one, but
    /// for its revision and for how long the server is cold: nothing that others
    /// have to be told of. Returns whether it does.
    pub fn refresh(&self, row: &Row) -> bool {
        let mut servers = self.servers.borrow_mut();
        let Some(known) = servers.get_mut(row.id()) else {
            return false;
        };
        let repeats = known.clone().at(row.revision()) == *row;
        if repeats {
            *known = row.clone();
            self.see(row.revision());
        }
        repeats
    }

    /// Records that a server is gone as of a revision.
    pub fn gone(&self, id: &ids::Server, revision: u64) {
        self.see(revision);
        self.gone.borrow_mut().put(id.clone(), revision);
        self.servers.borrow_mut().remove(id);
        self.push(Change::Gone(id.clone(), revision));
    }

    fn push(&self, change: Change) {
        let mut changes = self.changes.borrow_mut();
        if changes.len() == CHANGES_MAX {
            changes.pop_front();
        }
        changes.push_back(change);
        self.count.set(self.count.get() + 1);
    }

    /// What a box at `place` does not know, and the place after it.
    pub fn since(&self, place: Position) -> (Servers, Position) {
        let now = Position {
            life: self.life,
            changes: self.count.get(),
        };
        let changes = self.changes.borrow();
        let missed = now.changes.checked_sub(place.changes);
        let kept =
            missed.filter(|missed| place.life == self.life && *missed <= changes.len() as u64);
        let servers = match kept {
            Some(missed) => {
                let skip = changes.len() - missed as usize;
                Servers::Changes(changes.iter().skip(skip).cloned().collect())
            }
            None => {
                let servers = self.servers.borrow().values().cloned().collect();
                Servers::All(servers, self.seen.get())
            }
        };
        (servers, now)
    }
}
