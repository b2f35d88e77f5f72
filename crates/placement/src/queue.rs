//! Requests that wait before a pool, served by weighted fair share.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_config::document::Priority;
use tidepier_ids as ids;

/// How much sooner a priority is served than the one below it.
const PRIORITY_STEP: f64 = 4.0;

/// Time that a lane is remembered after it last asked.
const REMEMBERED: Duration = Duration::from_secs(10);

/// Accounts of one priority share a queue each.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Lane {
    pub(crate) priority: Priority,
    pub(crate) account: ids::Account,
}

#[derive(Debug)]
struct Line<T> {
    waiting: VecDeque<T>,
    open: u32,
    share: u32,
    /// When it last asked for anything.
    last: Instant,
}

/// The queues of a pool.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    lines: BTreeMap<Lane, Line<T>>,
    waiting: usize,
}

impl<T> Queue<T> {
    pub(crate) fn new() -> Self {
        Self {
            lines: BTreeMap::new(),
            waiting: 0,
        }
    }

    /// Requests that wait, in all.
    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    /// Requests of `lane` that wait.
    pub(crate) fn waiting(&self, lane: &Lane) -> usize {
        self.lines.get(lane).map_or(0, |line| line.waiting.len())
    }

    /// The part of the pool that `lane` gets while the present lanes compete.
    pub(crate) fn portion(&self, lane: &Lane, share: u32) -> f64 {
        let mine = weight(lane.priority, share);
        let rest = self.lines.iter().filter(|(other, _)| *other != lane);
        let rest: f64 = rest
            .map(|(other, line)| weight(other.priority, line.share))
            .sum();
        mine / (mine + rest)
    }

    /// Grants of `lane` that are open.
    pub(crate) fn opened(&self, lane: &Lane) -> u32 {
        self.lines.get(lane).map_or(0, |line| line.open)
    }

    pub(crate) fn push(&mut self, lane: &Lane, share: u32, now: Instant, item: T) {
        self.line(lane, share, now).waiting.push_back(item);
        self.waiting += 1;
    }

    /// Puts back what was just taken.
    pub(crate) fn push_front(&mut self, lane: &Lane, share: u32, now: Instant, item: T) {
        self.line(lane, share, now).waiting.push_front(item);
        self.waiting += 1;
    }

    /// Counts a grant of `lane` as open.
    pub(crate) fn open(&mut self, lane: &Lane, share: u32, now: Instant) {
        self.line(lane, share, now).open += 1;
    }

    /// Counts a grant of `lane` as ended.
    pub(crate) fn close(&mut self, lane: &Lane) {
        let Some(line) = self.lines.get_mut(lane) else {
            return;
        };
        line.open = line.open.saturating_sub(1);
    }

    /// Forgets lanes that have asked for nothing for a while. Until then they
    /// count when shares are worked out, so that a quiet account finds room.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.lines.retain(|_, line| {
            let used = line.open > 0 || !line.waiting.is_empty();
            used || now.saturating_duration_since(line.last) < REMEMBERED
        });
    }

    /// Takes the next request: of the lane with the fewest open grants for its
    /// weight.
    pub(crate) fn pop(&mut self) -> Option<T> {
        let full = self
            .lines
            .iter_mut()
            .filter(|(_, line)| !line.waiting.is_empty());
        let next = full.min_by(|(a, left), (b, right)| {
            let left = f64::from(left.open + 1) / weight(a.priority, left.share);
            let right = f64::from(right.open + 1) / weight(b.priority, right.share);
            left.total_cmp(&right)
        });
        let item = next?.1.waiting.pop_front();
        self.waiting -= usize::from(item.is_some());
        item
    }

    /// Takes out every waiting request that `leaves` holds for.
    pub(crate) fn remove(&mut self, leaves: impl Fn(&T) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        for line in self.lines.values_mut() {
            let (gone, stay): (Vec<_>, Vec<_>) = line.waiting.drain(..).partition(&leaves);
            line.waiting = stay.into();
            out.extend(gone);
        }
        self.waiting -= out.len();
        out
    }

    fn line(&mut self, lane: &Lane, share: u32, now: Instant) -> &mut Line<T> {
        let line = self.lines.entry(lane.clone()).or_insert_with(|| Line {
            waiting: VecDeque::new(),
            open: 0,
            share,
            last: now,
        });
        line.share = share;
        line.last = now;
        line
    }
}

fn weight(priority: Priority, share: u32) -> f64 {
    let step = match priority {
        Priority::Interactive => PRIORITY_STEP * PRIORITY_STEP,
        Priority::Normal => PRIORITY_STEP,
        Priority::Batch => 1.0,
    };
    step * f64::from(share.max(1))
}
