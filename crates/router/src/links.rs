//! The links of this box: those it dialled, and those that others dialled.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::FutureExt;
use smol::channel::{self, Receiver, Sender};
use smol::lock::Mutex as AsyncMutex;
use tidepier_errors::Fault;
use tidepier_http::server::within;
use tidepier_ids as ids;
use tidepier_placement::Grant;
use tidepier_wire::frame::{Claimed, Fate};
use tidepier_wire::{link, Frame, Link};

use crate::node::Node;
use crate::peers;

/// Frames that may wait for one link; a link that falls behind is closed.
const QUEUE: usize = 4096;
/// Silence after which a link is closed. Neighbours' heartbeats keep theirs
/// open; others are dialled again when needed.
const IDLE: Duration = Duration::from_secs(60);
/// Time after a failed dial in which no other is made.
const DIAL_PAUSE: Duration = Duration::from_millis(200);

/// An answer that a task of this box waits for.
pub(crate) enum Answer {
    Place(Result<Grant, Fault>),
    Claimed(Claimed),
    Fate(Fate),
}

struct Pending {
    peer: ids::Box,
    answer: Sender<Answer>,
}

/// The sending side of an open link.
#[derive(Clone)]
pub(crate) struct Line {
    queue: Sender<Frame>,
    number: u64,
}

impl Line {
    /// Queues a frame. A link that cannot take it is closed.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        let sent = self.queue.try_send(frame).is_ok();
        if !sent {
            self.queue.close();
        }
        sent
    }
}

#[derive(Default)]
struct Dialled {
    line: Option<Line>,
    failed: Option<Instant>,
}

/// All links of a box.
#[derive(Default)]
pub(crate) struct Links {
    dialled: Mutex<HashMap<ids::Box, Arc<AsyncMutex<Dialled>>>>,
    accepted: Mutex<HashMap<ids::Box, Line>>,
    heard: Mutex<HashMap<ids::Box, Instant>>,
    exchanged: Mutex<HashMap<ids::Box, Instant>>,
    pending: Mutex<HashMap<u64, Pending>>,
    number: AtomicU64,
    fetching: AtomicBool,
    /// Asks for heartbeats without waiting for their time.
    pub(crate) beat_now: Event,
}

