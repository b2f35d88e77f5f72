//! Recent requests by service and by subject, of this box and of the others.
//!
//! Loads that boxes report to each other are up to a second old. By then, boxes that all
//! prefer the same server have sent it many more requests. How many requests there are
//! about a subject, or from a hall, does not depend on where they are sent and changes
//! more slowly. So the servers that a subject or a hall may use follow from that.
//!
//! Invariant: without reports of other boxes, the shares are those that this box sees among
//! its own requests.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::Hash;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_ids as ids;

use crate::rate::Rate;
use crate::rise::{Rise, Sample};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time in which the weight of a request falls to a third.
const WINDOW: Duration = Duration::from_secs(5);
/// Requests of a service below which their number says little about a subject's share.
const REQUESTS_MIN: f64 = 8.0;
/// Most requests of a service between two about the same subject that count as a sign of
/// its share.
const GAP_MAX: u64 = 8;
/// Probability up to which two such requests are no chance.
const CHANCE_MAX: f64 = 0.01;
/// Most subjects that this box remembers.
const SUBJECTS_MAX: NonZeroUsize = NonZeroUsize::new(512).unwrap();
/// Most subjects that a box reports: at 12 bytes each, less than the counts in the same
/// message.
const REPORTED_MAX: usize = 16;
/// Smallest share of a box's requests at which it reports a subject.
pub(crate) const REPORTED_SHARE_MIN: f64 = 1.0 / 128.0;
/// Time for which a summary serves further reports: a hub sends hundreds a second.
const SUMMARY_TTL: Duration = Duration::from_millis(100);
/// Age after which other boxes' requests are ignored: several times the interval between
/// reports.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Time after its first request from which a box should have got reports of the others.
const FIRST_REPORT_TIME: Duration = Duration::from_secs(1);
/// Time after its first request up to which a box counts as started: by then most boxes
/// have had their first requests about every subject that has many.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Shortest time since the first known request from which a rate is derived.
const RATE_AGE_MIN: Duration = Duration::from_secs(1);
/// Samples that the hub of a hall gets a second: at 200, a subject with a fifth of the
/// requests has four in 0.1 s, and the samples take 20 KB a second of the hub's link
/// (calculated, with packet headers).
const SAMPLES_PER_S: f64 = 200.0;
/// Most rises that are remembered.
const RISES_MAX: usize = 64;
/// Reported units for one request.
const UNITS: f64 = 10.0;

/// Identifies a service in messages between boxes: the lower half of a 64-bit hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Service(u32);

impl Service {
    /// The key of a service.
    pub fn new(id: &ids::Service) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

/// Identifies a subject of a service: a hash of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject(u64);

impl Subject {
    /// The key of a subject, of which `part` is the id of the prompts' last shared part.
    pub fn new(service: Service, part: u64) -> Self {
        Self(xxh3_64_with_seed(&part.to_le_bytes(), u64::from(service.0)))
    }
}

/// Recent requests of some boxes, in tenths of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests by service.
    pub services: HashMap<Service, u32>,
    /// Requests about the most frequent subjects.
    pub subjects: HashMap<Subject, u32>,
}

impl Summary {
    /// Whether nothing is reported.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Adds the requests of other boxes.
    pub fn add(&mut self, other: &Self) {
        add(&mut self.services, &other.services);
        add(&mut self.subjects, &other.subjects);
    }

    /// Adds the requests of other boxes by service only.
    pub fn add_services(&mut self, other: &Self) {
        add(&mut self.services, &other.services);
    }

    /// Subtracts requests that were added before.
    pub fn subtract(&mut self, other: &Self) {
        subtract(&mut self.services, &other.services);
        subtract(&mut self.subjects, &other.subjects);
    }

    /// The same with the most frequent subjects only: at most `most`, each with at least
    /// `min_share` of all requests.
    pub fn frequent(&self, min_share: f64, most: usize) -> Self {
        let all: f64 = self.services.values().map(|units| f64::from(*units)).sum();
        let subjects = self.subjects.iter().map(|(key, units)| (*key, *units));
        let frequent = subjects.filter(|(_, units)| f64::from(*units) >= min_share * all);
        let summary = Self {
            services: self.services.clone(),
            subjects: frequent.collect(),
        };
        summary.truncated(most)
    }

    /// The same with no more than the `most` frequent subjects, among equally frequent ones
    /// any, at random.
    fn truncated(mut self, most: usize) -> Self {
        if self.subjects.len() > most {
            let mut subjects: Vec<(Subject, u32)> = self.subjects.into_iter().collect();
            let seed = fastrand::u64(..);
            let tie_break = |key: &Subject| xxh3_64_with_seed(&key.0.to_le_bytes(), seed);
            subjects
                .select_nth_unstable_by_key(most, |(key, units)| (Reverse(*units), tie_break(key)));
            subjects.truncate(most);
            self.subjects = subjects.into_iter().collect();
        }
        self
    }
}

