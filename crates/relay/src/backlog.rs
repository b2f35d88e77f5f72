//! Bytes of answers that wait for their clients, over the whole box.
//!
//! An answer that is read completely before it is forwarded reserves memory while it is
//! read and until its client has taken it; the reservations of all clients together stay
//! within a limit. Events of streams need no reservation: a stream is read from its server
//! no faster than its client takes it. They are counted only. Long events, and those that are
//! not complete, have a limit of their own, as servers may leave many so or not end them.
//!
//! Invariants:
//!
//! * Reservations exceed the limit by at most one answer, and by a part of it for those of up
//!   to [`SMALL_BYTES`]. Of these, one may take as much without waiting as is left for all
//!   others, so that small answers do not wait for large ones, nor for many that are not
//!   completed.
//! * While an answer waits for memory, the client that has taken nothing for longest is
//!   cut, provided that this is at least [`SHORTAGE_STALL`]. A client that reads in time
//!   is never cut.
//! * These events exceed their limit by at most what was last read of those that are then
//!   given up.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_clock::Instant;
use tidepier_h1::account::{Account, Share};
use tidepier_h1::Writer;

use crate::notifier::Notifier;
use crate::timeout;

/// Largest answer that does not wait for memory, in bytes, unless many such answers take it:
/// the operating system takes as much at once for a client that has read its earlier answers.
pub const SMALL_BYTES: usize = 64 << 10;
/// Divisor of the limit that gives the memory by which small answers may exceed it.
const SMALL_DIVISOR: usize = 4;
/// Time without progress after which a client may be cut for another answer. A client
/// that reads takes something within a few round trips.
pub const SHORTAGE_STALL: Duration = Duration::from_millis(500);
/// Interval at which an answer that waits for memory looks for a stalled client.
const SHORTAGE_CHECK: Duration = Duration::from_millis(50);

/// The bytes that wait for clients.
pub struct Backlog {
    limit: Cell<usize>,
    reserved: Cell<usize>,
    stream_bytes: Cell<usize>,
    /// Bytes of events that are long or not complete.
    partial: Rc<Account>,
    /// The reservation that exceeds the limit; at most one does.
    exceeding: RefCell<Option<Rc<State>>>,
    next_id: Cell<u64>,
    /// Answers that wait for memory, in the order of their arrival.
    waiting: RefCell<VecDeque<u64>>,
    /// Whole answers whose clients currently take nothing.
    blocked: RefCell<BTreeMap<u64, Blocked>>,
    changed: Notifier,
}

impl Default for Backlog {
    /// A backlog without limits.
    fn default() -> Self {
        Self {
            limit: Cell::new(usize::MAX),
            reserved: Cell::default(),
            stream_bytes: Cell::default(),
            partial: Rc::new(Account::new(usize::MAX)),
            exceeding: RefCell::default(),
            next_id: Cell::default(),
            waiting: RefCell::default(),
            blocked: RefCell::default(),
            changed: Notifier::default(),
        }
    }
}

/// A whole answer whose client currently takes nothing.
struct Blocked {
    since: Instant,
    reservation: Rc<State>,
}

/// The state of a reservation.
#[derive(Default)]
struct State {
    bytes: Cell<usize>,
    waited: Cell<Duration>,
    evicted: Cell<bool>,
    evict: Notifier,
}

/// Memory for one whole answer; freed when dropped.
pub struct Reservation {
    backlog: Rc<Backlog>,
    state: Rc<State>,
}

/// Why an answer was not written completely.
#[derive(Debug)]
pub enum Cut {
    /// The client closed or reset the connection.
    Gone,
    /// The client took nothing for its time-out, or no longer answers at all.
    TimedOut(Stall),
    /// The client took nothing while another answer needed the memory.
    Evicted(Stall),
}

/// How a client stalled.
#[derive(Debug, Clone, Copy)]
pub struct Stall {
    /// Bytes of the answer that the box still had for the client.
    pub kept: usize,
    /// Time for which the connection had accepted nothing.
    pub time: Duration,
}

impl Backlog {
    /// Sets the most bytes of whole answers.
    pub fn set_limit(&self, bytes: usize) {
        self.limit.set(bytes);
        self.changed.notify();
    }

    /// Sets the most bytes of events that are long or not complete.
    pub fn set_partial_limit(&self, bytes: usize) {
        self.partial.set_limit(bytes);
    }

    /// Bytes that are reserved for whole answers.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Bytes of events that wait for the clients of streams.
    pub fn stream_bytes(&self) -> usize {
        self.stream_bytes.get()
    }

    /// Bytes of events that are long or not complete.
    pub fn partial_bytes(&self) -> usize {
        self.partial.taken()
    }

    /// An account of the events of one stream that are long or not complete.
    pub fn partial(&self) -> Partial {
        Partial {
            account: self.partial.clone(),
            share: self.partial.share(),
        }
    }

