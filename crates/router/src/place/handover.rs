//! Reports the places that this box holds to new keepers.
//!
//! When the table of boxes changes, a pool may get another keeper. The new
//! keeper learns of a held place only from the box that holds it.

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

/// Longest time between two checks whether held places have a new keeper.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the task that reports held places to new keepers.
pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(run(node.clone()));
}

async fn run(node: Arc<Node>) {
    loop {
        let changed = node.table_changed.listen();
        let again = async {
            Timer::after(CHECK_INTERVAL).await;
        };
        changed.or(again).await;
        for (keeper, holdings) in reassigned(&node) {
            if keeper == *node.name() {
                let slots = keeper::adopt(&node, &keeper, &holdings);
                record_adoptions(&node, &keeper, &slots);
            } else if let Some(line) = dial::open(&node, &keeper).await {
                line.send(Frame::Holds(holdings));
            }
        }
    }
}

/// Held places whose keeper has changed, grouped by the new keeper.
fn reassigned(node: &Node) -> Vec<(ids::Box, Vec<frame::Holding>)> {
    let mut by_keeper: Vec<(ids::Box, Vec<frame::Holding>)> = Vec::new();
    for (number, holding) in node.holdings.all() {
        let Some(keeper) = keeper::keeper_of(node, &holding.model, &holding.hall) else {
            continue;
        };
        if keeper == holding.keeper {
            continue;
        }
        let report = frame::Holding {
            model: holding.model,
            account: holding.account,
            engine: holding.engine,
            number,
        };
        match by_keeper.iter_mut().find(|(name, _)| *name == keeper) {
            Some((_, list)) => list.push(report),
            None => by_keeper.push((keeper, vec![report])),
        }
    }
    by_keeper
}

/// Records the slots under which a new keeper has adopted places, and releases
/// those whose requests have ended in the meantime.
pub(crate) fn record_adoptions(node: &Arc<Node>, keeper: &ids::Box, slots: &[Adoption]) {
    for adoption in slots {
        if node
            .holdings
            .reassign(adoption.number, keeper, adoption.slot)
        {
            continue;
        }
        // The request ended while the new keeper adopted its place.
        release(node, keeper, adoption.slot, Ended::Served);
    }
}
