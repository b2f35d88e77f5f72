//! Reads an answer completely before it is forwarded.

use std::rc::Rc;

use tidepier_clock::Instant;
use tidepier_h1::{Framing, Unread};
use tidepier_platform::answer::Length;

use super::discard;
use crate::attempt::{Cause, Executed, Failure, Reply};
use crate::backlog::{Reservation, SMALL_BYTES};
use crate::exchange::buffered::Answer;
use crate::exchange::disposition::Disposition;
use crate::exchange::state::Exchange;
use crate::fleet::Backend;
use crate::timeout;

/// Largest body that is read completely before it is forwarded, in bytes.
const BODY_BYTES_MAX: usize = 8 << 20;
/// Memory that is reserved in advance of a read, in bytes: as much as one read returns.
const READ_BYTES: usize = 16 << 10;
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
    // The time that the client takes says nothing about the server.
    exchange.record_answer(&answer.backend, answer.status, answer.first);
    Ok(exchange.deliver(answer).await)
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
    let memory = exchange.relay.backlog.reservation();
    let read = read_body(&mut reply, &mut body, &memory, max_bytes);
    let read = timeout::until(limit, read).await;
    exchange.add_client_wait(memory.waited());
    read.unwrap_or(Err(Failure {
        executed: Executed::Unknown,
        cause: Cause::TimedOut,
    }))?;
    if body.len() > SMALL_BYTES {
        body.shrink_to_fit();
    }
    memory.shrink_to(body.len());
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
        framing: reply.framing,
        length,
        body,
        memory,
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

/// Reads a body of at most `max_bytes` bytes, and reserves the memory for it before.
async fn read_body(
    reply: &mut Reply,
    body: &mut Vec<u8>,
    memory: &Reservation,
    max_bytes: usize,
) -> Result<(), Failure> {
    let broken = |error| Failure {
        executed: Executed::Unknown,
        cause: Cause::Broken(error),
    };
    let declared = match reply.framing {
        Framing::Empty => Some(0),
        Framing::Length(bytes) => Some(bytes.min(max_bytes as u64) as usize),
        Framing::Chunked | Framing::UntilClose => None,
    };
    let mut room = SMALL_BYTES;
    loop {
        let next = body.len() + READ_BYTES;
        let is_larger = declared.is_none_or(|bytes| bytes > room);
        if is_larger && next > room {
            room = declared.unwrap_or_else(|| (2 * room).min(max_bytes));
            memory.extend_to(room).await;
            body.reserve_exact(room.saturating_sub(body.len()));
        } else {
            let bytes = declared.map_or(next, |bytes| bytes.min(next));
            memory.extend_to(bytes).await;
        }
        let read = reply.body.read(&mut reply.conn, body).await;
        if !read.map_err(broken)? {
            return Ok(());
        }
        if body.len() > max_bytes {
            return Err(broken(Unread::TooLong(max_bytes).into()));
        }
    }
}
