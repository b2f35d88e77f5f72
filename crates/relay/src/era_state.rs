//! How far the word of the store holds that this box follows.
//!
//! After the store came back from an older copy, its entries may be older than what was
//! in force before, and what is missing may be written again. Until the operator's
//! entries are whole again, what this box knew holds, and nothing proves that it is the
//! newest.
//!
//! Invariants:
//!
//! * An era is never left for an earlier one.
//! * What is older than the version in force proves nothing.
//! * An era that a box starts in counts as one that has just begun, until something
//!   shows that the operator's entries are whole in it.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::era::{Era, Revision};

/// Where an entry of the store is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It was written in this era.
    Era,
    /// The copy may have had it.
    Backup,
}

/// While it lasts, what was known in former eras stands against what the copy may have
/// had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Precedence {
    /// The first state of the era that was heard of.
    first: Revision,
}

impl Precedence {
    /// The hold of an era with this first state.
    pub fn new(first: Revision) -> Self {
        Self { first }
    }

    /// Whether `known` stands against an entry of this revision that says otherwise.
    pub fn keeps(&self, known: Revision, entry: Revision) -> bool {
        self.is_former(known) && entry <= self.first
    }

    /// Whether a revision is of a former era.
    pub fn is_former(&self, known: Revision) -> bool {
        known.era() < self.first.era()
    }
}

/// What shows that the operator's entries are whole in an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The store tells no eras.
    NoEras,
    /// All boxes start for the first time.
    FirstStart,
    /// The operator wrote a configuration that is not older than the one in force.
    Written,
    /// The store has the version that was in force before, no other box that was asked
    /// knows a newer one, and its word counts as after any trouble. A change that was
    /// lost as it was made is known to no box, and the copy says nothing of it.
    Same,
    /// Another box says so, by itself or by the mark in the store.
    Report,
    /// The time is over in which they would have been written again.
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

/// The operator's configuration as the store has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Its version.
    pub version: Version,
    /// Its revision.
    pub revision: Revision,
}

/// What was known of the operator's configuration as an era began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prior {
    /// The version in force here.
    pub in_force: Option<Version>,
    /// The store's entry.
    pub entry: Option<Entry>,
    /// The newest state of the store that was known to have that entry.
    pub state: Revision,
    /// How long ago all that the store held was known here; `None`: it never was.
    pub age: Option<Duration>,
}

impl Prior {
    /// Whether an entry of the next era cannot be from this one, as this one had another
    /// entry in a state at which that number had been given out.
    fn rules_out(&self, later: Entry) -> bool {
        self.entry.is_some_and(|entry| {
            let same = entry.version == later.version
                && entry.revision.number() == later.revision.number();
            let given_out = later.revision.number() <= self.state.number();
            given_out && !same && later.version >= entry.version
        })
    }
}

/// How long some grounds wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waits {
    /// Time after trouble of the store from which its word counts again.
    pub stable: Duration,
    /// Time in which the operator writes again what was lost.
    pub rewrite: Duration,
}

/// An era as this box knows it.
#[derive(Debug, Clone, Copy)]
struct Known {
    era: Era,
    /// The lowest number of the store's state that was heard of.
    first: u64,
    since: Instant,
    before: Prior,
    /// Whether the operator's entries were whole in the era before.
    was_settled: bool,
    ground: Option<Evidence>,
}

/// What one box knows of the store's era.
#[derive(Debug, Default)]
pub struct EraState {
    known: Cell<Option<Known>>,
    /// Whether other boxes were asked since it began.
    asked: Cell<bool>,
    first_start: Cell<bool>,
    /// Whether more than one era was heard of.
    changed: Cell<bool>,
}

impl EraState {
    /// Records that all boxes start for the first time.
    pub fn record_first_start(&self) {
        self.first_start.set(true);
    }

    /// Whether something has yet to show that the operator's entries are whole.
    pub fn is_open(&self) -> bool {
        match self.known.get() {
            Some(known) => known.ground.is_none(),
            None => !self.first_start.get(),
        }
    }

