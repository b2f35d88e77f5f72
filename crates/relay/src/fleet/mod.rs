//! The backend servers, and what this box has observed of each.
//!
//! Invariants:
//!
//! * A server that is leaving or gone is never returned by [`Fleet::serving`].
//! * Nothing is sent to a server without a [`Permit`].
//! * One incarnation of a server is identified by its id and its start time (`born`).
//!   All that is known of an incarnation is dropped with it.

pub mod advertisement;
mod backend;
pub mod backoff;
pub mod check;
mod departed;
mod hall;
mod idle;
pub mod lives;
mod permit;
pub mod probes;
pub mod reach;
pub mod releases;
pub mod silence;
pub mod speeds;
mod stalls;
pub mod used;
pub(crate) mod watch;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_admission::speed;
use tidepier_clock::Instant;
use tidepier_core::answer::Answer;
use tidepier_core::server::{Server, StartTime, State};
use tidepier_ids as ids;
use tidepier_platform::answer::MISDIRECTED;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use advertisement::{Ineligible, LeavingSource};
pub use backend::{Backend, InFlight, Plain};
use backoff::Backoff;
use departed::Departed;
pub use hall::Hall;
pub use permit::Permit;
use probes::Probes;
use reach::Reach;
use releases::Releases;
use speeds::Speeds;
use stalls::Stalls;

/// Time for which the usual speed of a service's engines serves further choices: summing up
/// 250 engines for each choice took 9 to 29 µs of the 50 µs that a choice may take.
const USUAL_SPEED_TTL: Duration = Duration::from_millis(100);

/// Identifies one incarnation of a server in messages between boxes: the lower half of a
/// 64-bit hash. In one of 10,000 fleets of 900 servers two have the same key; their
/// counts are then added up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(u32);

impl Key {
    /// The key of a server whose start time is unknown.
    pub fn new(id: &ids::Server) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()) as u32)
    }

    /// The bytes of the key, as input for a hash.
    pub fn bytes(self) -> [u8; 4] {
        self.0.to_le_bytes()
    }

    /// The key of one incarnation of a server.
    pub fn of_incarnation(server: &Server) -> Self {
        let id = server.id.as_str().as_bytes();
        match server.born {
            None => Self::new(&server.id),
            Some(StartTime(born)) => Self(xxh3_64_with_seed(id, born) as u32),
        }
    }
}

/// Requests in flight at one server.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(Key, u32)", into = "(Key, u32)")]
pub struct Count {
    /// The server.
    pub server: Key,
    /// The number of requests.
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

/// What an answer advertises about the server that gave it and was not known before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Update {
    /// Whether it is leaving.
    pub leaving: bool,
    /// The back-off that it requests of this box.
    pub backoff: Option<Duration>,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A server joined.
    Joined,
    /// A server restarted under the same id.
    Restarted,
    /// A server is leaving.
    Leaving,
    /// A server stays cold for longer than was known.
    ColdForLonger,
    /// Nothing that matters here.
    None,
}

/// All servers.
#[derive(Default)]
pub struct Fleet {
    halls: RefCell<HashMap<ids::Hall, Rc<Hall>>>,
    /// Which servers this box reaches, by service and hall.
    reaches: RefCell<HashMap<reach::Group, Rc<Reach>>>,
    servers: RefCell<HashMap<ids::Server, Rc<Backend>>>,
    /// Servers by listening address.
    addresses: RefCell<HashMap<SocketAddr, Vec<ids::Server>>>,
    /// The releases that servers run and have run.
    pub releases: Releases,
    /// What servers advertised whose entries are gone.
    departed: Departed,
    /// The probes of ejected servers.
    pub probes: Probes,
    /// What this box reports of servers that stand still.
    pub stalls: Rc<Stalls>,
    /// The servers by service, built when a service is first looked up after a change.
    services: RefCell<HashMap<ids::Service, Group>>,
    /// What speed is usual among the engines of each service, and as of when.
    usual_speeds: RefCell<HashMap<ids::Service, (speed::Service, Instant)>>,
}

