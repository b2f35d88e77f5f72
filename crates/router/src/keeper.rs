//! The pools that this box keeps: for each, it alone in its hall grants places
//! on the pool's engines.
//!
//! Which box keeps a pool follows from rendezvous order over the hall's live
//! boxes. A box that is asked for a pool that it does not keep, by its own
//! view, refuses; so a grant needs that asker and keeper agree on the keeper.

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

/// Time between looks at waiting requests.
const TICK: Duration = Duration::from_millis(20);
/// Time that a dead box's requests may still run on their engines before
/// their places are given away.
const ORPHANS: Duration = Duration::from_secs(3);

/// The keeper of a pool, by this box's view.
pub(crate) fn keeper_of(node: &Node, model: &ids::Model, hall: &ids::Hall) -> Option<ids::Box> {
    let table = node.table();
    let names = table.candidates(hall).map(|member| member.name.clone());
    let key = ids::Digest::of(format!("{model}/{hall}").as_bytes()).0;
    by_rendezvous(key, names).into_iter().next()
}

pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(tick(node.clone()));
    node.spawn(follow(node.clone()));
}

async fn tick(node: Arc<Node>) {
    loop {
        Timer::after(TICK).await;
        thaw(&node);
        let now = Instant::now();
        deliver(&node, node.pools.each(|pool| pool.tick(now)));
    }
}

/// Forgets the pools if this process has just slept so long that others may
/// keep them by now.
fn thaw(node: &Arc<Node>) {
    let limit = node.settings.tuning.suspect_ms.duration();
    let now = Instant::now();
    let slept = node.pools.looked(now);
    if slept.is_some_and(|last| now.saturating_duration_since(last) > limit) {
        dissolve(node, |_| true);
        metrics::counter!("tidepier_keeper_resets_total").increment(1);
    }
}

/// Ends the pools that `ends` holds for, and tells whoever waits before them.
fn dissolve(node: &Arc<Node>, ends: impl Fn(&ids::Model) -> bool) {
    for pool in node.pools.take(ends) {
        deliver(node, pool.dissolve());
    }
}

/// Keeps the pools in line with the document and the table of boxes.
async fn follow(node: Arc<Node>) {
    loop {
        let document = node.current.changes();
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

/// Decides on a request of this box or a peer.
pub(crate) fn decide(node: &Arc<Node>, model: &ids::Model, ask: Ask) -> Verdict {
    thaw(node);
    let now = Instant::now();
    let decided = node.pools.on(model, |pool| pool.ask(ask, now));
    decided.unwrap_or_else(|| {
        // The asker looks again: the boxes' views of the keeper differ.
        let fault = Fault::new(Kind::Peer, "this box does not keep the pool");
        Verdict::Refused(fault.after(Duration::from_millis(100)))
    })
}

/// Completes a peer's request from the document.
pub(crate) fn complete(node: &Node, peer: &ids::Box, ask: &frame::Ask) -> Ask {
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

/// A peer asks for a place.
pub(crate) fn asked(node: &Arc<Node>, peer: &ids::Box, ask: frame::Ask) {
    let complete = complete(node, peer, &ask);
    let ticket = complete.ticket.clone();
    match decide(node, &ask.model, complete) {
        Verdict::Waits => {}
        verdict => deliver(node, vec![(ticket, verdict)]),
    }
}

/// A place is given back.
pub(crate) fn released(node: &Arc<Node>, slot: ids::Slot, ended: Ended) {
    let now = Instant::now();
    deliver(node, node.pools.release(slot, ended, now));
}

/// A request is withdrawn.
pub(crate) fn withdrawn(node: &Arc<Node>, model: &ids::Model, ticket: &Ticket) {
    let now = Instant::now();
    let out = node.pools.on(model, |pool| pool.withdraw(ticket, now));
    deliver(node, out.unwrap_or_default());
}

/// A box tells which places it holds from an earlier keeper.
pub(crate) fn adopted(node: &Arc<Node>, peer: &ids::Box, holdings: &[Holding]) -> Vec<Adoption> {
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
        let ask = complete(node, peer, &ask);
        let slot = node.pools.on(&holding.model, |pool| {
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

/// A box has dialled anew and names the slots that it still holds.
pub(crate) fn still(node: &Arc<Node>, peer: &ids::Box, slots: &[ids::Slot]) {
    let now = Instant::now();
    deliver(node, node.pools.each(|pool| pool.retain(peer, slots, now)));
}

/// A box is dead: its places are free once its orphaned requests have ended.
/// Only what it has now: it may have come back under its name by then.
pub(crate) fn bereave(node: &Arc<Node>, dead: &ids::Box) {
    let mut orphans = Vec::new();
    let out = node.pools.each(|pool| {
        let out = pool.forsake(dead);
        orphans.extend(pool.slots(dead));
        out
    });
    deliver(node, out);
    let node = node.clone();
    node.clone().spawn(async move {
        Timer::after(ORPHANS).await;
        for slot in orphans {
            released(&node, slot, Ended::Served);
        }
    });
}

/// Starts all pools anew: this box may have lost them without noticing.
pub(crate) fn forget(node: &Arc<Node>) {
    dissolve(node, |_| true);
    refresh(node);
}

/// Sends verdicts to those who wait.
pub(crate) fn deliver(node: &Arc<Node>, verdicts: Verdicts) {
    for (ticket, verdict) in verdicts {
        if ticket.from == *node.name() {
            deliver_here(node, ticket.number, verdict);
        } else {
            deliver_there(node, &ticket, verdict);
        }
    }
}

fn deliver_here(node: &Arc<Node>, number: u64, verdict: Verdict) {
    let result = match verdict {
        Verdict::Granted(grant) => Ok(grant),
        Verdict::Refused(fault) => Err(fault),
        Verdict::Waits => return,
    };
    let answered = node.links.answer(number, Answer::Place(result));
    if let Err(Answer::Place(Ok(grant))) = answered {
        // The request has ended meanwhile: its place goes back at once.
        released(node, grant.slot, Ended::Served);
    }
}

/// The pressure on the pool of an engine.
pub(crate) fn pressure(node: &Node, engine: &ids::Engine) -> Pressure {
    let document = node.current.document();
    let found = document
        .as_ref()
        .and_then(|document| document.engine(engine));
    let pressure = found.and_then(|engine| node.pools.on(&engine.model, |pool| pool.pressure()));
    Pressure::new(pressure.unwrap_or(0.0))
}

fn deliver_there(node: &Arc<Node>, ticket: &Ticket, verdict: Verdict) {
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
