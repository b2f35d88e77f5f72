//! Server-sent events: reading through `async-sse`, writing through a bounded
//! pipe whose other end is a response body.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use async_sse::{Decoder, Event};
use futures_lite::io::{AsyncBufRead, AsyncRead, AsyncWriteExt, BufReader};
use futures_lite::{ready, StreamExt};
use http_types::{Body, Response};
use piper::Writer;

/// Bytes that a stream may hold for a slow reader before its source waits.
const PIPE_BYTES: usize = 4 << 10;
/// The encoder reads more than this at once, and so past this buffer.
const UNUSED_BYTES: usize = 64;

/// Largest event, in bytes, with all lines that come before it.
const EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The event's id, empty if none was sent.
    pub id: String,
    /// The data, one string.
    pub data: String,
}

/// Reads events from a response body.
pub struct Reader<R: AsyncBufRead + Unpin> {
    decoder: Decoder<Bounded<R>>,
    budget: Arc<Mutex<Budget>>,
}

impl<R: AsyncBufRead + Unpin> Reader<R> {
    /// A reader of the events in `body`.
    pub fn new(body: R) -> Self {
        let budget = Arc::<Mutex<Budget>>::default();
        let body = Bounded {
            inner: body,
            budget: budget.clone(),
        };
        Self {
            decoder: async_sse::decode(body),
            budget,
        }
    }

    /// The next event, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// The body broke off, or an event is not UTF-8 or does not end.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        lock(&self.budget).left = EVENT_BYTES;
        loop {
            let Some(event) = self.decoder.next().await else {
                let error = lock(&self.budget).error.take();
                return error.map_or(Ok(None), Err);
            };
            match event.map_err(io::Error::other)? {
                Event::Retry(_) => {}
                Event::Message(message) => {
                    let id = message.id().clone().unwrap_or_default();
                    let data = String::from_utf8(message.into_bytes()).map_err(io::Error::other)?;
                    return Ok(Some(Frame { id, data }));
                }
            }
        }
    }
}

/// What may still be read of a body, and why it ended.
#[derive(Default)]
struct Budget {
    left: usize,
    error: Option<io::Error>,
}

fn lock(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(|error| error.into_inner())
}

/// A body that ends once its budget is spent. An error of the body is an end, too, as the
/// decoder must not see one within a line; it is in the budget.
struct Bounded<R> {
    inner: R,
    budget: Arc<Mutex<Budget>>,
}

impl<R: AsyncBufRead + Unpin> AsyncBufRead for Bounded<R> {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let mut budget = lock(&this.budget);
        if budget.left == 0 && budget.error.is_none() {
            let endless = io::Error::new(io::ErrorKind::InvalidData, "an event does not end");
            budget.error = Some(endless);
        }
        if budget.error.is_some() {
            return Poll::Ready(Ok(&[]));
        }
        Poll::Ready(match ready!(Pin::new(&mut this.inner).poll_fill_buf(cx)) {
            Ok(bytes) => Ok(&bytes[..bytes.len().min(budget.left)]),
            Err(error) => {
                budget.error = Some(error);
                Ok(&[])
            }
        })
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        lock(&self.budget).left -= amount;
        Pin::new(&mut self.inner).consume(amount);
    }
}

impl<R: AsyncBufRead + Unpin> AsyncRead for Bounded<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = bytes.len().min(buf.len());
        buf[..count].copy_from_slice(&bytes[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

/// Writes events into a response body.
pub struct Sender {
    pipe: Writer,
    line: Vec<u8>,
}

/// A streamed response and the sender of its events.
pub fn response() -> (Response, Sender) {
    let (reader, pipe) = piper::pipe(PIPE_BYTES);
    let mut response = Response::new(200);
    response.set_body(Body::from_reader(
        BufReader::with_capacity(UNUSED_BYTES, reader),
        None,
    ));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-store");
    let line = Vec::with_capacity(256);
    (response, Sender { pipe, line })
}

impl Sender {
    /// Sends one event; `id` may be empty.
    ///
    /// # Errors
    ///
    /// The reader is gone.
    pub async fn send(&mut self, id: &str, data: &str) -> io::Result<()> {
        self.line.clear();
        if !id.is_empty() {
            self.line.extend_from_slice(b"id: ");
            self.line.extend_from_slice(id.as_bytes());
            self.line.push(b'\n');
        }
        for part in data.split('\n') {
            self.line.extend_from_slice(b"data: ");
            self.line.extend_from_slice(part.as_bytes());
            self.line.push(b'\n');
        }
        self.line.push(b'\n');
        self.pipe.write_all(&self.line).await
    }
}
