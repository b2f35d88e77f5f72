//! The speed of engines as learned from their answers and from what they report.

use std::time::Duration;

use tidepier_admission::speed::{Prediction, Rate, Service, Speed, Summary, Work};
use tidepier_clock::Instant;
use tidepier_core::answer::Slowdown;

/// Prompt tokens of each request.
const TOKENS: f64 = 800.0;
/// Part of the time to the first event that is the same at every engine.
const FIXED_MS: f64 = 30.0;
/// Time between two answers of an engine.
const INTERVAL: Duration = Duration::from_millis(500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Eight engines of which the first one takes `slowdown` times as long as the others.
struct Engines {
    speeds: [Speed; 8],
    slowdown: f64,
    now: Instant,
}

impl Engines {
    fn new(slowdown: f64) -> Self {
        let speeds = [Speed::default(); 8];
        let now = Instant::now();
        Self {
            speeds,
            slowdown,
            now,
        }
    }

    fn predict(&self, engine: usize) -> Prediction {
        let service = Service::new(self.speeds.iter().copied(), self.now);
        self.speeds[engine].predict(&service, self.now)
    }

    fn rate(&self, engine: usize) -> Rate {
        self.predict(engine).rate()
    }

    /// Lets all engines answer this many requests; the first one reports a slowdown.
    fn answer(&mut self, count: usize, reported: Option<u32>) {
        for _ in 0..count {
            for engine in 0..8 {
                let slowdown = if engine == 0 { self.slowdown } else { 1.0 };
                let took = FIXED_MS + slowdown * Rate::DEFAULT.time_ms(TOKENS);
                self.record(engine, TOKENS, TOKENS, took);
                let reported = reported.map(|first| if engine == 0 { first } else { 100 });
                if let Some(slowdown) = reported.and_then(Slowdown::new) {
                    self.speeds[engine].report(slowdown, self.now);
                }
            }
            self.now += INTERVAL;
        }
    }

    fn record(&mut self, engine: usize, tokens_min: f64, tokens_max: f64, took_ms: f64) {
        let work = Work {
            tokens_min,
            tokens_max,
            running: 0.0,
        };
        let predicted = self.predict(engine);
        let took = Duration::from_secs_f64(took_ms / 1e3);
        self.speeds[engine].record(work, &predicted, took, self.now);
    }
}

/// Whether an engine is expected to take about this many times as long as the others.
fn is_about(rate: Rate, slowdown: f64) -> bool {
    (0.6..1.6).contains(&(rate.slowness() / slowdown))
}

/// Guards against choices that change for the fixed part of the time, or where nothing is
/// known.
#[test]
fn engines_of_equal_speed_have_the_default_rate() {
    let mut engines = Engines::new(1.0);
    assert_eq!(engines.rate(0), Rate::DEFAULT);
    engines.answer(20, Some(100));
    (0..8).for_each(|engine| assert_eq!(engines.rate(engine), Rate::DEFAULT));
    engines.speeds[3] = Speed::default();
    assert_eq!(
        engines.rate(3),
        Rate::DEFAULT,
        "nothing known of one engine"
    );
}

/// Guards against a slow engine that goes unnoticed, and against one that is avoided for
/// good after it was slow.
#[test]
fn a_slow_engine_is_known_until_its_answers_are_old() {
    let mut engines = Engines::new(6.0);
    engines.answer(20, None);
    // The fixed part hides some of the difference.
    let rate = engines.rate(0);
    assert!(is_about(rate, 3.0), "{rate}");
    assert_eq!(engines.rate(1), Rate::DEFAULT);
    engines.now += ms(60_000);
    assert_eq!(engines.rate(0), Rate::DEFAULT, "after a minute");
    engines.slowdown = 1.0;
    engines.answer(10, None);
    assert_eq!(engines.rate(0), Rate::DEFAULT, "after it has recovered");
}

/// Guards against one request that waited behind a long prompt, and against a prompt that
/// perhaps was cached.
#[test]
fn single_and_uncertain_answers_count_little() {
    let mut engines = Engines::new(1.0);
    engines.answer(20, None);
    engines.record(0, TOKENS, TOKENS, 10_000.0);
    assert!(is_about(engines.rate(0), 1.0), "{}", engines.rate(0));
    let before = engines.predict(1);
    engines.record(1, 80.0, 6_000.0, 150.0);
    assert_eq!(engines.predict(1), before);
    engines.record(1, 0.0, 0.0, 150.0);
    assert_eq!(engines.predict(1), before, "no work");
}

/// Guards against a report that is used when it is old, or although answers contradict it.
#[test]
fn a_report_counts_while_it_is_new_and_as_far_as_it_is_right() {
    let mut engines = Engines::new(1.0);
    engines.answer(10, Some(100));
    let slow = Slowdown::new(400).unwrap_or(Slowdown::USUAL);
    engines.speeds[0].report(slow, engines.now);
    let new = engines.rate(0);
    engines.now += ms(1_500);
    let old = engines.rate(0);
    assert!(new.slowness() > 1.4, "{new}");
    assert!(old.slowness() < 1.0 + (new.slowness() - 1.0) / 2.0, "{old}");
    // Of an engine that changes all the time, right reports count more and more.
    let mut changing = Engines::new(1.0);
    changing.answer(10, Some(100));
    let mut rates = [Rate::DEFAULT; 2];
    for round in 0..40 {
        let is_slow = round % 2 == 1;
        let hundredths = if is_slow { 300 } else { 100 };
        let now = changing.now;
        changing.speeds[1..]
            .iter_mut()
            .for_each(|it| it.report(Slowdown::USUAL, now));
        changing.speeds[0].report(Slowdown::new(hundredths).unwrap_or(slow), now);
        rates[usize::from(is_slow)] = changing.rate(0);
        changing.record(0, TOKENS, TOKENS, if is_slow { 150.0 } else { 50.0 });
        changing.now += INTERVAL;
    }
    let [fast, slow] = rates;
    assert!(slow.slowness() > 1.7 * fast.slowness(), "{fast}, {slow}");
    // Wrong ones count less and less.
    let mut wrong = Engines::new(1.0);
    wrong.answer(20, Some(400));
    assert!(is_about(wrong.rate(0), 1.0), "{}", wrong.rate(0));
}

/// Guards against boxes that know nothing of an engine that others know, and that go on
/// believing them when reports cease.
#[test]
fn what_other_boxes_learned_counts_while_they_report() {
    let mut engines = Engines::new(6.0);
    engines.answer(20, None);
    let mut others = Engines::new(1.0);
    others.now = engines.now;
    let summaries = engines.speeds.map(|speed| speed.summary(engines.now));
    for (speed, own) in others.speeds.iter_mut().zip(summaries) {
        let mut sum = Summary::default();
        sum.add(&own);
        sum.add(&own);
        sum.subtract(&own);
        assert_eq!(sum, own);
        speed.set_others(sum, others.now);
    }
    let rate = others.rate(0);
    assert!(is_about(rate, 3.0), "{rate}");
    others.now += ms(1_500);
    assert_eq!(others.rate(0), Rate::DEFAULT);
}
