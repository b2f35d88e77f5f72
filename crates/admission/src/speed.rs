//! The speed of one engine: the prefill rate learned from its answers, combined with the
//! slowdown that it reports.
//!
//! The time to the first event includes parts that a box cannot separate, such as the
//! engine's fixed time for a step and requests of other boxes. They are about the same at
//! all engines of a service. Only the ratio of an engine's rate to the service's median is
//! therefore used: [`Prediction::rate`] is [`Rate::DEFAULT`] at the usual speed, whatever
//! that is, and differences within the noise count as none.
//!
//! One box gets few answers of one engine: 143 boxes before 60 engines with four requests a
//! second each, one in half a minute. Boxes therefore tell each other what they learned, as
//! sums of [`Summary`].
//!
//! Invariant: an engine of which nothing was learned or reported has [`Rate::DEFAULT`].
//!
//! Rates are handled as natural logarithms of their ratio to [`Rate::DEFAULT`], so that
//! half and double the rate are equally far from it.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::answer::Slowdown;

/// Half-life of what was learned of an engine while it sends no answers. It is that of
/// the latencies in the relay's `health`: an engine that is avoided because it is slow is
/// tried again after about half a minute.
const LEARNED_HALF_LIFE: Duration = Duration::from_secs(8);
/// Half-life of the last reported slowdown. It changes about five times a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(300);
/// Weight of the service's median in a mean, where one exact observation weighs 1.
const USUAL_WEIGHT: f64 = 0.5;
/// Highest weight of the earlier observations, so that a mean follows lasting changes.
const MEAN_WEIGHT_MAX: f64 = 4.0;
/// Weight of the learned rates below which an engine does not count in the service's median.
const COUNTED_WEIGHT_MIN: f64 = 0.1;
/// Age from which an engine's reports do not count in it.
const COUNTED_AGE_MAX: Duration = Duration::from_secs(24);
/// Largest change by one observation: a factor of three. A prompt that waits behind a long
/// one of another box may take ten times as long.
const STEP_MAX: f64 = 1.1;
/// Tokens of work at which an observation has half the weight of an exact one. Below, the
/// unknown fixed part of the time prevails.
const HALF_WEIGHT_TOKENS: f64 = 400.0;
/// Work of each running request in tokens: it lengthens a decoding step by 0.5 ms at the
/// default rate.
const RUNNING_TOKENS: f64 = 20.0;
/// Age after which what other boxes learned is ignored: several times the interval between
/// their reports.
const OTHERS_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Units of weights and of speeds in a [`Summary`].
const WEIGHT_UNITS: f64 = 10.0;
const SPEED_UNITS: f64 = 100.0;
/// Shortest time to the first event that counts, in ms.
const TIME_MIN_MS: f64 = 0.1;
/// Deviations from the median that count as noise: up to a quarter.
const NOISE: f64 = 0.223;
/// Largest deviation from the median: a factor of eight.
const DEVIATION_MAX: f64 = 2.08;
/// Factor by which earlier errors count less with each observation.
const ERROR_DECAY: f64 = 0.9;
/// Squared error of each predictor before any observation.
const ERROR_PRIOR: f64 = 0.05;
/// Number of observations that the errors of the other engines count as.
const SERVICE_OBSERVATIONS: f64 = 4.0;

/// A prefill rate in tokens per ms.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// The rate of an engine of usual speed, and of one of which nothing is known.
    /// Measured engines prefill 38 to 112 tokens per ms. The value is that of the slowest
    /// ones, since needless prefill harms those most.
    pub const DEFAULT: Self = Self(40.0);

    /// Time in ms in which this many tokens are prefilled.
    pub fn time_ms(self, tokens: f64) -> f64 {
        tokens / self.0
    }

    /// Time that work takes, in multiples of that at the default rate.
    pub fn slowness(self) -> f64 {
        Self::DEFAULT.0 / self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.0)
    }
}

/// What an engine has to do before the first event of an answer, as far as a box knows.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens that it certainly has to prefill.
    pub tokens_min: f64,
    /// Prompt tokens that it may have to prefill, of this request and of those queued
    /// before it.
    pub tokens_max: f64,
    /// Requests that run there.
    pub running: f64,
}

/// A mean of observations, of which the weight decays with time.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    weight: f64,
    at: Option<Instant>,
}

impl Mean {
    fn weight_at(&self, now: Instant) -> f64 {
        let left = |at| fraction_left(at, LEARNED_HALF_LIFE, now);
        self.at.map_or(0.0, |at| self.weight * left(at))
    }

    /// The mean at `now`, which decays towards `usual`.
    fn value_at(&self, usual: f64, now: Instant) -> f64 {
        let weight = self.weight_at(now);
        (weight * self.value + USUAL_WEIGHT * usual) / (weight + USUAL_WEIGHT)
    }

