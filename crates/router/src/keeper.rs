//! The keeper's work. A pool is the set of one model's engines in one hall; its
//! keeper is the one box of the hall that grants places on these engines.
//!
//! The keeper is the first box in rendezvous order over the hall's live boxes.
//! A box that is asked for a pool that it does not keep according to its local
//! view refuses, so that a place is granted only if the requesting box and the
//! keeper agree on who the keeper is.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_config::document::{Document, State};
use tidepier_errors::{Fault, Kind};
use tidepier_ids as ids;
use tidepier_placement::{by_rendezvous, Ask, Ended, Ticket, Verdict};
use tidepier_wire::frame::{self, Adoption, Holding, Pressure};
use tidepier_wire::Frame;

use crate::links::Answer;
use crate::node::Node;
use crate::pools::Verdicts;

/// Time between two passes over the waiting requests.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after a box's death before its places are released, as its requests may
/// still run on their engines.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(3);

/// The keeper of a pool according to this box's local view.
pub(crate) fn keeper_of(node: &Node, model: &ids::Model, hall: &ids::Hall) -> Option<ids::Box> {
    let table = node.table();
    let names = table.candidates(hall).map(|member| member.name.clone());
    let key = ids::Digest::of(format!("{model}/{hall}").as_bytes()).0;
    by_rendezvous(key, names).into_iter().next()
}

pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(tick(node.clone()));
    node.spawn(run_refresh(node.clone()));
}

async fn tick(node: Arc<Node>) {
    loop {
        Timer::after(TICK_INTERVAL).await;
        reset_after_freeze(&node);
        let now = Instant::now();
        deliver(&node, node.pools.for_each(|pool| pool.tick(now)));
    }
}

/// Drops the pools if this process was frozen for so long that other boxes may
/// have become their keepers.
fn reset_after_freeze(node: &Arc<Node>) {
    let limit = node.settings.tuning.suspect_ms.duration();
    let now = Instant::now();
    let previous = node.pools.record_tick(now);
    if previous.is_some_and(|last| now.saturating_duration_since(last) > limit) {
        dissolve(node, |_| true);
        metrics::counter!("tidepier_keeper_resets_total").increment(1);
    }
}

/// Removes the pools of the models that `ends` selects, and notifies the
/// requests that wait in them.
fn dissolve(node: &Arc<Node>, ends: impl Fn(&ids::Model) -> bool) {
    for pool in node.pools.remove_matching(ends) {
        deliver(node, pool.dissolve());
    }
}

/// Updates the pools after each change of the document or the table of boxes.
async fn run_refresh(node: Arc<Node>) {
    loop {
        let document = node.current.listen();
        let table = node.table_changed.listen();
        refresh(&node);
        let again = async {
            Timer::after(Duration::from_millis(500)).await;
        };
        document.or(table).or(again).await;
    }
}

fn refresh(node: &Arc<Node>) {
    let Some(document) = node.current.document() else {
        return;
    };
    let kept: Vec<_> = document
        .models
        .iter()
        .filter(|model| keeper_of(node, &model.name, node.hall()).as_ref() == Some(node.name()))
        .map(|model| model.name.clone())
        .collect();
    let kept: Vec<_> = kept
        .into_iter()
        .map(|model| (engines_of(&document, &model, node.hall()), model))
        .filter(|(engines, _)| !engines.is_empty())
        .collect();
    dissolve(node, |model| kept.iter().all(|(_, other)| other != model));
    let alone = node.table().candidates(node.hall()).count() <= 1;
    let takeover = node.settings.tuning.takeover_ms.duration();
    let wait = if alone { Duration::ZERO } else { takeover };
    for (engines, model) in kept {
        node.pools.configure(model, &document.load, &engines, wait);
    }
}

fn engines_of(
    document: &Document,
    model: &ids::Model,
    hall: &ids::Hall,
) -> Vec<(ids::Engine, bool)> {
    let mine = document
        .engines
        .iter()
        .filter(|e| e.model == *model && e.hall == *hall);
    mine.map(|engine| (engine.name.clone(), engine.state == State::Active))
        .collect()
}

/// Decides on a request for a place, from this box or a peer.
pub(crate) fn decide(node: &Arc<Node>, model: &ids::Model, ask: Ask) -> Verdict {
    reset_after_freeze(node);
    let now = Instant::now();
    let decided = node.pools.with_pool(model, |pool| pool.ask(ask, now));
    decided.unwrap_or_else(|| {
        // The two boxes have different views of who the keeper is. The
        // requesting box looks the keeper up again.
        let fault = Fault::new(Kind::Peer, "this box does not keep the pool");
        Verdict::Refused(fault.after(Duration::from_millis(100)))
    })
}

/// Adds the account's share and priority from the document to a box's request
/// for a place.
pub(crate) fn resolve(node: &Node, peer: &ids::Box, ask: &frame::Ask) -> Ask {
    let document = node.current.document();
    let account = document.as_ref().and_then(|document| {
        document
            .accounts
            .iter()
            .find(|account| account.name == ask.account)
            .cloned()
    });
    Ask {
        ticket: Ticket {
            from: peer.clone(),
            number: ask.number,
        },
        account: ask.account.clone(),
        share: account.as_ref().map_or(1, |account| account.share),
        priority: account.map_or_else(Default::default, |account| account.priority),
        prefix: ask.prefix,
        chat: ask.chat,
        returning: ask.returning,
        prefer: ask.prefer.clone(),
        avoid: ask.avoid.clone(),
        patience: Duration::from_millis(ask.patience_ms),
    }
}

