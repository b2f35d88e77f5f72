//! Detects servers that hold requests and answer none.
//!
//! A box that has one request at a server cannot tell whether the server stands still or
//! works on that request for long, and before it can, each other box sends one too. So
//! boxes report requests that wait for longer than such requests take to the hub of their
//! hall at once, and the hub tells them which servers stand still.
//!
//! Invariants:
//!
//! * The waits of a single box show nothing: its way to the server may be lost.
//! * Boxes may report over others, which sum up what they have to report.
//! * A server that has answered a box counts as silent from then on only.
//! * What boxes report expires, so that a server is tried again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;

/// Shortest wait that is reported: one that no request of a few ten ms takes, also not the
/// longest of a hundred.
const LIMIT_MIN: Duration = Duration::from_millis(200);
/// A wait is reported when it exceeds the time that requests take there by this factor.
const LIMIT_FACTOR: f64 = 5.0;
/// Fewest boxes whose waits show that a server stands still.
const BOXES_MIN: u32 = 2;
/// Age after which a report is ignored: several times the interval between reports.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Time for which a stall that was contradicted raises what is needed for the next one.
const DOUBT_TIME: Duration = Duration::from_secs(10);
/// How often waits are doubled at most that show a stall.
const DOUBTS_MAX: u32 = 4;
/// Most servers of which one box reports waits, and that are announced.
pub const SERVERS_MAX: usize = 64;

/// The wait from which on it is reported, at a server where requests usually take `usual`.
pub fn limit(usual: Duration) -> Duration {
    usual.mul_f64(LIMIT_FACTOR).max(LIMIT_MIN)
}

/// Requests of some boxes that have waited at a server for longer than the [`limit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait<S> {
    /// The server.
    pub server: S,
    /// Number of the boxes.
    pub boxes: u32,
    /// For how long two of the boxes, or the only one, had such requests, since the server's
    /// last answer.
    pub time: Duration,
    /// How long ago the last request was given up; `None` while one waits.
    pub ended: Option<Duration>,
    /// The limit.
    pub limit: Duration,
}

/// A server that has answered a box in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life<S> {
    /// The server.
    pub server: S,
    /// How long ago it did.
    pub age: Duration,
}

/// A server that stands still.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stall<S> {
    /// The server.
    pub server: S,
    /// For how long it has not answered, as far as the reports show.
    pub time: Duration,
}

/// A wait as it was reported.
#[derive(Debug, Clone, Copy)]
struct Report {
    boxes: u32,
    start: Instant,
    end: Option<Instant>,
    limit: Duration,
    /// When the report was received.
    at: Instant,
}

impl Report {
    fn new<S>(wait: &Wait<S>, now: Instant) -> Option<Self> {
        let end = wait.ended.map(|ended| now.checked_sub(ended));
        let end = match end {
            Some(end) => Some(end?),
            None => None,
        };
        Some(Self {
            boxes: wait.boxes,
            start: end.unwrap_or(now).checked_sub(wait.time)?,
            end,
            limit: wait.limit.max(LIMIT_MIN),
            at: now,
        })
    }

    /// When the wait began, after the server's last answer; `None` if it is shorter than
    /// the limit, doubled `doubts` times.
    fn start_after(&self, answered: Option<Instant>, doubts: u32, now: Instant) -> Option<Instant> {
        let start = answered.map_or(self.start, |at| at.max(self.start));
        let waited = self.end.unwrap_or(now).saturating_duration_since(start);
        let needed = self.limit.saturating_mul(2u32.pow(doubts));
        (waited >= needed).then_some(start)
    }
}

/// What is known of one server.
#[derive(Debug)]
struct Server<R> {
    reports: HashMap<R, Report>,
    answered: Option<Instant>,
    /// Since when the server is announced.
    announced: Option<Instant>,
    /// How often a stall was contradicted, and when last.
    doubts: u32,
    doubted: Option<Instant>,
}

impl<R> Default for Server<R> {
    fn default() -> Self {
        Self {
            reports: HashMap::new(),
            answered: None,
            announced: None,
            doubts: 0,
            doubted: None,
        }
    }
}

impl<R> Server<R> {
    /// For how long the server has not answered, if enough boxes have waited for as long as
    /// shows that it stands still.
    fn stalled_for(&self, now: Instant) -> Option<Duration> {
        let (boxes, start) = self.waits(self.doubts, now)?;
        (boxes >= BOXES_MIN).then(|| now.saturating_duration_since(start))
    }

    /// The number of boxes that have waited for longer than the limit, doubled `doubts`
    /// times, and since when [`BOXES_MIN`] of them have, or the only one.
    fn waits(&self, doubts: u32, now: Instant) -> Option<(u32, Instant)> {
        let reports = self.reports.values();
        let waits = reports.filter_map(|it| {
            let start = it.start_after(self.answered, doubts, now)?;
            Some((start, it.boxes))
        });
        let mut waits: Vec<(Instant, u32)> = waits.collect();
        waits.sort();
        let mut boxes = 0u32;
        let mut since = None;
        for (start, count) in waits {
            if boxes < BOXES_MIN {
                since = Some(start);
            }
            boxes = boxes.saturating_add(count);
        }
        since.map(|since| (boxes, since))
    }

