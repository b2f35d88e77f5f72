//! A record of how the servers changed, for boxes that ask again and again.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::num::NonZeroUsize;
use std::ops::Bound;

use lru::LruCache;
use tidepier_core::era::Revision;
use tidepier_ids as ids;

use crate::era_state::Precedence;
use crate::message::follow::{Change, Position, Row, Servers};
use crate::message::part::{Part, Piece};

/// Changes kept; a box that is further behind gets more than it lacks.
const CHANGES_MAX: usize = 64;
/// The same as a part of all servers: so many may change at once, as when the boxes of
/// a hall lose sight of them together.
const CHANGES_PART: usize = 4;
/// Servers in one part of a list: 40 KB, 17 ms over a link of 20 Mbit/s.
const PART_ROWS: usize = 1_024;

/// Servers that are gone and remembered, so that older information does not
/// bring them back.
const GONE_MAX: NonZeroUsize = NonZeroUsize::new(512).unwrap();

/// The record of one process.
pub struct History {
    life: u64,
    count: Cell<u64>,
    changes: RefCell<VecDeque<Change>>,
    servers: RefCell<BTreeMap<ids::Server, Row>>,
    /// The newest revision of the store that anything here is from.
    newest_revision: Cell<Revision>,
    /// Revision of the store up to which all is known, if it is.
    complete_revision: Cell<Revision>,
    /// Servers that are gone, each as of a revision.
    gone: RefCell<LruCache<ids::Server, Revision>>,
    /// Revision from which on all that are gone are remembered; `None`: none are.
    gone_since: Cell<Option<Revision>>,
}

/// What the asker of a part has.
#[derive(Debug, Clone, Default)]
pub struct Cursor {
    /// Where it stands in this record.
    pub position: Position,
    /// The last server that it has of a list of all.
    pub after: Option<ids::Server>,
    /// Revision of the store up to which it knows all, if it does.
    pub complete_revision: Revision,
}

impl Default for History {
    fn default() -> Self {
        Self {
            // 0 is the place of a box that knows nothing.
            life: fastrand::u64(1..),
            count: Cell::new(0),
            changes: RefCell::default(),
            servers: RefCell::default(),
            newest_revision: Cell::default(),
            complete_revision: Cell::default(),
            gone: RefCell::new(LruCache::new(GONE_MAX)),
            gone_since: Cell::new(None),
        }
    }
}

impl History {
    /// The newest revision of the store that anything here is from.
    pub fn newest_revision(&self) -> Revision {
        self.newest_revision.get()
    }

    /// Records that all is known up to a revision of the store.
    pub fn observe(&self, revision: Revision) {
        self.newest_revision
            .set(self.newest_revision.get().max(revision));
    }

    /// Revision of the store up to which all servers are known, if they are.
    pub fn complete_revision(&self) -> Revision {
        self.complete_revision.get()
    }

    /// Records that all servers are known up to a revision of the store.
    pub fn confirm(&self, revision: Revision) {
        let since = self.gone_since.get();
        // What goes in one era is not told as a change of another.
        if since.is_none_or(|since| since.era() < revision.era()) {
            self.gone_since.set(Some(revision));
        }
        self.complete_revision
            .set(self.complete_revision.get().max(revision));
        self.observe(revision);
    }

    /// How many changes there were.
    pub fn changes(&self) -> u64 {
        self.count.get()
    }

