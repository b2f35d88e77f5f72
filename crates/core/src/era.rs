//! The eras of a store, and its revisions.
//!
//! A store may come back from an older copy of itself. What it had acknowledged since
//! then is gone, and it gives out the same revisions again for other changes. Each such
//! return begins another era, which the store tells with its answers. A store that tells
//! none has one era.
//!
//! Invariants:
//!
//! * Two revisions are ordered by their eras first. The number of a revision says
//!   nothing beside one of another era, and [`Revision`] gives it away for the store's
//!   own calls and for messages alone.
//! * No answer of a former era is delivered once a later one was heard of ([`Tracker`]).

use std::cell::Cell;
use std::fmt;

/// One history of a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One state of a store; every change makes the next. The default stands for no state:
/// that of an item which is absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    // Before the number, as the order is derived.
    era: Era,
    number: u64,
}

impl Revision {
    /// The revision with a number of an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// The revision with a number of a store that tells no era.
    pub const fn of(number: u64) -> Self {
        Self::new(Era(0), number)
    }

    /// Its era.
    pub const fn era(self) -> Era {
        self.era
    }

    /// Its number, as the store and messages carry it.
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Whether it stands for no state.
    pub const fn is_none(self) -> bool {
        self.number == 0
    }
}

/// The number, after the era where the store tells one.
impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era(0) => self.number.fmt(f),
            era => write!(f, "{era}:{}", self.number),
        }
    }
}

/// Why an answer of a store is not delivered: it is of a former era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the store's answer is of era {era}, and {newest} was heard of")]
pub struct StaleEra {
    /// The answer's era.
    pub era: Era,
    /// The newest era.
    pub newest: Era,
}

/// The newest era that any answer of a store told.
#[derive(Debug, Default)]
pub struct Tracker {
    newest: Cell<Era>,
}

impl Tracker {
    /// The newest era.
    pub fn newest(&self) -> Era {
        self.newest.get()
    }

    /// Records the era that an answer tells; `None` where it tells none, which is then
    /// the newest one. Returns the era that the answer is of.
    ///
    /// # Errors
    ///
    /// A later era was heard of.
    pub fn observe(&self, told: Option<Era>) -> Result<Era, StaleEra> {
        let newest = self.newest.get();
        let era = told.unwrap_or(newest);
        if era < newest {
            return Err(StaleEra { era, newest });
        }
        self.newest.set(era);
        Ok(era)
    }
}
