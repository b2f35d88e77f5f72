//! Statistics of the answers of both releases during a rollout, over all boxes.
//!
//! A box of a large fleet sees only a few answers of a new release a second, so boxes
//! report their counts to each other. Counts decay, as a release may become faulty later.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::era::{Era, Revision};
use tidepier_ids as ids;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Key;
use crate::revision_serde;
use crate::traffic::log::Peer;

/// Half-life of the counts.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Age after which the report of another box is ignored.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);
/// An answer is slow if it takes more than this many times the usual time of its route, ...
const SLOW_FACTOR: f64 = 3.5;
/// ... plus this.
const SLOW_EXTRA: Duration = Duration::from_millis(150);
/// Number of answers of a route from which its usual time is known.
const USUAL_ANSWERS_MIN: f64 = 4.0;
/// Weight of the newest answer in the usual time of a route.
const USUAL_WEIGHT: f64 = 0.05;
/// Maximum number of routes with a usual time. Beyond it the box drops all of them and
/// learns them again.
const ROUTES_MAX: usize = 1_024;

/// How a request to a server ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// With an answer.
    Answered {
        /// Time to the beginning of the answer, without prefill.
        first: Duration,
        /// Time to the end of the answer, without prefill.
        whole: Duration,
        /// Whether the server was cold, so that its times are no evidence.
        cold: bool,
    },
    /// With a failure of the server.
    Failed,
    /// Without an answer in time.
    TimedOut,
}

/// Decayed counts of one release on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f32, f32, f32, u32, u32)", into = "(f32, f32, f32, u32, u32)")]
pub struct Count {
    /// Number of answers.
    pub answers: f32,
    /// Number of failures among them.
    pub failed: f32,
    /// Number of slow ones among them.
    pub slow: f32,
    /// The servers that gave them, as a set of 32 hash bits.
    pub tried: u32,
    /// The servers that gave failures or slow answers, as the same kind of set.
    pub bad: u32,
}

impl From<(f32, f32, f32, u32, u32)> for Count {
    fn from((answers, failed, slow, tried, bad): (f32, f32, f32, u32, u32)) -> Self {
        Self {
            answers,
            failed,
            slow,
            tried,
            bad,
        }
    }
}

impl From<Count> for (f32, f32, f32, u32, u32) {
    fn from(count: Count) -> Self {
        let Count {
            answers,
            failed,
            slow,
            tried,
            bad,
        } = count;
        (answers, failed, slow, tried, bad)
    }
}

impl Count {
    /// Adds the counts of another box.
    pub fn add(&mut self, other: &Count) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.slow += other.slow;
        self.tried |= other.tried;
        self.bad |= other.bad;
    }

    fn decayed(&self, part: f32) -> Self {
        Self {
            answers: self.answers * part,
            failed: self.failed * part,
            slow: self.slow * part,
            ..*self
        }
    }
}

/// What a count refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Subject {
    /// Revision of the order.
    pub order: Revision,
    /// Hash of the route's name.
    pub route: u32,
    /// Whether the answers are of the new release.
    pub target: bool,
}

/// A subject in its wire format.
#[derive(Serialize, Deserialize)]
struct Wire {
    order: u64,
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    era: u64,
    route: u32,
    target: bool,
}

impl From<Wire> for Subject {
    fn from(wire: Wire) -> Self {
        Self {
            order: Revision::new(Era(wire.era), wire.order),
            route: wire.route,
            target: wire.target,
        }
    }
}

impl From<Subject> for Wire {
    fn from(subject: Subject) -> Self {
        Self {
            order: subject.order.number(),
            era: subject.order.era().0,
            route: subject.route,
            target: subject.target,
        }
    }
}

/// One count, as boxes report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// What the count refers to.
    pub subject: Subject,
    /// The count.
    pub count: Count,
}

/// The usual times of a route, as means of the logarithms of ms, so that one long answer
/// has little influence.
#[derive(Debug, Default, Clone, Copy)]
struct Usual {
    first: f64,
    whole: f64,
    count: f64,
}

impl Usual {
    fn add(&mut self, first: Duration, whole: Duration) {
        self.count += 1.0;
        let part = (1.0 / self.count).max(USUAL_WEIGHT);
        self.first += part * (log_ms(first) - self.first);
        self.whole += part * (log_ms(whole) - self.whole);
    }

    fn is_slow(&self, first: Duration, whole: Duration) -> bool {
        let exceeds = |time: Duration, usual: f64| {
            let usual = Duration::from_secs_f64(usual.exp() / 1e3);
            time > usual.mul_f64(SLOW_FACTOR) + SLOW_EXTRA
        };
        self.count >= USUAL_ANSWERS_MIN
            && (exceeds(first, self.first) || exceeds(whole, self.whole))
    }
}

fn log_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e3).max(1.0).ln()
}

