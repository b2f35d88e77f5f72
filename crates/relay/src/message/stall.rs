//! Message by which a box reports waits at servers at once.

use serde::{Deserialize, Serialize};
use tidepier_admission::stall::{Life, Wait};

use crate::fleet::lives;
use crate::fleet::Key;

/// What a box, and those that report to it, observe of servers that stand still, or were
/// thought to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// All waits that are longer than requests take at their servers.
    pub waits: Vec<Wait<Key>>,
    /// Servers that have answered, requests or health checks, though they were thought to
    /// stand still or were not verified.
    pub lives: Vec<Life<Key>>,
    /// Servers that have answered requests since the last report on this connection.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answers: Option<Vec<lives::Life>>,
}
