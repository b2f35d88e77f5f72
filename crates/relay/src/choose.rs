//! Which server gets a request.
//!
//! Every candidate has an estimated cost in milliseconds: what must be read of
//! its prompt there, what waits before it, how far it is, how often it failed.
//! The cheapest gets the request. Boxes agree without talking on where a
//! subject's prompts are kept: by rendezvous hash of the subject over the
//! servers, corrected by what this box itself has sent where.

mod engine;
pub mod filter;
mod weight;

use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::request::Prompt;
use tidepier_ids as ids;

use crate::fleet::{Backend, Fleet};
use crate::locations::Locations;
use crate::traffic::index::Index;
use engine::{Engines, Group};
use filter::Filter;

/// Time to another hall and back in ms, before one was measured: a little over a
/// millisecond each way, as between the halls of one city.
const OTHER_HALL_MS: f64 = 3.0;
/// Cost of each token of a stream from another hall that cannot be resumed, in
/// ms: it is lost when one of the halls is cut off. Without it 1 in 1,000 more
/// requests were lost on days with one such cut a minute.
const BREAK_TOKEN_MS: f64 = 0.1;
/// Cost of a server at which every request failed, in ms, if the others are
/// well.
const FAILING_MS: f64 = 2_000.0;
/// Share of failures above the others' mean that is no evidence.
const FAILING_SLACK: f64 = 0.15;
/// Cost of each request that a server turned away lately, in ms: it would have waited
/// for a place there, as one past an engine's slots. With two servers of a box's hall
/// that turn all away and an idle one elsewhere, 22 of 120 requests were served before.
const TURNED_MS: f64 = 40.0;
/// Cost of a server in a hall that seems to be cut off, in ms: over that of
/// reading the longest prompts elsewhere.
const SILENT_HALL_MS: f64 = 3_000.0;
/// Cost of a server that is left out for its failures, in ms: taken only when
/// there is no other.
const LEFT_OUT_MS: f64 = 1e6;
/// Cost of a server that has been tried for this request already.
const TRIED_MS: f64 = 1e7;
/// Cost of a server that is cold, in ms: it is slow, and what is sent there is
/// taken off what it bears.
const COLD_MS: f64 = 50.0;
/// Time to an answer of a plain service's server before one is known, in ms.
const PLAIN_MS: f64 = 60.0;

/// What is to be placed.
pub struct Criteria<'a> {
    /// The prompt, at a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Time in ms to copy a token's memory between engines, where they can.
    pub copy_ms: Option<f64>,
    /// Servers that this request was sent to already.
    pub tried: &'a [ids::Server],
    /// The servers that it may not go to.
    pub filter: Filter<'a>,
    /// The hall of this box.
    pub hall: &'a ids::Hall,
    /// Whether an answer that breaks off midway is lost.
    pub not_resumable: bool,
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
    pub prefill_tokens: f64,
    /// Time in which it may read the prompt, if it keeps no part that this box
    /// has not sent there: so much of its answer's delay is no slowness.
    pub prefill_time: Duration,
    /// Its place in the order of the prompt's subject, if it is among the first.
    pub rank: Option<usize>,
    /// Present when the server is cold: from when on it bears the request. What is
    /// sent there is counted.
    pub cold: Option<Instant>,
    /// The engine from which it is to copy what it does not keep.
    pub copy_from: Option<Rc<Backend>>,
}

/// The cheapest of a service's servers; `None` when there is none that may be
/// asked.
pub fn choose(
    fleet: &Fleet,
    service: &ids::Service,
    ask: &Criteria<'_>,
    index: &Index,
    now: Instant,
) -> Option<Choice> {
    let servers = fleet.serving(service);
    let failing = mean_failing(&servers, now);
    match ask.prompt {
        Some(prompt) => {
            let candidate = |backend: &Backend| {
                !ask.tried.contains(&backend.server.id) && ask.filter.admits(backend, now)
            };
            let places = Locations::new(fleet, service, prompt, index, &candidate, now);
            let group = Group {
                serving: &servers,
                emptied: &fleet.emptied(service),
            };
            Engines::new(&group, ask, prompt, &places, failing, now).cheapest()
        }
        None => {
            let usual = usual_ms(&servers);
            let open = servers.iter().filter(|backend| is_open(backend, ask, now));
            cheapest(open.map(|backend| plain(backend, usual, ask, failing, now)))
        }
    }
}

fn cheapest(choices: impl Iterator<Item = Choice>) -> Option<Choice> {
    choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// Whether a server may get the request, and this box may open one more
/// connection to it.
fn is_open(backend: &Backend, ask: &Criteria<'_>, now: Instant) -> bool {
    backend.in_flight() < ask.connections && ask.filter.admits(backend, now)
}

/// The median time to an answer of a plain service's servers, in ms. It is reckoned with
/// where none is known or the known one is old: a figure of its own would keep requests
/// from a server that got none, for as long as the others have room.
fn usual_ms(servers: &[Rc<Backend>]) -> f64 {
    let times = servers.iter().filter_map(|it| it.health.mean_latency_ms());
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    let middle = times.len().saturating_sub(1) / 2;
    times.get(middle).copied().unwrap_or(PLAIN_MS)
}

fn plain(
    backend: &Rc<Backend>,
    usual_ms: f64,
    ask: &Criteria<'_>,
    failing: f64,
    now: Instant,
) -> Choice {
    let load = f64::from(backend.in_flight());
    let time = backend.health.expected_latency_ms(usual_ms, now);
    // Of equal costs, chance decides.
    let jitter = fastrand::f64();
    let cost = time * (load + 1.0) + jitter + common(backend, ask, failing, now);
    Choice {
        backend: backend.clone(),
        cost,
        load,
        prefill_tokens: 0.0,
        prefill_time: Duration::ZERO,
        rank: None,
        cold: ask.filter.borne_from(backend, now),
        copy_from: None,
    }
}

/// Mean share of recent failures at the servers of a service: trouble that all
/// have is no reason to prefer one.
fn mean_failing(servers: &[Rc<Backend>], now: Instant) -> f64 {
    let rates = servers
        .iter()
        .map(|backend| backend.health.failure_rate(now));
    rates.sum::<f64>() / servers.len().max(1) as f64
}

/// Costs that hold for every kind of server.
fn common(backend: &Rc<Backend>, ask: &Criteria<'_>, failing: f64, now: Instant) -> f64 {
    let excess = backend.health.failure_rate(now) - failing - FAILING_SLACK;
    let mut cost = FAILING_MS * excess.max(0.0);
    cost += TURNED_MS * backend.health.recent_rejections(now);
    if backend.server.hall != *ask.hall {
        cost += backend.hall.round_trip_ms().unwrap_or(OTHER_HALL_MS) + breaking(ask);
    }
    if let Some(from) = ask.filter.borne_from(backend, now) {
        cost += COLD_MS + from.saturating_duration_since(now).as_secs_f64() * 1e3;
    }
    if backend.hall.is_unresponsive(now) {
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

/// What the risk costs that an answer from another hall breaks off, in ms.
fn breaking(ask: &Criteria<'_>) -> f64 {
    let tokens = |prompt: &Prompt| prompt.hint.unwrap_or(prompt.output);
    match ask.prompt {
        Some(prompt) if ask.not_resumable => BREAK_TOKEN_MS * f64::from(tokens(prompt)),
        _ => 0.0,
    }
}