    /// Whether the known entry of a server is newer than a revision, so that
    /// information as of it says nothing about the server.
    pub fn is_newer(&self, id: &ids::Server, revision: Revision) -> bool {
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

    /// Whether what is known stands against an entry: its server is gone since, or said
    /// something else than the entry, which the store may have gone back to.
    pub fn stands_against(&self, row: &Row, hold: Precedence) -> bool {
        let gone = self.gone.borrow();
        let gone = gone.peek(row.id()).copied();
        let servers = self.servers.borrow();
        let differs = servers
            .get(row.id())
            .filter(|known| !row.adds_nothing_to(known));
        let differs = differs.map(Row::revision);
        let mut known = gone.into_iter().chain(differs);
        known.any(|known| hold.keeps(known, row.revision()))
    }

    /// Records that a server came or changed.
    pub fn upsert(&self, row: Row) {
        self.observe(row.revision());
        let known = self
            .servers
            .borrow_mut()
            .insert(row.id().clone(), row.clone());
        if known.as_ref() == Some(&row) {
            return;
        }
        self.push(Change::Upserted(row));
    }

    /// Takes over an entry that says the same of its server as the known one, but
    /// for its revision and for how long the server is cold: nothing that others
    /// have to be told of. Returns whether it does.
    pub fn refresh(&self, row: &Row) -> bool {
        let mut servers = self.servers.borrow_mut();
        let Some(known) = servers.get_mut(row.id()) else {
            return false;
        };
        let repeats = known.clone().with_revision(row.revision()) == *row;
        if repeats {
            *known = row.clone();
            self.observe(row.revision());
        }
        repeats
    }

    /// Records that a server is gone as of a revision.
    pub fn gone(&self, id: &ids::Server, revision: Revision) {
        self.observe(revision);
        let forgotten = self.gone.borrow_mut().push(id.clone(), revision);
        if let Some((other, at)) = forgotten.filter(|(other, _)| other != id) {
            log::debug!(target: "belief", "event=gone_forgotten id={other}");
            let after = Revision::new(at.era(), at.number() + 1);
            let since = self.gone_since.get().map(|since| since.max(after));
            self.gone_since.set(since);
        }
        self.servers.borrow_mut().remove(id);
        self.push(Change::Removed(id.clone(), revision));
    }

    fn push(&self, change: Change) {
        let mut changes = self.changes.borrow_mut();
        let most = CHANGES_MAX.max(self.servers.borrow().len() / CHANGES_PART);
        while changes.len() >= most {
            changes.pop_front();
        }
        changes.push_back(change);
        self.count.set(self.count.get() + 1);
    }

    /// What a box at `place` lacks, or the next piece of it, and its position after
    /// that. A box in the midst of a list keeps the position of its first piece.
    pub fn part(&self, place: &Cursor) -> (Part, Position) {
        let now = Position {
            life: self.life,
            changes: self.count.get(),
        };
        let known = place.position.life == self.life;
        let (part, position) = if known && place.after.is_some() {
            (self.piece(place.after.as_ref()), place.position)
        } else if let Some(part) = known.then(|| self.changed(place.position)).flatten() {
            (part, now)
        } else if let Some(part) = self.changed_since(place.complete_revision) {
            (part, now)
        } else {
            (self.piece(None), now)
        };
        (part, position)
    }

    /// What changed since a position, each server once; `None`: that is not kept.
    fn changed(&self, position: Position) -> Option<Part> {
        let changes = self.changes.borrow();
        let missed = self.count.get().checked_sub(position.changes)?;
        let missed = usize::try_from(missed).ok()?;
        let skip = changes.len().checked_sub(missed)?;
        let mut last: BTreeMap<&ids::Server, &Change> = BTreeMap::new();
        for change in changes.iter().skip(skip) {
            last.insert(change.id(), change);
        }
        let rows = last.values().filter_map(|change| match change {
            Change::Upserted(row) => Some(row.clone()),
            Change::Removed(..) => None,
        });
        let gone = last.values().filter_map(|change| match change {
            Change::Upserted(_) => None,
            Change::Removed(id, revision) => Some((id.clone(), *revision)),
        });
        Some(self.told(rows).with_gone(gone))
    }

    fn told(&self, rows: impl IntoIterator<Item = Row>) -> Part {
        Part::new(self.complete_revision.get(), rows)
    }

    /// What changed since a revision of the store, for a box that knows all up to it;
    /// `None`: that is not known here, as a revision of another era.
    fn changed_since(&self, revision: Revision) -> Option<Part> {
        let since = self.gone_since.get()?;
        let same_era = revision.era() == self.complete_revision.get().era();
        if revision.is_none() || !same_era || revision < since {
            return None;
        }
        let servers = self.servers.borrow();
        let rows = servers.values().filter(|row| row.revision() > revision);
        let gone = self.gone.borrow();
        // Entries that lapse are gone as of the revision that was known before.
        let gone = gone.iter().filter(|(_, at)| **at >= revision);
        let gone = gone.map(|(id, at)| (id.clone(), *at));
        Some(self.told(rows.cloned()).with_gone(gone))
    }

    /// The piece of the list of all that follows a server.
    fn piece(&self, after: Option<&ids::Server>) -> Part {
        let servers = self.servers.borrow();
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = servers.range::<ids::Server, _>((from, Bound::Unbounded));
        let rows: Vec<Row> = rest
            .by_ref()
            .take(PART_ROWS)
            .map(|(_, row)| row.clone())
            .collect();
        let more = rest.next().is_some();
        let last = rows.last().map(|row| row.id().clone());
        self.told(rows).as_piece(Piece {
            first: after.is_none(),
            last: last.filter(|_| more),
        })
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
                Servers::All(servers, self.newest_revision.get())
            }
        };
        (servers, now)
    }
}