    /// An empty reservation.
    pub fn reservation(self: &Rc<Self>) -> Reservation {
        Reservation {
            backlog: self.clone(),
            state: Rc::default(),
        }
    }

    /// Writes events of a stream; returns the time that it had to wait for the client.
    ///
    /// # Errors
    ///
    /// They were not written completely.
    pub async fn write_events(&self, writer: &Writer, bytes: &[u8]) -> Result<Duration, Cut> {
        let counted = Counted::new(self);
        write(writer, &[bytes], |left, _| counted.set(left)).await
    }

    fn new_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    fn set_reserved(&self, bytes: usize) {
        self.reserved.set(bytes);
        metrics::gauge!("tidepier_client_bytes_kept", "kind" => "whole").set(bytes as f64);
    }

    /// Evicts clients that have taken nothing for [`SHORTAGE_STALL`], the longest first,
    /// until there is room for `bytes`.
    fn evict_stalled(&self, bytes: usize, now: Instant) {
        let mut blocked = self.blocked.borrow_mut();
        while self.reserved.get() + bytes > self.limit.get() {
            let longest = blocked.iter().min_by_key(|(_, it)| it.since);
            let Some((&id, longest)) = longest else {
                return;
            };
            if now.saturating_duration_since(longest.since) < SHORTAGE_STALL {
                return;
            }
            longest.reservation.evicted.set(true);
            longest.reservation.evict.notify();
            self.free(&longest.reservation);
            blocked.remove(&id);
        }
    }

    /// Whether a small answer of `bytes` bytes, `more` of which are not reserved yet, has room
    /// without waiting.
    fn has_small_room(&self, bytes: usize, more: usize) -> bool {
        let limit = self.limit.get();
        let limit = limit.saturating_add(limit / SMALL_DIVISOR);
        let exceeding = self.exceeding.borrow();
        let exceeding = exceeding.as_ref().map_or(0, |it| it.bytes.get());
        let room = limit.saturating_sub(self.reserved.get() - exceeding);
        bytes <= SMALL_BYTES && bytes <= room.saturating_sub(more)
    }

    fn exceeds(&self, reservation: &State) -> bool {
        let exceeding = self.exceeding.borrow();
        exceeding
            .as_ref()
            .is_some_and(|it| std::ptr::eq(&**it, reservation))
    }

    fn free(&self, reservation: &State) {
        if self.exceeds(reservation) {
            self.exceeding.take();
        }
        self.set_reserved(self.reserved.get() - reservation.bytes.take());
        self.changed.notify();
    }
}

impl Reservation {
    /// Extends the reservation to `bytes`; waits for memory unless it is small and there are
    /// not many such.
    pub async fn extend_to(&self, bytes: usize) {
        let backlog = &*self.backlog;
        let more = bytes.saturating_sub(self.state.bytes.get());
        if more > 0 && !backlog.has_small_room(bytes, more) && !backlog.exceeds(&self.state) {
            self.wait_for_room(bytes, more).await;
        }
        self.state.bytes.set(self.state.bytes.get() + more);
        backlog.set_reserved(backlog.reserved.get() + more);
    }

    async fn wait_for_room(&self, bytes: usize, more: usize) {
        let backlog = &*self.backlog;
        let turn = Turn::new(self);
        while !(turn.is_first() && self.take_room(bytes, more)) {
            timeout::within(SHORTAGE_CHECK, backlog.changed.wait()).await;
        }
    }

    /// Whether there is room for `more` bytes, or the reservation may exceed the limit.
    fn take_room(&self, bytes: usize, more: usize) -> bool {
        let backlog = &*self.backlog;
        backlog.evict_stalled(more, Instant::now());
        if backlog.reserved.get() + more <= backlog.limit.get() {
            return true;
        }
        // Answers that are read in parts would wait for each other if each held a part
        // and none could be completed.
        let is_begun = self.state.bytes.get() > 0 || bytes <= SMALL_BYTES;
        let may_exceed = is_begun && backlog.exceeding.borrow().is_none();
        if may_exceed {
            backlog.exceeding.replace(Some(self.state.clone()));
        }
        may_exceed || backlog.has_small_room(bytes, more)
    }

    /// Time for which it has waited for memory.
    pub fn waited(&self) -> Duration {
        self.state.waited.get()
    }

    /// Reduces the reservation to `bytes`.
    pub fn shrink_to(&self, bytes: usize) {
        let less = self.state.bytes.get().saturating_sub(bytes);
        self.state.bytes.set(self.state.bytes.get() - less);
        self.backlog
            .set_reserved(self.backlog.reserved.get() - less);
        self.backlog.changed.notify();
    }

