//! The share of all retries that this box may spend.
//!
//! The fleet as a whole may send a service no more repeats in a window than a
//! ratio of its requests plus a fixed number. No box knows what the others
//! spend, so each keeps within what adds up to the whole: the ratio of its own
//! requests and its part of the fixed number.
//!
//! Invariant: in any window, [`Budget::spend`] succeeds at most `ratio` times
//! the requests counted here in that window, plus the fixed part.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_ids as ids;

/// Parts that a window is counted in. A part more than the window is kept, so
/// that what is counted is never less than the window holds.
const PARTS: u32 = 10;

/// Of the fleet's allowance, how much is spent: the rest covers the error of
/// counting in parts and boxes that have just come or gone.
const CAUTION: f64 = 0.85;

/// The terms of the allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed on top, over the whole fleet.
    pub extra: f64,
    /// The window that they are counted in.
    pub window: Duration,
}

#[derive(Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeats by service.
pub struct Budget {
    terms: Cell<Limits>,
    start: Instant,
    parts: RefCell<HashMap<ids::Service, VecDeque<Part>>>,
}

impl Budget {
    /// A budget on these terms.
    pub fn new(terms: Limits) -> Self {
        Self {
            terms: Cell::new(terms),
            start: Instant::now(),
            parts: RefCell::default(),
        }
    }

    /// Changes the terms; what was counted stays.
    pub fn set_limits(&self, terms: Limits) {
        self.terms.set(terms);
    }

    /// Counts a request for a service.
    pub fn request(&self, service: &ids::Service, now: Instant) {
        self.with_part(service, now, |part| part.requests += 1);
    }

    /// Takes one repeat for a service, if the allowance has one left while the
    /// fleet has `boxes` boxes.
    pub fn spend(&self, service: &ids::Service, boxes: usize, now: Instant) -> bool {
        let (requests, repeats) = self.counted(service, now);
        let fixed = self.terms.get().extra / boxes.max(1) as f64;
        let allowed = CAUTION * (self.terms.get().ratio * f64::from(requests) + fixed);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.with_part(service, now, |part| part.repeats += 1);
        true
    }

    fn number(&self, now: Instant) -> u64 {
        let part = self.terms.get().window / PARTS;
        (now.duration_since(self.start).as_nanos() / part.as_nanos().max(1)) as u64
    }

    fn with_part(&self, service: &ids::Service, now: Instant, change: impl FnOnce(&mut Part)) {
        let number = self.number(now);
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

    /// Requests and repeats in the window. Requests are counted over the
    /// window alone, repeats over a part more.
    fn counted(&self, service: &ids::Service, now: Instant) -> (u32, u32) {
        let number = self.number(now);
        let oldest = number.saturating_sub(u64::from(PARTS));
        let all = self.parts.borrow();
        let parts = all.get(service).into_iter().flatten();
        let recent = parts.filter(|part| part.number >= oldest);
        recent.fold((0, 0), |(requests, repeats), part| {
            let within = if part.number > oldest {
                part.requests
            } else {
                0
            };
            (requests + within, repeats + part.repeats)
        })
    }
}
