//! The state of this box's links: those that it dialled, and those that peers
//! dialled.
//!
//! This module holds which peers can be sent to, when each was last received
//! from, and which answers are pending. The `dial` module dials links and moves
//! frames; it depends on this module and not the other way round.

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

/// Most frames that wait for one link; a link that falls further behind is
/// closed.
const QUEUED_FRAMES_MAX: usize = 4096;
/// Time after a failed dial before the peer is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(200);

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

/// The link that this box dials to one peer, or the last failure to do so.
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

    /// Whether the last dial failed less than [`REDIAL_DELAY`] ago.
    pub(crate) fn in_redial_delay(&self) -> bool {
        self.failed.is_some_and(|at| at.elapsed() < REDIAL_DELAY)
    }

    /// Records a dialled link.
    pub(crate) fn dialled(&mut self, line: Line) {
        self.line = Some(line);
    }

    /// Records a failed dial.
    pub(crate) fn failed(&mut self) {
        self.failed = Some(Instant::now());
    }
}

/// All links of a box.
#[derive(Default)]
pub(crate) struct Links {
    dialled: Mutex<HashMap<ids::Box, Arc<AsyncMutex<Dialled>>>>,
    accepted: Mutex<HashMap<ids::Box, Line>>,
    last_received: Mutex<HashMap<ids::Box, Instant>>,
    exchanged: Mutex<HashMap<ids::Box, Instant>>,
    pending: Mutex<HashMap<u64, Pending>>,
    number: AtomicU64,
    fetching: AtomicBool,
    /// Notified when heartbeats are to be sent at once, before their interval has
    /// passed.
    pub(crate) beat_requested: Event,
}

impl Links {
    /// A number that is unique on this box.
    pub(crate) fn next_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }

    /// The entry of the link that this box dials to `peer`. Only the task that
    /// holds its lock dials.
    pub(crate) fn dialled_slot(&self, peer: &ids::Box) -> Arc<AsyncMutex<Dialled>> {
        lock(&self.dialled).entry(peer.clone()).or_default().clone()
    }

    /// Creates the sending side of a link with `peer`; the receiver yields the
    /// frames to send.
    pub(crate) fn line(&self, peer: &ids::Box) -> (Line, Receiver<Frame>) {
        let (queue, frames) = channel::bounded(QUEUED_FRAMES_MAX);
        let line = Line {
            queue,
            number: self.next_number(),
        };
        self.record_received(peer);
        metrics::gauge!("tidepier_links").increment(1.0);
        (line, frames)
    }

    /// Records a link that `peer` dialled.
    pub(crate) fn accept(&self, peer: ids::Box, line: Line) {
        lock(&self.accepted).insert(peer, line);
    }

    /// Closes a link that has ended, and cancels all pending answers of its peer.
    pub(crate) fn close(&self, peer: &ids::Box, line: &Line) {
        line.queue.close();
        metrics::gauge!("tidepier_links").decrement(1.0);
        self.remove_accepted(peer, line.number);
        self.cancel_all(peer);
    }

    /// Sends to a peer on any open link; returns whether the frame was queued.
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

    /// Records that something has just been received from `peer`.
    pub(crate) fn record_received(&self, peer: &ids::Box) {
        lock(&self.last_received).insert(peer.clone(), Instant::now());
    }

    /// Time since something was last received from `peer`.
    pub(crate) fn time_since_received(&self, peer: &ids::Box) -> Option<Duration> {
        lock(&self.last_received).get(peer).map(Instant::elapsed)
    }

    /// Counts all peers as just received from, after this process was frozen.
    pub(crate) fn reset_received(&self) {
        let now = Instant::now();
        lock(&self.last_received)
            .values_mut()
            .for_each(|at| *at = now);
    }

    /// Whether the last full exchange of tables with `peer` is longer ago than
    /// `interval`; if so, records one as made now.
    pub(crate) fn exchange_due(&self, peer: &ids::Box, interval: Duration) -> bool {
        let mut exchanged = lock(&self.exchanged);
        let due = exchanged.get(peer).is_none_or(|at| at.elapsed() > interval);
        if due {
            exchanged.insert(peer.clone(), Instant::now());
        }
        due
    }

    /// Number of open links.
    pub(crate) fn count(&self) -> usize {
        let dialled: Vec<_> = lock(&self.dialled).keys().cloned().collect();
        let dialled = dialled
            .iter()
            .filter(|peer| self.dialled_line(peer).is_some())
            .count();
        let accepted = lock(&self.accepted);
        dialled + accepted.values().filter(|line| line.is_open()).count()
    }

    /// Registers a pending answer to request `number` from `peer`.
    pub(crate) fn expect(&self, peer: &ids::Box, number: u64) -> Receiver<Answer> {
        let (answer, receiver) = channel::bounded(1);
        let pending = Pending {
            peer: peer.clone(),
            answer,
        };
        lock(&self.pending).insert(number, pending);
        receiver
    }

    /// Removes a pending answer; returns whether it had not arrived yet.
    pub(crate) fn cancel(&self, number: u64) -> bool {
        lock(&self.pending).remove(&number).is_some()
    }

    /// Delivers an answer to the task that waits for it; returns it as the error
    /// if no task does.
    pub(crate) fn deliver(&self, number: u64, answer: Answer) -> Result<(), Answer> {
        let Some(pending) = lock(&self.pending).remove(&number) else {
            return Err(answer);
        };
        pending
            .answer
            .try_send(answer)
            .map_err(|error| error.into_inner())
    }

    /// Removes all pending answers of `peer`; the tasks that wait get an error.
    fn cancel_all(&self, peer: &ids::Box) {
        lock(&self.pending).retain(|_, pending| pending.peer != *peer);
    }

    /// Begins a fetch of the configuration; returns whether none was in progress.
    pub(crate) fn begin_fetch(&self) -> bool {
        !self.fetching.swap(true, Ordering::SeqCst)
    }

    /// Ends the fetch of the configuration.
    pub(crate) fn end_fetch(&self) {
        self.fetching.store(false, Ordering::SeqCst);
    }

    fn remove_accepted(&self, peer: &ids::Box, number: u64) {
        let mut accepted = lock(&self.accepted);
        if accepted.get(peer).is_some_and(|line| line.number == number) {
            accepted.remove(peer);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
