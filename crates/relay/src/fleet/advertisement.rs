//! What a server advertises about itself.
//!
//! A server advertises that it is leaving in its entry in the store and in each of its
//! answers. If the store is unreachable at that time, only the answers say so; and an
//! entry with the state `ready` may be older than the answer, whichever arrives last. A
//! server may also request a back-off of this box ([`backoff`](super::backoff)). Both
//! are kept here for one incarnation of the server, and whatever sends to a server
//! checks them first ([`Fleet::permit`](super::Fleet::permit)).
//!
//! Invariants:
//!
//! * Once an incarnation of a server is leaving, it stays so.
//! * A back-off ends when its time is over, when the incarnation ends or when the
//!   operator cancels it.
//! * The advertised state outlives the server's entry: a server whose entry is removed
//!   and announced again in the same incarnation keeps its state (module `departed`).

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use tidepier_clock::Instant;

use super::backoff::Backoff;

/// Back-offs that end within this time of each other count as one: each of several
/// requests in flight brings its own.
const SAME_BACKOFF_SLACK: Duration = Duration::from_secs(1);

/// How this box learned that a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// From the server's entry in the store.
    Entry,
    /// From an answer to this box.
    Answer,
}

/// That a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leaving {
    /// How this box first learned it.
    pub source: LeavingSource,
    /// When this box learned it.
    pub learned_at: Instant,
}

/// What one incarnation of a server has advertised.
#[derive(Debug, Default)]
pub struct Advertisement {
    leaving: Cell<Option<Leaving>>,
    backoff: Cell<Option<Backoff>>,
}

impl Advertisement {
    /// Records that the server is leaving. Returns whether that is new.
    pub(super) fn mark_leaving(&self, source: LeavingSource, now: Instant) -> bool {
        let is_new = self.leaving.get().is_none();
        if is_new {
            self.leaving.set(Some(Leaving {
                source,
                learned_at: now,
            }));
        }
        is_new
    }

    /// That the server is leaving, if it advertised so.
    pub fn leaving(&self) -> Option<Leaving> {
        self.leaving.get()
    }

    /// Records that the server requests a back-off. Returns whether that is new: there
    /// was no back-off, or one that ends much sooner.
    ///
    /// Of several requested back-offs the one that ends last applies. They come with
    /// answers to requests that overtook each other, so that a shorter one does not
    /// cancel a longer one.
    pub(super) fn request_backoff(&self, requested: Duration, now: Instant) -> bool {
        let known = self.backoff.get().filter(|known| known.is_active(now));
        let backoff = Backoff::new(requested, now);
        let longer = known.is_none_or(|known| known.until < backoff.until);
        if longer {
            self.backoff.set(Some(backoff));
        }
        longer && known.is_none_or(|known| known.until + SAME_BACKOFF_SLACK < backoff.until)
    }

    /// The back-off requested last, also after its time, until it is removed.
    pub fn backoff(&self) -> Option<Backoff> {
        self.backoff.get()
    }

    /// Removes the back-off, because it has ended or the operator cancels it. Returns
    /// whether there was one.
    pub(super) fn end_backoff(&self) -> bool {
        self.backoff.take().is_some()
    }

    /// Whether nothing was advertised that has to be kept for a later entry of the same
    /// incarnation.
    pub(super) fn is_empty(&self) -> bool {
        self.leaving.get().is_none() && self.backoff.get().is_none()
    }
}

/// Why nothing may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ineligible {
    /// Its entry is gone, or another server has its address.
    Gone,
    /// It is leaving.
    Leaving,
    /// The operator requested to empty its hall.
    Emptied,
    /// It requested a back-off of this box.
    BackingOff,
}

impl fmt::Display for Ineligible {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ineligible::Gone => "the server is gone",
            Ineligible::Leaving => "the server is leaving",
            Ineligible::Emptied => "the operator asked to empty the server's hall",
            Ineligible::BackingOff => "the server requested a back-off",
        })
    }
}
