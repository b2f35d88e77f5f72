//! The contents that servers crashed under, and which of them are refused for that. Parts of
//! prompts are held in a table of their own, by the same rules but for [`Kind`].
//!
//! Boxes report to each other what they observed. Each box knows the union of all
//! reports, in whatever order they arrive and however often. A crash of a server that
//! was executing many requests blames none of them by itself: a content is refused once
//! three servers have crashed under it, which would happen to an innocent request only
//! by chance.
//!
//! Invariants:
//!
//! * A content is refused only while at least three crashes are known that are later
//!   than the last complete answer to it and than the operator's last request to allow
//!   it.
//! * Memory is bounded, whatever clients send: [`CONTENTS_MAX`] contents, each with
//!   [`CRASHES_MAX`] crashes, parts with [`PART_CRASHES_MAX`].

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;

use crate::content::Fingerprint;
use crate::fleet::Key;

/// Crashes under a content from which it is refused. With two, an innocent request would
/// be refused that was retried and met a second crash.
pub const CRASHES_TO_REFUSE: usize = 3;
/// The same under a part of prompts.
pub const PART_CRASHES_TO_REFUSE: usize = 4;
/// Crashes under a part within this time count as one.
const SAME_TIME: Duration = Duration::from_millis(400);
/// Most contents held, which is at most 1 MB of memory: about as many as when 300 servers
/// crash at once with 14 requests each.
pub const CONTENTS_MAX: usize = 4_096;
/// Most crashes held for one content. Each one above [`CRASHES_TO_REFUSE`] doubles the
/// time for which the content is refused, up to [`REFUSED_MAX`].
pub const CRASHES_MAX: usize = 8;
/// Most crashes held for one part.
pub const PART_CRASHES_MAX: usize = 16;
/// How long a content is refused after the last of three crashes. A request that nobody
/// fixes costs one server per this time, then one per twice that time, and so on; a
/// request that met three crashes by chance is allowed again after it.
pub const REFUSED_MIN: Duration = Duration::from_secs(300);
/// Longest time for which a content is refused.
pub const REFUSED_MAX: Duration = Duration::from_secs(3_600);
/// How long crashes under a content that is not refused are kept, as well as complete
/// answers and the operator's requests to allow a content. Crashes further apart than
/// this are taken for chance.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Two crashes of one server within this time are the same one: boxes observe a crash at
/// times that differ by the delay of a message, and a server that crashed is not back so
/// soon.
const SAME_CRASH: Duration = Duration::from_millis(1_500);

/// What the keys of a table stand for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Kind {
    /// Contents of requests.
    #[default]
    Content,
    /// Parts of prompts. Each crash of a server counts under the parts of all requests that
    /// it was executing, and many requests share a part. So it takes one crash more, and
    /// crashes at the same time count as one: they have one cause, which is none of the
    /// parts.
    Part,
}

impl Kind {
    /// Crashes from which a key is refused.
    pub fn crashes_to_refuse(self) -> usize {
        match self {
            Kind::Content => CRASHES_TO_REFUSE,
            Kind::Part => PART_CRASHES_TO_REFUSE,
        }
    }

    /// Two crashes within this time count as one, whatever the servers.
    fn same_time(self) -> Duration {
        match self {
            Kind::Content => Duration::ZERO,
            Kind::Part => SAME_TIME,
        }
    }

    /// Most crashes held for one key.
    fn crashes_max(self) -> usize {
        match self {
            Kind::Content => CRASHES_MAX,
            Kind::Part => PART_CRASHES_MAX,
        }
    }

    /// As how many crashes those at these times, in order, count.
    fn count(self, times: impl Iterator<Item = Instant>) -> usize {
        let mut counted: Option<Instant> = None;
        let counts = times.filter(|at| {
            let counts = counted.is_none_or(|last| *at >= last + self.same_time());
            if counts {
                counted = Some(*at);
            }
            counts
        });
        counts.count()
    }
}

/// A server's crash while it executed a request with a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    server: Key,
    at: Instant,
}

