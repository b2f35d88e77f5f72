//! What answers of two releases showed while an order holds, over all boxes.
//!
//! A box of a large fleet sees a few answers of a new release a second, so boxes tell
//! each other what they counted. Older answers fade, as a release may turn bad later.

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

/// Time in which what was seen counts half.
const HALF_TIME: Duration = Duration::from_secs(5);
/// Age after which the report of another box no longer counts.
const REPORT_AGE: Duration = Duration::from_millis(1_500);
/// An answer is slow that takes so many times the usual time of its route, ...
const SLOW_FACTOR: f64 = 3.5;
/// ... and so much more than that.
const SLOW_EXTRA: Duration = Duration::from_millis(150);
/// Answers of a route from which its usual time is known.
const USUAL_COUNT: f64 = 4.0;
/// The weight of the newest answer in a route's usual time.
const USUAL_PART: f64 = 0.05;
/// Routes whose usual times are remembered; with more, the box forgets all and learns
/// anew.
const ROUTES_MAX: usize = 1_024;

/// How a request ended at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// With an answer.
    Answered {
        /// Time to its beginning, without that of reading the prompt.
        first: Duration,
        /// Time to its end, without that of reading the prompt.
        whole: Duration,
        /// Whether the server was cold: its times say nothing.
        cold: bool,
    },
    /// With a failure of the server's.
    Failed,
    /// With no answer in time.
    Late,
}

/// What was counted of one release on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f32, f32, f32, u32, u32)", into = "(f32, f32, f32, u32, u32)")]
pub struct Count {
    /// Answers.
    pub answers: f32,
    /// Failures among them.
    pub failed: f32,
    /// Slow ones among them.
    pub slow: f32,
    /// The servers that gave them, each by one of 32 bits.
    pub tried: u32,
    /// Those that gave failures or slow ones.
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
    /// Adds what was counted elsewhere.
    pub fn add(&mut self, other: &Count) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.slow += other.slow;
        self.tried |= other.tried;
        self.bad |= other.bad;
    }

    fn faded(&self, part: f32) -> Self {
        Self {
            answers: self.answers * part,
            failed: self.failed * part,
            slow: self.slow * part,
            ..*self
        }
    }
}

/// Whose answers they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "Told", into = "Told")]
pub struct Subject {
    /// Revision of the order.
    pub order: Revision,
    /// Stands for the route.
    pub route: u32,
    /// Whether they are of the new release.
    pub target: bool,
}

/// A subject as messages carry it.
#[derive(Serialize, Deserialize)]
struct Told {
    order: u64,
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    era: u64,
    route: u32,
    target: bool,
}

impl From<Told> for Subject {
    fn from(told: Told) -> Self {
        Self {
            order: Revision::new(Era(told.era), told.order),
            route: told.route,
            target: told.target,
        }
    }
}

impl From<Subject> for Told {
    fn from(subject: Subject) -> Self {
        Self {
            order: subject.order.number(),
            era: subject.order.era().0,
            route: subject.route,
            target: subject.target,
        }
    }
}

/// What one side tells another.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Whose answers.
    pub subject: Subject,
    /// What was counted.
    pub count: Count,
}

/// The usual times of a route, as means of logarithms of ms: one long answer is no
/// slowness.
#[derive(Debug, Default, Clone, Copy)]
struct Usual {
    first: f64,
    whole: f64,
    count: f64,
}

impl Usual {
    fn add(&mut self, first: Duration, whole: Duration) {
        self.count += 1.0;
        let part = (1.0 / self.count).max(USUAL_PART);
        self.first += part * (log_ms(first) - self.first);
        self.whole += part * (log_ms(whole) - self.whole);
    }

    fn is_slow(&self, first: Duration, whole: Duration) -> bool {
        let exceeds = |time: Duration, usual: f64| {
            let usual = Duration::from_secs_f64(usual.exp() / 1e3);
            time > usual.mul_f64(SLOW_FACTOR) + SLOW_EXTRA
        };
        self.count >= USUAL_COUNT && (exceeds(first, self.first) || exceeds(whole, self.whole))
    }
}

