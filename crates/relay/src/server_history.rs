//! The history of server changes, for boxes that poll for them.

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

/// Fewest changes that are kept. A box that is further behind is sent more than it
/// lacks.
const CHANGES_MAX: usize = 64;
/// The same relative to the number of servers, of which one in so many is kept: that
/// many may change at once, as when the boxes of a hall lose contact with them
/// together.
const CHANGES_PART: usize = 4;
/// Servers in one piece of a list: 40 KB, which take 17 ms over a link of 20 Mbit/s.
const PIECE_ROWS_MAX: usize = 1_024;

/// Most removed servers that are remembered, so that older information does not bring
/// them back.
const REMOVED_MAX: NonZeroUsize = NonZeroUsize::new(512).unwrap();

/// The history of one process.
pub struct History {
    life: u64,
    count: Cell<u64>,
    changes: RefCell<VecDeque<Change>>,
    servers: RefCell<BTreeMap<ids::Server, Row>>,
    /// The newest revision of the store that anything here is based on.
    newest_revision: Cell<Revision>,
    /// Revision of the store up to which all servers are known; the default if they are
    /// not.
    complete_revision: Cell<Revision>,
    /// Removed servers that are remembered, each with the revision as of which it was
    /// gone.
    removed: RefCell<LruCache<ids::Server, Revision>>,
    /// Revision since which all removed servers are remembered; `None` if none are.
    removed_since: Cell<Option<Revision>>,
}

/// What the sender of a request already has.
#[derive(Debug, Clone, Default)]
pub struct Cursor {
    /// Its position in this history.
    pub position: Position,
    /// The last server that it got of a list of all servers.
    pub after: Option<ids::Server>,
    /// Revision of the store up to which it knows all servers; the default if it does
    /// not.
    pub complete_revision: Revision,
}

impl Default for History {
    fn default() -> Self {
        Self {
            // 0 is the position of a box that knows nothing.
            life: fastrand::u64(1..),
            count: Cell::new(0),
            changes: RefCell::default(),
            servers: RefCell::default(),
            newest_revision: Cell::default(),
            complete_revision: Cell::default(),
            removed: RefCell::new(LruCache::new(REMOVED_MAX)),
            removed_since: Cell::new(None),
        }
    }
}

impl History {
    /// The newest revision of the store that anything here is based on.
    pub fn newest_revision(&self) -> Revision {
        self.newest_revision.get()
    }

    /// Records that information as of a revision of the store was received.
    pub fn observe(&self, revision: Revision) {
        self.newest_revision
            .set(self.newest_revision.get().max(revision));
    }

    /// Revision of the store up to which all servers are known; the default if they are
    /// not.
    pub fn complete_revision(&self) -> Revision {
        self.complete_revision.get()
    }

    /// Records that all servers are known up to a revision of the store.
    pub fn confirm(&self, revision: Revision) {
        let since = self.removed_since.get();
        // Removals of one era are not sent as changes of another.
        if since.is_none_or(|since| since.era() < revision.era()) {
            self.removed_since.set(Some(revision));
        }
        self.complete_revision
            .set(self.complete_revision.get().max(revision));
        self.observe(revision);
    }

    /// Number of changes so far.
    pub fn changes(&self) -> u64 {
        self.count.get()
    }

    /// Whether the known entry of a server is newer than a revision, so that
    /// information as of that revision does not apply to it.
    pub fn knows_newer(&self, id: &ids::Server, revision: Revision) -> bool {
        let servers = self.servers.borrow();
        let known = servers.get(id);
        known.is_some_and(|known| known.revision() > revision)
    }

    /// Whether an entry is older than the known one, or than the removal of its server.
    pub fn is_outdated(&self, row: &Row) -> bool {
        if self.knows_newer(row.id(), row.revision()) {
            return true;
        }
        let gone = self.removed.borrow();
        gone.peek(row.id())
            .is_some_and(|gone| row.revision() <= *gone)
    }

    /// Whether the known state takes precedence over an entry, which may be a backup
    /// entry: its server was removed later, or advertised something else.
    pub fn takes_precedence_over(&self, row: &Row, precedence: Precedence) -> bool {
        let gone = self.removed.borrow();
        let gone = gone.peek(row.id()).copied();
        let servers = self.servers.borrow();
        let differs = servers
            .get(row.id())
            .filter(|known| !row.is_consistent_with(known));
        let differs = differs.map(Row::revision);
        let mut known = gone.into_iter().chain(differs);
        known.any(|known| precedence.outranks(known, row.revision()))
    }

