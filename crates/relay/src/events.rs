//! Splits a stream into complete events.
//!
//! Only complete events are forwarded, so that a stream that breaks within an event
//! can be resumed with the next complete one.

/// Largest event, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Buffers the bytes of a stream until events are complete.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Number of bytes that were already searched for the end of an event.
    searched: usize,
    last: Option<u64>,
}

impl Buffer {
    /// The buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// The id of the last event that was taken and has one.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes all complete events; empty if there is none.
    pub fn take_complete(&mut self) -> Vec<u8> {
        let Some(end) = self.end_of_last_event() else {
            self.searched = self.bytes.len();
            return Vec::new();
        };
        let rest = self.bytes.split_off(end);
        let whole = std::mem::replace(&mut self.bytes, rest);
        self.searched = self.bytes.len();
        self.last = last_id(&whole).or(self.last);
        whole
    }

    /// Whether the event that is not yet complete is longer than any event may be.
    pub fn is_too_long(&self) -> bool {
        self.bytes.len() > EVENT_BYTES_MAX
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Vec<u8> {
        self.searched = 0;
        std::mem::take(&mut self.bytes)
    }

    /// The index after the last empty line, which ends an event.
    fn end_of_last_event(&self) -> Option<usize> {
        // An empty line may span bytes searched before and bytes received since.
        let from = self.searched.saturating_sub(3);
        let tail = &self.bytes[from..];
        let plain = find_last(tail, b"\n\n").map(|at| at + 2);
        let carriage = find_last(tail, b"\r\n\r\n").map(|at| at + 4);
        plain.max(carriage).map(|at| from + at)
    }
}

fn find_last(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).rposition(|part| part == wanted)
}

/// The id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
