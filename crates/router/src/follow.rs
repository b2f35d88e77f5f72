//! Following the configuration: two boxes of each hall watch the store, the
//! others hear of a higher generation in heartbeats and fetch it from a peer.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_core::store::{Event, Revision, Scope, Store, Watch};
use tidepier_errors::Fault;
use tidepier_ids as ids;
use tidepier_placement::by_rendezvous;
use tidepier_store::fault;
use tidepier_wire::Frame;

use crate::dial;
use crate::node::Node;

/// Boxes of a hall that watch the store.
const WATCHERS: usize = 2;
/// Time between looks whether this box has become a watcher.
const DUTY_CHECK: Duration = Duration::from_secs(1);
/// Pause after a failed call to the store.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Longest time on one watch before the key is read again: a watch may have
/// silently missed a write.
const WATCH_TIME: Duration = Duration::from_secs(30);

/// The store's key of the fleet document.
pub(crate) fn document_key(fleet: &ids::Account) -> String {
    format!("tidepier/{fleet}/document")
}

pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(run(node.clone()));
}

async fn run(node: Arc<Node>) {
    // A fresh box may not know its peers yet; the store is the other way in.
    let _ = read(&node).await;
    loop {
        if !is_watcher(&node) {
            Timer::after(DUTY_CHECK).await;
            continue;
        }
        if let Err(fault) = watch(&node).await {
            metrics::counter!("tidepier_watch_failures_total").increment(1);
            log::debug!("watch ended: {fault}");
            Timer::after(STORE_PAUSE).await;
        }
    }
}

/// The boxes of this hall that watch, in rendezvous order.
fn is_watcher(node: &Node) -> bool {
    let table = node.table();
    let names = table
        .candidates(node.hall())
        .map(|member| member.name.clone());
    let key = ids::Digest::of(b"configuration watchers").0;
    let order = by_rendezvous(key, names);
    order.iter().take(WATCHERS).any(|name| name == node.name())
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

async fn watch(node: &Arc<Node>) -> Result<(), Fault> {
    let revision = read(node).await?;
    let key = document_key(&node.settings.fleet);
    let mut watch = node.store.watch(Scope::Key(&key), revision);
    let watching = async {
        loop {
            let read = watch.next(WATCH_TIME).await.map_err(fault)?;
            match read.value.last() {
                Some(Event::Put(entry)) => adopt(node, &entry.value, "watch"),
                Some(Event::Delete { .. }) => {
                    settle(node, Err("the document was deleted".into()), "watch");
                }
                None => {}
            }
        }
    };
    let over = async {
        Timer::after(WATCH_TIME).await;
        Ok(())
    };
    watching.or(over).await
}

/// Puts a record in force and tells the neighbours at once.
fn adopt(node: &Node, bytes: &[u8], source: &'static str) {
    settle(node, node.current.adopt(bytes), source);
}

fn settle(node: &Node, adopted: Result<bool, String>, source: &'static str) {
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

/// Fetches from `peer` when it holds a higher generation.
pub(crate) fn heard(node: &Arc<Node>, peer: &ids::Box, generation: ids::Generation) {
    if generation <= node.generation() || !node.links.begin_fetch() {
        return;
    }
    let node = node.clone();
    let peer = peer.clone();
    node.clone().spawn(async move {
        if let Some(link) = dial::open(&node, &peer).await {
            link.send(Frame::Fetch(node.generation()));
        }
        // An answer comes as a frame of its own; after a while, ask elsewhere.
        Timer::after(STORE_PAUSE).await;
        node.links.end_fetch();
    });
}

/// Takes a whole record from a peer.
pub(crate) fn record(node: &Node, bytes: &[u8]) {
    settle(node, node.current.adopt(bytes), "peer");
    node.links.end_fetch();
}

/// Takes a difference from a peer; asks for the whole if it does not apply.
pub(crate) fn patch(node: &Node, base: ids::Generation, bytes: &[u8]) -> Option<Frame> {
    let applied = node.current.patch(base, bytes);
    let failed = applied.is_err();
    settle(node, applied, "peer");
    node.links.end_fetch();
    failed.then_some(Frame::Fetch(ids::Generation(0)))
}
