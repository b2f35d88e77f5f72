//! Reads an answer completely before it is forwarded.

use std::rc::Rc;

use tidepier_clock::Instant;
use tidepier_platform::answer::Length;

use super::discard;
use crate::attempt::{Cause, Executed, Failure, Reply};
use crate::exchange::buffered::Answer;
use crate::exchange::disposition::Disposition;
use crate::exchange::state::Exchange;
use crate::fleet::Backend;
use crate::timeout;

/// Largest body that is read completely before it is forwarded, in bytes.
const BODY_BYTES_MAX: usize = 8 << 20;
/// Largest body of a fallback answer, in bytes: the text of an error takes a few
/// hundred bytes, and one is held for each request that is being retried.
const FALLBACK_BYTES_MAX: usize = 16 << 10;

/// Forwards an answer once it is complete.
///
/// # Errors
///
/// It broke off or missed the deadline; nothing was forwarded.
pub(super) async fn forward(
    exchange: &mut Exchange<'_>,
    backend: Rc<Backend>,
    reply: Reply,
) -> Result<Disposition, Failure> {
    let answer = read(exchange, backend, reply, BODY_BYTES_MAX, exchange.deadline).await?;
    answer.backend.record_received();
    let end = answer.deliver(exchange.writer, exchange.closes()).await;
    exchange.record_answer(&answer.backend, answer.status, answer.first);
    Ok(end)
}

/// Reads a server's 5xx answer before the request is retried, as the fallback for
/// the client if no other server answers; `None` if it does not arrive completely
/// within a short time.
pub(in crate::exchange) async fn read_fallback(
    exchange: &Exchange<'_>,
    backend: &Rc<Backend>,
    reply: Reply,
) -> Option<Answer> {
    let limit = discard::cutoff(exchange.deadline);
    match read(exchange, backend.clone(), reply, FALLBACK_BYTES_MAX, limit).await {
        Ok(answer) => Some(answer),
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

/// Reads an answer with a body of at most `max_bytes` bytes until `limit`, and returns
/// its connection to the pool.
async fn read(
    exchange: &Exchange<'_>,
    backend: Rc<Backend>,
    mut reply: Reply,
    max_bytes: usize,
    limit: Instant,
) -> Result<Answer, Failure> {
    let first = exchange.arrival.at.elapsed();
    let mut body = Vec::new();
    read_body(&mut reply, &mut body, max_bytes, limit).await?;
    let length = match exchange.arrival.head.method() {
        "HEAD" => declared_length(&reply),
        _ => Length::Known(body.len() as u64),
    };
    if reply.reusable {
        backend.keep(reply.conn, reply.answer.keep_alive);
    }
    Ok(Answer {
        backend,
        status: reply.answer.status,
        head: reply.head,
        length,
        body,
        first,
    })
}

/// The length that an answer to `HEAD` declares for the omitted body; chunked if the
/// server declared none.
fn declared_length(reply: &Reply) -> Length {
    let length = reply.head.text("content-length");
    let length = length.and_then(|text| text.trim().parse().ok());
    length.map_or(Length::Chunked, Length::Known)
}

async fn read_body(
    reply: &mut Reply,
    body: &mut Vec<u8>,
    max_bytes: usize,
    limit: Instant,
) -> Result<(), Failure> {
    let read = async {
        let rest = reply.body.rest(&mut reply.conn, Some(body), max_bytes);
        rest.await.map_err(|error| Failure {
            executed: Executed::Unknown,
            cause: Cause::Broken(error.into()),
        })
    };
    let late = || {
        Err(Failure {
            executed: Executed::Unknown,
            cause: Cause::TimedOut,
        })
    };
    timeout::until(limit, read).await.unwrap_or_else(late)
}
