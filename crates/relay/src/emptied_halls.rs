//! The halls that the operator requested to empty, each as of a revision of the store.
//!
//! Boxes learn of them from the store and from each other, in any order.
//!
//! Invariants:
//!
//! * Older information never replaces newer, whoever sends it. A late message therefore
//!   does not empty a hall again whose emptying was cancelled.
//! * While state known from a stale era takes precedence, neither a missing entry nor a
//!   backup entry overrides it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tidepier_core::era::{Era, Revision};
use tidepier_ids as ids;

use crate::era_state::Precedence;
use crate::revision_serde;

/// Most halls remembered whose emptying was cancelled; no operator has that many halls.
const CANCELLED_MAX: usize = 64;

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
#[serde(from = "ListParts", into = "ListParts")]
pub struct List {
    /// The halls.
    pub rows: Vec<Row>,
    /// The revision of the store as of which the list is complete.
    pub seen: Revision,
}

impl List {
    /// Assigns an era to a list from a box that does not know eras.
    pub fn in_era(mut self, era: Era) -> Self {
        let of_era = |revision: Revision| Revision::new(era, revision.number());
        self.seen = of_era(self.seen);
        for row in &mut self.rows {
            row.revision = of_era(row.revision);
        }
        self
    }
}

/// A list as it is sent.
#[derive(Serialize, Deserialize)]
struct ListParts {
    rows: Vec<Row>,
    seen: u64,
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    era: u64,
}

impl From<ListParts> for List {
    fn from(ListParts { rows, seen, era }: ListParts) -> Self {
        let seen = Revision::new(Era(era), seen);
        Self { rows, seen }
    }
}

impl From<List> for ListParts {
    fn from(List { rows, seen }: List) -> Self {
        Self {
            rows,
            seen: seen.number(),
            era: seen.era().0,
        }
    }
}

/// The operator's last request about one hall.
#[derive(Debug, Clone, Copy)]
struct Request {
    empty: bool,
    revision: Revision,
}

/// The operator's requests about halls, as known to one box.
#[derive(Debug, Default)]
pub struct EmptiedHalls {
    requests: RefCell<BTreeMap<ids::Hall, Request>>,
    seen: Cell<Revision>,
    /// The entries in the store, which may be older than the last requests.
    stored: RefCell<BTreeMap<ids::Hall, Revision>>,
}

impl EmptiedHalls {
    /// Records an entry that requests to empty a hall. It is ignored where what is known
    /// takes precedence.
    pub fn record_emptied(
        &self,
        hall: ids::Hall,
        revision: Revision,
        precedence: Option<Precedence>,
    ) {
        self.stored.borrow_mut().insert(hall.clone(), revision);
        self.set(hall, true, revision, precedence);
    }

    /// Records that the operator cancelled the emptying of a hall.
    pub fn cancel(&self, hall: ids::Hall, revision: Revision) {
        self.stored.borrow_mut().remove(&hall);
        self.set(hall, false, revision, None);
    }

    /// Records a request of an era before `era` that another box knows, if nothing is
    /// known of the hall.
    pub fn apply_stale(&self, row: &Row, era: Era) {
        if row.revision.era() >= era {
            return;
        }
        let mut requests = self.requests.borrow_mut();
        let (empty, revision) = (true, row.revision);
        let recalled = Request { empty, revision };
        requests.entry(row.hall.clone()).or_insert(recalled);
    }

    /// Applies the complete state as of a revision, except where what is known takes
    /// precedence. Returns whether a confirmation that the list is current also confirms
    /// the local state: the two are equal, except where the local state takes
    /// precedence.
    pub fn merge(&self, list: &List, precedence: Option<Precedence>) -> bool {
        let listed: BTreeMap<ids::Hall, Revision> = list
            .rows
            .iter()
            .map(|row| (row.hall.clone(), row.revision))
            .collect();
        let is_stale = |revision| precedence.is_some_and(|it| it.is_stale(revision));
        for row in self.rows() {
            if !listed.contains_key(&row.hall) && !is_stale(row.revision) {
                self.cancel(row.hall, list.seen);
            }
        }
        for (hall, revision) in &listed {
            self.set(hall.clone(), true, *revision, precedence);
        }
        self.seen.set(self.seen.get().max(list.seen));
        let requests = self.requests.borrow();
        let agrees = |(hall, last): (&ids::Hall, &Request)| match listed.get(hall) {
            None => !last.empty || is_stale(last.revision),
            Some(revision) if last.empty && last.revision == *revision => true,
            Some(revision) => precedence.is_some_and(|it| it.outranks(last.revision, *revision)),
        };
        let same = requests.iter().all(agrees);
        drop(requests);
        *self.stored.borrow_mut() = listed;
        same
    }

    /// Whether the entries in the store name the same halls.
    pub fn is_stored(&self) -> bool {
        let stored = self.stored.borrow();
        self.halls().iter().eq(stored.keys())
    }

    /// The entries in the store.
    pub fn stored(&self) -> BTreeMap<ids::Hall, Revision> {
        self.stored.borrow().clone()
    }

    /// The complete state.
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
        let requests = self.requests.borrow();
        let empty = requests.iter().filter(|(_, last)| last.empty);
        let rows = empty.map(|(hall, last)| Row {
            hall: hall.clone(),
            revision: last.revision,
        });
        rows.collect()
    }

    fn set(
        &self,
        hall: ids::Hall,
        empty: bool,
        revision: Revision,
        precedence: Option<Precedence>,
    ) {
        self.seen.set(self.seen.get().max(revision));
        let mut requests = self.requests.borrow_mut();
        if let Some(known) = requests.get(&hall) {
            let takes_precedence =
                precedence.is_some_and(|it| it.outranks(known.revision, revision));
            if known.revision >= revision || takes_precedence && known.empty != empty {
                return;
            }
        }
        requests.insert(hall, Request { empty, revision });
        let cancelled = requests.iter().filter(|(_, last)| !last.empty);
        if cancelled.clone().count() > CANCELLED_MAX {
            let oldest = cancelled.min_by_key(|(_, last)| last.revision);
            if let Some(hall) = oldest.map(|(hall, _)| hall.clone()) {
                requests.remove(&hall);
            }
        }
    }
}
