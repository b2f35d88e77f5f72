//! How far a router is with stopping.
//!
//! The phase only moves forward. Who waits for it depends on this module alone;
//! the planned stop itself is in `stop`.

use std::sync::atomic::{AtomicU8, Ordering};

use event_listener::Event;

/// How far a router is with stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It finishes what it has.
    Stopping,
    /// It no longer listens for callers.
    Closed,
}

/// The stop of one router.
#[derive(Default)]
pub(crate) struct Stop {
    phase: AtomicU8,
    changed: Event,
}

impl Stop {
    /// The phase now.
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Stopping,
            _ => Phase::Closed,
        }
    }

    /// Moves on to `phase` and wakes whoever waits.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Resolves when the router no longer listens for callers.
    pub(crate) async fn closed(&self) {
        loop {
            let listener = self.changed.listen();
            if self.phase() == Phase::Closed {
                return;
            }
            listener.await;
        }
    }
}
