//! The status that a box reports to operators.
//!
//! The types are plain values, which the operators' command line reads as well.
//! They do not depend on the modules that fill them in.

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
    /// The address of its operators' port.
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

/// The status of a box.
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
    /// Seconds for which the generation has been in force at this box.
    pub generation_age_s: Option<u64>,
    /// Who applied the generation.
    pub author: Option<String>,
    /// When the generation was accepted, in milliseconds since the Unix epoch.
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
