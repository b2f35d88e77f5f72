//! The settings of one router process.
//!
//! A settings file is JSON. The platform writes it from
//! `deploy/relay.json.template` before each start and whenever a value
//! changes. Fields that the platform omits have a default here; unknown fields
//! are ignored, so that a newer platform can add some.
//!
//! Invariant: settings that [`read()`] returns are within range.

mod bounds;
mod check;
mod read;
mod span;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use tidepier_ids as ids;

use crate::content::Fingerprint;

pub use bounds::Bounds;
pub use check::OutOfRange;
pub use read::{read, Error};
pub use span::{InvalidSpan, Millis};

/// Default file descriptor limit: the usual soft limit of Linux.
const DESCRIPTORS_DEFAULT: u32 = 1_024;
/// Default bandwidth of the box's link, in megabits per second.
const LINK_MBPS_DEFAULT: f64 = 1_000.0;
/// Default memory of the box, in megabytes: that of the smallest boxes.
const MEMORY_MB_DEFAULT: f64 = 112.0;
/// Default of [`Limits::answers_share`]: 28 MB of the smallest boxes, whose other data
/// takes up to 50 MB, so that the buffers of the operating system find room as well.
const ANSWERS_SHARE_DEFAULT: f64 = 0.25;
/// Default of [`Limits::requests_share`]: 28 MB of the smallest boxes, where the 606 clients
/// that they take at once send 20 KB in the mean.
const REQUESTS_SHARE_DEFAULT: f64 = 0.25;

/// Default of [`Limits::events_share`]: 11 MB of the smallest boxes, where a thousand streams
/// may each have 11 KB of an event under way.
const EVENTS_SHARE_DEFAULT: f64 = 0.1;

/// Default of [`Limits::store_share`]: 50 MB of the smallest boxes, of which one answer or
/// list may have half: the entries of sixty thousand servers.
const STORE_SHARE_DEFAULT: f64 = 0.45;

/// An inclusive range of ports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "[u16; 2]")]
pub struct Ports {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

impl From<[u16; 2]> for Ports {
    fn from([first, last]: [u16; 2]) -> Self {
        Self { first, last }
    }
}

/// The settings of a router process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// The box that the process runs on.
    pub name: ids::Box,
    /// The data hall of that box.
    pub hall: ids::Hall,
    /// The region of each data hall. Needed if routes or accounts restrict requests to
    /// some regions. A hall that is not listed is in no region.
    #[serde(default)]
    pub regions: BTreeMap<ids::Hall, ids::Region>,
    /// Address that clients connect to.
    pub callers: SocketAddr,
    /// Address that connections to servers and other boxes come from, for a machine with
    /// several; the system chooses one if none is given.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Address of the readiness endpoint, which the platform polls.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Address of the metrics endpoint.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Ports for connections between boxes.
    #[serde(default)]
    pub peer_ports: Option<Ports>,
    /// Addresses of some boxes; they may be outdated, and the boxes may be down. Only the
    /// IP of each is used: the boxes are contacted on the first of the `peer_ports`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// The platform's store.
    pub store: Store,
    /// The time limits and ratios that the platform guarantees.
    #[serde(default)]
    pub bounds: Bounds,
    /// Contents of requests that are accepted again although servers crashed under them,
    /// by the fingerprints in the log; none by default. A content that is added here takes
    /// effect when any one box reloads its settings, and that box notifies the others. At
    /// the start of a process the list has no effect.
    #[serde(default, deserialize_with = "contents")]
    pub pardoned: BTreeSet<Fingerprint>,
    /// Servers whose back-off ends although they requested a longer one from this box;
    /// none by default. A server that is added here gets requests again from the reload on,
    /// from this box only, until it requests another back-off. At the start of a process
    /// the list has no effect.
    #[serde(default)]
    pub woken: BTreeSet<ids::Server>,
}

fn contents<'de, D: Deserializer<'de>>(from: D) -> Result<BTreeSet<Fingerprint>, D::Error> {
    let texts = Vec::<String>::deserialize(from)?;
    let contents = texts.iter().map(|text| {
        let wrong = |error| format!("{text:?} is not a fingerprint of request content: {error}");
        text.parse().map_err(wrong).map_err(D::Error::custom)
    });
    contents.collect()
}

/// Resource limits of the process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptor limit of the process; it bounds the number of client connections.
    pub descriptors: u32,
    /// Bandwidth of the box's link, in megabits per second.
    pub link_mbps: f64,
    /// Memory of the box, in megabytes.
    pub memory_mb: f64,
    /// Share of the memory that whole answers may take until their clients have read
    /// them. One further answer of up to 8 MiB may exceed it, and small ones by a quarter.
    pub answers_share: f64,
    /// Share of the memory that events of streams may take while they are not complete, or
    /// longer than 16 KiB and not taken by their clients. A stream is given up whose events
    /// take more than is left for all others.
    pub events_share: f64,
    /// Share of the memory that clients' requests may take until they are answered. In calm,
    /// a single request of the largest size that the operator allows may exceed it.
    pub requests_share: f64,
    /// Share of the memory that answers of the store may take while they are read, with all
    /// pages of a list. One may take as much as is left for all others.
    pub store_share: f64,
}

impl Limits {
    /// Most bytes of whole answers that are kept for clients.
    pub fn answer_bytes(&self) -> usize {
        (self.memory_mb * 1e6 * self.answers_share) as usize
    }

    /// Most bytes of answers of the store that are being read.
    pub fn store_bytes(&self) -> usize {
        (self.memory_mb * 1e6 * self.store_share) as usize
    }

    /// Most bytes of events that are not complete.
    pub fn event_bytes(&self) -> usize {
        (self.memory_mb * 1e6 * self.events_share) as usize
    }

    /// Most bytes of clients' requests.
    pub fn request_bytes(&self) -> usize {
        (self.memory_mb * 1e6 * self.requests_share) as usize
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            descriptors: DESCRIPTORS_DEFAULT,
            link_mbps: LINK_MBPS_DEFAULT,
            memory_mb: MEMORY_MB_DEFAULT,
            answers_share: ANSWERS_SHARE_DEFAULT,
            events_share: EVENTS_SHARE_DEFAULT,
            requests_share: REQUESTS_SHARE_DEFAULT,
            store_share: STORE_SHARE_DEFAULT,
        }
    }
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Store {
    /// Address that the store listens on.
    pub address: SocketAddr,
}
