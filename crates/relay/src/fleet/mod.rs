//! The backend servers, and what this box has seen of each.
//!
//! Invariants:
//!
//! * A server that is leaving or gone is never returned by [`Fleet::serving`].
//! * Nothing is sent to a server without a [`Permit`].
//! * One life of a server is its id and its birth: all that is known of one life
//!   is dropped with it.

pub mod advertisement;
mod backend;
pub mod backoff;
mod hall;
mod idle;
mod parted;
mod permit;
pub(crate) mod watch;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::answer::Answer;
use tidepier_core::server::{Server, StartTime, State};
use tidepier_ids as ids;
use tidepier_platform::answer::MISDIRECTED;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use advertisement::{Ineligible, Source};
pub use backend::{Backend, InFlight};
use backoff::Backoff;
pub use hall::Hall;
use parted::Parted;
pub use permit::Permit;

/// Stands for one life of a server in what boxes tell each other: half of its hash.
/// Two of 900 servers have the same one in one fleet of 10,000, which then
/// counts them together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(u32);

impl Key {
    /// The key of a server that does not tell its birth.
    pub fn new(id: &ids::Server) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()) as u32)
    }

    /// Its bytes, to hash it.
    pub fn bytes(self) -> [u8; 4] {
        self.0.to_le_bytes()
    }

    /// The key of one life of a server.
    pub fn of_life(server: &Server) -> Self {
        let id = server.id.as_str().as_bytes();
        match server.born {
            None => Self::new(&server.id),
            Some(StartTime(born)) => Self(xxh3_64_with_seed(id, born) as u32),
        }
    }
}

/// Requests under way at one server.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(Key, u32)", into = "(Key, u32)")]
pub struct Count {
    /// The server.
    pub server: Key,
    /// How many.
    pub requests: u32,
}

impl From<(Key, u32)> for Count {
    fn from((server, requests): (Key, u32)) -> Self {
        Self { server, requests }
    }
}

impl From<Count> for (Key, u32) {
    fn from(count: Count) -> Self {
        (count.server, count.requests)
    }
}

/// What an answer says that is new of the server that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Said {
    /// That it leaves.
    pub leaving: bool,
    /// That it wants nothing of this box for so long.
    pub rest: Option<Duration>,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A server came.
    Joined,
    /// A server started again under its id.
    Restarted,
    /// A server says that it leaves.
    Leaving,
    /// A server is cold for longer than was known.
    ColdForLonger,
    /// Nothing that matters here.
    None,
}

/// All servers.
#[derive(Default)]
pub struct Fleet {
    halls: RefCell<HashMap<ids::Hall, Rc<Hall>>>,
    servers: RefCell<HashMap<ids::Server, Rc<Backend>>>,
    /// Servers by where they listen.
    addresses: RefCell<HashMap<SocketAddr, Vec<ids::Server>>>,
    /// What servers said whose entries are gone.
    parted: Parted,
    /// The servers of services that were asked for since these last changed.
    services: RefCell<HashMap<ids::Service, Group>>,
}

/// The servers of one service.
#[derive(Clone)]
struct Group {
    /// Those that take new requests.
    serving: Rc<[Rc<Backend>]>,
    /// Those that would if their halls were not to be empty.
    emptied: Rc<[Rc<Backend>]>,
    /// How many leave.
    leaving: usize,
}

impl Fleet {
    /// Records an announcement that this box learned of at `now`; servers that
    /// it learns of together have the same moment.
    pub fn announce(&self, server: Server, now: Instant) -> Change {
        let mut restarted = false;
        let known = self.servers.borrow().get(&server.id).cloned();
        if let Some(backend) = known {
            backend.missing.set(false);
            if backend.is_life_of(&server) {
                backend.learn_birth(server.born);
                backend.slots.set(server.slots);
                let colder = backend.set_cold(server.cold, now);
                return match self.restate(&backend, server.state, now) {
                    Change::None if colder => Change::ColdForLonger,
                    change => change,
                };
            }
            // Another life has the id now: this one is gone, from the list of
            // its service too.
            self.remove(&server.id);
            restarted = true;
        }
        let word = self.parted.word_of(&server);
        if server.state == State::Draining {
            word.leave(Source::Entry, now);
        }
        let change = match word.leaving() {
            Some(_) => Change::Leaving,
            None if restarted => Change::Restarted,
            None => Change::Joined,
        };
        let service = server.service.clone();
        let hall = self.hall(&server.hall);
        let backend = Rc::new(Backend::new(server, word, hall, now));
        let id = backend.server.id.clone();
        let mut addresses = self.addresses.borrow_mut();
        let there = addresses.entry(backend.server.address).or_default();
        there.push(id.clone());
        self.servers.borrow_mut().insert(id, backend);
        self.regroup(&service);
        change
    }

