//! The order in which a service's servers are asked for a subject.
//!
//! Invariant: boxes that know the same servers and avoid the same ones get the
//! same order without talking to each other.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Instant;

use tidepier_core::request::Prompt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::{Backend, Key};

/// All servers in a subject's order, also those that are leaving.
pub(super) struct Order {
    servers: Vec<Rc<Backend>>,
    now: Instant,
}

impl Order {
    /// The order of a prompt's subject.
    pub(super) fn new(servers: Vec<Rc<Backend>>, prompt: &Prompt, now: Instant) -> Self {
        Self {
            servers: ordered(servers, prompt),
            now,
        }
    }

    /// Those that take requests of this box.
    pub(super) fn serving(&self) -> impl Iterator<Item = &Rc<Backend>> {
        let servers = self.servers.iter();
        servers.filter(|backend| backend.serves() && backend.is_usable(self.now))
    }

    /// Engines to copy the subject's parts from, the best one first: those that
    /// it was sent to, and those that only earlier parts were sent to. `by_part`
    /// has the servers of each part.
    pub(super) fn sources(&self, by_part: &[Vec<Key>]) -> Vec<Rc<Backend>> {
        let holders = by_part.iter().rev().flatten();
        let known = holders.filter_map(|key| self.find(*key));
        let usable = known.filter(|backend| backend.is_usable(self.now));
        usable.cloned().collect()
    }

    /// Whether any of these servers is known here and not avoided.
    pub(super) fn has_any(&self, servers: &[Key]) -> bool {
        let known = servers.iter().filter_map(|key| self.find(*key));
        known.into_iter().any(|backend| backend.is_usable(self.now))
    }

    fn find(&self, key: Key) -> Option<&Rc<Backend>> {
        let mut servers = self.servers.iter();
        servers.find(|backend| backend.key == key)
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
