//! Where the parts of prompts are kept.
//!
//! Boxes agree without talking: a subject's servers are ordered by rendezvous
//! hash, so that the first one keeps it wherever it is asked for. What this box
//! has sent where goes before that. A server that is chosen without a prompt's
//! parts copies them from the server that most likely keeps them.

mod order;

use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lru::LruCache;
use tidepier_core::request::{Part, Prompt};
use tidepier_ids as ids;

use crate::fleet::{Backend, Fleet};
use order::Order;

/// How likely the server at a rank of a subject's order keeps the subject when
/// this box has not sent it there itself. The later ranks take what the first
/// has no room for; without a figure of theirs each box would spread that over
/// servers of its own choice, and each of them would read the subject anew.
const KEPT_BY_RANK: [f64; 3] = [0.93, 0.5, 0.25];
/// Tokens under which copying a prompt's memory is not worth its set-up.
const COPY_TOKENS_MIN: u32 = 200;
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

/// Where one prompt's parts are kept, as far as this box can tell.
pub struct Places<'a> {
    prompt: &'a Prompt,
    /// Servers that this box sent each shared part to, the last one first.
    by_part: Vec<Vec<ids::Server>>,
    /// The servers that come first for the subject, of those that take requests
    /// and that this box does not avoid: all boxes that avoid the same ones
    /// agree on who stands in for them.
    first: Vec<ids::Server>,
    /// The engines that others may copy the parts from, the best one first.
    sources: Vec<Rc<Backend>>,
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
        let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
        let by_part: Vec<_> = parts.iter().map(|part| memory.places(part, now)).collect();
        let order = Order::new(fleet.known(service), prompt, tokens, hall, now);
        let first: Vec<ids::Server> = order
            .serving()
            .filter(|backend| !tried.contains(&backend.server.id))
            .take(KEPT_BY_RANK.len())
            .map(|backend| backend.server.id.clone())
            .collect();
        let sources = match tokens < COPY_TOKENS_MIN {
            true => Vec::new(),
            false => order.sources(&by_part, first.first()),
        };
        Self {
            prompt,
            by_part,
            first,
            sources,
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
        if self.by_part.iter().all(knows) {
            return None;
        }
        let mut sources = self.sources.iter();
        sources.find(|source| source.server.id != *server)
    }
}
