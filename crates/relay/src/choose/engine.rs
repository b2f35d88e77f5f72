//! What a prompt costs at each model engine of a service.
//!
//! A cost is an estimate in milliseconds: of reading or copying what the engine
//! lacks of the prompt, of what waits and runs there, of its load beyond the
//! operator's bound, and of answers that begin late.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tidepier_core::request::Prompt;

use super::{cheapest, common, is_open, Ask, Choice};
use crate::fleet::Backend;
use crate::places::Places;

/// Tokens that a model engine reads in a ms, when nothing better is known:
/// measured engines read 38 to 43.
const READ_TOKENS_PER_MS: f64 = 40.0;
/// What reading a token of a shared part again costs beside the time of its
/// own request, in ms: all that runs beside it is held up, and the users price
/// it. Worked out from the prices of the users' sites: 1,000 tokens cost a
/// fifth of a mean request, which is worth a wait of some 400 ms.
const READ_AGAIN_MS: f64 = 0.07;
/// The same for copying a token's memory from another engine: 28 in 100 of it.
const COPY_MS: f64 = 0.02;
/// Cost of each request that runs at an engine, in ms: steps grow slower.
const RUNNING_MS: f64 = 0.5;
/// Cost of each request past an engine's slots, in ms.
const WAITING_MS: f64 = 40.0;
/// Cost of each request past [`BOUND_PART`] of the bound on the load of one
/// server, in ms: what a copied prompt costs is borne for two of them.
const EXCESS_MS: f64 = 100.0;
/// The same past the bound itself: two of them outweigh reading the prompts of
/// a subject anew at another server.
const BROKEN_MS: f64 = 400.0;
/// Part of the operator's factor at which a server counts as crowded: reported
/// loads are late.
const BOUND_PART: f64 = 0.8;
/// Requests over the factor times the mean that are always borne: the users'
/// bound has three.
const BOUND_EXTRA: f64 = 2.0;
/// An engine counts as slow when its answers begin later than this many times
/// the usual time, plus [`SLOW_EXTRA_MS`]: one long prompt is no slowness.
const SLOW_FACTOR: f64 = 2.0;
/// See [`SLOW_FACTOR`].
const SLOW_EXTRA_MS: f64 = 150.0;
/// Most that slowness costs, in ms.
const SLOW_MOST_MS: f64 = 1_500.0;
/// Age after which counts of other boxes' requests are no longer used.
const COUNT_AGE: Duration = Duration::from_millis(1_500);
/// Age after which a reported load is no longer used.
const LOAD_AGE: Duration = Duration::from_secs(3);

/// The engines of a service as one prompt finds them.
pub(super) struct Engines<'a> {
    servers: &'a [Rc<Backend>],
    ask: &'a Ask<'a>,
    places: &'a Places<'a>,
    /// Tokens of the prompt that no other request shares.
    own: f64,
    /// Load of each server.
    loads: Vec<f64>,
    crowd: Crowd,
    /// Usual time to an answer's beginning, in ms, if one is known.
    usual_ms: Option<f64>,
    /// Mean share of failures at these servers.
    failing: f64,
    now: Instant,
}

impl<'a> Engines<'a> {
    pub(super) fn new(
        servers: &'a [Rc<Backend>],
        ask: &'a Ask<'a>,
        prompt: &Prompt,
        places: &'a Places<'a>,
        failing: f64,
        now: Instant,
    ) -> Self {
        let (loads, mean) = loads(servers, now);
        let own = prompt.parts.last().map_or(prompt.input, |part| part.tokens);
        Self {
            servers,
            ask,
            places,
            own: f64::from(own),
            loads,
            crowd: Crowd::new(ask.crowd_factor, mean),
            usual_ms: usual_time(servers, now),
            failing,
            now,
        }
    }

    /// The cheapest of the engines that may be asked.
    pub(super) fn cheapest(&self) -> Option<Choice> {
        let engines = self.servers.iter().zip(&self.loads);
        let open = engines.filter(|(backend, _)| is_open(backend, self.ask));
        let mut choice = cheapest(open.map(|(backend, load)| self.choice(backend, *load)))?;
        if self.ask.copy_ms.is_some() {
            choice.copy_from = self.places.source(choice.backend.key).cloned();
        }
        Some(choice)
    }

