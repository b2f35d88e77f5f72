//! Follows the configuration. Two boxes of each hall watch the store. The others
//! learn of a higher generation from heartbeats and fetch it from a peer.

use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use tidepier_core::store::{Event, Revision, Scope, Store, Swap, Watch};
use tidepier_errors::Fault;
use tidepier_ids as ids;
use tidepier_placement::by_rendezvous;
use tidepier_store::fault;
use tidepier_wire::Frame;

use crate::dial;
use crate::node::Node;

/// Boxes of a hall that watch the store.
const WATCHERS_MAX: usize = 2;
/// Time between two checks whether this box has become a watcher.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a failed call to the store before the next one, and after a fetch
/// from a peer before another peer may be asked.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time without a change after which a box that watches the store checks that there
/// was none: a watch may miss a write without an error. Well below the time in which
/// a change has to be in force.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The store's key of the fleet document.
pub(crate) fn document_key(fleet: &ids::Account) -> String {
    format!("tidepier/{fleet}/document")
}

pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(run(node.clone()));
}

async fn run(node: Arc<Node>) {
    // A box that has just started may not know its peers yet, so it reads the
    // document from the store.
    let _ = read(&node).await;
    loop {
        if !is_watcher(&node) {
            Timer::after(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        if let Err(fault) = watch(&node).await {
            metrics::counter!("tidepier_watch_failures_total").increment(1);
            log::debug!("watch ended: {fault}");
            Timer::after(RETRY_DELAY).await;
        }
    }
}

/// Whether this box watches the store: it is one of the first
/// [`WATCHERS_MAX`] boxes of its hall in rendezvous order.
fn is_watcher(node: &Node) -> bool {
    let table = node.table();
    let names = table
        .candidates(node.hall())
        .map(|member| member.name.clone());
    let key = ids::Digest::of(b"configuration watchers").0;
    let order = by_rendezvous(key, names);
    order
        .iter()
        .take(WATCHERS_MAX)
        .any(|name| name == node.name())
}

async fn read(node: &Node) -> Result<Revision, Fault> {
    let key = document_key(&node.settings.fleet);
    let limit = node.settings.tuning.store_ms.duration();
    let read = node.store.get(&key, limit).await.map_err(fault)?;
    let Some(entry) = read.value else {
        return Ok(Revision::default());
    };
    adopt(node, &entry.value, "store");
    Ok(entry.revision)
}

/// Watches the key until that fails, or misses a change.
async fn watch(node: &Arc<Node>) -> Result<(), Fault> {
    let mut known = read(node).await?;
    let key = document_key(&node.settings.fleet);
    let mut watch = node.store.watch(Scope::Key(&key), known);
    loop {
        let read = watch.next(CHECK_INTERVAL).await.map_err(fault)?;
        match read.value.last() {
            Some(Event::Put(entry)) => {
                known = entry.revision;
                adopt(node, &entry.value, "watch");
            }
            Some(Event::Delete { .. }) => {
                known = Revision::default();
                report_adoption(node, Err("the document was deleted".into()), "watch");
            }
            None if is_newest(node, &key, known).await? => {}
            None => {
                metrics::counter!("tidepier_watch_failures_total").increment(1);
                log::warn!("a watch missed a change after revision={known}");
                return Ok(());
            }
        }
    }
}

/// Whether the key in the store still has this revision. The call has neither the value
/// in its request nor in its answer.
async fn is_newest(node: &Node, key: &str, known: Revision) -> Result<bool, Fault> {
    let limit = node.settings.tuning.store_ms.duration();
    let swap = node.store.swap(&[(key, known)], &[], &[], limit).await;
    Ok(matches!(swap.map_err(fault)?, Swap::Done(_)))
}

/// Puts a record in force, and notifies the neighbours at once if it is new.
fn adopt(node: &Node, bytes: &[u8], source: &'static str) {
    report_adoption(node, node.current.adopt(bytes), source);
}

/// Logs and counts the result of an adoption, and requests heartbeats that
/// report a new generation to the neighbours.
fn report_adoption(node: &Node, adopted: Result<bool, String>, source: &'static str) {
    match adopted {
        Ok(true) => {
            metrics::counter!("tidepier_configuration_taken_total", "from" => source).increment(1);
            node.links.beat_requested.notify(usize::MAX);
        }
        Ok(false) => {}
        Err(error) => {
            metrics::counter!("tidepier_configuration_refused_total", "from" => source)
                .increment(1);
            log::warn!("configuration refused from={source} error={error:?}");
        }
    }
}

/// Fetches the configuration from `peer` if that holds a higher generation.
pub(crate) fn fetch_if_newer(node: &Arc<Node>, peer: &ids::Box, generation: ids::Generation) {
    if generation <= node.generation() || !node.links.begin_fetch() {
        return;
    }
    let node = node.clone();
    let peer = peer.clone();
    node.clone().spawn(async move {
        if let Some(link) = dial::open(&node, &peer).await {
            link.send(Frame::Fetch(node.generation()));
        }
        // The answer arrives as a separate frame. If it does not arrive in this
        // time, another peer may be asked.
        Timer::after(RETRY_DELAY).await;
        node.links.end_fetch();
    });
}

/// Applies a complete record from a peer.
pub(crate) fn apply_record(node: &Node, bytes: &[u8]) {
    report_adoption(node, node.current.adopt(bytes), "peer");
    node.links.end_fetch();
}

/// Applies a patch from a peer; returns a request for the complete record if the
/// patch does not apply.
pub(crate) fn apply_patch(node: &Node, base: ids::Generation, bytes: &[u8]) -> Option<Frame> {
    let applied = node.current.patch(base, bytes);
    let failed = applied.is_err();
    report_adoption(node, applied, "peer");
    node.links.end_fetch();
    failed.then_some(Frame::Fetch(ids::Generation(0)))
}
