//! An answer that is read whole before it is passed on.

use std::rc::Rc;
use std::time::Instant;

use tidepier_platform::answer::Length;

use crate::attempt::{Cause, Failure, Ran, Reply};
use crate::exchange::{End, Exchange};
use crate::fleet::Backend;
use crate::timeout;

/// Largest body that is read whole before it is passed on, in bytes.
const WHOLE_BYTES: usize = 8 << 20;

/// Passes an answer on once it is whole.
///
/// # Errors
///
/// It broke off or is late; nothing was passed on.
pub(super) async fn pass(
    exchange: &mut Exchange<'_>,
    backend: Rc<Backend>,
    mut reply: Reply,
) -> Result<End, Failure> {
    let first = exchange.arrival.at.elapsed();
    let mut body = Vec::new();
    read_whole(&mut reply, &mut body, exchange.deadline).await?;
    backend.hear();
    let status = reply.answer.status;
    let close = exchange.closes();
    let length = match exchange.arrival.head.method() {
        "HEAD" => declared_length(&reply),
        _ => Length::Known(body.len() as u64),
    };
    let mut out = exchange.head(&reply, length, close);
    out.extend_from_slice(&body);
    if reply.reusable {
        backend.keep(reply.conn, reply.answer.keep_alive);
    }
    drop(reply.running);
    let written = exchange.writer.write_all(&out).await;
    exchange.answered(&backend, status, first);
    Ok(match written {
        Ok(()) if !close => End::Keep,
        _ => End::Close,
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
    deadline: Instant,
) -> Result<(), Failure> {
    let read = async {
        let rest = reply.body.rest(&mut reply.conn, Some(body), WHOLE_BYTES);
        rest.await.map_err(|error| Failure {
            ran: Ran::Unknown,
            cause: Cause::Broken(error.into()),
        })
    };
    let late = || {
        Err(Failure {
            ran: Ran::Unknown,
            cause: Cause::Late,
        })
    };
    timeout::until(deadline, read).await.unwrap_or_else(late)
}