impl Crash {
    /// Whether two observations are of the same crash.
    fn is_same(&self, other: &Crash) -> bool {
        let apart = self.at.max(other.at) - self.at.min(other.at);
        self.server == other.server && apart < SAME_CRASH
    }
}

/// What is known of one content.
#[derive(Debug, Default)]
struct Entry {
    /// Crashes in order of time.
    crashes: Vec<Crash>,
    /// Crashes up to this time no longer count.
    cleared: Option<Instant>,
    /// Sequence number of the last change to this entry, out of all changes to the
    /// table.
    changed: u64,
}

impl Entry {
    /// Adds a crash. Returns whether that was new.
    fn add(&mut self, crash: Crash, kind: Kind) -> bool {
        let is_cleared = self.cleared.is_some_and(|cleared| crash.at <= cleared);
        let known = self.crashes.iter().any(|known| known.is_same(&crash));
        let full = self.crashes.len() == kind.crashes_max();
        let oldest = full
            && self
                .crashes
                .first()
                .is_some_and(|first| crash.at <= first.at);
        if is_cleared || known || oldest {
            return false;
        }
        if full {
            self.crashes.remove(self.least(kind));
        }
        let at = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(at, crash);
        true
    }

    /// The index of the crash to drop for another one: one that counts together with the one
    /// before it, or else the oldest.
    fn least(&self, kind: Kind) -> usize {
        let pairs = self.crashes.windows(2);
        let mut pairs = pairs.map(|pair| pair[1].at.saturating_duration_since(pair[0].at));
        let together = pairs.position(|apart| apart < kind.same_time());
        together.map_or(0, |index| index + 1)
    }

    /// Clears the crashes up to a time. Returns whether that was new.
    fn clear(&mut self, at: Instant) -> bool {
        let counts = self.crashes.iter().any(|crash| crash.at <= at);
        let is_new = counts || self.cleared.is_none_or(|cleared| cleared + SAME_CRASH < at);
        if is_new {
            self.cleared = self.cleared.max(Some(at));
            self.crashes.retain(|crash| crash.at > at);
        }
        is_new
    }

    /// Until when the content is refused.
    fn refused_until(&self, kind: Kind) -> Option<Instant> {
        let times = self.crashes.iter().map(|crash| crash.at);
        let beyond = kind.count(times).checked_sub(kind.crashes_to_refuse())?;
        let time = REFUSED_MIN * 2u32.pow(beyond as u32);
        Some(self.crashes.last()?.at + time.min(REFUSED_MAX))
    }

    /// Until when the entry is kept. A content that was refused is kept for the same
    /// time again, so that one more crash is enough to refuse it.
    fn kept_until(&self, kind: Kind) -> Option<Instant> {
        let last = self
            .crashes
            .last()
            .map(|crash| crash.at)
            .max(self.cleared)?;
        let remembered = last + RETENTION;
        let until = self.refused_until(kind).map(|until| until + (until - last));
        Some(until.map_or(remembered, |until| until.max(remembered)))
    }
}

/// What boxes report to each other about one content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RowParts", into = "RowParts")]
pub struct Row {
    /// The content.
    pub content: Fingerprint,
    /// Servers that crashed under it, and how long ago.
    pub ends: Vec<(Key, Duration)>,
    /// How long ago the crashes before that were cleared.
    pub cleared: Option<Duration>,
}

/// A row as it is sent, with ages in ms.
type RowParts = (Fingerprint, Vec<(Key, u32)>, Option<u32>);

impl From<RowParts> for Row {
    fn from((content, ends, cleared): RowParts) -> Self {
        let age = |ms: u32| Duration::from_millis(ms.into());
        Self {
            content,
            ends: ends.into_iter().map(|(key, ms)| (key, age(ms))).collect(),
            cleared: cleared.map(age),
        }
    }
}

impl From<Row> for RowParts {
    fn from(row: Row) -> Self {
        let ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let ends = row.ends.into_iter().map(|(key, age)| (key, ms(age)));
        (row.content, ends.collect(), row.cleared.map(ms))
    }
}