    fn restate(&self, backend: &Rc<Backend>, state: State, now: Instant) -> Change {
        // A server that leaves does not come back in the same life: an entry that says
        // it is ready is older, whoever brings it.
        if state == State::Draining && self.leaves(backend, Source::Entry, now) {
            Change::Leaving
        } else {
            Change::None
        }
    }

    /// Records that a server leaves; returns whether that is new.
    fn leaves(&self, backend: &Backend, source: Source, now: Instant) -> bool {
        let is_new = backend.word.leave(source, now);
        if is_new {
            backend.close_resting();
            self.regroup(&backend.server.service);
        }
        is_new
    }

    /// Whether something may be sent to a server now.
    ///
    /// # Errors
    ///
    /// The server takes nothing new.
    pub fn permit(&self, backend: &Rc<Backend>, now: Instant) -> Result<Permit, Ineligible> {
        Permit::new(backend, now)
    }

    /// Records what the head of an answer to `attempt` says of the server that gave it,
    /// while `asked` was asked; logs and counts what is new.
    pub fn observe_answer(&self, asked: &Rc<Backend>, answer: &Answer, attempt: &str) {
        let said = self.apply_answer(asked, answer, Instant::now());
        if said == Said::default() {
            return;
        }
        log::info!(
            target: "request",
            "event=said id={attempt} server={} named={} status={} leaving={} rest_ms={}",
            asked.server.id,
            answer.server.as_deref().unwrap_or("-"),
            answer.status,
            said.leaving,
            said.rest.map_or(0, |time| time.as_millis()),
        );
        for (says, is_new) in [("leaving", said.leaving), ("rest", said.rest.is_some())] {
            metrics::counter!("tidepier_words_total", "says" => says).increment(u64::from(is_new));
        }
    }

    /// Records what the head of an answer says at `now`; returns what is new of it.
    ///
    /// An answer is a server's only word while the store is away: a box that went by
    /// entries alone sent for nine seconds to a server that said in each answer that it
    /// leaves, and its callers lose what it does not live to end.
    pub fn apply_answer(&self, asked: &Rc<Backend>, answer: &Answer, now: Instant) -> Said {
        let Some(speaker) = self.speaker(asked, answer) else {
            return Said::default();
        };
        let rest = answer
            .requested_backoff()
            .filter(|time| speaker.word.ask_rest(*time, now));
        Said {
            leaving: answer.leaving && self.leaves(&speaker, Source::Answer, now),
            rest,
        }
    }

    /// Ends the rest that a server asked for, by the operator's word; returns whether
    /// there was one.
    pub fn cancel_backoff(&self, id: &ids::Server) -> bool {
        self.get(id).is_some_and(|it| it.word.end_rest())
    }

    /// Ends the rests that are over, and returns whose they were.
    pub(crate) fn rested(&self, now: Instant) -> Vec<ids::Server> {
        let servers = self.servers.borrow();
        let rested = servers.values().filter(|it| {
            let rest = it.word.rest();
            rest.is_some_and(|rest| !rest.holds(now)) && it.word.end_rest()
        });
        rested.map(|it| it.server.id.clone()).collect()
    }

    /// Servers that say that they leave, and those that rest.
    pub fn withheld(&self, now: Instant) -> (usize, usize) {
        let servers = self.servers.borrow();
        let leaving = servers.values().filter(|it| it.word.leaving().is_some());
        let resting = servers.values().filter(|it| it.is_backing_off(now));
        (leaving.count(), resting.count())
    }

