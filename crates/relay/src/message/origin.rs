//! Messages about the releases that began streams.

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

use crate::origin::{Origin, Record, Stream};

/// Origins of streams that the sender began, for a box that keeps them; there is no answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// The origins.
    pub records: Vec<Record>,
}

/// A request for the origin of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// The stream, if its client named it.
    pub stream: Option<Stream>,
    /// The service, if all its streams may have one origin.
    pub service: Option<ids::Service>,
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Protocol version ([`VERSION`](super::VERSION)) of the sender.
    pub version: u16,
    /// The origin of the stream, if the sender keeps it.
    pub origin: Option<Origin>,
    /// The origin of all streams of the service, if the sender knows that it has had one
    /// release only.
    pub sole: Option<Origin>,
    /// Whether the sender knows that the service has, or had lately, several releases.
    #[serde(default)]
    pub several: bool,
}
