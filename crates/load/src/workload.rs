//! Simulated clients that send new chats and continue earlier ones, through all
//! routers, at a set rate.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use smol::{Task, Timer};
use tidepier_http::client::Pool;

use crate::caller::{self, Outcome};
use crate::chats::{Maker, Returning, Shape};
use crate::tally::{Placement, Summary, Tally};

/// Longest wait for a `Retry-After`, in seconds, so that a run ends.
const RETRY_AFTER_MAX: u64 = 10;

/// What callers do.
#[derive(Debug, Clone, clap::Args)]
pub struct Plan {
    /// Routers.
    #[arg(long, required = true, value_delimiter = ',')]
    pub routers: Vec<SocketAddr>,
    /// The model.
    #[arg(long, default_value = "linen")]
    pub model: String,
    /// Probability that a request continues an earlier chat.
    #[arg(long, default_value_t = 0.7)]
    pub returning: f64,
    /// Chats that may return; the oldest are forgotten.
    #[arg(long, default_value_t = 2000)]
    pub memory: usize,
    /// The seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Shape of the chats.
    #[command(flatten)]
    pub shape: Shape,
}

struct Kept {
    returning: Returning,
    engine: String,
}

struct Shared {
    plan: Plan,
    pool: Pool,
    maker: Mutex<Maker>,
    kept: Mutex<Vec<Kept>>,
    tally: Mutex<Tally>,
    /// When an engine was last killed.
    killed: Mutex<HashMap<String, Instant>>,
}

/// A set of callers.
pub struct Workload {
    shared: Arc<Shared>,
    callers: Vec<Task<()>>,
    begun: Mutex<Instant>,
}

impl Workload {
    /// Starts `callers` callers with the keys of their accounts, who together
    /// make `rate` requests a second (0: as fast as they can) until `end`.
    ///
    /// # Errors
    ///
    /// The tally cannot be made.
    pub fn start(
        plan: &Plan,
        keys: &[String],
        callers: usize,
        rate: f64,
        end: Instant,
    ) -> eyre::Result<Self> {
        let maker = Maker::new(plan.seed, &plan.shape, &plan.model, keys.to_vec());
        let shared = Arc::new(Shared {
            plan: plan.clone(),
            pool: Pool::new(),
            maker: Mutex::new(maker),
            kept: Mutex::default(),
            tally: Mutex::new(Tally::new()?),
            killed: Mutex::default(),
        });
        let begun = Instant::now();
        let pause = match rate > 0.0 {
            true => Duration::from_secs_f64(callers as f64 / rate),
            false => Duration::ZERO,
        };
        let caller = |index: usize| {
            let offset = pause.mul_f64(index as f64 / callers.max(1) as f64);
            smol::spawn(run(shared.clone(), index, begun + offset, pause, end))
        };
        let callers = (0..callers).map(caller).collect();
        Ok(Self {
            shared,
            callers,
            begun: Mutex::new(begun),
        })
    }

    /// The summary since the last call, or the start.
    ///
    /// # Errors
    ///
    /// The next tally cannot be made.
    pub fn take(&self) -> eyre::Result<Summary> {
        let fresh = Tally::new()?;
        let tally = std::mem::replace(&mut *lock(&self.shared.tally), fresh);
        let mut begun = lock(&self.begun);
        let took = begun.elapsed();
        *begun = Instant::now();
        Ok(tally.summary(took))
    }

    /// Records that an engine is killed now, so that its chats have to move to
    /// other engines.
    pub fn killed(&self, engine: &str) {
        lock(&self.shared.killed).insert(engine.into(), Instant::now());
    }

    /// Waits for the callers to end.
    pub async fn finish(&mut self) {
        for caller in self.callers.drain(..) {
            caller.await;
        }
    }
}

async fn run(shared: Arc<Shared>, index: usize, start: Instant, pause: Duration, end: Instant) {
    let mut due = start;
    while Instant::now() < end && due < end {
        Timer::at(due).await;
        due += pause;
        let (returning, engine, router) = next(&shared, index);
        let began = Instant::now();
        let routers = &shared.plan.routers;
        let outcome = caller::ask(&shared.pool, routers, router, &returning.chat).await;
        let placed = placement(&shared, &engine, &outcome, began);
        lock(&shared.tally).count(&outcome, placed);
        let wait = outcome
            .refused
            .as_ref()
            .and_then(|refused| refused.retry_after);
        keep(&shared, returning, engine, outcome);
        if let Some(seconds) = wait {
            Timer::after(Duration::from_secs(seconds.min(RETRY_AFTER_MAX))).await;
        }
    }
}

fn next(shared: &Shared, index: usize) -> (Returning, String, usize) {
    let mut maker = lock(&shared.maker);
    let mut kept = lock(&shared.kept);
    let router = maker.below(shared.plan.routers.len()) + index;
    let returns = !kept.is_empty() && maker.happens(shared.plan.returning);
    if !returns {
        return (maker.begin(), String::new(), router);
    }
    // The smaller of two random numbers: recent chats continue most often.
    let back = maker.below(kept.len()).min(maker.below(kept.len()));
    let index = kept.len() - 1 - back;
    let kept = kept.remove(index);
    (kept.returning, kept.engine, router)
}

fn placement(shared: &Shared, engine: &str, outcome: &Outcome, began: Instant) -> Placement {
    if engine.is_empty() || !outcome.whole || outcome.engine == engine {
        return Placement::Same;
    }
    let killed = lock(&shared.killed);
    let recently = |at: &Instant| began.saturating_duration_since(*at) < Duration::from_secs(600);
    match killed.get(engine).is_some_and(recently) {
        true => Placement::Forced,
        false => Placement::Moved,
    }
}

fn keep(shared: &Shared, mut returning: Returning, engine: String, outcome: Outcome) {
    let engine = match outcome.whole {
        true => {
            lock(&shared.maker).grow(&mut returning);
            outcome.engine
        }
        // A chat without a complete answer is sent again unchanged.
        false => engine,
    };
    let mut kept = lock(&shared.kept);
    kept.push(Kept { returning, engine });
    if kept.len() > shared.plan.memory {
        kept.remove(0);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
