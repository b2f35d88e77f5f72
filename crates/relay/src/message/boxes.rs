//! The list of boxes, as readers send it to the other boxes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

/// Digest of a list of boxes; 0 means that there is no list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u64);

/// All boxes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Digest of the list.
    pub digest: Digest,
    /// The boxes, grouped by hall.
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
    /// Address on which it serves requests of other boxes.
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
