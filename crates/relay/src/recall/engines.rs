//! Asks the engines of this hall for the prompt parts that they cache.
//!
//! A list costs an engine some time, so it is requested only once, by one box, and only if
//! no other box has the data.

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

/// Number of engines asked concurrently: as many as a box's memory and link can take.
const CONCURRENT_MAX: usize = 8;
/// Limits for the request to one engine: a list has some 60 bytes per part, and the largest
/// engines cache a few thousand parts.
const LIMITS: Limits = Limits {
    open: Duration::from_millis(150),
    unacked: Duration::from_secs(1),
    head_bytes: 8 << 10,
    body_bytes: 512 << 10,
};
/// Time-out for a list. A later list is of little use: most subjects have been placed anew
/// by then.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks all engines of this hall and records what they cache. Does nothing until the
/// engines and their services are known.
pub(super) async fn list(relay: &Relay, executor: &LocalExecutor<'static>) {
    let Some(engines) = engines(relay) else {
        return;
    };
    let share = index::PARTS_MAX.get() / relay.fleet.len().max(1);
    for some in engines.chunks(CONCURRENT_MAX) {
        let now = Instant::now();
        let permitted = some
            .iter()
            .filter_map(|engine| Some((engine, relay.fleet.permit(engine, now).ok()?)));
        let lists: Vec<_> = permitted
            .map(|(engine, permit)| (engine, executor.spawn(request_list(permit))))
            .collect();
        for (engine, list) in lists {
            match list.await {
                Ok(reply) => {
                    let advertised = answer::decode(&reply.head);
                    relay.fleet.observe_answer(engine, &advertised, "-");
                    record_answer(relay, engine, &reply, share);
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

/// The engines of this hall, once the catalog and the servers are known.
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

/// Records the largest parts, which cost most to prefill again. The index has room for
/// `share` parts of each server, and most of the others belong to a single request.
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

/// Records the list in an engine's answer.
fn record_answer(relay: &Relay, engine: &Backend, reply: &Reply, share: usize) {
    let listed = match reply.head.status().code() {
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

async fn request_list(permit: Permit) -> Result<Reply, Failure> {
    let caller = Caller::new(permit.backend().server.address, LIMITS);
    let request = Request {
        method: "GET",
        target: monitoring::CACHE_LIST,
        body: None,
    };
    caller.call(&request, LIST_TIMEOUT, |_| {}).await
}
