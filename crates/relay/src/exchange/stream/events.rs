//! Forwards the events of a stream as they arrive.
//!
//! Invariant: of a stream that breaks off, only complete events are forwarded, so
//! that another server can resume it after the last of them.

use std::cell::Cell;
use std::io::{self, Write};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_h1::Framing;
use tidepier_platform::answer::{self, Length};

use super::discard;
use crate::attempt::{Cause, Executed, Failure, Reply};
use crate::backlog::{Cut, Partial};
use crate::events::Buffer;
use crate::exchange::disposition::Disposition;
use crate::exchange::silent::Silent;
use crate::exchange::state::Exchange;
use crate::fleet::Backend;
use crate::refusal;
use crate::timeout::{self, Deadline};

/// Multiple of the pause between events that a route promises, after which a
/// resumable stream may go on at another server.
const STALL_PAUSES: u32 = 4;
/// Time without bytes after which a resumable stream may go on at another server if its
/// route promises no pause.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Bytes of events that are written to a client without being counted: as many as one read
/// returns.
const READ_BYTES: usize = 16 << 10;

/// Most rejections of a stream that goes on which use up no attempt: nothing was run.
const REJECTIONS_MAX: u32 = 3;

/// The client's side of a stream.
struct Client {
    /// Whether the body is chunked; otherwise the connection's end delimits it, which is a
    /// reset until the body is complete. How the server marks the end makes no difference:
    /// an end of the connection must not stand for an end that the server did not reach.
    chunked: bool,
    /// Whether the connection closes after the answer.
    close: bool,
    /// Time from the request's arrival to the first event, once that was forwarded.
    first: Cell<Option<Duration>>,
    /// Counts what is kept of long events.
    partial: Partial,
}

impl Client {
    fn new(exchange: &Exchange<'_>) -> Self {
        let chunked = exchange.arrival.head.knows_chunks();
        Self {
            chunked,
            close: exchange.closes() || !chunked,
            first: Cell::new(None),
            partial: exchange.relay.backlog.partial(),
        }
    }

    /// What happens to the connection of an answer that cannot be completed. A
    /// chunked body without its last chunk is visibly incomplete, so that closing
    /// suffices.
    fn incomplete_action(&self) -> Disposition {
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

/// Forwards events as they arrive.
///
/// # Errors
///
/// The stream broke off before anything was forwarded.
pub(super) async fn forward(
    exchange: &mut Exchange<'_>,
    mut backend: Rc<Backend>,
    mut reply: Reply,
) -> Result<Disposition, Failure> {
    let client = Client::new(exchange);
    let mut out = exchange.head(&reply.head, client.length(), client.close);
    let resumable = exchange.is_resumable();
    let held = exchange.request.resume_after.filter(|_| resumable);
    let mut events = Buffer::after(held);
    let mut limit = Deadline::new(exchange.deadline);
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
            Ok(Copied::Complete) => return Ok(finish(exchange, &client, backend, reply).await),
            Ok(Copied::Cut(cut)) => return Ok(exchange.end_cut(&cut)),
            Err(failure) => failure,
        };
        // Nothing was forwarded yet, so the request can still be retried as a whole.
        if client.first.get().is_none() {
            return Err(failure);
        }
        drop(reply);
        exchange.record_failure(&backend, &failure);
        let next = match events.obstacle() {
            _ if !resumable => Err("not_resumable"),
            Some(obstacle) => Err(obstacle.name()),
            None => resume(exchange, failure, events.last()).await,
        };
        let next = match next {
            Ok(next) => next,
            Err(why) => {
                exchange.log_broken(&backend.server, why, events.last());
                return Ok(client.incomplete_action());
            }
        };
        exchange.log_resumed(&backend.server, &next.0.server, events.last());
        events.change_server();
        (backend, reply) = next;
    }
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
    exchange.record_answer(&backend, reply.answer.status, first);
    exchange.count_stream_end(reply.framing);
    exchange.log_answer(&backend, reply.answer.status, first, reply.framing);
    if !client.chunked {
        log_closed(exchange.writer.end_on_close());
    }
    if client.close {
        Disposition::Close
    } else {
        Disposition::Keep
    }
}

fn log_closed(result: io::Result<()>) {
    if let Err(error) = result {
        log::info!(target: "request", "event=already_closed why=\"{error}\"");
    }
}

/// Sends the request again, to resume the stream after the last forwarded event.
///
/// # Errors
///
/// It is not sent to a further server; why, for the log.
async fn resume(
    exchange: &mut Exchange<'_>,
    mut failure: Failure,
    after: Option<u64>,
) -> Result<(Rc<Backend>, Reply), &'static str> {
    let mut rejections = 0;
    loop {
        exchange.may_retry(&failure).map_err(refusal::Kind::name)?;
        let sent = exchange.send(after).await;
        let (backend, result) = sent.map_err(refusal::Kind::name)?;
        failure = match result {
            Ok(reply) if reply.answer.status == 200 => return Ok((backend, reply)),
            Ok(reply) => {
                let failure = resume_failure(&reply);
                if is_full(&failure) && rejections < REJECTIONS_MAX {
                    rejections += 1;
                    exchange.attempts -= 1;
                }
                discard::body(&backend, reply, exchange.deadline).await;
                failure
            }
            Err(failure) => failure,
        };
        exchange.record_failure(&backend, &failure);
    }
}

/// Whether the intended server rejected the request without running it.
fn is_full(failure: &Failure) -> bool {
    match failure.cause {
        Cause::Refused(status) => failure.executed == Executed::No && status != answer::MISDIRECTED,
        _ => false,
    }
}

