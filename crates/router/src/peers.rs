//! Accepts the links of other boxes, and dispatches each of their frames.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use smol::net::TcpListener;
use smol::Timer;
use tidepier_errors::Fault;
use tidepier_ids as ids;
use tidepier_placement::{Grant, Ticket};
use tidepier_wire::frame::Beat;
use tidepier_wire::{Frame, Link};

use crate::document::Update;
use crate::links::{Answer, Line};
use crate::node::Node;
use crate::{at_most_once, dial, follow, heartbeat, keeper, members, place};

/// Time before links are accepted again after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(crate) fn start(node: &Arc<Node>) -> io::Result<()> {
    let address = node.settings.peers.0;
    let listener = smol::block_on(TcpListener::bind(address))?;
    node.spawn(accept(node.clone(), listener));
    Ok(())
}

async fn accept(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let accepting = node.clone();
        node.spawn(async move {
            let opened =
                Link::accept(socket, &accepting.hello(), &accepting.settings.link_keys).await;
            match opened {
                Ok(link) => dial::start_accepted(&accepting, link),
                Err(error) => log::debug!("link refused error={error}"),
            }
        });
    }
}

/// Handles one frame of `peer`; answers are sent to `line`.
pub(crate) fn handle_frame(node: &Arc<Node>, peer: &ids::Box, frame: Frame, line: &Line) {
    match frame {
        Frame::Beat(theirs) => {
            let differs = apply_beat(node, peer, theirs);
            line.send(Frame::Echo(heartbeat::next_beat(node)));
            if differs {
                line.send(Frame::Table(node.table().rumors()));
            }
        }
        Frame::Echo(theirs) => {
            apply_beat(node, peer, theirs);
        }
        Frame::Table(rumors) => {
            members::merge_rumors(node, rumors);
            // Sends this box's table back, as it may have rumors that the peer
            // lacks.
            if heartbeat::exchange_due(node, peer) {
                line.send(Frame::Table(node.table().rumors()));
            }
        }
        Frame::Reach(target) => heartbeat::probe_for_peer(node, target, line.clone()),
        Frame::Reached(target, yes) => {
            if yes {
                node.links.record_received(&target);
            }
        }
        Frame::Fetch(held) => match node.current.update(held) {
            Update::Nothing => {}
            Update::Complete(bytes) => drop(line.send(Frame::Record(bytes))),
            Update::Patch(bytes) => drop(line.send(Frame::Patch(held, bytes))),
        },
        Frame::Record(bytes) => follow::apply_record(node, &bytes),
        Frame::Patch(base, bytes) => {
            if let Some(frame) = follow::apply_patch(node, base, &bytes) {
                line.send(frame);
            }
        }
        Frame::Ask(ask) => keeper::answer_ask(node, peer, ask),
        Frame::Grant(number, engine, slot, pressure) => {
            node.record_pressure(&engine, pressure);
            deliver_grant(node, peer, number, Grant { engine, slot });
        }
        Frame::Refuse(number, kind, detail, after_ms) => {
            let fault = Fault::new(kind, detail).after(Duration::from_millis(after_ms));
            let _ = node.links.deliver(number, Answer::Place(Err(fault)));
        }
        Frame::Release(slot, ended) => keeper::release(node, slot, ended),
        Frame::Withdraw(model, number) => {
            let ticket = Ticket {
                from: peer.clone(),
                number,
            };
            keeper::withdraw(node, &model, &ticket);
        }
        Frame::Holds(holdings) => {
            let adopted = keeper::adopt(node, peer, &holdings);
            line.send(Frame::Adopted(adopted));
        }
        Frame::Still(slots) => keeper::retain_slots(node, peer, &slots),
        Frame::Adopted(slots) => place::record_adoptions(node, peer, &slots),
        Frame::FateOf(number, claim) => at_most_once::answer_fate(node, number, claim, line),
        Frame::Fate(number, fate) => drop(node.links.deliver(number, Answer::Fate(fate))),
        Frame::Claim(number, wish) => {
            at_most_once::answer_claim(node, number, &wish, peer, line.clone())
        }
        Frame::Claimed(number, claimed) => {
            drop(node.links.deliver(number, Answer::Claimed(claimed)));
        }
        Frame::Bye(rumor) => members::merge_rumors(node, vec![rumor]),
        // These frames belong to the opening of a link only.
        Frame::Hello(_) | Frame::Proof(_) => {
            metrics::counter!("tidepier_link_refused_total", "why" => "out of place").increment(1);
        }
    }
}

/// Delivers a granted place. If its request no longer waits, the place is
/// released at once.
fn deliver_grant(node: &Arc<Node>, peer: &ids::Box, number: u64, grant: Grant) {
    let answered = node.links.deliver(number, Answer::Place(Ok(grant)));
    if let Err(Answer::Place(Ok(grant))) = answered {
        place::release_unused(node, peer, &grant);
    }
}

/// Applies a heartbeat; returns whether the tables differ and a full exchange is
/// due.
fn apply_beat(node: &Arc<Node>, peer: &ids::Box, theirs: Beat) -> bool {
    members::merge_rumors(node, theirs.rumors);
    follow::fetch_if_newer(node, peer, theirs.generation);
    heartbeat::needs_exchange(node, peer, theirs.table)
}
