//! The halls that the operator asked to empty, each as of a revision of the
//! store.
//!
//! Boxes learn of them from the store and from each other, in any order.
//!
//! Invariants:
//!
//! * What is older never replaces what is newer, whoever tells it; so a hall that was
//!   taken back is not emptied again by a late message.
//! * While what was known in a former era stands, neither the absence of an entry nor one
//!   that the store's copy may have had takes it back.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tidepier_core::era::{Era, Revision};
use tidepier_ids as ids;

use crate::era_state::Precedence;
use crate::revision_serde;

/// Halls remembered that were taken back: more than any operator has.
const BACK_MAX: usize = 64;

/// A hall that is to be empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The hall.
    pub hall: ids::Hall,
    /// Revision of the operator's entry.
    #[serde(flatten, with = "revision_serde")]
    pub revision: Revision,
}

/// All halls that are to be empty as of a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Told", into = "Told")]
pub struct List {
    /// The halls.
    pub rows: Vec<Row>,
    /// The revision of the store up to which nothing else was asked.
    pub seen: Revision,
}

impl List {
    /// The same of a box that knows no eras, as one of this era.
    pub fn in_era(mut self, era: Era) -> Self {
        let of_era = |revision: Revision| Revision::new(era, revision.number());
        self.seen = of_era(self.seen);
        for row in &mut self.rows {
            row.revision = of_era(row.revision);
        }
        self
    }
}

/// A list as messages carry it.
#[derive(Serialize, Deserialize)]
struct Told {
    rows: Vec<Row>,
    seen: u64,
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    era: u64,
}

impl From<Told> for List {
    fn from(Told { rows, seen, era }: Told) -> Self {
        let seen = Revision::new(Era(era), seen);
        Self { rows, seen }
    }
}

impl From<List> for Told {
    fn from(List { rows, seen }: List) -> Self {
        Self {
            rows,
            seen: seen.number(),
            era: seen.era().0,
        }
    }
}

/// What was last asked of one hall.
#[derive(Debug, Clone, Copy)]
struct Asked {
    empty: bool,
    revision: Revision,
}

/// What one box knows.
#[derive(Debug, Default)]
pub struct EmptiedHalls {
    asked: RefCell<BTreeMap<ids::Hall, Asked>>,
    seen: Cell<Revision>,
    /// The entries that the store has, which may be older than what was asked last.
    stored: RefCell<BTreeMap<ids::Hall, Revision>>,
}

impl EmptiedHalls {
    /// Records that a hall is to be empty, unless what is known stands against it.
    pub fn empty(&self, hall: ids::Hall, revision: Revision, hold: Option<Precedence>) {
        self.stored.borrow_mut().insert(hall.clone(), revision);
        self.set(hall, true, revision, hold);
    }

    /// Records that a hall was taken back.
    pub fn take_back(&self, hall: ids::Hall, revision: Revision) {
        self.stored.borrow_mut().remove(&hall);
        self.set(hall, false, revision, None);
    }

    /// Records what another box knows to have been asked in an era before `era`, where
    /// nothing is known of the hall.
    pub fn recall(&self, row: &Row, era: Era) {
        if row.revision.era() >= era {
            return;
        }
        let mut asked = self.asked.borrow_mut();
        let (empty, revision) = (true, row.revision);
        let recalled = Asked { empty, revision };
        asked.entry(row.hall.clone()).or_insert(recalled);
    }

    /// Takes over the whole state as of a revision, unless what is known stands against
    /// it. Returns whether a proof of the one proves the other: what is known here is the
    /// same now, but for what stands.
    pub fn merge(&self, list: &List, hold: Option<Precedence>) -> bool {
        let listed: BTreeMap<ids::Hall, Revision> = list
            .rows
            .iter()
            .map(|row| (row.hall.clone(), row.revision))
            .collect();
        let is_former = |revision| hold.is_some_and(|hold| hold.is_former(revision));
        for row in self.rows() {
            if !listed.contains_key(&row.hall) && !is_former(row.revision) {
                self.take_back(row.hall, list.seen);
            }
        }
        for (hall, revision) in &listed {
            self.set(hall.clone(), true, *revision, hold);
        }
        self.seen.set(self.seen.get().max(list.seen));
        let asked = self.asked.borrow();
        let agrees = |(hall, last): (&ids::Hall, &Asked)| match listed.get(hall) {
            None => !last.empty || is_former(last.revision),
            Some(revision) if last.empty && last.revision == *revision => true,
            Some(revision) => hold.is_some_and(|hold| hold.keeps(last.revision, *revision)),
        };
        let same = asked.iter().all(agrees);
        drop(asked);
        *self.stored.borrow_mut() = listed;
        same
    }

    /// Whether the store's entries say the same.
    pub fn is_stored(&self) -> bool {
        let stored = self.stored.borrow();
        self.halls().iter().eq(stored.keys())
    }

    /// The entries that the store has.
    pub fn stored(&self) -> BTreeMap<ids::Hall, Revision> {
        self.stored.borrow().clone()
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

    fn set(&self, hall: ids::Hall, empty: bool, revision: Revision, hold: Option<Precedence>) {
        self.seen.set(self.seen.get().max(revision));
        let mut asked = self.asked.borrow_mut();
        if let Some(known) = asked.get(&hall) {
            let stands = hold.is_some_and(|hold| hold.keeps(known.revision, revision));
            if known.revision >= revision || stands && known.empty != empty {
                return;
            }
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
