//! Which server gets a request.
//!
//! Every candidate has an estimated cost in milliseconds: what must be read of
//! its prompt there, what waits before it, how far it is, how often it failed.
//! The cheapest gets the request. Boxes agree without talking on where a
//! subject's prompts are kept: by rendezvous hash of the subject over the
//! servers, corrected by what this box itself has sent where.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lru::LruCache;
use tidepier_core::request::{Part, Prompt};
use tidepier_ids as ids;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::{Backend, Fleet};

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
/// Cost of each request past the bound on the load of one server, in ms.
const EXCESS_MS: f64 = 60.0;
/// The bound: this many times the mean, plus [`BOUND_EXTRA`]. Below the
/// operator's own bound, as loads told are late.
const BOUND_FACTOR: f64 = 1.6;
/// Requests over the mean that are always borne.
const BOUND_EXTRA: f64 = 2.0;
/// Cost of a server in another hall, in ms: the way there, and the price of
/// bytes between halls.
const OTHER_HALL_MS: f64 = 12.0;
/// The same for each token of an expected answer: a stream between halls is
/// paid for by the byte, and breaks when one of them is cut off.
const OTHER_HALL_TOKEN_MS: f64 = 0.1;
/// Cost of a server at which every request failed, in ms, if the others are
/// well.
const FAILING_MS: f64 = 2_000.0;
/// Share of failures above the others' mean that tells nothing.
const FAILING_SLACK: f64 = 0.15;
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
const KEPT_BY_RANK: [f64; 2] = [0.93, 0.3];
/// Tokens under which copying a prompt's memory is not worth its set-up.
const COPY_TOKENS_MIN: u32 = 200;
/// Shared tokens under which a subject is kept in each hall, not once for all:
/// reading that few again costs less than streams between halls.
const LOCAL_TOKENS: u32 = 1_500;
/// Subjects remembered.
const SUBJECTS: usize = 4_096;
/// Time that a server is trusted to keep a part after this box used it there.
const KEPT_TIME: Duration = Duration::from_secs(60);
/// Servers remembered for one part.
const PLACES: usize = 6;

/// Where this box has sent the parts of prompts.
pub struct Memory {
    parts: RefCell<LruCache<u64, Vec<Place>>>,
}

/// A server that a part was sent to.
struct Place {
    server: ids::Server,
    at: Instant,
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
        let mut parts = self.parts.borrow_mut();
        for part in shared(prompt) {
            let places = parts.get_or_insert_mut(part.id, Vec::new);
            places.retain(|place| place.server != *server && place.is_kept(now));
            if places.len() >= PLACES {
                places.remove(0);
            }
            places.push(Place {
                server: server.clone(),
                at: now,
            });
        }
    }

    /// Servers that keep a part, the one used last first.
    fn places(&self, part: &Part, now: Instant) -> Vec<ids::Server> {
        let parts = self.parts.borrow();
        let places = parts.peek(&part.id).into_iter().flatten();
        let kept = places.filter(|place| place.is_kept(now));
        kept.map(|place| place.server.clone()).rev().collect()
    }
}

impl Place {
    fn is_kept(&self, now: Instant) -> bool {
        now.duration_since(self.at) < KEPT_TIME
    }
}

fn shared(prompt: &Prompt) -> &[Part] {
    let shared = prompt.parts.len().saturating_sub(1);
    &prompt.parts[..shared]
}

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
    /// Its place in the order of the prompt's subject, if it is among the first.
    pub rank: Option<usize>,
    /// The engine from which it is to copy what it does not keep.
    pub copy_from: Option<SocketAddr>,
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
            let places = Places::new(fleet, &servers, prompt, ask.hall, memory, now);
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
    if !backend.health.allows(now) {
        cost += LEFT_OUT_MS;
    }
    if ask.tried.contains(&backend.server.id) {
        cost += TRIED_MS;
    }
    cost
}

/// Where a prompt's parts are kept, as far as this box can tell.
struct Places {
    /// Servers that this box sent each shared part to, the last one first.
    by_part: Vec<Vec<ids::Server>>,
    /// Indexes of the servers that come first for the subject, best first.
    ranks: Vec<usize>,
    /// Engines from which the subject may be copied, best first.
    sources: Vec<(ids::Server, SocketAddr)>,
}

impl Places {
    fn new(
        fleet: &Fleet,
        servers: &[Rc<Backend>],
        prompt: &Prompt,
        hall: &ids::Hall,
        memory: &Memory,
        now: Instant,
    ) -> Self {
        let shared = shared(prompt);
        let by_part: Vec<_> = shared.iter().map(|part| memory.places(part, now)).collect();
        let order = Order::new(servers, prompt, hall);
        let mut sources = Vec::new();
        let mut add = |id: &ids::Server| {
            let backend = fleet.get(id).filter(|backend| backend.health.allows(now));
            sources.extend(backend.map(|backend| (id.clone(), backend.server.address)));
        };
        let id = |at: &usize| &servers[*at].server.id;
        // Where the subject was sent, where it is kept if it was sent
        // anywhere, and where at least its earlier parts were sent.
        by_part.last().into_iter().flatten().for_each(&mut add);
        order.first.first().map(id).into_iter().for_each(&mut add);
        if order.local {
            order.by_hall.iter().map(id).for_each(&mut add);
        }
        by_part.iter().rev().skip(1).flatten().for_each(&mut add);
        Self {
            by_part,
            ranks: order.first,
            sources,
        }
    }

