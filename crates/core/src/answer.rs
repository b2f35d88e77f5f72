//! What a backend server said about one request.

use std::time::Duration;

/// The head of a server's answer.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// The attempt that the server answers.
    pub attempt: Option<Box<str>>,
    /// Whether the server signed the answer as its own work.
    pub signed: bool,
    /// Whether the server states that the request did not run there and never
    /// will.
    pub not_run: bool,
    /// How busy the server is, where it reports that.
    pub load: Option<Load>,
    /// When the server asks not to be tried before.
    pub retry_after: Option<Duration>,
    /// How long the server keeps the connection open while it rests.
    pub keep_alive: Option<Duration>,
    /// Whether the connection ends with this answer.
    pub close: bool,
}

/// How busy a server says it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}
