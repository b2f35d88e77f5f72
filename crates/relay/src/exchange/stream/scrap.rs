//! What is left of an answer that is not passed on.

use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;

use crate::attempt::Reply;
use crate::fleet::Backend;
use crate::timeout;

/// Time to read the body of an answer that is not passed on.
pub(in crate::exchange) const TIME: Duration = Duration::from_millis(50);

/// Until when the body of such an answer is read.
pub(super) fn limit(deadline: Instant) -> Instant {
    deadline.min(Instant::now() + TIME)
}

/// Reads what is left of an answer that is not passed on, so that its
/// connection can be kept.
pub(in crate::exchange) async fn keep_after(
    backend: &Rc<Backend>,
    mut reply: Reply,
    deadline: Instant,
) {
    let until = limit(deadline);
    // Bounded by its time, and nothing of it is held.
    let read = reply.body.rest(&mut reply.conn, None, usize::MAX);
    let read = timeout::until(until, read).await;
    if matches!(read, Some(Ok(()))) && reply.reusable {
        backend.keep(reply.conn, reply.answer.keep_alive);
    }
}
