//! The order in which a service's servers are asked for a subject.
//!
//! Invariant: boxes that know the same servers and avoid the same ones get the
//! same order without talking to each other.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tidepier_core::request::Prompt;
use tidepier_ids as ids;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::{Backend, Key};

/// Shared tokens under which a subject is kept in each hall, not once for all:
/// reading that few again costs less than streams between halls.
const LOCAL_TOKENS: u32 = 1_500;
/// Time in which a server that joined is asked for most of the subjects that it
/// comes first for: each is asked for about every 4 s.
const FILL_TIME: Duration = Duration::from_secs(5);
/// Time after a server joined in which what it now comes first for may still be
/// kept by the one that came first before.
const NEW_TIME: Duration = Duration::from_secs(60);

/// All servers in a subject's order, also those that are leaving.
pub(super) struct Order {
    servers: Vec<Rc<Backend>>,
    /// The hall within which the subject has its order, if it is kept in each.
    local: Option<ids::Hall>,
    now: Instant,
}

impl Order {
    /// The order of a prompt's subject, which has so many shared tokens, for a
    /// box in `hall`.
    pub(super) fn new(
        servers: Vec<Rc<Backend>>,
        prompt: &Prompt,
        tokens: u32,
        hall: &ids::Hall,
        now: Instant,
    ) -> Self {
        let servers = ordered(servers, prompt);
        let in_hall = |backend: &Rc<Backend>| backend.server.hall == *hall && backend.serves();
        let local = tokens < LOCAL_TOKENS && servers.iter().any(in_hall);
        Self {
            servers,
            local: local.then(|| hall.clone()),
            now,
        }
    }

    /// Those that take requests of this box, without the other halls' if the
    /// subject is kept in each.
    pub(super) fn serving(&self) -> impl Iterator<Item = &Rc<Backend>> {
        self.near()
            .filter(|backend| backend.serves() && backend.is_usable(self.now))
    }

    /// Engines to copy the subject's parts from, the best one first: those that
    /// it was sent to, those that likely keep it by the order, and
    /// those that this box sent only earlier parts to. `by_part` has the servers
    /// of each part; `first` is the one that comes first now.
    pub(super) fn sources(&self, by_part: &[Vec<Key>], first: Option<&Key>) -> Vec<Rc<Backend>> {
        let of_part = |holders: &'_ Vec<Key>| -> Vec<&Rc<Backend>> {
            holders.iter().filter_map(|key| self.find(*key)).collect()
        };
        let subject = by_part.last().into_iter().flat_map(of_part);
        // A server that joined lately hardly keeps the subject yet.
        let settled = first.and_then(|key| self.find(*key));
        let settled = settled.filter(|backend| !backend.is_new(FILL_TIME, self.now));
        let likely = [settled, self.before(), self.first_elsewhere()];
        let earlier = by_part.iter().rev().skip(1).flat_map(of_part);
        subject
            .chain(likely.into_iter().flatten())
            .chain(earlier)
            .filter(|backend| backend.is_usable(self.now))
            .cloned()
            .collect()
    }

    /// The servers of this box's hall if the subject is kept in each, or all.
    fn near(&self) -> impl Iterator<Item = &Rc<Backend>> {
        let hall = self.local.as_ref();
        let servers = self.servers.iter();
        servers.filter(move |backend| hall.is_none_or(|hall| backend.server.hall == *hall))
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

    /// The server that most likely kept the subject before those that joined
    /// lately came to be asked for it: the first in the order that is not one of
    /// them, also one that is leaving.
    fn before(&self) -> Option<&Rc<Backend>> {
        self.near()
            .find(|backend| backend.is_usable(self.now) && !backend.is_new(NEW_TIME, self.now))
    }

    /// For a subject that is kept in each hall: the server that keeps it in the
    /// hall, other than this one, whose server comes first of all.
    fn first_elsewhere(&self) -> Option<&Rc<Backend>> {
        let hall = self.local.as_ref()?;
        let mut servers = self.servers.iter();
        servers.find(|backend| backend.server.hall != *hall)
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
