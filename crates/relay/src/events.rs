//! Splits a stream into complete events, and follows their ids.
//!
//! Only complete events are forwarded, so that a stream that breaks within an event
//! can be resumed with the next complete one. Ids rise, and may have gaps.

use std::fmt;
use std::mem;

/// Largest event, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// An event that cannot follow those before it: its id is not above theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disorder {
    /// The id of the event.
    pub id: u64,
    /// The highest id before it.
    pub last: u64,
}

impl fmt::Display for Disorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event {} after event {}", self.id, self.last)
    }
}

/// Buffers the bytes of a stream until events are complete.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Where the first line begins that was not read yet.
    line: usize,
    /// Number of bytes that were already searched for the end of that line.
    searched: usize,
    /// What was read of the event that is not complete.
    event: Event,
    last: Option<u64>,
    disorder: Option<Disorder>,
}

/// What the lines of an event say.
#[derive(Debug, Clone, Copy, Default)]
struct Event {
    id: Option<u64>,
}

impl Event {
    fn read_line(&mut self, line: &[u8]) {
        if let Some(value) = line.strip_prefix(b"id:") {
            self.id = parse_id(value).or(self.id);
        }
    }
}

impl Buffer {
    /// A buffer for a stream that goes on after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// The id of the last event that was taken and has one.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes the first event out of order that was found since the last call.
    pub fn take_disorder(&mut self) -> Option<Disorder> {
        self.disorder.take()
    }

    /// Takes all complete events; empty if there is none.
    pub fn take_complete(&mut self) -> Vec<u8> {
        let mut end = 0;
        while let Some(length) = self.bytes[self.searched..].iter().position(is_newline) {
            let newline = self.searched + length;
            let line = &self.bytes[self.line..newline];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            (self.line, self.searched) = (newline + 1, newline + 1);
            if line.is_empty() {
                end = self.line;
                self.finish_event();
            } else {
                self.event.read_line(line);
            }
        }
        self.searched = self.bytes.len();
        if end == 0 {
            return Vec::new();
        }
        let rest = self.bytes.split_off(end);
        self.line -= end;
        self.searched -= end;
        mem::replace(&mut self.bytes, rest)
    }

    fn finish_event(&mut self) {
        let Some(id) = mem::take(&mut self.event).id else {
            return;
        };
        if let Some(last) = self.last.filter(|last| id <= *last) {
            self.disorder.get_or_insert(Disorder { id, last });
        }
        self.last = Some(id);
    }

    /// Whether the event that is not yet complete is longer than any event may be.
    pub fn is_too_long(&self) -> bool {
        self.bytes.len() > EVENT_BYTES_MAX
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Vec<u8> {
        (self.line, self.searched) = (0, 0);
        self.event = Event::default();
        mem::take(&mut self.bytes)
    }
}

fn is_newline(byte: &u8) -> bool {
    *byte == b'\n'
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
