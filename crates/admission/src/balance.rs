//! The choice between servers of a plain service that differ in speed.
//!
//! Handles servers of which some are several times slower, and loads that all boxes know
//! equally late. A choice by such loads sends the requests of all boxes to the same server
//! until the next report. So the servers take turns, each as often as its speed allows.
//! Speed is measured by the time to an answer, which also covers the wait: a server with a
//! longer queue gets fewer turns.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Shortest time to an answer that is distinguished from a shorter one.
const TIME_MIN: Duration = Duration::from_millis(1);

/// A server that may get the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<K> {
    /// Identifies the server.
    pub key: K,
    /// Requests that it works on at once.
    pub slots: f64,
    /// Usual time to an answer.
    pub time: Duration,
}

impl<K> Candidate<K> {
    /// How often it is the server's turn. A slow server has its slots taken for longer, and
    /// its answers are late more often: each counts once.
    fn weight(&self) -> f64 {
        let time = self.time.max(TIME_MIN).as_secs_f64();
        self.slots.max(1.0) / (time * time)
    }
}

/// Whose turn it is among the servers of a service, at one box.
#[derive(Debug, Clone)]
pub struct Rotation<K> {
    /// Turns that each server is owed.
    credits: HashMap<K, f64>,
}

impl<K> Default for Rotation<K> {
    fn default() -> Self {
        Self {
            credits: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Rotation<K> {
    /// Chooses the next server; `None` if there are no candidates. Servers that are not
    /// among the candidates lose what they are owed.
    pub fn next(&mut self, candidates: &[Candidate<K>]) -> Option<K> {
        let total: f64 = candidates.iter().map(Candidate::weight).sum();
        let mut credits = HashMap::with_capacity(candidates.len());
        for candidate in candidates {
            // Boxes that all began with the same server would stay in step.
            let owed = self.credits.get(&candidate.key).copied();
            let owed = owed.unwrap_or_else(fastrand::f64);
            credits.insert(candidate.key, owed + candidate.weight() / total);
        }
        self.credits = credits;
        let owed = |key: &K| self.credits[key];
        let keys = candidates.iter().map(|it| it.key);
        let next = keys.max_by(|a, b| owed(a).total_cmp(&owed(b)))?;
        *self.credits.get_mut(&next)? -= 1.0;
        Some(next)
    }
}
