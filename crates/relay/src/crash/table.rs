//! Which contents servers ended under, and which of them are therefore refused.
//!
//! Boxes tell each other what they saw; what they know is the union of it, in
//! whatever order it comes and however often. A server's end under many requests
//! blames none of them alone: a content is refused once three servers ended under it,
//! which a bystander would have to meet by chance.
//!
//! Invariants:
//!
//! * A content is refused only while three ends or more are known, of which none is
//!   older than a whole answer to it, or than the operator's word that it may pass.
//! * What is held is bounded, whatever is asked: [`CONTENTS_MAX`] contents, each with
//!   [`ENDS_MAX`] ends.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;

use crate::content::Fingerprint;
use crate::fleet::Key;

/// Ends of servers under a content from which it is refused. With two, a bystander
/// that was sent again and met a second crash would be.
pub const ENDS_TO_REFUSE: usize = 3;
/// Contents held, the worst case of which is 1 MB: 300 servers that end at once, with
/// 14 requests each.
pub const CONTENTS_MAX: usize = 4_096;
/// Ends held of one content: each one above [`ENDS_TO_REFUSE`] doubles the time for
/// which it is refused, up to [`REFUSED_MAX`].
pub const ENDS_MAX: usize = 8;
/// How long a content is refused after the last of three ends. A request that nobody
/// mends costs a server each such time, then each twice as long; one that met three
/// ends by chance passes again after it.
pub const REFUSED_MIN: Duration = Duration::from_secs(300);
/// The longest such time.
pub const REFUSED_MAX: Duration = Duration::from_secs(3_600);
/// How long ends are remembered of a content that is not refused, and a whole answer
/// or the operator's word: ends further apart are chance.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Two ends of one server within this time are one: boxes see it at moments that
/// differ by the time of a message, and a server that ended is not back so soon.
const SAME_END: Duration = Duration::from_millis(1_500);

/// A server's end under a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct End {
    server: Key,
    at: Instant,
}

/// What is known of one content.
#[derive(Debug, Default)]
struct Entry {
    /// In the order of their times.
    ends: Vec<End>,
    /// Until when all that was held against it is void.
    cleared: Option<Instant>,
    /// When it last changed, in the count of all changes.
    changed: u64,
}

impl Entry {
    /// Adds an end; whether it was news.
    fn add(&mut self, end: End) -> bool {
        let void = self.cleared.is_some_and(|cleared| end.at <= cleared);
        let known = self.ends.iter().any(|known| {
            let apart = known.at.max(end.at) - known.at.min(end.at);
            known.server == end.server && apart < SAME_END
        });
        let full = self.ends.len() == ENDS_MAX;
        let oldest = full && self.ends.first().is_some_and(|first| end.at <= first.at);
        if void || known || oldest {
            return false;
        }
        if full {
            self.ends.remove(0);
        }
        let at = self.ends.partition_point(|known| known.at <= end.at);
        self.ends.insert(at, end);
        true
    }

    /// Voids what was held against it up to a moment; whether that was news.
    fn clear(&mut self, at: Instant) -> bool {
        let news = self.cleared.is_none_or(|cleared| cleared + SAME_END < at);
        if news {
            self.cleared = Some(at);
            self.ends.retain(|end| end.at > at);
        }
        news
    }

    /// Until when it is refused.
    fn refused_until(&self) -> Option<Instant> {
        let beyond = self.ends.len().checked_sub(ENDS_TO_REFUSE)?;
        let time = REFUSED_MIN * 2u32.pow(beyond as u32);
        Some(self.ends.last()?.at + time.min(REFUSED_MAX))
    }

    /// Until when it is held: a content that was refused stays known for as long
    /// again, so that one end more is enough.
    fn held_until(&self) -> Option<Instant> {
        let last = self.ends.last().map(|end| end.at).max(self.cleared)?;
        let remembered = last + RETENTION;
        let until = self.refused_until().map(|until| until + (until - last));
        Some(until.map_or(remembered, |until| until.max(remembered)))
    }
}

/// What boxes tell each other of one content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RowParts", into = "RowParts")]
pub struct Row {
    /// The content.
    pub content: Fingerprint,
    /// Servers that ended under it, and how long ago.
    pub ends: Vec<(Key, Duration)>,
    /// How long ago what came before became void.
    pub cleared: Option<Duration>,
}

/// A row as it is sent: ages in ms.
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

/// Which contents are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All, to one that puts together what several boxes saw.
    All,
    /// Those that two servers ended under, and those that became void.
    Repeated,
}

/// A content whose standing changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is refused from now on, for so long; so many servers ended under it.
    Refused(Fingerprint, usize, Duration),
    /// It is no longer refused.
    Cleared(Fingerprint),
}

/// What one box knows.
#[derive(Debug, Default)]
pub struct Table {
    entries: RefCell<HashMap<Fingerprint, Entry>>,
    /// Contents by when they last changed.
    order: RefCell<BTreeMap<u64, Fingerprint>>,
    changes: Cell<u64>,
}

