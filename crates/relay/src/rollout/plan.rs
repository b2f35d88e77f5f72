//! When the next step of an order is taken.
//!
//! A release that is on trial gets a part of the share that the operator bears for a
//! bad one; then more, for a short time; then all. Each step waits for enough answers.
//!
//! Invariant: a release that is found bad is rolled back at once, at any stage, and
//! nothing follows that.

use std::time::Duration;

use tidepier_core::rollout::State;

use super::judge::Fault;
use super::stage::Stage;

/// Part of the operator's share that a release on trial gets. What is left covers
/// requests of the time in which a bad one is known and not yet rolled back.
const TRIAL_PART: f64 = 0.7;
/// Part of the order's time for which it is on trial.
const TRIAL_TIME: f64 = 0.4;
/// Answers that a trial takes.
const TRIAL_ANSWERS: f64 = 40.0;
/// Share of the second step, in multiples of the operator's.
const WIDER_PART: f64 = 3.0;
/// Part of the order's time that it takes.
const WIDER_TIME: f64 = 0.1;
/// Time for which the new release has all requests before the others count as idle:
/// over that in which each box hears of it.
const ALONE_TIME: Duration = Duration::from_millis(2_000);
/// Time for which nothing ran at the others.
const IDLE_TIME: Duration = Duration::from_millis(900);

/// What is known when a step is weighed.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// The stage, once there is one.
    pub stage: Option<Stage>,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the stage began, as far as is known here.
    pub staged: Duration,
    /// Time that the order gives.
    pub within: Duration,
    /// Whether servers of the new release take requests.
    pub serves: bool,
    /// What condemns the release.
    pub fault: Option<Fault>,
    /// Its answers, older ones counting less.
    pub answers: f64,
    /// Time for which nothing ran at the servers of other releases.
    pub idle: Duration,
    /// Share of requests that the operator bears for a bad release.
    pub max_exposure: f64,
}

/// What is to be written, if anything.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// The stage that is known: the store went back behind it.
    Rewrite,
    /// The release gets this share.
    Share(f64),
    /// It alone serves.
    Complete,
    /// It gets nothing more.
    RollBack,
}

/// The next step.
pub fn step(look: &Observation) -> Step {
    let Some(stage) = look.stage else {
        // The operator hears at once that the order is known.
        return Step::Share(0.0);
    };
    if stage.state != State::InProgress {
        return Step::Wait;
    }
    if look.fault.is_some() {
        return Step::RollBack;
    }
    let late = look.elapsed >= look.within;
    let trial = TRIAL_PART * look.max_exposure;
    let wider = (WIDER_PART * look.max_exposure).min(1.0);
    if stage.share >= 1.0 {
        let idle = look.staged >= ALONE_TIME && look.idle >= IDLE_TIME;
        return if idle { Step::Complete } else { Step::Wait };
    }
    if late {
        return Step::RollBack;
    }
    let tried = look.answers >= TRIAL_ANSWERS;
    if stage.share < trial {
        match look.serves {
            true => Step::Share(trial),
            false => Step::Wait,
        }
    } else if stage.share < wider {
        let over = look.elapsed >= look.within.mul_f64(TRIAL_TIME);
        match tried && over {
            true => Step::Share(wider),
            false => Step::Wait,
        }
    } else {
        let over = look.staged >= look.within.mul_f64(WIDER_TIME);
        match tried && over {
            true => Step::Share(1.0),
            false => Step::Wait,
        }
    }
}
