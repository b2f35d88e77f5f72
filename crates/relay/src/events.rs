//! Where the events of a stream end.
//!
//! Only whole events are passed on, so that a stream that breaks inside an
//! event can go on with the next whole one.

/// Collects the bytes of a stream.
#[derive(Default)]
pub struct Events {
    bytes: Vec<u8>,
    /// Bytes already searched for an event's end.
    searched: usize,
    last: Option<u64>,
}

impl Events {
    /// The buffer that arriving bytes are appended to.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// The id of the last event taken.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes all whole events; empty when there is none.
    pub fn take(&mut self) -> Vec<u8> {
        let Some(end) = self.end_of_last() else {
            self.searched = self.bytes.len();
            return Vec::new();
        };
        let rest = self.bytes.split_off(end);
        let whole = std::mem::replace(&mut self.bytes, rest);
        self.searched = self.bytes.len();
        self.last = last_id(&whole).or(self.last);
        whole
    }

    /// Takes what is left after the last whole event.
    pub fn rest(&mut self) -> Vec<u8> {
        self.searched = 0;
        std::mem::take(&mut self.bytes)
    }

    /// The index after the last empty line.
    fn end_of_last(&self) -> Option<usize> {
        // An empty line may span what was searched before and what came now.
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