    fn add(&mut self, value: f64, weight: f64, now: Instant) {
        let earlier = self.weight_at(now);
        let sum = earlier + weight;
        self.value = (earlier * self.value + weight * value) / sum;
        self.weight = sum.min(MEAN_WEIGHT_MAX);
        self.at = Some(now);
    }

    /// The mean, if it is recent enough for the service's median.
    fn counted(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.at?);
        (age < COUNTED_AGE_MAX).then_some(self.value)
    }
}

/// What some boxes learned of one engine, in units that are sent between boxes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, i32)", into = "(u32, i32)")]
pub struct Summary {
    /// Sum of the weights of the observations, in tenths of an exact observation.
    weight: u32,
    /// Sum of the observed speeds by weight: each is a logarithm in hundredths.
    sum: i32,
}

impl From<(u32, i32)> for Summary {
    fn from((weight, sum): (u32, i32)) -> Self {
        Self { weight, sum }
    }
}

impl From<Summary> for (u32, i32) {
    fn from(summary: Summary) -> Self {
        (summary.weight, summary.sum)
    }
}

impl Summary {
    fn new(speed: f64, weight: f64) -> Self {
        let weight = (weight * WEIGHT_UNITS).round();
        Self {
            weight: weight as u32,
            sum: (speed * weight * SPEED_UNITS).round() as i32,
        }
    }

    /// Whether nothing was learned.
    pub fn is_empty(&self) -> bool {
        self.weight == 0
    }

    /// Adds what other boxes learned.
    pub fn add(&mut self, other: &Self) {
        self.weight = self.weight.saturating_add(other.weight);
        self.sum = self.sum.saturating_add(other.sum);
    }

    /// Subtracts what was added before.
    pub fn subtract(&mut self, other: &Self) {
        self.weight = self.weight.saturating_sub(other.weight);
        self.sum = match self.weight {
            0 => 0,
            _ => self.sum.saturating_sub(other.sum),
        };
    }

    /// How far apart two summaries are in what follows from them, as a logarithm of the
    /// speed.
    pub fn distance(&self, other: &Self) -> f64 {
        let speed = |it: &Self| it.speed_sum() / (it.weight() + USUAL_WEIGHT);
        (speed(self) - speed(other)).abs()
    }

    fn weight(&self) -> f64 {
        f64::from(self.weight) / WEIGHT_UNITS
    }

    fn speed_sum(&self) -> f64 {
        f64::from(self.sum) / (WEIGHT_UNITS * SPEED_UNITS)
    }
}

/// Decaying sums of squared errors.
#[derive(Debug, Clone, Copy, Default)]
struct Errors {
    learned: f64,
    reported: f64,
    observations: f64,
}

impl Errors {
    fn add(&mut self, learned: f64, reported: f64) {
        let square = |error: f64| error.min(STEP_MAX).powi(2);
        self.learned = ERROR_DECAY * self.learned + square(learned);
        self.reported = ERROR_DECAY * self.reported + square(reported);
        self.observations = ERROR_DECAY * self.observations + 1.0;
    }

    /// Weight of the reported slowdown against the learned rate, from 0 to 1.
    fn trust(&self, service: &Errors) -> f64 {
        let part = SERVICE_OBSERVATIONS / service.observations.max(1.0);
        let learned = self.learned + part * service.learned + ERROR_PRIOR;
        let reported = self.reported + part * service.reported + ERROR_PRIOR;
        learned / (learned + reported)
    }
}

/// What is known of the speed of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    learned: Mean,
    /// What other boxes learned.
    others: Option<(Summary, Instant)>,
    /// Mean of the reported speeds.
    reported: Mean,
    /// The speed that was reported last.
    last: Option<(f64, Instant)>,
    errors: Errors,
}

impl Speed {
    /// What this box learned, for other boxes.
    pub fn summary(&self, now: Instant) -> Summary {
        Summary::new(self.learned.value, self.learned.weight_at(now))
    }

    /// Records what other boxes learned of the engine.
    pub fn set_others(&mut self, others: Summary, now: Instant) {
        self.others = Some((others, now));
    }

    /// The weight of what all boxes learned, and the sum of the speeds by weight.
    fn learned_by_all(&self, now: Instant) -> (f64, f64) {
        let own = self.learned.weight_at(now);
        let others = self.others;
        let recent = others.filter(|(_, at)| now.saturating_duration_since(*at) < OTHERS_AGE_MAX);
        let others = recent.map_or(Summary::default(), |(others, _)| others);
        let sum = own * self.learned.value + others.speed_sum();
        (own + others.weight(), sum)
    }

