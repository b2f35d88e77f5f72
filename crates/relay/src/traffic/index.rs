//! Which engines cache which parts of prompts, in this box's local view.
//!
//! The view consists of what this box sent itself and of the placements that other boxes
//! report. An engine caches a part until it has to evict it. Evictions are not reported, so
//! an entry is valid for `ENTRY_TTL` after its last use.
//!
//! Invariant: a part counts as cached only if all parts before it in the prompt do.

use std::cell::{OnceCell, RefCell};
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::request::{Part, Prompt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::coverage::Coverage;
use crate::fleet::Key;
use tidepier_admission::demand::Demand;

/// Capacity of the index in parts, the most recently used ones. At 20 requests a second of
/// this box and 80 that are reported, these are the parts of more than a minute.
pub const PARTS_MAX: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();
/// Time for which an engine is assumed to cache a part after its last known use. Measured
/// engines have room for what they prefill in four minutes.
const ENTRY_TTL: Duration = Duration::from_secs(60);
/// Age from which a use is reported again, so that other boxes do not drop it.
const REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum number of entries that are sent to a box after its start: 4,096 of some 20 bytes
/// each.
const EXPORTED_MAX: usize = 4_096;
/// Maximum number of engines remembered for one part.
const HOLDERS_MAX: usize = 6;

/// A time in tenths of a second since [`ENTRY_TTL`] before the index was created, so that
/// earlier uses can be represented as well. An entry takes 12 bytes this way instead of 40.
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
    /// When the part was last used there, as far as this box knows.
    used: Moment,
    /// When this use was last reported, to other boxes or by them.
    reported: Moment,
}

impl Holder {
    fn is_valid(&self, now: Moment) -> bool {
        now.since(self.used) < ENTRY_TTL
    }
}

/// One entry of the index, as sent to a box that has just started.
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
    fn from(entry: Entry) -> Self {
        (entry.part, entry.server, entry.age_s)
    }
}

/// The engines that cache each part.
pub struct Index {
    created: Instant,
    /// Makes the preferences of this box differ from those of others; random.
    seed: OnceCell<u64>,
    parts: RefCell<LruCache<u64, Vec<Holder>>>,
    /// How much of the fleet's placements this box learns of.
    pub coverage: Coverage,
    /// How many requests there are about which subject.
    pub demand: Demand,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            created: Instant::now(),
            seed: OnceCell::new(),
            parts: RefCell::new(LruCache::new(PARTS_MAX)),
            coverage: Coverage::default(),
            demand: Demand::default(),
        }
    }
}

impl Index {
    /// Records that this box sent the shared parts of a prompt to a server. Returns whether
    /// the last of them should be reported to other boxes.
    pub fn record_local(&self, prompt: &Prompt, server: Key, now: Instant) -> bool {
        if let Some(subject) = prompt.subject() {
            self.coverage
                .record_prompt(!self.holders(subject, now).is_empty());
        }
        let shared = prompt.shared();
        let uses = shared.iter().map(|part| self.record(part.id, server, now));
        uses.last().unwrap_or(false)
    }

    /// Records another box's report that it sent a part, and with it all parts before it,
    /// to a server. Returns whether this is new.
    pub fn record_remote(&self, part: u64, server: Key, now: Instant) -> bool {
        self.record(part, server, now)
    }

    /// Returns the most recently used entries, for a box that has just started.
    pub fn export(&self, now: Instant) -> Vec<Entry> {
        let now = self.moment(now);
        let parts = self.parts.borrow();
        let holders = parts
            .iter()
            .flat_map(|(part, holders)| holders.iter().map(move |holder| (*part, holder)));
        let entries = holders.filter(|(_, holder)| holder.is_valid(now));
        let rows = entries.map(|(part, holder)| Entry {
            part,
            server: holder.server,
            age_s: now.since(holder.used).as_secs() as u16,
        });
        rows.take(EXPORTED_MAX).collect()
    }

    /// Merges the entries of another box; local entries take precedence.
    pub fn recall(&self, entries: &[Entry], now: Instant) {
        let now = self.moment(now);
        let mut parts = self.parts.borrow_mut();
        // The last row is the least recently used one.
        for row in entries.iter().rev() {
            let used = Moment(now.0.saturating_sub(10 * u32::from(row.age_s)));
            let holders = parts.get_or_insert_mut(row.part, Vec::new);
            let known = holders.iter().any(|holder| holder.server == row.server);
            if known || holders.len() == HOLDERS_MAX {
                continue;
            }
            let after = holders.partition_point(|holder| holder.used <= used);
            let holder = Holder {
                server: row.server,
                used,
                reported: used,
            };
            holders.insert(after, holder);
        }
    }

    fn moment(&self, at: Instant) -> Moment {
        let since = at.saturating_duration_since(self.created) + ENTRY_TTL;
        Moment((since.as_millis() / 100) as u32)
    }

    /// Records a use. Returns whether it should be reported, as it was not reported
    /// recently.
    fn record(&self, part: u64, server: Key, now: Instant) -> bool {
        let now = self.moment(now);
        let mut parts = self.parts.borrow_mut();
        let holders = parts.get_or_insert_mut(part, Vec::new);
        holders.retain(|holder| holder.is_valid(now));
        let known = holders.iter().position(|holder| holder.server == server);
        let reported = known.map(|at| holders.remove(at).reported);
        let fresh = reported.filter(|reported| now.since(*reported) < REPORT_INTERVAL);
        if holders.len() == HOLDERS_MAX {
            holders.remove(0);
        }
        holders.push(Holder {
            server,
            used: now,
            reported: fresh.unwrap_or(now),
        });
        fresh.is_none()
    }

    /// Which of `count` equal servers this box prefers for a part. Other boxes prefer other
    /// ones; this box keeps to its preference.
    pub fn preference(&self, part: &Part, count: usize) -> usize {
        let seed = *self.seed.get_or_init(|| fastrand::u64(..));
        let hash = xxh3_64_with_seed(&part.id.to_le_bytes(), seed);
        (hash % count.max(1) as u64) as usize
    }

    /// The servers that cache a part, the most recently used first.
    pub fn holders(&self, part: &Part, now: Instant) -> Vec<Key> {
        let now = self.moment(now);
        let parts = self.parts.borrow();
        let holders = parts.peek(&part.id).into_iter().flatten();
        let entries = holders.filter(|holder| holder.is_valid(now));
        entries.map(|holder| holder.server).rev().collect()
    }

    /// Number of parts in the index.
    pub fn len(&self) -> usize {
        self.parts.borrow().len()
    }

    /// Whether the index has no parts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