    /// Records that a server joined or changed.
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

    /// Updates the known entry of a server without recording a change, if the new one
    /// differs only in its revision and in how long the server stays cold: other boxes
    /// need not be notified of that. Returns whether that is so.
    pub fn refresh(&self, row: &Row) -> bool {
        let mut servers = self.servers.borrow_mut();
        let Some(known) = servers.get_mut(row.id()) else {
            return false;
        };
        let is_same = known.clone().with_revision(row.revision()) == *row;
        if is_same {
            *known = row.clone();
            self.observe(row.revision());
        }
        is_same
    }

    /// Records that a server is gone as of a revision.
    pub fn remove(&self, id: &ids::Server, revision: Revision) {
        self.observe(revision);
        let forgotten = self.removed.borrow_mut().push(id.clone(), revision);
        if let Some((other, at)) = forgotten.filter(|(other, _)| other != id) {
            log::debug!(target: "belief", "event=gone_forgotten id={other}");
            let after = Revision::new(at.era(), at.number().saturating_add(1));
            let since = self.removed_since.get().map(|since| since.max(after));
            self.removed_since.set(since);
        }
        self.servers.borrow_mut().remove(id);
        self.push(Change::Removed(id.clone(), revision));
    }

    fn push(&self, change: Change) {
        let mut changes = self.changes.borrow_mut();
        let max_len = CHANGES_MAX.max(self.servers.borrow().len() / CHANGES_PART);
        while changes.len() >= max_len {
            changes.pop_front();
        }
        changes.push_back(change);
        self.count.set(self.count.get() + 1);
    }

    /// The changes that a box at `cursor` lacks, or the next piece of the list of all
    /// servers, and its position afterwards. While a box receives a list, it keeps the
    /// position of the first piece.
    pub fn part(&self, cursor: &Cursor) -> (Part, Position) {
        let now = Position {
            incarnation: self.life,
            changes: self.count.get(),
        };
        let known = cursor.position.incarnation == self.life;
        let (part, position) = if known && cursor.after.is_some() {
            (self.piece(cursor.after.as_ref()), cursor.position)
        } else if let Some(part) = known.then(|| self.changed(cursor.position)).flatten() {
            (part, now)
        } else if let Some(part) = self.changed_since(cursor.complete_revision) {
            (part, now)
        } else {
            (self.piece(None), now)
        };
        (part, position)
    }

    /// The changes since a position, with the last one of each server; `None` if not
    /// all of them are kept.
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
        Some(self.part_with(rows).with_removed(gone))
    }

    fn part_with(&self, rows: impl IntoIterator<Item = Row>) -> Part {
        Part::new(self.complete_revision.get(), rows)
    }

    /// The changes since a revision of the store, for a box that knows all servers up
    /// to it; `None` if they are not known here, for example because the revision is of
    /// another era.
    fn changed_since(&self, revision: Revision) -> Option<Part> {
        let since = self.removed_since.get()?;
        let same_era = revision.era() == self.complete_revision.get().era();
        if revision.is_none() || !same_era || revision < since {
            return None;
        }
        let servers = self.servers.borrow();
        let rows = servers.values().filter(|row| row.revision() > revision);
        let gone = self.removed.borrow();
        // Entries that expired are gone as of the revision that was known before.
        let gone = gone.iter().filter(|(_, at)| **at >= revision);
        let gone = gone.map(|(id, at)| (id.clone(), *at));
        Some(self.part_with(rows.cloned()).with_removed(gone))
    }

    /// The piece of the list of all servers that follows the server `after`.
    fn piece(&self, after: Option<&ids::Server>) -> Part {
        let servers = self.servers.borrow();
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = servers.range::<ids::Server, _>((from, Bound::Unbounded));
        let rows: Vec<Row> = rest
            .by_ref()
            .take(PIECE_ROWS_MAX)
            .map(|(_, row)| row.clone())
            .collect();
        let more = rest.next().is_some();
        let last = rows.last().map(|row| row.id().clone());
        self.part_with(rows).as_piece(Piece {
            first: after.is_none(),
            last: last.filter(|_| more),
        })
    }

    /// The changes that a box at `position` lacks, or all servers, and the position
    /// afterwards.
    pub fn since(&self, position: Position) -> (Servers, Position) {
        let now = Position {
            incarnation: self.life,
            changes: self.count.get(),
        };
        let changes = self.changes.borrow();
        let missed = now.changes.checked_sub(position.changes);
        let retained = missed
            .filter(|missed| position.incarnation == self.life && *missed <= changes.len() as u64);
        let servers = match retained {
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