/// The failure for an answer that does not resume the stream. A 5xx status counts
/// as a failure of the server, as it does at the first attempt.
fn resume_failure(reply: &Reply) -> Failure {
    let status = reply.answer.status;
    let not_executed = reply.answer.not_executed;
    Failure {
        executed: if not_executed {
            Executed::No
        } else {
            Executed::Unknown
        },
        cause: if status >= 500 && !not_executed {
            Cause::Error(status)
        } else {
            Cause::Refused(status)
        },
    }
}

enum Copied {
    /// The answer is complete.
    Complete,
    /// The client is gone or was cut.
    Cut(Cut),
}

/// Copies events to the client until the answer ends. `out` holds the bytes to
/// write before the first event.
async fn copy(
    exchange: &Exchange<'_>,
    client: &Client,
    backend: &Rc<Backend>,
    reply: &mut Reply,
    events: &mut Buffer,
    limit: &mut Deadline,
    out: &mut Vec<u8>,
) -> Result<Copied, Failure> {
    loop {
        let more = read_some(exchange, client, backend, reply, events, limit).await?;
        backend.record_received();
        exchange.last_data.set(Some(Instant::now()));
        reply.running.answer_started();
        if !more && reply.framing == Framing::UntilClose && !events.may_be_complete() {
            return Err(early_end());
        }
        // Events that are taken have to be forwarded, as the stream goes on after them.
        let kept = events.buffer().len().saturating_sub(READ_BYTES);
        if !client.partial.set(kept) {
            events.change_server();
            return Err(endless_event("memory"));
        }
        let complete = if more {
            events.take_complete()
        } else {
            events.take_rest()
        };
        let complete = complete.map_err(|disorder| {
            exchange.log_disorder(&backend.server, disorder);
            Failure {
                executed: Executed::Unknown,
                cause: Cause::Disordered(disorder),
            }
        })?;
        let has_events = !complete.is_empty();
        if has_events {
            push_events(out, &complete, client.chunked);
        }
        drop(complete);
        if !more && client.chunked {
            out.extend_from_slice(b"0\r\n\r\n");
        }
        if has_events || !more {
            if client.first.get().is_none() {
                if !client.chunked {
                    log_closed(exchange.writer.reset_on_close());
                }
                let first = exchange.arrival.at.elapsed();
                client.first.set(Some(first));
                exchange.record_first_event(backend, reply.answer.status, first);
                exchange.record_origin(backend);
            }
            exchange.arrival.answer_begun.set(true);
            let cut_action = more.then(|| client.incomplete_action());
            exchange.arrival.cut_action.set(cut_action);
            let written = exchange.relay.backlog.write_events(exchange.writer, out);
            match written.await {
                Ok(waited) => exchange.add_client_wait(waited),
                Err(cut) => return Ok(Copied::Cut(cut)),
            }
            out.clear();
            out.shrink_to(READ_BYTES);
        }
        let has_room = client.partial.set(events.buffer().len());
        if events.is_too_long() || !has_room {
            events.change_server();
            return Err(endless_event(if has_room { "length" } else { "memory" }));
        }
        if !more {
            return Ok(Copied::Complete);
        }
    }
}

fn early_end() -> Failure {
    let error = io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the connection ended within an event or before any",
    );
    Failure {
        executed: Executed::Unknown,
        cause: Cause::Broken(error),
    }
}

/// The failure of a server whose event does not end, for its length or for the memory that
/// others take.
fn endless_event(why: &'static str) -> Failure {
    metrics::counter!("tidepier_events_cut_total", "why" => why).increment(1);
    Failure {
        executed: Executed::Unknown,
        cause: Cause::Broken(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("an event does not end ({why})"),
        )),
    }
}

fn push_events(out: &mut Vec<u8>, bytes: &[u8], chunked: bool) {
    if chunked {
        // Writing to a `Vec` does not fail.
        let _ = write!(out, "{:x}\r\n", bytes.len());
    }
    out.extend_from_slice(bytes);
    if chunked {
        out.extend_from_slice(b"\r\n");
    }
}

/// Waits for more bytes of the stream. A resumable one leaves a silent server if another one
/// answers.
async fn read_some(
    exchange: &Exchange<'_>,
    client: &Client,
    backend: &Rc<Backend>,
    reply: &mut Reply,
    events: &mut Buffer,
    limit: &mut Deadline,
) -> Result<bool, Failure> {
    let stalls = exchange.is_resumable();
    let stall = match exchange.route.pause {
        _ if client.first.get().is_none() => None,
        Some(pause) if stalls => Some(STALL_PAUSES * pause),
        None if stalls => Some(STALL_TIMEOUT),
        _ => None,
    };
    let since = Instant::now();
    let mut read = pin!(async {
        let read = reply.body.read(&mut reply.conn, events.buffer()).await;
        read.map_err(|error| Failure {
            executed: Executed::Unknown,
            cause: Cause::Broken(error),
        })
    });
    let deadline = exchange.deadline;
    let silent_at = stall.map_or(deadline, |stall| deadline.min(since + stall));
    if let Some(result) = limit.until(silent_at, read.as_mut()).await {
        return result;
    }
    let late = Err(Failure {
        executed: Executed::Unknown,
        cause: Cause::TimedOut,
    });
    if silent_at == deadline {
        return late;
    }
    // Boxed, as the futures of all streams would hold it otherwise.
    let stayed = Box::pin(exchange.stay(Silent { backend, since }, || true, read));
    timeout::until(deadline, stayed)
        .await
        .flatten()
        .unwrap_or(late)
}
