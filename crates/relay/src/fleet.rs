//! The backend servers, and what this box has seen of each.
//!
//! Invariants:
//!
//! * A server that is leaving or gone is never returned by [`Fleet::serving`].
//! * A server's id stands for one life of it: all that is known of one life is
//!   dropped with it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tidepier_core::answer::Load;
use tidepier_core::server::{Server, State};
use tidepier_h1::Conn;
use tidepier_ids as ids;

use crate::health::{Hall, Health, Outcome};
use crate::notice::Notice;

/// Resting connections that are kept for one server.
const IDLE_MAX: usize = 24;
/// Rest after which a connection is not used again where the server does not
/// tell how long it keeps one.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Taken off the time that a server says it keeps a connection, for the way of
/// a request to it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Time from this process's start in which servers that it hears of count as
/// having been there before.
const START_TIME: Duration = Duration::from_secs(8);

/// A connection that rests.
struct Idle {
    conn: Conn,
    since: Instant,
    until: Instant,
}

/// A load told by the server itself, with what this box has changed since.
#[derive(Debug, Clone, Copy)]
struct Told {
    load: Load,
    at: Instant,
    /// Requests that this box had under way when it was told.
    own: u32,
}

/// One backend server.
pub struct Backend {
    /// As it announced itself.
    pub server: Server,
    /// What this box has seen of its health.
    pub health: Health,
    /// What it has seen of all servers of its hall.
    pub hall: Rc<Hall>,
    state: Cell<State>,
    /// When this box heard of it; `None` when it was there before.
    joined: Option<Instant>,
    /// Its entry is gone while the store cannot be relied on.
    missing: Cell<bool>,
    own: Cell<u32>,
    told: Cell<Option<Told>>,
    heard: Cell<Option<Instant>>,
    /// Prompt tokens sent by this box whose answers have not begun.
    prefill: Cell<u64>,
    idle: RefCell<Vec<Idle>>,
}

/// Counts a request as under way at a server until it is dropped.
pub struct Running {
    backend: Rc<Backend>,
    prefill: Cell<u64>,
}

impl Running {
    /// The prompt has been read: its answer has begun.
    pub fn begun(&self) {
        let tokens = self.prefill.replace(0);
        let prefill = &self.backend.prefill;
        prefill.set(prefill.get().saturating_sub(tokens));
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.begun();
        let own = &self.backend.own;
        own.set(own.get().saturating_sub(1));
    }
}

impl Backend {
    fn new(server: Server, hall: Rc<Hall>, joined: Option<Instant>) -> Self {
        Self {
            joined,
            hall,
            state: Cell::new(server.state),
            server,
            health: Health::default(),
            missing: Cell::new(false),
            own: Cell::new(0),
            told: Cell::new(None),
            heard: Cell::new(None),
            prefill: Cell::new(0),
            idle: RefCell::default(),
        }
    }

    /// Whether it joined less than `most` ago.
    pub fn is_new(&self, most: Duration, now: Instant) -> bool {
        let joined = self.joined;
        joined.is_some_and(|joined| now.duration_since(joined) < most)
    }

    /// Whether it takes new requests.
    pub fn serves(&self) -> bool {
        self.state.get() == State::Ready
    }

    /// Requests of this box that are under way there.
    pub fn own(&self) -> u32 {
        self.own.get()
    }

    /// Counts a request with so many prompt tokens to read as under way.
    pub fn run(self: &Rc<Self>, prefill: u64) -> Running {
        self.own.set(self.own.get() + 1);
        self.prefill.set(self.prefill.get() + prefill);
        Running {
            backend: self.clone(),
            prefill: Cell::new(prefill),
        }
    }

    /// Prompt tokens sent by this box whose answers have not begun.
    pub fn prefill(&self) -> u64 {
        self.prefill.get()
    }

    /// Records that something came from it.
    pub fn hear(&self) {
        let now = Instant::now();
        self.heard.set(Some(now));
        self.hall.hear(now);
    }

    /// Records how a request there ended.
    pub fn record(&self, outcome: Outcome, now: Instant) {
        if outcome == Outcome::Silent {
            self.hall.miss(now);
        }
        self.health.record(outcome, now);
    }

    /// When something last came from it.
    pub fn heard(&self) -> Option<Instant> {
        self.heard.get()
    }

    /// Records a load that the server told.
    pub fn told(&self, load: Load, at: Instant) {
        self.told.set(Some(Told {
            load,
            at,
            own: self.own.get(),
        }));
    }

