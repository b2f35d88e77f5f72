//! The stand-in servers of a fleet, each behind its own proxy.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::Timer;
use tidepier_core::server::State;
use tidepier_relay_standin::server::{Events, Run, Settings};
use tidepier_relay_standin::{names, Server};

use super::Fleet;
use crate::evidence::Delivery;
use crate::gate::Gate;
use crate::ledger::Loads;
use crate::plan::{self, PLAIN, STREAM};
use crate::proxy::Proxy;
use crate::sync::lock;

/// Requests that a server processes concurrently.
const SLOTS: usize = 16;
/// Length of the queue of a server.
const QUEUE: usize = 16;
/// Time that a request takes, or the time until its first event.
pub(super) const WORK_TIME: Duration = Duration::from_millis(20);
/// The same where servers hold so many requests that one of them may hold too many.
pub(super) const LONG_WORK_TIME: Duration = Duration::from_millis(500);
/// Number of events of a stream and the pause between two.
pub(super) const EVENTS: Events = Events {
    count: 10,
    pause: Duration::from_millis(40),
};
/// The same where many streams have to be open when boxes are killed.
pub(super) const LONG_EVENTS: Events = Events {
    count: 30,
    pause: Duration::from_millis(50),
};
/// Size of plain answers, in bytes.
const ANSWER_BYTES: usize = 800;
/// Interval between two samples of the servers' loads.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// A server and the proxy to it.
pub(super) struct Backend {
    pub(super) server: Server,
    pub(super) proxy: Proxy,
    /// The process between the two, at servers that may stand still.
    pub(super) gate: Option<Gate>,
    /// Number of stops of that process in progress.
    pub(super) stops: Mutex<u32>,
}

/// What the ids of all servers of this process begin with. Another soak on this host may still
/// send to a port that one of its servers had before; the server refuses that by its id.
fn id_prefix() -> String {
    format!("i-{}-", std::process::id())
}

/// Whether a request was meant for a server of this process.
fn is_own(run: &Run) -> bool {
    let target = run.field(names::TARGET);
    target.is_none_or(|id| id.starts_with(&id_prefix()))
}

impl Fleet {
    /// Starts a server of a service and writes its entry.
    pub(super) fn add_server(&self, service: &str) -> io::Result<()> {
        let number = self.next_server.fetch_add(1, Ordering::Relaxed);
        let server = Server::start(Settings {
            id: format!("{}{number}", id_prefix()),
            service: service.into(),
            hall: plan::hall_name(number as usize, plan::SERVER_HALLS),
            slots: SLOTS,
            queue: QUEUE,
            work: self.work_time,
            answer_bytes: ANSWER_BYTES,
            events: (service == STREAM).then_some(self.events),
            release: self.next_release(service),
            ..Settings::default()
        })?;
        for body in lock(&self.crashing_contents).iter() {
            server.end_on(body);
        }
        for part in lock(&self.crashing_parts).iter() {
            server.end_on_part(*part);
        }
        let is_gated = self.gates_everywhere || service == PLAIN;
        let program = self.gate_program.as_ref().filter(|_| is_gated);
        let gate = program.map(|program| Gate::start(program, server.address()));
        let gate = gate.transpose()?;
        let target = gate.as_ref().map_or(server.address(), Gate::address);
        let proxy = Proxy::open(target)?;
        let backend = Arc::new(Backend {
            server,
            proxy,
            gate,
            stops: Mutex::default(),
        });
        // Under the lock, so that a partition that begins now affects this server too.
        let cuts = lock(&self.cuts);
        backend.proxy.set_cuts(&cuts)?;
        lock(&self.backends).push(backend.clone());
        drop(cuts);
        self.announce(&backend, State::Ready);
        Ok(())
    }

    pub(super) fn announce(&self, backend: &Backend, state: State) {
        let address = backend.proxy.address();
        self.site.announce_at(&backend.server, address, state);
    }

    /// Removes a server's entry for good.
    pub(super) fn withdraw(&self, server: &Server) {
        lock(&self.withdrawn_servers).insert(server.settings().id.clone());
        self.site.withdraw(server);
    }

    pub(super) fn backends(&self) -> Vec<Arc<Backend>> {
        lock(&self.backends).clone()
    }

    /// All deliveries to servers so far.
    pub fn deliveries(&self) -> Vec<Delivery> {
        let mut deliveries = Vec::new();
        for backend in self.backends() {
            let server = backend.server.settings();
            let runs = backend.server.runs().into_iter().filter(is_own);
            let crashed = backend.server.crashed();
            deliveries.extend(runs.map(|run| Delivery {
                server: server.clone(),
                run,
                crashed,
            }));
        }
        deliveries
    }

    /// Records the loads of the servers until the task is dropped.
    pub async fn sample_loads(self: Arc<Self>) {
        loop {
            Timer::after(SAMPLE_INTERVAL).await;
            let backends = self.backends();
            for service in [super::PLAIN, STREAM] {
                let of = backends.iter().filter(|backend| {
                    backend.server.settings().service == service && !backend.server.is_crashed()
                });
                let held = of.map(|backend| {
                    let server = &backend.server;
                    (server.settings().id.clone(), server.running())
                });
                self.ledger.record_loads(Loads {
                    at: Instant::now(),
                    service: service.into(),
                    in_flight: held.collect(),
                });
            }
        }
    }
}
