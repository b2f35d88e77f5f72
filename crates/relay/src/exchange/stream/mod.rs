//! Forwards an answer to the client.
//!
//! An answer that is not a stream is read completely first, so that a truncated
//! one can still be replaced by another server's. A stream is forwarded event by
//! event as complete events arrive; if the route allows it, a broken stream is
//! resumed at another server after the last forwarded event.
//!
//! Invariant: the client sees an answer as complete only if the server completed
//! it.

pub(super) mod discard;
mod events;
mod whole;

use std::rc::Rc;

use super::disposition::Disposition;
use super::state::Exchange;
use crate::attempt::{Failure, Reply};
use crate::fleet::Backend;

pub(super) use whole::read_fallback;

/// Forwards an answer.
///
/// # Errors
///
/// It failed before anything was forwarded.
pub(super) async fn forward(
    exchange: &mut Exchange<'_>,
    backend: Rc<Backend>,
    reply: Reply,
) -> Result<Disposition, Failure> {
    let bodiless = exchange.arrival.head.method() == "HEAD";
    if exchange.route.kind.is_stream() && reply.answer.status == 200 && !bodiless {
        events::forward(exchange, backend, reply).await
    } else {
        whole::forward(exchange, backend, reply).await
    }
}
