//! Lines of heads, written to memory.

use std::fmt;
use std::io::Write;

/// How the reader of an answer learns where the body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// After so many bytes.
    Known(u64),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Writes the first line of a request.
pub fn request(out: &mut Vec<u8>, method: &str, target: &str) {
    for piece in [method, " ", target, " HTTP/1.1\r\n"] {
        out.extend_from_slice(piece.as_bytes());
    }
}

/// Writes the first line of an answer, with the usual phrase of its status.
pub fn status(out: &mut Vec<u8>, status: u16) {
    let reason = reason(status);
    write!(out, "HTTP/1.1 {status} {reason}\r\n").expect("writing to memory does not fail");
}

/// Writes a field.
pub fn field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    for piece in [name.as_bytes(), b": ", value, b"\r\n"] {
        out.extend_from_slice(piece);
    }
}

/// Writes a field whose value is no text yet.
pub fn display(out: &mut Vec<u8>, name: &str, value: impl fmt::Display) {
    write!(out, "{name}: {value}\r\n").expect("writing to memory does not fail");
}

/// Writes a field if it has a value.
pub fn optional(out: &mut Vec<u8>, name: &str, value: Option<impl fmt::Display>) {
    if let Some(value) = value {
        display(out, name, value);
    }
}

/// Writes the fields that give the end of an answer's body. Answers that have
/// no body by their status get none that speaks of one.
pub fn length(out: &mut Vec<u8>, status: u16, length: Length) {
    let bodiless = matches!(status, 100..=199 | 204 | 304);
    match length {
        Length::Known(bytes) if !bodiless => display(out, "Content-Length", bytes),
        Length::Chunked if !bodiless => field(out, "Transfer-Encoding", b"chunked"),
        Length::Known(_) | Length::Chunked | Length::UntilClose => {}
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        206 => "Partial Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
