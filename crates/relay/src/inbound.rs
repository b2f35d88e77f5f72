//! Bytes of clients' requests, over the whole box.
//!
//! Each client connection counts what it holds: the head and the body of its request, from
//! their first byte until the request is answered, and what was read beyond. All connections
//! together stay within a limit.
//!
//! Invariants:
//!
//! * A request grows only while as much of the limit is free as it holds itself. A crowd
//!   therefore never takes all of it, and the more a request holds, the sooner it is refused.
//! * In calm, a single request may exceed the limit, up to the size that the operator allows.
//! * Under shortage, the client that has sent nothing for longest is refused first, provided
//!   that this is at least [`SHORTAGE_STALL`]; for a small request, else the largest that has
//!   not arrived. A request that has arrived completely is never refused for another one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

use futures_lite::future::poll_once;
use futures_lite::FutureExt;
use tidepier_clock::Instant;

use crate::backlog::{SHORTAGE_STALL, SMALL_BYTES};

/// Bytes by which a request that is being read has to grow to count as sent.
const PROGRESS_BYTES: usize = 4 << 10;
/// Divisor of the limit that gives the most that others hold in calm.
const CALM_DIVISOR: usize = 4;
/// Divisor of the limit that gives the part in which bytes after a request are kept.
const READ_AHEAD_DIVISOR: usize = 2;

/// The bytes of clients' requests.
pub struct Inbound {
    limit: Cell<usize>,
    held: Cell<usize>,
    next_id: Cell<u64>,
    /// Requests of which more is awaited.
    unfinished: RefCell<BTreeMap<u64, Rc<State>>>,
}

impl Default for Inbound {
    /// The bytes without a limit.
    fn default() -> Self {
        Self {
            limit: Cell::new(usize::MAX),
            held: Cell::default(),
            next_id: Cell::default(),
            unfinished: RefCell::default(),
        }
    }
}

/// What one connection holds.
struct State {
    bytes: Cell<usize>,
    /// When the client last sent a part of its request.
    since: Cell<Instant>,
    evicted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// What one connection holds; freed when dropped.
pub struct Holding {
    inbound: Rc<Inbound>,
    state: Rc<State>,
}

/// There is no room for more of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage;

impl Inbound {
    /// Sets the most bytes of requests.
    pub fn set_limit(&self, bytes: usize) {
        self.limit.set(bytes);
    }

    /// Bytes that requests hold.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// A connection that holds nothing yet.
    pub fn holding(self: &Rc<Self>) -> Holding {
        let state = State {
            bytes: Cell::default(),
            since: Cell::new(Instant::now()),
            evicted: Cell::default(),
            waker: RefCell::default(),
        };
        Holding {
            inbound: self.clone(),
            state: Rc::new(state),
        }
    }

    /// Whether a request that holds `own` bytes may hold `bytes`.
    fn has_room(&self, own: usize, bytes: usize) -> bool {
        let (limit, others) = (self.limit.get(), self.held.get() - own);
        let fits = others.saturating_add(bytes.saturating_mul(2)) <= limit;
        fits || others <= limit / CALM_DIVISOR
    }

    /// Refuses the client that has sent nothing for longest, if that is at least
    /// [`SHORTAGE_STALL`]; returns whether there was one.
    pub fn evict_stalled(&self, now: Instant) -> bool {
        let unfinished = self.unfinished.borrow();
        let longest = unfinished.iter().min_by_key(|(_, it)| it.since.get());
        let stalled = longest
            .filter(|(_, it)| now.saturating_duration_since(it.since.get()) >= SHORTAGE_STALL);
        let stalled = stalled.map(|(id, _)| *id);
        drop(unfinished);
        self.evict(stalled)
    }

