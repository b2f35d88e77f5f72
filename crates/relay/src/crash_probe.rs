//! Finds out whether a server has crashed at which requests broke off.
//!
//! A connection may break for many reasons, but a host answers that no process listens
//! on a port for one reason only. So the box opens a new connection. If it is established,
//! the server is alive, and the connection is kept idle for the next request. If there is no
//! response, nothing is known: the network in between may be partitioned. If it is refused,
//! something else on the way may have refused it, for this box alone; so another box opens
//! a connection too. Only if it cannot, the server has ended.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};
use tidepier_h1::Conn;

use crate::content::Fingerprint;
use crate::crash::suspects::{Request, Suspect};
use crate::crash::Crashes;
use crate::dial::{Dialer, NoDetour, CONNECT_TIMEOUT};
use crate::fleet::Backend;

/// Pauses before each attempt to connect. In nearly all cases a refusal comes with the
/// first attempt, within a round trip.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
];
/// How long a new connection has to stay open to show that the server is alive: a process
/// that is ending may still accept one before its port closes.
const STAY_OPEN_TIME: Duration = Duration::from_millis(50);
/// Most contents and parts listed in a log line.
const LOGGED_MAX: usize = 16;

/// Probes the servers at which requests broke off; does not return.
pub(crate) async fn run(
    crashes: Rc<Crashes>,
    dialer: Rc<Dialer>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        for backend in crashes.suspects.take_unprobed() {
            let (crashes, dialer) = (crashes.clone(), dialer.clone());
            let probe = async move {
                let crashed = has_crashed(&dialer, &backend).await;
                let suspect = crashes.suspects.take(backend.key);
                if let Some(suspect) = suspect.filter(|_| crashed) {
                    record_crash(&crashes, &suspect);
                }
            };
            executor.spawn(probe).detach();
        }
        crashes.suspects.changed.wait().await;
    }
}

/// Records a server's crash for each content and part of the requests that broke off there.
fn record_crash(crashes: &Crashes, suspect: &Suspect) {
    let requests = &suspect.requests;
    let distinct: HashSet<Fingerprint> = requests.iter().map(|it| it.content).collect();
    let logged = distinct.iter().take(LOGGED_MAX).map(Fingerprint::to_string);
    log::info!(
        target: "request",
        "event=server_ended server={} requests={} contents={} parts={}",
        suspect.backend.server.id,
        requests.len(),
        logged.collect::<Vec<_>>().join(","),
        part_counts(requests),
    );
    metrics::counter!("tidepier_servers_ended_total").increment(1);
    let (server, since) = (suspect.backend.key, suspect.since);
    for content in distinct {
        crashes.record_crash(content, server, since);
    }
    let parts = requests.iter().flat_map(|request| &request.parts);
    let parts: HashSet<u64> = parts.copied().collect();
    for part in parts {
        crashes.record_part_crash(part, server, since);
    }
}

/// The shared prompt parts of some requests, each with the number of requests that hold it,
/// the most frequent first.
fn part_counts(requests: &[Request]) -> String {
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for part in requests.iter().flat_map(|request| &request.parts) {
        *counts.entry(*part).or_default() += 1;
    }
    let mut counts: Vec<(u64, usize)> = counts.into_iter().collect();
    counts.sort_by_key(|(part, count)| (Reverse(*count), *part));
    let logged = counts.iter().take(LOGGED_MAX);
    let logged: Vec<String> = logged
        .map(|(part, count)| format!("{part:x}*{count}"))
        .collect();
    logged.join(",")
}

/// Whether no process listens at a server's address.
async fn has_crashed(dialer: &Dialer, backend: &Rc<Backend>) -> bool {
    for pause in PROBE_PAUSES {
        Timer::after(pause).await;
        match dialer.open(backend, CONNECT_TIMEOUT).await {
            Ok(conn) => {
                if let Some(conn) = stays_open(conn).await {
                    backend.keep(conn, None);
                    return false;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return dialer.detour(backend, &|_| true).await.err() == Some(NoDetour::ServerDown);
            }
            Err(error) => log::debug!(
                target: "request",
                "event=look_failed server={} why=\"{error}\"",
                backend.server.id
            ),
        }
    }
    false
}

/// Returns the connection if it stays open for a while.
async fn stays_open(mut conn: Conn) -> Option<Conn> {
    let closed = async {
        // No data is expected here: any of it counts as the end of the connection.
        let _ = conn.fill().await;
        false
    };
    let stayed_open = async {
        Timer::after(STAY_OPEN_TIME).await;
        true
    };
    closed.or(stayed_open).await.then_some(conn)
}
