//! Moving a service's requests to another release of its servers.

use std::fmt;
use std::time::Duration;

use tidepier_ids as ids;

use crate::server::Release;

/// The operator's order to move a service to a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: ids::Service,
    /// The release that is to serve it.
    pub target: Release,
    /// Time after the order at which the move is to be complete.
    pub within: Duration,
}

/// The progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Both releases serve requests, or the new one is about to.
    InProgress,
    /// Only the new release serves requests; the old servers may stop.
    Completed,
    /// The new release gets no more requests.
    RolledBack,
}

impl State {
    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            State::InProgress => "in_progress",
            State::Completed => "completed",
            State::RolledBack => "rolled_back",
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
