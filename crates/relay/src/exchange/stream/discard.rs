//! Reads and discards the body of an answer that is not forwarded.

use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;

use crate::attempt::Reply;
use crate::fleet::Backend;
use crate::timeout;

/// Longest time for reading the body of an answer that is not forwarded.
pub(in crate::exchange) const TIMEOUT: Duration = Duration::from_millis(50);

/// Deadline for reading the body of such an answer.
pub(super) fn cutoff(deadline: Instant) -> Instant {
    deadline.min(Instant::now() + TIMEOUT)
}

/// Reads the rest of an answer that is not forwarded, so that its connection can
/// be reused.
pub(in crate::exchange) async fn body(backend: &Rc<Backend>, mut reply: Reply, deadline: Instant) {
    let until = cutoff(deadline);
    // Needs no limit in bytes: the time is bounded, and the bytes are discarded.
    let read = reply.body.rest(&mut reply.conn, None, usize::MAX);
    let read = timeout::until(until, read).await;
    if matches!(read, Some(Ok(()))) && reply.reusable {
        backend.keep(reply.conn, reply.answer.keep_alive);
    }
}
