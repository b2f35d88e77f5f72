//! The slots of a server and the queue for them.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};

use event_listener::Event;
use tidepier_core::answer::Load;

#[derive(Debug, Default)]
struct State {
    running: usize,
    /// Priority and order of arrival of the waiting requests.
    waiting: BTreeSet<(u8, u64)>,
    arrivals: u64,
}

#[derive(Debug)]
pub(crate) struct Admission {
    state: Mutex<State>,
    freed: Event,
    slots: usize,
    queue: usize,
}

/// A position in the queue and then a slot; dropping it frees either.
#[derive(Debug)]
pub(crate) struct Ticket {
    owner: Arc<Admission>,
    position: (u8, u64),
    admitted: bool,
}

impl Admission {
    pub(crate) fn new(slots: usize, queue: usize) -> Self {
        Self {
            state: Mutex::default(),
            freed: Event::new(),
            slots,
            queue,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn load(&self) -> Load {
        let state = self.lock();
        Load {
            running: state.running as u32,
            waiting: state.waiting.len() as u32,
            slots: self.slots as u32,
            slowdown: None,
        }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.is_full_with(&self.lock())
    }

    /// Requests that arrived but have no slot yet count as well: several may arrive before
    /// the first one is admitted.
    fn is_full_with(&self, state: &State) -> bool {
        state.running + state.waiting.len() >= self.slots + self.queue
    }

    /// Joins the queue; `None` if it is full.
    pub(crate) fn ticket(self: &Arc<Self>, priority: u8) -> Option<Ticket> {
        let mut state = self.lock();
        if self.is_full_with(&state) {
            return None;
        }
        state.arrivals += 1;
        let position = (priority, state.arrivals);
        state.waiting.insert(position);
        Some(Ticket {
            owner: self.clone(),
            position,
            admitted: false,
        })
    }
}

impl Ticket {
    /// Waits for a slot; the most urgent request gets the next one.
    pub(crate) async fn wait_for_slot(&mut self) {
        loop {
            let freed = self.owner.freed.listen();
            if self.admit() {
                self.owner.freed.notify(usize::MAX);
                return;
            }
            freed.await;
        }
    }

    fn admit(&mut self) -> bool {
        let mut state = self.owner.lock();
        if state.running < self.owner.slots && state.waiting.first() == Some(&self.position) {
            state.waiting.remove(&self.position);
            state.running += 1;
            self.admitted = true;
        }
        self.admitted
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.owner.lock();
        if self.admitted {
            state.running -= 1;
        } else {
            state.waiting.remove(&self.position);
        }
        drop(state);
        self.owner.freed.notify(usize::MAX);
    }
}
