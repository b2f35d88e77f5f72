//! Messages by which a box has another box carry a connection to a server.

use std::fmt;

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

/// A request to open a connection to a server and to carry it on this one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// The sender.
    pub sender: ids::Box,
    /// The hall of the sender.
    pub hall: ids::Hall,
    /// The server.
    pub server: ids::Server,
}

/// What came of a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The connection is open and is carried from now on.
    Opened,
    /// The server refused the connection.
    Refused,
    /// The server did not answer in time.
    TimedOut,
    /// The answering box reaches none of the servers of this service and hall itself.
    Unreached,
    /// The answering box does not know the server, or sends it nothing new.
    Ineligible,
    /// The answering box has no room, or is shutting down.
    Full,
    /// The answering box does not know the sender.
    Stranger,
}

impl Outcome {
    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Opened => "opened",
            Outcome::Refused => "refused",
            Outcome::TimedOut => "timed_out",
            Outcome::Unreached => "unreached",
            Outcome::Ineligible => "ineligible",
            Outcome::Full => "full",
            Outcome::Stranger => "stranger",
        }
    }

    /// Whether another box may be able to open the connection: what was lacking is the
    /// answering box's, not the server's.
    pub fn depends_on_box(self) -> bool {
        match self {
            Outcome::Unreached | Outcome::Full | Outcome::Stranger => true,
            Outcome::Opened | Outcome::Refused | Outcome::TimedOut | Outcome::Ineligible => false,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// What came of the request.
    pub outcome: Outcome,
    /// Number of connections that the sender carries for other boxes.
    pub carried: u32,
}
