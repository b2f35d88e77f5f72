//! A client with kept-alive connections, one pool per process.
//!
//! A failed call says whether the request can have reached the server: a
//! connection that could not be opened proves that it did not.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use async_h1::client::{decode, Encoder};
use futures_lite::io::{AsyncBufRead, AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader, Cursor};
use http_types::headers::{
    HeaderValue, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING,
};
use http_types::{Body, Method, Request, Response, Url};
use smol::net::TcpStream;
use tidepier_clock::Instant;

use crate::dial::{self, Dial};
use crate::metered::Stream;
use crate::server::within;

/// Idle connections kept for one address.
const IDLE_PER_ADDRESS: usize = 64;
/// Time after which an idle connection is not used again. Shorter than the
/// idle limit of our own servers, so that a reused connection is seldom stale.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 8 << 10;
/// Most bytes that are read at once for a part of a body. The library goes on reading where
/// there is no part in them, without letting other tasks run.
const POLL_BYTES: u64 = 64 << 10;
/// Time to open a connection.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// Why a call failed, by what the server can have seen of it.
#[derive(Debug)]
pub enum Failure {
    /// No connection: the server saw nothing.
    Unsent(io::Error),
    /// The request was sent at least in part; what became of it is unknown.
    Unknown(io::Error),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Unsent(error) => write!(f, "not sent: {error}"),
            Failure::Unknown(error) => write!(f, "no answer: {error}"),
        }
    }
}

impl std::error::Error for Failure {}

struct Idle {
    socket: TcpStream,
    since: Instant,
}

/// Kept-alive connections by address.
#[derive(Clone)]
pub struct Pool {
    dial: Arc<dyn Dial>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::over(dial::direct())
    }
}

/// Whether a request may be sent a second time on a fresh connection when a
/// kept-alive one turns out to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may: running it twice is harmless.
    Allowed,
    /// It may not: a fresh connection is used from the start.
    Never,
}

/// What is sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Extra headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body, JSON unless a header says otherwise.
    pub body: Option<Arc<[u8]>>,
    /// Whether it may be sent twice.
    pub repeat: Repeat,
    /// What control traffic it is, if it is any: its bytes and those of its
    /// answer are counted under this purpose.
    pub purpose: Option<&'static str>,
}

impl Call {
    /// A `GET` of `path`.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::Get,
            path: path.into(),
            headers: Vec::new(),
            body: None,
            repeat: Repeat::Allowed,
            purpose: None,
        }
    }

    /// A `POST` of a JSON body.
    pub fn post(path: impl Into<String>, body: impl Into<Arc<[u8]>>) -> Self {
        Self {
            method: Method::Post,
            path: path.into(),
            headers: Vec::new(),
            body: Some(body.into()),
            repeat: Repeat::Allowed,
            purpose: None,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Forbids a second sending.
    #[must_use]
    pub fn once(mut self) -> Self {
        self.repeat = Repeat::Never;
        self
    }

    /// Counts it as control traffic.
    #[must_use]
    pub fn counted(mut self, purpose: &'static str) -> Self {
        self.purpose = Some(purpose);
        self
    }

    fn request(&self, address: SocketAddr) -> Result<Request, Failure> {
        let url = Url::parse(&format!("http://{address}{}", self.path));
        let url = url.map_err(|error| Failure::Unsent(io::Error::other(error)))?;
        let mut request = Request::new(self.method, url);
        if let Some(body) = &self.body {
            request.set_body(Body::from_bytes(body.to_vec()));
            request.insert_header(CONTENT_TYPE, "application/json");
        }
        for (name, value) in &self.headers {
            request.insert_header(*name, value);
        }
        Ok(request)
    }
}

impl Pool {
    /// An empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty pool over a network.
    pub fn over(dial: Arc<dyn Dial>) -> Self {
        Self {
            dial,
            idle: Arc::default(),
        }
    }

    /// Sends a call and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// A [`Failure`] that tells whether the server can have seen the call.
    pub async fn send(&self, address: SocketAddr, call: &Call) -> Result<Answer, Failure> {
        if call.repeat == Repeat::Allowed {
            if let Some(socket) = self.take(address) {
                if let Ok(answer) = self.on(address, socket, call).await {
                    return Ok(answer);
                }
            }
        }
        let socket = self.connect(address).await.map_err(Failure::Unsent)?;
        self.on(address, socket, call).await
    }

    /// Sends a call and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`]; an answer over `most` bytes or a cut one is
    /// [`Failure::Unknown`], and so is a passed limit.
    pub async fn whole(
        &self,
        address: SocketAddr,
        call: &Call,
        most: u64,
        limit: Duration,
    ) -> Result<Whole, Failure> {
        let work = async {
            let answer = self.send(address, call).await?;
            answer.whole(most).await
        };
        let late = || Failure::Unknown(io::ErrorKind::TimedOut.into());
        within(limit, work).await.unwrap_or_else(|| Err(late()))
    }

    async fn on(
        &self,
        address: SocketAddr,
        socket: TcpStream,
        call: &Call,
    ) -> Result<Answer, Failure> {
        let request = call.request(address)?;
        let begun = Box::pin(exchange(socket.clone(), request)).await;
        let Begun {
            response,
            body,
            ends_with_connection,
            sent,
            stream,
        } = begun.map_err(Failure::Unknown)?;
        if let Some(purpose) = call.purpose {
            count(purpose, sent + head_bytes(&response));
        }
        let length = declared(&response);
        let stays = !ends_with_connection && !closes(&response);
        let home = stays.then(|| Home {
            address,
            socket,
            pool: self.clone(),
        });
        Ok(Answer {
            response,
            body: Counted {
                body,
                length,
                read: 0,
                stream,
                purpose: call.purpose,
                home,
            },
        })
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let opened = within(CONNECT_TIME, self.dial.dial(address)).await;
        let socket = opened.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        socket.set_nodelay(true)?;
        Ok(socket)
    }

    fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut pools = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let list = pools.get_mut(&address)?;
        while let Some(idle) = list.pop() {
            if idle.since.elapsed() < IDLE_TIME {
                return Some(idle.socket);
            }
        }
        pools.remove(&address);
        None
    }

    fn put(&self, address: SocketAddr, socket: TcpStream) {
        let mut pools = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let list = pools.entry(address).or_default();
        if list.len() < IDLE_PER_ADDRESS {
            list.push(Idle {
                socket,
                since: Instant::now(),
            });
        }
    }
}

