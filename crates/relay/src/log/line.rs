//! Splits what the logger writes into whole lines of bounded length.

use std::io::{self, Write};

use super::queue::Queue;

/// Longest line, in bytes; the rest of a longer one is cut off.
const LINE_BYTES: usize = 4 << 10;
/// The end of a [`Queue`] into which lines are put.
pub struct Lines {
    queue: Queue,
    /// The line that has not ended yet.
    partial: Vec<u8>,
}

impl Lines {
    /// Lines into `queue`.
    pub(super) fn new(queue: Queue) -> Self {
        Self {
            queue,
            partial: Vec::new(),
        }
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            let text = part.strip_suffix(b"\n");
            let room = LINE_BYTES.saturating_sub(self.partial.len() + 1);
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
