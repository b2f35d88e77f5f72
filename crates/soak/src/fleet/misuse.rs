//! Crowds of clients that do not keep to the limits.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::{Task, Timer};
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::names;
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::Client;

use super::Fleet;
use crate::ledger::{Fact, Request, Traffic};
use crate::misuse::{Manner, Misuse, Port};
use crate::plan::{self, CLIENT_TIMEOUT};

/// Pause of such a client after its connection was closed or could not be opened.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval between two checks of what the processes hold.
const LIMITS_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts of a request with a large body in calm.
const LARGE_ATTEMPTS: usize = 3;

impl Fleet {
    /// Has a crowd of clients send such requests to a port of a box for this long. Each holds
    /// its connection until the box closes it.
    pub(super) async fn misuse(
        self: &Arc<Self>,
        box_index: usize,
        port: Port,
        misuse: Misuse,
        lasts: Duration,
    ) {
        let end = Instant::now() + lasts;
        let clients = (0..misuse.clients()).map(|_| {
            let fleet = self.clone();
            smol::spawn(async move { fleet.misuse_until(box_index, port, misuse, end).await })
        });
        let clients: Vec<Task<()>> = clients.collect();
        for client in clients {
            client.await;
        }
    }

    async fn misuse_until(&self, box_index: usize, port: Port, misuse: Misuse, end: Instant) {
        // Not through the proxy, so that nothing but the box holds what is sent.
        let number = match port {
            Port::Clients => super::CLIENT_PORT,
            Port::Readiness => super::READY_PORT,
            Port::Boxes => super::PEER_PORT,
        };
        let address = SocketAddr::new(self.boxes[box_index].source, number);
        let left = || end.saturating_duration_since(Instant::now());
        while !left().is_zero() {
            if let Ok(client) = Client::open(address).await {
                self.misuse_connection(client, box_index, port, misuse, end)
                    .await;
            }
            Timer::after(RETRY_PAUSE.min(left())).await;
        }
    }

    /// Sends such requests on one connection for as long as it is open.
    async fn misuse_connection(
        &self,
        mut client: Client,
        box_index: usize,
        port: Port,
        misuse: Misuse,
        end: Instant,
    ) {
        loop {
            let number = self.next_misuse.fetch_add(1, Ordering::Relaxed);
            let request = Request {
                id: format!("misuse-{number}"),
                manner: Manner::Misuse(misuse),
                ..self.request(box_index, traffic(misuse))
            };
            let body = String::from_utf8_lossy(request.body());
            let bytes = misuse.bytes(&head(&request), &body);
            // What other ports answer is no matter of clients.
            let number = (port == Port::Clients).then(|| self.ledger.record_sent(request));
            let left = end.saturating_duration_since(Instant::now());
            let answer = client
                .exchange("POST", bytes.pieces(), Duration::ZERO, left)
                .await;
            let is_reusable = answer.is_reusable();
            if let Some(number) = number {
                self.ledger.record_ended(number, Some(answer));
            }
            if !is_reusable || Instant::now() >= end {
                return;
            }
        }
    }

    /// Records processes that hold more than their settings give them, until the task is
    /// dropped.
    pub async fn watch_limits(self: Arc<Self>) {
        loop {
            Timer::after(LIMITS_INTERVAL).await;
            for (box_index, relay_box) in self.boxes.iter().enumerate() {
                let Some(level) = relay_box.level() else {
                    continue;
                };
                let what = self.limits.exceeded_by(&level);
                if let Some(what) = what.filter(|_| relay_box.claim_excess()) {
                    self.ledger.record_fact(Fact::OverLimits(box_index, what));
                }
            }
        }
    }

    /// Sends one request with the largest body that sites allow to each box that had faults,
    /// when nothing else is sent, and records boxes that do not serve it.
    pub async fn send_large_requests(&self, boxes: usize) {
        for box_index in 0..self.box_count().min(boxes) {
            let mut refused = String::new();
            let mut is_served = false;
            for attempt in 0..LARGE_ATTEMPTS {
                let request = Request {
                    id: format!("large-{box_index}-{attempt}"),
                    manner: Manner::Large,
                    ..self.request(box_index, Traffic::Repeatable)
                };
                let call = Call::new("POST", HOST, &request.target(), &request.id)
                    .body(request.body())
                    .leaving(plan::CLIENT_TIMEOUT);
                let number = self.ledger.record_sent(request);
                let answer = Client::once(self.client_address(box_index), &call)
                    .await
                    .ok();
                is_served = answer
                    .as_ref()
                    .is_some_and(|it| it.status == 200 && it.complete);
                refused = answer.as_ref().map_or("no connection".into(), |it| {
                    format!("{} {:?} after {:?}", it.status, it.end, it.elapsed)
                });
                self.ledger.record_ended(number, answer);
                if is_served {
                    break;
                }
            }
            if !is_served {
                self.ledger
                    .record_fact(Fact::LargeRefused(box_index, refused));
            }
        }
    }
}

/// The kind of requests that such clients send.
fn traffic(misuse: Misuse) -> Traffic {
    match misuse {
        Misuse::Pipelined => Traffic::Resumable,
        _ => Traffic::Repeatable,
    }
}

/// The head of a request without the fields that give its end.
fn head(request: &Request) -> String {
    let (target, id) = (request.target(), &request.id);
    let deadline = CLIENT_TIMEOUT.as_millis();
    format!(
        "POST {target} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {deadline}\r\n",
        names::ATTEMPT,
        names::DEADLINE,
    )
}
