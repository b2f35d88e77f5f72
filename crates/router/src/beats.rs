//! Heartbeats to neighbours, suspicion, and the platform's list.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use rand::seq::SliceRandom;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_ids as ids;
use tidepier_membership::{neighbours, State};
use tidepier_placement::by_rendezvous;
use tidepier_store::boxes;
use tidepier_wire::frame::Beat;
use tidepier_wire::{Frame, Link};

use crate::links::Line;
use crate::node::Node;
use crate::{dial, keeper, members};

/// Rumors sent with one heartbeat.
const RUMORS: usize = 8;
/// Heartbeats that carry one rumor, for each doubling of the fleet, so that a
/// rumor reaches every box.
const TELLINGS: u32 = 3;
/// Boxes of a hall that go on reading the platform's list.
const READERS: usize = 2;
/// Known boxes for which a reader waits one `boxes_ms` longer: the list grows
/// with the fleet, what a box spends on it does not.
const LIST_STEP: usize = 4;
/// Unknown boxes greeted for one list; rumors bring the others.
const GREETED: usize = 4;
/// Neighbours asked to reach a silent one.
const HELPERS: usize = 2;
/// Time that helpers have.
const HELP_TIME: Duration = Duration::from_millis(600);
/// Shortest time between two full exchanges with one peer.
const EXCHANGE_PAUSE: Duration = Duration::from_secs(2);

pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(run(node.clone()));
    node.spawn(read_list(node.clone()));
}

/// The heartbeat of this box.
pub(crate) fn beat(node: &Node) -> Beat {
    let generation = node.generation();
    let mut table = node.table();
    let doublings = table.present().count().ilog2() + 1;
    Beat {
        generation,
        table: table.digest(),
        rumors: table.spread(RUMORS, TELLINGS * doublings),
    }
}

async fn run(node: Arc<Node>) {
    let tuning = node.settings.tuning.clone();
    let mut last = Instant::now();
    loop {
        let frozen = last.elapsed() > tuning.suspect_ms.duration();
        last = Instant::now();
        if frozen {
            // The silence was this box's own.
            node.links.excuse();
            keeper::forget(&node);
            metrics::counter!("tidepier_own_freezes_total").increment(1);
            log::warn!("this box was frozen");
        }
        round(&node, tuning.neighbours);
        let expired = node
            .table()
            .expire(tuning.remove_ms.duration(), Instant::now());
        for sight in expired {
            members::see(&node, Some(sight));
        }
        let early = node.links.beat_now.listen();
        let waiting = async {
            Timer::after(tuning.heartbeat_ms.duration()).await;
        };
        waiting.or(early).await;
    }
}

fn round(node: &Arc<Node>, count: usize) {
    let names = neighbours(&node.table(), count);
    for name in &names {
        let sending = node.clone();
        let peer = name.clone();
        node.spawn(async move {
            if let Some(line) = dial::open(&sending, &peer).await {
                line.send(Frame::Beat(beat(&sending)));
            }
        });
        doubt(node, name, &names);
    }
}

/// Suspects a neighbour of this hall that is silent, unless others reach it.
fn doubt(node: &Arc<Node>, name: &ids::Box, names: &[ids::Box]) {
    let limit = node.settings.tuning.suspect_ms.duration();
    if !silent(node, name, limit) {
        return;
    }
    let helpers: Vec<_> = names
        .iter()
        .filter(|other| *other != name)
        .take(HELPERS)
        .collect();
    for helper in helpers {
        node.links.send(helper, Frame::Reach(name.clone()));
    }
    let node = node.clone();
    let name = name.clone();
    node.clone().spawn(async move {
        Timer::after(HELP_TIME).await;
        if silent(&node, &name, limit) {
            let sight = node.table().suspect(&name, Instant::now());
            members::see(&node, sight);
        }
    });
}

/// Whether a box of this hall has been silent for longer than `limit`.
fn silent(node: &Node, name: &ids::Box, limit: Duration) -> bool {
    let table = node.table();
    let Some(member) = table.get(name) else {
        return false;
    };
    let heard = node.links.silence(name);
    let silence = heard.unwrap_or_else(|| member.since.elapsed());
    member.hall == *node.hall() && silence > limit
}

/// Tries to reach a box for a peer that cannot.
pub(crate) fn reach(node: &Arc<Node>, target: ids::Box, line: Line) {
    let limit = node.settings.tuning.suspect_ms.duration();
    if node
        .links
        .silence(&target)
        .is_some_and(|silence| silence < limit)
    {
        line.send(Frame::Reached(target, true));
        return;
    }
    let Some(address) = node.table().get(&target).map(|member| member.rumor.peers) else {
        return;
    };
    let node = node.clone();
    node.clone().spawn(async move {
        let (network, keys) = (&*node.network, &node.settings.link_keys);
        let dialled = Link::dial(network, address, &node.hello(), keys).await;
        line.send(Frame::Reached(target, dialled.is_ok()));
    });
}

/// Whether a full exchange with `peer` is due; if so, notes it as made.
pub(crate) fn exchange_due(node: &Node, peer: &ids::Box) -> bool {
    node.links.exchange_due(peer, EXCHANGE_PAUSE)
}

/// Whether the tables differ and an exchange is due.
pub(crate) fn differs(node: &Node, peer: &ids::Box, theirs: u32) -> bool {
    node.table().digest() != theirs && exchange_due(node, peer)
}

/// Reads the platform's list and greets boxes that are not known yet.
async fn read_list(node: Arc<Node>) {
    let tuning = node.settings.tuning.clone();
    let address = node.settings.platform.boxes.0;
    let limit = tuning.store_ms.duration();
    loop {
        if reads_list(&node) {
            match boxes::read(&node.client, address, node.name(), limit).await {
                Ok(list) => greet(&node, list),
                Err(fault) => {
                    metrics::counter!("tidepier_list_failures_total").increment(1);
                    log::debug!("{fault}");
                }
            }
        }
        let known = node.table().present().count();
        let steps = 1 + (known / LIST_STEP) as u32;
        Timer::after(tuning.boxes_ms.duration() * steps).await;
    }
}

/// A box that knows no other reads the list, and two of each hall, so that
/// groups of boxes that do not know each other find together.
fn reads_list(node: &Node) -> bool {
    let table = node.table();
    if table.present().count() <= 1 {
        return true;
    }
    let names = table
        .candidates(node.hall())
        .map(|member| member.name.clone());
    let key = ids::Digest::of(b"list readers").0;
    let order = by_rendezvous(key, names);
    order.iter().take(READERS).any(|name| name == node.name())
}

fn greet(node: &Arc<Node>, list: boxes::List) {
    let mut unknown: Vec<_> = {
        let table = node.table();
        let known = |entry: &boxes::Entry| {
            table
                .get(&entry.name)
                .is_some_and(|member| member.rumor.state != State::Dead)
        };
        list.boxes
            .into_iter()
            .filter(|entry| !known(entry))
            .collect()
    };
    // Not always the same ones: some may be gone for good.
    unknown.shuffle(&mut rand::rng());
    for entry in unknown.into_iter().take(GREETED) {
        let node = node.clone();
        node.clone().spawn(async move {
            dial::greet(&node, &entry.name, entry.peers).await;
        });
    }
}
