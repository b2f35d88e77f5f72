//! Client connections: one task each, from the first byte to the end.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::yield_now;
use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};
use tidepier_clock::Instant;
use tidepier_core::catalog::Limits;
use tidepier_h1::{Body, Conn, Framing, Head, Listener, Malformed, Search, Writer};
use tidepier_platform::refusal::Refusal;

use crate::backlog::Stall;
use crate::exchange::{self, Disposition, IncomingRequest};
use crate::inbound::{Holding, Shortage, Unfinished};
use crate::refusal;
use crate::relay::Relay;
use crate::stop::Phase;
use crate::timeout;

/// Bytes that the operating system keeps for a client that does not read; what it cannot
/// take stays with the box, where it is counted. More would be kept uncounted, fewer would
/// wake the box more often for clients that read.
const UNSENT_BYTES_MAX: u32 = 64 << 10;
/// Bytes that a client may send before its answer is complete. Beyond that, what it sends is
/// dropped and its connection closes after the answer.
const READ_AHEAD_MAX: usize = 64 << 10;
/// How often the bytes of a head are held while its request is handled: as received, parsed,
/// and as sent to a server.
const HEAD_COPIES: usize = 3;
/// Bytes of a body for which room is made before they arrive.
const BODY_RESERVE_BYTES: usize = 16 << 10;
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
            // The system knows when a client last took something, however little, and
            // ends its connection after this time.
            let accepted = listener.accept(relay.bounds().client_timeout).await;
            Some(accepted.and_then(|conn| {
                conn.limit_unsent(UNSENT_BYTES_MAX)?;
                Ok(conn)
            }))
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
/// elsewhere. Meanwhile answers close connections, and clients that have stalled in the middle
/// of a request are refused.
async fn wait_for_capacity(relay: &Relay) {
    if !relay.is_full() {
        return;
    }
    log::warn!(target: "process", "event=clients_full most={}", relay.clients_max());
    while relay.is_full() {
        relay.inbound.evict_stalled(Instant::now());
        Timer::after(ACCEPT_PAUSE).await;
    }
    log::info!(target: "process", "event=clients_taken open={}", relay.stop.connections());
}

async fn serve(relay: &Relay, mut conn: Conn) {
    let _open = relay.stop.connection();
    let writer = conn.writer();
    let holding = relay.inbound.holding();
    let mut last = None;
    while request(relay, &mut conn, &writer, &holding, &mut last).await == Disposition::Keep {}
}

/// The previous request of a connection.
struct Last {
    head: Head,
    /// When its answer was written.
    answered: Instant,
}

impl Last {
    /// Logs that the connection timed out although nothing was left to write: the client
    /// did not take what the system had for it, or is gone.
    fn log_timed_out(&self) {
        log::info!(
            target: "request",
            "event=client_lost id={} ms={}",
            exchange::request_id(&self.head),
            self.answered.elapsed().as_millis(),
        );
    }
}

