//! The halls that the operator asked to empty, each as of a revision of the
//! store.
//!
//! Boxes learn of them from the store and from each other, in any order.
//!
//! Invariant: what is older never replaces what is newer, whoever tells it; so
//! a hall that was taken back is not emptied again by a late message.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

/// Halls remembered that were taken back: more than any operator has.
const BACK_MAX: usize = 64;

/// A hall that is to be empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The hall.
    pub hall: ids::Hall,
    /// Revision of the operator's entry.
    pub revision: u64,
}

/// All halls that are to be empty as of a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The halls.
    pub rows: Vec<Row>,
    /// The revision of the store up to which nothing else was asked.
    pub seen: u64,
}

/// What was last asked of one hall.
#[derive(Debug, Clone, Copy)]
struct Asked {
    empty: bool,
    revision: u64,
}

/// What one box knows.
#[derive(Debug, Default)]
pub struct Emptied {
    asked: RefCell<BTreeMap<ids::Hall, Asked>>,
    seen: Cell<u64>,
}

impl Emptied {
    /// Records that a hall is to be empty.
    pub fn empty(&self, hall: ids::Hall, revision: u64) {
        self.set(hall, true, revision);
    }

    /// Records that a hall was taken back.
    pub fn take_back(&self, hall: ids::Hall, revision: u64) {
        self.set(hall, false, revision);
    }

    /// Takes over the whole state as of a revision. Returns whether what is known
    /// here is the same now, so that a proof of the one proves the other.
    pub fn merge(&self, list: &List) -> bool {
        for hall in self.halls() {
            if !list.rows.iter().any(|row| row.hall == hall) {
                self.take_back(hall, list.seen);
            }
        }
        for row in &list.rows {
            self.empty(row.hall.clone(), row.revision);
        }
        self.seen.set(self.seen.get().max(list.seen));
        let rows: BTreeSet<_> = list
            .rows
            .iter()
            .map(|row| (&row.hall, row.revision))
            .collect();
        let known = self.rows();
        rows == known.iter().map(|row| (&row.hall, row.revision)).collect()
    }

    /// The whole state.
    pub fn list(&self) -> List {
        List {
            rows: self.rows(),
            seen: self.seen.get(),
        }
    }

    /// The halls that are to be empty.
    pub fn halls(&self) -> BTreeSet<ids::Hall> {
        self.rows().into_iter().map(|row| row.hall).collect()
    }

    fn rows(&self) -> Vec<Row> {
        let asked = self.asked.borrow();
        let empty = asked.iter().filter(|(_, last)| last.empty);
        let rows = empty.map(|(hall, last)| Row {
            hall: hall.clone(),
            revision: last.revision,
        });
        rows.collect()
    }

    fn set(&self, hall: ids::Hall, empty: bool, revision: u64) {
        self.seen.set(self.seen.get().max(revision));
        let mut asked = self.asked.borrow_mut();
        let known = asked.get(&hall).map(|last| last.revision);
        if known.is_some_and(|known| known >= revision) {
            return;
        }
        asked.insert(hall, Asked { empty, revision });
        let back = asked.iter().filter(|(_, last)| !last.empty);
        if back.clone().count() > BACK_MAX {
            let oldest = back.min_by_key(|(_, last)| last.revision);
            if let Some(hall) = oldest.map(|(hall, _)| hall.clone()) {
                asked.remove(&hall);
            }
        }
    }
}
