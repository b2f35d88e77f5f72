//! Which server gets a request.
//!
//! Every candidate has an estimated cost in milliseconds: what must be read of
//! its prompt there, what waits before it, how far it is, how often it failed.
//! The cheapest gets the request. Boxes agree without talking on where a
//! subject's prompts are kept: by rendezvous hash of the subject over the
//! servers, corrected by what this box itself has sent where.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tidepier_core::request::Prompt;
use tidepier_ids as ids;

use crate::fleet::{Backend, Fleet};
use crate::places::{Memory, Places};

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
/// Cost of a server in another hall, in ms: the way there, and the price of
/// bytes between halls.
const OTHER_HALL_MS: f64 = 12.0;
/// The same for each token of an expected answer: a stream between halls is
/// paid for by the byte, and breaks when one of them is cut off.
const OTHER_HALL_TOKEN_MS: f64 = 0.1;
/// Cost of a server at which every request failed, in ms, if the others are
/// well.
const FAILING_MS: f64 = 2_000.0;
/// Share of failures above the others' mean that is no evidence.
const FAILING_SLACK: f64 = 0.15;
/// Cost of a server in a hall that seems to be cut off, in ms: over that of
/// reading the longest prompts elsewhere.
const SILENT_HALL_MS: f64 = 3_000.0;
/// Cost of a server that is left out for its failures, in ms: taken only when
/// there is no other.
const LEFT_OUT_MS: f64 = 1e6;
/// Cost of a server that has been tried for this request already.
const TRIED_MS: f64 = 1e7;
/// Weight of a request that another box of this hall has under way: those of
/// other halls are not counted, and are about as many in each.
const OTHERS_WEIGHT: f64 = 2.0;
/// Age after which such counts are no longer used.
const COUNT_AGE: Duration = Duration::from_millis(1_500);
/// Age after which a reported load is no longer used.
const LOAD_AGE: Duration = Duration::from_secs(3);
/// Time to an answer of a plain service's server before one is known, in ms.
const PLAIN_MS: f64 = 60.0;

/// What is to be placed.
pub struct Ask<'a> {
    /// The prompt, at a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Time in ms to copy a token's memory between engines, where they can.
    pub copy_ms: Option<f64>,
    /// Servers that this request was sent to already.
    pub tried: &'a [ids::Server],
    /// The hall of this box.
    pub hall: &'a ids::Hall,
    /// Most connections of this box to one server.
    pub connections: u32,
    /// The operator's bound on one server's load, in multiples of the mean.
    pub crowd_factor: f64,
}

/// The server chosen, and why.
pub struct Choice {
    /// The server.
    pub backend: Rc<Backend>,
    /// Its estimated cost in ms.
    pub cost: f64,
    /// Requests estimated to be at the server.
    pub load: f64,
    /// Tokens of the prompt that it is estimated to read.
    pub read: f64,
    /// Time in which it may read the prompt, if it keeps no part that this box
    /// has not sent there: so much of its answer's delay is no slowness.
    pub reading: Duration,
    /// Its place in the order of the prompt's subject, if it is among the first.
    pub rank: Option<usize>,
    /// The engine from which it is to copy what it does not keep.
    pub copy_from: Option<Rc<Backend>>,
}

/// The cheapest of a service's servers; `None` when there is none that may be
/// asked.
pub fn choose(
    fleet: &Fleet,
    service: &ids::Service,
    ask: &Ask<'_>,
    memory: &Memory,
    now: Instant,
) -> Option<Choice> {
    let servers = fleet.serving(service);
    let failing = mean_failing(&servers);
    let open = |backend: &&Rc<Backend>| backend.own() < ask.connections;
    match ask.prompt {
        Some(prompt) => {
            let places = Places::new(fleet, service, prompt, ask.hall, memory, ask.tried, now);
            choose_engine(&servers, ask, prompt, &places, failing, now)
        }
        None => servers
            .iter()
            .filter(open)
            .map(|backend| plain(backend, ask, failing, now))
            .min_by(|a, b| a.cost.total_cmp(&b.cost)),
    }
}

