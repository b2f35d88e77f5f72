//! The boxes that this one knows of, and what follows when one comes or goes.

use std::net::SocketAddr;
use std::sync::Arc;

use tidepier_clock::Instant;
use tidepier_membership::{Rumor, Sight, State};
use tidepier_wire::frame::Hello;

use crate::keeper;
use crate::node::Node;

/// Takes note of a box that has proved who it is.
pub(crate) fn met(node: &Arc<Node>, peer: &Hello) {
    let rumor = Rumor {
        name: peer.name.clone(),
        hall: peer.hall.clone(),
        peers: peer.peers,
        admin: peer.admin,
        incarnation: peer.incarnation,
        sequence: 0,
        state: State::Alive,
    };
    hear(node, vec![rumor]);
}

/// Nothing listens at `address`: the box that was there is gone.
pub(crate) fn gone(node: &Arc<Node>, address: SocketAddr) {
    let buried = {
        let mut table = node.table();
        let there = table.present().find(|member| member.rumor.peers == address);
        let there = there.map(|member| member.name.clone());
        there.and_then(|name| table.bury(&name, Instant::now()))
    };
    see(node, buried);
}

/// Takes rumors and acts on what is new.
pub(crate) fn hear(node: &Arc<Node>, rumors: Vec<Rumor>) {
    for rumor in rumors {
        let sight = node.table().hear(rumor, Instant::now());
        see(node, sight);
    }
}

/// Acts on a change of the table.
pub(crate) fn see(node: &Arc<Node>, sight: Option<Sight>) {
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
            keeper::bereave(node, name);
        }
        Sight::Reborn => {
            log::warn!("declared dead by others; new incarnation");
            keeper::forget(node);
        }
    }
    node.table_changed.notify(usize::MAX);
}
