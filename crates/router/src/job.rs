//! One request to be sent to engines.

use std::time::Duration;

use tidepier_core::work::Work;

use crate::engine::Dialect;
use crate::node::Node;

/// A request with all that is needed to send it to an engine.
pub(crate) struct Job {
    pub(crate) work: Work,
    /// The protocol to engines for this request.
    pub(crate) dialect: Box<dyn Dialect>,
    /// Time that an abandoned answer is kept for its client to resume it.
    pub(crate) linger: Duration,
    /// Whether the request has moved to another engine after one was lost.
    pub(crate) moved: bool,
}

impl Job {
    /// Takes a retry on another engine from the budget; returns whether it is
    /// allowed. `gone`: the previous engine no longer runs the request.
    pub(crate) fn take_retry(&mut self, node: &Node, gone: bool) -> bool {
        match gone {
            true => node.retries.take_after_loss(&mut self.moved),
            false => node.retries.take(),
        }
    }
}
