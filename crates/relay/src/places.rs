//! Where the parts of prompts are kept.
//!
//! Boxes agree without talking: a subject's servers are ordered by rendezvous
//! hash, so that the first one keeps it wherever it is asked for. What this box
//! has sent where goes before that. A server that is chosen without a prompt's
//! parts copies them from the server that most likely keeps them.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lru::LruCache;
use tidepier_core::request::{Part, Prompt};
use tidepier_ids as ids;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::{Backend, Fleet};

/// How likely the server at a rank of a subject's order keeps the subject when
/// this box has not sent it there itself. The later ranks take what the first
/// has no room for; without a figure of theirs each box would spread that over
/// servers of its own choice, and each of them would read the subject anew.
const KEPT_BY_RANK: [f64; 3] = [0.93, 0.5, 0.25];
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
/// Time in which a server that joined is asked for most of the subjects that it
/// comes first for: each is asked for about every 4 s.
const FILL_TIME: Duration = Duration::from_secs(5);
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
    /// Tokens of its shared parts.
    tokens: u32,
    /// Servers that this box sent each shared part to, the last one first.
    by_part: Vec<Vec<ids::Server>>,
    /// All servers in the subject's order, also those that are leaving.
    order: Vec<Rc<Backend>>,
    /// The hall within which the subject has its order, if it is kept in each.
    local: Option<ids::Hall>,
    /// The servers that come first for the subject, of those that take requests
    /// and that this box does not avoid: all boxes that avoid the same ones
    /// agree on who stands in for them.
    first: Vec<ids::Server>,
    now: Instant,
}

impl<'a> Places<'a> {
    /// Where the parts of a prompt at a service are kept; `tried` names the
    /// servers that the request was sent to in vain.
    pub fn new(
        fleet: &Fleet,
        service: &ids::Service,
        prompt: &'a Prompt,
        hall: &ids::Hall,
        memory: &Memory,
        tried: &[ids::Server],
        now: Instant,
    ) -> Self {
        let parts = shared(prompt);
        let order = ordered(fleet.known(service), prompt);
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        let in_hall = |backend: &Rc<Backend>| backend.server.hall == *hall && backend.serves();
        let local = tokens < LOCAL_TOKENS && order.iter().any(in_hall);
        let usable = |backend: &&Rc<Backend>| {
            backend.serves() && backend.is_usable(now) && !tried.contains(&backend.server.id)
        };
        let serving = order.iter().filter(usable);
        let first = serving.filter(|backend| !local || in_hall(backend));
        let first = first.take(KEPT_BY_RANK.len());
        Self {
            by_part: parts.iter().map(|part| memory.places(part, now)).collect(),
            first: first.map(|backend| backend.server.id.clone()).collect(),
            local: local.then(|| hall.clone()),
            order,
            prompt,
            tokens,
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

    /// Tokens of the prompt's shared parts that a server may have to read, by
    /// all that this box has seen: those it has not sent there itself.
    pub fn unproven(&self, server: &ids::Server) -> u32 {
        let parts = shared(self.prompt).iter().zip(&self.by_part);
        let unproven = parts.filter(|(_, places)| !places.contains(server));
        unproven.map(|(part, _)| part.tokens).sum()
    }

    /// The engine that a server copies from what it does not keep; `None` when
    /// this box knows that it keeps all, or that is too little to be copied.
    pub fn source(&self, server: &ids::Server) -> Option<&Rc<Backend>> {
        let knows = |places: &Vec<ids::Server>| places.contains(server);
        if self.tokens < COPY_TOKENS_MIN || self.by_part.iter().all(knows) {
            return None;
        }
        let subject = self.by_part.last().into_iter().flatten();
        let earlier = self.by_part.iter().rev().skip(1).flatten();
        let settled = self.first.first().filter(|first| !self.is_fresh(first));
        let likely = settled.into_iter().chain(self.before(server));
        let elsewhere = self.first_elsewhere();
        let mut sources = subject.chain(likely).chain(elsewhere).chain(earlier);
        sources.find_map(|id| self.can_give(id, server))
    }

    /// Whether a server joined so lately that it hardly keeps the subject yet.
    fn is_fresh(&self, id: &ids::Server) -> bool {
        let found = self.order.iter().find(|backend| backend.server.id == *id);
        found.is_some_and(|backend| backend.is_new(FILL_TIME, self.now))
    }

    fn can_give(&self, id: &ids::Server, to: &ids::Server) -> Option<&Rc<Backend>> {
        let found = self.order.iter().find(|backend| backend.server.id == *id)?;
        let gives = id != to && found.is_usable(self.now);
        gives.then_some(found)
    }

    /// The server that most likely kept the subject before `server` came to be
    /// asked for it: the first in the subject's order that did not join lately,
    /// also one that is leaving.
    fn before(&self, server: &ids::Server) -> Option<&ids::Server> {
        let local = self.local.as_ref();
        let in_order = |backend: &&Rc<Backend>| {
            local.is_none_or(|hall| backend.server.hall == *hall)
                && backend.is_usable(self.now)
                && !backend.is_new(NEW_TIME, self.now)
        };
        let settled = self.order.iter().find(in_order)?;
        (settled.server.id != *server).then_some(&settled.server.id)
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
