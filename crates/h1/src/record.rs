//! Records, which mark the end of a stream of bytes that another host carries.
//!
//! The end of a TCP connection shows that its last host has closed it, or that this host's
//! process has ended. A host that carries a connection for another one therefore states the
//! end of what it carries; without that, the stream has broken off.
//!
//! A record has a kind (1 byte), a length (2 bytes, big-endian) and that many bytes.

use std::io;

/// Length of a record's head, in bytes.
const HEAD_BYTES: usize = 3;
/// Most bytes of one record.
const RECORD_BYTES_MAX: usize = u16::MAX as usize;

/// The kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Carried bytes.
    Data,
    /// The stream has ended in an orderly way.
    End,
    /// The sender will soon carry nothing more.
    Closing,
}

impl Kind {
    fn from_byte(byte: u8) -> io::Result<Self> {
        match byte {
            0 => Ok(Kind::Data),
            1 => Ok(Kind::End),
            2 => Ok(Kind::Closing),
            _ => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("record of kind {byte}"),
            )),
        }
    }

    fn byte(self) -> u8 {
        match self {
            Kind::Data => 0,
            Kind::End => 1,
            Kind::Closing => 2,
        }
    }
}

/// Encodes carried bytes.
pub fn data(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_BYTES + bytes.len());
    for part in bytes.chunks(RECORD_BYTES_MAX) {
        push_head(Kind::Data, part.len() as u16, &mut out);
        out.extend_from_slice(part);
    }
    out
}

/// Encodes the orderly end of the stream.
pub fn end() -> Vec<u8> {
    empty(Kind::End)
}

/// Encodes the notice that the sender will soon carry nothing more.
pub fn closing() -> Vec<u8> {
    empty(Kind::Closing)
}

fn empty(kind: Kind) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_BYTES);
    push_head(kind, 0, &mut out);
    out
}

fn push_head(kind: Kind, length: u16, out: &mut Vec<u8>) {
    out.push(kind.byte());
    out.extend_from_slice(&length.to_be_bytes());
}

/// Decodes records as their bytes arrive.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    /// The head of the next record, as far as it has arrived.
    head: Vec<u8>,
    /// Bytes of the current record that have not arrived.
    left: usize,
    has_ended: bool,
    is_closing: bool,
}

impl Decoder {
    /// Decodes some bytes and appends what they carry to `out`.
    pub(crate) fn decode(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) -> io::Result<()> {
        while !bytes.is_empty() && !self.has_ended {
            if self.left > 0 {
                let (part, rest) = bytes.split_at(self.left.min(bytes.len()));
                out.extend_from_slice(part);
                self.left -= part.len();
                bytes = rest;
                continue;
            }
            let wanted = HEAD_BYTES - self.head.len();
            let (part, rest) = bytes.split_at(wanted.min(bytes.len()));
            self.head.extend_from_slice(part);
            bytes = rest;
            if let [kind, high, low] = self.head[..] {
                self.head.clear();
                match Kind::from_byte(kind)? {
                    Kind::Data => self.left = usize::from(u16::from_be_bytes([high, low])),
                    Kind::End => self.has_ended = true,
                    Kind::Closing => self.is_closing = true,
                }
            }
        }
        Ok(())
    }

    /// Whether the stream has ended in an orderly way.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Whether the sender will soon carry nothing more.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing
    }
}
