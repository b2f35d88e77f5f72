//! A list of all servers that another box tells in parts.

use std::collections::HashSet;

use tidepier_core::era::Revision;
use tidepier_ids as ids;

/// What a box has got so far of a list of all servers.
#[derive(Debug, Default)]
pub struct Progress {
    /// Revision up to which the other box knew all as the list began.
    pub(super) seen: Revision,
    pub(super) present: HashSet<ids::Server>,
    /// The last server of the last piece.
    pub after: Option<ids::Server>,
}
