//! Which server gets a request.
//!
//! Every candidate has an estimated cost in milliseconds: what must be read of
//! its prompt there, what waits before it, how far it is, how often it failed.
//! The cheapest gets the request. Boxes agree without talking on where a
//! subject's prompts are kept: by rendezvous hash of the subject over the
//! servers, corrected by what this box itself has sent where.

use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lru::LruCache;
use tidepier_core::request::{Part, Prompt};
use tidepier_ids as ids;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::Backend;

/// Tokens that a model engine reads in a ms, when nothing better is known:
/// measured engines read 38 to 43.
const READ_TOKENS_PER_MS: f64 = 40.0;
/// What reading a token again costs beside the time of its own request: all
/// that runs beside it is held up.
const READ_WEIGHT: f64 = 1.4;
/// Cost of each request that runs at an engine, in ms: steps grow slower.
const RUNNING_MS: f64 = 1.0;
/// Cost of each request past an engine's slots, in ms.
const WAITING_MS: f64 = 40.0;
/// Cost of each request past the bound on the load of one server, in ms.
const EXCESS_MS: f64 = 60.0;
/// The bound: this many times the mean, plus [`BOUND_EXTRA`]. Below the
/// operator's own bound, as loads told are late.
const BOUND_FACTOR: f64 = 1.4;
/// Requests over the mean that are always borne.
const BOUND_EXTRA: f64 = 2.0;
/// Cost of a server in another hall, in ms: the way there, and the price of
/// bytes between halls.
const OTHER_HALL_MS: f64 = 12.0;
/// Cost of a server at which every request failed, in ms.
const FAILING_MS: f64 = 2_000.0;
/// Cost of a server that is left out for its failures, in ms: taken only when
/// there is no other.
const LEFT_OUT_MS: f64 = 1e6;
/// Cost of a server that has been tried for this request already.
const TRIED_MS: f64 = 1e7;
/// Age after which a load told is no longer used.
const LOAD_AGE: Duration = Duration::from_secs(3);
/// Time to an answer of a plain service's server before one is known, in ms.
const PLAIN_MS: f64 = 60.0;
/// How likely the server at a rank of a subject's order keeps the subject when
/// this box has not sent it there itself.
const KEPT_BY_RANK: [f64; 2] = [0.85, 0.4];
/// Subjects remembered.
const SUBJECTS: usize = 4_096;
/// Time that a server is trusted to keep a part after this box used it there.
const KEPT_TIME: Duration = Duration::from_secs(60);
/// Servers remembered for one part.
const PLACES: usize = 6;

/// Where this box has sent the parts of prompts.
pub struct Memory {
    parts: RefCell<LruCache<u64, Vec<(u64, Instant)>>>,
}

impl Default for Memory {
    fn default() -> Self {
        const CAPACITY: NonZeroUsize = NonZeroUsize::new(SUBJECTS).unwrap();
        Self {
            parts: RefCell::new(LruCache::new(CAPACITY)),
        }
    }
}

impl Memory {
    /// Records that the shared parts of a prompt were sent to a server.
    pub fn sent(&self, prompt: &Prompt, server: &ids::Server, now: Instant) {
        let server = server_hash(server);
        let mut parts = self.parts.borrow_mut();
        for part in shared(prompt) {
            let places = parts.get_or_insert_mut(part.id, Vec::new);
            places.retain(|(other, at)| *other != server && now.duration_since(*at) < KEPT_TIME);
            if places.len() >= PLACES {
                places.remove(0);
            }
            places.push((server, now));
        }
    }

    fn keeps(&self, part: u64, server: u64, now: Instant) -> bool {
        let parts = self.parts.borrow();
        let places = parts.peek(&part);
        places
            .into_iter()
            .flatten()
            .any(|(other, at)| *other == server && now.duration_since(*at) < KEPT_TIME)
    }
}

fn shared(prompt: &Prompt) -> &[Part] {
    let shared = prompt.parts.len().saturating_sub(1);
    &prompt.parts[..shared]
}

fn server_hash(server: &ids::Server) -> u64 {
    xxh3_64_with_seed(server.as_str().as_bytes(), 0)
}

/// What is to be placed.
pub struct Ask<'a> {
    /// The prompt, at a model engine.
    pub prompt: Option<&'a Prompt>,
    /// Servers that this request was sent to already.
    pub tried: &'a [ids::Server],
    /// The hall of this box.
    pub hall: &'a ids::Hall,
    /// Most connections of this box to one server.
    pub connections: u32,
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
}