    /// The learned speed, which decays towards the usual one.
    fn learned_at(&self, usual: f64, now: Instant) -> f64 {
        let (weight, sum) = self.learned_by_all(now);
        (sum + USUAL_WEIGHT * usual) / (weight + USUAL_WEIGHT)
    }

    /// The learned speed, if it is recent enough for the service's median.
    fn counted(&self, now: Instant) -> Option<f64> {
        let (weight, sum) = self.learned_by_all(now);
        (weight >= COUNTED_WEIGHT_MIN).then(|| sum / weight)
    }

    /// Records a slowdown that the engine reported.
    pub fn report(&mut self, slowdown: Slowdown, now: Instant) {
        let speed = -slowdown.factor().ln();
        self.reported.add(speed, 1.0, now);
        self.last = Some((speed, now));
    }

    /// Records that the first event of an answer came `time` after the request was sent.
    /// `predicted` is the prediction from when it was sent.
    pub fn record(&mut self, work: Work, predicted: &Prediction, time: Duration, now: Instant) {
        let time = (time.as_secs_f64() * 1e3).max(TIME_MIN_MS);
        let running = RUNNING_TOKENS * work.running;
        let (least, most) = (work.tokens_min + running, work.tokens_max + running);
        if least <= 0.0 {
            return;
        }
        let speed = |tokens: f64| (tokens / time / Rate::DEFAULT.0).ln();
        let (slowest, fastest) = (speed(least), speed(most.max(least)));
        let error = |value: f64| (value.clamp(slowest, fastest) - value).abs();
        if let Some(reported) = predicted.reported {
            self.errors.add(error(predicted.learned), error(reported));
        }
        // A rate that the possible amounts of work explain is neither confirmed nor refuted.
        let known = self.learned_at(predicted.usual, now);
        if error(known) > 0.0 {
            let tokens = if known < slowest { least } else { most };
            let observed = known.clamp(slowest, fastest);
            let observed = observed.clamp(known - STEP_MAX, known + STEP_MAX);
            let weight = tokens / (tokens + HALF_WEIGHT_TOKENS);
            self.learned.add(observed, weight, now);
        }
    }

    /// Predicts the speed at `now`.
    pub fn predict(&self, service: &Service, now: Instant) -> Prediction {
        let learned = self.learned_at(service.learned, now);
        let reported = self.last.map(|(last, at)| {
            // Without recent reports the learned speed remains.
            let known = learned - service.learned + service.reported;
            let mean = self.reported.value_at(known, now);
            let speed = mean + (last - mean) * fraction_left(at, REPORT_HALF_LIFE, now);
            service.learned + speed - service.reported
        });
        Prediction {
            learned,
            reported,
            trust: self.errors.trust(&service.errors),
            usual: service.learned,
        }
    }
}

/// What is usual among the engines of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Service {
    /// Median of the learned rates.
    learned: f64,
    /// Median of the reported speeds.
    reported: f64,
    /// Errors of all engines.
    errors: Errors,
}

impl Service {
    /// Summarizes the speeds of all engines.
    pub fn new(engines: impl Iterator<Item = Speed>, now: Instant) -> Self {
        let (mut learned, mut reported) = (Vec::new(), Vec::new());
        let mut errors = Errors::default();
        for engine in engines {
            learned.extend(engine.counted(now));
            reported.extend(engine.reported.counted(now));
            errors.learned += engine.errors.learned;
            errors.reported += engine.errors.reported;
            errors.observations += engine.errors.observations;
        }
        Self {
            learned: median(learned).unwrap_or(0.0),
            reported: median(reported).unwrap_or(0.0),
            errors,
        }
    }
}

/// The speed that is expected of an engine, by each source.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Prediction {
    learned: f64,
    reported: Option<f64>,
    /// Weight of the reported speed, from 0 to 1.
    trust: f64,
    /// The usual rate in the service.
    usual: f64,
}

impl Prediction {
    /// The prefill rate to expect, on a scale on which the service's median is
    /// [`Rate::DEFAULT`].
    pub fn rate(&self) -> Rate {
        let reported = self.reported.unwrap_or(self.learned);
        let speed = self.learned + self.trust * (reported - self.learned);
        let deviation = speed - self.usual;
        let beyond_noise = (deviation.abs() - NOISE).clamp(0.0, DEVIATION_MAX);
        Rate(Rate::DEFAULT.0 * beyond_noise.copysign(deviation).exp())
    }
}

/// The upper median; if half of the engines are slow, the others are the usual ones.
fn median(mut values: Vec<f64>) -> Option<f64> {
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// The fraction that is left at `now` of a value that was set at `at` and halves in each
/// `half_life`.
fn fraction_left(at: Instant, half_life: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / half_life.as_secs_f64()).exp2()
}
