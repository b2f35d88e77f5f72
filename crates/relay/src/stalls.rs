//! Finds servers of plain services that stand still, together with the other boxes of the
//! hall.
//!
//! Each box watches how long its requests wait ([`Backend::is_stalled`]) and reports long
//! waits to the hub of its hall at once. A box that suspects a server by what others report
//! sends it health checks. While one was not answered in time, the server counts as standing
//! still, and the hub tells the boxes so ([`Stalls`](crate::traffic::stalls::Stalls)), with
//! each answer and at once when that changes.
//!
//! Invariant: while a server stands still, it gets one health check at a time of each box
//! that others report to, and no requests as long as another server may take them.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::LocalExecutor;
use tidepier_admission::verify;
use tidepier_clock::Instant;

use crate::fleet::Backend;
use crate::health_check::{self, Verdict};
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
    relay.record_returns(&lives, now);
    stalls.record_lives(&lives, now);
    if has_long_waits || !lives.is_empty() {
        stalls.set_pending();
    }
    if stalls.update(&fleet.stalls.lives, now) {
        relay.traffic.notices.announced.notify();
    }
    if relay.traffic.is_hub() {
        fleet.stalls.hear(now);
        fleet.stalls.lives.hear(true, now);
    }
    fleet.set_stalls(&stalls.all(), now);
    for backend in fleet.with_keys(&stalls.suspected()) {
        if stalls.begin_probe(backend.key, now) {
            executor.spawn(probe(relay.clone(), backend)).detach();
        }
    }
}

/// Sends a server that may stand still a health check. Without an answer in time it counts
/// as standing still until one is.
async fn probe(relay: Rc<Relay>, backend: Rc<Backend>) {
    let (stalls, key) = (&relay.traffic.stalls, backend.key);
    let began = Instant::now();
    let mut check = pin!(health_check::send(&relay, &backend));
    let limit = verify::check_limit(health_check::round_trip(&relay, &backend));
    let in_time = timeout::within(limit, check.as_mut()).await;
    let verdict = Verdict::of(in_time);
    let mut result = verdict.as_str();
    if verdict == Verdict::Unanswered {
        stalls.record_unanswered(key);
        if timeout::within(PROBE_TIMEOUT, check).await.is_some() {
            result = "late";
        }
    }
    log::info!(
        target: "belief",
        "event=stall_checked server={} result={result} ms={}",
        backend.server.id,
        began.elapsed().as_millis(),
    );
    metrics::counter!("tidepier_stall_checks_total", "result" => result).increment(1);
    let is_answered = verdict == Verdict::Answered;
    if is_answered {
        backend.record_checked(Instant::now());
    }
    stalls.end_probe(key, began, is_answered);
}
