//! Notifying waiting tasks that something changed.

use std::rc::Rc;

use event_listener::Event;

/// Something that tasks wait for; every task that waits is woken. One that no
/// longer waits leaves nothing behind.
#[derive(Default, Clone)]
pub struct Notice(Rc<Event>);

impl Notice {
    /// Wakes every task that waits now.
    pub fn notify(&self) {
        self.0.notify(usize::MAX);
    }

    /// Waits until the next [`Notice::notify`] after this call.
    pub async fn wait(&self) {
        self.0.listen().await;
    }
}
