//! Message by which a box reports waits at servers at once.

use serde::{Deserialize, Serialize};
use tidepier_admission::stall::{Life, Wait};

use crate::fleet::Key;

/// What a box, and those that report to it, observe of servers that stand still, or were
/// thought to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// All waits that are longer than requests take at their servers.
    pub waits: Vec<Wait<Key>>,
    /// Servers that have answered though they were thought to stand still.
    pub lives: Vec<Life<Key>>,
}