    /// The last load told that is younger than `most`, corrected by what this
    /// box has sent and finished since: requests running and waiting.
    pub fn load(&self, most: Duration) -> Option<u32> {
        let told = self.told.get().filter(|told| told.at.elapsed() < most)?;
        let sum = told.load.running + told.load.waiting;
        Some(
            (sum + self.own.get())
                .saturating_sub(told.own)
                .max(self.own.get()),
        )
    }

    /// A resting connection that is still good; none that has rested longer
    /// than `rest`.
    pub fn connection(&self, rest: Duration) -> Option<Conn> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(mut last) = idle.pop() {
            let usable = last.until > now && now - last.since < rest;
            if usable && last.conn.rests() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Keeps a connection on which nothing is under way.
    pub fn keep(&self, mut conn: Conn, keep_alive: Option<Duration>) {
        if !self.serves() || !conn.rests() {
            return;
        }
        let now = Instant::now();
        let told = keep_alive.map(|time| time.saturating_sub(IDLE_MARGIN));
        let until = now + told.unwrap_or(IDLE_TIME);
        let mut idle = self.idle.borrow_mut();
        idle.retain(|other| other.until > now);
        if idle.len() < IDLE_MAX {
            idle.push(Idle {
                conn,
                since: now,
                until,
            });
        }
    }

    fn leave(&self) {
        self.state.set(State::Draining);
        self.idle.borrow_mut().clear();
    }
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A server came.
    Joined,
    /// A server says that it leaves.
    Leaving,
    /// Nothing that matters here.
    None,
}

/// All servers.
pub struct Fleet {
    started: Instant,
    halls: RefCell<HashMap<ids::Hall, Rc<Hall>>>,
    servers: RefCell<HashMap<ids::Server, Rc<Backend>>>,
    services: RefCell<HashMap<ids::Service, Rc<[Rc<Backend>]>>>,
    /// Told when a server came or left.
    pub changed: Notice,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            halls: RefCell::default(),
            servers: RefCell::default(),
            services: RefCell::default(),
            changed: Notice::default(),
        }
    }
}

impl Fleet {
    /// Records an announcement.
    pub fn announce(&self, server: Server) -> Change {
        let known = self.servers.borrow().get(&server.id).cloned();
        if let Some(backend) = known {
            backend.missing.set(false);
            if backend.server.address == server.address && backend.server.service == server.service
            {
                return self.restate(&backend, server.state);
            }
        }
        let change = match server.state {
            State::Ready => Change::Joined,
            State::Draining => Change::Leaving,
        };
        let service = server.service.clone();
        let hall = self
            .halls
            .borrow_mut()
            .entry(server.hall.clone())
            .or_default()
            .clone();
        let joined = (self.started.elapsed() > START_TIME).then(Instant::now);
        let backend = Rc::new(Backend::new(server, hall, joined));
        let id = backend.server.id.clone();
        self.servers.borrow_mut().insert(id, backend);
        self.regroup(&service);
        change
    }

    fn restate(&self, backend: &Rc<Backend>, state: State) -> Change {
        match (backend.state.get(), state) {
            (State::Ready, State::Draining) => {
                backend.leave();
                self.regroup(&backend.server.service);
                Change::Leaving
            }
            // A server that leaves does not come back in the same life: what
            // says so is older.
            _ => Change::None,
        }
    }

    /// Records that a server's entry is missing while that may be the store's
    /// fault.
    pub fn miss(&self, id: &ids::Server) {
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

    /// Drops a server; whether it was known.
    pub fn remove(&self, id: &ids::Server) -> bool {
        let removed = self.servers.borrow_mut().remove(id);
        let Some(backend) = removed else {
            return false;
        };
        backend.leave();
        self.regroup(&backend.server.service);
        true
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

    /// The servers of a service that take new requests.
    pub fn serving(&self, service: &ids::Service) -> Rc<[Rc<Backend>]> {
        let services = self.services.borrow();
        services
            .get(service)
            .cloned()
            .unwrap_or_else(|| Rc::new([]))
    }

    /// Whether any server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.borrow().is_empty()
    }

    fn regroup(&self, service: &ids::Service) {
        let servers = self.servers.borrow();
        let of_service = servers
            .values()
            .filter(|backend| backend.server.service == *service && backend.serves());
        let mut group: Vec<Rc<Backend>> = of_service.cloned().collect();
        group.sort_by(|a, b| a.server.id.cmp(&b.server.id));
        self.services
            .borrow_mut()
            .insert(service.clone(), group.into());
        self.changed.tell();
    }
}
