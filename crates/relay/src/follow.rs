//! Following the platform's store: the operator's catalog, the proof that it
//! is the newest, and the backend servers.
//!
//! Three tasks: one watches the catalog, one watches the servers, and one asks
//! at a steady pace whether the catalog in force is still the newest. A watch
//! that says nothing is no proof of that: it may be cut off, or late.
//!
//! Invariants:
//!
//! * A proof bears the time before its question was sent.
//! * A server is dropped when its entry goes while the store can be relied on;
//!   else a while after the store is back, if the entry is still missing.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_ids as ids;
use tidepier_platform::store::{Client, Event, Failure, Item, Revision, Swap};
use tidepier_platform::{catalog, key, server};

use crate::fleet::Change;
use crate::notice::Notice;
use crate::relay::Relay;

/// Longest time for one call: a slow store answers within a few hundred ms.
const CALL_TIME: Duration = Duration::from_millis(1_200);
/// Time that a watch waits for a change: the store's longest.
const WATCH_TIME: Duration = Duration::from_secs(30);
/// Time between two proofs. A box whose way to the store is cut keeps serving
/// keys for the bound less this, so it is kept well under half of the bound.
const PROOF_TIME: Duration = Duration::from_millis(1_600);
/// First pause after a call that failed; doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(120);
/// Longest pause after a call that failed.
const PAUSE_MAX: Duration = Duration::from_millis(900);
/// Time in which further changes of servers are gathered before the watch goes
/// on: each return of a watch is a call that is paid for.
const GATHER_TIME: Duration = Duration::from_millis(400);
/// How long after the store is back an entry that lapsed may stay missing.
const LAPSE_TIME: Duration = Duration::from_millis(2_200);

/// Time between two looks whether the store can be relied on again.
const LAPSE_LOOK: Duration = Duration::from_millis(100);

/// The follower of the store.
pub struct Follower {
    relay: Rc<Relay>,
    store: Client,
    /// Revision of the catalog's entry in force here.
    revision: Cell<Option<Revision>>,
    /// Whether the last proof failed.
    away: Cell<bool>,
    /// Until when an entry's absence may be the store's fault.
    doubt: Cell<Option<Instant>>,
    /// Told when the store is back after it was away.
    back: Notice,
}

impl Follower {
    /// A follower that knows nothing yet.
    pub fn new(relay: Rc<Relay>, store: Client) -> Rc<Self> {
        Rc::new(Self {
            relay,
            store,
            revision: Cell::new(None),
            away: Cell::new(false),
            doubt: Cell::new(None),
            back: Notice::default(),
        })
    }

    /// Follows the catalog; does not end.
    pub async fn catalog(self: Rc<Self>) {
        let mut pause = Pause::default();
        loop {
            match self.read_catalog().await {
                Ok(from) => {
                    pause.reset();
                    self.watch_catalog(from).await;
                }
                Err(failure) => self.failure("catalog", &failure),
            }
            pause.rest().await;
        }
    }

    async fn read_catalog(&self) -> Result<Revision, Failure> {
        let asked = Instant::now();
        let read = self.store.get(key::CONFIG, CALL_TIME).await?;
        match read.value {
            Some(item) => self.take_catalog(&item, Some(asked)),
            None => log::info!(target: "belief", "event=no_catalog revision={}", read.revision),
        }
        Ok(read.revision)
    }

    /// Watches the catalog until the watch breaks.
    async fn watch_catalog(&self, mut from: Revision) {
        loop {
            let watch = self.store.watch(key::CONFIG, from, WATCH_TIME);
            match watch.or(self.restart()).await {
                Ok(read) => {
                    for event in &read.value {
                        if let Event::Put(item) = event {
                            self.take_catalog(item, None);
                        }
                    }
                    from = read.revision;
                }
                Err(failure) => return self.failure("catalog_watch", &failure),
            }
        }
    }

    /// Puts an entry of the catalog in force if it is newer. `asked` is when
    /// the question was sent to which the entry is the newest answer.
    fn take_catalog(&self, item: &Item, asked: Option<Instant>) {
        let known = self.revision.get();
        if known.is_none_or(|known| known < item.revision) && !self.adopt(item) {
            return;
        }
        if let Some(asked) = asked {
            if self.revision.get() == Some(item.revision) {
                self.relay.view.prove(asked);
            }
        }
    }

