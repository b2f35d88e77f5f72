//! A series of events that is passed on as they arrive.
//!
//! Invariant: of an answer that breaks off, only whole events are passed on, so
//! that another server can go on after the last of them.

use std::cell::Cell;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::Kind;
use tidepier_h1::Framing;
use tidepier_platform::answer::Length;

use super::scrap;
use crate::attempt::{Cause, Executed, Failure, Reply};
use crate::events::Events;
use crate::exchange::end::Disposition;
use crate::exchange::job::Exchange;
use crate::fleet::Backend;
use crate::timeout::Limit;

/// Pauses promised by a route after which a resumable stream counts as stuck.
const STALL_PAUSES: u32 = 4;
/// Longest silence of a resumable stream where its route promises nothing.
const STALL_TIME: Duration = Duration::from_millis(1_500);

/// What a stream's answer looks like to the client.
struct Client {
    /// Events go out in chunks; else as they are, up to the connection's end.
    chunked: bool,
    /// The connection is closed after the answer.
    close: bool,
    /// Time to the first event, once it was passed on.
    first: Cell<Option<Duration>>,
}

impl Client {
    fn new(exchange: &Exchange<'_>, reply: &Reply) -> Self {
        let chunked = reply.framing != Framing::UntilClose;
        Self {
            chunked,
            close: exchange.closes() || !chunked,
            first: Cell::new(None),
        }
    }

    /// What becomes of the connection of an answer that cannot be completed. A chunked
    /// one without its last chunk is incomplete in itself.
    fn broken(&self) -> Disposition {
        if self.chunked {
            Disposition::Close
        } else {
            Disposition::Reset
        }
    }

    fn length(&self) -> Length {
        if self.chunked {
            Length::Chunked
        } else {
            Length::UntilClose
        }
    }
}

/// Passes events on as they arrive.
///
/// # Errors
///
/// The series broke off before anything was passed on.
pub(super) async fn pass(
    exchange: &mut Exchange<'_>,
    mut backend: Rc<Backend>,
    mut reply: Reply,
) -> Result<Disposition, Failure> {
    let client = Client::new(exchange, &reply);
    let mut out = exchange.head(&reply.head, client.length(), client.close);
    let mut events = Events::default();
    let mut limit = Limit::new(exchange.deadline);
    let resumable = exchange.route.kind == Kind::Stream { resumable: true };
    loop {
        let copied = copy(
            exchange,
            &client,
            &backend,
            &mut reply,
            &mut events,
            &mut limit,
            &mut out,
        );
        let failure = match copied.await {
            Ok(Copied::Whole) => return Ok(finish(exchange, &client, backend, reply).await),
            Ok(Copied::Gone) => return Ok(Disposition::Close),
            Err(failure) => failure,
        };
        // Nothing was passed on yet: as though there had been no answer.
        if client.first.get().is_none() {
            return Err(failure);
        }
        drop(reply);
        exchange.failed(&backend, &failure);
        let next = if resumable {
            resume(exchange, failure, events.last()).await
        } else {
            None
        };
        let Some(next) = next else {
            note_broken(exchange, &backend, resumable, events.last());
            return Ok(client.broken());
        };
        metrics::counter!("tidepier_streams_resumed_total").increment(1);
        events.rest();
        (backend, reply) = next;
    }
}

fn note_broken(exchange: &Exchange<'_>, backend: &Backend, resumable: bool, last: Option<u64>) {
    log::info!(
        target: "request",
        "event=broken id={} server={} resumable={resumable} last_event={last:?} ms={}",
        exchange.request.attempt,
        backend.server.id,
        exchange.arrival.at.elapsed().as_millis(),
    );
    metrics::counter!("tidepier_streams_broken_total").increment(1);
}

async fn finish(
    exchange: &Exchange<'_>,
    client: &Client,
    backend: Rc<Backend>,
    reply: Reply,
) -> Disposition {
    if reply.reusable {
        backend.keep(reply.conn, reply.answer.keep_alive);
    }
    drop(reply.running);
    let first = client.first.get().unwrap_or_default();
    exchange.answered(&backend, reply.answer.status, first);
    if client.close {
        Disposition::Close
    } else {
        Disposition::Keep
    }
}

