//! Splits a stream into complete events, and checks their order.
//!
//! Only complete events are forwarded, so that a stream that breaks within an event
//! can be resumed with the next complete one.
//!
//! Invariant: the ids of the events that are taken rise, over all servers of the stream. They
//! may have gaps.

use std::error;
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

impl error::Error for Disorder {}

/// Why a stream cannot go on at another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// A server sent an event too late, so that the client lacks it.
    EventLacking,
    /// The last event has no id: a server that goes on after the one before it sends it again.
    EventWithoutId,
}

impl Obstacle {
    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Obstacle::EventLacking => "event_lacking",
            Obstacle::EventWithoutId => "event_without_id",
        }
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
    order: Order,
}

/// What the lines of an event say.
#[derive(Debug, Clone, Copy, Default)]
struct Event {
    id: Option<u64>,
    /// Whether it carries something, other than a comment does.
    has_content: bool,
}

impl Event {
    fn read_line(&mut self, line: &[u8]) {
        if let Some(value) = line.strip_prefix(b"id:") {
            self.id = parse_id(value).or(self.id);
        } else if !line.is_empty() && !line.starts_with(b":") && !line.starts_with(b"retry:") {
            self.has_content = true;
        }
    }
}

/// The ids of the events that the client has.
#[derive(Debug, Clone, Copy, Default)]
struct Order {
    /// The lowest and the highest id of the latest ones without a gap.
    held: Option<(u64, u64)>,
    /// Whether events of the server that sends now are among them.
    continued: bool,
    /// Whether the client lacks an event that a server has sent.
    lacks: bool,
    /// Whether the client has an event without an id after the last one with an id.
    unnumbered: bool,
}

impl Order {
    fn last(&self) -> Option<u64> {
        self.held.map(|(_, last)| last)
    }

    fn follow(&mut self, event: Event) -> Result<(), Disorder> {
        let Some(id) = event.id else {
            self.unnumbered |= event.has_content;
            self.continued |= event.has_content;
            return Ok(());
        };
        if let Some(last) = self.last().filter(|last| id <= *last) {
            return Err(Disorder { id, last });
        }
        self.held = match self.held {
            Some((first, last)) if id == last + 1 => Some((first, id)),
            _ => Some((id, id)),
        };
        self.continued = true;
        self.unnumbered = false;
        Ok(())
    }

    /// Records that a server sent an event out of order, which is not forwarded. If it sent
    /// later ones before that were, the client lacks this one unless it has it already.
    fn reject(&mut self, id: u64) {
        let is_passed = self.held.is_some_and(|(first, _)| id < first);
        self.lacks |= self.continued && is_passed;
    }
}

impl Buffer {
    /// A buffer for a stream that goes on after the event `last`, with all before it.
    pub fn after(last: Option<u64>) -> Self {
        let order = Order {
            held: last.map(|last| (0, last)),
            ..Order::default()
        };
        Self {
            order,
            ..Self::default()
        }
    }

    /// The buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// The id of the last event that was taken and has one.
    pub fn last(&self) -> Option<u64> {
        self.order.last()
    }

    /// Why no other server can complete the stream after [`last`](Self::last); `None` if one
    /// can.
    pub fn obstacle(&self) -> Option<Obstacle> {
        if self.order.lacks {
            Some(Obstacle::EventLacking)
        } else if self.order.unnumbered {
            Some(Obstacle::EventWithoutId)
        } else {
            None
        }
    }

    /// Takes all complete events; empty if there is none.
    ///
    /// # Errors
    ///
    /// One of them is out of order. None is taken: what a server sends beside it may be out
    /// of order as well.
    pub fn take_complete(&mut self) -> Result<Vec<u8>, Disorder> {
        let mut end = 0;
        let mut order = self.order;
        while let Some(length) = self.bytes[self.searched..].iter().position(is_newline) {
            let newline = self.searched + length;
            let line = &self.bytes[self.line..newline];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            (self.line, self.searched) = (newline + 1, newline + 1);
            if line.is_empty() {
                end = self.line;
                let event = mem::take(&mut self.event);
                self.check(&mut order, event)?;
            } else {
                self.event.read_line(line);
            }
        }
        self.searched = self.bytes.len();
        if end == 0 {
            return Ok(Vec::new());
        }
        self.order = order;
        let rest = self.bytes.split_off(end);
        self.line -= end;
        self.searched -= end;
        Ok(mem::replace(&mut self.bytes, rest))
    }

    /// Takes all that is left of a stream that is complete; its last event may lack the empty
    /// line that ends it.
    ///
    /// # Errors
    ///
    /// See [`take_complete`](Self::take_complete).
    pub fn take_rest(&mut self) -> Result<Vec<u8>, Disorder> {
        let mut event = self.event;
        event.read_line(&self.bytes[self.line..]);
        let mut order = self.order;
        self.check(&mut order, event)?;
        self.order = order;
        Ok(mem::take(&mut self.bytes))
    }

    fn check(&mut self, order: &mut Order, event: Event) -> Result<(), Disorder> {
        let followed = order.follow(event);
        followed.inspect_err(|disorder| self.order.reject(disorder.id))
    }

    /// Drops what is left of a server's events; those that come next are another server's.
    pub fn change_server(&mut self) {
        self.bytes = Vec::new();
        (self.line, self.searched) = (0, 0);
        self.event = Event::default();
        self.order.continued = false;
    }

    /// Whether an answer may be complete whose end only the end of its connection shows: it
    /// had an event, and does not end within one.
    pub fn may_be_complete(&self) -> bool {
        self.bytes.is_empty() && self.order.continued
    }

    /// Whether the event that is not yet complete is longer than any event may be.
    pub fn is_too_long(&self) -> bool {
        self.bytes.len() > EVENT_BYTES_MAX
    }
}

fn is_newline(byte: &u8) -> bool {
    *byte == b'\n'
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