/// Serves one request of a connection.
async fn request(
    relay: &Relay,
    conn: &mut Conn,
    writer: &Writer,
    holding: &Holding,
    last: &mut Option<Last>,
) -> Disposition {
    let limits = limits(relay);
    match first_byte(relay, conn, &limits).await {
        Ok(true) => {}
        Ok(false) => return Disposition::Close,
        Err(error) => {
            if let Some(last) = last.as_ref().filter(|_| is_time_out(&error)) {
                last.log_timed_out();
            }
            return Disposition::Close;
        }
    }
    let _request = relay.stop.request();
    let mut unfinished = holding.unfinished();
    let read = head(conn, &limits, holding, &mut unfinished).or(unread_at_stop(relay, |end| end));
    let head = match read.await {
        Ok(head) => head,
        Err(unread) => return end_unread(conn, writer, holding, unread).await,
    };
    let at = Instant::now();
    let until = || exchange::deadline(relay, &head, at).unwrap_or(at + BODY_TIME);
    let latest = |end| exchange::latest_start(relay, &head, at, end);
    let reading = Reading {
        conn: &mut *conn,
        writer,
        head: &head,
        limits: &limits,
        holding,
        unfinished,
    };
    let read = reading.body(until).or(unread_at_stop(relay, latest));
    let (body, has_body) = match read.await {
        Ok(read) => read,
        Err(unread) => return end_unread(conn, writer, holding, unread).await,
    };
    let arrival = IncomingRequest {
        close: head.closes(),
        head: &head,
        body: &body,
        has_body,
        at,
        answer_begun: Cell::default(),
        cut_action: Cell::default(),
    };
    let (end, has_overrun) = answer(relay, conn, &arrival, writer, holding).await;
    holding.set(conn.buffered());
    let end = match end {
        Disposition::Keep if has_overrun => Disposition::Close,
        end => end,
    };
    match end {
        Disposition::Keep => {
            let answered = Instant::now();
            *last = Some(Last { head, answered });
        }
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

/// Answers a request unless its client closes the connection before. Also returns whether
/// the client sent more than may be kept, which was dropped.
async fn answer(
    relay: &Relay,
    conn: &mut Conn,
    arrival: &IncomingRequest<'_>,
    writer: &Writer,
    holding: &Holding,
) -> (Disposition, bool) {
    let answered = async { Some(exchange::run(relay, arrival, writer).await) };
    let timed_out = Cell::new(false);
    let has_overrun = Cell::new(false);
    let client_left = async {
        timed_out.set(client_left(conn, holding, &has_overrun).await == Ended::TimedOut);
        None
    };
    let answered = answered.or(client_left).await;
    let end = answered.unwrap_or_else(|| {
        if timed_out.get() && arrival.answer_begun.get() {
            // The system's buffers held all that the box had for the client.
            let stall = Stall {
                kept: 0,
                time: relay.bounds().client_timeout,
            };
            exchange::log_client_cut(arrival, "timeout", &stall);
            return Disposition::Reset;
        }
        exchange::log_client_left(arrival);
        // It may have closed its own side only, and still read.
        if arrival.answer_begun.get() {
            Disposition::Reset
        } else {
            Disposition::Close
        }
    });
    (end, has_overrun.get())
}

fn limits(relay: &Relay) -> Limits {
    let catalog = relay.view.catalog();
    catalog.map(|catalog| catalog.limits).unwrap_or_default()
}

/// Waits for the first byte of a request; returns `false` if none comes.
async fn first_byte(relay: &Relay, conn: &mut Conn, limits: &Limits) -> io::Result<bool> {
    if !conn.pending().is_empty() {
        return Ok(true);
    }
    let closing = async {
        relay.stop.wait_for_phase(Phase::Closing).await;
        None
    };
    let read = async { Some(conn.fill().await) };
    let came = timeout::within(limits.idle_time, read.or(closing)).await;
    let read = came.flatten().transpose()?;
    Ok(read.is_some_and(|read| read > 0))
}

/// Whether the system ended a connection whose peer took or acknowledged nothing.
fn is_time_out(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::TimedOut
}

/// Why a request was not read completely.
enum Unread {
    /// The client closed or broke the connection.
    Gone,
    /// The request is refused.
    Refused(refusal::Kind),
}

/// Ends the reading of a request at the moment that `at` returns for the deadline of a
/// shutdown.
async fn unread_at_stop<T>(
    relay: &Relay,
    at: impl FnOnce(Instant) -> Instant,
) -> Result<T, Unread> {
    relay.stop.wait_until(at).await;
    Err(Unread::Refused(refusal::Kind::Stopping))
}

impl From<Shortage> for Unread {
    fn from(_: Shortage) -> Self {
        Unread::Refused(refusal::Kind::Crowded)
    }
}

/// Reads a request's head.
async fn head(
    conn: &mut Conn,
    limits: &Limits,
    holding: &Holding,
    unfinished: &mut Unfinished<'_>,
) -> Result<Head, Unread> {
    let mut search = Search::default();
    let read = async {
        loop {
            let head = conn.try_head(&mut search, limits.head_bytes);
            if let Some(head) = head.map_err(unread_head)? {
                return Ok(head);
            }
            holding.extend_to(conn.buffered())?;
            let received = conn.pending().len();
            match unfinished.wait(received, conn.fill()).await? {
                Ok(1..) => {}
                Ok(0) | Err(_) => return Err(Unread::Gone),
            }
        }
    };
    let read = timeout::within(limits.head_time, read).await;
    read.unwrap_or(Err(Unread::Refused(refusal::Kind::Slow)))
}

/// Why a head was not read.
fn unread_head(error: Malformed) -> Unread {
    match error {
        Malformed::BrokenOff | Malformed::Lost(_) => Unread::Gone,
        Malformed::TooLarge => Unread::Refused(refusal::Kind::HeadTooLarge),
        error => {
            log::info!(target: "request", "event=malformed why=\"{error}\"");
            Unread::Refused(refusal::Kind::Malformed)
        }
    }
}

/// A request whose body is being read.
struct Reading<'a> {
    conn: &'a mut Conn,
    writer: &'a Writer,
    head: &'a Head,
    limits: &'a Limits,
    holding: &'a Holding,
    unfinished: Unfinished<'a>,
}

impl Reading<'_> {
    /// Reads the body; also returns whether the head announced one. `until` returns the time
    /// after which the client has no use for an answer. It is called only if the body did not
    /// arrive with the head.
    async fn body(mut self, until: impl Fn() -> Instant) -> Result<(Vec<u8>, bool), Unread> {
        let limits = self.limits;
        let framing = Framing::of_request(self.head).map_err(unread_head)?;
        let mut left = match framing {
            Framing::Length(length) if length > limits.body_bytes as u64 => {
                return Err(Unread::Refused(refusal::Kind::BodyTooLarge))
            }
            Framing::Length(length) => length as usize,
            _ => limits.body_bytes,
        };
        self.allow_body(framing).await?;
        let mut bytes = Vec::new();
        if matches!(framing, Framing::Length(_)) {
            bytes.reserve_exact(left.min(BODY_RESERVE_BYTES));
        }
        let mut body = Body::new(framing);
        let mut end = None;
        loop {
            grow(&mut bytes, left);
            let mut limit = limits.idle_time;
            if self.conn.pending().is_empty() && !body.is_done() {
                let end = *end.get_or_insert_with(&until);
                limit = limit.min(end.saturating_duration_since(Instant::now()));
            }
            let before = bytes.len();
            match self.read(&mut body, &mut bytes, limit).await? {
                true if bytes.len() > limits.body_bytes => {
                    return Err(Unread::Refused(refusal::Kind::BodyTooLarge))
                }
                true => left = left.saturating_sub(bytes.len() - before),
                false => break,
            }
            self.hold(bytes.capacity() + self.conn.buffered())?;
        }
        if bytes.capacity() - bytes.len() > BODY_RESERVE_BYTES {
            bytes.shrink_to_fit();
        }
        self.hold(bytes.capacity())?;
        Ok((bytes, framing != Framing::Empty))
    }

    /// Tells a client that waits for it that it may send its body.
    async fn allow_body(&self, framing: Framing) -> Result<(), Unread> {
        let expects_continue = self
            .head
            .text("expect")
            .is_some_and(|text| text.eq_ignore_ascii_case("100-continue"));
        if expects_continue && framing != Framing::Empty {
            let interim = self.writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            interim.await.map_err(|_| Unread::Gone)?;
        }
        Ok(())
    }

    /// Reads more of the body within `limit`; `false` once it is whole.
    async fn read(
        &mut self,
        body: &mut Body,
        bytes: &mut Vec<u8>,
        limit: Duration,
    ) -> Result<bool, Unread> {
        let received = self.head.size() + bytes.len();
        let read = body.read(self.conn, bytes);
        let read = self.unfinished.wait(received, read);
        match timeout::within(limit, read).await {
            Some(Ok(Ok(more))) => Ok(more),
            Some(Ok(Err(error))) if error.kind() == io::ErrorKind::InvalidData => {
                Err(Unread::Refused(refusal::Kind::Malformed))
            }
            Some(Ok(Err(_))) => Err(Unread::Gone),
            Some(Err(shortage)) => Err(shortage.into()),
            None => Err(Unread::Refused(refusal::Kind::Slow)),
        }
    }

    /// Counts what the request holds, `body` bytes of it for its body.
    fn hold(&self, body: usize) -> Result<(), Shortage> {
        let head = HEAD_COPIES * self.head.size();
        self.holding.extend_to(head + body)
    }
}

