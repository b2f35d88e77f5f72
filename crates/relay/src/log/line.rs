//! Splits the output of the logger into complete lines of bounded length.

use std::io::{self, Write};

use super::queue::Queue;

/// Longest line, in bytes; longer lines are truncated.
const LINE_BYTES_MAX: usize = 4 << 10;
/// A writer that assembles lines and pushes them into a [`Queue`].
pub struct Writer {
    queue: Queue,
    /// The beginning of a line whose end has not been written yet.
    partial: Vec<u8>,
}

impl Writer {
    /// A writer into `queue`.
    pub(super) fn new(queue: Queue) -> Self {
        Self {
            queue,
            partial: Vec::new(),
        }
    }
}

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            let text = part.strip_suffix(b"\n");
            let room = LINE_BYTES_MAX.saturating_sub(self.partial.len() + 1);
            let taken = text.unwrap_or(part);
            let taken = &taken[..taken.len().min(room)];
            self.partial.extend_from_slice(taken);
            if text.is_some() {
                self.partial.push(b'\n');
                self.queue.push(&self.partial);
                self.partial.clear();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
