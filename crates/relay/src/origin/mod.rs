//! Which release of a service began a stream.
//!
//! Servers of several releases may serve one service, and what two of them write of one
//! stream does not fit together. Servers do not check this.
//!
//! Invariant: a stream that may be resumed goes on only at servers of the release that
//! wrote its first event.

use std::fmt;

use serde::{Deserialize, Serialize};
use tidepier_core::server::{Release, Server};
use tidepier_ids as ids;
use xxhash_rust::xxh3::Xxh3;

/// A release of a service: a hash of both names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin(u64);

impl Origin {
    /// The origin of streams that servers of this release begin. Servers that report no
    /// release count as being of one release.
    pub fn new(service: &ids::Service, release: Option<&Release>) -> Self {
        let mut hash = Xxh3::new();
        hash.update(service.as_str().as_bytes());
        // No name contains a zero byte, which keeps the two apart.
        hash.update(&[0]);
        hash.update(release.map_or(&[], |release| release.as_str().as_bytes()));
        Self(hash.digest())
    }

    /// The origin of streams that this server begins.
    pub fn of(server: &Server) -> Self {
        Self::new(&server.service, server.release.as_ref())
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
