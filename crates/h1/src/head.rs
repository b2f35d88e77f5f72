//! Heads of requests and answers, kept as the bytes that were sent.

use std::fmt;
use std::io;
use std::ops::Range;
use std::time::Duration;

use httparse::EMPTY_HEADER;

/// Most fields in one head.
const FIELDS_MAX: usize = 64;

/// Fields that concern one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a head could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// Not HTTP/1.1.
    #[error("not HTTP/1.1: {0}")]
    Syntax(httparse::Error),
    /// Over the limit.
    #[error("the head is too large")]
    TooLarge,
    /// The connection ended inside the head.
    #[error("the connection ended inside a head")]
    BrokenOff,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Lost(io::Error),
    /// The body's end is given in two ways, or in one that is unknown.
    #[error("{0}")]
    Framing(&'static str),
    /// The number in place of the status is none.
    #[error("{0:03} is not a status")]
    Status(u16),
    /// The connection was to speak another protocol, which nobody had asked for.
    #[error("the protocol was switched")]
    Switched,
    /// Too many interim answers came before the answer.
    #[error("too many interim answers")]
    Interim,
}

/// The first line of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    method: Box<str>,
    target: Box<str>,
}

/// The first line of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    status: Status,
}

/// The status of an answer, which has a class from 1 to 5.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status(u16);

impl Status {
    fn new(code: u16) -> Result<Self, Malformed> {
        match code {
            100..=599 => Ok(Self(code)),
            _ => Err(Malformed::Status(code)),
        }
    }

    /// Its code.
    pub fn code(self) -> u16 {
        self.0
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One field of a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Field<'a> {
    /// Its name, in the sender's case.
    pub name: &'a str,
    /// Its value.
    pub value: &'a [u8],
}

impl<'a> Field<'a> {
    /// Whether the field has this name, in any case.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }

    /// The value as text; empty if it is not UTF-8, which no field that is
    /// read here may be.
    pub fn text(&self) -> &'a str {
        std::str::from_utf8(self.value).unwrap_or("").trim()
    }
}

/// The head of a request or an answer.
#[derive(Debug, Clone)]
pub struct Head<L = Request> {
    line: L,
    /// Minor version of HTTP/1.
    minor: u8,
    bytes: Vec<u8>,
    fields: Vec<(Range<u32>, Range<u32>)>,
}

impl Head<Request> {
    /// Parses the whole head of a request.
    pub(crate) fn parse(bytes: Vec<u8>) -> Result<Self, Malformed> {
        let mut headers = [EMPTY_HEADER; FIELDS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(&bytes).map_err(Malformed::Syntax)?;
        let (httparse::Status::Complete(_), Some(method), Some(target)) =
            (status, request.method, request.path)
        else {
            return Err(Malformed::BrokenOff);
        };
        let line = Request {
            method: method.into(),
            target: target.into(),
        };
        let minor = request.version.unwrap_or(1);
        let fields = ranges(&bytes, request.headers);
        Ok(Self {
            line,
            minor,
            bytes,
            fields,
        })
    }

    /// The method.
    pub fn method(&self) -> &str {
        &self.line.method
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        &self.line.target
    }
}

impl Head<Answer> {
    /// Parses the whole head of an answer.
    pub(crate) fn parse(bytes: Vec<u8>) -> Result<Self, Malformed> {
        // The parser skips empty lines, which may come before a request only.
        if !bytes.starts_with(b"HTTP/") {
            return Err(Malformed::Syntax(httparse::Error::Version));
        }
        let mut headers = [EMPTY_HEADER; FIELDS_MAX];
        let mut answer = httparse::Response::new(&mut headers);
        let status = answer.parse(&bytes).map_err(Malformed::Syntax)?;
        let (httparse::Status::Complete(_), Some(code)) = (status, answer.code) else {
            return Err(Malformed::BrokenOff);
        };
        let line = Answer {
            status: Status::new(code)?,
        };
        let minor = answer.version.unwrap_or(1);
        let fields = ranges(&bytes, answer.headers);
        Ok(Self {
            line,
            minor,
            bytes,
            fields,
        })
    }