/// Makes room for the next read of a body that has outgrown its first bytes, of which `left`
/// are due at most.
fn grow(bytes: &mut Vec<u8>, left: usize) {
    let has_room = bytes.capacity() - bytes.len() >= left.min(BODY_RESERVE_BYTES);
    if bytes.len() >= BODY_RESERVE_BYTES / 2 && !has_room {
        let more = BODY_RESERVE_BYTES.max(bytes.len() / 2);
        bytes.reserve_exact(more.min(left));
    }
}

/// Closes the connection of a request that was not read completely.
async fn end_unread(
    conn: &mut Conn,
    writer: &Writer,
    holding: &Holding,
    unread: Unread,
) -> Disposition {
    holding.set(conn.buffered());
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
    let answer = Refusal {
        status: kind.status(),
        retry_after: kind.retry_after(),
        reason: kind.name(),
        close: true,
        ..Refusal::default()
    };
    answer.encode(&mut out);
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

/// How a client's connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// The client closed or reset it.
    Closed,
    /// The client took no bytes for its time-out, or no longer answers at all.
    TimedOut,
}

/// Returns when the client's connection has ended. Sets `has_overrun` once the client has sent
/// more than may be kept, which is dropped.
async fn client_left(conn: &mut Conn, holding: &Holding, has_overrun: &Cell<bool>) -> Ended {
    let request = holding.bytes();
    loop {
        let ahead = conn.pending().len();
        let is_kept = holding.read_ahead(request, conn.buffered()) && ahead <= READ_AHEAD_MAX;
        if !is_kept && !has_overrun.replace(true) {
            log::info!(target: "request", "event=overrun bytes={ahead}");
        }
        let read = match has_overrun.get() {
            true => conn.scrap().await,
            false => conn.fill().await,
        };
        match read {
            Err(error) if is_time_out(&error) => return Ended::TimedOut,
            Ok(0) | Err(_) => return Ended::Closed,
            Ok(_) => {}
        }
    }
}
