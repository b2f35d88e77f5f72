//! Opens links to other boxes, and moves frames over open ones.
//!
//! This module does not interpret frames: it passes each to the node's
//! [`on_frame`](crate::node::Node::on_frame).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::channel::Receiver;
use tidepier_http::server::within;
use tidepier_ids as ids;
use tidepier_wire::{link, Frame, Link};

use crate::links::Line;
use crate::members;
use crate::node::Node;

/// Time without a received frame after which a link is closed. Heartbeats keep
/// the links of neighbours open; other links are dialled again when needed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The link to `peer`, dialled if necessary. `None` when it cannot be reached.
pub(crate) async fn open(node: &Arc<Node>, peer: &ids::Box) -> Option<Line> {
    let slot = node.links.dialled_slot(peer);
    let mut slot = slot.lock().await;
    if let Some(line) = slot.line() {
        return Some(line);
    }
    if slot.in_redial_delay() {
        return None;
    }
    let address = node.table().get(peer)?.rumor.peers;
    match dial(node, address).await {
        Some((_, line)) => {
            slot.dialled(line.clone());
            Some(line)
        }
        None => {
            slot.failed();
            None
        }
    }
}

/// Dials a box that is not in the table, at its address from the platform's
/// list.
pub(crate) async fn open_address(node: &Arc<Node>, peer: &ids::Box, address: SocketAddr) {
    let slot = node.links.dialled_slot(peer);
    let mut slot = slot.lock().await;
    if slot.line().is_some() {
        return;
    }
    if let Some((found, line)) = dial(node, address).await {
        // A box may have been replaced by another at the same address.
        if found == *peer {
            slot.dialled(line);
        }
    }
}

async fn dial(node: &Arc<Node>, address: SocketAddr) -> Option<(ids::Box, Line)> {
    let hello = node.hello();
    let opened = Box::pin(Link::dial(
        &*node.network,
        address,
        &hello,
        &node.settings.link_keys,
    ))
    .await;
    match opened {
        Ok(link) => {
            let peer = link.peer.name.clone();
            members::record_authenticated(node, &link.peer);
            let line = start_link(node, link);
            line.send(Frame::Still(node.holdings.slots(&peer)));
            Some((peer, line))
        }
        Err(link::Error::Refused) => {
            members::record_unreachable(node, address);
            None
        }
        Err(error) => {
            log::debug!("dial failed address={address} error={error}");
            None
        }
    }
}

/// Starts a link that a peer dialled.
pub(crate) fn start_accepted(node: &Arc<Node>, link: Link) {
    members::record_authenticated(node, &link.peer);
    let peer = link.peer.name.clone();
    let line = start_link(node, link);
    node.links.accept(peer, line);
}

fn start_link(node: &Arc<Node>, link: Link) -> Line {
    let (line, frames) = node.links.line(&link.peer.name);
    let running = run(node.clone(), link, frames, line.clone());
    node.spawn(running);
    line
}

/// Moves frames both ways until the link ends.
async fn run(node: Arc<Node>, link: Link, frames: Receiver<Frame>, line: Line) {
    let peer = link.peer.name.clone();
    let mut sender = link.sender;
    let mut receiver = link.receiver;
    let sending = async {
        while let Ok(frame) = frames.recv().await {
            if sender.send(&frame).await.is_err() {
                return;
            }
        }
    };
    let receiving = async {
        while let Some(Ok(frame)) = within(IDLE_TIMEOUT, receiver.recv()).await {
            node.links.record_received(&peer);
            (node.on_frame)(&node, &peer, frame, &line);
        }
    };
    let idle = async {
        receiving.await;
        node.links
            .time_since_received(&peer)
            .is_some_and(|time| time >= IDLE_TIMEOUT)
    };
    let sent = async {
        sending.await;
        false
    };
    let idle = sent.or(idle).await;
    node.links.close(&peer, &line);
    if !idle {
        redial(&node, &peer);
    }
}

/// Dials a peer again whose link has ended, to find out whether the box is gone.
fn redial(node: &Arc<Node>, peer: &ids::Box) {
    let node = node.clone();
    let peer = peer.clone();
    node.clone().spawn(async move {
        open(&node, &peer).await;
    });
}
