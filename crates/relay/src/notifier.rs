//! Wakes the tasks of one thread that wait for a change.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
struct State {
    /// Notifications so far.
    count: u64,
    /// Waits so far that had to be registered.
    waits: u64,
    /// The tasks that wait now, by the number of their wait.
    waiting: BTreeMap<u64, Waker>,
}

/// Lets tasks wait for a change; a notification wakes all of them.
#[derive(Default, Clone)]
pub struct Notifier(Rc<RefCell<State>>);

impl Notifier {
    /// Wakes every task that currently waits.
    pub fn notify(&self) {
        let waiting = {
            let mut state = self.0.borrow_mut();
            state.count += 1;
            mem::take(&mut state.waiting)
        };
        waiting.into_values().for_each(Waker::wake);
    }

    /// Waits until the next [`Notifier::notify`] after this call.
    pub fn wait(&self) -> Wait<'_> {
        Wait {
            notifier: self,
            seen: self.0.borrow().count,
            number: None,
        }
    }
}

/// A wait for a notification. Nothing is kept of it once it is dropped.
pub struct Wait<'a> {
    notifier: &'a Notifier,
    seen: u64,
    /// Its number, once it is registered.
    number: Option<u64>,
}

impl Future for Wait<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let notifier = self.notifier;
        let mut state = notifier.0.borrow_mut();
        if state.count != self.seen {
            return Poll::Ready(());
        }
        let number = *self.number.get_or_insert_with(|| {
            state.waits += 1;
            state.waits
        });
        let waker = context.waker();
        let registered = state.waiting.entry(number).or_insert_with(|| waker.clone());
        registered.clone_from(waker);
        Poll::Pending
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.notifier.0.borrow_mut().waiting.remove(&number);
        }
    }
}