    /// The status.
    pub fn status(&self) -> Status {
        self.line.status
    }
}

impl<L> Head<L> {
    /// Bytes of the head as sent.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// All fields in order.
    pub fn fields(&self) -> impl Iterator<Item = Field<'_>> {
        self.fields.iter().map(|(name, value)| Field {
            name: std::str::from_utf8(&self.bytes[range(name)]).unwrap_or(""),
            value: &self.bytes[range(value)],
        })
    }

    /// The first field of a name.
    pub fn field(&self, name: &str) -> Option<Field<'_>> {
        self.fields().find(|field| field.is(name))
    }

    /// The text of the first field of a name.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.field(name).map(|field| field.text())
    }

    /// The fields that go on to the next hop: all but those that concern this
    /// connection and those that give the body's length.
    pub fn end_to_end(&self) -> impl Iterator<Item = Field<'_>> {
        self.fields().filter(|field| {
            !HOP_BY_HOP.iter().any(|name| field.is(name))
                && !field.is("content-length")
                && !self.lists(field.name)
        })
    }

    /// Whether the sender says that a field of this name, or the option of this
    /// name, concerns this connection only.
    pub fn lists(&self, name: &str) -> bool {
        let connection = self.fields().filter(|field| field.is("connection"));
        connection
            .flat_map(|field| field.text().split(','))
            .any(|token| token.trim().eq_ignore_ascii_case(name))
    }

    /// The token of a bearer's authorization.
    pub fn bearer(&self) -> Option<&str> {
        let (scheme, token) = self.text("authorization")?.split_once(' ')?;
        let token = token.trim();
        (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
    }

    /// How long the sender keeps a resting connection, in both ways of writing
    /// it: bare seconds, or a list with `timeout=`.
    pub fn keep_alive(&self) -> Option<Duration> {
        let seconds = self.text("keep-alive")?.split(',').find_map(|item| {
            let (name, value) = item.split_once('=').unwrap_or(("timeout", item));
            let named = name.trim().eq_ignore_ascii_case("timeout");
            named.then(|| value.trim().parse().ok()).flatten()
        });
        seconds.map(Duration::from_secs)
    }

    /// Whether the sender can read chunks: it speaks HTTP/1.1 or a later version.
    pub fn knows_chunks(&self) -> bool {
        self.minor > 0
    }

    /// Whether the sender ends the connection after this message.
    pub fn closes(&self) -> bool {
        self.lists("close") || (self.minor == 0 && !self.lists("keep-alive"))
    }
}

fn range(range: &Range<u32>) -> Range<usize> {
    range.start as usize..range.end as usize
}

fn ranges(bytes: &[u8], headers: &[httparse::Header<'_>]) -> Vec<(Range<u32>, Range<u32>)> {
    let base = bytes.as_ptr() as usize;
    let place = |part: &[u8]| {
        let start = (part.as_ptr() as usize).saturating_sub(base) as u32;
        start..start + part.len() as u32
    };
    let both = headers
        .iter()
        .map(|header| (place(header.name.as_bytes()), place(header.value)));
    both.collect()
}

/// The search for the end of a head whose bytes arrive in parts.
#[derive(Debug, Default)]
pub struct Search {
    /// Bytes that were looked at.
    searched: usize,
    /// Whether there was any text: leading empty lines, which a client may send between
    /// requests, are part of the head.
    has_text: bool,
    is_line_empty: bool,
}

impl Search {
    /// The length of the head at the start of `bytes`, once it is whole. `bytes` begins with
    /// those of the calls before.
    pub(crate) fn length(&mut self, bytes: &[u8], most: usize) -> Result<Option<usize>, Malformed> {
        let end = self.end(bytes);
        if end.unwrap_or(bytes.len()) > most {
            return Err(Malformed::TooLarge);
        }
        Ok(end)
    }

    /// The index after the empty line that ends the head.
    fn end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (at, byte) in bytes.iter().enumerate().skip(self.searched) {
            match byte {
                b'\n' if self.is_line_empty && self.has_text => return Some(at + 1),
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => {
                    self.has_text = true;
                    self.is_line_empty = false;
                }
            }
        }
        self.searched = bytes.len();
        None
    }
}