fn log_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e3).max(1.0).ln()
}

/// What this box saw, and what others told.
#[derive(Default)]
pub struct Evidence {
    own: RefCell<BTreeMap<Subject, (Count, Instant)>>,
    usual: RefCell<HashMap<(ids::Service, u32), Usual>>,
    reports: RefCell<HashMap<Peer, (Vec<Row>, Instant)>>,
}

/// One answer and where it came from.
pub struct Answer<'a> {
    /// Revision of the order that holds for the service, if one does, and whether the
    /// server runs the new release.
    pub order: Option<(Revision, bool)>,
    /// The service.
    pub service: &'a ids::Service,
    /// The route.
    pub route: &'a str,
    /// The server.
    pub server: Key,
    /// How it ended.
    pub outcome: Outcome,
}

impl Evidence {
    /// Counts an answer.
    pub fn record_answer(&self, answer: &Answer<'_>, now: Instant) {
        let route = xxh3_64(answer.route.as_bytes()) as u32;
        let (failed, slow) = match answer.outcome {
            Outcome::Failed => (1.0, 0.0),
            Outcome::Late => (0.0, 1.0),
            Outcome::Answered { cold: true, .. } => (0.0, 0.0),
            Outcome::Answered { first, whole, .. } => {
                let is_target = answer.order.is_some_and(|(_, target)| target);
                let slow = self.time(answer.service, route, is_target, first, whole);
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
        *count = count.faded(weight(now.saturating_duration_since(*at)));
        count.add(&one);
        *at = now;
    }

    /// Whether an answer was slow for its route; those of the other releases say what
    /// is usual.
    fn time(
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

    /// Takes over what another box told.
    pub fn report(&self, from: Peer, rows: Vec<Row>, now: Instant) {
        let mut reports = self.reports.borrow_mut();
        reports.retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_AGE);
        if rows.is_empty() {
            reports.remove(&from);
        } else {
            reports.insert(from, (rows, now));
        }
    }

    /// Counts what was seen of an order for the same one as it was written again.
    pub fn rename(&self, from: Revision, to: Revision) {
        let mut own = self.own.borrow_mut();
        let renamed = own.extract_if(.., |subject, _| subject.order == from);
        let renamed: Vec<_> = renamed.collect();
        let renamed = renamed.into_iter();
        own.extend(renamed.map(|(subject, seen)| {
            (
                Subject {
                    order: to,
                    ..subject
                },
                seen,
            )
        }));
    }

    /// Forgets orders that are over.
    pub fn keep_only(&self, orders: &[Revision]) {
        let mut own = self.own.borrow_mut();
        own.retain(|subject, _| orders.contains(&subject.order));
    }

    /// What this box and those that ask it saw.
    pub fn of_hall(&self, now: Instant) -> Vec<Row> {
        self.sum(now, Peer::is_member)
    }

    /// What all boxes saw that this one hears of.
    pub fn all(&self, now: Instant) -> Vec<Row> {
        self.sum(now, |_| true)
    }

    fn sum(&self, now: Instant, of: impl Fn(&Peer) -> bool) -> Vec<Row> {
        let mut sum: BTreeMap<Subject, Count> = BTreeMap::new();
        for (subject, (count, at)) in &*self.own.borrow() {
            let age = now.saturating_duration_since(*at);
            sum.entry(*subject)
                .or_default()
                .add(&count.faded(weight(age)));
        }
        for (peer, (rows, at)) in &*self.reports.borrow() {
            let age = now.saturating_duration_since(*at);
            if age >= REPORT_AGE || !of(peer) {
                continue;
            }
            for row in rows {
                let count = row.count.faded(weight(age));
                sum.entry(row.subject).or_default().add(&count);
            }
        }
        let rows = sum.into_iter();
        rows.map(|(subject, count)| Row { subject, count })
            .collect()
    }
}

/// How much something of an age counts.
fn weight(age: Duration) -> f32 {
    0.5f32.powf(age.as_secs_f32() / HALF_TIME.as_secs_f32())
}
