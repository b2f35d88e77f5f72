//! One running router and the state that its tasks share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use event_listener::Event;
use smol::Executor;
use tidepier_claims::Pages;
use tidepier_clock::Instant;
use tidepier_config::document::Document;
use tidepier_config::Settings;
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::Pool;
use tidepier_http::dial::Dial;
use tidepier_http::memory::Memory;
use tidepier_ids as ids;
use tidepier_membership::{Rumor, State, Table};
use tidepier_store::etcd::Client;
use tidepier_wire::frame::{Hello, Pressure, VERSION};
use tidepier_wire::{link, Frame};

use crate::budget::Budget;
use crate::document::Current;
use crate::fates::Fates;
use crate::holdings::Holdings;
use crate::links::{Line, Links};
use crate::phase::{Phase, Stop};
use crate::pools::Pools;
use crate::pressure::Pressures;
use crate::seal::Sealer;
use crate::trace::Ring;

/// Handles one frame of a peer; answers are sent to the peer's line.
pub(crate) type FrameHandler = fn(&Arc<Node>, &ids::Box, Frame, &Line);

/// A running router.
pub struct Node {
    /// The settings of the process.
    pub settings: Settings,
    /// Weak, as the executor's tasks hold the node: the owner of the executor
    /// ends all tasks by dropping it.
    executor: Weak<Executor<'static>>,
    pub(crate) network: Arc<dyn Dial>,
    pub(crate) table: Mutex<Table>,
    /// Notified when the table changes.
    pub(crate) table_changed: Event,
    pub(crate) current: Current,
    pub(crate) client: Pool,
    pub(crate) store: Client,
    pub(crate) pools: Pools,
    pub(crate) holdings: Holdings,
    pub(crate) pressures: Pressures,
    pub(crate) links: Links,
    /// Handles the frames of other boxes. It is a plain function, set at the
    /// start, so that the modules of links do not depend on the handlers.
    pub(crate) on_frame: FrameHandler,
    pub(crate) claims: Pages,
    pub(crate) fates: Fates,
    pub(crate) sealer: Sealer,
    pub(crate) ring: Ring,
    pub(crate) retries: Budget,
    pub(crate) stop: Stop,
    pub(crate) open: AtomicUsize,
    /// Memory of the bodies of clients' and operators' requests.
    pub(crate) bodies: Memory,
}

impl Node {
    /// Creates the shared state, before any task runs.
    pub(crate) fn new(
        network: Arc<dyn Dial>,
        settings: Settings,
        executor: &Arc<Executor<'static>>,
        on_frame: FrameHandler,
    ) -> Self {
        let client = Pool::over(network.clone());
        let platform = &settings.platform;
        let limit = settings.tuning.store_ms.duration();
        let store = Client::new(client.clone(), platform.store.0);
        let retention = settings.tuning.claim_ms.duration();
        let fleet = settings.fleet.clone();
        let pause = settings.tuning.claim_pause_ms.duration();
        let claims = Pages::new(store.clone(), limit, fleet, retention, pause, executor);
        let me = Rumor {
            name: settings.name.clone(),
            hall: settings.hall.clone(),
            peers: settings.peers.0,
            admin: settings.admin.0,
            incarnation: ids::Incarnation::now(),
            sequence: 0,
            state: State::Alive,
        };
        Self {
            executor: Arc::downgrade(executor),
            network,
            table: Mutex::new(Table::new(me, Instant::now())),
            table_changed: Event::new(),
            current: Current::default(),
            client,
            store,
            pools: Pools::default(),
            holdings: Holdings::default(),
            pressures: Pressures::default(),
            links: Links::default(),
            on_frame,
            claims,
            fates: Fates::default(),
            sealer: Sealer::new(&settings.seal_keys),
            ring: Ring::new(settings.tuning.ring),
            retries: Budget::default(),
            stop: Stop::default(),
            open: AtomicUsize::new(0),
            bodies: Memory::new(settings.tuning.bodies_bytes as usize),
            settings,
        }
    }

    /// The name of this box.
    pub fn name(&self) -> &ids::Box {
        &self.settings.name
    }

    /// The hall of this box.
    pub fn hall(&self) -> &ids::Hall {
        &self.settings.hall
    }

    /// The generation of the document in force at this box.
    pub fn generation(&self) -> ids::Generation {
        self.current.generation()
    }

    /// Number of open requests and streams.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// The phase of this router's shutdown.
    pub fn phase(&self) -> Phase {
        self.stop.phase()
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub(crate) fn incarnation(&self) -> ids::Incarnation {
        self.table().me().incarnation
    }

    /// The document in force.
    pub(crate) fn document(&self) -> Result<Arc<Document>, Fault> {
        let document = self.current.document();
        document.ok_or_else(|| Fault::new(Kind::NotReady, "no configuration yet"))
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            version: VERSION,
            fleet: self.settings.fleet.clone(),
            name: self.settings.name.clone(),
            hall: self.settings.hall.clone(),
            incarnation: self.incarnation(),
            peers: self.settings.peers.0,
            admin: self.settings.admin.0,
            nonce: link::nonce(),
        }
    }

    /// Records the pressure that the keeper of an engine's pool reported. Does
    /// nothing for an engine that the document no longer names, as it belongs to
    /// no pool.
    pub(crate) fn record_pressure(&self, engine: &ids::Engine, pressure: Pressure) {
        let document = self.current.document();
        let found = document
            .as_ref()
            .and_then(|document| document.engine(engine));
        if let Some(engine) = found {
            self.pressures.record(engine, pressure);
        }
    }

    /// Starts a task of this node; does nothing if the executor has been dropped.
    pub(crate) fn spawn(&self, work: impl std::future::Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(work).detach();
        }
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn count_open(self: &Arc<Self>) -> OpenGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        metrics::gauge!("tidepier_open_requests").increment(1.0);
        OpenGuard(self.clone())
    }
}

/// Counts one open request until it is dropped.
pub(crate) struct OpenGuard(Arc<Node>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
        metrics::gauge!("tidepier_open_requests").decrement(1.0);
    }
}