    /// Refuses the largest request that has not arrived, if it holds more than `bytes`; returns
    /// whether there was one.
    fn evict_larger(&self, bytes: usize) -> bool {
        let unfinished = self.unfinished.borrow();
        let largest = unfinished.iter().max_by_key(|(_, it)| it.bytes.get());
        let larger = largest.filter(|(_, it)| it.bytes.get() > bytes);
        let larger = larger.map(|(id, _)| *id);
        drop(unfinished);
        self.evict(larger)
    }

    fn evict(&self, id: Option<u64>) -> bool {
        let state = id.and_then(|id| self.unfinished.borrow_mut().remove(&id));
        let Some(state) = state else {
            return false;
        };
        state.evicted.set(true);
        self.set(&state, 0);
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        true
    }

    fn list(&self, state: &Rc<State>) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.unfinished.borrow_mut().insert(id, state.clone());
        id
    }

    fn set(&self, state: &State, bytes: usize) {
        let before = state.bytes.replace(bytes);
        self.held.set(self.held.get() - before + bytes);
    }
}

impl Holding {
    /// Sets what the connection holds, however much that is.
    pub fn set(&self, bytes: usize) {
        self.inbound.set(&self.state, bytes);
    }

    /// Sets what the connection holds of a request.
    ///
    /// # Errors
    ///
    /// There is no room, and no client that gives way.
    pub fn extend_to(&self, bytes: usize) -> Result<(), Shortage> {
        let inbound = &*self.inbound;
        while bytes > self.state.bytes.get() && !inbound.has_room(self.state.bytes.get(), bytes) {
            let has_made_room = inbound.evict_stalled(Instant::now())
                || (bytes <= SMALL_BYTES && inbound.evict_larger(bytes));
            if !has_made_room {
                return Err(Shortage);
            }
        }
        self.set(bytes);
        Ok(())
    }

    /// What the connection holds.
    pub fn bytes(&self) -> usize {
        self.state.bytes.get()
    }

    /// Sets what the connection holds to a request of `request` bytes and `ahead` bytes that
    /// came after it; without the latter unless there is ample room. Returns whether there is.
    pub fn read_ahead(&self, request: usize, ahead: usize) -> bool {
        self.set(request);
        let inbound = &*self.inbound;
        let most = inbound.limit.get() / READ_AHEAD_DIVISOR;
        let fits = ahead == 0 || inbound.held.get().saturating_add(ahead) <= most;
        if fits {
            self.set(request + ahead);
        }
        fits
    }

    /// The request that is read from the connection next.
    pub fn unfinished(&self) -> Unfinished<'_> {
        self.state.evicted.set(false);
        Unfinished {
            holding: self,
            id: None,
            counted: 0,
        }
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A request that is being read. It may be refused for others while more of it is awaited.
pub struct Unfinished<'a> {
    holding: &'a Holding,
    /// Set once it has been waited for.
    id: Option<u64>,
    /// Bytes of it when the client last counted as sending.
    counted: usize,
}

impl Unfinished<'_> {
    /// Awaits `more` of a request of which `received` bytes are there. What has arrived
    /// already costs nothing.
    ///
    /// # Errors
    ///
    /// The request was refused for others.
    pub async fn wait<T>(
        &mut self,
        received: usize,
        more: impl Future<Output = T>,
    ) -> Result<T, Shortage> {
        let mut more = pin!(more);
        if let Some(more) = poll_once(more.as_mut()).await {
            return Ok(more);
        }
        let state = &self.holding.state;
        let has_grown = received >= self.counted + PROGRESS_BYTES;
        if self.id.is_none() || has_grown {
            self.counted = received;
            state.since.set(Instant::now());
        }
        if self.id.is_none() {
            self.id = Some(self.holding.inbound.list(state));
        }
        let evicted = poll_fn(|context| {
            if state.evicted.get() {
                return Poll::Ready(Err(Shortage));
            }
            *state.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        });
        async { Ok(more.await) }.or(evicted).await
    }
}

impl Drop for Unfinished<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.holding.inbound.unfinished.borrow_mut().remove(&id);
        }
    }
}