    fn adopt(&self, item: &Item) -> bool {
        let catalog = match catalog::decode(&item.value) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(
                    target: "belief",
                    "event=catalog_invalid revision={} why=\"{error}\"",
                    item.revision
                );
                return false;
            }
        };
        let version = catalog.version;
        let before = self.relay.view.version();
        let adopted = self.relay.view.adopt(catalog);
        self.revision.set(Some(item.revision));
        log::info!(
            target: "belief",
            "event=catalog version={version} before={before} adopted={adopted} revision={} bytes={}",
            item.revision,
            item.value.len(),
        );
        true
    }

    /// Asks at a steady pace whether the catalog in force is the newest; does
    /// not end.
    pub async fn prove(self: Rc<Self>) {
        let mut pause = Pause::default();
        loop {
            match self.proof().await {
                Ok(()) => {
                    pause.reset();
                    self.returned();
                    Timer::after(PROOF_TIME).await;
                }
                Err(failure) => {
                    self.failure("proof", &failure);
                    self.went();
                    pause.rest().await;
                }
            }
        }
    }

    async fn proof(&self) -> Result<(), Failure> {
        let asked = Instant::now();
        let Some(revision) = self.revision.get() else {
            return self.read_catalog().await.map(|_| ());
        };
        // A change of nothing, under the condition that the entry is what is
        // known here: small, and answered by the store's newest state.
        let expected = [(key::CONFIG, revision)];
        match self.store.swap(&expected, &[], &[], CALL_TIME).await? {
            Swap::Done(_) => {
                if self.revision.get() == Some(revision) {
                    self.relay.view.prove(asked);
                }
            }
            Swap::Conflict(items) => {
                for item in items.iter().filter(|item| item.key == key::CONFIG) {
                    self.take_catalog(item, Some(asked));
                }
            }
            Swap::NoLease => {}
        }
        Ok(())
    }

    fn went(&self) {
        if !self.away.replace(true) {
            log::warn!(target: "belief", "event=store_lost");
        }
    }

    fn returned(&self) {
        if self.away.replace(false) {
            self.doubt.set(Some(Instant::now() + LAPSE_TIME));
            log::info!(target: "belief", "event=store_back");
            self.back.tell();
        }
    }

    /// Ends a watch when the store is back after it was away: the watch may
    /// hang on a connection that nothing comes through any more.
    async fn restart<T>(&self) -> Result<T, Failure> {
        self.back.wait().await;
        Err(Failure::Malformed("the store was away".into()))
    }

    fn failure(&self, what: &str, failure: &Failure) {
        metrics::counter!("tidepier_store_failures_total", "call" => failure.name()).increment(1);
        log::info!(
            target: "belief",
            "event=store_call_failed call={what} why={} detail=\"{failure}\"",
            failure.name()
        );
    }

    /// Whether an entry that is absent is gone.
    fn reliable(&self) -> bool {
        let doubted = self.doubt.get().is_some_and(|until| Instant::now() < until);
        !self.away.get() && !doubted
    }

    /// Follows the servers; does not end.
    pub async fn servers(self: Rc<Self>) {
        let mut pause = Pause::default();
        loop {
            match self.store.list(key::SERVERS, false, CALL_TIME).await {
                Ok(read) => {
                    pause.reset();
                    self.take_servers(&read.value);
                    self.watch_servers(read.revision).await;
                }
                Err(failure) => self.failure("servers", &failure),
            }
            pause.rest().await;
        }
    }

    async fn watch_servers(&self, mut from: Revision) {
        loop {
            let watch = self.store.watch(key::SERVERS, from, WATCH_TIME);
            match watch.or(self.restart()).await {
                Ok(read) => {
                    for event in &read.value {
                        self.take_server_event(event);
                    }
                    from = read.revision;
                    if !read.value.is_empty() {
                        Timer::after(GATHER_TIME).await;
                    }
                }
                Err(failure) => return self.failure("servers_watch", &failure),
            }
        }
    }

    fn take_servers(&self, items: &[Item]) {
        let mut present = HashSet::new();
        for item in items {
            if let Some(id) = self.take_server(item) {
                present.insert(id);
            }
        }
        for id in self.relay.fleet.ids() {
            if !present.contains(&id) {
                self.entry_gone(&id);
            }
        }
    }

    fn take_server_event(&self, event: &Event) {
        match event {
            Event::Put(item) => {
                self.take_server(item);
            }
            Event::Delete { key, .. } => {
                if let Some(id) = key::server_id(key).and_then(|id| id.parse().ok()) {
                    self.entry_gone(&id);
                }
            }
        }
    }

    fn take_server(&self, item: &Item) -> Option<ids::Server> {
        let id = key::server_id(&item.key)?;
        let server = match server::decode(id, &item.value) {
            Ok(server) => server,
            Err(error) => {
                log::error!(target: "belief", "event=server_invalid id={id} why=\"{error}\"");
                return None;
            }
        };
        let id = server.id.clone();
        let (service, address, hall) =
            (server.service.clone(), server.address, server.hall.clone());
        let change = self.relay.fleet.announce(server);
        if change != Change::None {
            log::info!(
                target: "belief",
                "event=server change={change:?} id={id} service={service} address={address} \
                 hall={hall} revision={}",
                item.revision,
            );
        }
        Some(id)
    }

    fn entry_gone(&self, id: &ids::Server) {
        if self.reliable() {
            if self.relay.fleet.remove(id) {
                log::info!(target: "belief", "event=server change=Gone id={id}");
            }
        } else {
            self.relay.fleet.miss(id);
            log::info!(target: "belief", "event=server change=Missing id={id}");
        }
    }

    /// Drops servers whose entries stay missing after the store is back; does
    /// not end.
    pub async fn lapses(self: Rc<Self>) {
        loop {
            self.back.wait().await;
            // The store may go and come back again meanwhile.
            while !self.reliable() {
                Timer::after(LAPSE_LOOK).await;
            }
            for id in self.relay.fleet.missing() {
                if self.relay.fleet.remove(&id) {
                    log::info!(target: "belief", "event=server change=Lapsed id={id}");
                }
            }
        }
    }
}

/// The pause after a failed call: grows, with jitter, so that boxes that fail
/// together do not come back together.
#[derive(Default)]
struct Pause {
    failures: u32,
}

impl Pause {
    fn reset(&mut self) {
        self.failures = 0;
    }

    async fn rest(&mut self) {
        let pause = (PAUSE_MIN * 2u32.pow(self.failures.min(4))).min(PAUSE_MAX);
        self.failures += 1;
        Timer::after(pause.mul_f64(0.5 + fastrand::f64() * 0.5)).await;
    }
}