fn add<K: Copy + Eq + Hash>(sum: &mut HashMap<K, u32>, other: &HashMap<K, u32>) {
    for (key, units) in other {
        let sum = sum.entry(*key).or_default();
        *sum = sum.saturating_add(*units);
    }
}

fn subtract<K: Copy + Eq + Hash>(sum: &mut HashMap<K, u32>, other: &HashMap<K, u32>) {
    for (key, units) in other {
        let Some(left) = sum.get_mut(key) else {
            continue;
        };
        *left = left.saturating_sub(*units);
        if *left == 0 {
            sum.remove(key);
        }
    }
}

/// A count that decays with time.
#[derive(Debug, Clone, Copy)]
struct Count {
    value: f64,
    at: Instant,
}

impl Count {
    fn value_at(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }

    fn increment(&mut self, now: Instant) {
        self.value = self.value_at(now) + 1.0;
        self.at = now;
    }
}

/// Requests of this box for one service.
#[derive(Debug, Clone, Copy)]
struct Requests {
    count: Count,
    /// Number of all requests so far.
    total: u64,
    /// When the first of them came.
    since: Instant,
}

/// Requests of this box about one subject.
#[derive(Debug, Clone, Copy)]
struct SubjectRequests {
    count: Count,
    /// Number of the service's requests at the last of them.
    last: u64,
}

/// What other boxes reported.
#[derive(Debug)]
struct Report {
    summary: Summary,
    at: Instant,
}

impl Report {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < REPORT_AGE_MAX
    }
}

/// Recent requests of this box and of the others.
#[derive(Debug)]
pub struct Demand {
    /// When this box first knew of any requests.
    since: Cell<Option<Instant>>,
    services: RefCell<HashMap<Service, Requests>>,
    subjects: RefCell<LruCache<Subject, SubjectRequests>>,
    /// The last summary of this box's requests.
    summary: RefCell<Option<Report>>,
    /// Requests of all other boxes.
    others: RefCell<Option<Report>>,
    /// Requests of all boxes of this box's hall.
    hall: RefCell<Option<Report>>,
    /// Shares of subjects that have just risen, as announced by the hub.
    rises: RefCell<HashMap<Subject, (f64, Instant)>>,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            since: Cell::default(),
            services: RefCell::default(),
            subjects: RefCell::new(LruCache::new(SUBJECTS_MAX)),
            summary: RefCell::default(),
            others: RefCell::default(),
            hall: RefCell::default(),
            rises: RefCell::default(),
        }
    }
}

impl Demand {
    /// Counts a request of this box; `part` is the last shared part of its prompt.
    pub fn record(&self, service: &ids::Service, part: Option<u64>, now: Instant) {
        self.since.set(self.since.get().or(Some(now)));
        let service = Service::new(service);
        let new = Count {
            value: 0.0,
            at: now,
        };
        let mut services = self.services.borrow_mut();
        let requests = services.entry(service).or_insert(Requests {
            count: new,
            total: 0,
            since: now,
        });
        requests.count.increment(now);
        requests.total += 1;
        let Some(part) = part else { return };
        let last = requests.total;
        let mut subjects = self.subjects.borrow_mut();
        let key = Subject::new(service, part);
        let subject = subjects.get_or_insert_mut(key, || SubjectRequests { count: new, last });
        subject.count.increment(now);
        subject.last = last;
    }

    /// Records what all other boxes reported.
    pub fn set_others(&self, summary: Summary, at: Instant) {
        self.since.set(self.since.get().or(Some(at)));
        *self.others.borrow_mut() = Some(Report { summary, at });
    }

    /// Records the requests of all boxes of this box's hall.
    pub fn set_hall(&self, summary: Summary, at: Instant) {
        *self.hall.borrow_mut() = Some(Report { summary, at });
    }

    /// Records a rise that the hub of this box's hall announced.
    pub fn set_rise(&self, rise: Rise, at: Instant) {
        if !(0.0..=1.0).contains(&rise.share) {
            return;
        }
        let mut rises = self.rises.borrow_mut();
        rises.retain(|_, (_, since)| at.saturating_duration_since(*since) < REPORT_AGE_MAX);
        if rises.len() < RISES_MAX {
            // The first estimates are made of few samples.
            let last = rises.get(&rise.subject).map_or(0.0, |(share, _)| *share);
            rises.insert(rise.subject, (last.max(rise.share), at));
        }
    }

