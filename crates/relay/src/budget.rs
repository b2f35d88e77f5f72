//! This box's share of the fleet's retry budget.
//!
//! Within a window, the fleet as a whole may send the servers of a service no more
//! retries than a ratio of its requests plus a fixed number. No box knows what the
//! others spend, so each keeps to a part of that, and the parts add up to the whole: the
//! ratio of its own requests, and its share of the fixed number.
//!
//! Invariant: in any window, [`Budget::spend`] succeeds at most `ratio` times the
//! requests counted here in that window, plus the share of the fixed number.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_ids as ids;

/// Number of parts that a window is divided into for counting. One part more than the
/// window is kept, so that the count of retries is never lower than the actual one in
/// the window.
const PARTS: u32 = 10;

/// Fraction of the fleet's budget that is spent. The remainder covers the error of
/// counting in parts, and boxes that have just joined or left.
const SPENT_PART: f64 = 0.85;

/// The parameters of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition, over the whole fleet.
    pub extra: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

#[derive(Default)]
struct Part {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries by service.
pub struct Budget {
    limits: Cell<Limits>,
    start: Instant,
    parts: RefCell<HashMap<ids::Service, VecDeque<Part>>>,
}

impl Budget {
    /// Creates a budget with these parameters.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits: Cell::new(limits),
            start: Instant::now(),
            parts: RefCell::default(),
        }
    }

    /// Changes the parameters; the counts are kept.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.set(limits);
    }

    /// Counts a request for a service.
    pub fn request(&self, service: &ids::Service, now: Instant) {
        self.with_part(service, now, |part| part.requests += 1);
    }

    /// Spends one retry for a service, if the budget has one left while the fleet has
    /// `boxes` boxes. Returns whether it had.
    pub fn spend(&self, service: &ids::Service, boxes: usize, now: Instant) -> bool {
        let allowed = self.allows(service, boxes, now);
        if allowed {
            self.with_part(service, now, |part| part.retries += 1);
        }
        allowed
    }

    /// Whether the budget has a retry left for a service while the fleet has `boxes` boxes.
    pub fn allows(&self, service: &ids::Service, boxes: usize, now: Instant) -> bool {
        let (requests, retries) = self.counted(service, now);
        let fixed = self.limits.get().extra / boxes.max(1) as f64;
        let allowed = SPENT_PART * (self.limits.get().ratio * f64::from(requests) + fixed);
        f64::from(retries) + 1.0 <= allowed
    }

    fn part_number(&self, now: Instant) -> u64 {
        let part = self.limits.get().window / PARTS;
        (now.duration_since(self.start).as_nanos() / part.as_nanos().max(1)) as u64
    }

    fn with_part(&self, service: &ids::Service, now: Instant, change: impl FnOnce(&mut Part)) {
        let number = self.part_number(now);
        let mut all = self.parts.borrow_mut();
        let parts = all.entry(service.clone()).or_default();
        if parts.back().is_none_or(|last| last.number < number) {
            parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let oldest = number.saturating_sub(u64::from(PARTS));
        parts.retain(|part| part.number >= oldest);
        if let Some(last) = parts.back_mut() {
            change(last);
        }
    }

    /// Requests and retries in the window. Retries are also counted in the additional
    /// part before it, requests are not.
    fn counted(&self, service: &ids::Service, now: Instant) -> (u32, u32) {
        let number = self.part_number(now);
        let oldest = number.saturating_sub(u64::from(PARTS));
        let all = self.parts.borrow();
        let parts = all.get(service).into_iter().flatten();
        let recent = parts.filter(|part| part.number >= oldest);
        recent.fold((0, 0), |(requests, retries), part| {
            let within = if part.number > oldest {
                part.requests
            } else {
                0
            };
            (requests + within, retries + part.retries)
        })
    }
}
