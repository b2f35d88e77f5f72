//! How many requests other boxes have under way at each server.
//!
//! A box sees a small part of the requests and hears of a server's load only
//! with that server's answers, so that boxes that start together send too much
//! to the same servers. Boxes therefore tell each other their counts; what is
//! told by one and passed on by another is a sum of several boxes. What a box is
//! told costs the same at any number of servers: those with the most requests go
//! first, as they are the ones that others should pass over.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use tidepier_clock::Instant;

use crate::fleet::{Count, Key};

use super::log::Peer;

/// Age after which a report no longer counts: several times the time between
/// two of them.
const REPORT_AGE: Duration = Duration::from_millis(1_500);
/// A count is told again when it has changed by more than this part of what
/// was told: at 100 requests a server that is 6, which is of no consequence.
const TOLD_PART: u32 = 16;

/// Requests under way by server, of some boxes together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Totals {
    /// How many boxes have been added up.
    pub boxes: u32,
    /// Requests by server; servers without any may be missing.
    pub requests: HashMap<Key, u32>,
}

impl Totals {
    /// Adds the counts of other boxes.
    pub fn add(&mut self, other: &Totals) {
        self.boxes = self.boxes.saturating_add(other.boxes);
        for (server, requests) in &other.requests {
            let sum = self.requests.entry(*server).or_default();
            *sum = sum.saturating_add(*requests);
        }
    }

    /// Takes away what was added before.
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
    }

    /// Takes over changes that another box sent.
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

/// What was told over one connection, so that only changes need be sent.
#[derive(Debug, Default)]
pub struct Baseline(HashMap<Key, u32>);

impl Baseline {
    /// What is to be sent so that the other side knows `sum` well enough: at most
    /// `most` counts, those of the servers with the most requests, now or by what
    /// was told. The others follow with later messages.
    pub fn changes(&mut self, sum: &Totals, most: usize) -> Vec<Count> {
        let gone = self.0.keys().filter(|key| !sum.requests.contains_key(key));
        let gone = gone.map(|server| (*server, 0));
        let now = sum.requests.iter().map(|(server, n)| (*server, *n));
        let differ = now.chain(gone).filter_map(|(server, requests)| {
            let told = self.0.get(&server).copied().unwrap_or(0);
            let error = requests.abs_diff(told);
            let differs = error > told / TOLD_PART;
            let weight = (error, told.max(requests));
            differs.then_some((weight, Count { server, requests }))
        });
        let mut differ: Vec<((u32, u32), Count)> = differ.collect();
        if differ.len() > most {
            differ.select_nth_unstable_by_key(most, |(weight, _)| Reverse(*weight));
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

/// What others reported last, and the sum of it.
#[derive(Default)]
pub struct Tally {
    reports: RefCell<HashMap<Peer, Report>>,
    /// Kept with each report, since a hub is asked for it 150 times a second.
    total: RefCell<Totals>,
}

impl Tally {
    /// Takes over a report.
    pub fn report(&self, from: Peer, sum: Totals, at: Instant) {
        self.leave(&from);
        self.total.borrow_mut().add(&sum);
        self.reports.borrow_mut().insert(from, Report { at, sum });
    }

    /// Forgets a peer that no longer reports.
    pub fn leave(&self, from: &Peer) {
        let report = self.reports.borrow_mut().remove(from);
        if let Some(report) = report {
            self.total.borrow_mut().subtract(&report.sum);
        }
    }

    /// The sum of all recent reports but that of `but`.
    pub fn others(&self, but: Option<&Peer>, now: Instant) -> Totals {
        self.forget_old(now);
        let mut sum = self.total.borrow().clone();
        let reports = self.reports.borrow();
        if let Some(report) = but.and_then(|peer| reports.get(peer)) {
            sum.subtract(&report.sum);
        }
        sum
    }

    fn forget_old(&self, now: Instant) {
        let reports = self.reports.borrow();
        let old = reports
            .iter()
            .filter(|(_, report)| now.duration_since(report.at) >= REPORT_AGE);
        let old: Vec<Peer> = old.map(|(peer, _)| peer.clone()).collect();
        drop(reports);
        old.iter().for_each(|peer| self.leave(peer));
    }

    /// The sum of the reports of those that ask this box.
    pub fn members(&self, now: Instant) -> Totals {
        self.forget_old(now);
        let mut sum = Totals::default();
        for (peer, report) in &*self.reports.borrow() {
            if peer.is_member() {
                sum.add(&report.sum);
            }
        }
        sum
    }
}
