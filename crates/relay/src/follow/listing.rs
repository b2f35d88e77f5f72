//! A list of all servers that another box sends in pieces.

use std::collections::HashSet;

use tidepier_core::era::Revision;
use tidepier_ids as ids;

/// The part of a list of all servers that was received so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Revision up to which the sender knew all servers when the list began.
    pub(super) seen: Revision,
    pub(super) present: HashSet<ids::Server>,
    /// The last server of the last piece received.
    pub after: Option<ids::Server>,
}
