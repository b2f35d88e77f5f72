//! What becomes of a client's connection.

/// What becomes of the client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// It may carry another request.
    Keep,
    /// It is to be closed.
    Close,
    /// It is to be reset, as its end would make a broken answer look whole.
    Reset,
}
