//! Counts the requests of this box for the plain services, for its decisions and reports.

use std::cell::RefCell;
use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use tidepier_clock::Instant;

use crate::demand::Service;
use crate::report::{units, Class, Load, Offered, Report, USUAL_WINDOW, WINDOW};
use crate::window::Sum;

/// Most classes that are counted on their own, the most recent ones.
const CLASSES_MAX: NonZeroUsize = NonZeroUsize::new(128).unwrap();

/// Least probability by which an admitted request counts: one that is admitted by a small
/// chance must not look like a crowd.
const PROBABILITY_MIN: f64 = 0.05;

/// One class at one service.
#[derive(Debug, Clone, Copy)]
struct Counts {
    recent: Sum,
    usual: Sum,
}

#[derive(Debug)]
struct Counters {
    since: Instant,
    classes: LruCache<Class, Counts>,
    distinct: Sum,
    returned: Sum,
    refused: Sum,
    answered: Sum,
    seconds: Sum,
    late: Sum,
    rejected: Sum,
}

impl Counters {
    fn new(now: Instant) -> Self {
        let zero = Sum::new(now);
        Self {
            since: now,
            classes: LruCache::new(CLASSES_MAX),
            distinct: zero,
            returned: zero,
            refused: zero,
            answered: zero,
            seconds: zero,
            late: zero,
            rejected: zero,
        }
    }

    fn load(&self, now: Instant) -> Load {
        // A decaying sum begins at 0. Without the correction, the usual demand of a box
        // that has just started would be less than what comes, and every account would
        // exceed it by a different factor.
        let age = now.saturating_duration_since(self.since).max(WINDOW);
        let filled = 1.0 - (-age.as_secs_f64() / USUAL_WINDOW.as_secs_f64()).exp();
        let per_window = WINDOW.as_secs_f64() / USUAL_WINDOW.as_secs_f64() / filled;
        let offered = |counts: &Counts| Offered {
            recent: units(counts.recent.value_at(WINDOW, now)),
            usual: units(counts.usual.value_at(USUAL_WINDOW, now) * per_window),
        };
        let classes = self.classes.iter().map(|(class, it)| (*class, offered(it)));
        let count = |sum: &Sum| units(sum.value_at(WINDOW, now));
        Load {
            offered: classes
                .filter(|(_, it)| *it != Offered::default())
                .collect(),
            distinct: count(&self.distinct),
            returned: count(&self.returned),
            refused: count(&self.refused),
            answered: count(&self.answered),
            time_ms: (self.seconds.value_at(WINDOW, now) * 1e3).round() as u32,
            late: count(&self.late),
            rejected: count(&self.rejected),
        }
    }
}

/// Counts of one box.
#[derive(Debug, Default)]
pub struct Meter {
    services: RefCell<HashMap<Service, Counters>>,
}

impl Meter {
    /// Counts a request that arrived, whether it is admitted or not.
    pub fn offered(&self, service: Service, class: Class, now: Instant) {
        self.with(service, now, |counters| {
            let zero = Sum::new(now);
            let new = Counts {
                recent: zero,
                usual: zero,
            };
            let counts = counters.classes.get_or_insert_mut(class, || new);
            counts.recent.add(1.0, WINDOW, now);
            counts.usual.add(1.0, USUAL_WINDOW, now);
        });
    }

    /// Counts a request that was admitted with this probability. It stands for the others
    /// that were refused, but not for repetitions of these: all attempts of a client get
    /// the same result.
    pub fn admitted(&self, service: Service, returned: bool, probability: f64, now: Instant) {
        let weight = 1.0 / probability.clamp(PROBABILITY_MIN, 1.0);
        self.with(service, now, |it| {
            let sum = if returned {
                &mut it.returned
            } else {
                &mut it.distinct
            };
            sum.add(weight, WINDOW, now);
        });
    }

    /// Counts a request that this box refused.
    pub fn refused(&self, service: Service, now: Instant) {
        self.with(service, now, |it| it.refused.add(1.0, WINDOW, now));
    }

    /// Counts an answer of a server, `time` after the request was sent.
    pub fn answered(&self, service: Service, time: Duration, on_time: bool, now: Instant) {
        self.with(service, now, |it| {
            it.late.add(if on_time { 0.0 } else { 1.0 }, WINDOW, now);
            it.answered.add(1.0, WINDOW, now);
            it.seconds.add(time.as_secs_f64(), WINDOW, now);
        });
    }

    /// Counts a request that a server rejected.
    pub fn rejected(&self, service: Service, now: Instant) {
        self.with(service, now, |it| it.rejected.add(1.0, WINDOW, now));
    }

    /// The load on all services, for reports.
    pub fn report(&self, now: Instant) -> Report {
        let services = self.services.borrow();
        let loads = services.iter().map(|(key, it)| (*key, it.load(now)));
        Report {
            services: loads.filter(|(_, load)| *load != Load::default()).collect(),
        }
    }

    /// The load on one service.
    pub(crate) fn load(&self, service: Service, now: Instant) -> Load {
        let services = self.services.borrow();
        let load = services.get(&service).map(|it| it.load(now));
        load.unwrap_or_default()
    }

    fn with(&self, service: Service, now: Instant, change: impl FnOnce(&mut Counters)) {
        let mut services = self.services.borrow_mut();
        change(
            services
                .entry(service)
                .or_insert_with(|| Counters::new(now)),
        );
    }
}
