//! How many requests the boxes of a hall have under way at each server.
//!
//! A box sees a small part of the requests and hears of a server's load only
//! with that server's answers, so that boxes that start together send too much
//! to the same servers. The box that the others ask adds up what they report
//! with their questions, and tells each the sum of all others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::fleet::Count;

/// Age after which a box's report no longer counts: several times the time
/// between two questions.
const REPORT_AGE: Duration = Duration::from_millis(1_500);

/// The reports of the boxes that ask this one.
#[derive(Default)]
pub struct Crowd {
    reports: RefCell<HashMap<u64, Report>>,
    joined: Cell<u64>,
}

struct Report {
    at: Instant,
    running: Vec<Count>,
}

impl Crowd {
    /// A number for a box that begins to ask.
    pub fn join(&self) -> u64 {
        self.joined.set(self.joined.get() + 1);
        self.joined.get()
    }

    /// Takes over what a box reports.
    pub fn report(&self, member: u64, running: Vec<Count>, at: Instant) {
        let report = Report { at, running };
        self.reports.borrow_mut().insert(member, report);
    }

    /// Forgets a box that no longer asks.
    pub fn leave(&self, member: u64) {
        self.reports.borrow_mut().remove(&member);
    }

    /// Requests under way by server, of all boxes but `member` and with those
    /// of `own`.
    pub fn others(&self, member: Option<u64>, own: &[Count], now: Instant) -> Vec<Count> {
        let reports = self.reports.borrow();
        let fresh = reports.iter().filter(|(of, report)| {
            member != Some(**of) && now.duration_since(report.at) < REPORT_AGE
        });
        let mut sums: HashMap<u64, u32> = HashMap::new();
        let reported = fresh.flat_map(|(_, report)| &report.running);
        for running in reported.chain(own) {
            *sums.entry(running.server).or_default() += running.requests;
        }
        let running = sums.into_iter();
        running
            .map(|(server, requests)| Count { server, requests })
            .collect()
    }
}
