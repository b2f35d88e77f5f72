//! Continuous batching: each step adds one token to every running sequence whose
//! prefill is done. A step takes longer the larger the batch is.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use event_listener::Event;
use serde::{Deserialize, Serialize};
use smol::Timer;
use tidepier_ids as ids;

use super::cache::Cache;
use super::orders::Orders;
use crate::faults::Switches;
use crate::group::{Gauge, Group};
use crate::oracle;

/// Time for which a finished sequence can still be read.
const SEQUENCE_RETENTION: Duration = Duration::from_secs(60);

/// Speed and sizes of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Shortest step in microseconds. Default 5500.
    pub step_us: u64,
    /// Added to a step for each running sequence, in microseconds. Default 30.
    pub each_us: u64,
    /// Prompt tokens that one step can prefill. Default 512.
    pub prefill: u64,
    /// Sequences that run at once; more wait. Default 64.
    pub running: usize,
    /// Size of the prefix cache in tokens. Default 200000.
    pub cache_tokens: u64,
    /// Age of a load report in milliseconds. Default 250.
    pub report_lag_ms: u64,
    /// Delay of cache events in milliseconds. Default 500.
    pub event_lag_ms: u64,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            step_us: 5500,
            each_us: 30,
            prefill: 512,
            running: 64,
            cache_tokens: 200_000,
            report_lag_ms: 250,
            event_lag_ms: 500,
        }
    }
}

/// One answer that the engine generates.
#[derive(Debug)]
pub struct Sequence {
    /// The request's id.
    pub id: ids::Request,
    /// The seed of the answer.
    pub seed: u64,
    /// Offset of the first token that this engine generates.
    pub first: u64,
    /// Offset at which the answer ends.
    pub total: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that were cached.
    pub cached: u64,
    /// Tokens of the prompt that the best engine of the model had cached.
    pub best: u64,
    /// Offset up to which tokens have been generated.
    pub made: AtomicU64,
    /// Set when the sequence was cancelled or the engine killed.
    pub aborted: AtomicBool,
    /// Readers attached so far.
    pub readers: AtomicU64,
    /// Notified after each token, and when the sequence is aborted.
    pub progressed: Event,
    hashes: Vec<u64>,
    priority: u8,
}

impl Sequence {
    /// Whether all tokens have been generated.
    pub fn is_complete(&self) -> bool {
        self.made.load(Ordering::SeqCst) >= self.total
    }

    fn finished(&self) -> bool {
        self.is_complete() || self.aborted.load(Ordering::SeqCst)
    }
}

struct Running {
    sequence: Arc<Sequence>,
    prefill: u64,
}

#[derive(Default)]
struct Work {
    waiting: Vec<Arc<Sequence>>,
    running: Vec<Running>,
    known: HashMap<ids::Request, (Arc<Sequence>, Option<Instant>)>,
}

/// The engine's report of its load.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Report {
    /// Sequences that run.
    pub running: u32,
    /// Sequences that wait.
    pub waiting: u32,
    /// Cached tokens.
    pub cached_tokens: u64,
}

/// The caches of all engines of a model. What the best of them holds of a prompt
/// is the upper bound on the tokens that a request could reuse.
#[derive(Debug, Default)]
pub struct Caches(Mutex<Vec<Arc<Mutex<Cache>>>>);

impl Caches {
    /// Tokens of a prompt that the best engine has cached.
    fn best(&self, hashes: &[u64]) -> u64 {
        let caches = lock(&self.0);
        caches
            .iter()
            .map(|cache| lock(cache).hit(hashes))
            .max()
            .unwrap_or(0)
    }
}

/// A model engine.
pub struct Engine {
    /// Its name.
    pub name: ids::Engine,
    /// Its speed and sizes.
    pub spec: Spec,
    /// Faults to inject.
    pub switches: Switches,
    /// Orders accepted.
    pub orders: Mutex<Orders>,
    work: Mutex<Work>,
    cache: Arc<Mutex<Cache>>,
    caches: Arc<Caches>,
    report: Mutex<(Option<Instant>, Report)>,
    wake: Event,
    group: Arc<Group>,
    gauge: Arc<Gauge>,
    /// Requests started, for tests.
    pub started: AtomicU64,
}

/// A request to start a sequence.
pub struct Start {
    /// Its id.
    pub id: ids::Request,
    /// The prompt's text.
    pub prompt: String,
    /// The seed of the answer.
    pub seed: u64,
    /// Offset of the first token to generate.
    pub first: u64,
    /// Offset at which the answer ends.
    pub total: u64,
    /// Lower is served first.
    pub priority: u8,
}

impl Engine {
    /// An idle engine that belongs to `group`, and whose cache is one of
    /// `caches`.
    pub fn new(
        name: ids::Engine,
        spec: Spec,
        checks: bool,
        group: Arc<Group>,
        caches: Arc<Caches>,
    ) -> Arc<Self> {
        let lag = Duration::from_millis(spec.event_lag_ms);
        let cache = Arc::new(Mutex::new(Cache::new(spec.cache_tokens, lag)));
        lock(&caches.0).push(cache.clone());
        let gauge = Arc::new(Gauge::default());
        group.join(&gauge);
        let orders = Orders::new(checks);
        Arc::new(Self {
            name,
            switches: Switches::default(),
            orders: Mutex::new(orders),
            work: Mutex::default(),
            cache,
            caches,
            report: Mutex::default(),
            wake: Event::new(),
            gauge,
            group,
            started: AtomicU64::new(0),
            spec,
        })
    }

