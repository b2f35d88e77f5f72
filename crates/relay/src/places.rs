//! Where the parts of prompts are kept.
//!
//! Boxes agree without talking: a subject's servers are ordered by rendezvous
//! hash, so that the first one keeps it wherever it is asked for. What this box
//! has sent where goes before that. A server that is chosen without a prompt's
//! parts copies them from the server that most likely keeps them.

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
/// Time after a server joined in which what it now comes first for may still be
/// kept by the one that came first before.
const NEW_TIME: Duration = Duration::from_secs(60);

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

/// Where one prompt's parts are kept, as far as this box can tell.
pub struct Places<'a> {
    prompt: &'a Prompt,
    /// Servers that this box sent each shared part to, the last one first.
    by_part: Vec<Vec<ids::Server>>,
    /// All servers in the subject's order, also those that are leaving.
    order: Vec<Rc<Backend>>,
    /// The hall within which the subject has its order, if it is kept in each.
    local: Option<ids::Hall>,
    /// The servers that come first for the subject and take requests.
    first: Vec<ids::Server>,
    now: Instant,
}

impl<'a> Places<'a> {
    /// Where the parts of a prompt at a service are kept.
    pub fn new(
        fleet: &Fleet,
        service: &ids::Service,
        prompt: &'a Prompt,
        hall: &ids::Hall,
        memory: &Memory,
        now: Instant,
    ) -> Self {
        let parts = shared(prompt);
        let order = ordered(fleet.known(service), prompt);
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        let in_hall = |backend: &Rc<Backend>| backend.server.hall == *hall && backend.serves();
        let local = tokens < LOCAL_TOKENS && order.iter().any(in_hall);
        let serving = order.iter().filter(|backend| backend.serves());
        let first = serving.filter(|backend| !local || in_hall(backend));
        let first = first.take(KEPT_BY_RANK.len());
        Self {
            by_part: parts.iter().map(|part| memory.places(part, now)).collect(),
            first: first.map(|backend| backend.server.id.clone()).collect(),
            local: local.then(|| hall.clone()),
            order,
            prompt,
            now,
        }
    }

    /// A server's place among those that come first.
    pub fn rank(&self, server: &ids::Server) -> Option<usize> {
        self.first.iter().position(|first| first == server)
    }

    /// Tokens of the prompt's shared parts that a server is expected to lack.
    pub fn lacking(&self, server: &ids::Server) -> f64 {
        let prior = self.rank(server).map_or(0.0, |rank| KEPT_BY_RANK[rank]);
        let mut kept_so_far = 1.0;
        let mut lacking = 0.0;
        for (part, places) in shared(self.prompt).iter().zip(&self.by_part) {
            kept_so_far *= if places.contains(server) { 1.0 } else { prior };
            lacking += (1.0 - kept_so_far) * f64::from(part.tokens);
        }
        lacking
    }

    /// The engine that a server copies from what it does not keep; `None` when
    /// this box knows that it keeps all, or that is too little to be copied.
    pub fn source(&self, server: &ids::Server) -> Option<SocketAddr> {
        let tokens: u32 = shared(self.prompt).iter().map(|part| part.tokens).sum();
        let knows = |places: &Vec<ids::Server>| places.contains(server);
        if tokens < COPY_TOKENS_MIN || self.by_part.iter().all(knows) {
            return None;
        }
        let subject = self.by_part.last().into_iter().flatten();
        let earlier = self.by_part.iter().rev().skip(1).flatten();
        let likely = self.before(server).into_iter().chain(self.first.first());
        let elsewhere = self.first_elsewhere();
        let mut sources = subject.chain(likely).chain(elsewhere).chain(earlier);
        sources.find_map(|id| self.can_give(id, server))
    }

    fn can_give(&self, id: &ids::Server, to: &ids::Server) -> Option<SocketAddr> {
        let found = self.order.iter().find(|backend| backend.server.id == *id)?;
        let gives = id != to && found.health.allows(self.now) && !found.hall.is_silent(self.now);
        gives.then_some(found.server.address)
    }

    /// The server that came first before `server` did: one that is leaving and
    /// comes before it, or the next one when it is new.
    fn before(&self, server: &ids::Server) -> Option<&ids::Server> {
        let in_order = |backend: &&Rc<Backend>| {
            let local = self.local.as_ref();
            local.is_none_or(|hall| backend.server.hall == *hall)
        };
        let mut order = self.order.iter().filter(in_order);
        let top = order.next()?;
        if top.server.id != *server {
            return (!top.serves()).then_some(&top.server.id);
        }
        let next = order.next()?;
        top.is_new(NEW_TIME, self.now).then_some(&next.server.id)
    }

    /// For a subject that is kept in each hall: the server that keeps it in the
    /// hall, other than this one, whose server comes first of all.
    fn first_elsewhere(&self) -> Option<&ids::Server> {
        let hall = self.local.as_ref()?;
        let mut others = self.order.iter();
        let other = others.find(|backend| backend.server.hall != *hall)?;
        Some(&other.server.id)
    }
}

/// Servers by rendezvous hash of a prompt's subject.
fn ordered(mut servers: Vec<Rc<Backend>>, prompt: &Prompt) -> Vec<Rc<Backend>> {
    let subject = prompt.subject().or(prompt.parts.first());
    let seed = subject.map_or(0, |part| part.id);
    servers.sort_by_cached_key(|backend| {
        let id = backend.server.id.as_str().as_bytes();
        Reverse(xxh3_64_with_seed(id, seed))
    });
    servers
}
