//! Bodies, read by their own length.

use std::io;

use httparse::Status;

use crate::conn::Conn;
use crate::head::{Answer, Head, Malformed};

/// Longest line of a chunk's size, with its extensions, and of a trailer, in
/// bytes.
const LINE_BYTES: usize = 4 << 10;
/// Largest trailers of a body, in bytes without line ends.
const TRAILER_BYTES: usize = 16 << 10;
/// Bytes of a line within which a chunk's size ends.
const SIZE_BYTES_MAX: usize = 32;
/// Most bytes of the lines between chunks, beside those of [`LINE_RATIO_MAX`].
const LINES_BYTES_MAX: u64 = 64 << 10;
/// Most bytes of the lines between chunks for each byte of the body. A chunk of one byte
/// needs five.
const LINE_RATIO_MAX: u64 = 16;

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// After so many bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// The framing of a request's body.
    ///
    /// # Errors
    ///
    /// Its end is given in two ways, or in one that is unknown.
    pub fn of_request(head: &Head) -> Result<Self, Malformed> {
        Ok(told(head)?.unwrap_or(Framing::Empty))
    }

    /// The framing of an answer's body.
    ///
    /// # Errors
    ///
    /// Its end is given in two ways, or in one that is unknown.
    pub fn of_answer(head: &Head<Answer>, method: &str) -> Result<Self, Malformed> {
        let bodiless = matches!(head.status().code(), 204 | 304);
        if bodiless || method == "HEAD" {
            return Ok(Framing::Empty);
        }
        Ok(told(head)?.unwrap_or(Framing::UntilClose))
    }
}

