//! Wakes the tasks of one thread that wait for a change.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

#[derive(Default)]
struct State {
    count: u64,
    waiting: Vec<Waker>,
}

/// Lets tasks wait for a change; a notification wakes all of them.
#[derive(Default, Clone)]
pub struct Notifier(Rc<RefCell<State>>);

impl Notifier {
    /// Wakes every task that currently waits.
    pub fn notify(&self) {
        let mut state = self.0.borrow_mut();
        state.count += 1;
        for waker in state.waiting.drain(..) {
            waker.wake();
        }
    }

    /// Waits until the next [`Notifier::notify`] after this call.
    pub async fn wait(&self) {
        let seen = self.0.borrow().count;
        poll_fn(|context| {
            let mut state = self.0.borrow_mut();
            if state.count != seen {
                return Poll::Ready(());
            }
            let waker = context.waker();
            if !state.waiting.iter().any(|known| known.will_wake(waker)) {
                state.waiting.push(waker.clone());
            }
            Poll::Pending
        })
        .await;
    }
}
