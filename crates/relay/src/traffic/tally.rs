//! Counts of the requests that other boxes have in flight at each server.
//!
//! A box sees a small part of all requests, and learns the load of a server only from that
//! server's answers. Boxes that start together would therefore send too much to the same
//! servers. So boxes report their counts to each other; a hub passes on the sum of several
//! boxes' counts. A message has a bounded size at any number of servers: the counts with the
//! greatest change go first, and so those of servers that fill up, which are the ones to
//! avoid.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use tidepier_clock::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::speeds::Speeds;
use crate::fleet::{Count, Key};

use super::log::Peer;
use tidepier_admission::demand::Summary;
use tidepier_admission::report::Report as Load;

/// Age after which a report is ignored: several times the interval between reports.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);
/// A count is reported again when it has changed by more than this fraction of the reported
/// value. At 100 requests a server that is 6, which makes no difference to decisions.
const CHANGE_DIVISOR: u32 = 16;

/// Requests in flight by server, summed over some boxes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Totals {
    /// Number of boxes in the sum.
    pub boxes: u32,
    /// Requests by server; servers without requests may be missing.
    pub requests: HashMap<Key, u32>,
    /// Their recent requests by service and subject.
    pub demand: Summary,
    /// Their load on the plain services.
    pub load: Load,
    /// What they learned of the speeds of engines.
    pub speeds: Speeds,
}

impl Totals {
    /// Adds the counts of other boxes.
    pub fn add(&mut self, other: &Totals) {
        self.boxes = self.boxes.saturating_add(other.boxes);
        for (server, requests) in &other.requests {
            let sum = self.requests.entry(*server).or_default();
            *sum = sum.saturating_add(*requests);
        }
        self.demand.add(&other.demand);
        self.load.add(&other.load);
        self.speeds.add(&other.speeds);
    }

    /// Subtracts counts that were added before.
    fn subtract(&mut self, other: &Totals) {
        self.boxes = self.boxes.saturating_sub(other.boxes);
        for (server, requests) in &other.requests {
            let Some(left) = self.requests.get_mut(server) else {
                continue;
            };
            *left = left.saturating_sub(*requests);
            if *left == 0 {
                self.requests.remove(server);
            }
        }
        self.demand.subtract(&other.demand);
        self.load.subtract(&other.load);
        self.speeds.subtract(&other.speeds);
    }

    /// Applies the changes that another box sent.
    pub fn apply(&mut self, boxes: u32, changes: &[Count]) {
        self.boxes = boxes;
        for change in changes {
            match change.requests {
                0 => self.requests.remove(&change.server),
                requests => self.requests.insert(change.server, requests),
            };
        }
    }
}

/// The counts already sent over one connection, so that only changes are sent.
#[derive(Debug, Default)]
pub struct Baseline(HashMap<Key, u32>);

impl Baseline {
    /// Returns the changes to send so that the receiver knows `sum` closely enough, at most
    /// `most` counts. The servers with the greatest error go first, among equal errors those
    /// with the most requests, now or as sent before, and among these any, at random. The
    /// other changes follow in later messages.
    pub fn changes(&mut self, sum: &Totals, most: usize) -> Vec<Count> {
        let ended = self.0.keys().filter(|key| !sum.requests.contains_key(key));
        let ended = ended.map(|server| (*server, 0));
        let now = sum.requests.iter().map(|(server, n)| (*server, *n));
        let differ = now.chain(ended).filter_map(|(server, requests)| {
            let sent = self.0.get(&server).copied().unwrap_or(0);
            let error = requests.abs_diff(sent);
            let differs = error > sent / CHANGE_DIVISOR;
            let weight = (error, sent.max(requests));
            differs.then_some((weight, Count { server, requests }))
        });
        let mut differ: Vec<((u32, u32), Count)> = differ.collect();
        if differ.len() > most {
            let seed = fastrand::u64(..);
            let tie_break = |server: Key| xxh3_64_with_seed(&server.bytes(), seed);
            differ.select_nth_unstable_by_key(most, |(weight, count)| {
                (Reverse(*weight), tie_break(count.server))
            });
            differ.truncate(most);
        }
        let changes: Vec<Count> = differ.into_iter().map(|(_, count)| count).collect();
        for Count { server, requests } in &changes {
            match requests {
                0 => self.0.remove(server),
                _ => self.0.insert(*server, *requests),
            };
        }
        changes
    }
}

struct Report {
    at: Instant,
    sum: Totals,
}

/// The last report of each peer, and their sum.
#[derive(Default)]
pub struct Tally {
    reports: RefCell<HashMap<Peer, Report>>,
    /// Updated with each report, since a hub needs it 150 times a second.
    total: RefCell<Totals>,
}

impl Tally {
    /// Stores the report of a peer in place of its last one.
    pub fn report(&self, from: Peer, sum: Totals, at: Instant) {
        self.leave(&from);
        self.total.borrow_mut().add(&sum);
        self.reports.borrow_mut().insert(from, Report { at, sum });
    }

    /// Drops the report of a peer that no longer reports.
    pub fn leave(&self, from: &Peer) {
        let report = self.reports.borrow_mut().remove(from);
        if let Some(report) = report {
            self.total.borrow_mut().subtract(&report.sum);
        }
    }

    /// The sum of all recent reports without that of the peer `but`.
    pub fn others(&self, but: Option<&Peer>, now: Instant) -> Totals {
        self.drop_expired(now);
        let mut sum = self.total.borrow().clone();
        let reports = self.reports.borrow();
        if let Some(report) = but.and_then(|peer| reports.get(peer)) {
            sum.subtract(&report.sum);
        }
        sum
    }

    fn drop_expired(&self, now: Instant) {
        let reports = self.reports.borrow();
        let expired = reports
            .iter()
            .filter(|(_, report)| now.duration_since(report.at) >= REPORT_AGE_MAX);
        let expired: Vec<Peer> = expired.map(|(peer, _)| peer.clone()).collect();
        drop(reports);
        expired.iter().for_each(|peer| self.leave(peer));
    }

    /// Recent requests of the members, by service.
    pub fn members_demand(&self, now: Instant) -> Summary {
        self.drop_expired(now);
        let mut sum = Summary::default();
        for (peer, report) in &*self.reports.borrow() {
            if peer.is_member() {
                sum.add_services(&report.sum.demand);
            }
        }
        sum
    }

    /// The sum of the reports of the members, which send requests to this box.
    ///
    pub fn members(&self, now: Instant) -> Totals {
        self.drop_expired(now);
        let mut sum = Totals::default();
        for (peer, report) in &*self.reports.borrow() {
            if peer.is_member() {
                sum.add(&report.sum);
            }
        }
        sum
    }
}
