//! What a server says of itself.
//!
//! A server says that it leaves in its entry in the store and in each of its answers.
//! The store may be away when it does, so that its answers are the only word of it;
//! and an entry that says `ready` may be older than the answer, however it comes. And
//! it may ask this box for rest ([`backoff`](super::backoff)). All of it is kept here, for
//! one life of the server, and whoever sends to a server asks here first
//! ([`Fleet::permit`](super::Fleet::permit)).
//!
//! Invariants:
//!
//! * That a server leaves is not taken back in the same life.
//! * The rest that it asked for ends with its time, its life or the operator's word.
//! * A word outlives the server's entry: one that goes and comes back in the same life
//!   finds it again (`parted`).

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use tidepier_clock::Instant;

use super::backoff::Backoff;

/// Rests that end within so long are one: each of several requests under way brings its
/// own.
const SAME_TIME: Duration = Duration::from_secs(1);

/// How a server said that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// By its entry in the store.
    Entry,
    /// By an answer to this box.
    Answer,
}

/// That a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leaving {
    /// How it said so first.
    pub source: Source,
    /// When this box heard it.
    pub heard: Instant,
}

/// What one life of a server has said of itself.
#[derive(Debug, Default)]
pub struct Advertisement {
    leaving: Cell<Option<Leaving>>,
    rest: Cell<Option<Backoff>>,
}

impl Advertisement {
    /// Records that the server leaves; returns whether that is new.
    pub(super) fn leave(&self, source: Source, now: Instant) -> bool {
        let is_new = self.leaving.get().is_none();
        if is_new {
            self.leaving.set(Some(Leaving { source, heard: now }));
        }
        is_new
    }

    /// That the server leaves, if it said so.
    pub fn leaving(&self) -> Option<Leaving> {
        self.leaving.get()
    }

    /// Records that the server asks for rest; returns whether that is news: it had none,
    /// or one that is over much sooner.
    ///
    /// Of several such words the one that ends last holds: they come with answers to
    /// requests that crossed each other, so that a shorter one takes nothing back.
    pub(super) fn ask_rest(&self, asked: Duration, now: Instant) -> bool {
        let known = self.rest.get().filter(|known| known.holds(now));
        let rest = Backoff::new(asked, now);
        let longer = known.is_none_or(|known| known.until < rest.until);
        if longer {
            self.rest.set(Some(rest));
        }
        longer && known.is_none_or(|known| known.until + SAME_TIME < rest.until)
    }

    /// The rest that the server asked for last, as long as it matters.
    pub fn rest(&self) -> Option<Backoff> {
        self.rest.get()
    }

    /// Ends the rest, as it is over or by the operator's word; returns whether there
    /// was one.
    pub(super) fn end_rest(&self) -> bool {
        self.rest.take().is_some()
    }

    /// Whether it says nothing that a later entry of the same life would have to find.
    pub(super) fn is_silent(&self) -> bool {
        self.leaving.get().is_none() && self.rest.get().is_none()
    }
}

/// Why nothing may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ineligible {
    /// Its entry is gone, or another server has its address.
    Gone,
    /// It leaves.
    Leaving,
    /// The operator asked to empty its hall.
    Emptied,
    /// It asked this box for rest.
    BackingOff,
}

impl fmt::Display for Ineligible {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ineligible::Gone => "the server is gone",
            Ineligible::Leaving => "the server leaves",
            Ineligible::Emptied => "the server's hall is to be empty",
            Ineligible::BackingOff => "the server asked for rest",
        })
    }
}
