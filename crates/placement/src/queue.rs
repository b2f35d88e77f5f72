//! The queue of requests that wait for an engine of a pool, served by weighted
//! fair queueing.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_config::document::Priority;
use tidepier_ids as ids;

/// The weight of a priority, relative to the priority below it.
const PRIORITY_STEP: f64 = 4.0;

/// Time that a lane without open or waiting requests is kept after its last
/// request.
const LANE_RETENTION: Duration = Duration::from_secs(10);

/// The requests of one account at one priority, which wait in a queue of their
/// own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Lane {
    pub(crate) priority: Priority,
    pub(crate) account: ids::Account,
}

#[derive(Debug)]
struct State<T> {
    waiting: VecDeque<T>,
    open: u32,
    share: u32,
    /// When a request or a grant of this lane was last recorded.
    last_used: Instant,
}

/// The queues of a pool.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    lanes: BTreeMap<Lane, State<T>>,
    waiting: usize,
}

impl<T> Queue<T> {
    pub(crate) fn new() -> Self {
        Self {
            lanes: BTreeMap::new(),
            waiting: 0,
        }
    }

    /// Waiting requests of all lanes.
    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    /// Waiting requests of `lane`.
    pub(crate) fn waiting(&self, lane: &Lane) -> usize {
        self.lanes.get(lane).map_or(0, |state| state.waiting.len())
    }

    /// The fraction of the pool that `lane` gets while all known lanes compete
    /// for it.
    pub(crate) fn portion(&self, lane: &Lane, share: u32) -> f64 {
        let mine = weight(lane.priority, share);
        let rest = self.lanes.iter().filter(|(other, _)| *other != lane);
        let rest: f64 = rest
            .map(|(other, state)| weight(other.priority, state.share))
            .sum();
        mine / (mine + rest)
    }

    /// Open grants of `lane`.
    pub(crate) fn open_grants(&self, lane: &Lane) -> u32 {
        self.lanes.get(lane).map_or(0, |state| state.open)
    }

    pub(crate) fn push(&mut self, lane: &Lane, share: u32, now: Instant, item: T) {
        self.state_mut(lane, share, now).waiting.push_back(item);
        self.waiting += 1;
    }

    /// Puts an item that [`Self::pop`] has just returned back at the front.
    pub(crate) fn push_front(&mut self, lane: &Lane, share: u32, now: Instant, item: T) {
        self.state_mut(lane, share, now).waiting.push_front(item);
        self.waiting += 1;
    }

    /// Counts a grant of `lane` as open.
    pub(crate) fn record_grant(&mut self, lane: &Lane, share: u32, now: Instant) {
        self.state_mut(lane, share, now).open += 1;
    }

    /// Counts a grant of `lane` as ended.
    pub(crate) fn record_end(&mut self, lane: &Lane) {
        let Some(state) = self.lanes.get_mut(lane) else {
            return;
        };
        state.open = state.open.saturating_sub(1);
    }

    /// Drops lanes that have been unused for [`LANE_RETENTION`]. Until then they
    /// count when portions are computed, so that an account that sends requests
    /// only now and then finds room at once.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.lanes.retain(|_, state| {
            let used = state.open > 0 || !state.waiting.is_empty();
            used || now.saturating_duration_since(state.last_used) < LANE_RETENTION
        });
    }

    /// Removes and returns the next request: one of the lane with the fewest open
    /// grants relative to its weight.
    pub(crate) fn pop(&mut self) -> Option<T> {
        let full = self
            .lanes
            .iter_mut()
            .filter(|(_, state)| !state.waiting.is_empty());
        let next = full.min_by(|(a, left), (b, right)| {
            let left = f64::from(left.open + 1) / weight(a.priority, left.share);
            let right = f64::from(right.open + 1) / weight(b.priority, right.share);
            left.total_cmp(&right)
        });
        let item = next?.1.waiting.pop_front();
        self.waiting -= usize::from(item.is_some());
        item
    }

    /// Removes and returns every waiting request for which `is_removed` is true.
    pub(crate) fn remove(&mut self, is_removed: impl Fn(&T) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        for state in self.lanes.values_mut() {
            let (gone, stay): (Vec<_>, Vec<_>) = state.waiting.drain(..).partition(&is_removed);
            state.waiting = stay.into();
            out.extend(gone);
        }
        self.waiting -= out.len();
        out
    }

    fn state_mut(&mut self, lane: &Lane, share: u32, now: Instant) -> &mut State<T> {
        let state = self.lanes.entry(lane.clone()).or_insert_with(|| State {
            waiting: VecDeque::new(),
            open: 0,
            share,
            last_used: now,
        });
        state.share = share;
        state.last_used = now;
        state
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