/// The servers of one service.
#[derive(Clone)]
struct Group {
    /// Servers that accept new requests.
    serving: Rc<[Rc<Backend>]>,
    /// Servers that would if the operator had not requested to empty their halls.
    emptied: Rc<[Rc<Backend>]>,
    /// Number of servers that are leaving.
    leaving: usize,
}

impl Fleet {
    /// Records an announcement that this box learned of at `now`. Servers that the box
    /// learns of together are given the same time.
    pub fn announce(&self, server: Server, now: Instant) -> Change {
        let mut restarted = false;
        let known = self.servers.borrow().get(&server.id).cloned();
        if let Some(backend) = known {
            backend.missing.set(false);
            if backend.is_same_incarnation(&server) {
                backend.record_start_time(server.born);
                backend.slots.set(server.slots);
                let colder = backend.set_cold(server.cold, now);
                return match self.apply_state(&backend, server.state, now) {
                    Change::None if colder => Change::ColdForLonger,
                    change => change,
                };
            }
            // Another incarnation has the id now: the old one is removed, also from the
            // list of its service.
            self.remove(&server.id);
            restarted = true;
        }
        let advertisement = self.departed.take_advertisement(&server);
        if server.state == State::Draining {
            advertisement.mark_leaving(LeavingSource::Entry, now);
        }
        let change = match advertisement.leaving() {
            Some(_) => Change::Leaving,
            None if restarted => Change::Restarted,
            None => Change::Joined,
        };
        let service = server.service.clone();
        let hall = self.hall(&server.hall);
        let reach = self.reach(reach::Group {
            service: server.service.clone(),
            hall: server.hall.clone(),
        });
        reach.add();
        self.releases.joined(&server, now);
        let stalls = self.stalls.clone();
        let backend = Backend::new(server, advertisement, hall, reach, stalls, now);
        let backend = Rc::new(backend);
        let id = backend.server.id.clone();
        let mut addresses = self.addresses.borrow_mut();
        let there = addresses.entry(backend.server.address).or_default();
        there.push(id.clone());
        self.servers.borrow_mut().insert(id, backend);
        self.invalidate_group(&service);
        change
    }

    fn apply_state(&self, backend: &Rc<Backend>, state: State, now: Instant) -> Change {
        // A server that is leaving stays so for the whole incarnation: an entry with the
        // state `ready` is older, whoever sends it.
        if state == State::Draining && self.record_leaving(backend, LeavingSource::Entry, now) {
            Change::Leaving
        } else {
            Change::None
        }
    }

    /// Records that a server is leaving. Returns whether that is new.
    fn record_leaving(&self, backend: &Backend, source: LeavingSource, now: Instant) -> bool {
        let is_new = backend.advertisement.mark_leaving(source, now);
        if is_new {
            backend.close_idle();
            self.invalidate_group(&backend.server.service);
        }
        is_new
    }

    /// Checks that something may be sent to a server now.
    ///
    /// # Errors
    ///
    /// Returns the reason if the server accepts nothing new.
    pub fn permit(&self, backend: &Rc<Backend>, now: Instant) -> Result<Permit, Ineligible> {
        Permit::new(backend, now)
    }

    /// Records what the head of an answer to `attempt`, which was sent to `asked`,
    /// advertises about the server that gave it. Logs and counts what is new.
    pub fn observe_answer(&self, asked: &Rc<Backend>, answer: &Answer, attempt: &str) {
        let update = self.apply_answer(asked, answer, Instant::now());
        if update == Update::default() {
            return;
        }
        log::info!(
            target: "request",
            "event=said id={attempt} server={} named={} status={} leaving={} rest_ms={}",
            asked.server.id,
            answer.server.as_deref().unwrap_or("-"),
            answer.status,
            update.leaving,
            update.backoff.map_or(0, |time| time.as_millis()),
        );
        for (says, is_new) in [
            ("leaving", update.leaving),
            ("rest", update.backoff.is_some()),
        ] {
            metrics::counter!("tidepier_words_total", "says" => says).increment(u64::from(is_new));
        }
    }

