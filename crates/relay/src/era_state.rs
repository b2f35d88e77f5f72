//! How far the box can rely on the store's entries in the store's current era.
//!
//! After the store was restored from a backup, its entries may be older than what was in
//! force before, and missing ones may be rewritten later. Until the operator entries are
//! complete again, the state that this box knew before stays in force, and nothing
//! proves that it is the newest.
//!
//! Invariants:
//!
//! * An era is never left for an earlier one.
//! * A configuration older than the version in force proves nothing.
//! * A box that starts treats the era that it finds as one that has just begun, until
//!   something shows that the operator entries are complete in it.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::era::{Era, Revision};

/// Where an entry in the store comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It was written in the current era.
    Era,
    /// It may be from the backup.
    Backup,
}

/// While this rule applies, state known from stale eras takes precedence over backup
/// entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Precedence {
    /// The earliest state of the era that this box observed.
    first: Revision,
}

impl Precedence {
    /// Creates the rule for an era of which this is the earliest state observed.
    pub fn new(first: Revision) -> Self {
        Self { first }
    }

    /// Whether `known` takes precedence over a contradicting entry with this revision.
    pub fn outranks(&self, known: Revision, entry: Revision) -> bool {
        self.is_stale(known) && entry <= self.first
    }

    /// Whether a revision is of a stale era.
    pub fn is_stale(&self, known: Revision) -> bool {
        known.era() < self.first.era()
    }
}

/// Evidence that the operator entries are complete in an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The store reports no eras.
    NoEras,
    /// All boxes start for the first time.
    FirstStart,
    /// The operator wrote a configuration that is not older than the one in force.
    Written,
    /// The store has the version that was in force before, no other box that was queried
    /// knows a newer one, and the store's entries are authoritative again, as after any
    /// trouble with the store. A change that was lost while it was made is known to no
    /// box and is not in the backup.
    Same,
    /// Another box reports it, directly or by the mark in the store.
    Report,
    /// The time is over in which the operator would have rewritten the entries.
    Waited,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Evidence::NoEras => "no_eras",
            Evidence::FirstStart => "first_start",
            Evidence::Written => "written",
            Evidence::Same => "same",
            Evidence::Report => "told",
            Evidence::Waited => "waited",
        })
    }
}

/// The operator's configuration as stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Its version.
    pub version: Version,
    /// Its revision.
    pub revision: Revision,
}

/// What was known of the operator's configuration when an era began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prior {
    /// The version in force at this box.
    pub in_force: Option<Version>,
    /// The entry in the store.
    pub entry: Option<Entry>,
    /// The newest state of the store that was known to contain that entry.
    pub state: Revision,
    /// How long ago this box knew everything that the store held; `None` if it never
    /// did.
    pub age: Option<Duration>,
}

impl Prior {
    /// Whether an entry found in the next era cannot be from this one: this era had
    /// another entry in a state in which that revision number had already been assigned.
    fn rules_out(&self, later: Entry) -> bool {
        self.entry.is_some_and(|entry| {
            let same = entry.version == later.version
                && entry.revision.number() == later.revision.number();
            let was_assigned = later.revision.number() <= self.state.number();
            was_assigned && !same && later.version >= entry.version
        })
    }
}

/// Times after which some evidence counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delays {
    /// Time after trouble with the store after which its entries are authoritative
    /// again.
    pub stable: Duration,
    /// Time in which the operator rewrites what was lost.
    pub rewrite: Duration,
}

/// An era as this box knows it.
#[derive(Debug, Clone, Copy)]
struct Observed {
    era: Era,
    /// The lowest revision number of the store that was observed in the era.
    first: u64,
    since: Instant,
    prior: Prior,
    /// Whether the operator entries were complete in the era before.
    was_settled: bool,
    evidence: Option<Evidence>,
}

/// What one box knows of the store's era.
#[derive(Debug, Default)]
pub struct EraState {
    known: Cell<Option<Observed>>,
    /// Whether other boxes were queried since the era began.
    peers_queried: Cell<bool>,
    first_start: Cell<bool>,
    /// Whether more than one era was observed.
    changed: Cell<bool>,
}

impl EraState {
    /// Records that all boxes start for the first time.
    pub fn record_first_start(&self) {
        self.first_start.set(true);
    }

    /// Whether evidence is still missing that the operator entries are complete.
    pub fn is_unsettled(&self) -> bool {
        match self.known.get() {
            Some(known) => known.evidence.is_none(),
            None => !self.first_start.get(),
        }
    }

    /// The era, once one was observed.
    pub fn era(&self) -> Option<Era> {
        self.known.get().map(|known| known.era)
    }

