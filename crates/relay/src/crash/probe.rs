//! Finds out whether a server ended at which requests broke off.
//!
//! A connection may break for many reasons; that a machine answers that no process
//! listens there has one. So a connection is opened: refused, it tells the end of the
//! server. It comes up where the server lives, and rests for the next request.
//! Silence tells nothing: the way there may be cut.

use std::collections::HashSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};
use tidepier_h1::Conn;

use super::suspects::Suspect;
use super::Crashes;
use crate::attempt;
use crate::content::Fingerprint;
use crate::fleet::Backend;

/// Pauses before the looks at a server: a refusal comes with the first one, within a
/// round trip, in nearly all cases.
const LOOKS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
];
/// How long a new connection has to stay open to show that the server lives: a process
/// that ends may take one before its port closes.
const STAYS_TIME: Duration = Duration::from_millis(50);
/// Contents named in a log line.
const NAMED: usize = 16;

/// Looks at the servers at which requests broke off; does not end.
pub(crate) async fn run(crashes: Rc<Crashes>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        for backend in crashes.suspects.fresh() {
            let crashes = crashes.clone();
            let look = async move {
                let ended = has_ended(&backend).await;
                let suspect = crashes.suspects.take(backend.key);
                if let Some(suspect) = suspect.filter(|_| ended) {
                    conclude(&crashes, &suspect);
                }
            };
            executor.spawn(look).detach();
        }
        crashes.suspects.changed.wait().await;
    }
}

/// Records a server's end, under each content that broke off there.
fn conclude(crashes: &Crashes, suspect: &Suspect) {
    let distinct: HashSet<Fingerprint> = suspect.contents.iter().copied().collect();
    let named = distinct.iter().take(NAMED).map(Fingerprint::to_string);
    log::info!(
        target: "request",
        "event=server_ended server={} requests={} contents={}",
        suspect.backend.server.id,
        suspect.contents.len(),
        named.collect::<Vec<_>>().join(","),
    );
    metrics::counter!("tidepier_servers_ended_total").increment(1);
    for content in distinct {
        crashes.ended(content, suspect.backend.key, suspect.since);
    }
}

/// Whether no process listens at a server's address.
async fn has_ended(backend: &Rc<Backend>) -> bool {
    for pause in LOOKS {
        Timer::after(pause).await;
        match attempt::open(backend, attempt::CONNECT_TIME).await {
            Ok(conn) => {
                if let Some(conn) = stays(conn).await {
                    backend.keep(conn, None);
                    return false;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
            Err(error) => log::debug!(
                target: "request",
                "event=look_failed server={} why=\"{error}\"",
                backend.server.id
            ),
        }
    }
    false
}

/// A connection, if it stays open for a while.
async fn stays(mut conn: Conn) -> Option<Conn> {
    let closed = async {
        // Whatever comes here was not asked for.
        let _ = conn.fill().await;
        false
    };
    let stayed = async {
        Timer::after(STAYS_TIME).await;
        true
    };
    closed.or(stayed).await.then_some(conn)
}
