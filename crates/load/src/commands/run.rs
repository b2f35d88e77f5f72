//! `tidepier-load run`: many returning chats for a while.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use smol::Timer;
use tidepier_errors::Ran;
use tidepier_http::client::Pool;

use crate::caller::{self, Outcome};
use crate::chats::{Maker, Returning, Shape};

/// Runs many callers whose chats return, and checks every answer.
#[derive(clap::Args)]
pub struct Command {
    /// Routers.
    #[arg(long, required = true, value_delimiter = ',')]
    routers: Vec<SocketAddr>,
    /// Bearer keys of the accounts.
    #[arg(long, required = true, value_delimiter = ',')]
    keys: Vec<String>,
    /// The model.
    #[arg(long, default_value = "linen")]
    model: String,
    /// Callers at once.
    #[arg(long, default_value_t = 50)]
    callers: usize,
    /// Requests a second over all callers; 0 is as fast as they can.
    #[arg(long, default_value_t = 0.0)]
    rate: f64,
    /// Seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Probability that a request continues an earlier chat.
    #[arg(long, default_value_t = 0.7)]
    returning: f64,
    /// Chats that may return; the oldest are forgotten.
    #[arg(long, default_value_t = 2000)]
    memory: usize,
    /// The seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    shape: Shape,
}

/// What a run came to.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    /// Requests made.
    pub requests: u64,
    /// Answers that were whole and right.
    pub whole: u64,
    /// Final refusals.
    pub refused: u64,
    /// Refusals that say that nothing ran.
    pub refused_not_run: u64,
    /// Requests that got no final, true answer.
    pub lost: u64,
    /// Tokens that were wrong.
    pub wrong_tokens: u64,
    /// Times that callers came back through another router.
    pub returns: u64,
    /// Requests a second.
    pub rate: f64,
    /// Milliseconds to the first token.
    pub first_ms: Quantiles,
    /// Milliseconds between tokens.
    pub between_ms: Quantiles,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Share of prompt tokens that were cached.
    pub reuse: f64,
    /// Share of prompt tokens that the best engine had cached.
    pub reuse_best: f64,
    /// The first troubles, in words.
    pub troubles: Vec<String>,
}

/// Quantiles of a time.
#[derive(Debug, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th.
    pub p95: f64,
    /// 99th.
    pub p99: f64,
}

struct Tally {
    summary: Summary,
    cached: u64,
    best: u64,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

struct Shared {
    maker: Mutex<(Maker, Vec<Returning>)>,
    tally: Mutex<Tally>,
    pool: Pool,
}

/// Longest recorded time, in microseconds.
pub const HIGHEST_US: u64 = 600_000_000;
/// Troubles kept in words.
const TROUBLES: usize = 5;

impl Command {
    /// Runs the load and prints one JSON line.
    ///
    /// # Errors
    ///
    /// The summary cannot be printed.
    pub fn execute(&self) -> eyre::Result<()> {
        let summary = smol::block_on(self.run())?;
        println!("{}", serde_json::to_string(&summary)?);
        Ok(())
    }

