//! Changes of the membership table, and the actions that follow from them.

use std::net::SocketAddr;
use std::sync::Arc;

use tidepier_clock::Instant;
use tidepier_membership::{Rumor, Sight, State};
use tidepier_wire::frame::Hello;

use crate::keeper;
use crate::node::Node;

/// Adds a box that has authenticated on a link to the table.
pub(crate) fn record_authenticated(node: &Arc<Node>, peer: &Hello) {
    let rumor = Rumor {
        name: peer.name.clone(),
        hall: peer.hall.clone(),
        peers: peer.peers,
        admin: peer.admin,
        incarnation: peer.incarnation,
        sequence: 0,
        state: State::Alive,
    };
    merge_rumors(node, vec![rumor]);
}

/// Records the box at `address` as dead, as nothing listens there.
pub(crate) fn record_unreachable(node: &Arc<Node>, address: SocketAddr) {
    let sight = {
        let mut table = node.table();
        let there = table.present().find(|member| member.rumor.peers == address);
        let there = there.map(|member| member.name.clone());
        there.and_then(|name| table.bury(&name, Instant::now()))
    };
    apply_change(node, sight);
}

/// Merges rumors into the table and acts on the changes.
pub(crate) fn merge_rumors(node: &Arc<Node>, rumors: Vec<Rumor>) {
    for rumor in rumors {
        let sight = node.table().hear(rumor, Instant::now());
        apply_change(node, sight);
    }
}

/// Acts on a change of the table.
pub(crate) fn apply_change(node: &Arc<Node>, sight: Option<Sight>) {
    let Some(sight) = sight else {
        return;
    };
    let what = match &sight {
        Sight::Joined(_) => "joined",
        Sight::Changed(_, state) => state.name(),
        Sight::Died(_) => "dead",
        Sight::Reborn => "reborn",
    };
    metrics::counter!("tidepier_membership_changes_total", "change" => what).increment(1);
    match &sight {
        Sight::Joined(name) => log::info!("box joined box={name}"),
        Sight::Changed(name, state) => log::info!("box changed box={name} state={}", state.name()),
        Sight::Died(name) => {
            log::info!("box died box={name}");
            keeper::release_orphans(node, name);
        }
        Sight::Reborn => {
            log::warn!("other boxes declared this box dead; continuing with a new incarnation");
            keeper::reset(node);
        }
    }
    node.table_changed.notify(usize::MAX);
}