fn told<L>(head: &Head<L>) -> Result<Option<Framing>, Malformed> {
    let mut chunked = false;
    let mut length = None;
    for field in head.fields() {
        if field.is("transfer-encoding") {
            if chunked || !field.text().eq_ignore_ascii_case("chunked") {
                return Err(Malformed::Framing("a transfer encoding other than chunked"));
            }
            chunked = true;
        } else if field.is("content-length") {
            let digits = !field.value.is_empty() && field.value.iter().all(u8::is_ascii_digit);
            let told = field.text().parse::<u64>().ok().filter(|_| digits);
            let told = told.ok_or(Malformed::Framing("Content-Length is no number"))?;
            if length.is_some_and(|earlier| earlier != told) {
                return Err(Malformed::Framing("two Content-Length fields that differ"));
            }
            length = Some(told);
        }
    }
    match (chunked, length) {
        (true, Some(_)) => Err(Malformed::Framing("both chunked and Content-Length")),
        (true, None) => Ok(Some(Framing::Chunked)),
        (false, length) => Ok(length.map(Framing::Length)),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Body bytes, then the end.
    Sized(u64),
    /// The line that gives a chunk's size.
    ChunkSize,
    /// Bytes of a chunk.
    ChunkData(u64),
    /// The line end after a chunk's bytes.
    ChunkEnd,
    /// Lines after the last chunk, of so many bytes so far.
    Trailer(usize),
    /// Everything up to the end of the connection.
    UntilClose,
    /// The body is whole.
    Done,
}

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum Unread {
    /// It broke off or its chunks are malformed.
    #[error(transparent)]
    Broken(io::Error),
    /// It is over so many bytes.
    #[error("the body is over {0} bytes")]
    TooLong(usize),
}

impl From<Unread> for io::Error {
    fn from(unread: Unread) -> Self {
        match unread {
            Unread::Broken(error) => error,
            Unread::TooLong(_) => io::Error::other(unread.to_string()),
        }
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct Body {
    step: Step,
    /// Bytes of an unfinished line that were searched for its end.
    searched: usize,
    /// Bytes of the body so far.
    bytes: u64,
    /// Bytes of the lines between chunks so far.
    line_bytes: u64,
}

impl Body {
    /// A body of this framing, about to be read.
    pub fn new(framing: Framing) -> Self {
        let step = match framing {
            Framing::Empty | Framing::Length(0) => Step::Done,
            Framing::Length(length) => Step::Sized(length),
            Framing::Chunked => Step::ChunkSize,
            Framing::UntilClose => Step::UntilClose,
        };
        Self {
            step,
            searched: 0,
            bytes: 0,
            line_bytes: 0,
        }
    }

    /// Whether the whole body has been read.
    pub fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// Waits for more of the body and appends it to `out`; `false` once the
    /// body is whole. Cancelling it loses nothing.
    ///
    /// # Errors
    ///
    /// The body broke off or its chunks are malformed.
    pub async fn read(&mut self, conn: &mut Conn, out: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            if self.step == Step::Done {
                return Ok(false);
            }
            if self.take(conn, out)? {
                return Ok(true);
            }
            if self.step == Step::Done {
                return Ok(false);
            }
            if conn.fill().await? == 0 {
                if self.step == Step::UntilClose {
                    self.step = Step::Done;
                    return Ok(false);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads what is left of the body, which may be `most` bytes, and appends it
    /// to `out`; drops it where there is no `out`.
    ///
    /// # Errors
    ///
    /// See [`Unread`].
    pub async fn rest(
        &mut self,
        conn: &mut Conn,
        mut out: Option<&mut Vec<u8>>,
        most: usize,
    ) -> Result<(), Unread> {
        let mut scrap = Vec::new();
        let mut length = 0;
        loop {
            scrap.clear();
            let to = out.as_deref_mut().unwrap_or(&mut scrap);
            let before = to.len();
            if !self.read(conn, to).await.map_err(Unread::Broken)? {
                return Ok(());
            }
            length += to.len() - before;
            if length > most {
                return Err(Unread::TooLong(most));
            }
        }
    }

    /// Takes what is pending; whether body bytes were among it.
    fn take(&mut self, conn: &mut Conn, out: &mut Vec<u8>) -> io::Result<bool> {
        let before = out.len();
        while let Some(next) = self.advance(conn, out)? {
            self.step = next;
        }
        Ok(out.len() > before)
    }

    /// Takes what the current step wants of what is pending; the step that follows, or
    /// `None` when this one wants more or nothing follows.
    fn advance(&mut self, conn: &mut Conn, out: &mut Vec<u8>) -> io::Result<Option<Step>> {
        Ok(match self.step {
            Step::Done => None,
            Step::UntilClose => {
                let all = conn.pending().len();
                out.extend_from_slice(conn.pending());
                conn.skip(all);
                None
            }
            Step::Sized(left) => self.move_bytes(conn, out, left, Step::Sized, Step::Done),
            Step::ChunkData(left) => {
                self.move_bytes(conn, out, left, Step::ChunkData, Step::ChunkEnd)
            }
            Step::ChunkEnd => match self.take_line(conn)? {
                Some(0) => Some(Step::ChunkSize),
                Some(_) => return Err(malformed("bytes after a chunk")),
                None => None,
            },
            Step::ChunkSize => self.chunk_size(conn)?.map(|size| match size {
                0 => Step::Trailer(0),
                size => Step::ChunkData(size),
            }),
            Step::Trailer(before) => match self.take_line(conn)? {
                Some(0) => Some(Step::Done),
                Some(length) if before + length > TRAILER_BYTES => {
                    return Err(malformed("the trailers do not end"))
                }
                Some(length) => Some(Step::Trailer(before + length)),
                None => None,
            },
        })
    }

    /// Moves up to `left` pending bytes to `out`; the step that follows once all are moved.
    fn move_bytes(
        &mut self,
        conn: &mut Conn,
        out: &mut Vec<u8>,
        left: u64,
        same: fn(u64) -> Step,
        next: Step,
    ) -> Option<Step> {
        let available = conn.pending().len();
        let moved = usize::try_from(left).map_or(available, |left| left.min(available));
        out.extend_from_slice(&conn.pending()[..moved]);
        conn.skip(moved);
        self.bytes += moved as u64;
        self.step = same(left - moved as u64);
        (moved as u64 == left).then_some(next)
    }

    /// Takes the line of a chunk's size.
    fn chunk_size(&mut self, conn: &mut Conn) -> io::Result<Option<u64>> {
        let line = self.line(conn)?;
        let pending = conn.pending();
        // What has arrived of a line shows early that it is no size.
        let shown = line.unwrap_or(pending.len().min(SIZE_BYTES_MAX));
        match httparse::parse_chunk_size(&pending[..shown]) {
            Ok(Status::Complete((used, size))) => {
                self.skip_line(conn, used)?;
                Ok(Some(size))
            }
            Ok(Status::Partial) if line.is_none() => Ok(None),
            Ok(Status::Partial) | Err(_) => Err(malformed("a chunk's size is no number")),
        }
    }

    /// Takes a line; returns its length without the line end.
    fn take_line(&mut self, conn: &mut Conn) -> io::Result<Option<usize>> {
        let Some(line) = self.line(conn)? else {
            return Ok(None);
        };
        let text = &conn.pending()[..line - 1];
        let length = text.strip_suffix(b"\r").unwrap_or(text).len();
        self.skip_line(conn, line)?;
        Ok(Some(length))
    }

    /// The length of the pending line, with its end; `None` if it has not arrived. Each byte
    /// is searched once.
    fn line(&mut self, conn: &Conn) -> io::Result<Option<usize>> {
        let pending = conn.pending();
        let end = pending[self.searched..].iter().position(|it| *it == b'\n');
        let length = end.map(|end| self.searched + end + 1);
        self.searched = match length {
            Some(_) => 0,
            None => pending.len(),
        };
        if length.unwrap_or(pending.len()) > LINE_BYTES {
            return Err(malformed("a line between chunks does not end"));
        }
        Ok(length)
    }

    fn skip_line(&mut self, conn: &mut Conn, length: usize) -> io::Result<()> {
        conn.skip(length);
        self.line_bytes += length as u64;
        let most = LINES_BYTES_MAX.saturating_add(self.bytes.saturating_mul(LINE_RATIO_MAX));
        if self.line_bytes > most {
            return Err(malformed("the lines between chunks are too long"));
        }
        Ok(())
    }
}

fn malformed(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}
