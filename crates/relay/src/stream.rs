//! Passing an answer on to the client.
//!
//! An answer that is not a stream is read whole first, so that one that breaks
//! off can still be replaced. A stream is passed on by whole events as they
//! arrive; where the route allows it, one that breaks goes on at another
//! server after the last event passed on.
//!
//! Invariant: what the client gets ends as complete only if what the server
//! sent did.

use std::cell::Cell;
use std::io;
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tidepier_core::catalog::Kind;
use tidepier_h1::Framing;
use tidepier_platform::answer::Length;

use crate::attempt::{Cause, Failure, Ran, Reply};
use crate::events::Events;
use crate::exchange::{End, Exchange};
use crate::fleet::Backend;
use crate::timeout;

/// Largest body that is read whole before it is passed on, in bytes.
const WHOLE_BYTES: usize = 8 << 20;
/// Pauses promised by a route after which a resumable stream counts as stuck.
const STALL_PAUSES: u32 = 4;
/// Longest silence of a resumable stream where its route promises nothing.
const STALL_TIME: Duration = Duration::from_millis(1_500);
/// Time to read the body of an answer that is not passed on.
const SCRAP_TIME: Duration = Duration::from_millis(50);

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
        pass_stream(exchange, backend, reply).await
    } else {
        pass_whole(exchange, backend, reply).await
    }
}

/// Reads what is left of an answer that is not passed on, so that its
/// connection can be kept.
pub(crate) async fn keep_after(backend: &Rc<Backend>, mut reply: Reply, deadline: Instant) {
    let limit = deadline.min(Instant::now() + SCRAP_TIME);
    let mut scrap = Vec::new();
    let read = async {
        while reply.body.read(&mut reply.conn, &mut scrap).await? {
            scrap.clear();
        }
        Ok::<(), io::Error>(())
    };
    let read = timeout::until(limit, read).await;
    if matches!(read, Some(Ok(()))) && reply.reusable {
        backend.keep(reply.conn, reply.answer.keep_alive);
    }
}

async fn pass_whole(
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
    let broken = |error| Failure {
        ran: Ran::Unknown,
        cause: Cause::Broken(error),
    };
    let read = async {
        while reply
            .body
            .read(&mut reply.conn, body)
            .await
            .map_err(broken)?
        {
            if body.len() > WHOLE_BYTES {
                let error = io::Error::other("the answer is too large");
                return Err(broken(error));
            }
        }
        Ok(())
    };
    let late = || {
        Err(Failure {
            ran: Ran::Unknown,
            cause: Cause::Late,
        })
    };
    timeout::until(deadline, read).await.unwrap_or_else(late)
}

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

    fn length(&self) -> Length {
        if self.chunked {
            Length::Chunked
        } else {
            Length::UntilClose
        }
    }
}

async fn pass_stream(
    exchange: &mut Exchange<'_>,
    mut backend: Rc<Backend>,
    mut reply: Reply,
) -> Result<End, Failure> {
    let client = Client::new(exchange, &reply);
    let mut out = exchange.head(&reply, client.length(), client.close);
    let mut events = Events::default();
    let resumable = exchange.route.kind == Kind::Stream { resumable: true };
    loop {
        let failure = match copy(
            exchange,
            &client,
            &backend,
            &mut reply,
            &mut events,
            &mut out,
        )
        .await
        {
            Ok(Copied::Whole) => return Ok(finish(exchange, &client, backend, reply).await),
            Ok(Copied::Gone) => return Ok(End::Close),
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
            return Ok(abort(exchange, &client));
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

/// Ends an answer that cannot be completed so that it does not look complete.
fn abort(exchange: &Exchange<'_>, client: &Client) -> End {
    // A chunked answer without its last chunk is incomplete in itself.
    if !client.chunked {
        if let Err(error) = exchange.writer.reset_on_close() {
            log::info!(target: "request", "event=already_closed why=\"{error}\"");
        }
    }
    End::Close
}

async fn finish(
    exchange: &Exchange<'_>,
    client: &Client,
    backend: Rc<Backend>,
    reply: Reply,
) -> End {
    if reply.reusable {
        backend.keep(reply.conn, reply.answer.keep_alive);
    }
    drop(reply.running);
    let first = client.first.get().unwrap_or_default();
    exchange.answered(&backend, reply.answer.status, first);
    if client.close {
        End::Close
    } else {
        End::Keep
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
                let not_run = reply.answer.not_run;
                let status = reply.answer.status;
                keep_after(&backend, reply, exchange.deadline).await;
                Failure {
                    ran: if not_run { Ran::No } else { Ran::Unknown },
                    cause: Cause::Refused(status),
                }
            }
            Err(failure) => failure,
        };
        exchange.failed(&backend, &failure);
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
    out: &mut Vec<u8>,
) -> Result<Copied, Failure> {
    loop {
        let more = read_some(exchange, client, reply, events).await?;
        backend.hear();
        reply.running.begun();
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
            ran: Ran::Unknown,
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
            ran: Ran::Unknown,
            cause,
        })
    };
    timeout::until(until, read).await.unwrap_or_else(late)
}
