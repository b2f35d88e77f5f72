//! Requests of clients that do not keep to the limits, most of which are never whole.

use std::iter;
use std::sync::OnceLock;
use std::time::Duration;

/// Largest body that sites allow, in bytes.
pub const BODY_BYTES_MAX: usize = 4 << 20;
/// Size of the pieces that large bodies are sent in.
const PIECE_BYTES: usize = 64 << 10;
/// Size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 1 << 20;
/// Number of chunks of one byte.
const SMALL_CHUNKS: usize = 256 << 10;
/// Number of chunks with an extension, and its length.
const EXTENDED_CHUNKS: usize = 4 << 10;
const EXTENSION_BYTES: usize = 1_000;
/// Bytes of a body far over the limit.
const LONG_BODY_BYTES: usize = 64 << 20;
/// Bytes of a head that is not ended, within what sites allow.
const HEAD_BYTES: usize = 15 << 10;
/// Bytes after a whole request.
const SURPLUS_BYTES: usize = 4 << 20;

/// How a client does not keep to the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misuse {
    /// A body in large chunks stops just short of its end.
    LargeChunks,
    /// A body in chunks of one byte stops just short of its end.
    SmallChunks,
    /// A body in chunks of two bytes, each with a long extension, stops just short of its
    /// end.
    ExtendedChunks,
    /// A body with a length stops just short of its end.
    Announced,
    /// A body far over the limit is announced, and sent.
    LongAnnounced,
    /// A body far over the limit is sent in chunks.
    LongChunked,
    /// A head is not ended.
    OpenHead,
    /// A whole request for a stream is followed by bytes that are none.
    Pipelined,
}

/// Where such clients connect to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// Where boxes serve clients.
    Clients,
    /// Where they answer readiness checks.
    Readiness,
    /// Where they serve each other.
    Boxes,
}

impl Misuse {
    /// All kinds.
    pub const ALL: [Misuse; 8] = [
        Misuse::LargeChunks,
        Misuse::SmallChunks,
        Misuse::ExtendedChunks,
        Misuse::Announced,
        Misuse::LongAnnounced,
        Misuse::LongChunked,
        Misuse::OpenHead,
        Misuse::Pipelined,
    ];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Misuse::LargeChunks => "large_chunks",
            Misuse::SmallChunks => "small_chunks",
            Misuse::ExtendedChunks => "extended_chunks",
            Misuse::Announced => "announced",
            Misuse::LongAnnounced => "long_announced",
            Misuse::LongChunked => "long_chunked",
            Misuse::OpenHead => "open_head",
            Misuse::Pipelined => "pipelined",
        }
    }

    /// Number of clients that send such requests at the same time.
    pub fn clients(self) -> usize {
        match self {
            Misuse::LargeChunks | Misuse::Announced => 60,
            Misuse::SmallChunks | Misuse::ExtendedChunks => 24,
            Misuse::LongAnnounced | Misuse::LongChunked => 24,
            Misuse::OpenHead => 600,
            Misuse::Pipelined => 60,
        }
    }

    /// Whether a request is whole, so that it may be executed.
    pub fn is_whole(self) -> bool {
        self == Misuse::Pipelined
    }

    /// What a client sends: a head that begins with `head`, and what follows it. `body` is that
    /// of a whole request.
    pub fn bytes(self, head: &str, body: &str) -> Bytes {
        let announced = |bytes: usize| format!("Content-Length: {bytes}\r\n\r\n");
        let chunked = || "Transfer-Encoding: chunked\r\n\r\n".to_owned();
        let (framing, unit, count) = match self {
            Misuse::LargeChunks => (chunked(), large_chunk(), BODY_BYTES_MAX / LARGE_CHUNK_BYTES),
            Misuse::SmallChunks => {
                let chunks = b"1\r\nx\r\n".repeat(PIECE_BYTES / 8);
                (chunked(), chunks, SMALL_CHUNKS * 8 / PIECE_BYTES)
            }
            Misuse::ExtendedChunks => {
                let chunk = format!("2;{}\r\nxx\r\n", "e".repeat(EXTENSION_BYTES));
                (chunked(), chunk.into_bytes(), EXTENDED_CHUNKS)
            }
            Misuse::Announced => {
                // One byte is lacking.
                let framing = announced(BODY_BYTES_MAX) + &"x".repeat(PIECE_BYTES - 1);
                (framing, piece(), BODY_BYTES_MAX / PIECE_BYTES - 1)
            }
            Misuse::LongAnnounced => {
                let framing = announced(LONG_BODY_BYTES);
                (framing, piece(), LONG_BODY_BYTES / PIECE_BYTES)
            }
            Misuse::LongChunked => (
                chunked(),
                large_chunk(),
                LONG_BODY_BYTES / LARGE_CHUNK_BYTES,
            ),
            Misuse::OpenHead => (format!("X-Long: {}", "x".repeat(HEAD_BYTES)), Vec::new(), 0),
            Misuse::Pipelined => {
                let whole = announced(body.len()) + body;
                (whole, piece(), SURPLUS_BYTES / PIECE_BYTES)
            }
        };
        Bytes {
            first: format!("{head}{framing}").into_bytes(),
            unit,
            count,
        }
    }
}

/// The bytes of a request.
#[derive(Debug)]
pub struct Bytes {
    /// What comes first.
    first: Vec<u8>,
    /// What comes this many times after it.
    unit: Vec<u8>,
    count: usize,
}

impl Bytes {
    /// The pieces that they are sent in.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        let units = iter::repeat_n(&*self.unit, self.count);
        iter::once(&*self.first).chain(units)
    }
}

/// The largest body that sites allow.
pub fn large_body() -> &'static [u8] {
    static BODY: OnceLock<Vec<u8>> = OnceLock::new();
    BODY.get_or_init(|| vec![b'x'; BODY_BYTES_MAX])
}

fn piece() -> Vec<u8> {
    vec![b'x'; PIECE_BYTES]
}

fn large_chunk() -> Vec<u8> {
    let size = format!("{LARGE_CHUNK_BYTES:x}\r\n");
    [size.as_bytes(), &vec![b'x'; LARGE_CHUNK_BYTES], b"\r\n"].concat()
}

/// How a client sends a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Manner {
    /// Head and body at once.
    #[default]
    Usual,
    /// The body this long after the head.
    Late(Duration),
    /// With the largest body that sites allow.
    Large,
    /// Against the limits.
    Misuse(Misuse),
}

impl Manner {
    /// Whether the client keeps to the limits.
    pub fn is_proper(self) -> bool {
        !matches!(self, Manner::Misuse(_))
    }

    /// Time from the head until the whole request was sent.
    pub fn sending_time(self) -> Duration {
        match self {
            Manner::Late(time) => time,
            _ => Duration::ZERO,
        }
    }
}
