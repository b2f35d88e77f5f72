//! The boxes, as those that read the store tell the others.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

/// Stands for a list of boxes; 0 is no list's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u64);

/// All boxes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// What stands for it.
    pub digest: Digest,
    /// The boxes by halls.
    pub halls: Vec<(ids::Hall, Vec<Row>)>,
}

/// One box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(
    from = "(ids::Box, SocketAddr, u32)",
    into = "(ids::Box, SocketAddr, u32)"
)]
pub struct Row {
    /// The box.
    pub name: ids::Box,
    /// Where other boxes ask it.
    pub address: SocketAddr,
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: u32,
}

impl From<(ids::Box, SocketAddr, u32)> for Row {
    fn from((name, address, link_mbps): (ids::Box, SocketAddr, u32)) -> Self {
        Self {
            name,
            address,
            link_mbps,
        }
    }
}

impl From<Row> for (ids::Box, SocketAddr, u32) {
    fn from(row: Row) -> Self {
        (row.name, row.address, row.link_mbps)
    }
}