    /// Of whom an answer speaks that came from the address of `asked`: the server that
    /// it names, if that one is known there. One that names nobody is of the server that
    /// was asked, unless it says that it is another; a list of what is kept, to which a
    /// server answers whoever is asked, then speaks of one that leaves or of one that
    /// has taken the address of one that is gone: neither is to be asked again.
    fn speaker(&self, asked: &Rc<Backend>, answer: &Answer) -> Option<Rc<Backend>> {
        match answer.server.as_deref() {
            Some(named) if named == asked.server.id.as_str() => Some(asked.clone()),
            Some(named) => {
                let named = self.get(&named.parse().ok()?)?;
                (named.server.address == asked.server.address).then_some(named)
            }
            None if answer.status == MISDIRECTED => None,
            None => Some(asked.clone()),
        }
    }

    fn hall(&self, name: &ids::Hall) -> Rc<Hall> {
        let mut halls = self.halls.borrow_mut();
        halls.entry(name.clone()).or_default().clone()
    }

    /// The halls that servers are in, or were.
    pub fn halls(&self) -> Vec<ids::Hall> {
        self.halls.borrow().keys().cloned().collect()
    }

    /// Sets which halls the operator asked to empty, as learned at `now`: from
    /// now on their servers get nothing new, and connections to them that rest
    /// are closed. Returns those for which that changed, and to what.
    pub fn set_emptied(
        &self,
        emptied: &BTreeSet<ids::Hall>,
        now: Instant,
    ) -> Vec<(ids::Hall, bool)> {
        for name in emptied {
            self.hall(name);
        }
        let halls = self.halls.borrow();
        let changed = halls.iter().filter_map(|(name, hall)| {
            let empty = emptied.contains(name);
            hall.set_emptied(empty, now).then(|| (name.clone(), empty))
        });
        let changed: Vec<(ids::Hall, bool)> = changed.collect();
        for (name, _) in changed.iter().filter(|(_, empty)| *empty) {
            self.of_hall(name, |backend| backend.close_resting());
        }
        if !changed.is_empty() {
            self.services.borrow_mut().clear();
        }
        changed
    }

    /// Requests of this box under way in a hall.
    pub fn running_in(&self, hall: &ids::Hall) -> u32 {
        let mut sum = 0;
        self.of_hall(hall, |backend| sum += backend.in_flight());
        sum
    }

    fn of_hall(&self, hall: &ids::Hall, each: impl FnMut(&Rc<Backend>)) {
        let servers = self.servers.borrow();
        let there = servers.values();
        there.filter(|it| it.server.hall == *hall).for_each(each);
    }

    /// Records that a server's entry is missing while that may be the store's
    /// fault.
    pub fn mark_missing(&self, id: &ids::Server) {
        if let Some(backend) = self.servers.borrow().get(id) {
            backend.missing.set(true);
        }
    }

    /// Servers whose entries are missing.
    pub fn missing(&self) -> Vec<ids::Server> {
        let servers = self.servers.borrow();
        let missing = servers.values().filter(|backend| backend.missing.get());
        missing.map(|backend| backend.server.id.clone()).collect()
    }

    /// Ids of all known servers.
    pub fn ids(&self) -> Vec<ids::Server> {
        self.servers.borrow().keys().cloned().collect()
    }

    /// Records that another server answers at a server's address: this life of
    /// it is over, whatever its entry says, and each further request there
    /// would be lost time and a retry.
    pub fn mark_replaced(&self, id: &ids::Server) {
        if let Some(backend) = self.get(id) {
            backend.end();
            self.regroup(&backend.server.service);
        }
    }

    /// Drops a server and returns it, if it was known.
    pub fn remove(&self, id: &ids::Server) -> Option<Rc<Backend>> {
        let backend = self.servers.borrow_mut().remove(id)?;
        self.forget_address(&backend.server);
        backend.end();
        self.parted.keep(&backend);
        self.regroup(&backend.server.service);
        Some(backend)
    }

    fn forget_address(&self, server: &Server) {
        let mut addresses = self.addresses.borrow_mut();
        if let Some(there) = addresses.get_mut(&server.address) {
            there.retain(|id| *id != server.id);
            if there.is_empty() {
                addresses.remove(&server.address);
            }
        }
    }

