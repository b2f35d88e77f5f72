//! What a box says of itself to operators.
//!
//! Plain values that the operators' command line reads as well; whatever fills
//! them in depends on them and not the other way round.

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

/// A box as another box sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The box.
    #[serde(rename = "box")]
    pub name: ids::Box,
    /// Its hall.
    pub hall: ids::Hall,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Where it takes operators.
    pub admin: std::net::SocketAddr,
}

/// A pool that a box keeps.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The model.
    pub model: ids::Model,
    /// Engines.
    pub engines: usize,
    /// Open grants.
    pub open: usize,
    /// Waiting requests.
    pub waiting: usize,
}

/// What a box says of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The box.
    #[serde(rename = "box")]
    pub name: ids::Box,
    /// Its hall.
    pub hall: ids::Hall,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// `serving`, `stopping` or `closed`.
    pub phase: String,
    /// The generation in force; 0 is none.
    pub generation: ids::Generation,
    /// Seconds since it is in force here.
    pub generation_age_s: Option<u64>,
    /// Who applied it.
    pub author: Option<String>,
    /// When it was accepted, milliseconds since the Unix epoch.
    pub accepted_ms: Option<u64>,
    /// Open requests.
    pub open: usize,
    /// Open links.
    pub links: usize,
    /// Pools that it keeps.
    pub pools: Vec<PoolStatus>,
    /// The boxes that it knows.
    pub boxes: Vec<BoxStatus>,
}