    /// The era, once one was heard of.
    pub fn era(&self) -> Option<Era> {
        self.known.get().map(|known| known.era)
    }

    /// Whether more than one era was heard of.
    pub fn has_changed(&self) -> bool {
        self.changed.get()
    }

    /// The lowest number of the store's state that was heard of in this era.
    pub fn first(&self) -> u64 {
        self.known.get().map_or(0, |known| known.first)
    }

    /// Records a state of the store that was heard of at `now`, and what was known before.
    /// Returns whether it is the first one of a later era.
    pub fn observe(&self, state: Revision, before: Prior, now: Instant) -> bool {
        let (era, first) = (state.era(), state.number());
        match self.known.get() {
            Some(known) if era < known.era => false,
            Some(known) if era == known.era => {
                let first = known.first.min(first);
                self.known.set(Some(Known { first, ..known }));
                false
            }
            earlier => {
                let ground = match earlier {
                    _ if era == Era(0) => Some(Evidence::NoEras),
                    None if self.first_start.get() => Some(Evidence::FirstStart),
                    _ => None,
                };
                self.asked.set(false);
                self.changed.set(earlier.is_some());
                self.known.set(Some(Known {
                    era,
                    first,
                    since: now,
                    before,
                    was_settled: earlier.is_some_and(|known| known.ground.is_some()),
                    ground,
                }));
                true
            }
        }
    }

    /// Where an entry is from that the store has.
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

    /// The same where what was known was not older than that as the era began: else the
    /// copy may be newer. A box that starts knows what others tell it since.
    pub fn hold_recent(&self, within: Duration, now: Instant) -> Option<Precedence> {
        let known = self.known.get()?;
        let recent = known.before.age.is_none_or(|age| age < within);
        self.hold(within, now).filter(|_| recent)
    }

    /// What was known in former eras stands while the era is younger than `within`.
    pub fn hold(&self, within: Duration, now: Instant) -> Option<Precedence> {
        let known = self.known.get()?;
        let young = now.saturating_duration_since(known.since) < within;
        young.then(|| Precedence::new(Revision::new(known.era, known.first)))
    }

    /// Whether the operator's entries are known to be whole in this era.
    pub fn is_settled(&self) -> bool {
        self.known.get().is_some_and(|known| known.ground.is_some())
    }

    /// Records that other boxes were asked what they know.
    pub fn ask(&self) {
        self.asked.set(true);
    }

    /// Whether a box may serve by what it knows: not one that has just started and has yet
    /// to hear whether others know more than the store.
    pub fn may_begin(&self) -> bool {
        let known = self.known.get();
        let starts = known.is_some_and(|it| it.ground.is_none() && it.before.in_force.is_none());
        !starts || self.asked.get()
    }

    /// Records that the operator's entries are whole in this era; returns whether that
    /// is new.
    pub fn settle(&self, ground: Evidence) -> bool {
        let Some(known) = self.known.get().filter(|known| known.ground.is_none()) else {
            return false;
        };
        let ground = Some(ground);
        self.known.set(Some(Known { ground, ..known }));
        true
    }

    /// What shows that the operator's entries are whole while the store has this
    /// configuration and `in_force` is in force.
    pub fn evaluate(
        &self,
        stored: Option<Entry>,
        in_force: Option<Version>,
        waits: Waits,
        now: Instant,
    ) -> Option<Evidence> {
        let known = self.known.get()?;
        let version = stored.map(|entry| entry.version);
        let is_behind = version < in_force;
        let written = stored.is_some_and(|entry| {
            let ruled_out = known.was_settled && known.before.rules_out(entry);
            ruled_out || self.origin(entry.revision) == Origin::Era
        });
        let age = now.saturating_duration_since(known.since);
        let is_same = known.before.in_force == version && version == in_force;
        if written && !is_behind {
            Some(Evidence::Written)
        } else if is_same && self.asked.get() && age >= waits.stable {
            Some(Evidence::Same)
        } else if age >= waits.rewrite {
            Some(Evidence::Waited)
        } else {
            None
        }
    }
}