/// Sends the request again to go on after the last event passed on.
async fn resume(
    exchange: &mut Exchange<'_>,
    mut failure: Failure,
    last: Option<u64>,
) -> Option<(Rc<Backend>, Reply)> {
    loop {
        exchange.may_retry(&failure).ok()?;
        let after = last.or(exchange.request.resume_after);
        let (backend, result) = exchange.send(after).await.ok()?;
        failure = match result {
            Ok(reply) if reply.answer.status == 200 && reply.framing != Framing::UntilClose => {
                log::info!(
                    target: "request",
                    "event=resumed id={} server={} after={after:?} ms={}",
                    exchange.request.attempt,
                    backend.server.id,
                    exchange.arrival.at.elapsed().as_millis(),
                );
                return Some((backend, reply));
            }
            Ok(reply) => {
                let failure = refused(&reply);
                scrap::keep_after(&backend, reply, exchange.deadline).await;
                failure
            }
            Err(failure) => failure,
        };
        exchange.failed(&backend, &failure);
    }
}

/// What an answer that is no stream to go on with says: an error of the
/// server's own is a failure of that server, as at a first sending.
fn refused(reply: &Reply) -> Failure {
    let status = reply.answer.status;
    let not_run = reply.answer.not_run;
    Failure {
        ran: if not_run {
            Executed::No
        } else {
            Executed::Unknown
        },
        cause: if status >= 500 && !not_run {
            Cause::Error(status)
        } else {
            Cause::Refused(status)
        },
    }
}

enum Copied {
    /// The answer is whole.
    Whole,
    /// The client cannot be written to.
    Gone,
}

/// Copies events until the answer ends. `out` holds what is to be written
/// before the first event.
async fn copy(
    exchange: &Exchange<'_>,
    client: &Client,
    backend: &Rc<Backend>,
    reply: &mut Reply,
    events: &mut Events,
    limit: &mut Limit,
    out: &mut Vec<u8>,
) -> Result<Copied, Failure> {
    loop {
        let more = read_some(exchange, client, reply, events, limit).await?;
        backend.record_received();
        reply.running.answer_started();
        let whole = if more { events.take() } else { events.rest() };
        if !whole.is_empty() {
            push(out, &whole, client.chunked);
        }
        if !more && client.chunked {
            out.extend_from_slice(b"0\r\n\r\n");
        }
        if !whole.is_empty() || !more {
            if client.first.get().is_none() {
                client.first.set(Some(exchange.arrival.at.elapsed()));
            }
            if exchange.writer.write_all(out).await.is_err() {
                return Ok(Copied::Gone);
            }
            out.clear();
        }
        if !more {
            return Ok(Copied::Whole);
        }
    }
}

fn push(out: &mut Vec<u8>, bytes: &[u8], chunked: bool) {
    if chunked {
        // Writing to a vector does not fail.
        let _ = write!(out, "{:x}\r\n", bytes.len());
    }
    out.extend_from_slice(bytes);
    if chunked {
        out.extend_from_slice(b"\r\n");
    }
}

/// Waits for more bytes of the stream.
async fn read_some(
    exchange: &Exchange<'_>,
    client: &Client,
    reply: &mut Reply,
    events: &mut Events,
    limit: &mut Limit,
) -> Result<bool, Failure> {
    let stalls = exchange.route.kind == Kind::Stream { resumable: true };
    let stall = match exchange.route.pause {
        _ if client.first.get().is_none() => None,
        Some(pause) if stalls => Some(STALL_PAUSES * pause),
        None if stalls => Some(STALL_TIME),
        _ => None,
    };
    let until = stall.map_or(exchange.deadline, |stall| {
        exchange.deadline.min(Instant::now() + stall)
    });
    let read = async {
        let read = reply.body.read(&mut reply.conn, events.buffer()).await;
        read.map_err(|error| Failure {
            ran: Executed::Unknown,
            cause: Cause::Broken(error),
        })
    };
    let late = || {
        let cause = if until < exchange.deadline {
            Cause::Stalled
        } else {
            Cause::Late
        };
        Err(Failure {
            ran: Executed::Unknown,
            cause,
        })
    };
    limit.until(until, read).await.unwrap_or_else(late)
}
