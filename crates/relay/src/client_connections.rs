//! Client connections: one task each, from the first byte to the end.

use std::future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::yield_now;
use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};
use tidepier_clock::Instant;
use tidepier_core::catalog::Limits;
use tidepier_h1::{Body, Conn, Framing, Head, Listener, Malformed, Writer};
use tidepier_platform::request as wire_request;

use crate::exchange::{self, Disposition, IncomingRequest};
use crate::refusal;
use crate::relay::Relay;
use crate::stop::Phase;
use crate::timeout;

/// Time after which a connection is closed whose client does not acknowledge data.
const UNACKED_TIME: Duration = Duration::from_secs(8);
/// Bytes that a client may send before its answer is complete; beyond that, the box no
/// longer notices that the client has closed its connection.
const READ_AHEAD_MAX: usize = 64 << 10;
/// Time limit for a body where neither the client nor the route sets one. Such a request
/// is refused even when it is complete, so the limit loses nothing.
const BODY_TIME: Duration = Duration::from_secs(60);
/// Pause after a connection could not be accepted, for instance when file descriptors
/// run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which unread bytes of a refused client are read and discarded. Closing the
/// connection with unread bytes would reset it and could destroy the refusal in transit.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// Accepts client connections until the shutdown reaches the phase in which none are
/// accepted.
pub async fn accept(relay: Rc<Relay>, listener: Listener, executor: Rc<LocalExecutor<'static>>) {
    let closing = async {
        relay.stop.wait_for_phase(Phase::Closing).await;
        None
    };
    let mut closing = std::pin::pin!(closing);
    loop {
        let accepted = async {
            wait_for_capacity(&relay).await;
            Some(listener.accept(UNACKED_TIME).await)
        };
        match accepted.or(closing.as_mut()).await {
            None => return,
            Some(Ok(conn)) => {
                let relay = relay.clone();
                executor
                    .spawn(async move { serve(&relay, conn).await })
                    .detach();
                // Yields, so that the new connection is counted before the next one is
                // accepted.
                yield_now().await;
            }
            Some(Err(error)) => {
                log::warn!(target: "process", "event=accept_failed why=\"{error}\"");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until another connection may be accepted. Clients beyond the limit wait in the
/// operating system's accept queue, from which the platform redirects them or they retry
/// elsewhere. Meanwhile answers close connections.
async fn wait_for_capacity(relay: &Relay) {
    if !relay.is_full() {
        return;
    }
    log::warn!(target: "process", "event=clients_full most={}", relay.clients_max());
    while relay.is_full() {
        Timer::after(ACCEPT_PAUSE).await;
    }
    log::info!(target: "process", "event=clients_taken open={}", relay.stop.connections());
}

async fn serve(relay: &Relay, mut conn: Conn) {
    let _open = relay.stop.connection();
    let writer = conn.writer();
    while request(relay, &mut conn, &writer).await == Disposition::Keep {}
}

/// Serves one request of a connection.
async fn request(relay: &Relay, conn: &mut Conn, writer: &Writer) -> Disposition {
    let limits = limits(relay);
    if !first_byte(relay, conn, &limits).await {
        return Disposition::Close;
    }
    let _request = relay.stop.request();
    let head = match head(conn, &limits).await {
        Ok(head) => head,
        Err(unread) => return end_unread(conn, writer, unread).await,
    };
    let at = Instant::now();
    let until = || exchange::deadline(relay, &head, at).unwrap_or(at + BODY_TIME);
    let (body, has_body) = match body(conn, writer, &head, &limits, until).await {
        Ok(read) => read,
        Err(unread) => return end_unread(conn, writer, unread).await,
    };
    let arrival = IncomingRequest {
        close: head.closes(),
        head: &head,
        body: &body,
        has_body,
        at,
    };
    let end = answer(relay, conn, &arrival, writer).await;
    match end {
        Disposition::Keep => {}
        Disposition::Close => {
            writer.finish();
            linger(conn).await;
        }
        // Closing the sending side normally would signal that the answer is complete.
        Disposition::Reset => {
            if let Err(error) = writer.reset_on_close() {
                log::info!(target: "request", "event=already_closed why=\"{error}\"");
            }
        }
    }
    end
}

/// Answers a request unless its client closes the connection before.
async fn answer(
    relay: &Relay,
    conn: &mut Conn,
    arrival: &IncomingRequest<'_>,
    writer: &Writer,
) -> Disposition {
    let answered = async { Some(exchange::run(relay, arrival, writer).await) };
    let client_left = async {
        client_left(conn).await;
        None
    };
    answered.or(client_left).await.unwrap_or_else(|| {
        metrics::counter!("tidepier_clients_left_total").increment(1);
        let request = wire_request::decode(arrival.head);
        log::info!(
            target: "request",
            "event=client_left id={} target={} ms={}",
            request.as_ref().map_or("-", |request| &*request.attempt),
            arrival.head.target(),
            arrival.at.elapsed().as_millis()
        );
        Disposition::Close
    })
}

fn limits(relay: &Relay) -> Limits {
    let catalog = relay.view.catalog();
    catalog.map(|catalog| catalog.limits).unwrap_or_default()
}

/// Waits for the first byte of a request; returns `false` if none comes.
async fn first_byte(relay: &Relay, conn: &mut Conn, limits: &Limits) -> bool {
    if !conn.pending().is_empty() {
        return true;
    }
    let closing = async {
        relay.stop.wait_for_phase(Phase::Closing).await;
        None
    };
    let read = async { Some(conn.fill().await) };
    let came = timeout::within(limits.idle_time, read.or(closing)).await;
    matches!(came, Some(Some(Ok(1..))))
}

/// Why a request was not read completely.
enum Unread {
    /// The client closed or broke the connection.
    Gone,
    /// The request is refused.
    Refused(refusal::Kind),
}

/// Reads a request's head.
async fn head(conn: &mut Conn, limits: &Limits) -> Result<Head, Unread> {
    match timeout::within(limits.head_time, conn.head(limits.head_bytes)).await {
        Some(Ok(Some(head))) => Ok(head),
        Some(Ok(None) | Err(Malformed::BrokenOff | Malformed::Lost(_))) => Err(Unread::Gone),
        Some(Err(Malformed::TooLarge)) => Err(Unread::Refused(refusal::Kind::HeadTooLarge)),
        Some(Err(error)) => {
            log::info!(target: "request", "event=malformed why=\"{error}\"");
            Err(Unread::Refused(refusal::Kind::Malformed))
        }
        None => Err(Unread::Refused(refusal::Kind::Slow)),
    }
}

/// Reads a request's body; also returns whether the head announced one. `until` returns
/// the time after which the client has no use for an answer. It is called only if the
/// body did not arrive with the head.
async fn body(
    conn: &mut Conn,
    writer: &Writer,
    head: &Head,
    limits: &Limits,
    until: impl Fn() -> Instant,
) -> Result<(Vec<u8>, bool), Unread> {
    let framing = Framing::of_request(head).map_err(|error| {
        log::info!(target: "request", "event=malformed why=\"{error}\"");
        Unread::Refused(refusal::Kind::Malformed)
    })?;
    let too_large = || Unread::Refused(refusal::Kind::BodyTooLarge);
    let capacity = match framing {
        Framing::Length(length) if length > limits.body_bytes as u64 => return Err(too_large()),
        Framing::Length(length) => length as usize,
        _ => 0,
    };
    let expects_continue = head
        .text("expect")
        .is_some_and(|text| text.eq_ignore_ascii_case("100-continue"));
    if expects_continue && framing != Framing::Empty {
        let interim = writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| Unread::Gone)?;
    }
    let mut bytes = Vec::with_capacity(capacity);
    let mut body = Body::new(framing);
    let mut end = None;
    loop {
        let mut limit = limits.idle_time;
        if conn.pending().is_empty() && !body.is_done() {
            let end = *end.get_or_insert_with(&until);
            limit = limit.min(end.saturating_duration_since(Instant::now()));
        }
        match timeout::within(limit, body.read(conn, &mut bytes)).await {
            Some(Ok(true)) if bytes.len() > limits.body_bytes => return Err(too_large()),
            Some(Ok(true)) => {}
            Some(Ok(false)) => return Ok((bytes, framing != Framing::Empty)),
            Some(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
                return Err(Unread::Refused(refusal::Kind::Malformed))
            }
            Some(Err(_)) => return Err(Unread::Gone),
            None => return Err(Unread::Refused(refusal::Kind::Slow)),
        }
    }
}

/// Closes the connection of a request that was not read completely.
async fn end_unread(conn: &mut Conn, writer: &Writer, unread: Unread) -> Disposition {
    match unread {
        Unread::Gone => Disposition::Close,
        Unread::Refused(kind) => refuse_unread(conn, writer, kind).await,
    }
}

/// Refuses a request that was not read completely, and closes the connection.
async fn refuse_unread(conn: &mut Conn, writer: &Writer, kind: refusal::Kind) -> Disposition {
    metrics::counter!("tidepier_refusals_total", "why" => kind.name()).increment(1);
    log::info!(target: "request", "event=turned_away why={kind} status={}", kind.status());
    let mut out = Vec::new();
    tidepier_platform::refusal::encode(
        kind.status(),
        "",
        kind.retry_after(),
        kind.name(),
        true,
        &mut out,
    );
    if writer.write_all(&out).await.is_ok() {
        writer.finish();
        linger(conn).await;
    }
    Disposition::Close
}

/// Reads and discards what the client still sends until it closes the connection, for at
/// most [`LINGER_TIME`].
async fn linger(conn: &mut Conn) {
    let drain = async { while let Ok(1..) = conn.scrap().await {} };
    timeout::within(LINGER_TIME, drain).await;
}

/// Returns when the client has closed its connection.
async fn client_left(conn: &mut Conn) {
    loop {
        if conn.pending().len() > READ_AHEAD_MAX {
            return future::pending().await;
        }
        match conn.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
