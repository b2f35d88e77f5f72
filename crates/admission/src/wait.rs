//! How long the requests of one box wait at the servers, by its own answers.
//!
//! Reports of other boxes are up to a second old; the answers of a box are not. They also
//! are all that it has while no reports come.

use std::time::Duration;

use tidepier_clock::Instant;

/// Weight of the newest answer in the mean wait. A box with few requests sees a queue that
/// fills within half a second by one or two answers.
const WEIGHT: f64 = 0.7;
/// Time without answers in which the mean wait loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Weight of an answer in the time of the work, if it took less, and if it took more: the
/// shortest times are those of requests that did not wait.
const WORK_WEIGHTS: (f64, f64) = (0.1, 0.01);
/// Mean time of the work in multiples of the short times that are tracked.
const WORK_FACTOR: f64 = 1.3;

/// The waits of one service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Wait {
    /// Mean wait in seconds, and when it was last updated.
    mean: Option<(f64, Instant)>,
    /// Time of the shorter requests, in seconds.
    short_s: Option<f64>,
    /// Wait of the last answer, in seconds.
    last_s: Option<f64>,
}

impl Wait {
    /// Takes in an answer that took `time`; one that took longer than the objective counts
    /// like one that took as long. `work` is the time of the work alone, if known from all
    /// boxes.
    pub(crate) fn answered(
        &mut self,
        time: Duration,
        objective: Duration,
        work: Option<Duration>,
        now: Instant,
    ) {
        let took = time.min(objective).as_secs_f64();
        let short = self.short_s.unwrap_or(took);
        let (less, more) = WORK_WEIGHTS;
        let weight = if took < short { less } else { more };
        self.short_s = Some(short + weight * (took - short));
        let work = work.or(self.work()).unwrap_or_default();
        let wait = took - work.as_secs_f64();
        // One answer may be late because its server is slow or its work long. If the
        // servers are full, all answers are late.
        let before = self.last_s.replace(wait).unwrap_or(wait);
        self.observe(wait.min(before), now);
    }

    /// Takes in that a server rejected a request: its queue takes at least the time in
    /// which an answer would be on time.
    pub(crate) fn rejected(&mut self, objective: Duration, now: Instant) {
        self.observe(objective.as_secs_f64(), now);
    }

    /// Time of the work alone, by this box's own answers.
    pub(crate) fn work(&self) -> Option<Duration> {
        let short_s = self.short_s?;
        Some(Duration::from_secs_f64(short_s * WORK_FACTOR))
    }

    /// The mean wait as of the last answer.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.map_or(0.0, |(mean, _)| mean))
    }

    /// How far the mean wait still applies, from 0 to 1.
    pub(crate) fn weight(&self, now: Instant) -> f64 {
        self.mean.map_or(0.0, |(_, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            0.5f64.powf(age / HALF_LIFE.as_secs_f64())
        })
    }

    fn observe(&mut self, sample_s: f64, now: Instant) {
        // An old mean counts less against the new answer.
        let weight = 1.0 - (1.0 - WEIGHT) * self.weight(now);
        let mean = self.mean().as_secs_f64();
        let mean = mean + weight * (sample_s - mean);
        self.mean = Some((mean.max(0.0), now));
    }
}
