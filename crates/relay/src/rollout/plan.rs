//! Decides when the next step of an order is taken.
//!
//! A canary release gets a part of the exposure that the operator accepts, then a larger
//! share for a short time, then all requests. Each step waits for enough answers.
//!
//! Invariant: a release that is found faulty is rolled back at once, at any stage, and
//! nothing follows that.

use std::time::Duration;

use tidepier_core::rollout::State;

use super::judge::Fault;
use super::stage::Stage;

/// Part of the accepted exposure that a canary release gets. The rest covers the requests
/// between the detection of a fault and the rollback.
const CANARY_PART: f64 = 0.7;
/// Part of the order's time for which the release stays a canary.
const CANARY_TIME: f64 = 0.4;
/// Minimum number of answers for the next step.
const ANSWERS_MIN: f64 = 40.0;
/// Share of the second step, in multiples of the accepted exposure.
const WIDER_PART: f64 = 3.0;
/// Part of the order's time for the second step.
const WIDER_TIME: f64 = 0.1;
/// Time for which the new release has all requests before the others can count as idle:
/// more than each box takes to learn of the step.
const ALONE_TIME: Duration = Duration::from_millis(2_000);
/// Time for which no request has been in flight at the other releases before they count as
/// idle.
const IDLE_TIME: Duration = Duration::from_millis(900);

/// The observations on which the next step is decided.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// The stage, once there is one.
    pub stage: Option<Stage>,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the stage began, as far as this box knows.
    pub stage_age: Duration,
    /// Time that the order gives.
    pub within: Duration,
    /// Whether servers of the new release take requests.
    pub has_servers: bool,
    /// Why the release is faulty, if it is.
    pub fault: Option<Fault>,
    /// Decayed number of its answers.
    pub answers: f64,
    /// Time for which no request has been in flight at servers of other releases.
    pub idle: Duration,
    /// Share of the requests that the operator exposes to a faulty release at most.
    pub max_exposure: f64,
}

/// What has to be written, if anything.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// The known stage once more, as the restored store lacks it.
    Rewrite,
    /// A stage that gives the release this share.
    Share(f64),
    /// The end of the rollout: only the release serves.
    Complete,
    /// The end of the rollout: the release gets nothing more.
    RollBack,
}

/// Returns the next step.
pub fn step(observation: &Observation) -> Step {
    let Some(stage) = observation.stage else {
        // The first stage confirms to the operator at once that the order was received.
        return Step::Share(0.0);
    };
    if stage.state != State::InProgress {
        return Step::Wait;
    }
    if observation.fault.is_some() {
        return Step::RollBack;
    }
    let late = observation.elapsed >= observation.within;
    let canary = CANARY_PART * observation.max_exposure;
    let wider = (WIDER_PART * observation.max_exposure).min(1.0);
    if stage.share >= 1.0 {
        let idle = observation.stage_age >= ALONE_TIME && observation.idle >= IDLE_TIME;
        return if idle { Step::Complete } else { Step::Wait };
    }
    if late {
        return Step::RollBack;
    }
    let has_answers = observation.answers >= ANSWERS_MIN;
    if stage.share < canary {
        match observation.has_servers {
            true => Step::Share(canary),
            false => Step::Wait,
        }
    } else if stage.share < wider {
        let over = observation.elapsed >= observation.within.mul_f64(CANARY_TIME);
        match has_answers && over {
            true => Step::Share(wider),
            false => Step::Wait,
        }
    } else {
        let over = observation.stage_age >= observation.within.mul_f64(WIDER_TIME);
        match has_answers && over {
            true => Step::Share(1.0),
            false => Step::Wait,
        }
    }
}
