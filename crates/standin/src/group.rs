//! The load of a group of engines, such as those of one model in one hall. The
//! bound on load is checked here for every admission.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tidepier_config::document::Load;

/// The bound of an admission follows from the greatest mean load within this
/// time before and after it. The router that chose the engine had counted
/// requests that had not arrived yet, and had not heard of all that had ended.
const MEAN_WINDOW: Duration = Duration::from_millis(250);
/// Interval between samples of the engines' loads.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Samples in one window.
const WINDOW_SAMPLES: usize = 20;

/// The load of one engine: the number of its requests in flight.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU32);

impl Gauge {
    /// Requests in flight.
    pub fn get(&self) -> u32 {
        self.0.load(Ordering::SeqCst)
    }
}

#[derive(Debug, Default)]
struct State {
    /// Mean load of the engines after each admission and each end of a request.
    means: VecDeque<(Instant, f64)>,
    /// Admissions whose `MEAN_WINDOW` has not passed, with the engine's load.
    pending: VecDeque<(Instant, u32)>,
    admissions: u64,
    broken: u64,
    worst: f64,
    samples: Vec<Vec<u32>>,
    windows: Vec<f64>,
}

/// What a group has measured.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Measured {
    /// Requests admitted.
    pub admissions: u64,
    /// Admissions over the bound.
    pub broken: u64,
    /// Greatest ratio of load to bound at an admission.
    pub worst: f64,
    /// Ratio of the greatest load of an engine to the mean load, for each
    /// one-second window.
    pub windows: Vec<f64>,
}

/// A group of engines.
#[derive(Debug)]
pub struct Group {
    load: Load,
    gauges: Mutex<Vec<Arc<Gauge>>>,
    state: Mutex<State>,
}

impl Group {
    /// A group without engines, with the bound that the document declares.
    pub fn new(load: Load) -> Arc<Self> {
        Arc::new(Self {
            load,
            gauges: Mutex::default(),
            state: Mutex::default(),
        })
    }

    /// Adds an engine by its gauge. An engine may be in several groups.
    pub fn join(&self, gauge: &Arc<Gauge>) {
        lock(&self.gauges).push(gauge.clone());
    }

    /// Counts an admission at `gauge`; its bound is checked once
    /// `MEAN_WINDOW` has passed.
    pub fn admit(&self, gauge: &Gauge) {
        let mine = gauge.0.fetch_add(1, Ordering::SeqCst) + 1;
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.admissions += 1;
        state.pending.push_back((now, mine));
        state.means.push_back((now, self.mean()));
        self.check(&mut state, now);
    }

    /// Counts the end of a request.
    pub fn end(&self, gauge: &Gauge) {
        gauge.0.fetch_sub(1, Ordering::SeqCst);
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.means.push_back((now, self.mean()));
        self.check(&mut state, now);
    }

    fn mean(&self) -> f64 {
        let gauges = lock(&self.gauges);
        let running: u32 = gauges.iter().map(|gauge| gauge.get()).sum();
        f64::from(running) / gauges.len().max(1) as f64
    }

    /// Checks the admissions whose `MEAN_WINDOW` has passed.
    fn check(&self, state: &mut State, now: Instant) {
        while let Some((at, mine)) = state.pending.front().copied() {
            if now - at < MEAN_WINDOW {
                break;
            }
            state.pending.pop_front();
            let near = state
                .means
                .iter()
                .filter(|(when, _)| *when + MEAN_WINDOW >= at && *when <= at + MEAN_WINDOW);
            let mean = near.map(|(_, mean)| *mean).fold(0.0, f64::max);
            let bound = (self.load.multiple * mean)
                .ceil()
                .max(f64::from(self.load.floor));
            state.broken += u64::from(f64::from(mine) > bound);
            state.worst = state.worst.max(f64::from(mine) / bound);
        }
        while state
            .means
            .front()
            .is_some_and(|(when, _)| now - *when > 3 * MEAN_WINDOW)
        {
            state.means.pop_front();
        }
    }

    /// Samples the loads until the task is dropped.
    pub async fn sample(self: Arc<Self>) {
        loop {
            smol::Timer::after(SAMPLE_INTERVAL).await;
            let loads: Vec<u32> = lock(&self.gauges).iter().map(|g| g.get()).collect();
            let mut state = lock(&self.state);
            state.samples.push(loads);
            if state.samples.len() >= WINDOW_SAMPLES {
                let samples = std::mem::take(&mut state.samples);
                if let Some(skew) = skew(&samples) {
                    state.windows.push(skew);
                }
            }
        }
    }

    /// What was measured since the last call.
    pub fn take(&self) -> Measured {
        let state = std::mem::take(&mut *lock(&self.state));
        Measured {
            admissions: state.admissions,
            broken: state.broken,
            worst: state.worst,
            windows: state.windows,
        }
    }
}

/// Ratio of the greatest to the mean load of the engines in one window; `None`
/// for a window with less than one request per engine on average, in which the
/// ratio only reflects rounding.
fn skew(samples: &[Vec<u32>]) -> Option<f64> {
    let engines = samples.first()?.len();
    let sum = |engine: usize| -> f64 {
        let load = |sample: &Vec<u32>| f64::from(sample.get(engine).copied().unwrap_or(0));
        samples.iter().map(load).sum()
    };
    let sums: Vec<f64> = (0..engines).map(sum).collect();
    let mean = sums.iter().sum::<f64>() / engines as f64;
    let worst = sums.iter().copied().fold(0.0, f64::max);
    (mean >= samples.len() as f64).then(|| worst / mean)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
