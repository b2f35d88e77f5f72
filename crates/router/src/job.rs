//! One request on its way to engines.

use std::time::Duration;

use tidepier_core::work::Work;

use crate::engine::Dialect;
use crate::node::Node;

/// What is asked of an engine.
pub(crate) struct Job {
    pub(crate) work: Work,
    /// How engines are asked for it.
    pub(crate) dialect: Box<dyn Dialect>,
    /// Time that an abandoned answer is kept for its caller to come back.
    pub(crate) linger: Duration,
    /// Whether it has moved from an engine that is gone.
    pub(crate) moved: bool,
}

impl Job {
    /// Whether the budget lets it go to another engine; `gone` tells that the
    /// one before runs nothing of it any more.
    pub(crate) fn may_move(&mut self, node: &Node, gone: bool) -> bool {
        match gone {
            true => node.retries.take_after_loss(&mut self.moved),
            false => node.retries.take(),
        }
    }
}
