//! Writes a whole answer to the client.

use super::buffered::Answer;
use super::disposition::Disposition;
use super::state::Exchange;
use crate::backlog::Cut;

/// Largest body that is copied to be written together with its head, in bytes; a larger
/// one is written by itself, so that it is kept only once.
const JOINED_BYTES_MAX: usize = 16 << 10;

impl Exchange<'_> {
    /// Writes an answer to the client and logs how that ended.
    pub(super) async fn deliver(&self, answer: Answer) -> Disposition {
        let close = self.closes();
        if let Err(cut) = self.write(&answer, close).await {
            return self.end_cut(&cut);
        }
        self.log_answer(&answer.backend, answer.status, answer.first, answer.framing);
        if close {
            Disposition::Close
        } else {
            Disposition::Keep
        }
    }

    async fn write(&self, answer: &Answer, close: bool) -> Result<(), Cut> {
        let mut out = self.head(&answer.head, answer.length, close);
        let joined = answer.body.len() <= JOINED_BYTES_MAX;
        if joined {
            out.extend_from_slice(&answer.body);
        }
        self.arrival.answer_begun.set(true);
        let rest: &[u8] = if joined { b"" } else { &answer.body };
        answer.memory.write(self.writer, &[&out, rest]).await
    }
}