    /// Writes the parts of the answer.
    ///
    /// # Errors
    ///
    /// They were not written completely.
    pub async fn write(&self, writer: &Writer, parts: &[&[u8]]) -> Result<(), Cut> {
        let entry = BlockedEntry::new(self);
        let left_bytes = Cell::new(0);
        let since = Cell::new(Instant::now());
        let written = write(writer, parts, |left, at| {
            left_bytes.set(left);
            since.set(at);
            entry.set_since(at);
        });
        let evicted = async {
            while !self.state.evicted.get() {
                self.state.evict.wait().await;
            }
            Err(Cut::Evicted(Stall {
                kept: left_bytes.get(),
                time: since.get().elapsed(),
            }))
        };
        written.or(evicted).await.map(|_| ())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.backlog.free(&self.state);
    }
}

/// The place of an answer among those that wait for memory, until it is dropped.
struct Turn<'a> {
    reservation: &'a Reservation,
    id: u64,
    start: Instant,
}

impl<'a> Turn<'a> {
    fn new(reservation: &'a Reservation) -> Self {
        let id = reservation.backlog.new_id();
        let mut waiting = reservation.backlog.waiting.borrow_mut();
        waiting.push_back(id);
        Self {
            reservation,
            id,
            start: Instant::now(),
        }
    }

    fn is_first(&self) -> bool {
        let waiting = self.reservation.backlog.waiting.borrow();
        waiting.front() == Some(&self.id)
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let waited = &self.reservation.state.waited;
        waited.set(waited.get() + self.start.elapsed());
        let backlog = &self.reservation.backlog;
        backlog.waiting.borrow_mut().retain(|id| *id != self.id);
        backlog.changed.notify();
    }
}

/// Lists an answer as blocked until it is dropped.
struct BlockedEntry<'a> {
    reservation: &'a Reservation,
    id: u64,
}

impl<'a> BlockedEntry<'a> {
    fn new(reservation: &'a Reservation) -> Self {
        let id = reservation.backlog.new_id();
        Self { reservation, id }
    }

    fn set_since(&self, since: Instant) {
        let blocked = Blocked {
            since,
            reservation: self.reservation.state.clone(),
        };
        let mut all = self.reservation.backlog.blocked.borrow_mut();
        all.insert(self.id, blocked);
    }
}

impl Drop for BlockedEntry<'_> {
    fn drop(&mut self) {
        let mut all = self.reservation.backlog.blocked.borrow_mut();
        all.remove(&self.id);
    }
}

/// The bytes of one stream's events that are long or not complete, counted until it is
/// dropped.
pub struct Partial {
    account: Rc<Account>,
    share: Share,
}

impl Partial {
    /// Sets how many bytes there are. Returns whether they may be kept; see [`Share::set`].
    #[must_use]
    pub fn set(&self, bytes: usize) -> bool {
        let before = self.account.taken();
        let has_room = self.share.set(bytes);
        let all = self.account.taken();
        if all != before {
            metrics::gauge!("tidepier_client_bytes_kept", "kind" => "partial").set(all as f64);
        }
        has_room
    }
}

impl Drop for Partial {
    fn drop(&mut self) {
        let _ = self.set(0);
    }
}

/// Counts the bytes of a stream that wait for its client, until it is dropped.
struct Counted<'a> {
    backlog: &'a Backlog,
    bytes: Cell<usize>,
}

impl<'a> Counted<'a> {
    fn new(backlog: &'a Backlog) -> Self {
        let bytes = Cell::default();
        Self { backlog, bytes }
    }

    fn set(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        if before == bytes {
            return;
        }
        let all = self.backlog.stream_bytes.get() - before + bytes;
        self.backlog.stream_bytes.set(all);
        metrics::gauge!("tidepier_client_bytes_kept", "kind" => "stream").set(all as f64);
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Writes all parts; calls `on_blocked` with the number of bytes left and the time since
/// which nothing was accepted, whenever the connection accepts no more. Returns the time
/// for which it accepted nothing.
async fn write(
    writer: &Writer,
    parts: &[&[u8]],
    on_blocked: impl Fn(usize, Instant),
) -> Result<Duration, Cut> {
    let mut waited = Duration::ZERO;
    let mut kept: usize = parts.iter().map(|part| part.len()).sum();
    let mut blocked = None;
    let stalled = |since: Option<Instant>| since.map_or(Duration::ZERO, |at| at.elapsed());
    for part in parts {
        let mut left = *part;
        while !left.is_empty() {
            let written = match writer.try_write(left) {
                Ok(Some(written)) => written,
                Ok(None) => {
                    let since = *blocked.get_or_insert_with(Instant::now);
                    on_blocked(kept, since);
                    let writable = writer.writable().await;
                    writable.map_err(|error| cut(&error, kept, since.elapsed()))?;
                    continue;
                }
                Err(error) => return Err(cut(&error, kept, stalled(blocked))),
            };
            waited += stalled(blocked.take());
            kept -= written;
            left = &left[written..];
        }
    }
    Ok(waited)
}

/// What a failed write says of the client.
fn cut(error: &io::Error, kept: usize, time: Duration) -> Cut {
    match error.kind() {
        io::ErrorKind::TimedOut => Cut::TimedOut(Stall { kept, time }),
        _ => Cut::Gone,
    }
}
