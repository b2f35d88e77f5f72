//! The slots of a server and the queue before them.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};

use event_listener::Event;
use tidepier_core::answer::Load;

#[derive(Debug, Default)]
struct State {
    running: usize,
    /// Urgency and order of arrival of those that wait.
    waiting: BTreeSet<(u8, u64)>,
    arrived: u64,
}

#[derive(Debug)]
pub(crate) struct Desk {
    state: Mutex<State>,
    freed: Event,
    slots: usize,
    queue: usize,
}

/// A place in the queue and then a slot; given back when dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    desk: Arc<Desk>,
    at: (u8, u64),
    admitted: bool,
}

impl Desk {
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
        }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.fills(&self.lock())
    }

    /// Counts those that have come but not yet got their slot as well: several
    /// may come before the first one is admitted.
    fn fills(&self, state: &State) -> bool {
        state.running + state.waiting.len() >= self.slots + self.queue
    }

    /// Queues up; `None` when the queue is full.
    pub(crate) fn ticket(self: &Arc<Self>, priority: u8) -> Option<Ticket> {
        let mut state = self.lock();
        if self.fills(&state) {
            return None;
        }
        state.arrived += 1;
        let at = (priority, state.arrived);
        state.waiting.insert(at);
        Some(Ticket {
            desk: self.clone(),
            at,
            admitted: false,
        })
    }
}

impl Ticket {
    /// Waits for a slot; the most urgent get theirs first.
    pub(crate) async fn admitted(&mut self) {
        loop {
            let freed = self.desk.freed.listen();
            if self.admit() {
                self.desk.freed.notify(usize::MAX);
                return;
            }
            freed.await;
        }
    }

    fn admit(&mut self) -> bool {
        let mut state = self.desk.lock();
        if state.running < self.desk.slots && state.waiting.first() == Some(&self.at) {
            state.waiting.remove(&self.at);
            state.running += 1;
            self.admitted = true;
        }
        self.admitted
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.desk.lock();
        if self.admitted {
            state.running -= 1;
        } else {
            state.waiting.remove(&self.at);
        }
        drop(state);
        self.desk.freed.notify(usize::MAX);
    }
}
