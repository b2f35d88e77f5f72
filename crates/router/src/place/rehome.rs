//! Telling new keepers of the places that this box holds.
//!
//! When the table of boxes changes, a pool may get another keeper, which knows
//! of a held place only from whoever holds it.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_ids as ids;
use tidepier_placement::Ended;
use tidepier_wire::frame::{self, Adoption};
use tidepier_wire::Frame;

use super::hold::release;
use crate::node::Node;
use crate::{dial, keeper};

/// Time between looks whether held places have a new keeper.
const REHOME: Duration = Duration::from_millis(500);

/// Starts the task that tells new keepers.
pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(rehome(node.clone()));
}

/// Tells new keepers of the places that this box holds.
async fn rehome(node: Arc<Node>) {
    loop {
        let changed = node.table_changed.listen();
        let again = async {
            Timer::after(REHOME).await;
        };
        changed.or(again).await;
        for (keeper, holdings) in moved(&node) {
            if keeper == *node.name() {
                let slots = keeper::adopted(&node, &keeper, &holdings);
                adopted(&node, &keeper, &slots);
            } else if let Some(line) = dial::open(&node, &keeper).await {
                line.send(Frame::Holds(holdings));
            }
        }
    }
}

/// Held places whose keeper has changed, by the new keeper.
fn moved(node: &Node) -> Vec<(ids::Box, Vec<frame::Holding>)> {
    let mut by_keeper: Vec<(ids::Box, Vec<frame::Holding>)> = Vec::new();
    for (number, holding) in node.held.all() {
        let Some(keeper) = keeper::keeper_of(node, &holding.model, &holding.hall) else {
            continue;
        };
        if keeper == holding.keeper {
            continue;
        }
        let told = frame::Holding {
            model: holding.model,
            account: holding.account,
            engine: holding.engine,
            number,
        };
        match by_keeper.iter_mut().find(|(name, _)| *name == keeper) {
            Some((_, list)) => list.push(told),
            None => by_keeper.push((keeper, vec![told])),
        }
    }
    by_keeper
}

/// A new keeper has adopted places. Those that ended meanwhile go back.
pub(crate) fn adopted(node: &Arc<Node>, keeper: &ids::Box, slots: &[Adoption]) {
    for adoption in slots {
        if node.held.rename(adoption.number, keeper, adoption.slot) {
            continue;
        }
        // The place ended while the new keeper adopted it.
        release(node, keeper, adoption.slot, Ended::Served);
    }
}