    /// Whether a subject's share of a service's requests has just risen, so that its first
    /// server has got a request of most boxes that no count shows yet. `part` is the last
    /// shared part of its prompts.
    pub fn has_just_risen(&self, service: &ids::Service, part: u64, now: Instant) -> bool {
        let subject = Subject::new(Service::new(service), part);
        self.risen_share(&subject, now) > 0.0
    }

    /// Share of a subject that has just risen; 0 if it has not.
    fn risen_share(&self, subject: &Subject, now: Instant) -> f64 {
        let rises = self.rises.borrow();
        let rise = rises.get(subject);
        let recent = rise.filter(|(_, at)| now.saturating_duration_since(*at) < REPORT_AGE_MAX);
        recent.map_or(0.0, |(share, _)| *share)
    }

    /// Returns the sample for a request about a subject, if the hub of the hall should get
    /// one: of all requests, as long as the hall has few. `part` is the last shared part of
    /// its prompt.
    pub fn sample(&self, service: &ids::Service, part: u64, now: Instant) -> Option<Sample> {
        let service = Service::new(service);
        let hall = self.hall.borrow();
        let hall = hall.as_ref().filter(|it| it.is_recent(now));
        let services = hall.into_iter().flat_map(|it| it.summary.services.values());
        let units: f64 = services.map(|units| f64::from(*units)).sum();
        let rate = units / UNITS / WINDOW.as_secs_f64();
        let is_sampled = rate <= SAMPLES_PER_S || fastrand::f64() < SAMPLES_PER_S / rate;
        is_sampled.then(|| Sample {
            service,
            subject: Subject::new(service, part),
        })
    }

    /// The share of the service's recent requests that is about a sample's subject, by the
    /// reports, from 0 to 1.
    pub fn reported_share(&self, sample: &Sample, now: Instant) -> f64 {
        let requests = self.services.borrow().get(&sample.service).copied();
        let known = self.subjects.borrow().peek(&sample.subject).copied();
        let all = requests.map_or(0.0, |it| it.count.value_at(now));
        let about = known.map_or(0.0, |it| it.count.value_at(now));
        let others = self.others.borrow();
        let others = others.as_ref().filter(|it| it.is_recent(now));
        let others_all =
            others.map_or(0.0, |it| requests_in(&it.summary.services, &sample.service));
        let others_about =
            others.map_or(0.0, |it| requests_in(&it.summary.subjects, &sample.subject));
        ((about + others_about) / (all + others_all).max(REQUESTS_MIN)).min(1.0)
    }

    /// The requests of all boxes of this box's hall, as last recorded.
    pub fn hall_summary(&self, now: Instant) -> Summary {
        let hall = self.hall.borrow();
        let hall = hall.as_ref().filter(|it| it.is_recent(now));
        hall.map_or_else(Summary::default, |it| it.summary.clone())
    }

    /// The recent requests of this box by service.
    pub fn services(&self, now: Instant) -> Summary {
        Summary {
            services: in_units(self.services.borrow().iter(), |it| it.count.value_at(now)),
            subjects: HashMap::new(),
        }
    }

    /// The recent requests of this box, for reports.
    pub fn summary(&self, now: Instant) -> Summary {
        let last = self.summary.borrow();
        let age = |report: &Report| now.saturating_duration_since(report.at);
        let last_summary = last.as_ref().filter(|it| age(it) < SUMMARY_TTL);
        if let Some(report) = last_summary {
            return report.summary.clone();
        }
        drop(last);
        let all = Summary {
            subjects: in_units(self.subjects.borrow().iter(), |it| it.count.value_at(now)),
            ..self.services(now)
        };
        let summary = all.frequent(REPORTED_SHARE_MIN, REPORTED_MAX);
        *self.summary.borrow_mut() = Some(Report {
            summary: summary.clone(),
            at: now,
        });
        summary
    }

    /// The share of a service's recent requests that is about a subject, from 0 to 1. `part`
    /// is the last shared part of its prompts.
    pub fn subject_share(
        &self,
        service: &ids::Service,
        part: u64,
        servers: usize,
        now: Instant,
    ) -> f64 {
        let service = Service::new(service);
        let subject = Subject::new(service, part);
        let risen = self.risen_share(&subject, now);
        let requests = self.services.borrow().get(&service).copied();
        let known = self.subjects.borrow().peek(&subject).copied();
        let all = requests.map_or(0.0, |it| it.count.value_at(now));
        let about = known.map_or(0.0, |it| it.count.value_at(now));
        let gap = requests
            .zip(known)
            .map(|(requests, known)| requests.total - known.last + 1);
        let others = self.others.borrow();
        let Some(others) = others.as_ref().filter(|it| it.is_recent(now)) else {
            let share = about / all.max(REQUESTS_MIN);
            return share.max(rise(gap, 0.0)).max(risen).min(1.0);
        };
        let others_all = requests_in(&others.summary.services, &service);
        let others_about = requests_in(&others.summary.subjects, &subject);
        let share = (about + others_about) / (all + others_all).max(REQUESTS_MIN);
        // A subject with the requests of a whole server is no usual one.
        let usual = if share * (servers as f64) < 1.0 {
            share
        } else {
            0.0
        };
        share.max(rise(gap, usual)).max(risen).min(1.0)
    }

