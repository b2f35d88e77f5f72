//! The rate of requests that the servers of a plain service can sustain.
//!
//! Nobody reports it. It follows from two bounds that both hold at any load: the servers
//! answer no faster than their slots allow, and an answer takes no less than the time of
//! the work itself. While requests wait at the servers, the first is tight; while none
//! waits, the second is.

use std::time::Duration;

use tidepier_clock::Instant;

use crate::rate::Rate;
use crate::report::{self, Load};

/// Answers within [`report::WINDOW`] below which their mean time says too little: the times
/// of single requests differ by a factor of two and more.
const ANSWERS_MIN: f64 = 6.0;
/// Time in which the estimate moves by two thirds to a shorter time of the work, ...
const SHORTER: Duration = Duration::from_millis(500);
/// ... and to a longer one. Less than the capacity is also answered while less is admitted.
const LONGER: Duration = Duration::from_millis(1_500);
/// The same for the slots: as old as the answers in a report are on average.
const SLOTS: Duration = Duration::from_secs(1);

/// The estimated capacity of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capacity {
    estimate: Option<Estimate>,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Time for which a request occupies a slot, in seconds.
    work_s: f64,
    /// Slots of the time from which the reported answers are.
    slots: f64,
    at: Instant,
}

impl Capacity {
    /// Takes in the load on a service whose servers have `slots` slots.
    pub fn update(&mut self, load: &Load, slots: f64, now: Instant) {
        let answered = report::rate(load.answered).0;
        if answered * report::WINDOW.as_secs_f64() < ANSWERS_MIN || slots <= 0.0 {
            return;
        }
        let mean_s = f64::from(load.time_ms) / 1e3 / (answered * report::WINDOW.as_secs_f64());
        let Some(last) = self.estimate else {
            let work_s = mean_s.min(slots / answered);
            self.estimate = Some(Estimate {
                work_s,
                slots,
                at: now,
            });
            return;
        };
        let age = now.saturating_duration_since(last.at);
        let slots = last.slots + (slots - last.slots) * moved(age, SLOTS);
        let measured = mean_s.min(slots / answered);
        let time = if measured < last.work_s {
            SHORTER
        } else {
            LONGER
        };
        self.estimate = Some(Estimate {
            work_s: last.work_s + (measured - last.work_s) * moved(age, time),
            slots,
            at: now,
        });
    }

    /// Time for which a request occupies a slot; `None` until it was measured.
    pub fn work(&self) -> Option<Duration> {
        let estimate = self.estimate?;
        Some(Duration::from_secs_f64(estimate.work_s))
    }

    /// Requests a second that servers with `slots` slots can sustain; `None` until measured.
    pub fn rate(&self, slots: f64) -> Option<Rate> {
        let estimate = self.estimate?;
        Some(Rate(slots / estimate.work_s.max(1e-4)))
    }
}

/// Part of the way that an estimate moves within `age`, if two thirds take `time`.
fn moved(age: Duration, time: Duration) -> f64 {
    1.0 - (-age.as_secs_f64() / time.as_secs_f64()).exp()
}
