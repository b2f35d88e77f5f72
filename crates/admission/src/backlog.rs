//! How many requests the servers of a service should have, and the rate that leads there.
//!
//! With fewer requests than slots the servers are idle while callers are refused; with
//! many more, those that are served are late. In between, the number follows from what
//! callers notice: how many answers are late.

use std::time::Duration;

use tidepier_clock::Instant;

use crate::rate::Rate;
use crate::report::Load;

/// Part of the objective, less the time of the work, for which requests may wait. Single
/// waits differ, and servers whose queues are nearly full also answer fewer requests.
const WAIT_PART: f64 = 0.25;
/// Share of late answers that is allowed; one in ten is promised at most.
const LATE_SHARE: f64 = 0.08;
/// Answers below which their late share says too little, in reported units.
const ANSWERS_MIN: u32 = 50;
/// Change of the target a second, in multiples of the slots, for each late answer of one.
const GAIN: f64 = 3.0;
/// Least target in multiples of the slots. Where the times of the work differ by much,
/// answers are late also when none waits; that is no reason to leave slots idle.
const TARGET_MIN: f64 = 1.25;
/// Longest time between two updates that counts.
const STEP_MAX: Duration = Duration::from_millis(200);
/// Time in which the servers get from the requests that they have to the target. Shorter
/// than the age of the counts, the number would swing around the target.
const SETTLING: Duration = Duration::from_secs(1);
/// Bounds of the rate in multiples of the capacity.
const RATE_BOUNDS: (f64, f64) = (0.4, 1.2);

/// The number of requests at the servers of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Backlog {
    /// Target in multiples of the slots, and when it was last updated.
    target: Option<(f64, Instant)>,
}

impl Backlog {
    /// Takes in the load on the service; `work` is the time of the work alone.
    pub(crate) fn update(
        &mut self,
        load: &Load,
        objective: Duration,
        work: Duration,
        now: Instant,
    ) {
        let room = objective.saturating_sub(work).as_secs_f64();
        let most = 1.0 + WAIT_PART * room / work.as_secs_f64().max(1e-3);
        let (target, at) = self.target.unwrap_or((most, now));
        let step = now.saturating_duration_since(at).min(STEP_MAX);
        let late = f64::from(load.late) / f64::from(load.answered.max(ANSWERS_MIN));
        let target = target + GAIN * (LATE_SHARE - late) * step.as_secs_f64();
        self.target = Some((target.clamp(TARGET_MIN, most.max(TARGET_MIN)), now));
    }

    /// Requests a second to be admitted while the servers have `in_flight` requests.
    pub(crate) fn rate(&self, capacity: Rate, slots: f64, in_flight: f64) -> Rate {
        let target = self.target.map_or(1.0, |(target, _)| target);
        let missing = slots * target - in_flight;
        let (least, most) = RATE_BOUNDS;
        let rate = capacity.0 + missing / SETTLING.as_secs_f64();
        Rate(rate.clamp(least * capacity.0, most * capacity.0))
    }
}