    /// Other servers whose entries name the same address: one of all is there.
    pub fn sharing_address(&self, id: &ids::Server) -> Vec<ids::Server> {
        let servers = self.servers.borrow();
        let address = servers.get(id).map(|backend| backend.server.address);
        let addresses = self.addresses.borrow();
        let there = address.and_then(|address| addresses.get(&address));
        let others = there.into_iter().flatten().filter(|other| *other != id);
        others.cloned().collect()
    }

    /// A server that is known, also one that is leaving.
    pub fn get(&self, id: &ids::Server) -> Option<Rc<Backend>> {
        self.servers.borrow().get(id).cloned()
    }

    /// The servers of a service, also those that are leaving.
    pub fn known(&self, service: &ids::Service) -> Vec<Rc<Backend>> {
        let servers = self.servers.borrow();
        let known = servers.values();
        let known = known.filter(|backend| backend.server.service == *service);
        known.cloned().collect()
    }

    /// Requests of this box under way, by server.
    pub fn running(&self) -> HashMap<Key, u32> {
        let servers = self.servers.borrow();
        let busy = servers.values().filter(|backend| backend.in_flight() > 0);
        busy.map(|backend| (backend.key, backend.in_flight()))
            .collect()
    }

    /// Records what so many other boxes have under way at all servers.
    pub fn set_peer_in_flight(&self, requests: &HashMap<Key, u32>, boxes: u32, now: Instant) {
        for backend in self.servers.borrow().values() {
            let requests = requests.get(&backend.key).copied().unwrap_or(0);
            backend.set_others(requests, boxes, now);
        }
    }

    /// The servers of a service that take new requests.
    pub fn serving(&self, service: &ids::Service) -> Rc<[Rc<Backend>]> {
        self.group(service).serving
    }

    /// The servers of a service that would take requests if the operator had not
    /// asked to empty their halls.
    pub fn emptied(&self, service: &ids::Service) -> Rc<[Rc<Backend>]> {
        self.group(service).emptied
    }

    /// How many servers of a service rest.
    pub fn backing_off(&self, service: &ids::Service, now: Instant) -> usize {
        let serving = self.serving(service);
        serving.iter().filter(|it| it.is_backing_off(now)).count()
    }

    /// How many servers of a service say that they leave.
    pub fn leaving(&self, service: &ids::Service) -> usize {
        self.group(service).leaving
    }

    fn group(&self, service: &ids::Service) -> Group {
        let known = self.services.borrow().get(service).cloned();
        known.unwrap_or_else(|| {
            let group = self.regrouped(service);
            let mut services = self.services.borrow_mut();
            services.insert(service.clone(), group.clone());
            group
        })
    }

    /// Servers that are known.
    pub fn len(&self) -> usize {
        self.servers.borrow().len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.borrow().is_empty()
    }

    /// Has a service's servers put together again when they are next needed:
    /// once for a whole list of servers, and not once for each of them.
    fn regroup(&self, service: &ids::Service) {
        self.services.borrow_mut().remove(service);
    }

    fn regrouped(&self, service: &ids::Service) -> Group {
        let mut all = self.known(service);
        all.sort_by(|a, b| a.server.id.cmp(&b.server.id));
        let (mut serving, mut emptied, mut leaving) = (Vec::new(), Vec::new(), 0);
        for backend in all {
            match backend.standing() {
                // One that rests serves others.
                Ok(()) | Err(Ineligible::BackingOff) => serving.push(backend),
                Err(Ineligible::Emptied) => emptied.push(backend),
                Err(Ineligible::Leaving) => leaving += 1,
                Err(Ineligible::Gone) => {}
            }
        }
        Group {
            serving: serving.into(),
            emptied: emptied.into(),
            leaving,
        }
    }
}

/// The rest that is over first, if all of these servers rest.
pub fn earliest_backoff<'a>(
    servers: impl IntoIterator<Item = &'a Rc<Backend>>,
    now: Instant,
) -> Option<Backoff> {
    let rests = servers.into_iter().map(|it| it.rest(now));
    let rests: Option<Vec<Backoff>> = rests.collect();
    rests?.into_iter().min_by_key(|rest| rest.until)
}