/// The cheapest of `servers`; `None` when there is none that may be asked.
pub fn choose(
    servers: &[Rc<Backend>],
    ask: &Ask<'_>,
    memory: &Memory,
    now: Instant,
) -> Option<Choice> {
    let open = |backend: &&Rc<Backend>| backend.own() < ask.connections;
    match ask.prompt {
        Some(prompt) => choose_engine(servers, ask, prompt, memory, now),
        None => servers
            .iter()
            .filter(open)
            .map(|backend| plain(backend, ask, now))
            .min_by(|a, b| a.cost.total_cmp(&b.cost)),
    }
}

fn plain(backend: &Rc<Backend>, ask: &Ask<'_>, now: Instant) -> Choice {
    let load = f64::from(backend.own());
    let time = backend.health.time_ms().unwrap_or(PLAIN_MS);
    let jitter = fastrand::f64() * 0.2 * PLAIN_MS;
    let cost = time * (load + 1.0) + jitter + common(backend, ask, now);
    Choice {
        backend: backend.clone(),
        cost,
        load,
        read: 0.0,
    }
}

/// Costs that hold for every kind of server.
fn common(backend: &Rc<Backend>, ask: &Ask<'_>, now: Instant) -> f64 {
    let mut cost = FAILING_MS * backend.health.failure_rate();
    if backend.server.hall != *ask.hall {
        cost += OTHER_HALL_MS;
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
    memory: &Memory,
    now: Instant,
) -> Option<Choice> {
    let loads: Vec<f64> = servers.iter().map(|backend| load(backend)).collect();
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let bound = BOUND_FACTOR * mean + BOUND_EXTRA;
    let ranks = ranks(servers, prompt, ask.hall);
    let candidates = servers.iter().zip(loads).enumerate();
    candidates
        .filter(|(_, (backend, _))| backend.own() < ask.connections)
        .map(|(at, (backend, load))| {
            let rank = ranks.iter().position(|first| *first == at);
            let read = unread(backend, prompt, rank, memory, now);
            let queued = backend.prefill() as f64;
            let slots = f64::from(backend.server.slots);
            let cost = (READ_WEIGHT * read + queued) / READ_TOKENS_PER_MS
                + RUNNING_MS * load
                + WAITING_MS * (load - slots).max(0.0)
                + EXCESS_MS * (load - bound).max(0.0)
                + fastrand::f64()
                + common(backend, ask, now);
            Choice {
                backend: backend.clone(),
                cost,
                load,
                read,
            }
        })
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn load(backend: &Rc<Backend>) -> f64 {
    let told = backend.load(LOAD_AGE);
    f64::from(told.unwrap_or_else(|| backend.own()))
}

/// Indexes of the servers that come first for a prompt's subject, best first.
fn ranks(servers: &[Rc<Backend>], prompt: &Prompt, _hall: &ids::Hall) -> Vec<usize> {
    let Some(subject) = prompt.subject().or(prompt.parts.first()) else {
        return Vec::new();
    };
    let mut scored: Vec<(u64, usize)> = servers
        .iter()
        .enumerate()
        .map(|(at, backend)| {
            let id = backend.server.id.as_str().as_bytes();
            (xxh3_64_with_seed(id, subject.id), at)
        })
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.truncate(KEPT_BY_RANK.len());
    scored.into_iter().map(|(_, at)| at).collect()
}

/// Tokens of a prompt that a server is expected to read.
fn unread(
    backend: &Rc<Backend>,
    prompt: &Prompt,
    rank: Option<usize>,
    memory: &Memory,
    now: Instant,
) -> f64 {
    let server = server_hash(&backend.server.id);
    let prior = rank.and_then(|rank| KEPT_BY_RANK.get(rank).copied());
    let mut kept_before = 1.0;
    let mut unread = 0.0;
    let shared = shared(prompt);
    for (at, part) in prompt.parts.iter().enumerate() {
        let kept = if at >= shared.len() {
            0.0
        } else if memory.keeps(part.id, server, now) {
            1.0
        } else {
            prior.unwrap_or(0.0)
        };
        kept_before *= kept;
        unread += (1.0 - kept_before) * f64::from(part.tokens);
    }
    unread
}