fn plain(backend: &Rc<Backend>, ask: &Ask<'_>, failing: f64, now: Instant) -> Choice {
    let load = f64::from(backend.own());
    let time = backend.health.time_ms().unwrap_or(PLAIN_MS);
    let jitter = fastrand::f64() * 0.2 * PLAIN_MS;
    let cost = time * (load + 1.0) + jitter + common(backend, ask, failing, now);
    Choice {
        backend: backend.clone(),
        cost,
        load,
        read: 0.0,
        reading: Duration::ZERO,
        rank: None,
        copy_from: None,
    }
}

/// Mean share of recent failures at the servers of a service: trouble that all
/// have is no reason to prefer one.
fn mean_failing(servers: &[Rc<Backend>]) -> f64 {
    let rates = servers.iter().map(|backend| backend.health.failure_rate());
    rates.sum::<f64>() / servers.len().max(1) as f64
}

/// Costs that hold for every kind of server.
fn common(backend: &Rc<Backend>, ask: &Ask<'_>, failing: f64, now: Instant) -> f64 {
    let excess = backend.health.failure_rate() - failing - FAILING_SLACK;
    let mut cost = FAILING_MS * excess.max(0.0);
    if backend.server.hall != *ask.hall {
        let tokens = ask
            .prompt
            .map_or(0, |prompt| prompt.hint.unwrap_or(prompt.output));
        cost += OTHER_HALL_MS + OTHER_HALL_TOKEN_MS * f64::from(tokens);
    }
    if backend.hall.is_silent(now) {
        cost += SILENT_HALL_MS;
    }
    if !backend.health.allows(now) {
        cost += LEFT_OUT_MS;
    }
    if ask.tried.contains(&backend.server.id) {
        cost += TRIED_MS;
    }
    cost
}

fn choose_engine(
    servers: &[Rc<Backend>],
    ask: &Ask<'_>,
    prompt: &Prompt,
    places: &Places<'_>,
    failing: f64,
    now: Instant,
) -> Option<Choice> {
    let (loads, mean) = loads(servers, now);
    let usual_ms = usual_time(servers, now);
    let crowd = Crowd::new(ask.crowd_factor, mean);
    let candidates = servers.iter().zip(loads);
    candidates
        .filter(|(backend, _)| backend.own() < ask.connections)
        .map(|(backend, load)| {
            let id = &backend.server.id;
            let lacking = places.lacking(id);
            let own = f64::from(prompt.parts.last().map_or(prompt.input, |part| part.tokens));
            let copied = ask.copy_ms.zip(places.source(id));
            let read_again = 1.0 / READ_TOKENS_PER_MS + READ_AGAIN_MS;
            let per_lacking = copied.map_or(read_again, |(ms, _)| ms + COPY_MS);
            let queued = backend.prefill() as f64;
            let slots = f64::from(backend.slots());
            let cost = lacking * per_lacking
                + (own + queued) / READ_TOKENS_PER_MS
                + RUNNING_MS * load
                + WAITING_MS * (load - slots).max(0.0)
                + crowd.cost(load)
                + slowness(backend, usual_ms, now)
                + fastrand::f64()
                + common(backend, ask, failing, now);
            Choice {
                backend: backend.clone(),
                cost,
                load,
                rank: places.rank(id),
                reading: reading_time(own + f64::from(places.unproven(id))),
                read: own + if copied.is_some() { 0.0 } else { lacking },
                copy_from: copied.map(|(_, source)| source.clone()),
            }
        })
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
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
    let counted = |backend: &Rc<Backend>| backend.counted(OTHERS_WEIGHT, COUNT_AGE, now);
    let reported: Vec<Option<f64>> = servers
        .iter()
        .map(|backend| backend.load(LOAD_AGE).map(f64::from))
        .collect();
    let reached = servers
        .iter()
        .zip(&reported)
        .filter(|(backend, _)| backend.is_usable(now));
    // Counts leave other halls out: the mean is that of what servers report.
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