impl Links {
    /// A number that is unique on this box.
    pub(crate) fn number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }

    /// The link to `peer`, dialled if need be. `None` when it cannot be reached.
    pub(crate) async fn open(&self, node: &Arc<Node>, peer: &ids::Box) -> Option<Line> {
        let slot = lock(&self.dialled).entry(peer.clone()).or_default().clone();
        let mut slot = slot.lock().await;
        if let Some(line) = &slot.line {
            if !line.queue.is_closed() {
                return Some(line.clone());
            }
            slot.line = None;
        }
        if slot.failed.is_some_and(|at| at.elapsed() < DIAL_PAUSE) {
            return None;
        }
        let address = node.table().get(peer)?.rumor.peers;
        match self.dial(node, address).await {
            Some((_, line)) => {
                slot.line = Some(line.clone());
                Some(line)
            }
            None => {
                slot.failed = Some(Instant::now());
                None
            }
        }
    }

    /// Dials an address of which only the platform's list tells.
    pub(crate) async fn greet(&self, node: &Arc<Node>, peer: &ids::Box, address: SocketAddr) {
        let slot = lock(&self.dialled).entry(peer.clone()).or_default().clone();
        let mut slot = slot.lock().await;
        if slot
            .line
            .as_ref()
            .is_some_and(|line| !line.queue.is_closed())
        {
            return;
        }
        if let Some((found, line)) = self.dial(node, address).await {
            // A box may have been replaced by another at the same address.
            if found == *peer {
                slot.line = Some(line);
            }
        }
    }

    async fn dial(&self, node: &Arc<Node>, address: SocketAddr) -> Option<(ids::Box, Line)> {
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
                peers::met(node, &link.peer);
                let line = self.run(node, link);
                line.send(Frame::Still(node.held.slots(&peer)));
                Some((peer, line))
            }
            Err(link::Error::Refused) => {
                peers::gone(node, address);
                None
            }
            Err(error) => {
                log::debug!("dial failed address={address} error={error}");
                None
            }
        }
    }

    /// Runs an accepted link.
    pub(crate) fn accepted(&self, node: &Arc<Node>, link: Link) {
        let peer = link.peer.name.clone();
        let line = self.run(node, link);
        lock(&self.accepted).insert(peer, line);
    }

    fn run(&self, node: &Arc<Node>, link: Link) -> Line {
        let (queue, frames) = channel::bounded(QUEUE);
        let line = Line {
            queue,
            number: self.number(),
        };
        let peer = link.peer.name.clone();
        self.heard(&peer);
        metrics::gauge!("tidepier_links").increment(1.0);
        let running = run(node.clone(), link, frames, line.clone());
        node.spawn(running);
        line
    }

    /// Sends to a peer on whatever link is open.
    pub(crate) fn send(&self, peer: &ids::Box, frame: Frame) -> bool {
        let line = lock(&self.accepted).get(peer).cloned();
        if let Some(line) = line.filter(|line| !line.queue.is_closed()) {
            return line.send(frame);
        }
        match self.dialled_line(peer) {
            Some(line) => line.send(frame),
            None => false,
        }
    }

    fn dialled_line(&self, peer: &ids::Box) -> Option<Line> {
        let slot = lock(&self.dialled).get(peer).cloned()?;
        let slot = slot.try_lock()?;
        slot.line.clone().filter(|line| !line.queue.is_closed())
    }

    /// Sends to every peer with an open link.
    pub(crate) fn broadcast(&self, frame: &Frame) {
        let mut names: Vec<_> = lock(&self.accepted).keys().cloned().collect();
        names.extend(lock(&self.dialled).keys().cloned());
        names.sort();
        names.dedup();
        for name in names {
            self.send(&name, frame.clone());
        }
    }

    /// Notes that `peer` has just been heard.
    pub(crate) fn heard(&self, peer: &ids::Box) {
        lock(&self.heard).insert(peer.clone(), Instant::now());
    }

    /// Time since `peer` was heard.
    pub(crate) fn silence(&self, peer: &ids::Box) -> Option<Duration> {
        lock(&self.heard).get(peer).map(Instant::elapsed)
    }

    /// Forgets all silences: this box itself was frozen.
    pub(crate) fn excuse(&self) {
        let now = Instant::now();
        lock(&self.heard).values_mut().for_each(|at| *at = now);
    }

    /// Whether the last full exchange of tables with `peer` is longer ago than
    /// `pause`; if so, notes one as made now.
    pub(crate) fn exchange_due(&self, peer: &ids::Box, pause: Duration) -> bool {
        let mut exchanged = lock(&self.exchanged);
        let due = exchanged.get(peer).is_none_or(|at| at.elapsed() > pause);
        if due {
            exchanged.insert(peer.clone(), Instant::now());
        }
        due
    }

    /// Open links.
    pub(crate) fn count(&self) -> usize {
        let dialled: Vec<_> = lock(&self.dialled).keys().cloned().collect();
        let dialled = dialled
            .iter()
            .filter(|peer| self.dialled_line(peer).is_some())
            .count();
        let accepted = lock(&self.accepted);
        dialled
            + accepted
                .values()
                .filter(|line| !line.queue.is_closed())
                .count()
    }

    /// Waits for an answer to request `number` from `peer`.
    pub(crate) fn expect(&self, peer: &ids::Box, number: u64) -> Receiver<Answer> {
        let (answer, receiver) = channel::bounded(1);
        let pending = Pending {
            peer: peer.clone(),
            answer,
        };
        lock(&self.pending).insert(number, pending);
        receiver
    }

    /// Gives up waiting; returns whether the answer had not come yet.
    pub(crate) fn forget(&self, number: u64) -> bool {
        lock(&self.pending).remove(&number).is_some()
    }

    /// Hands an answer to whoever waits; gives it back if nobody does.
    pub(crate) fn answer(&self, number: u64, answer: Answer) -> Result<(), Answer> {
        let Some(pending) = lock(&self.pending).remove(&number) else {
            return Err(answer);
        };
        pending
            .answer
            .try_send(answer)
            .map_err(|error| error.into_inner())
    }

    /// Ends all waits for `peer`.
    pub(crate) fn abandon(&self, peer: &ids::Box) {
        lock(&self.pending).retain(|_, pending| pending.peer != *peer);
    }

    pub(crate) fn begin_fetch(&self) -> bool {
        !self.fetching.swap(true, Ordering::SeqCst)
    }

    pub(crate) fn end_fetch(&self) {
        self.fetching.store(false, Ordering::SeqCst);
    }

    fn ended(&self, peer: &ids::Box, number: u64) {
        let mut accepted = lock(&self.accepted);
        if accepted.get(peer).is_some_and(|line| line.number == number) {
            accepted.remove(peer);
        }
    }
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
        while let Some(Ok(frame)) = within(IDLE, receiver.recv()).await {
            node.links.heard(&peer);
            peers::take(&node, &peer, frame, &line);
        }
    };
    let idle = async {
        receiving.await;
        node.links
            .silence(&peer)
            .is_some_and(|silence| silence >= IDLE)
    };
    let sent = async {
        sending.await;
        false
    };
    let idle = sent.or(idle).await;
    line.queue.close();
    metrics::gauge!("tidepier_links").decrement(1.0);
    node.links.ended(&peer, line.number);
    node.links.abandon(&peer);
    if !idle {
        peers::parted(&node, &peer);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
