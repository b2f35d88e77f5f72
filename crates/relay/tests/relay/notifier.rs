//! Waits for notifications.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Wake, Waker};

use tidepier_relay::notifier::Notifier;

struct Task;

impl Wake for Task {
    fn wake(self: Arc<Self>) {}
}

// Guards against wakers of finished tasks that a notifier keeps: one for each client connection.
#[test]
fn a_wait_that_is_given_up_leaves_no_waker() {
    let notifier = Notifier::default();
    let task = Arc::new(Task);
    for _ in 0..3 {
        let waker = Waker::from(task.clone());
        let wait = pin!(notifier.wait());
        let polled = wait.poll(&mut Context::from_waker(&waker));
        assert!(polled.is_pending(), "nothing has changed");
    }
    assert_eq!(Arc::strong_count(&task), 1, "wakers are kept");
}