    fn choice(&self, backend: &Rc<Backend>, load: f64) -> Choice {
        let key = backend.key;
        let lack = self.places.lacking(key);
        let read_again = 1.0 / READ_TOKENS_PER_MS + READ_AGAIN_MS;
        let (shared, read) = match self.ask.copy_ms {
            Some(ms) => (
                lack.copied * (ms + COPY_MS) + lack.read * read_again,
                lack.read,
            ),
            None => (lack.tokens() * read_again, lack.tokens()),
        };
        let unproven = f64::from(self.places.unproven(key));
        Choice {
            backend: backend.clone(),
            cost: self.cost(shared, backend, load),
            load,
            rank: self.places.rank(key),
            reading: reading_time(self.own + unproven),
            read: self.own + read,
            copy_from: None,
        }
    }

    /// The whole cost, given that of the prompt's shared parts, in ms.
    fn cost(&self, shared: f64, backend: &Rc<Backend>, load: f64) -> f64 {
        let queued = backend.prefill() as f64;
        let slots = f64::from(backend.slots());
        // Of equal costs, chance decides.
        let jitter = fastrand::f64();
        shared
            + (self.own + queued) / READ_TOKENS_PER_MS
            + RUNNING_MS * load
            + WAITING_MS * (load - slots).max(0.0)
            + self.crowd.cost(load)
            + slowness(backend, self.usual_ms, self.now)
            + jitter
            + common(backend, self.ask, self.failing, self.now)
    }
}

/// What a crowded server costs.
struct Crowd {
    /// Load from which a server counts as crowded.
    soft: f64,
    /// Load from which it is at the operator's bound.
    hard: f64,
}

impl Crowd {
    /// `factor`: the operator's bound in multiples of the mean load.
    fn new(factor: f64, mean: f64) -> Self {
        Self {
            soft: BOUND_PART * factor * mean + BOUND_EXTRA,
            hard: factor * mean + BOUND_EXTRA,
        }
    }

    /// The cost at a load, in ms.
    fn cost(&self, load: f64) -> f64 {
        EXCESS_MS * (load - self.soft).max(0.0) + BROKEN_MS * (load - self.hard).max(0.0)
    }
}

/// Time in which an engine reads so many tokens.
fn reading_time(tokens: f64) -> Duration {
    Duration::from_secs_f64(tokens / READ_TOKENS_PER_MS / 1e3)
}

/// The load of each server, and the mean of those that can be reached. Where
/// none was reported lately, the mean stands for it.
fn loads(servers: &[Rc<Backend>], now: Instant) -> (Vec<f64>, f64) {
    let counted = |backend: &Rc<Backend>| backend.counted(COUNT_AGE, now).map(f64::from);
    let reported: Vec<Option<f64>> = servers
        .iter()
        .map(|backend| backend.load(LOAD_AGE).map(f64::from))
        .collect();
    let reached = servers
        .iter()
        .zip(&reported)
        .filter(|(backend, _)| backend.is_usable(now));
    let known: Vec<f64> = reached.filter_map(|(_, reported)| *reported).collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    let or_mean = |(backend, reported): (&Rc<Backend>, Option<f64>)| {
        let known = reported
            .into_iter()
            .chain(counted(backend))
            .reduce(f64::max);
        known.unwrap_or_else(|| mean.max(f64::from(backend.own())))
    };
    (servers.iter().zip(reported).map(or_mean).collect(), mean)
}

/// The median time to an answer's beginning, in ms, of servers that answered
/// lately.
fn usual_time(servers: &[Rc<Backend>], now: Instant) -> Option<f64> {
    let times = servers
        .iter()
        .filter_map(|backend| backend.health.recent_ms(now));
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}

/// What a server's answers have lately taken beyond what is usual, in ms.
fn slowness(backend: &Rc<Backend>, usual_ms: Option<f64>, now: Instant) -> f64 {
    let times = backend.health.recent_ms(now).zip(usual_ms);
    let excess = times.map_or(0.0, |(own, usual)| {
        own - SLOW_FACTOR * usual - SLOW_EXTRA_MS
    });
    excess.clamp(0.0, SLOW_MOST_MS)
}