fn count(purpose: &'static str, bytes: u64) {
    metrics::counter!("tidepier_control_bytes_total", "purpose" => purpose).increment(bytes);
}

/// Bytes of a response's head, which the library does not tell.
fn head_bytes(response: &Response) -> u64 {
    const STATUS_LINE: usize = 17;
    const SEPARATORS: usize = 4;
    let lines = response.iter().map(|(name, values)| {
        let value = |value: &HeaderValue| name.as_str().len() + value.as_str().len() + SEPARATORS;
        values.iter().map(value).sum::<usize>()
    });
    (STATUS_LINE + lines.sum::<usize>()) as u64
}

/// An answer of which the head was read.
struct Begun {
    response: Response,
    body: Body,
    /// Whether only the end of the connection marks that of the body.
    ends_with_connection: bool,
    /// Bytes of the request.
    sent: u64,
    /// What the body is read from.
    stream: Stream,
}

/// Sends a request and reads the head of its answer.
async fn exchange(mut socket: TcpStream, request: Request) -> io::Result<Begun> {
    let method = request.method();
    let mut encoder = Encoder::new(request);
    let mut sent = 0;
    let mut buffer = vec![0; 16 << 10];
    loop {
        // Head and body go out in one write where they fit.
        let mut filled = 0;
        while filled < buffer.len() {
            let read = encoder.read(&mut buffer[filled..]).await?;
            if read == 0 {
                break;
            }
            filled += read;
        }
        if filled == 0 {
            break;
        }
        socket.write_all(&buffer[..filled]).await?;
        sent += filled as u64;
    }
    let (head, rest) = read_head(&mut socket).await?;
    let stream = Stream::new(socket);
    let unread = Cursor::new(rest.clone()).chain(stream.clone());
    let answer = Cursor::new(head).chain(unread);
    let mut response = decode(answer).await.map_err(io::Error::other)?;
    let mut body = response.take_body();
    let ends_with_connection = ends_with_connection(method, &response)?;
    if ends_with_connection {
        // The library takes such a body for an empty one, and has read no more than the head.
        let unread = Cursor::new(rest).chain(stream.clone());
        body = Body::from_reader(BufReader::new(unread), None);
    }
    Ok(Begun {
        response,
        body,
        ends_with_connection,
        sent,
        stream,
    })
}

/// Whether only the end of the connection marks that of an answer's body.
fn ends_with_connection(method: Method, response: &Response) -> io::Result<bool> {
    let status = u16::from(response.status());
    if method == Method::Head || matches!(status, 100..=199 | 204 | 304) {
        return Ok(false);
    }
    let Some(codings) = response.header(TRANSFER_ENCODING) else {
        return Ok(response.header(CONTENT_LENGTH).is_none());
    };
    // The library reads chunks only if they are named in lower case.
    match codings.iter().map(HeaderValue::as_str).eq(["chunked"]) {
        true => Ok(false),
        false => malformed("a transfer encoding other than chunked"),
    }
}

