//! What boxes report to each other about the load on plain services.
//!
//! Invariant: the size of a message is bounded, whatever the number of accounts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::demand::Service;
use crate::rate::Rate;

/// Time in which the weight of a count falls to a third. Shorter than the age of the
/// reports, so that the age alone determines how soon a crowd is noticed.
pub const WINDOW: Duration = Duration::from_millis(500);
/// The same for the usual demand of an account.
pub const USUAL_WINDOW: Duration = Duration::from_secs(20);
/// Most classes in a message; the others are added up. At 14 bytes each, less than the
/// counts of requests in flight in the same message.
pub const CLASSES_MAX: usize = 16;
/// Reported units for one request.
const UNITS: f64 = 10.0;

/// Identifies an account in messages between boxes: the lower half of a 64-bit hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Account(u32);

impl Account {
    /// All accounts that are not reported on their own.
    pub const OTHERS: Self = Self(0);

    /// The key of an account.
    pub fn new(name: &str) -> Self {
        Self((xxh3_64(name.as_bytes()) as u32).max(1))
    }
}

/// The urgency of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank(pub u8);

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Requests that are treated alike. In messages a pair, without the names of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Rank, Account)", into = "(Rank, Account)")]
pub struct Class {
    /// Their urgency.
    pub rank: Rank,
    /// The account that sends them.
    pub account: Account,
}

impl From<(Rank, Account)> for Class {
    fn from((rank, account): (Rank, Account)) -> Self {
        Self { rank, account }
    }
}

impl From<Class> for (Rank, Account) {
    fn from(class: Class) -> Self {
        (class.rank, class.account)
    }
}

/// Requests of one class, in tenths of a request. In messages a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct Offered {
    /// Those of the last [`WINDOW`].
    pub recent: u32,
    /// The mean over [`USUAL_WINDOW`], for one [`WINDOW`].
    pub usual: u32,
}

impl From<(u32, u32)> for Offered {
    fn from((recent, usual): (u32, u32)) -> Self {
        Self { recent, usual }
    }
}

impl From<Offered> for (u32, u32) {
    fn from(offered: Offered) -> Self {
        (offered.recent, offered.usual)
    }
}

/// The load on one service within the last [`WINDOW`]; requests in tenths.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests by class, admitted or not, without [`Load::returned`].
    pub offered: BTreeMap<Class, Offered>,
    /// Estimate of the requests in [`Load::offered`] without repetitions.
    pub distinct: u32,
    /// The same of the requests of callers that return after the delay that they were given.
    pub returned: u32,
    /// Requests that were refused by a box.
    pub refused: u32,
    /// Requests that a server answered.
    pub answered: u32,
    /// The sum of the times that these took, in ms.
    pub time_ms: u32,
    /// Those of them that took longer than the objective of their route.
    pub late: u32,
    /// Requests that a server rejected.
    pub rejected: u32,
}

/// The load on the plain services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The load by service; services without requests are missing.
    pub services: BTreeMap<Service, Load>,
}

/// A number of requests in reported units.
pub(crate) fn units(value: f64) -> u32 {
    (value * UNITS).round() as u32
}

/// The rate of requests of which there are this many units in a [`WINDOW`].
pub(crate) fn rate(units: u32) -> Rate {
    Rate(f64::from(units) / UNITS / WINDOW.as_secs_f64())
}

impl Load {
    /// Adds the load that other boxes reported.
    pub(crate) fn add(&mut self, other: &Self) {
        for (class, offered) in &other.offered {
            let sum = self.offered.entry(*class).or_default();
            sum.recent = sum.recent.saturating_add(offered.recent);
            sum.usual = sum.usual.saturating_add(offered.usual);
        }
        for (sum, count) in self.counts_mut().into_iter().zip(other.counts()) {
            *sum = sum.saturating_add(count);
        }
    }

    fn subtract(&mut self, other: &Self) {
        for (class, offered) in &other.offered {
            let Some(left) = self.offered.get_mut(class) else {
                continue;
            };
            left.recent = left.recent.saturating_sub(offered.recent);
            left.usual = left.usual.saturating_sub(offered.usual);
            if *left == Offered::default() {
                self.offered.remove(class);
            }
        }
        for (left, count) in self.counts_mut().into_iter().zip(other.counts()) {
            *left = left.saturating_sub(count);
        }
    }

    fn counts(&self) -> [u32; 7] {
        [
            self.distinct,
            self.returned,
            self.refused,
            self.answered,
            self.time_ms,
            self.late,
            self.rejected,
        ]
    }

    fn counts_mut(&mut self) -> [&mut u32; 7] {
        [
            &mut self.distinct,
            &mut self.returned,
            &mut self.refused,
            &mut self.answered,
            &mut self.time_ms,
            &mut self.late,
            &mut self.rejected,
        ]
    }

    /// Whether there were no requests.
    fn is_empty(&self) -> bool {
        self.offered.is_empty() && self.counts() == [0; 7]
    }

    /// The rate of all requests of callers that did not return.
    pub fn offered_rate(&self) -> Rate {
        let rates = self.offered.values().map(|it| rate(it.recent).0);
        Rate(rates.sum())
    }

    /// The same with the `most` largest classes. The others of each rank are added up under
    /// [`Account::OTHERS`].
    fn truncated(&self, most: usize) -> Self {
        if self.offered.len() <= most {
            return self.clone();
        }
        let mut all: Vec<(Class, Offered)> = self.offered.iter().map(|(k, v)| (*k, *v)).collect();
        all.sort_unstable_by_key(|(class, it)| (Reverse(it.recent.max(it.usual)), *class));
        let mut kept = Self {
            offered: BTreeMap::new(),
            ..self.clone()
        };
        for (at, (class, offered)) in all.into_iter().enumerate() {
            let account = if at < most {
                class.account
            } else {
                Account::OTHERS
            };
            let sum = kept.offered.entry(Class { account, ..class }).or_default();
            sum.recent = sum.recent.saturating_add(offered.recent);
            sum.usual = sum.usual.saturating_add(offered.usual);
        }
        kept
    }
}

impl Report {
    /// Whether nothing is reported.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Adds the load that other boxes reported.
    pub fn add(&mut self, other: &Self) {
        for (service, load) in &other.services {
            self.services.entry(*service).or_default().add(load);
        }
    }

    /// Subtracts a report that was added before.
    pub fn subtract(&mut self, other: &Self) {
        for (service, load) in &other.services {
            let Some(left) = self.services.get_mut(service) else {
                continue;
            };
            left.subtract(load);
            if left.is_empty() {
                self.services.remove(service);
            }
        }
    }

    /// The same within the size of a message.
    pub fn bounded(&self) -> Self {
        let services = self.services.iter();
        Self {
            services: services
                .map(|(service, load)| (*service, load.truncated(CLASSES_MAX)))
                .collect(),
        }
    }
}
