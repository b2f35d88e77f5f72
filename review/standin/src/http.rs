//! HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection and the bytes that were read from it but not taken.
pub struct Conn {
    pub stream: TcpStream,
    read: Vec<u8>,
}

/// The first line and the fields of a message.
#[derive(Debug, Clone)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
    pub fn method(&self) -> &str {
        self.word(0)
    }
    pub fn target(&self) -> &str {
        self.word(1)
    }
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let read = Vec::new();
        Self { stream, read }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Waits for more bytes; `false` at the end.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.read.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// The next head; `None` if the connection ended before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.read.windows(4).position(|part| part == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return match self.read.is_empty() {
                    true => Ok(None),
                    false => Err(ended()),
                };
            }
        };
        let bytes: Vec<u8> = self.read.drain(..end).collect();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.trim_end().split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.trim().into(), value.trim().into()));
        Ok(Some(Head {
            first,
            fields: fields.collect(),
        }))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.read.len() < count {
            if !self.fill()? {
                return Err(ended());
            }
        }
        Ok(self.read.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.read.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.read.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill()? {
                return Err(ended());
            }
        }
    }

    /// The body that follows a head.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.framed_body(head, &mut body)?;
        Ok(body)
    }

    /// The same, with what came of it if it was cut off.
    pub fn framed_body(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
        if head.field("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(&self.line()?, 16).unwrap_or(0);
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                body.extend(self.take(size)?);
                self.line()?;
            }
        }
        let length = head.field("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        body.extend(self.take(length)?);
        Ok(())
    }

    /// What comes until the connection ends in order.
    pub fn rest(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            body.append(&mut self.read);
            if !self.fill()? {
                return Ok(());
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A whole answer.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in fields {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// A whole request.
pub fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        out += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
