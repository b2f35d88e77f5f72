//! A backend server's answer to one request.

use std::time::Duration;

use tidepier_ids as ids;

/// Status of a rejection by which a server takes no requests at present.
const REJECTED: u16 = 503;

/// The head of a server's answer.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// The id of the attempt that the server answers.
    pub attempt: Option<Box<str>>,
    /// Whether the server signed the answer as its own work.
    pub signed: bool,
    /// Whether the server states that it did not execute the request and never will.
    pub not_executed: bool,
    /// Whether the server states that it is leaving: it takes no new requests.
    pub leaving: bool,
    /// The server that answers, where it names itself.
    pub server: Option<Box<str>>,
    /// The server's load, where it reports that.
    pub load: Option<Load>,
    /// How long the server asks the sender to wait before the next request.
    pub retry_after: Option<Duration>,
    /// How long the server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the server closes the connection after this answer.
    pub close: bool,
}

impl Answer {
    /// The back-off that the server requests from whoever sent it the request. Only a
    /// 503 concerns the server as a whole; the delay that comes with a 429 or with an
    /// error of the server's own concerns this request alone.
    pub fn requested_backoff(&self) -> Option<Duration> {
        let asked = self.retry_after.filter(|time| !time.is_zero());
        asked.filter(|_| self.status == REJECTED)
    }
}

/// A server's load as it reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
    /// How long work takes there at the moment, where the server reports that.
    pub slowdown: Option<Slowdown>,
}

/// How long work takes at a server at the moment, in hundredths of the usual time: 100 is
/// usual, 400 means four times as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slowdown(u32);

impl Slowdown {
    /// The usual time.
    pub const USUAL: Self = Self(100);
    /// Largest slowdown that is plausible: at a hundred times the usual time, no answer
    /// would come before its deadline.
    pub const MAX: Self = Self(10_000);

    /// A slowdown in hundredths of the usual time; `None` if it is 0 or above
    /// [`Self::MAX`].
    pub fn new(hundredths: u32) -> Option<Self> {
        (1..=Self::MAX.0)
            .contains(&hundredths)
            .then_some(Self(hundredths))
    }

    /// The current time of work in multiples of the usual one.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(Self::USUAL.0)
    }
}

/// One event of an answer that is a stream of events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The request that it belongs to.
    pub request: ids::Request,
    /// Its index in the stream, from 0.
    pub offset: ids::Offset,
    /// The text that it adds to the answer.
    pub text: String,
    /// The event's data as received, to be forwarded unchanged.
    pub data: String,
    /// Whether it completes the answer.
    pub last: bool,
}