impl Table {
    /// Records that a server ended under a content at `at`.
    pub fn ended(&self, content: Fingerprint, server: Key, at: Instant) -> Option<Change> {
        self.change(content, at, |entry| entry.add(End { server, at }))
    }

    /// Voids what was held against a content up to `at`: it was answered whole, or
    /// the operator lets it pass.
    pub fn clear(&self, content: Fingerprint, at: Instant) -> Option<Change> {
        self.change(content, at, |entry| entry.clear(at))
    }

    /// The same if anything is held against it.
    pub fn answered(&self, content: Fingerprint, at: Instant) -> Option<Change> {
        let held = self.entries.borrow().get(&content).map(|it| it.ends.len());
        held.filter(|ends| *ends > 0)?;
        self.clear(content, at)
    }

    /// How much longer a content is refused; `None`: it is not.
    pub fn refused(&self, content: Fingerprint, now: Instant) -> Option<Duration> {
        let entries = self.entries.borrow();
        let until = entries.get(&content)?.refused_until()?;
        until
            .checked_duration_since(now)
            .filter(|left| !left.is_zero())
    }

    /// How many contents are refused.
    pub fn count_refused(&self, now: Instant) -> usize {
        let entries = self.entries.borrow();
        let until = entries.values().filter_map(Entry::refused_until);
        until.filter(|until| *until > now).count()
    }

    /// Contents held.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    /// Takes over what another box told.
    pub fn take(&self, rows: &[Row], now: Instant) -> Vec<Change> {
        rows.iter()
            .filter_map(|row| self.take_row(row, now))
            .collect()
    }

    fn take_row(&self, row: &Row, now: Instant) -> Option<Change> {
        // Of what is older than this process's clock nothing is known anyway.
        let ago = |age: Duration| now.checked_sub(age);
        self.change(row.content, now, |entry| {
            let cleared = row.cleared.and_then(ago).is_some_and(|at| entry.clear(at));
            let ends = row.ends.iter().filter_map(|(server, age)| {
                let (server, at) = (*server, ago(*age)?);
                Some(End { server, at })
            });
            ends.fold(cleared, |news, end| entry.add(end) || news)
        })
    }

    /// What changed after a place, at most so many rows, and the place after them.
    /// The place 0 is before all.
    pub fn since(&self, place: u64, most: usize, told: Scope, now: Instant) -> (Vec<Row>, u64) {
        let entries = self.entries.borrow();
        let order = self.order.borrow();
        let mut rows = Vec::new();
        for (changed, content) in order.range(place + 1..) {
            if rows.len() == most {
                return (rows, changed - 1);
            }
            let Some(entry) = entries.get(content) else {
                continue;
            };
            if told == Scope::All || entry.ends.len() > 1 || entry.cleared.is_some() {
                rows.push(row(*content, entry, now));
            }
        }
        (rows, self.changes.get())
    }

    /// Forgets what is no longer needed.
    pub fn forget(&self, now: Instant) {
        let mut order = self.order.borrow_mut();
        self.entries.borrow_mut().retain(|_, entry| {
            let held = entry.held_until().is_some_and(|until| until > now);
            if !held {
                order.remove(&entry.changed);
            }
            held
        });
    }

    /// Changes what is known of a content; tells if its standing changed.
    fn change(
        &self,
        content: Fingerprint,
        now: Instant,
        change: impl FnOnce(&mut Entry) -> bool,
    ) -> Option<Change> {
        let mut entries = self.entries.borrow_mut();
        let fresh = !entries.contains_key(&content);
        let entry = entries.entry(content).or_default();
        let refused = entry.refused_until();
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
        let standing = match (refused, entry.refused_until()) {
            (Some(_), None) => Some(Change::Cleared(content)),
            (before, Some(until)) if before.is_none_or(|before| before < until) => {
                let left = until.saturating_duration_since(now);
                Some(Change::Refused(content, entry.ends.len(), left))
            }
            _ => None,
        };
        if entries.len() > CONTENTS_MAX {
            drop_least(&mut entries, &mut order);
        }
        standing
    }
}

fn row(content: Fingerprint, entry: &Entry, now: Instant) -> Row {
    let age = |at: Instant| now.saturating_duration_since(at);
    let ends = entry.ends.iter().map(|end| (end.server, age(end.at)));
    Row {
        content,
        ends: ends.collect(),
        cleared: entry.cleared.map(age),
    }
}

/// Drops the content under which the fewest servers ended, of these the one that
/// changed first.
fn drop_least(entries: &mut HashMap<Fingerprint, Entry>, order: &mut BTreeMap<u64, Fingerprint>) {
    let least = entries
        .iter()
        .min_by_key(|(_, it)| (it.ends.len(), it.changed));
    let least = least.map(|(content, entry)| (*content, entry.changed));
    if let Some((content, changed)) = least {
        entries.remove(&content);
        order.remove(&changed);
    }
}
