//! Finds servers of plain services that stand still, together with the other boxes of the
//! hall.
//!
//! Each box watches how long its requests wait ([`Backend::is_stalled`]) and reports long
//! waits to the hub of its hall at once. The hub tells the boxes which servers stand still
//! ([`Stalls`](crate::traffic::stalls::Stalls)), with each answer and at once when that
//! changes. A box that finds one by what others report sends it health checks: when one is
//! answered in time, the server counts as going on.
//!
//! Invariant: while a server stands still, it gets one health check at a time of each box
//! that others report to, and no requests as long as another server may take them.

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

/// Watches the waits of this box's requests, and what other boxes report and tell; does not
/// return.
pub(crate) async fn run(relay: Rc<Relay>, executor: Rc<LocalExecutor<'static>>) -> Infallible {
    loop {
        look(&relay, &executor, Instant::now());
        wait(&relay).await;
    }
}

/// Waits until there may be something new. Leaves the time out of the waits for which this
/// process could not run.
async fn wait(relay: &Relay) {
    let stalls = &relay.traffic.stalls;
    let detection = stalls.may_change();
    let detection = detection.then(|| Instant::now() + DETECTION_INTERVAL);
    let due = relay.fleet.next_long_wait().into_iter().chain(detection);
    let due = due.min();
    let until_due = async {
        match due {
            Some(due) => tidepier_clock::sleep_until(due).await,
            None => relay.fleet.stalls.sent.wait().await,
        }
    };
    let answered = relay.fleet.stalls.answered.wait();
    until_due.or(answered).or(stalls.changed.wait()).await;
    let now = Instant::now();
    let late = due.map_or(Duration::ZERO, |due| now.saturating_duration_since(due));
    if late > HELD_UP_MIN {
        relay.fleet.leave_out_of_waits(late + CATCH_UP_TIME, now);
    }
}

/// Looks which servers stand still, passes on what is new, and checks these servers.
fn look(relay: &Rc<Relay>, executor: &LocalExecutor<'static>, now: Instant) {
    let (stalls, fleet) = (&relay.traffic.stalls, &relay.fleet);
    let has_long_waits = fleet.mark_long_waits(now);
    let lives = fleet.take_lives(now);
    stalls.record_own_waits(&fleet.waits(now), now);
    stalls.record_lives(&lives, now);
    if has_long_waits || !lives.is_empty() {
        stalls.set_pending();
    }
    if stalls.update(now) {
        relay.traffic.notices.announced.notify();
    }
    if relay.traffic.is_hub() {
        fleet.stalls.hear(now);
    }
    fleet.set_stalls(&stalls.all(), now);
    for backend in fleet.with_keys(&stalls.detected()) {
        if stalls.begin_probe(backend.key, now) {
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