    async fn run(&self) -> eyre::Result<Summary> {
        let maker = Maker::new(self.seed, &self.shape, &self.model, self.keys.clone());
        let shared = Arc::new(Shared {
            maker: Mutex::new((maker, Vec::new())),
            tally: Mutex::new(Tally {
                summary: Summary::default(),
                cached: 0,
                best: 0,
                first: Histogram::new_with_max(HIGHEST_US, 3)?,
                between: Histogram::new_with_max(HIGHEST_US, 3)?,
            }),
            pool: Pool::new(),
        });
        let begun = Instant::now();
        let end = begun + Duration::from_secs(self.seconds);
        let callers = (0..self.callers).map(|index| {
            let pause = match self.rate > 0.0 {
                true => Duration::from_secs_f64(self.callers as f64 / self.rate),
                false => Duration::ZERO,
            };
            let caller = Caller {
                shared: shared.clone(),
                routers: self.routers.clone(),
                index,
                start: begun + pause.mul_f64(index as f64 / self.callers as f64),
                pause,
                end,
                returning: self.returning,
                memory: self.memory,
            };
            smol::spawn(caller.run())
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            caller.await;
        }
        let tally = lock(&shared.tally);
        Ok(summary(&tally, begun.elapsed()))
    }
}

struct Caller {
    shared: Arc<Shared>,
    routers: Vec<SocketAddr>,
    index: usize,
    start: Instant,
    pause: Duration,
    end: Instant,
    returning: f64,
    memory: usize,
}

impl Caller {
    async fn run(self) {
        let mut due = self.start;
        while Instant::now() < self.end && due < self.end {
            Timer::at(due).await;
            due += self.pause;
            let (returning, router) = self.next();
            let asked = caller::ask(&self.shared.pool, &self.routers, router, &returning.chat);
            let outcome = asked.await;
            self.keep(returning, &outcome);
            count(&self.shared, &outcome);
        }
    }

    fn next(&self) -> (Returning, usize) {
        let mut guard = lock(&self.shared.maker);
        let (maker, kept) = &mut *guard;
        let router = maker.below(self.routers.len()) + self.index;
        let returns = !kept.is_empty() && maker.happens(self.returning);
        if !returns {
            return (maker.begin(), router);
        }
        // Recent chats return most.
        let back = maker.below(kept.len()).min(maker.below(kept.len()));
        let index = kept.len() - 1 - back;
        (kept.remove(index), router)
    }

    fn keep(&self, mut returning: Returning, outcome: &Outcome) {
        if !outcome.whole {
            return;
        }
        let mut guard = lock(&self.shared.maker);
        let (maker, kept) = &mut *guard;
        maker.grow(&mut returning);
        kept.push(returning);
        if kept.len() > self.memory {
            kept.remove(0);
        }
    }
}

fn count(shared: &Shared, outcome: &Outcome) {
    let mut tally = lock(&shared.tally);
    let Tally {
        summary,
        cached,
        best,
        first,
        between,
    } = &mut *tally;
    summary.requests += 1;
    summary.whole += u64::from(outcome.whole);
    summary.wrong_tokens += outcome.wrong;
    summary.returns += u64::from(outcome.returns);
    match &outcome.refused {
        Some(refused) => {
            summary.refused += 1;
            summary.refused_not_run += u64::from(refused.ran == Ran::No);
        }
        None if !outcome.whole => summary.lost += 1,
        None => {}
    }
    if !outcome.whole && summary.troubles.len() < TROUBLES {
        summary
            .troubles
            .push(format!("{:?} {:?}", outcome.refused, outcome.trouble));
    }
    summary.prompt_tokens += outcome.prompt;
    *cached += outcome.cached;
    *best += outcome.best;
    let micros = |time: Duration| time.as_micros() as u64;
    if let Some(time) = outcome.first {
        first.saturating_record(micros(time));
    }
    for time in &outcome.between {
        between.saturating_record(micros(*time));
    }
}

fn summary(tally: &Tally, took: Duration) -> Summary {
    let of = &tally.summary;
    let prompt = of.prompt_tokens.max(1) as f64;
    Summary {
        requests: of.requests,
        whole: of.whole,
        refused: of.refused,
        refused_not_run: of.refused_not_run,
        lost: of.lost,
        wrong_tokens: of.wrong_tokens,
        returns: of.returns,
        prompt_tokens: of.prompt_tokens,
        rate: of.requests as f64 / took.as_secs_f64(),
        first_ms: quantiles(&tally.first),
        between_ms: quantiles(&tally.between),
        reuse: tally.cached as f64 / prompt,
        reuse_best: tally.best as f64 / prompt,
        troubles: of.troubles.clone(),
    }
}

/// Quantiles of a histogram of microseconds, in milliseconds.
pub fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Quantiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
