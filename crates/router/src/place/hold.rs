//! A place on an engine, from its grant to its return.
//!
//! Invariant: each place is given back once, to the keeper that has it then.

use std::sync::Arc;

use tidepier_ids as ids;
use tidepier_placement::{Ended, Grant};
use tidepier_wire::Frame;

use crate::keeper;
use crate::node::Node;

/// A held place; given back when dropped.
pub(crate) struct Place {
    node: Arc<Node>,
    /// This box's number for it; `None` for one taken by a baseline, which no
    /// keeper knows of.
    number: Option<u64>,
    /// The engine.
    pub(crate) engine: ids::Engine,
    ended: Ended,
}

impl Place {
    /// A place on `engine` that is given back as served unless told otherwise.
    pub(super) fn new(node: &Arc<Node>, number: Option<u64>, engine: ids::Engine) -> Self {
        Self {
            node: node.clone(),
            number,
            engine,
            ended: Ended::Served,
        }
    }

    /// Notes that the engine could not be reached or broke off.
    pub(crate) fn failed(&mut self) {
        self.ended = Ended::Failed;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Some(number) = self.number else {
            self.node.held.ended(&self.engine);
            return;
        };
        let Some(holding) = self.node.held.remove(number) else {
            return;
        };
        release(&self.node, &holding.keeper, holding.slot, self.ended);
    }
}

/// Gives a slot back to its keeper, which may be this box.
pub(super) fn release(node: &Arc<Node>, keeper: &ids::Box, slot: ids::Slot, ended: Ended) {
    if keeper == node.name() {
        keeper::released(node, slot, ended);
    } else {
        node.links.send(keeper, Frame::Release(slot, ended));
    }
}

/// Gives back a place that came after its request had ended.
pub(crate) fn unwanted(node: &Arc<Node>, keeper: &ids::Box, grant: &Grant) {
    release(node, keeper, grant.slot, Ended::Served);
}
