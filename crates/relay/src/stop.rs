//! A planned stop: unready at once, new connections until the balancer knows,
//! every request finished, then the end.

use std::cell::Cell;

use crate::notifier::Notifier;

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not stopping.
    Serving,
    /// Asked to stop: not ready, but taking what still comes.
    Leaving,
    /// The balancer has had time to notice: no new connections or requests.
    Closing,
}

/// The stop of this process.
pub struct Stop {
    phase: Cell<Phase>,
    open: Cell<u32>,
    requests: Cell<u32>,
    /// Notified when the phase changed or a request ended.
    pub changed: Notifier,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            phase: Cell::new(Phase::Serving),
            open: Cell::new(0),
            requests: Cell::new(0),
            changed: Notifier::default(),
        }
    }
}

/// Counts something as open until it is dropped.
pub struct Open<'a> {
    stop: &'a Stop,
    count: &'a Cell<u32>,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
        if self.stop.phase.get() != Phase::Serving {
            self.stop.changed.notify();
        }
    }
}

impl Stop {
    /// The phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Moves on; a stop never goes back.
    pub fn advance(&self, phase: Phase) {
        if phase <= self.phase.get() {
            return;
        }
        self.phase.set(phase);
        self.changed.notify();
    }

    /// Counts a client connection.
    pub fn connection(&self) -> Open<'_> {
        self.count(&self.open)
    }

    /// Counts a request.
    pub fn request(&self) -> Open<'_> {
        self.count(&self.requests)
    }

    /// Open client connections.
    pub fn connections(&self) -> u32 {
        self.open.get()
    }

    /// Requests under way.
    pub fn requests(&self) -> u32 {
        self.requests.get()
    }

    fn count<'a>(&'a self, count: &'a Cell<u32>) -> Open<'a> {
        count.set(count.get() + 1);
        Open { stop: self, count }
    }

    /// Waits until the phase is reached.
    pub async fn wait_for_phase(&self, phase: Phase) {
        while self.phase.get() < phase {
            self.changed.wait().await;
        }
    }
}
