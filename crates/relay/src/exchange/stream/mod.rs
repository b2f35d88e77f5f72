//! Passing an answer on to the client.
//!
//! An answer that is not a stream is read whole first, so that one that breaks
//! off can still be replaced. A stream is passed on by whole events as they
//! arrive; where the route allows it, one that breaks goes on at another
//! server after the last event passed on.
//!
//! Invariant: what the client gets ends as complete only if what the server
//! sent did.

pub(super) mod scrap;
mod series;
mod whole;

use std::rc::Rc;

use super::end::Disposition;
use super::job::Exchange;
use crate::attempt::{Failure, Reply};
use crate::fleet::Backend;

pub(super) use whole::set_aside;

/// Passes an answer on.
///
/// # Errors
///
/// It broke off before anything was passed on.
pub(super) async fn pass(
    exchange: &mut Exchange<'_>,
    backend: Rc<Backend>,
    reply: Reply,
) -> Result<Disposition, Failure> {
    let bodiless = exchange.arrival.head.method() == "HEAD";
    if exchange.route.kind.is_stream() && reply.answer.status == 200 && !bodiless {
        series::pass(exchange, backend, reply).await
    } else {
        whole::pass(exchange, backend, reply).await
    }
}
