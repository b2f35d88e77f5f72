//! A place on an engine, from its grant to its release.
//!
//! Invariant: each place is released exactly once, to the box that is its
//! keeper at that time.

use std::sync::Arc;

use tidepier_ids as ids;
use tidepier_placement::{Ended, Grant};
use tidepier_wire::Frame;

use crate::keeper;
use crate::node::Node;

/// A held place; released when dropped.
pub(crate) struct Place {
    node: Arc<Node>,
    /// This box's number for the place; `None` if a baseline policy chose the
    /// engine, as no keeper has granted the place then.
    number: Option<u64>,
    pub(crate) engine: ids::Engine,
    ended: Ended,
}

impl Place {
    /// A place on `engine` that is released as served unless
    /// [`mark_failed`](Self::mark_failed) is called.
    pub(super) fn new(node: &Arc<Node>, number: Option<u64>, engine: ids::Engine) -> Self {
        Self {
            node: node.clone(),
            number,
            engine,
            ended: Ended::Served,
        }
    }

    /// Records that the engine could not be reached or broke off its answer.
    pub(crate) fn mark_failed(&mut self) {
        self.ended = Ended::Failed;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Some(number) = self.number else {
            self.node.holdings.end_baseline(&self.engine);
            return;
        };
        let Some(holding) = self.node.holdings.remove(number) else {
            return;
        };
        release(&self.node, &holding.keeper, holding.slot, self.ended);
    }
}

/// Releases a slot at its keeper, which may be this box.
pub(super) fn release(node: &Arc<Node>, keeper: &ids::Box, slot: ids::Slot, ended: Ended) {
    if keeper == node.name() {
        keeper::release(node, slot, ended);
    } else {
        node.links.send(keeper, Frame::Release(slot, ended));
    }
}

/// Releases a place that was granted after its request had ended.
pub(crate) fn release_unused(node: &Arc<Node>, keeper: &ids::Box, grant: &Grant) {
    release(node, keeper, grant.slot, Ended::Served);
}
