//! Passing an answer on to the client.
//!
//! An answer that is not a stream is read whole first, so that one that breaks
//! off can still be replaced. A stream is passed on by whole events as they
//! arrive; where the route allows it, one that breaks goes on at another
//! server after the last event passed on.
//!
//! Invariant: what the client gets ends as complete only if what the server
//! sent did.

mod series;
mod whole;

use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;

use crate::attempt::{Failure, Reply};
use crate::exchange::{End, Exchange};
use crate::fleet::Backend;
use crate::timeout;

pub(crate) use whole::{set_aside, Whole};

/// Time to read the body of an answer that is not passed on.
pub(crate) const SCRAP_TIME: Duration = Duration::from_millis(50);

/// Passes an answer on.
///
/// # Errors
///
/// It broke off before anything was passed on.
pub(crate) async fn pass(
    exchange: &mut Exchange<'_>,
    backend: Rc<Backend>,
    reply: Reply,
) -> Result<End, Failure> {
    let bodiless = exchange.arrival.head.method() == "HEAD";
    if exchange.route.kind.is_stream() && reply.answer.status == 200 && !bodiless {
        series::pass(exchange, backend, reply).await
    } else {
        whole::pass(exchange, backend, reply).await
    }
}

/// Until when the body of such an answer is read.
fn scrap_limit(deadline: Instant) -> Instant {
    deadline.min(Instant::now() + SCRAP_TIME)
}

/// Reads what is left of an answer that is not passed on, so that its
/// connection can be kept.
pub(crate) async fn keep_after(backend: &Rc<Backend>, mut reply: Reply, deadline: Instant) {
    let limit = scrap_limit(deadline);
    // Bounded by its time, and nothing of it is held.
    let read = reply.body.rest(&mut reply.conn, None, usize::MAX);
    let read = timeout::until(limit, read).await;
    if matches!(read, Some(Ok(()))) && reply.reusable {
        backend.keep(reply.conn, reply.answer.keep_alive);
    }
}
