//! An answer that is read whole before it is passed on.

use std::rc::Rc;

use tidepier_clock::Instant;
use tidepier_platform::answer::Length;

use super::scrap;
use crate::attempt::{Cause, Executed, Failure, Reply};
use crate::exchange::answer::Whole;
use crate::exchange::end::Disposition;
use crate::exchange::job::Exchange;
use crate::fleet::Backend;
use crate::timeout;

/// Largest body that is read whole before it is passed on, in bytes.
const WHOLE_BYTES: usize = 8 << 20;
/// Largest body of an error that is set aside, in bytes: an error's text takes a
/// few hundred, and one is held for each request that is sent again.
const ASIDE_BYTES: usize = 16 << 10;

/// Passes an answer on once it is whole.
///
/// # Errors
///
/// It broke off or is late; nothing was passed on.
pub(super) async fn pass(
    exchange: &mut Exchange<'_>,
    backend: Rc<Backend>,
    reply: Reply,
) -> Result<Disposition, Failure> {
    let whole = read(exchange, backend, reply, WHOLE_BYTES, exchange.deadline).await?;
    whole.backend.record_received();
    let end = whole.deliver(exchange.writer, exchange.closes()).await;
    exchange.answered(&whole.backend, whole.status, whole.first);
    Ok(end)
}

/// Reads an error of a server whose request is sent again, for the client if no
/// other server answers; `None` if it is not whole at once.
pub(in crate::exchange) async fn set_aside(
    exchange: &Exchange<'_>,
    backend: &Rc<Backend>,
    reply: Reply,
) -> Option<Whole> {
    let limit = scrap::limit(exchange.deadline);
    match read(exchange, backend.clone(), reply, ASIDE_BYTES, limit).await {
        Ok(whole) => Some(whole),
        Err(failure) => {
            log::info!(
                target: "request",
                "event=not_set_aside id={} server={} why={}",
                exchange.request.attempt,
                backend.server.id,
                failure.cause.name(),
            );
            None
        }
    }
}

/// Reads an answer of at most so many bytes until `limit`, and keeps its
/// connection.
async fn read(
    exchange: &Exchange<'_>,
    backend: Rc<Backend>,
    mut reply: Reply,
    most: usize,
    limit: Instant,
) -> Result<Whole, Failure> {
    let first = exchange.arrival.at.elapsed();
    let mut body = Vec::new();
    read_whole(&mut reply, &mut body, most, limit).await?;
    let length = match exchange.arrival.head.method() {
        "HEAD" => declared_length(&reply),
        _ => Length::Known(body.len() as u64),
    };
    if reply.reusable {
        backend.keep(reply.conn, reply.answer.keep_alive);
    }
    Ok(Whole {
        backend,
        status: reply.answer.status,
        head: reply.head,
        length,
        body,
        first,
    })
}

/// The length that an answer to `HEAD` gives of the body it leaves out; in
/// chunks where the server gave none.
fn declared_length(reply: &Reply) -> Length {
    let length = reply.head.text("content-length");
    let length = length.and_then(|text| text.trim().parse().ok());
    length.map_or(Length::Chunked, Length::Known)
}

async fn read_whole(
    reply: &mut Reply,
    body: &mut Vec<u8>,
    most: usize,
    limit: Instant,
) -> Result<(), Failure> {
    let read = async {
        let rest = reply.body.rest(&mut reply.conn, Some(body), most);
        rest.await.map_err(|error| Failure {
            ran: Executed::Unknown,
            cause: Cause::Broken(error.into()),
        })
    };
    let late = || {
        Err(Failure {
            ran: Executed::Unknown,
            cause: Cause::Late,
        })
    };
    timeout::until(limit, read).await.unwrap_or_else(late)
}
