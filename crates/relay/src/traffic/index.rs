//! Which engines keep which parts of prompts, as far as this box knows.
//!
//! It knows what it sent itself, and what other boxes say that they sent. An
//! engine that got a part keeps it until its memory gives way; nobody tells
//! that, so an entry is believed for `KEPT_TIME` after its last use.
//!
//! Invariant: a part counts as kept only if all before it in the prompt do.

use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::request::{Part, Prompt};

use super::coverage::Coverage;
use crate::fleet::Key;

/// Parts remembered, the ones used last: at 20 requests a second here and 80
/// that are told, those of over a minute.
pub const PARTS_MAX: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();
/// Time that an engine is trusted to keep a part after its last known use.
/// Measured engines have room for what they read in four minutes.
const KEPT_TIME: Duration = Duration::from_secs(60);
/// Age from which a use is told again, so that others do not forget it.
const TELL_TIME: Duration = Duration::from_secs(20);
/// Entries that a box which has just started is sent: 4,096 of some 20 bytes.
const RECALLED: usize = 4_096;
/// Engines remembered for one part.
const HOLDERS: usize = 6;

/// A moment, in tenths of a second since [`KEPT_TIME`] before an index was made,
/// so that what was used before fits in. An entry takes 12 bytes so, where it
/// would take 40.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Moment(u32);

impl Moment {
    fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(100) * self.0.saturating_sub(earlier.0)
    }
}

/// An engine that a part was sent to.
struct Holder {
    server: Key,
    /// When the part was last used there, as far as is known.
    used: Moment,
    /// When this was last told to others, or by them.
    told: Moment,
}

impl Holder {
    fn is_kept(&self, now: Moment) -> bool {
        now.since(self.used) < KEPT_TIME
    }
}

/// One entry, for a box that knows nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Key, u16)", into = "(u64, Key, u16)")]
pub struct Entry {
    part: u64,
    server: Key,
    /// Time since its last known use, in s.
    age_s: u16,
}

impl From<(u64, Key, u16)> for Entry {
    fn from((part, server, age_s): (u64, Key, u16)) -> Self {
        Self {
            part,
            server,
            age_s,
        }
    }
}

impl From<Entry> for (u64, Key, u16) {
    fn from(kept: Entry) -> Self {
        (kept.part, kept.server, kept.age_s)
    }
}

/// The engines that keep each part.
pub struct Index {
    made: Instant,
    parts: RefCell<LruCache<u64, Vec<Holder>>>,
    /// How much this box hears of what is kept.
    pub coverage: Coverage,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            made: Instant::now(),
            parts: RefCell::new(LruCache::new(PARTS_MAX)),
            coverage: Coverage::default(),
        }
    }
}

impl Index {
    /// Records that the shared parts of a prompt were sent to a server. Returns
    /// whether others should be told of the last of them.
    pub fn record_local(&self, prompt: &Prompt, server: Key, now: Instant) -> bool {
        if let Some(subject) = prompt.subject() {
            self.coverage
                .record_prompt(!self.holders(subject, now).is_empty());
        }
        let shared = prompt.shared();
        let uses = shared.iter().map(|part| self.record(part.id, server, now));
        uses.last().unwrap_or(false)
    }

    /// Records that another box says that it sent a part, and so all parts
    /// before it, to a server. Returns whether that is news.
    pub fn record_remote(&self, part: u64, server: Key, now: Instant) -> bool {
        self.record(part, server, now)
    }

    /// The entries used last, for a box that has just started.
    pub fn export(&self, now: Instant) -> Vec<Entry> {
        let now = self.moment(now);
        let parts = self.parts.borrow();
        let holders = parts
            .iter()
            .flat_map(|(part, holders)| holders.iter().map(move |holder| (*part, holder)));
        let kept = holders.filter(|(_, holder)| holder.is_kept(now));
        let rows = kept.map(|(part, holder)| Entry {
            part,
            server: holder.server,
            age_s: now.since(holder.used).as_secs() as u16,
        });
        rows.take(RECALLED).collect()
    }

    /// Takes over what another box knows; what is known here goes before that.
    pub fn recall(&self, kept: &[Entry], now: Instant) {
        let now = self.moment(now);
        let mut parts = self.parts.borrow_mut();
        // The last one of the rows was used longest ago.
        for row in kept.iter().rev() {
            let used = Moment(now.0.saturating_sub(10 * u32::from(row.age_s)));
            let holders = parts.get_or_insert_mut(row.part, Vec::new);
            let known = holders.iter().any(|holder| holder.server == row.server);
            if known || holders.len() == HOLDERS {
                continue;
            }
            let after = holders.partition_point(|holder| holder.used <= used);
            let holder = Holder {
                server: row.server,
                used,
                told: used,
            };
            holders.insert(after, holder);
        }
    }

    fn moment(&self, at: Instant) -> Moment {
        let since = at.saturating_duration_since(self.made) + KEPT_TIME;
        Moment((since.as_millis() / 100) as u32)
    }

    /// Records a use; returns whether it was not told lately.
    fn record(&self, part: u64, server: Key, now: Instant) -> bool {
        let now = self.moment(now);
        let mut parts = self.parts.borrow_mut();
        let holders = parts.get_or_insert_mut(part, Vec::new);
        holders.retain(|holder| holder.is_kept(now));
        let known = holders.iter().position(|holder| holder.server == server);
        let told = known.map(|at| holders.remove(at).told);
        let fresh = told.filter(|told| now.since(*told) < TELL_TIME);
        if holders.len() == HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder {
            server,
            used: now,
            told: fresh.unwrap_or(now),
        });
        fresh.is_none()
    }

    /// The servers that keep a part, the one used last first.
    pub fn holders(&self, part: &Part, now: Instant) -> Vec<Key> {
        let now = self.moment(now);
        let parts = self.parts.borrow();
        let holders = parts.peek(&part.id).into_iter().flatten();
        let kept = holders.filter(|holder| holder.is_kept(now));
        kept.map(|holder| holder.server).rev().collect()
    }

    /// Parts that are remembered.
    pub fn len(&self) -> usize {
        self.parts.borrow().len()
    }

    /// Whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
