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
    /// Time from the order until it should.
    pub within: Duration,
}

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Both releases serve, or the new one will.
    InProgress,
    /// The new release alone serves; the old servers may stop.
    Completed,
    /// The new release gets nothing more.
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