    /// Records what the head of an answer, received at `now`, advertises. Returns what
    /// is new.
    ///
    /// While the store is unreachable, answers are the only source of this. A box that
    /// used entries alone sent requests for nine seconds to a server each of whose
    /// answers said that it was leaving; such requests are lost if the server ends
    /// before they do.
    pub fn apply_answer(&self, asked: &Rc<Backend>, answer: &Answer, now: Instant) -> Update {
        let Some(answering_server) = self.answering_server(asked, answer) else {
            return Update::default();
        };
        let backoff = answer
            .requested_backoff()
            .filter(|time| answering_server.advertisement.request_backoff(*time, now));
        Update {
            leaving: answer.leaving
                && self.record_leaving(&answering_server, LeavingSource::Answer, now),
            backoff,
        }
    }

    /// Ends the back-off that a server requested, at the operator's request. Returns
    /// whether there was one.
    pub fn cancel_backoff(&self, id: &ids::Server) -> bool {
        self.get(id)
            .is_some_and(|it| it.advertisement.end_backoff())
    }

    /// Removes the back-offs that have ended, and returns the servers that requested
    /// them.
    pub(crate) fn expire_backoffs(&self, now: Instant) -> Vec<ids::Server> {
        let servers = self.servers.borrow();
        let expire_backoffs = servers.values().filter(|it| {
            let backoff = it.advertisement.backoff();
            backoff.is_some_and(|backoff| !backoff.is_active(now)) && it.advertisement.end_backoff()
        });
        expire_backoffs.map(|it| it.server.id.clone()).collect()
    }

    /// Numbers of servers that are leaving and of servers backing off.
    pub fn count_ineligible(&self, now: Instant) -> (usize, usize) {
        let servers = self.servers.borrow();
        let leaving = servers
            .values()
            .filter(|it| it.advertisement.leaving().is_some());
        let backing_off = servers.values().filter(|it| it.is_backing_off(now));
        (leaving.count(), backing_off.count())
    }

    /// Number of servers in groups of which this box reaches none.
    pub fn count_unreached(&self) -> usize {
        let reaches = self.reaches.borrow();
        let unreached = reaches.values().filter(|reach| reach.is_unreached());
        unreached.map(|reach| reach.size()).sum()
    }

    /// Servers of which it should be found out whether they are reached directly again: at
    /// most `most` of each group, at random.
    pub(crate) fn to_probe(&self, most: usize, now: Instant) -> Vec<Rc<Backend>> {
        let mut chosen = Vec::new();
        let groups = self.reaches().into_iter();
        for (group, reach) in groups.filter(|(_, reach)| reach.has_probes()) {
            let serving = self.serving(&group.service);
            let there = serving.iter().filter(|it| it.server.hall == group.hall);
            let there = there.filter(|it| it.check_eligible(now).is_ok());
            let (detoured, others): (Vec<_>, Vec<_>) =
                there.partition(|it| reach.has_failing_way(it.key));
            let probed = match detoured.is_empty() && reach.is_silent() {
                true => fastrand::choose_multiple(others, 1),
                false => fastrand::choose_multiple(detoured, most),
            };
            chosen.extend(probed.into_iter().cloned());
        }
        chosen
    }

