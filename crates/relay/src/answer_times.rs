//! How long servers take for the answers of each route, from the request to the answer's last
//! byte.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use tidepier_core::catalog::Route;

/// Answers of a route that are remembered: the latest ones.
const ANSWERS_MAX: usize = 64;
/// Share of the remembered answers that took no longer than what is expected of the next.
const EXPECTED_SHARE: f64 = 0.95;
/// Most routes of which answers are remembered.
const ROUTES_MAX: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();

/// The times of the latest answers of each route.
#[derive(Debug)]
pub struct AnswerTimes {
    routes: RefCell<LruCache<Box<str>, VecDeque<u32>>>,
}

impl Default for AnswerTimes {
    fn default() -> Self {
        Self {
            routes: RefCell::new(LruCache::new(ROUTES_MAX)),
        }
    }
}

impl AnswerTimes {
    /// Records that an answer took `time`, or that it was given up after that.
    pub fn record(&self, route: &Route, time: Duration) {
        let time = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let mut routes = self.routes.borrow_mut();
        let latest = match routes.get_mut(&route.name) {
            Some(latest) => latest,
            None => routes.get_or_insert_mut(route.name.clone(), VecDeque::new),
        };
        if latest.len() == ANSWERS_MAX {
            latest.pop_front();
        }
        latest.push_back(time);
    }

    /// The time in which an answer is expected. Where none is known, that is the objective,
    /// but for streams, whose objective ends at the first event, the time-out.
    pub fn expected(&self, route: &Route) -> Duration {
        let routes = self.routes.borrow();
        let latest = routes.peek(&route.name);
        let mut latest: Vec<u32> = latest.into_iter().flatten().copied().collect();
        latest.sort_unstable();
        let at = (EXPECTED_SHARE * latest.len() as f64) as usize;
        match latest.get(at) {
            Some(time) => Duration::from_millis(u64::from(*time)),
            None if route.kind.is_stream() => route.timeout,
            None => route.objective,
        }
    }
}