    /// Tokens of a prompt's shared parts that a server is expected to lack.
    fn lacking(&self, at: usize, server: &ids::Server, prompt: &Prompt) -> f64 {
        let prior = self.rank(at).map_or(0.0, |rank| KEPT_BY_RANK[rank]);
        let mut kept_so_far = 1.0;
        let mut lacking = 0.0;
        for (part, places) in shared(prompt).iter().zip(&self.by_part) {
            kept_so_far *= if places.contains(server) { 1.0 } else { prior };
            lacking += (1.0 - kept_so_far) * f64::from(part.tokens);
        }
        lacking
    }

    fn rank(&self, at: usize) -> Option<usize> {
        self.ranks.iter().position(|first| *first == at)
    }

    /// The engine that a server copies from what it does not keep; `None` when
    /// this box knows that it keeps all, or that is too little to be copied.
    fn source(&self, server: &ids::Server, prompt: &Prompt) -> Option<SocketAddr> {
        let tokens: u32 = shared(prompt).iter().map(|part| part.tokens).sum();
        let knows = |places: &Vec<ids::Server>| places.contains(server);
        if tokens < COPY_TOKENS_MIN || self.by_part.iter().all(knows) {
            return None;
        }
        let other = self.sources.iter().find(|(id, _)| id != server);
        other.map(|(_, address)| *address)
    }
}

fn choose_engine(
    servers: &[Rc<Backend>],
    ask: &Ask<'_>,
    prompt: &Prompt,
    places: &Places,
    failing: f64,
    now: Instant,
) -> Option<Choice> {
    let loads: Vec<f64> = servers.iter().map(load).collect();
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let bound = BOUND_FACTOR * mean + BOUND_EXTRA;
    let candidates = servers.iter().zip(loads).enumerate();
    candidates
        .filter(|(_, (backend, _))| backend.own() < ask.connections)
        .map(|(at, (backend, load))| {
            let id = &backend.server.id;
            let lacking = places.lacking(at, id, prompt);
            let own = f64::from(prompt.parts.last().map_or(prompt.input, |part| part.tokens));
            let copied = ask.copy_ms.zip(places.source(id, prompt));
            let read_again = 1.0 / READ_TOKENS_PER_MS + READ_AGAIN_MS;
            let per_lacking = copied.map_or(read_again, |(ms, _)| ms + COPY_MS);
            let queued = backend.prefill() as f64;
            let slots = f64::from(backend.server.slots);
            let cost = lacking * per_lacking
                + (own + queued) / READ_TOKENS_PER_MS
                + RUNNING_MS * load
                + WAITING_MS * (load - slots).max(0.0)
                + EXCESS_MS * (load - bound).max(0.0)
                + fastrand::f64()
                + common(backend, ask, failing, now);
            Choice {
                backend: backend.clone(),
                cost,
                load,
                rank: places.rank(at),
                read: own + if copied.is_some() { 0.0 } else { lacking },
                copy_from: copied.map(|(_, address)| address),
            }
        })
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn load(backend: &Rc<Backend>) -> f64 {
    let told = backend.load(LOAD_AGE);
    f64::from(told.unwrap_or_else(|| backend.own()))
}

/// The order of servers in which a prompt's subject is looked for.
struct Order {
    /// Indexes of the servers that come first, best first. A small subject has
    /// an order of its own in each hall.
    first: Vec<usize>,
    /// The first server of each hall, best first: wherever the subject was
    /// sent, one of these keeps it.
    by_hall: Vec<usize>,
    /// Whether the subject is kept in each hall.
    local: bool,
}

impl Order {
    fn new(servers: &[Rc<Backend>], prompt: &Prompt, hall: &ids::Hall) -> Self {
        let sorted = sorted(servers, prompt);
        let tokens: u32 = shared(prompt).iter().map(|part| part.tokens).sum();
        let in_hall = |at: &usize| servers[*at].server.hall == *hall;
        let local = tokens < LOCAL_TOKENS && sorted.iter().any(in_hall);
        let first = sorted.iter().copied().filter(|at| !local || in_hall(at));
        let mut by_hall: Vec<usize> = Vec::new();
        for at in &sorted {
            let hall = &servers[*at].server.hall;
            if !by_hall
                .iter()
                .any(|known| servers[*known].server.hall == *hall)
            {
                by_hall.push(*at);
            }
        }
        Self {
            first: first.take(KEPT_BY_RANK.len()).collect(),
            by_hall,
            local,
        }
    }
}

/// Indexes of the servers by rendezvous hash of a prompt's subject.
fn sorted(servers: &[Rc<Backend>], prompt: &Prompt) -> Vec<usize> {
    let Some(subject) = prompt.subject().or(prompt.parts.first()) else {
        return Vec::new();
    };
    let score = |at: &usize| {
        let id = servers[*at].server.id.as_str().as_bytes();
        Reverse(xxh3_64_with_seed(id, subject.id))
    };
    let mut sorted: Vec<usize> = (0..servers.len()).collect();
    sorted.sort_by_cached_key(score);
    sorted
}
