//! Finds out whether this box reaches servers that it did not reach directly.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use smol::{LocalExecutor, Timer};
use tidepier_clock::Instant;

use super::{Dialer, CONNECT_TIMEOUT};
use crate::fleet::{Backend, Fleet};

/// Interval between two rounds of probes: an upper bound on the time for which connections
/// take a detour, or are refused, after the network has recovered.
const INTERVAL: Duration = Duration::from_millis(250);
/// Most servers of one service and hall that are probed in one round.
const PROBED_MAX: usize = 8;

/// Probes servers that are not reached directly; does not return.
pub(crate) async fn run(
    fleet: Rc<Fleet>,
    dialer: Rc<Dialer>,
    executor: Rc<LocalExecutor<'static>>,
) -> Infallible {
    loop {
        Timer::after(INTERVAL).await;
        let mut servers = dialer.take_suspects();
        servers.sort_by(|a, b| a.server.id.cmp(&b.server.id));
        servers.dedup_by(|a, b| Rc::ptr_eq(a, b));
        servers.extend(fleet.to_probe(PROBED_MAX, Instant::now()));
        for backend in servers {
            executor.spawn(probe(dialer.clone(), backend)).detach();
        }
    }
}

/// Opens a connection and closes it again: if each box kept one, they would take up the
/// connections that a server accepts when it returns.
async fn probe(dialer: Rc<Dialer>, backend: Rc<Backend>) {
    if backend.check_eligible(Instant::now()).is_ok() {
        // The result is recorded where the connection is opened.
        let _ = dialer.open(&backend, CONNECT_TIMEOUT).await;
    }
}
