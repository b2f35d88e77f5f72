//! Requests by which boxes find out whether a part that was refused still crashes servers.
//!
//! When the time of a refusal is over, requests with the part come to all boxes. If all of them
//! passed, many servers would crash before the boxes know of the first one. So one box in N
//! lets one request pass in the first interval, two boxes in the second, and so on: the
//! first request that passes is nearly alone, at any number of boxes and of requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tidepier_clock::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::content::Fingerprint;

/// Length of an interval: longer than it takes until all boxes know of a crash.
pub const INTERVAL: Duration = Duration::from_secs(3);
/// Intervals after which all boxes try, at any number of boxes.
const DOUBLINGS_MAX: u32 = 20;

/// A request that was let pass.
#[derive(Debug, Clone, Copy)]
struct Trial {
    content: Fingerprint,
    at: Instant,
}

/// The trials of one box.
#[derive(Debug)]
pub struct Trials {
    /// Distinguishes this box from the others.
    seed: u64,
    latest: RefCell<HashMap<Fingerprint, Trial>>,
}

impl Default for Trials {
    fn default() -> Self {
        Self::new(fastrand::u64(..))
    }
}

impl Trials {
    /// The trials of the box with this seed, which is likely to differ from the others'.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            latest: RefCell::default(),
        }
    }

    /// Decides whether a request with this content may try a part whose refusal ended `ended`
    /// ago. Returns for how much longer it is refused, or `None` if it may.
    pub fn refused(
        &self,
        part: Fingerprint,
        content: Fingerprint,
        ended: Duration,
        boxes: usize,
        now: Instant,
    ) -> Option<Duration> {
        let interval = ended.as_millis() / INTERVAL.as_millis();
        let doublings = u32::try_from(interval).unwrap_or(DOUBLINGS_MAX);
        let trying = 2f64.powi(doublings.min(DOUBLINGS_MAX) as i32);
        let position = xxh3_64_with_seed(&part.as_u64().to_le_bytes(), self.seed);
        let position = position as f64 / u64::MAX as f64;
        let mut latest = self.latest.borrow_mut();
        let running = latest
            .get(&part)
            .filter(|trial| now.saturating_duration_since(trial.at) < INTERVAL);
        let may_try = match running {
            // Its further attempts, and after a wait.
            Some(trial) => trial.content == content,
            None => position * (boxes as f64) < trying,
        };
        if !may_try {
            let rest = ended.as_millis() % INTERVAL.as_millis();
            return Some(INTERVAL.saturating_sub(Duration::from_millis(rest as u64)));
        }
        if running.is_none() {
            latest.insert(part, Trial { content, at: now });
        }
        None
    }

    /// Removes trials that are over.
    pub fn remove_expired(&self, now: Instant) {
        let is_running = |trial: &Trial| now.saturating_duration_since(trial.at) < INTERVAL;
        let mut latest = self.latest.borrow_mut();
        latest.retain(|_, trial| is_running(trial));
    }
}
