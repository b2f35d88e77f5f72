//! The state of a graceful shutdown: the process reports itself not ready at once,
//! accepts new connections until the balancer has noticed, and exits when every
//! request is finished.
//!
//! A shutdown has a deadline, at which requests without an answer get one of this box,
//! as the process is killed soon after.

use std::cell::Cell;

use tidepier_clock::Instant;

use crate::notifier::Notifier;

/// The phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not shutting down.
    Serving,
    /// Reports itself not ready, but still accepts connections and requests.
    Leaving,
    /// The balancer has had time to notice: accepts no new connections or requests.
    Closing,
}

/// The state of the graceful shutdown of this process.
pub struct Stop {
    phase: Cell<Phase>,
    deadline: Cell<Option<Instant>>,
    connections: Cell<u32>,
    requests: Cell<u32>,
    /// Notified when the phase changes and, during the shutdown, when a connection or
    /// a request ends.
    pub changed: Notifier,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            phase: Cell::new(Phase::Serving),
            deadline: Cell::default(),
            connections: Cell::new(0),
            requests: Cell::new(0),
            changed: Notifier::default(),
        }
    }
}

/// Counts a connection or request as open until it is dropped.
pub struct Guard<'a> {
    stop: &'a Stop,
    count: &'a Cell<u32>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
        if self.stop.phase.get() != Phase::Serving {
            self.stop.changed.notify();
        }
    }
}

impl Stop {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Begins the shutdown, with the deadline for all answers.
    pub fn begin(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
        self.advance(Phase::Leaving);
    }

    /// The deadline for all answers; `None` while the process does not shut down.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline.get()
    }

    /// Waits until the shutdown has begun, and then until the moment that `at` returns for
    /// its deadline.
    pub async fn wait_until(&self, at: impl FnOnce(Instant) -> Instant) {
        loop {
            if let Some(deadline) = self.deadline.get() {
                return tidepier_clock::sleep_until(at(deadline)).await;
            }
            self.changed.wait().await;
        }
    }

    /// Waits until the deadline for all answers.
    pub async fn wait_for_deadline(&self) {
        self.wait_until(|deadline| deadline).await;
    }

    /// Advances to a later phase; the phase never goes back.
    pub fn advance(&self, phase: Phase) {
        if phase <= self.phase.get() {
            return;
        }
        self.phase.set(phase);
        self.changed.notify();
    }

    /// Counts a client connection while the guard lives.
    pub fn connection(&self) -> Guard<'_> {
        self.count(&self.connections)
    }

    /// Counts a request while the guard lives.
    pub fn request(&self) -> Guard<'_> {
        self.count(&self.requests)
    }

    /// Number of open client connections.
    pub fn connections(&self) -> u32 {
        self.connections.get()
    }

    /// Number of requests in flight.
    pub fn requests(&self) -> u32 {
        self.requests.get()
    }

    fn count<'a>(&'a self, count: &'a Cell<u32>) -> Guard<'a> {
        count.set(count.get() + 1);
        Guard { stop: self, count }
    }

    /// Waits until `phase` or a later one is reached.
    pub async fn wait_for_phase(&self, phase: Phase) {
        while self.phase.get() < phase {
            self.changed.wait().await;
        }
    }
}
