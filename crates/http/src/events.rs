//! Server-sent events: reading through `async-sse`, writing through a bounded
//! pipe whose other end is a response body.

use std::io;

use async_sse::{Decoder, Event};
use futures_lite::io::{AsyncBufRead, AsyncWriteExt, BufReader};
use futures_lite::StreamExt;
use http_types::{Body, Response};
use piper::Writer;

/// Bytes that a stream may hold for a slow reader before its source waits.
const PIPE_BYTES: usize = 4 << 10;
/// The encoder reads more than this at once, and so past this buffer.
const UNUSED_BYTES: usize = 64;

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
    decoder: Decoder<R>,
}

impl<R: AsyncBufRead + Unpin> Reader<R> {
    /// A reader of the events in `body`.
    pub fn new(body: R) -> Self {
        Self {
            decoder: async_sse::decode(body),
        }
    }

    /// The next event, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// The body broke off or an event is not UTF-8.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        loop {
            let Some(event) = self.decoder.next().await else {
                return Ok(None);
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
