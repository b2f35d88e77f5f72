//! The eras of a store, and its revisions.
//!
//! A store may be restored from an older backup of itself. What it acknowledged after
//! that copy was made is lost, and it assigns the same revisions again to other
//! changes. Each such restore begins a new era, which the store states in its answers.
//! A store that states no eras has only one.
//!
//! Invariants:
//!
//! * Revisions are ordered by era first. The number of a revision means nothing next to
//!   one of another era; [`Revision`] exposes it only for calls to the store and for
//!   messages.
//! * No answer of a stale era is delivered once a later one was observed ([`Tracker`]).

use std::cell::Cell;
use std::fmt;

/// The time between two restores of a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl Era {
    /// The era of a store that was never restored and states eras; one that states none has
    /// an earlier one.
    pub const FIRST: Self = Self(1);
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One state of a store; every change makes the next one. The default means no state,
/// and stands for the revision of an absent item.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    // Before the number, because the order is derived.
    era: Era,
    number: u64,
}

impl Revision {
    /// The revision with this number in an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// The revision with this number of a store that states no eras.
    pub const fn of(number: u64) -> Self {
        Self::new(Era(0), number)
    }

    /// Its era.
    pub const fn era(self) -> Era {
        self.era
    }

    /// Its number, as used in calls to the store and in messages.
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Whether it is no state of a store.
    pub const fn is_none(self) -> bool {
        self.number == 0
    }
}

/// The number, preceded by the era where the store states one.
impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era(0) => self.number.fmt(f),
            era => write!(f, "{era}:{}", self.number),
        }
    }
}

/// An answer of a store is not delivered, because it is of a stale era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the store's answer is of the stale era {era}; the newest is {newest}")]
pub struct StaleEra {
    /// The answer's era.
    pub era: Era,
    /// The newest era.
    pub newest: Era,
}

/// The newest era that any answer of a store stated.
#[derive(Debug, Default)]
pub struct Tracker {
    newest: Cell<Era>,
}

impl Tracker {
    /// The newest era.
    pub fn newest(&self) -> Era {
        self.newest.get()
    }

    /// Records the era that an answer states; `None` if it states none, and so belongs
    /// to the newest one. Returns the era of the answer.
    ///
    /// # Errors
    ///
    /// A later era was observed before.
    pub fn observe(&self, stated: Option<Era>) -> Result<Era, StaleEra> {
        let newest = self.newest.get();
        let era = stated.unwrap_or(newest);
        if era < newest {
            return Err(StaleEra { era, newest });
        }
        self.newest.set(era);
        Ok(era)
    }
}
