//! The phase of a router's graceful shutdown.
//!
//! The phase only moves forward. Modules that wait for it depend only on this
//! module; the shutdown itself is in `stop`.

use std::sync::atomic::{AtomicU8, Ordering};

use event_listener::Event;

/// The phase of a router's graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The router serves requests.
    Serving,
    /// The router is shutting down, but still listens for clients.
    Stopping,
    /// The router no longer listens for clients, and finishes the open requests.
    Closed,
    /// The router answers the requests that are still open with a fault.
    Ending,
}

/// The state of one router's shutdown.
#[derive(Default)]
pub(crate) struct Stop {
    phase: AtomicU8,
    changed: Event,
}

impl Stop {
    /// The current phase.
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Stopping,
            2 => Phase::Closed,
            _ => Phase::Ending,
        }
    }

    /// Moves on to `phase` and wakes the tasks that wait.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Resolves when `phase` or a later one is reached.
    pub(crate) async fn reached(&self, phase: Phase) {
        loop {
            let listener = self.changed.listen();
            if self.phase() >= phase {
                return;
            }
            listener.await;
        }
    }
}