    /// Whether this box began to get requests for a service a short while ago and other
    /// boxes should have reported theirs by now, but have not. They may have started at the
    /// same time, with their first requests about each subject still to come.
    pub fn lacks_reports(&self, service: &ids::Service, now: Instant) -> bool {
        let others = self.others.borrow();
        if others.as_ref().is_some_and(|it| it.is_recent(now)) {
            return false;
        }
        let own = self.services.borrow().get(&Service::new(service)).copied();
        own.is_some_and(|it| {
            let age = now.saturating_duration_since(it.since);
            (FIRST_REPORT_TIME..STARTUP_TIME).contains(&age)
        })
    }

    /// Whether this box gets so many requests for a service that its choices matter to the
    /// servers' loads.
    pub fn is_busy(&self, service: &ids::Service, now: Instant) -> bool {
        let own = self.services.borrow().get(&Service::new(service)).copied();
        own.is_some_and(|it| it.count.value_at(now) >= REQUESTS_MIN)
    }

    /// The rate of a service's requests at all boxes. Without reports of the others, or soon
    /// after a start, each of the `boxes` is taken to get as many as this one.
    pub fn rate(&self, service: &ids::Service, boxes: usize, now: Instant) -> Rate {
        let service = Service::new(service);
        let own = self.services.borrow().get(&service).copied();
        let count = own.map_or(0.0, |it| it.count.value_at(now));
        let others = self.others.borrow();
        let others = others.as_ref().filter(|it| it.is_recent(now));
        let reported = others.map(|it| count + requests_in(&it.summary.services, &service));
        let since = self.since.get();
        let age = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        // A box with a request now and then has forgotten the last one.
        let like_this_one = (count + 1.0) * boxes as f64;
        let all = match reported {
            Some(reported) if age >= WINDOW => reported,
            Some(reported) => reported.max(like_this_one),
            None => like_this_one,
        };
        // A decaying count begins at 0, also those of others if all have just started.
        let age = age.max(RATE_AGE_MIN).as_secs_f64() / WINDOW.as_secs_f64();
        Rate(all / WINDOW.as_secs_f64() / (1.0 - (-age).exp()))
    }

    /// The share of a service's recent requests that boxes of this box's hall get, from 0
    /// to 1; `None` if that is not known.
    pub fn hall_share(&self, service: &ids::Service, now: Instant) -> Option<f64> {
        let service = Service::new(service);
        let hall = self.hall.borrow();
        let hall = hall.as_ref().filter(|it| it.is_recent(now))?;
        let others = self.others.borrow();
        let others = others.as_ref().filter(|it| it.is_recent(now))?;
        let own = self.services.borrow().get(&service).copied();
        let own = own.map_or(0.0, |it| it.count.value_at(now));
        let hall = requests_in(&hall.summary.services, &service).max(own);
        let all = requests_in(&others.summary.services, &service) + own;
        (all > 0.0).then(|| (hall / all).min(1.0))
    }
}

/// The requests that remain of each count, in units; without those that are none.
fn in_units<'a, K: Copy + Eq + Hash + 'a, V: 'a>(
    counts: impl Iterator<Item = (&'a K, &'a V)>,
    value: impl Fn(&V) -> f64,
) -> HashMap<K, u32> {
    let counts = counts.map(|(key, count)| (*key, (value(count) * UNITS) as u32));
    counts.filter(|(_, units)| *units > 0).collect()
}

/// The share that two requests of this box about the same subject show that are `gap` requests
/// of the service apart: of requests with a share of 1 in n, every n-th one is about the
/// subject. It shows a sudden rise before other boxes report it. 0 if the gap may be chance,
/// given the subject's usual share.
fn rise(gap: Option<u64>, usual: f64) -> f64 {
    let gap = gap.filter(|gap| *gap <= GAP_MAX).map(|gap| gap as f64);
    let gap = gap.filter(|gap| gap * usual < CHANCE_MAX);
    gap.map_or(0.0, |gap| 1.0 / gap)
}

fn requests_in<K: Eq + Hash>(summary: &HashMap<K, u32>, key: &K) -> f64 {
    summary
        .get(key)
        .map_or(0.0, |units| f64::from(*units) / UNITS)
}
