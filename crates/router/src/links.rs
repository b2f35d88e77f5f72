//! The links of this box: those it dialled, and those that others dialled.
//!
//! Their state alone: who can be sent to, who was heard when, which answers are
//! waited for. Dialling and moving frames is in `dial`, which knows this module
//! and is not known here.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use event_listener::Event;
use smol::channel::{self, Receiver, Sender};
use smol::lock::Mutex as AsyncMutex;
use tidepier_clock::Instant;
use tidepier_errors::Fault;
use tidepier_ids as ids;
use tidepier_placement::Grant;
use tidepier_wire::frame::{Claimed, Fate};
use tidepier_wire::Frame;

/// Frames that may wait for one link; a link that falls behind is closed.
const QUEUE: usize = 4096;
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

    /// Whether the link still takes frames.
    pub(crate) fn is_open(&self) -> bool {
        !self.queue.is_closed()
    }
}

/// The link that this box dials to one peer.
#[derive(Default)]
pub(crate) struct Dialled {
    line: Option<Line>,
    failed: Option<Instant>,
}

impl Dialled {
    /// The link, if it is open.
    pub(crate) fn line(&mut self) -> Option<Line> {
        self.line = self.line.take().filter(Line::is_open);
        self.line.clone()
    }

    /// Whether the last dial has failed so recently that no other is made.
    pub(crate) fn pauses(&self) -> bool {
        self.failed.is_some_and(|at| at.elapsed() < DIAL_PAUSE)
    }

    /// Takes in a link that was dialled.
    pub(crate) fn dialled(&mut self, line: Line) {
        self.line = Some(line);
    }

    /// Notes that a dial has failed.
    pub(crate) fn failed(&mut self) {
        self.failed = Some(Instant::now());
    }
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

    /// The place of the link that this box dials to `peer`. Whoever locks it is
    /// the only one to dial.
    pub(crate) fn slot(&self, peer: &ids::Box) -> Arc<AsyncMutex<Dialled>> {
        lock(&self.dialled).entry(peer.clone()).or_default().clone()
    }

    /// Opens the sending side of a link with `peer`; the frames to be sent come
    /// out of the receiver.
    pub(crate) fn line(&self, peer: &ids::Box) -> (Line, Receiver<Frame>) {
        let (queue, frames) = channel::bounded(QUEUE);
        let line = Line {
            queue,
            number: self.number(),
        };
        self.heard(peer);
        metrics::gauge!("tidepier_links").increment(1.0);
        (line, frames)
    }

    /// Notes a link that `peer` dialled.
    pub(crate) fn accept(&self, peer: ids::Box, line: Line) {
        lock(&self.accepted).insert(peer, line);
    }

    /// Closes a link that has ended, and all waits for its peer.
    pub(crate) fn close(&self, peer: &ids::Box, line: &Line) {
        line.queue.close();
        metrics::gauge!("tidepier_links").decrement(1.0);
        self.ended(peer, line.number);
        self.abandon(peer);
    }

    /// Sends to a peer on whatever link is open.
    pub(crate) fn send(&self, peer: &ids::Box, frame: Frame) -> bool {
        let line = lock(&self.accepted).get(peer).cloned();
        if let Some(line) = line.filter(|line| line.is_open()) {
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
        slot.line.clone().filter(|line| line.is_open())
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
        dialled + accepted.values().filter(|line| line.is_open()).count()
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
    fn abandon(&self, peer: &ids::Box) {
        lock(&self.pending).retain(|_, pending| pending.peer != *peer);
    }

    /// Whether nothing is being fetched yet; if so, notes that it is.
    pub(crate) fn begin_fetch(&self) -> bool {
        !self.fetching.swap(true, Ordering::SeqCst)
    }

    /// Notes that nothing is being fetched any more.
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
