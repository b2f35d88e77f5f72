//! Finds servers of plain services that stand still, together with the other boxes of the
//! hall.
//!
//! Each box watches how long its requests wait ([`Backend::is_stalled`]) and reports long
//! waits to the hub of its hall at once. The hub tells the boxes which servers stand still
//! ([`Hub`](crate::traffic::stalls::Hub)), with each answer and at once when that changes,
//! and sends these servers health checks: when one is answered in time, the server counts
//! as going on.
//!
//! Invariant: while a server stands still, it gets one health check of each hall at a time,
//! and no requests as long as another server may take them.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::LocalExecutor;
use tidepier_clock::Instant;
use tidepier_h1::{Conn, Malformed};
use tidepier_platform::{answer, monitoring};

use crate::dial::CONNECT_TIMEOUT;
use crate::fleet::Backend;
use crate::relay::Relay;
use crate::timeout;

/// Interval at which a hub looks whether the waits that it knows show a stall.
const DETECTION_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of the watch from which on this process counts as held up: answers may be there
/// that it has not read yet.
const HELD_UP_MIN: Duration = Duration::from_millis(50);
/// Time for which it then reads such answers first.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);
/// Time-out of a health check. A server that goes on answers the one that waits, however late,
/// which shows that another one is due.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest head of the answer to a health check, in bytes.
const HEAD_BYTES_MAX: usize = 16 << 10;

/// Watches the waits of this box's requests and, while it is the hub, what the boxes of its
/// hall report; does not return.
pub(crate) async fn run(relay: Rc<Relay>, executor: Rc<LocalExecutor<'static>>) -> Infallible {
    loop {
        let now = Instant::now();
        let has_long_waits = relay.fleet.mark_long_waits(now);
        let is_hub = relay.traffic.is_hub();
        if is_hub {
            look(&relay, &executor, now);
        } else if has_long_waits {
            relay.fleet.stalls.set_pending();
        }
        wait(&relay, is_hub).await;
    }
}

/// Waits until there may be something new. Leaves the time out of the waits for which this
/// process could not run.
async fn wait(relay: &Relay, is_hub: bool) {
    let detection = is_hub && relay.traffic.stalls.has_waits();
    let detection = detection.then(|| Instant::now() + DETECTION_INTERVAL);
    let due = relay.fleet.next_long_wait().into_iter().chain(detection);
    let due = due.min();
    let until_due = async {
        match due {
            Some(due) => tidepier_clock::sleep_until(due).await,
            None => relay.fleet.stalls.sent.wait().await,
        }
    };
    let reported = async {
        match is_hub {
            true => {
                let own = relay.fleet.stalls.reported.wait();
                own.or(relay.traffic.stalls.reported.wait()).await;
            }
            false => std::future::pending().await,
        }
    };
    until_due.or(reported).await;
    let now = Instant::now();
    let late = due.map_or(Duration::ZERO, |due| now.saturating_duration_since(due));
    if late > HELD_UP_MIN {
        relay.fleet.leave_out_of_waits(late + CATCH_UP_TIME, now);
    }
}

/// Looks, as the hub, which servers stand still; tells the boxes and checks these servers.
fn look(relay: &Rc<Relay>, executor: &LocalExecutor<'static>, now: Instant) {
    let (hub, fleet) = (&relay.traffic.stalls, &relay.fleet);
    hub.record_own(&fleet.waits(now), &fleet.take_lives(now), now);
    if hub.update(now) {
        relay.traffic.notices.announced.notify();
    }
    fleet.set_stalls(&hub.stalls(), now);
    for backend in fleet.stalled() {
        if hub.begin_probe(backend.key, now) {
            executor.spawn(probe(relay.clone(), backend)).detach();
        }
    }
}

/// Sends a server a health check. Any answer in time shows that the server goes on, unless it
/// rejects the check as it would a request.
async fn probe(relay: Rc<Relay>, backend: Rc<Backend>) {
    let began = Instant::now();
    let checked = timeout::within(PROBE_TIMEOUT, check(&relay, &backend)).await;
    let now = Instant::now();
    let took = now.saturating_duration_since(began);
    let result = match checked {
        Some(Ok(true)) if took < backend.answer_limit() => "answered",
        Some(Ok(true)) => "late",
        Some(Ok(false)) => "rejected",
        Some(Err(_)) => "failed",
        None => "unanswered",
    };
    log::info!(
        target: "belief",
        "event=stall_checked server={} result={result} ms={}",
        backend.server.id,
        took.as_millis(),
    );
    metrics::counter!("tidepier_stall_checks_total", "result" => result).increment(1);
    if result == "answered" {
        backend.record_life(now);
    }
    relay.traffic.stalls.end_probe(backend.key, began, now);
}

/// Sends a health check and reads the head of its answer. Returns whether the server has
/// accepted it.
async fn check(relay: &Relay, backend: &Rc<Backend>) -> io::Result<bool> {
    let service = relay.view.catalog();
    let service = service.and_then(|it| it.services.get(&backend.server.service).cloned());
    let service = service.ok_or(io::ErrorKind::NotFound)?;
    if relay.fleet.permit(backend, Instant::now()).is_err() {
        return Err(io::ErrorKind::NotConnected.into());
    }
    let connect = relay.dialer.connect(backend, &|_| true, CONNECT_TIMEOUT);
    let mut conn: Conn = connect.await?;
    let mut bytes = Vec::new();
    let host = backend.server.address.to_string();
    monitoring::get(&service.health_path, &host, &mut bytes);
    conn.writer().write_all(&bytes).await?;
    let unreadable = |error: Malformed| io::Error::other(error.to_string());
    let head = conn.head(HEAD_BYTES_MAX).await.map_err(unreadable)?;
    let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(!answer::decode(&head).not_executed)
}
