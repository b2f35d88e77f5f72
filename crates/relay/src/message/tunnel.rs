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
    /// The server refused the connection, as do all servers of this service and hall that
    /// the answering box tried.
    AllRefused,
    /// Nothing answers the answering box from the servers of this service and hall, or
    /// other boxes reach them where it does not.
    Unreached,
    /// The answering box does not know the server, or sends it nothing new.
    Ineligible,
    /// The answering box has no room, or is shutting down.
    Full,
    /// The answering box does not know the sender.
    Stranger,
}

/// What keeps a box from opening a connection to a server for another box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// The server: the box reaches others of its service and hall.
    Server,
    /// The network between the box and the servers of this service and hall, or all of
    /// these.
    Reach,
    /// The box itself.
    Gateway,
}

impl Outcome {
    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Opened => "opened",
            Outcome::Refused => "refused",
            Outcome::TimedOut => "timed_out",
            Outcome::AllRefused => "all_refused",
            Outcome::Unreached => "unreached",
            Outcome::Ineligible => "ineligible",
            Outcome::Full => "full",
            Outcome::Stranger => "stranger",
        }
    }

    /// What kept the connection from being opened; `None` if it was.
    pub fn lack(self) -> Option<Lack> {
        match self {
            Outcome::Opened => None,
            Outcome::Refused | Outcome::TimedOut | Outcome::Ineligible => Some(Lack::Server),
            Outcome::AllRefused | Outcome::Unreached => Some(Lack::Reach),
            Outcome::Full | Outcome::Stranger => Some(Lack::Gateway),
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