    /// Whether more than one era was observed.
    pub fn has_changed(&self) -> bool {
        self.changed.get()
    }

    /// The lowest revision number of the store that was observed in this era.
    pub fn first(&self) -> u64 {
        self.known.get().map_or(0, |known| known.first)
    }

    /// Records a state of the store that was observed at `now`, and what was known
    /// before. Returns whether it is the first observed state of a later era.
    pub fn observe(&self, state: Revision, prior: Prior, now: Instant) -> bool {
        let (era, first) = (state.era(), state.number());
        match self.known.get() {
            Some(known) if era < known.era => false,
            Some(known) if era == known.era => {
                let first = known.first.min(first);
                self.known.set(Some(Observed { first, ..known }));
                false
            }
            earlier => {
                let evidence = match earlier {
                    _ if era == Era(0) => Some(Evidence::NoEras),
                    None if self.first_start.get() && era <= Era::FIRST => {
                        Some(Evidence::FirstStart)
                    }
                    _ => None,
                };
                self.peers_queried.set(false);
                self.changed.set(earlier.is_some());
                self.known.set(Some(Observed {
                    era,
                    first,
                    since: now,
                    prior,
                    was_settled: earlier.is_some_and(|known| known.evidence.is_some()),
                    evidence,
                }));
                true
            }
        }
    }

    /// Where an entry in the store comes from.
    pub fn origin(&self, revision: Revision) -> Origin {
        let written = self.known.get().is_some_and(|known| {
            let later = revision.era() == known.era && revision.number() > known.first;
            known.era == Era(0) || later
        });
        if written {
            Origin::Era
        } else {
            Origin::Backup
        }
    }

    /// Like [`Self::precedence`], but only if what was known was younger than `within` when the
    /// era began: otherwise the backup may be newer. An unknown age counts as young: a box
    /// that has just started knows only what others have reported since.
    pub fn recent_precedence(&self, within: Duration, now: Instant) -> Option<Precedence> {
        let known = self.known.get()?;
        let recent = known.prior.age.is_none_or(|age| age < within);
        self.precedence(within, now).filter(|_| recent)
    }

    /// The precedence of state known from stale eras, while the era is younger than
    /// `within`.
    pub fn precedence(&self, within: Duration, now: Instant) -> Option<Precedence> {
        let known = self.known.get()?;
        let young = now.saturating_duration_since(known.since) < within;
        young.then(|| Precedence::new(Revision::new(known.era, known.first)))
    }

    /// Whether the operator entries are known to be complete in this era.
    pub fn is_settled(&self) -> bool {
        self.known
            .get()
            .is_some_and(|known| known.evidence.is_some())
    }

    /// Records that other boxes were queried for what they know.
    pub fn mark_peers_queried(&self) {
        self.peers_queried.set(true);
    }

    /// Whether a box may serve with what it knows. A box that has just started may not,
    /// until it has queried whether other boxes know more than the store.
    pub fn may_serve(&self) -> bool {
        let known = self.known.get();
        let starts = known.is_some_and(|it| it.evidence.is_none() && it.prior.in_force.is_none());
        !starts || self.peers_queried.get()
    }

    /// Records that the operator entries are complete in this era. Returns whether that
    /// is new.
    pub fn settle(&self, evidence: Evidence) -> bool {
        let Some(known) = self.known.get().filter(|known| known.evidence.is_none()) else {
            return false;
        };
        let evidence = Some(evidence);
        self.known.set(Some(Observed { evidence, ..known }));
        true
    }

    /// Returns the evidence that the operator entries are complete, while the store has
    /// the configuration `stored` and the version `in_force` is in force.
    pub fn evaluate(
        &self,
        stored: Option<Entry>,
        in_force: Option<Version>,
        delays: Delays,
        now: Instant,
    ) -> Option<Evidence> {
        let known = self.known.get()?;
        let version = stored.map(|entry| entry.version);
        let is_behind = version < in_force;
        let written = stored.is_some_and(|entry| {
            let ruled_out = known.was_settled && known.prior.rules_out(entry);
            ruled_out || self.origin(entry.revision) == Origin::Era
        });
        let age = now.saturating_duration_since(known.since);
        let is_same = known.prior.in_force == version && version == in_force;
        if written && !is_behind {
            Some(Evidence::Written)
        } else if is_same && self.peers_queried.get() && age >= delays.stable {
            Some(Evidence::Same)
        } else if age >= delays.rewrite {
            Some(Evidence::Waited)
        } else {
            None
        }
    }
}