fn malformed<T>(why: &'static str) -> io::Result<T> {
    Err(io::Error::new(io::ErrorKind::InvalidData, why))
}

/// Reads until the end of the head of an answer, which the library would do without a bound
/// on a line, and checks that it is ASCII, as the library panics at other values. Returns
/// the head, and what was read of the body.
async fn read_head(socket: &mut TcpStream) -> io::Result<(Vec<u8>, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut part = [0; 2 << 10];
    loop {
        let searched = bytes.len();
        match socket.read(&mut part).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => bytes.extend_from_slice(&part[..read]),
        }
        match end_of_head(&bytes, searched) {
            Some(end) if bytes[..end].is_ascii() => {
                let rest = bytes.split_off(end);
                return Ok((bytes, rest));
            }
            Some(_) => return malformed("a head that is not ASCII"),
            None if bytes.len() > HEAD_BYTES => return malformed("the head does not end"),
            None => {}
        }
    }
}

/// The index after the head's last line, at `from` or later, as the library finds it.
fn end_of_head(bytes: &[u8], from: usize) -> Option<usize> {
    let ends = |at: &usize| {
        let head = &bytes[..*at];
        head.ends_with(b"\r\n\r\n") || head.ends_with(b"\n\n")
    };
    (from + 1..=bytes.len()).find(ends)
}

fn declared(response: &Response) -> Option<u64> {
    let header = response.header(CONTENT_LENGTH)?;
    header.last().as_str().parse().ok()
}

fn closes(response: &Response) -> bool {
    let connection = response.header(CONNECTION);
    connection.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

struct Home {
    address: SocketAddr,
    socket: TcpStream,
    pool: Pool,
}

/// A response body that fails when it ends before its declared length, and
/// gives its connection back when it ends whole.
pub struct Counted {
    body: Body,
    length: Option<u64>,
    read: u64,
    stream: Stream,
    purpose: Option<&'static str>,
    home: Option<Home>,
}

impl Counted {
    fn ended(&mut self) -> io::Result<()> {
        if let Some(purpose) = self.purpose.take() {
            count(purpose, self.read);
        }
        if self.length.is_some_and(|length| length != self.read) {
            self.home = None;
            let cut = io::Error::new(io::ErrorKind::UnexpectedEof, "the body was cut short");
            return Err(cut);
        }
        if let Some(home) = self.home.take() {
            home.pool.put(home.address, home.socket);
        }
        Ok(())
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.stream.allow(POLL_BYTES);
        let polled = Pin::new(&mut self.body).poll_read(cx, buf);
        match polled {
            Poll::Ready(Ok(0)) if !buf.is_empty() => Poll::Ready(self.ended().map(|()| 0)),
            Poll::Ready(Ok(read)) => {
                self.read += read as u64;
                Poll::Ready(Ok(read))
            }
            other => other,
        }
    }
}

impl AsyncBufRead for Counted {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        this.stream.allow(POLL_BYTES);
        let empty = match Pin::new(&mut this.body).poll_fill_buf(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Ready(Ok(filled)) => filled.is_empty(),
        };
        if empty {
            return Poll::Ready(this.ended().map(|()| &[][..]));
        }
        // Asked again, as the borrow above must end before `ended` can run.
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.read += amount as u64;
        Pin::new(&mut self.body).consume(amount);
    }
}

/// The head of an answer and its unread body.
pub struct Answer {
    response: Response,
    body: Counted,
}

/// A whole answer.
#[derive(Debug)]
pub struct Whole {
    /// HTTP status code.
    pub status: u16,
    /// The body.
    pub bytes: Vec<u8>,
    head: Response,
}

impl Whole {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }
}

impl Answer {
    /// HTTP status code.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// The body.
    pub fn reader(self) -> impl AsyncBufRead + Send + Unpin {
        self.body
    }

    /// Reads the rest of the answer.
    ///
    /// # Errors
    ///
    /// [`Failure::Unknown`] when the body is cut short or over `most` bytes.
    pub async fn whole(self, most: u64) -> Result<Whole, Failure> {
        let status = self.status();
        let mut bytes = Vec::new();
        let mut body = self.body;
        let mut part = vec![0; 16 << 10];
        loop {
            let read = body.read(&mut part).await.map_err(Failure::Unknown)?;
            if read == 0 {
                break;
            }
            bytes.extend_from_slice(&part[..read]);
            if bytes.len() as u64 > most {
                let error = io::Error::new(io::ErrorKind::InvalidData, "the answer is too large");
                return Err(Failure::Unknown(error));
            }
        }
        Ok(Whole {
            status,
            bytes,
            head: self.response,
        })
    }
}
