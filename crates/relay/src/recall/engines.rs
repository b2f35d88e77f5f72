//! Asking the engines of this hall what they keep.
//!
//! A list costs an engine some of its time, so that this is done once, by one
//! box, and only where no box can tell.

use std::rc::Rc;
use std::time::Duration;

use smol::LocalExecutor;
use tidepier_clock::Instant;
use tidepier_core::request::Part;
use tidepier_h1::call::{Caller, Failure, Limits, Reply, Request};
use tidepier_platform::{answer, monitoring};

use crate::fleet::{Backend, Permit};
use crate::relay::Relay;
use crate::traffic::{index, Progress};

/// Engines asked at once: so many lists fit into a box's memory and link.
const AT_ONCE: usize = 8;
/// What is waited for and taken of one engine: a list has some 60 bytes a part,
/// and the largest engines keep some thousand parts.
const LIMITS: Limits = Limits {
    open: Duration::from_millis(150),
    unacked: Duration::from_secs(1),
    head_bytes: 8 << 10,
    body_bytes: 512 << 10,
};
/// Longest time for a list. What comes later is of little use: by then most
/// subjects have been placed anew.
const LIST_TIME: Duration = Duration::from_millis(500);

/// Asks all engines of this hall, and records what they keep. Does nothing
/// while engines or their services are not known.
pub(super) async fn list(relay: &Relay, executor: &LocalExecutor<'static>) {
    let Some(engines) = engines(relay) else {
        return;
    };
    let share = index::PARTS_MAX.get() / relay.fleet.len().max(1);
    for some in engines.chunks(AT_ONCE) {
        let now = Instant::now();
        let permitted = some
            .iter()
            .filter_map(|engine| Some((engine, relay.fleet.permit(engine, now).ok()?)));
        let lists: Vec<_> = permitted
            .map(|(engine, permit)| (engine, executor.spawn(ask(permit))))
            .collect();
        for (engine, list) in lists {
            match list.await {
                Ok(reply) => {
                    let said = answer::decode(&reply.head);
                    relay.fleet.observe_answer(engine, &said, "-");
                    take(relay, engine, &reply, share);
                }
                Err(error) => log::info!(
                    target: "belief",
                    "event=list_failed server={} why=\"{error}\"",
                    engine.server.id
                ),
            }
        }
    }
    relay.traffic.set_progress(Progress::Listed);
}

/// The engines of this hall, once catalog and servers are known.
fn engines(relay: &Relay) -> Option<Vec<Rc<Backend>>> {
    let catalog = relay.view.catalog()?;
    if relay.fleet.is_empty() {
        return None;
    }
    let with_engines = catalog.services.iter();
    let with_engines = with_engines.filter(|(_, service)| service.engine.is_some());
    let serving = with_engines.flat_map(|(name, _)| relay.fleet.serving(name).to_vec());
    Some(serving.filter(|it| it.server.hall == relay.hall).collect())
}

/// Records the largest parts, which cost most to read again: the index has room
/// for so many of each server, and most others are of one request alone.
fn record(relay: &Relay, engine: &Backend, mut parts: Vec<Part>, share: usize) {
    parts.sort_by_key(|part| std::cmp::Reverse(part.tokens));
    parts.truncate(share);
    log::info!(
        target: "belief",
        "event=listed server={} parts={}",
        engine.server.id,
        parts.len()
    );
    let now = Instant::now();
    for part in parts {
        relay.traffic.index.record_remote(part.id, engine.key, now);
    }
}

/// Takes over the list in an engine's answer.
fn take(relay: &Relay, engine: &Backend, reply: &Reply, share: usize) {
    let listed = match reply.head.status() {
        200 => monitoring::cached_parts(&reply.body).map_err(|error| error.to_string()),
        status => Err(format!("status {status}")),
    };
    match listed {
        Ok(parts) => record(relay, engine, parts, share),
        Err(why) => log::info!(
            target: "belief",
            "event=list_failed server={} why=\"{why}\"",
            engine.server.id
        ),
    }
}

async fn ask(permit: Permit) -> Result<Reply, Failure> {
    let caller = Caller::new(permit.backend().server.address, LIMITS);
    let request = Request {
        method: "GET",
        target: monitoring::CACHE_LIST,
        body: None,
    };
    caller.call(&request, LIST_TIME, |_| {}).await
}
