//! Server connections.
//!
//! [`serve`] runs one connection: it decodes a request, hands it to a
//! [`Handler`], writes the [`Reply`], and goes on to the next request. While a
//! reply is awaited or written it watches for the caller's leaving and drops
//! the handler's work when that happens.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use async_h1::server::{decode, Encoder};
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use futures_lite::{future, FutureExt};
use http_types::headers::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http_types::{Method, Mime, Request, Response, StatusCode};
use smol::net::TcpStream;
use smol::Timer;
use tidepier_errors::{Fault, Kind};

use crate::metered::{Stream, UNBOUNDED};

/// Bytes of a head that are read before the request is refused.
const HEAD_BYTES: u64 = 16 << 10;
/// Unread body bytes that are skipped to keep a connection alive.
const SKIP_BYTES: u64 = 256 << 10;
/// Time between looks for a caller's leaving while its bytes wait unread.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Size of the copy buffer of one connection, in bytes.
const COPY_BYTES: usize = 4 << 10;

/// Limits of one connection.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Time for a head, and for each part of a body.
    pub header: Duration,
    /// Time that a kept-alive connection may be idle.
    pub idle: Duration,
    /// Time that a caller may leave written bytes unread.
    pub stall: Duration,
    /// Largest request body in bytes.
    pub body: u64,
}

/// Work that goes on while a reply is written, such as copying a stream.
pub type Pump = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A response, with the work that feeds its body.
pub struct Reply {
    /// Head and body.
    pub response: Response,
    /// Feeds the body, when it is streamed.
    pub pump: Option<Pump>,
}

impl Reply {
    /// A whole response.
    pub fn whole(response: Response) -> Self {
        Self {
            response,
            pump: None,
        }
    }

    /// A JSON response.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(bytes) => Self::whole(json(status, bytes)),
            Err(error) => Self::fault(&Fault::new(Kind::Internal, error.to_string())),
        }
    }

    /// A plain text response.
    pub fn text(status: u16, text: String) -> Self {
        let mut response = Response::new(status_code(status));
        response.set_body(text);
        Self::whole(response)
    }

    /// The answer to a fault.
    pub fn fault(fault: &Fault) -> Self {
        let body = serde_json::to_vec(&fault.body()).unwrap_or_default();
        let mut response = json(fault.kind.answer().status, body);
        if let Some(seconds) = fault.retry_seconds() {
            response.insert_header(RETRY_AFTER, seconds.to_string());
        }
        Self::whole(response)
    }
}

fn json(status: u16, bytes: Vec<u8>) -> Response {
    let mut response = Response::new(status_code(status));
    response.set_body(bytes);
    response.insert_header(CONTENT_TYPE, http_types::mime::JSON);
    response
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError)
}

/// The content type of an event stream.
pub fn event_stream() -> Mime {
    http_types::mime::SSE
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropped when the caller leaves.
    fn handle(&self, request: Request) -> impl Future<Output = Reply> + Send;

    /// Whether the connection must close after the current reply.
    fn closing(&self) -> bool {
        false
    }
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The caller closed it between requests, or idled too long.
    Closed,
    /// We closed it after a reply.
    Finished,
    /// The caller left before its reply was whole.
    Left,
    /// The caller read or wrote too slowly.
    Slow,
    /// The request was malformed; it was answered.
    Refused,
}

enum Step {
    Next,
    End(End),
}

/// Serves one connection until it ends.
pub async fn serve<H: Handler>(socket: TcpStream, limits: &Limits, handler: &H) -> End {
    // Tokens are small writes that must not wait for each other.
    let _ = socket.set_nodelay(true);
    let stream = Stream::new(socket);
    let mut wait = limits.header;
    loop {
        match exchange(&stream, limits, wait, handler).await {
            Step::Next => wait = limits.idle,
            Step::End(end) => return end,
        }
    }
}

async fn exchange<H: Handler>(
    stream: &Stream,
    limits: &Limits,
    wait: Duration,
    handler: &H,
) -> Step {
    if !first_byte(stream.socket(), wait).await {
        return Step::End(End::Closed);
    }
    stream.allow(HEAD_BYTES);
    // Boxed, here and below, so that a connection does not hold the memory of
    // every stage at once.
    let decoded = within(limits.header, Box::pin(decode(stream.clone()))).await;
    let (request, mut rest) = match decoded {
        Some(Ok(Some(pair))) => pair,
        Some(Ok(None)) => return Step::End(End::Closed),
        Some(Err(error)) => {
            return Box::pin(refuse(stream, limits, head_fault(stream, &error))).await
        }
        None => {
            let slow = Fault::new(Kind::TooSlow, "the head did not arrive in time");
            return Box::pin(refuse(stream, limits, slow)).await;
        }
    };
    stream.allow(UNBOUNDED);
    if let Err(fault) = check_length(&request, limits.body) {
        return Box::pin(refuse(stream, limits, fault)).await;
    }
    let method = request.method();
    let asked_close = wants_close(&request);
    let handling = Box::pin(handler.handle(request));
    let answered = async { Some(handling.await) }
        .or(async {
            caller_left(stream.socket()).await;
            None
        })
        .await;
    let Some(mut reply) = answered else {
        return Step::End(End::Left);
    };
    let close = asked_close || handler.closing();
    if close {
        reply.response.insert_header(CONNECTION, "close");
    }
    let written = Box::pin(write(stream, limits, method, reply)).await;
    if let Err(end) = written {
        return Step::End(end);
    }
    if close || !Box::pin(skip(&mut rest)).await {
        return Step::End(End::Finished);
    }
    Step::Next
}

