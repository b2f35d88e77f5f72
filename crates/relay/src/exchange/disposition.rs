//! What happens to a client's connection after an answer.

/// What happens to the client's connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// Keep it open for another request.
    Keep,
    /// Close it.
    Close,
    /// Reset it: the answer is incomplete, and an orderly close would make it
    /// look complete.
    Reset,
}
