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

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use tidepier_ids as ids;

pub use bounds::Bounds;
pub use check::OutOfRange;
pub use read::{read, Error};
pub use span::{InvalidSpan, Millis};

/// Interval of a server's signs of life when none is given. The platform's
/// usual figure.
const SERVER_BEAT: Millis = Millis::new(1_200);

/// Memory of the process, in megabytes, when no limit is given. Half of what
/// the platform usually grants, so that a missing value errs on the low side.
const MEMORY_MB: u32 = 128;
/// File descriptors when no limit is given: the usual soft limit of Linux.
const DESCRIPTORS: u32 = 1_024;
/// Share of a core when none is given.
const CPU_SHARE: f64 = 1.0;
/// Bandwidth of the box's link, in megabits per second, when none is given.
const LINK_MBPS: f64 = 1_000.0;

/// Writing calls to the store that all boxes may make per second, when no
/// figure is given. Half of the platform's usual figure.
const WRITES_PER_S: f64 = 200.0;
/// Reading calls to the store that all boxes may make per second, when no
/// figure is given. Half of the platform's usual figure.
const READS_PER_S: f64 = 1_000.0;

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
    /// All halls, each with its region.
    #[serde(default)]
    pub halls: BTreeMap<ids::Hall, String>,
    /// Where clients connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the process is ready.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Where other boxes find this one by [`Settings::seeds`].
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Where the process serves its metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Ports that boxes may use among themselves.
    #[serde(default)]
    pub peer_ports: Option<Ports>,
    /// Control addresses of some boxes; they may be stale or down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet as a whole starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Time between two signs of life of a server.
    #[serde(default = "server_beat")]
    pub server_beat: Millis,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// The platform's store.
    pub store: Store,
    /// What may be lost at once.
    #[serde(default)]
    pub losses: Losses,
    /// Promised times and shares.
    #[serde(default)]
    pub bounds: Bounds,
}

fn server_beat() -> Millis {
    SERVER_BEAT
}

/// What the process may use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, in megabytes; the process is killed above it.
    pub memory_mb: u32,
    /// File descriptors.
    pub descriptors: u32,
    /// Share of a core.
    pub cpu_share: f64,
    /// Bandwidth of the box's link, in megabits per second.
    pub link_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: MEMORY_MB,
            descriptors: DESCRIPTORS,
            cpu_share: CPU_SHARE,
            link_mbps: LINK_MBPS,
        }
    }
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Writing calls per second of all boxes together.
    #[serde(default = "writes_per_s")]
    pub writes_per_s: f64,
    /// Reading calls per second of all boxes together.
    #[serde(default = "reads_per_s")]
    pub reads_per_s: f64,
}

fn writes_per_s() -> f64 {
    WRITES_PER_S
}

fn reads_per_s() -> f64 {
    READS_PER_S
}

/// What may be lost at once with every promise kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(default)]
pub struct Losses {
    /// Boxes; `None` when it is not given.
    pub boxes: Option<u32>,
    /// Halls.
    pub halls: u32,
    /// Regions.
    pub regions: u32,
}
