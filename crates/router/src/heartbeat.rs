//! Sends heartbeats to neighbours, suspects unresponsive ones, and reads the
//! platform's list of boxes.

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

/// Most rumors in one heartbeat.
const RUMORS_MAX: usize = 8;
/// Number of heartbeats that carry one rumor, per doubling of the fleet's size.
/// Repeating it makes the rumor reach every box.
const RUMOR_REPEATS: u32 = 3;
/// Boxes of a hall that continue to read the platform's list.
const READERS_MAX: usize = 2;
/// A reader waits one `boxes_ms` longer for each of these many known boxes: the
/// list grows with the fleet, the work that a box spends on it should not.
const BOXES_PER_STEP: usize = 4;
/// Unknown boxes dialled per read of the list; rumors bring the others.
const GREETINGS_MAX: usize = 4;
/// Neighbours that are asked to probe an unresponsive one.
const HELPERS_MAX: usize = 2;
/// Time that these neighbours have for their probes.
const HELPER_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest time between two full exchanges with one peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(run(node.clone()));
    node.spawn(read_list(node.clone()));
}

/// The next heartbeat of this box; counts the rumors in it as sent once more.
pub(crate) fn next_beat(node: &Node) -> Beat {
    let generation = node.generation();
    let mut table = node.table();
    let doublings = table.present().count().ilog2() + 1;
    Beat {
        generation,
        table: table.digest(),
        rumors: table.spread(RUMORS_MAX, RUMOR_REPEATS * doublings),
    }
}

async fn run(node: Arc<Node>) {
    let tuning = node.settings.tuning.clone();
    let mut last = Instant::now();
    loop {
        let frozen = last.elapsed() > tuning.suspect_ms.duration();
        last = Instant::now();
        if frozen {
            // No peer was unresponsive: this process did not run.
            node.links.reset_received();
            keeper::reset(&node);
            metrics::counter!("tidepier_own_freezes_total").increment(1);
            log::warn!("this box was frozen");
        }
        send_beats(&node, tuning.neighbours);
        let expired = node
            .table()
            .expire(tuning.remove_ms.duration(), Instant::now());
        for sight in expired {
            members::apply_change(&node, Some(sight));
        }
        let early = node.links.beat_requested.listen();
        let waiting = async {
            Timer::after(tuning.heartbeat_ms.duration()).await;
        };
        waiting.or(early).await;
    }
}

fn send_beats(node: &Arc<Node>, count: usize) {
    let names = neighbours(&node.table(), count);
    for name in &names {
        let sending = node.clone();
        let peer = name.clone();
        node.spawn(async move {
            if let Some(line) = dial::open(&sending, &peer).await {
                line.send(Frame::Beat(next_beat(&sending)));
            }
        });
        check_neighbour(node, name, &names);
    }
}

/// Suspects an unresponsive neighbour of this hall, unless other neighbours
/// reach it.
fn check_neighbour(node: &Arc<Node>, name: &ids::Box, names: &[ids::Box]) {
    let limit = node.settings.tuning.suspect_ms.duration();
    if !is_unresponsive(node, name, limit) {
        return;
    }
    let helpers: Vec<_> = names
        .iter()
        .filter(|other| *other != name)
        .take(HELPERS_MAX)
        .collect();
    for helper in helpers {
        node.links.send(helper, Frame::Reach(name.clone()));
    }
    let node = node.clone();
    let name = name.clone();
    node.clone().spawn(async move {
        Timer::after(HELPER_TIMEOUT).await;
        if is_unresponsive(&node, &name, limit) {
            let sight = node.table().suspect(&name, Instant::now());
            members::apply_change(&node, sight);
        }
    });
}

/// Whether nothing has been received for longer than `limit` from a box of this
/// hall.
fn is_unresponsive(node: &Node, name: &ids::Box, limit: Duration) -> bool {
    let table = node.table();
    let Some(member) = table.get(name) else {
        return false;
    };
    let received = node.links.time_since_received(name);
    let silence = received.unwrap_or_else(|| member.since.elapsed());
    member.hall == *node.hall() && silence > limit
}

/// Probes a box for a peer that cannot reach it, and reports the result.
pub(crate) fn probe_for_peer(node: &Arc<Node>, target: ids::Box, line: Line) {
    let limit = node.settings.tuning.suspect_ms.duration();
    if node
        .links
        .time_since_received(&target)
        .is_some_and(|time| time < limit)
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

/// Whether a full exchange of tables with `peer` is due; if so, records one as
/// made now.
pub(crate) fn exchange_due(node: &Node, peer: &ids::Box) -> bool {
    node.links.exchange_due(peer, EXCHANGE_INTERVAL)
}

/// Whether the tables differ and a full exchange is due; if so, records one as
/// made now.
pub(crate) fn needs_exchange(node: &Node, peer: &ids::Box, theirs: u32) -> bool {
    node.table().digest() != theirs && exchange_due(node, peer)
}

/// Reads the platform's list and dials boxes that are not known yet.
async fn read_list(node: Arc<Node>) {
    let tuning = node.settings.tuning.clone();
    let address = node.settings.platform.boxes.0;
    let limit = tuning.store_ms.duration();
    loop {
        if reads_list(&node) {
            match boxes::read(&node.client, address, node.name(), limit).await {
                Ok(list) => greet_unknown(&node, list),
                Err(fault) => {
                    metrics::counter!("tidepier_list_failures_total").increment(1);
                    log::debug!("{fault}");
                }
            }
        }
        let known = node.table().present().count();
        let steps = 1 + (known / BOXES_PER_STEP) as u32;
        Timer::after(tuning.boxes_ms.duration() * steps).await;
    }
}

/// Whether this box reads the list: a box that knows no other does, and
/// [`READERS_MAX`] boxes of each hall do, so that groups of boxes that do not
/// know each other find each other.
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
    order
        .iter()
        .take(READERS_MAX)
        .any(|name| name == node.name())
}

fn greet_unknown(node: &Arc<Node>, list: boxes::List) {
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
    // Shuffled, as some boxes of the list may be gone for good and must not use
    // up the limit every time.
    unknown.shuffle(&mut rand::rng());
    for entry in unknown.into_iter().take(GREETINGS_MAX) {
        let node = node.clone();
        node.clone().spawn(async move {
            dial::open_address(&node, &entry.name, entry.peers).await;
        });
    }
}