    /// The server that an answer from the address of `asked` is about: the server that
    /// it names, if that one is known at this address. An answer that names no server is
    /// about `asked`, unless its status says that another server has the address. A
    /// server also answers a query for its kept entries when the query was meant for
    /// another server; such an answer then concerns a server that is leaving, or one
    /// that has taken over the address of a server that is gone. Neither is to be sent
    /// anything more.
    fn answering_server(&self, asked: &Rc<Backend>, answer: &Answer) -> Option<Rc<Backend>> {
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

    fn reach(&self, group: reach::Group) -> Rc<Reach> {
        let mut reaches = self.reaches.borrow_mut();
        reaches.entry(group).or_default().clone()
    }

    /// The reach of every group of servers, by service and hall.
    pub fn reaches(&self) -> Vec<(reach::Group, Rc<Reach>)> {
        let reaches = self.reaches.borrow();
        let reaches = reaches.iter();
        reaches
            .map(|(group, reach)| (group.clone(), reach.clone()))
            .collect()
    }

    /// The halls of all servers that are or were known, and those that were ever set to
    /// be empty.
    pub fn halls(&self) -> Vec<ids::Hall> {
        self.halls.borrow().keys().cloned().collect()
    }

    /// Sets the halls that the operator requested to empty, as learned at `now`. From now on
    /// their servers get nothing new, and the idle connections to them are closed.
    /// Returns the halls for which this changed, with `true` for those to be emptied.
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
            self.for_each_in_hall(name, |backend| backend.close_idle());
        }
        if !changed.is_empty() {
            self.services.borrow_mut().clear();
        }
        changed
    }

    /// Requests of this box in flight in a hall.
    pub fn running_in(&self, hall: &ids::Hall) -> u32 {
        let mut sum = 0;
        self.for_each_in_hall(hall, |backend| sum += backend.in_flight());
        sum
    }

    fn for_each_in_hall(&self, hall: &ids::Hall, each: impl FnMut(&Rc<Backend>)) {
        let servers = self.servers.borrow();
        let there = servers.values();
        there.filter(|it| it.server.hall == *hall).for_each(each);
    }

    /// Records that a server's entry is missing while the store may be at fault.
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

    /// Records that another server answers at a server's address. This ends the
    /// incarnation, whatever its entry says: each further request there would cost time
    /// and a retry.
    pub fn mark_replaced(&self, id: &ids::Server) {
        if let Some(backend) = self.get(id) {
            backend.end();
            self.invalidate_group(&backend.server.service);
        }
    }

    /// Drops a server and returns it, if it was known.
    pub fn remove(&self, id: &ids::Server) -> Option<Rc<Backend>> {
        let backend = self.servers.borrow_mut().remove(id)?;
        self.remove_address(&backend.server);
        backend.end();
        self.releases.left(&backend.server, Instant::now());
        backend.reach.remove(backend.key);
        self.departed.keep(&backend);
        self.invalidate_group(&backend.server.service);
        Some(backend)
    }

    fn remove_address(&self, server: &Server) {
        let mut addresses = self.addresses.borrow_mut();
        if let Some(there) = addresses.get_mut(&server.address) {
            there.retain(|id| *id != server.id);
            if there.is_empty() {
                addresses.remove(&server.address);
            }
        }
    }

    /// Other servers whose entries name the same address. At most one server listens
    /// there.
    pub fn sharing_address(&self, id: &ids::Server) -> Vec<ids::Server> {
        let servers = self.servers.borrow();
        let address = servers.get(id).map(|backend| backend.server.address);
        let addresses = self.addresses.borrow();
        let there = address.and_then(|address| addresses.get(&address));
        let others = there.into_iter().flatten().filter(|other| *other != id);
        others.cloned().collect()
    }

    /// A known server, including one that is leaving.
    pub fn get(&self, id: &ids::Server) -> Option<Rc<Backend>> {
        self.servers.borrow().get(id).cloned()
    }

    /// The servers of a service, including those that are leaving.
    pub fn known(&self, service: &ids::Service) -> Vec<Rc<Backend>> {
        let servers = self.servers.borrow();
        let known = servers.values();
        let known = known.filter(|backend| backend.server.service == *service);
        known.cloned().collect()
    }

    /// Requests of this box in flight, by server.
    pub fn running(&self) -> HashMap<Key, u32> {
        let servers = self.servers.borrow();
        let busy = servers.values().filter(|backend| backend.in_flight() > 0);
        busy.map(|backend| (backend.key, backend.in_flight()))
            .collect()
    }

    /// Records how many requests `boxes` other boxes have in flight at each server.
    pub fn set_peer_in_flight(&self, requests: &HashMap<Key, u32>, boxes: u32, now: Instant) {
        for backend in self.servers.borrow().values() {
            let requests = requests.get(&backend.key).copied().unwrap_or(0);
            backend.set_others(requests, boxes, now);
        }
    }

    /// What this box learned of the speeds of engines.
    pub fn speeds(&self, now: Instant) -> Speeds {
        let servers = self.servers.borrow();
        let speeds = servers.values().map(|it| (it.key, it.speed().summary(now)));
        speeds.collect()
    }

    /// What speed is usual among the engines of a service that accept new requests.
    pub fn usual_speed(&self, service: &ids::Service, now: Instant) -> speed::Service {
        let known = self.usual_speeds.borrow().get(service).copied();
        let recent = |at| now.saturating_duration_since(at) < USUAL_SPEED_TTL;
        if let Some((usual, _)) = known.filter(|(_, at)| recent(*at)) {
            return usual;
        }
        let serving = self.serving(service);
        let usual = speed::Service::new(serving.iter().map(|it| it.speed()), now);
        let mut known = self.usual_speeds.borrow_mut();
        known.insert(service.clone(), (usual, now));
        usual
    }

    /// Records what other boxes learned of the speeds of engines.
    pub fn set_peer_speeds(&self, speeds: &Speeds, now: Instant) {
        for backend in self.servers.borrow().values() {
            backend.set_peer_speed(speeds.get(backend.key), now);
        }
    }

    /// The servers of a service that accept new requests. Servers that are backing off
    /// are included.
    pub fn serving(&self, service: &ids::Service) -> Rc<[Rc<Backend>]> {
        self.group(service).serving
    }

    /// The servers of a service that would take requests if the operator had not
    /// requested to empty their halls.
    pub fn emptied(&self, service: &ids::Service) -> Rc<[Rc<Backend>]> {
        self.group(service).emptied
    }

    /// Number of servers of a service that are backing off.
    pub fn backing_off(&self, service: &ids::Service, now: Instant) -> usize {
        let serving = self.serving(service);
        serving.iter().filter(|it| it.is_backing_off(now)).count()
    }

    /// Number of servers of a service that this box has ejected.
    pub fn ejected(&self, service: &ids::Service) -> usize {
        let serving = self.serving(service);
        serving.iter().filter(|it| it.health.is_ejected()).count()
    }

    /// Number of servers of a service that are leaving.
    pub fn leaving(&self, service: &ids::Service) -> usize {
        self.group(service).leaving
    }

    fn group(&self, service: &ids::Service) -> Group {
        let known = self.services.borrow().get(service).cloned();
        known.unwrap_or_else(|| {
            let group = self.build_group(service);
            let mut services = self.services.borrow_mut();
            services.insert(service.clone(), group.clone());
            group
        })
    }

    /// Number of known servers.
    pub fn len(&self) -> usize {
        self.servers.borrow().len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.borrow().is_empty()
    }

    /// Drops the cached lists of a service, so that they are built again when next
    /// needed: once for a whole list of servers instead of once for each of them.
    fn invalidate_group(&self, service: &ids::Service) {
        self.services.borrow_mut().remove(service);
    }

    fn build_group(&self, service: &ids::Service) -> Group {
        let mut all = self.known(service);
        all.sort_by(|a, b| a.server.id.cmp(&b.server.id));
        let (mut serving, mut emptied, mut leaving) = (Vec::new(), Vec::new(), 0);
        for backend in all {
            match backend.check_serving() {
                // A back-off concerns one box; the server serves other boxes.
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

/// The back-off that ends first, if all of these servers are backing off.
pub fn earliest_backoff<'a>(
    servers: impl IntoIterator<Item = &'a Rc<Backend>>,
    now: Instant,
) -> Option<Backoff> {
    let backoffs = servers.into_iter().map(|it| it.backoff(now));
    let backoffs: Option<Vec<Backoff>> = backoffs.collect();
    backoffs?.into_iter().min_by_key(|backoff| backoff.until)
}