/// Waits for the first byte of a request without taking it.
async fn first_byte(socket: &TcpStream, wait: Duration) -> bool {
    let peeked = within(wait, socket.peek(&mut [0])).await;
    matches!(peeked, Some(Ok(1)))
}

fn head_fault(stream: &Stream, error: &http_types::Error) -> Fault {
    if stream.spent() || error.to_string().contains("less than 8kb") {
        return Fault::new(Kind::TooLarge, "the head is over 8 KiB");
    }
    Fault::new(
        Kind::BadRequest,
        format!("not an HTTP/1.1 request: {error}"),
    )
}

/// `async-h1` takes the last of several lengths; two that differ are an
/// attempt to smuggle a request past somebody.
fn check_length(request: &Request, most: u64) -> Result<(), Fault> {
    let Some(values) = request.header(CONTENT_LENGTH) else {
        return Ok(());
    };
    let first = values.iter().next().map(|value| value.as_str());
    if values.iter().any(|value| Some(value.as_str()) != first) {
        let detail = "two Content-Length headers that differ";
        return Err(Fault::new(Kind::BadRequest, detail));
    }
    let length = first.and_then(|text| text.trim().parse::<u64>().ok());
    match length {
        None => Err(Fault::new(Kind::BadRequest, "Content-Length is no number")),
        Some(length) if length > most => {
            let detail = format!("a body of {length} bytes; at most {most} are taken");
            Err(Fault::new(Kind::TooLarge, detail))
        }
        Some(_) => Ok(()),
    }
}

fn wants_close(request: &Request) -> bool {
    let connection = request.header(CONNECTION);
    connection.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

async fn refuse(stream: &Stream, limits: &Limits, fault: Fault) -> Step {
    let mut reply = Reply::fault(&fault);
    reply.response.insert_header(CONNECTION, "close");
    stream.allow(UNBOUNDED);
    let _ = write(stream, limits, Method::Get, reply).await;
    // A close with unread input resets the connection and can destroy the
    // answer on its way, so some of the input is taken first.
    let _ = stream.socket().shutdown(std::net::Shutdown::Write);
    let mut socket = stream.socket().clone();
    let mut scrap = [0; COPY_BYTES];
    let drain = async {
        let mut taken = 0;
        while let Ok(read) = socket.read(&mut scrap).await {
            taken += read as u64;
            if read == 0 || taken > SKIP_BYTES {
                break;
            }
        }
    };
    within(Duration::from_millis(200), drain).await;
    Step::End(End::Refused)
}

async fn write(stream: &Stream, limits: &Limits, method: Method, reply: Reply) -> Result<(), End> {
    let encoder = Encoder::new(reply.response, method);
    let copied = copy(encoder, stream, limits.stall);
    match reply.pump {
        None => copied.await,
        Some(pump) => {
            let both = async { future::zip(copied, pump).await.0 };
            let left = async {
                caller_left(stream.socket()).await;
                Err(End::Left)
            };
            both.or(left).await
        }
    }
}

async fn copy(mut encoder: Encoder, stream: &Stream, stall: Duration) -> Result<(), End> {
    let mut socket = stream.socket().clone();
    let mut buffer = [0; COPY_BYTES];
    loop {
        let read = encoder.read(&mut buffer).await.map_err(|_| End::Left)?;
        if read == 0 {
            return Ok(());
        }
        match within_stalled(stall, socket.write_all(&buffer[..read])).await {
            Some(Ok(())) => {}
            Some(Err(_)) => return Err(End::Left),
            None => return Err(End::Slow),
        }
    }
}

/// Resolves when the caller has closed its side. Bytes that wait in the socket
/// (a body not yet read, the next request) hide the close, so it looks again.
async fn caller_left(socket: &TcpStream) {
    while let Ok(1..) = socket.peek(&mut [0]).await {
        Timer::after(LOOK_AGAIN).await;
    }
}

/// Skips what the handler left unread of a body, up to a bound.
async fn skip<R: futures_lite::AsyncRead + Unpin>(rest: &mut R) -> bool {
    let mut buffer = [0; COPY_BYTES];
    let mut skipped = 0;
    loop {
        let read = within(Duration::from_secs(1), rest.read(&mut buffer)).await;
        match read {
            Some(Ok(0)) => return true,
            Some(Ok(read)) => skipped += read as u64,
            Some(Err(_)) | None => return false,
        }
        if skipped > SKIP_BYTES {
            return false;
        }
    }
}

/// The result of `work`, or `None` when `limit` has passed.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::after(limit).await;
        None
    };
    async { Some(work.await) }.or(timer).await
}

/// Like [`within`], but arms no timer for work that is ready at once, which
/// almost every write of a token is.
async fn within_stalled<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let mut work = std::pin::pin!(work);
    match future::poll_once(work.as_mut()).await {
        Some(done) => Some(done),
        None => within(limit, work).await,
    }
}
