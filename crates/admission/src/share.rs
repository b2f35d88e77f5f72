//! Which part of each account's requests is admitted while there is less room than demand.
//!
//! Handles one account that sends many times its usual, and a crowd of all accounts. More
//! urgent ranks come first. Within a rank each account may exceed its usual demand by the
//! same factor, so that one that sends eight times its usual takes what the others leave
//! and not what they need. Every class keeps a part of the mean.

use std::collections::{BTreeMap, HashMap};

use crate::rate::Rate;
use crate::report::{Account, Class, Offered, Rank};

/// Part of the mean fraction that is the least for every class: an account or a kind of
/// request below it counts as starved.
const LEAST_PART: f64 = 0.3;
/// Smallest usual demand of a class, as a part of its recent one. An account that has just
/// begun to send has none yet.
const USUAL_PART_MIN: f64 = 0.1;

/// The fractions of the requests that are admitted.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shares {
    classes: HashMap<Class, f64>,
    mean: f64,
}

impl Shares {
    /// Everything is admitted.
    pub fn all() -> Self {
        Self {
            classes: HashMap::new(),
            mean: 1.0,
        }
    }

    /// The fraction of a class that is admitted, from 0 to 1.
    pub fn of(&self, class: Class) -> f64 {
        let others = Class {
            account: Account::OTHERS,
            ..class
        };
        let known = self.classes.get(&class);
        let known = known.or_else(|| self.classes.get(&others));
        known.copied().unwrap_or(self.mean)
    }

    /// The fraction of all requests that is admitted.
    pub fn mean(&self) -> f64 {
        self.mean
    }
}

/// A class with demand that is not met yet.
struct Claim {
    class: Class,
    /// Demand in requests a second.
    demand: f64,
    /// Demand beyond what every class gets.
    rest: f64,
    /// Usual demand.
    usual: f64,
}

/// Divides the capacity between the classes.
pub fn allocate(offered: &BTreeMap<Class, Offered>, capacity: Rate) -> Shares {
    let recent = |it: &Offered| crate::report::rate(it.recent).0;
    let total: f64 = offered.values().map(recent).sum();
    if total <= capacity.0 || total <= 0.0 {
        return Shares::all();
    }
    let mean = (capacity.0 / total).max(0.0);
    let least = LEAST_PART * mean;
    let mut ranks: BTreeMap<Rank, Vec<Claim>> = BTreeMap::new();
    for (class, it) in offered {
        let demand = recent(it);
        let usual = crate::report::rate(it.usual).0;
        ranks.entry(class.rank).or_default().push(Claim {
            class: *class,
            demand,
            rest: demand * (1.0 - least),
            usual: usual.max(USUAL_PART_MIN * demand),
        });
    }
    let mut left = capacity.0 - least * total;
    let mut classes = HashMap::new();
    for claims in ranks.into_values() {
        let level = level(&claims, left);
        for claim in claims.iter().filter(|it| it.demand > 0.0) {
            let granted = claim.rest.min(level * claim.usual);
            left -= granted;
            classes.insert(claim.class, (least + granted / claim.demand).min(1.0));
        }
        left = left.max(0.0);
    }
    Shares { classes, mean }
}

/// The multiple of their usual demand that all claims may have so that they sum to
/// `capacity`; infinite if all of them fit.
fn level(claims: &[Claim], capacity: f64) -> f64 {
    let mut order: Vec<&Claim> = claims.iter().filter(|it| it.usual > 0.0).collect();
    order.sort_by(|a, b| (a.rest / a.usual).total_cmp(&(b.rest / b.usual)));
    let mut left = capacity;
    let mut usual: f64 = order.iter().map(|it| it.usual).sum();
    for claim in order {
        let level = left / usual;
        if claim.rest / claim.usual > level {
            return level.max(0.0);
        }
        left -= claim.rest;
        usual -= claim.usual;
    }
    f64::INFINITY
}
