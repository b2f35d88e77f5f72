//! The stand-in servers of a fleet, each behind a way of its own.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use tidepier_core::server::State;
use tidepier_relay_standin::server::{Events, Settings};
use tidepier_relay_standin::Server;

use super::Fleet;
use crate::evidence::Seen;
use crate::ledger::Loads;
use crate::plan::{self, STREAM};
use crate::sync::lock;
use crate::way::Way;

/// Requests that a server works on at once.
const SLOTS: usize = 16;
/// Requests that wait at a server.
const QUEUE: usize = 16;
/// Time of one request, or until the first event.
const WORK: Duration = Duration::from_millis(20);
/// Events of a stream and the pause between two.
const EVENTS: Events = Events {
    count: 10,
    pause: Duration::from_millis(40),
};
/// Size of plain answers, in bytes.
const ANSWER_BYTES: usize = 800;
/// Time between two samples of the servers' loads.
const SAMPLE: Duration = Duration::from_millis(20);

/// A server and the way to it.
pub(super) struct Backend {
    pub(super) server: Server,
    pub(super) way: Way,
}

impl Fleet {
    /// Starts a server of a service and announces it.
    pub(super) fn add_server(&self, service: &str) -> io::Result<()> {
        let number = self.named.fetch_add(1, Ordering::Relaxed);
        let server = Server::start(Settings {
            id: format!("i-{number}"),
            service: service.into(),
            hall: plan::hall(number as usize, plan::SERVER_HALLS),
            slots: SLOTS,
            queue: QUEUE,
            work: WORK,
            answer_bytes: ANSWER_BYTES,
            events: (service == STREAM).then_some(EVENTS),
            ..Settings::default()
        })?;
        for body in lock(&self.guilty).iter() {
            server.end_on(body);
        }
        let way = Way::open(server.address())?;
        let backend = Backend { server, way };
        self.announce(&backend, State::Ready);
        lock(&self.backends).push(Arc::new(backend));
        Ok(())
    }

    pub(super) fn announce(&self, backend: &Backend, state: State) {
        let address = backend.way.address();
        self.site.announce_at(&backend.server, address, state);
    }

    /// Removes a server's entry for good.
    pub(super) fn withdraw(&self, server: &Server) {
        lock(&self.withdrawn).insert(server.settings().id.clone());
        self.site.withdraw(server);
    }

    pub(super) fn backends(&self) -> Vec<Arc<Backend>> {
        lock(&self.backends).clone()
    }

    /// Everything that has reached servers.
    pub fn seen(&self) -> Vec<Seen> {
        let mut seen = Vec::new();
        for backend in self.backends() {
            let server = backend.server.settings();
            let runs = backend.server.runs().into_iter();
            let crashed = backend.server.crashed();
            seen.extend(runs.map(|run| Seen {
                server: server.clone(),
                run,
                crashed,
            }));
        }
        seen
    }

    /// Notes the servers' loads until it is dropped.
    pub async fn sample(self: Arc<Self>) {
        loop {
            Timer::after(SAMPLE).await;
            let backends = self.backends();
            for service in [super::PLAIN, STREAM] {
                let of = backends.iter().filter(|backend| {
                    backend.server.settings().service == service && !backend.server.is_crashed()
                });
                let held = of.map(|backend| {
                    let server = &backend.server;
                    (server.settings().id.clone(), server.running())
                });
                self.ledger.loads(Loads {
                    at: Instant::now(),
                    service: service.into(),
                    held: held.collect(),
                });
            }
        }
    }
}
