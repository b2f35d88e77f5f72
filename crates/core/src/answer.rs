//! What a backend server said about one request.

use std::time::Duration;

use tidepier_ids as ids;

/// Status by which a server turns a request away.
const TURNED_AWAY: u16 = 503;

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
    /// Whether the server says that it leaves: it takes nothing new.
    pub leaving: bool,
    /// The server that answers, where it names itself.
    pub server: Option<Box<str>>,
    /// How busy the server is, where it reports that.
    pub load: Option<Load>,
    /// When the server asks not to be tried before.
    pub retry_after: Option<Duration>,
    /// How long the server keeps the connection open while it rests.
    pub keep_alive: Option<Duration>,
    /// Whether the connection ends with this answer.
    pub close: bool,
}

impl Answer {
    /// For how long the server wants nothing from who asked it. Only a 503 says that
    /// of the server; what a 429 or an error of its own asks for is the request's.
    pub fn requested_backoff(&self) -> Option<Duration> {
        let asked = self.retry_after.filter(|time| !time.is_zero());
        asked.filter(|_| self.status == TURNED_AWAY)
    }
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

/// One event of an answer that comes as a series of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The request that it answers.
    pub request: ids::Request,
    /// Its place in the series, from 0.
    pub offset: ids::Offset,
    /// The text that it adds to the answer.
    pub text: String,
    /// What came, as the interface passes it on.
    pub data: String,
    /// Whether the answer is whole with it.
    pub last: bool,
}