    /// Starts a sequence; `None` when the request's id is known already.
    pub fn start(&self, start: Start) -> Option<Arc<Sequence>> {
        let hashes = Cache::block_hashes(&start.prompt);
        let cached = lock(&self.cache).hit(&hashes);
        let best = self.caches.best(&hashes).max(cached);
        let prompt = oracle::tokens(&start.prompt);
        let sequence = Arc::new(Sequence {
            id: start.id,
            seed: start.seed,
            first: start.first,
            total: start.total,
            prompt,
            cached: cached.min(prompt),
            best: best.min(prompt),
            made: AtomicU64::new(start.first),
            aborted: AtomicBool::new(false),
            readers: AtomicU64::new(0),
            progressed: Event::new(),
            hashes,
            priority: start.priority,
        });
        let mut work = lock(&self.work);
        if work.known.contains_key(&start.id) {
            return None;
        }
        work.known.insert(start.id, (sequence.clone(), None));
        work.waiting.push(sequence.clone());
        self.started.fetch_add(1, Ordering::SeqCst);
        self.group.admit(&self.gauge);
        drop(work);
        self.wake.notify(usize::MAX);
        Some(sequence)
    }

    /// The load, for groups.
    pub fn gauge(&self) -> &Arc<Gauge> {
        &self.gauge
    }

    /// The sequence of a request that is in flight, or that ended less than
    /// `SEQUENCE_RETENTION` ago.
    pub fn find(&self, id: ids::Request) -> Option<Arc<Sequence>> {
        lock(&self.work)
            .known
            .get(&id)
            .map(|(sequence, _)| sequence.clone())
    }

    /// Cancels a request, unless a reader with a higher number than `reader` has
    /// attached; whether it was cancelled.
    pub fn cancel(&self, id: ids::Request, reader: u64) -> bool {
        let Some(sequence) = self.find(id) else {
            return false;
        };
        if sequence.readers.load(Ordering::SeqCst) > reader {
            return false;
        }
        sequence.aborted.store(true, Ordering::SeqCst);
        sequence.progressed.notify(usize::MAX);
        true
    }

    /// Drops all sequences and the cache, as a killed process does.
    pub fn reset(&self) {
        let mut work = lock(&self.work);
        for (sequence, ended) in work.known.values() {
            if ended.is_none() {
                sequence.aborted.store(true, Ordering::SeqCst);
                sequence.progressed.notify(usize::MAX);
                self.group.end(&self.gauge);
            }
        }
        *work = Work::default();
        let lag = Duration::from_millis(self.spec.event_lag_ms);
        *lock(&self.cache) = Cache::new(self.spec.cache_tokens, lag);
    }

    /// The load report, delayed: a call shows what an earlier call found.
    pub fn report(&self) -> Report {
        let mut kept = lock(&self.report);
        let lag = Duration::from_millis(self.spec.report_lag_ms);
        let old = kept.0.is_none_or(|at| at.elapsed() >= lag);
        let shown = kept.1.clone();
        if old {
            let work = lock(&self.work);
            let fresh = Report {
                running: work.running.len() as u32,
                waiting: work.waiting.len() as u32,
                cached_tokens: lock(&self.cache).len() as u64 * super::BLOCK_TOKENS,
            };
            *kept = (Some(Instant::now()), fresh);
        }
        shown
    }

    /// The cache, for events, export and import.
    pub fn cache(&self) -> std::sync::MutexGuard<'_, Cache> {
        lock(&self.cache)
    }

    /// Runs one step after another until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let listener = self.wake.listen();
            let batch = self.admit();
            if batch == 0 {
                listener.await;
                continue;
            }
            let micros = self.spec.step_us + self.spec.each_us * batch as u64;
            Timer::after(Duration::from_micros(micros)).await;
            self.switches.wait_while_frozen().await;
            self.step();
        }
    }

    /// Fills the batch from the waiting sequences; returns its size.
    fn admit(&self) -> usize {
        let mut work = lock(&self.work);
        while work.running.len() < self.spec.running && !work.waiting.is_empty() {
            let first = work
                .waiting
                .iter()
                .enumerate()
                .min_by_key(|(_, s)| s.priority);
            let index = first.map_or(0, |(index, _)| index);
            let sequence = work.waiting.remove(index);
            let prefill = sequence.prompt - sequence.cached;
            work.running.push(Running { sequence, prefill });
        }
        work.running.len()
    }

    fn step(&self) {
        let mut work = lock(&self.work);
        let mut budget = self.spec.prefill;
        for running in &mut work.running {
            if running.prefill > 0 {
                let taken = running.prefill.min(budget);
                running.prefill -= taken;
                budget -= taken;
                continue;
            }
            running.sequence.made.fetch_add(1, Ordering::SeqCst);
            running.sequence.progressed.notify(usize::MAX);
        }
        let (ended, running): (Vec<_>, Vec<_>) = work
            .running
            .drain(..)
            .partition(|running| running.sequence.finished());
        work.running = running;
        let now = Instant::now();
        for done in ended {
            self.group.end(&self.gauge);
            lock(&self.cache).store(&done.sequence.hashes);
            if let Some(known) = work.known.get_mut(&done.sequence.id) {
                known.1 = Some(now);
            }
        }
        work.known
            .retain(|_, (_, ended)| ended.is_none_or(|at| now - at < SEQUENCE_RETENTION));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