    /// All waits in one, for a box that this one reports to.
    fn summary<S>(&self, server: S, now: Instant) -> Option<Wait<S>> {
        let (boxes, start) = self.waits(0, now)?;
        let ends = self.reports.values().map(|it| it.end);
        // The latest; a wait that goes on is later than all.
        let end = ends.max_by_key(|end| (end.is_none(), *end)).flatten();
        let limits = self.reports.values().map(|it| it.limit);
        Some(Wait {
            server,
            boxes,
            time: end.unwrap_or(now).saturating_duration_since(start),
            ended: end.map(|end| now.saturating_duration_since(end)),
            limit: limits.max().unwrap_or(LIMIT_MIN),
        })
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.reports.is_empty()
            && self.answered.is_none_or(|at| age(at) > DOUBT_TIME)
            && self.doubted.is_none_or(|at| age(at) > DOUBT_TIME)
    }
}

/// What the boxes of a hall, each an `R`, report of their servers.
#[derive(Debug)]
pub struct Detector<S, R>(RefCell<HashMap<S, Server<R>>>);

impl<S, R> Default for Detector<S, R> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<S: Copy + Eq + Hash + Ord, R: Clone + Eq + Hash> Detector<S, R> {
    /// Records all waits of a box, in place of what it reported before.
    pub fn report(&self, reporter: &R, waits: &[Wait<S>], now: Instant) {
        let mut servers = self.0.borrow_mut();
        for server in servers.values_mut() {
            server.reports.remove(reporter);
        }
        for wait in waits.iter().take(SERVERS_MAX) {
            if let Some(report) = Report::new(wait, now) {
                let server = servers.entry(wait.server).or_default();
                server.reports.insert(reporter.clone(), report);
            }
        }
    }

    /// Records that servers have answered a box.
    pub fn answered(&self, lives: &[Life<S>], now: Instant) {
        let mut servers = self.0.borrow_mut();
        for life in lives.iter().take(SERVERS_MAX) {
            let known = servers.get_mut(&life.server);
            let Some((server, at)) = known.zip(now.checked_sub(life.age)) else {
                continue;
            };
            server.answered = server.answered.max(Some(at));
            // It had answered before it was announced, or did soon after: that was an error,
            // or a stall that was over before it was known.
            let is_soon = |since: &mut Instant| at < *since + LIMIT_MIN;
            if server.announced.take_if(is_soon).is_some() {
                server.doubts = (server.doubts + 1).min(DOUBTS_MAX);
                server.doubted = Some(now);
            }
        }
    }

    /// The servers that stand still, those for the longest time first, given when each last
    /// answered a request.
    pub fn stalls(
        &self,
        last_answer: impl Fn(&S) -> Option<Instant>,
        now: Instant,
    ) -> Vec<Stall<S>> {
        let mut servers = self.0.borrow_mut();
        let age = |at: Instant| now.saturating_duration_since(at);
        let mut stalls = Vec::new();
        for (key, server) in servers.iter_mut() {
            server.reports.retain(|_, it| age(it.at) < REPORT_AGE_MAX);
            if server.doubted.is_some_and(|at| age(at) > DOUBT_TIME) {
                server.doubts = 0;
            }
            server.answered = server.answered.max(last_answer(key));
            match server.stalled_for(now) {
                Some(time) => {
                    server.announced = server.announced.or(Some(now));
                    stalls.push(Stall { server: *key, time });
                }
                None => server.announced = None,
            }
        }
        servers.retain(|_, server| !server.is_forgotten(now));
        stalls.sort_by_key(|it| (std::cmp::Reverse(it.time), it.server));
        stalls.truncate(SERVERS_MAX);
        stalls
    }

    /// The waits of all boxes, one for each server.
    pub fn waits(&self, now: Instant) -> Vec<Wait<S>> {
        let servers = self.0.borrow();
        let waits = servers.iter();
        let waits = waits.filter_map(|(server, known)| known.summary(*server, now));
        let mut waits: Vec<Wait<S>> = waits.collect();
        waits.sort_by_key(|it| (std::cmp::Reverse(it.time), it.server));
        waits.truncate(SERVERS_MAX);
        waits
    }

    /// Whether enough boxes have waited for the same server that a stall may show without a
    /// further report.
    pub fn is_shared(&self) -> bool {
        let servers = self.0.borrow();
        servers.values().any(|server| {
            let boxes = server.reports.values().map(|it| it.boxes);
            boxes.fold(0, u32::saturating_add) >= BOXES_MIN
        })
    }
}
