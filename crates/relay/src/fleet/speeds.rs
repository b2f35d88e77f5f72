//! What boxes learned of the speeds of engines, for other boxes.
//!
//! A message has a bounded size at any number of engines: those of which the receiver knows
//! least go first.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tidepier_admission::speed::Summary;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Key;

/// Difference from what was sent at which a speed is sent again, as a logarithm: less than
/// counts as noise in a choice.
const DIFFERENCE_MIN: f64 = 0.15;

/// What some boxes learned of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Key, Summary)", into = "(Key, Summary)")]
pub struct Row {
    /// The engine.
    pub server: Key,
    /// What they learned; empty if they no longer know anything.
    pub speed: Summary,
}

impl From<(Key, Summary)> for Row {
    fn from((server, speed): (Key, Summary)) -> Self {
        Self { server, speed }
    }
}

impl From<Row> for (Key, Summary) {
    fn from(row: Row) -> Self {
        (row.server, row.speed)
    }
}

/// What some boxes learned, by engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Speeds(HashMap<Key, Summary>);

impl Speeds {
    /// What was learned of an engine.
    pub fn get(&self, server: Key) -> Summary {
        self.0.get(&server).copied().unwrap_or_default()
    }

    /// Adds what other boxes learned.
    pub fn add(&mut self, other: &Self) {
        for (server, speed) in &other.0 {
            self.0.entry(*server).or_default().add(speed);
        }
    }

    /// Subtracts what was added before.
    pub fn subtract(&mut self, other: &Self) {
        for (server, speed) in &other.0 {
            if let Some(left) = self.0.get_mut(server) {
                left.subtract(speed);
                if left.is_empty() {
                    self.0.remove(server);
                }
            }
        }
    }

    /// Applies rows that another box sent.
    pub fn apply(&mut self, rows: &[Row]) {
        for Row { server, speed } in rows {
            match speed.is_empty() {
                true => self.0.remove(server),
                false => self.0.insert(*server, *speed),
            };
        }
    }

    /// Returns the rows to send to a receiver that knows `self`, so that it knows `now`
    /// closely enough, at most `most` rows; and records them in `self`. The others follow
    /// in later messages.
    pub fn update(&mut self, now: &Self, most: usize) -> Vec<Row> {
        let gone = self.0.keys().filter(|server| !now.0.contains_key(server));
        let servers = now.0.keys().chain(gone).copied();
        let differ = servers.filter_map(|server| {
            let speed = now.get(server);
            let difference = speed.distance(&self.get(server));
            let differs = difference >= DIFFERENCE_MIN;
            differs.then_some((difference, Row { server, speed }))
        });
        let mut differ: Vec<(f64, Row)> = differ.collect();
        let seed = fastrand::u64(..);
        let tie_break = |row: &Row| xxh3_64_with_seed(&row.server.bytes(), seed);
        differ.sort_by(|(a, row), (b, other)| {
            let by_difference = b.total_cmp(a);
            by_difference.then_with(|| tie_break(row).cmp(&tie_break(other)))
        });
        differ.truncate(most);
        let rows: Vec<Row> = differ.into_iter().map(|(_, row)| row).collect();
        self.apply(&rows);
        rows
    }
}

impl FromIterator<(Key, Summary)> for Speeds {
    fn from_iter<I: IntoIterator<Item = (Key, Summary)>>(speeds: I) -> Self {
        let known = speeds.into_iter().filter(|(_, speed)| !speed.is_empty());
        Self(known.collect())
    }
}