/// The counts of this box, and those that other boxes reported.
#[derive(Default)]
pub struct Evidence {
    own: RefCell<BTreeMap<Subject, (Count, Instant)>>,
    usual: RefCell<HashMap<(ids::Service, u32), Usual>>,
    reports: RefCell<HashMap<Peer, (Vec<Row>, Instant)>>,
}

/// How one request to a server ended.
pub struct Answer<'a> {
    /// Revision of the valid order for the service, if there is one, and whether the server
    /// runs the new release.
    pub order: Option<(Revision, bool)>,
    /// The service.
    pub service: &'a ids::Service,
    /// The route.
    pub route: &'a str,
    /// The server.
    pub server: Key,
    /// How the request ended.
    pub outcome: Outcome,
}

impl Evidence {
    /// Counts an answer.
    pub fn record_answer(&self, answer: &Answer<'_>, now: Instant) {
        let route = xxh3_64(answer.route.as_bytes()) as u32;
        let (failed, slow) = match answer.outcome {
            Outcome::Failed => (1.0, 0.0),
            Outcome::TimedOut => (0.0, 1.0),
            Outcome::Answered { cold: true, .. } => (0.0, 0.0),
            Outcome::Answered { first, whole, .. } => {
                let is_target = answer.order.is_some_and(|(_, target)| target);
                let slow = self.is_slow_answer(answer.service, route, is_target, first, whole);
                (0.0, if slow { 1.0 } else { 0.0 })
            }
        };
        let Some((order, target)) = answer.order else {
            return;
        };
        let bit = 1 << (xxh3_64(&answer.server.bytes()) % 32);
        let subject = Subject {
            order,
            route,
            target,
        };
        let one = Count {
            answers: 1.0,
            failed,
            slow,
            tried: bit,
            bad: if failed + slow > 0.0 { bit } else { 0 },
        };
        let mut own = self.own.borrow_mut();
        let (count, at) = own.entry(subject).or_insert((Count::default(), now));
        *count = count.decayed(weight(now.saturating_duration_since(*at)));
        count.add(&one);
        *at = now;
    }

    /// Returns whether an answer was slow for its route. Only answers of the other releases
    /// update the usual times.
    fn is_slow_answer(
        &self,
        service: &ids::Service,
        route: u32,
        is_target: bool,
        first: Duration,
        whole: Duration,
    ) -> bool {
        let mut all = self.usual.borrow_mut();
        if all.len() >= ROUTES_MAX {
            all.clear();
        }
        let usual = all.entry((service.clone(), route)).or_default();
        let slow = usual.is_slow(first, whole);
        if !is_target {
            usual.add(first, whole);
        }
        slow
    }

    /// Stores the report of another box in place of its last one.
    pub fn report(&self, from: Peer, rows: Vec<Row>, now: Instant) {
        let mut reports = self.reports.borrow_mut();
        reports.retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_AGE_MAX);
        if rows.is_empty() {
            reports.remove(&from);
        } else {
            reports.insert(from, (rows, now));
        }
    }

    /// Moves the counts of an order to the revision under which it was rewritten.
    pub fn move_counts(&self, from: Revision, to: Revision) {
        let mut own = self.own.borrow_mut();
        let moved = own.extract_if(.., |subject, _| subject.order == from);
        let moved: Vec<_> = moved.collect();
        let moved = moved.into_iter();
        own.extend(moved.map(|(subject, seen)| {
            (
                Subject {
                    order: to,
                    ..subject
                },
                seen,
            )
        }));
    }

    /// Drops the counts of all orders but these.
    pub fn retain_orders(&self, orders: &[Revision]) {
        let mut own = self.own.borrow_mut();
        own.retain(|subject, _| orders.contains(&subject.order));
    }

    /// Counts of this box and of its members.
    pub fn of_hall(&self, now: Instant) -> Vec<Row> {
        self.sum(now, Peer::is_member)
    }

    /// Counts of all boxes that this one has reports of.
    pub fn all(&self, now: Instant) -> Vec<Row> {
        self.sum(now, |_| true)
    }

    fn sum(&self, now: Instant, of: impl Fn(&Peer) -> bool) -> Vec<Row> {
        let mut sum: BTreeMap<Subject, Count> = BTreeMap::new();
        for (subject, (count, at)) in &*self.own.borrow() {
            let age = now.saturating_duration_since(*at);
            sum.entry(*subject)
                .or_default()
                .add(&count.decayed(weight(age)));
        }
        for (peer, (rows, at)) in &*self.reports.borrow() {
            let age = now.saturating_duration_since(*at);
            if age >= REPORT_AGE_MAX || !of(peer) {
                continue;
            }
            for row in rows {
                let count = row.count.decayed(weight(age));
                sum.entry(row.subject).or_default().add(&count);
            }
        }
        let rows = sum.into_iter();
        rows.map(|(subject, count)| Row { subject, count })
            .collect()
    }
}

/// Weight of counts of this age.
fn weight(age: Duration) -> f32 {
    0.5f32.powf(age.as_secs_f32() / HALF_LIFE.as_secs_f32())
}