/// Which contents are reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All, for a receiver that combines what several boxes observed.
    All,
    /// Those with at least two crashes, and those that were cleared.
    Repeated,
}

/// A change in whether a content is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The content is refused from now on: number of crashes, and time for which it is
    /// refused.
    Refused(Fingerprint, usize, Duration),
    /// The content is no longer refused.
    Cleared(Fingerprint),
}

/// The crashes that one box knows of.
#[derive(Debug, Default)]
pub struct Table {
    kind: Kind,
    entries: RefCell<HashMap<Fingerprint, Entry>>,
    /// Contents by the sequence number of their last change.
    order: RefCell<BTreeMap<u64, Fingerprint>>,
    changes: Cell<u64>,
}

impl Table {
    /// An empty table.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            ..Self::default()
        }
    }

    /// Records that a server crashed at `at` under a content.
    pub fn record_crash(&self, content: Fingerprint, server: Key, at: Instant) -> Option<Change> {
        let kind = self.kind;
        self.change(content, at, |entry| entry.add(Crash { server, at }, kind))
    }

    /// Clears the crashes under a content up to `at`: it was answered completely, or the
    /// operator allows it.
    pub fn clear(&self, content: Fingerprint, at: Instant) -> Option<Change> {
        self.change(content, at, |entry| entry.clear(at))
    }

    /// Clears the crashes under a content if there are any: it was answered completely.
    pub fn answered(&self, content: Fingerprint, at: Instant) -> Option<Change> {
        let held = self
            .entries
            .borrow()
            .get(&content)
            .map(|it| it.crashes.len());
        held.filter(|crashes| *crashes > 0)?;
        self.clear(content, at)
    }

    /// How much longer a content is refused; `None` if it is not.
    pub fn refused(&self, content: Fingerprint, now: Instant) -> Option<Duration> {
        let entries = self.entries.borrow();
        let until = entries.get(&content)?.refused_until(self.kind)?;
        until
            .checked_duration_since(now)
            .filter(|left| !left.is_zero())
    }

    /// The first of the keys that a request holds which is refused for what no refused key
    /// explains that it does not hold, and for how much longer.
    ///
    /// Keys that always come together have the same crashes. A request that holds only some of
    /// them passes: if it is answered, these are cleared, and if its server crashes, that
    /// crash is theirs alone.
    pub fn blocking(&self, held: &[Fingerprint], now: Instant) -> Option<(Fingerprint, Duration)> {
        let refused = |key: &Fingerprint| self.refused(*key, now).map(|left| (*key, left));
        let refused: Vec<(Fingerprint, Duration)> = held.iter().filter_map(refused).collect();
        if refused.is_empty() {
            return None;
        }
        let entries = self.entries.borrow();
        let others = entries.iter().filter(|(key, entry)| {
            let until = entry.refused_until(self.kind);
            !held.contains(key) && until.is_some_and(|until| until > now)
        });
        let explained: Vec<Crash> = others
            .flat_map(|(_, entry)| entry.crashes.iter().copied())
            .collect();
        let is_explained = |crash: &&Crash| explained.iter().any(|known| known.is_same(crash));
        refused.into_iter().find(|(key, _)| {
            let crashes = entries.get(key).map_or(&[][..], |entry| &entry.crashes);
            let own = crashes.iter().filter(|crash| !is_explained(crash));
            self.kind.count(own.map(|crash| crash.at)) >= self.kind.crashes_to_refuse()
        })
    }

    /// How long ago the refusal of a content ended, if nothing was learned of it since.
    pub fn on_trial_for(&self, content: Fingerprint, now: Instant) -> Option<Duration> {
        let entries = self.entries.borrow();
        let until = entries.get(&content)?.refused_until(self.kind)?;
        now.checked_duration_since(until)
    }

    /// Number of contents that are refused.
    pub fn count_refused(&self, now: Instant) -> usize {
        let entries = self.entries.borrow();
        let until = entries
            .values()
            .filter_map(|it| it.refused_until(self.kind));
        until.filter(|until| *until > now).count()
    }

    /// Number of contents held.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether no content is held.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    /// Merges rows that another box reported.
    pub fn merge(&self, rows: &[Row], now: Instant) -> Vec<Change> {
        rows.iter()
            .filter_map(|row| self.merge_row(row, now))
            .collect()
    }

    fn merge_row(&self, row: &Row, now: Instant) -> Option<Change> {
        // Ages that reach back before the start of this process's clock cannot be
        // expressed and are ignored: nothing else is known of that time either.
        let ago = |age: Duration| now.checked_sub(age);
        let kind = self.kind;
        self.change(row.content, now, |entry| {
            let cleared = row.cleared.and_then(ago).is_some_and(|at| entry.clear(at));
            let crashes = row.ends.iter().filter_map(|(server, age)| {
                let (server, at) = (*server, ago(*age)?);
                Some(Crash { server, at })
            });
            crashes.fold(cleared, |is_new, crash| entry.add(crash, kind) || is_new)
        })
    }

    /// The contents that changed after sequence number `position`, at most `most` of them,
    /// and the sequence number from which to continue. The first call passes 0.
    pub fn since(&self, position: u64, most: usize, scope: Scope, now: Instant) -> (Vec<Row>, u64) {
        let entries = self.entries.borrow();
        let order = self.order.borrow();
        let mut rows = Vec::new();
        for (changed, content) in order.range(position + 1..) {
            if rows.len() == most {
                return (rows, changed - 1);
            }
            let Some(entry) = entries.get(content) else {
                continue;
            };
            if scope == Scope::All || entry.crashes.len() > 1 || entry.cleared.is_some() {
                rows.push(row(*content, entry, now));
            }
        }
        (rows, self.changes.get())
    }

    /// Removes expired entries.
    pub fn remove_expired(&self, now: Instant) {
        let mut order = self.order.borrow_mut();
        self.entries.borrow_mut().retain(|_, entry| {
            let held = entry.kept_until(self.kind).is_some_and(|until| until > now);
            if !held {
                order.remove(&entry.changed);
            }
            held
        });
    }

    /// Changes the entry of a content. Returns whether that starts, extends or ends its
    /// refusal.
    fn change(
        &self,
        content: Fingerprint,
        now: Instant,
        change: impl FnOnce(&mut Entry) -> bool,
    ) -> Option<Change> {
        let mut entries = self.entries.borrow_mut();
        let fresh = !entries.contains_key(&content);
        let entry = entries.entry(content).or_default();
        let refused = entry.refused_until(self.kind);
        if !change(entry) {
            if fresh {
                entries.remove(&content);
            }
            return None;
        }
        let mut order = self.order.borrow_mut();
        order.remove(&entry.changed);
        self.changes.set(self.changes.get() + 1);
        entry.changed = self.changes.get();
        order.insert(entry.changed, content);
        let outcome = match (refused, entry.refused_until(self.kind)) {
            (Some(_), None) => Some(Change::Cleared(content)),
            (before, Some(until)) if before.is_none_or(|before| before < until) => {
                let left = until.saturating_duration_since(now);
                Some(Change::Refused(content, entry.crashes.len(), left))
            }
            _ => None,
        };
        if entries.len() > CONTENTS_MAX {
            evict_least(&mut entries, &mut order);
        }
        outcome
    }
}

fn row(content: Fingerprint, entry: &Entry, now: Instant) -> Row {
    let age = |at: Instant| now.saturating_duration_since(at);
    let crashes = entry
        .crashes
        .iter()
        .map(|crash| (crash.server, age(crash.at)));
    Row {
        content,
        ends: crashes.collect(),
        cleared: entry.cleared.map(age),
    }
}

/// Drops the content with the fewest crashes, of these the one that changed least
/// recently.
fn evict_least(entries: &mut HashMap<Fingerprint, Entry>, order: &mut BTreeMap<u64, Fingerprint>) {
    let least = entries
        .iter()
        .min_by_key(|(_, it)| (it.crashes.len(), it.changed));
    let least = least.map(|(content, entry)| (*content, entry.changed));
    if let Some((content, changed)) = least {
        entries.remove(&content);
        order.remove(&changed);
    }
}
