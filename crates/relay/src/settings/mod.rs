//! The settings of one router process.
//!
//! A settings file is JSON. The platform writes it from
//! `deploy/relay.json.template` before each start and whenever a value
//! changes. What the platform leaves out has a default here; fields that are
//! unknown are ignored, so that a newer platform may add some.
//!
//! Invariant: settings that [`read()`] returns are within range.

mod bounds;
mod check;
mod read;
mod span;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use tidepier_ids as ids;

use crate::content::Fingerprint;

pub use bounds::Bounds;
pub use check::OutOfRange;
pub use read::{read, Error};
pub use span::{InvalidSpan, Millis};

/// File descriptors when no limit is given: the usual soft limit of Linux.
const DESCRIPTORS: u32 = 1_024;
/// Bandwidth of the box's link, in megabits per second, when none is given.
const LINK_MBPS: f64 = 1_000.0;

/// A range of ports, both ends included.
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
    /// Its data hall.
    pub hall: ids::Hall,
    /// The region of each data hall; needed where requests may not leave some
    /// regions. A hall that is missing here is in none.
    #[serde(default)]
    pub regions: BTreeMap<ids::Hall, ids::Region>,
    /// Where clients connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the process is ready.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Where the process serves its metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Ports that boxes may use among themselves.
    #[serde(default)]
    pub peer_ports: Option<Ports>,
    /// Addresses of some boxes; they may be stale or down. Only where they are
    /// is used: the boxes are asked at the first of the `peer_ports`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet as a whole starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// The platform's store.
    pub store: Store,
    /// Promised times and shares.
    #[serde(default)]
    pub bounds: Bounds,
    /// Contents of requests that may pass again though servers ended under them, as
    /// the log names them; none by default. What is added here is taken over by a
    /// reload of any one box, which tells the others; at a start it says nothing.
    #[serde(default, deserialize_with = "contents")]
    pub pardoned: BTreeSet<Fingerprint>,
    /// Servers whose rest is over though they asked this box for more; none by default.
    /// A server that is added here is sent to again at the reload that brings it, on
    /// this box alone, until it asks again; at a start it says nothing.
    #[serde(default)]
    pub woken: BTreeSet<ids::Server>,
}

fn contents<'de, D: Deserializer<'de>>(from: D) -> Result<BTreeSet<Fingerprint>, D::Error> {
    let texts = Vec::<String>::deserialize(from)?;
    let contents = texts.iter().map(|text| {
        let wrong = |error| format!("{text:?} is no content of a request: {error}");
        text.parse().map_err(wrong).map_err(D::Error::custom)
    });
    contents.collect()
}

/// What the process may use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors: bounds the clients that are taken.
    pub descriptors: u32,
    /// Bandwidth of the box's link, in megabits per second.
    pub link_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            descriptors: DESCRIPTORS,
            link_mbps: LINK_MBPS,
        }
    }
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
}
