//! A copy of the ledger and of the servers' records at one moment.

use std::collections::HashMap;
use std::time::Instant;

use tidepier_relay_standin::server::{self, Run};

use crate::ledger::{Attempt, Disturbance, Fact, Ledger, Loads};

/// What reached a server.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The server.
    pub server: server::Settings,
    /// Its record.
    pub run: Run,
    /// When the server crashed.
    pub crashed: Option<Instant>,
}

/// Records by the id of their attempt, each in the order of arrival.
fn by_attempt(all: impl Iterator<Item = Seen>) -> HashMap<String, Vec<Seen>> {
    let mut runs: HashMap<String, Vec<Seen>> = HashMap::new();
    for seen in all {
        runs.entry(seen.run.attempt.clone()).or_default().push(seen);
    }
    for seen in runs.values_mut() {
        seen.sort_by_key(|seen| seen.run.arrived);
    }
    runs
}

/// What rules judge by.
#[derive(Debug)]
pub struct Evidence {
    /// When the run began.
    pub begun: Instant,
    /// All requests, in the order of their sending.
    pub attempts: Vec<Attempt>,
    /// All disturbances, in the order of their beginning.
    pub disturbances: Vec<Disturbance>,
    /// All facts.
    pub facts: Vec<(Instant, Fact)>,
    /// The servers' loads over time.
    pub loads: Vec<Loads>,
    /// What reached servers, by the id of the attempt, in the order of arrival.
    pub runs: HashMap<String, Vec<Seen>>,
}

impl Evidence {
    /// All that is known of a run that began at a moment. The servers' records are
    /// read after the rest, so that no answer is without its run; what reached a
    /// server after the rest was read is left for later.
    pub fn gather(ledger: &Ledger, begun: Instant, seen: impl FnOnce() -> Vec<Seen>) -> Self {
        let copy = ledger.copy();
        let seen = seen().into_iter();
        Self {
            begun,
            attempts: copy.attempts,
            disturbances: copy.disturbances,
            facts: copy.facts,
            loads: copy.loads,
            runs: by_attempt(seen.filter(|seen| seen.run.arrived < copy.read)),
        }
    }

    /// What reached servers for an attempt.
    pub fn seen(&self, attempt: &Attempt) -> &[Seen] {
        self.runs.get(&attempt.id).map_or(&[], Vec::as_slice)
    }

    /// How often an attempt ran.
    pub fn ran(&self, attempt: &Attempt) -> usize {
        let seen = self.seen(attempt).iter();
        seen.filter(|seen| seen.run.ran()).count()
    }

    /// Whether some disturbance that is `meant` lay within a time.
    pub fn disturbed(
        &self,
        from: Instant,
        to: Instant,
        meant: impl Fn(&Disturbance) -> bool,
    ) -> bool {
        let within =
            |found: &&Disturbance| found.from <= to && found.to.is_none_or(|end| end >= from);
        self.disturbances.iter().filter(within).any(meant)
    }

    /// Whether a box, or the soak itself, lacked processor time within a time.
    pub fn held_up(&self, place: usize, from: Instant, to: Instant) -> bool {
        self.facts.iter().any(|(at, fact)| match fact {
            Fact::HeldUp(held, time) => {
                held.is_none_or(|held| held == place) && *at >= from && *at - *time <= to
            }
            _ => false,
        })
    }
}