/// Handles a peer's request for a place.
pub(crate) fn answer_ask(node: &Arc<Node>, peer: &ids::Box, ask: frame::Ask) {
    let resolved = resolve(node, peer, &ask);
    let ticket = resolved.ticket.clone();
    match decide(node, &ask.model, resolved) {
        Verdict::Waits => {}
        verdict => deliver(node, vec![(ticket, verdict)]),
    }
}

/// Releases a place.
pub(crate) fn release(node: &Arc<Node>, slot: ids::Slot, ended: Ended) {
    let now = Instant::now();
    deliver(node, node.pools.release(slot, ended, now));
}

/// Withdraws a request for a place.
pub(crate) fn withdraw(node: &Arc<Node>, model: &ids::Model, ticket: &Ticket) {
    let now = Instant::now();
    let out = node
        .pools
        .with_pool(model, |pool| pool.withdraw(ticket, now));
    deliver(node, out.unwrap_or_default());
}

/// Adopts the places that a box holds from an earlier keeper.
pub(crate) fn adopt(node: &Arc<Node>, peer: &ids::Box, holdings: &[Holding]) -> Vec<Adoption> {
    let now = Instant::now();
    let adopt = |holding: &Holding| {
        let ask = frame::Ask {
            number: holding.number,
            model: holding.model.clone(),
            account: holding.account.clone(),
            prefix: ids::Prefix::default(),
            chat: ids::Chat::default(),
            returning: false,
            prefer: None,
            avoid: Vec::new(),
            patience_ms: 0,
        };
        let ask = resolve(node, peer, &ask);
        let slot = node.pools.with_pool(&holding.model, |pool| {
            pool.adopt(&ask, &holding.engine, now)
        });
        slot.map(|slot| Adoption {
            model: holding.model.clone(),
            number: holding.number,
            slot,
        })
    };
    holdings.iter().filter_map(adopt).collect()
}

/// Releases the places of a box but for the slots that it still holds; it
/// reports these when it opens a new link.
pub(crate) fn retain_slots(node: &Arc<Node>, peer: &ids::Box, slots: &[ids::Slot]) {
    let now = Instant::now();
    deliver(
        node,
        node.pools.for_each(|pool| pool.retain(peer, slots, now)),
    );
}

/// Releases the places of a dead box after [`ORPHAN_TIMEOUT`], when its orphaned
/// requests have ended. The slots are collected now: by then the box may have
/// returned under the same name and hold others.
pub(crate) fn release_orphans(node: &Arc<Node>, dead: &ids::Box) {
    let mut orphans = Vec::new();
    let out = node.pools.for_each(|pool| {
        let out = pool.forsake(dead);
        orphans.extend(pool.slots(dead));
        out
    });
    deliver(node, out);
    let node = node.clone();
    node.clone().spawn(async move {
        Timer::after(ORPHAN_TIMEOUT).await;
        for slot in orphans {
            release(&node, slot, Ended::Served);
        }
    });
}

/// Recreates all pools, as other boxes may have become their keepers without
/// this box noticing.
pub(crate) fn reset(node: &Arc<Node>) {
    dissolve(node, |_| true);
    refresh(node);
}

/// Sends verdicts to the boxes whose requests they decide.
pub(crate) fn deliver(node: &Arc<Node>, verdicts: Verdicts) {
    for (ticket, verdict) in verdicts {
        if ticket.from == *node.name() {
            deliver_locally(node, ticket.number, verdict);
        } else {
            deliver_to_peer(node, &ticket, verdict);
        }
    }
}

fn deliver_locally(node: &Arc<Node>, number: u64, verdict: Verdict) {
    let result = match verdict {
        Verdict::Granted(grant) => Ok(grant),
        Verdict::Refused(fault) => Err(fault),
        Verdict::Waits => return,
    };
    let answered = node.links.deliver(number, Answer::Place(result));
    if let Err(Answer::Place(Ok(grant))) = answered {
        // The request has ended in the meantime: its place is released at once.
        release(node, grant.slot, Ended::Served);
    }
}

/// The pressure (requests per engine) on the pool of an engine.
pub(crate) fn pressure(node: &Node, engine: &ids::Engine) -> Pressure {
    let document = node.current.document();
    let found = document
        .as_ref()
        .and_then(|document| document.engine(engine));
    let pressure =
        found.and_then(|engine| node.pools.with_pool(&engine.model, |pool| pool.pressure()));
    Pressure::new(pressure.unwrap_or(0.0))
}

fn deliver_to_peer(node: &Arc<Node>, ticket: &Ticket, verdict: Verdict) {
    let frame = match verdict {
        Verdict::Granted(grant) => {
            let pressure = pressure(node, &grant.engine);
            Frame::Grant(ticket.number, grant.engine, grant.slot, pressure)
        }
        Verdict::Refused(fault) => {
            let after = fault.retry_after.unwrap_or_default().as_millis() as u64;
            Frame::Refuse(ticket.number, fault.kind, fault.detail, after)
        }
        Verdict::Waits => return,
    };
    node.links.send(&ticket.from, frame);
}
