//! The entries by which boxes register in the store.
//!
//! Invariant: an entry speaks for the box of its key alone.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tidepier_core::address;
use tidepier_core::store::Item;
use tidepier_ids as ids;

/// Key prefix of the entries in the store.
pub(super) const PREFIX: &str = "tidepier/boxes/";

/// The registration entry of a box.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Member {
    /// The box.
    pub name: ids::Box,
    /// Its hall.
    pub hall: ids::Hall,
    /// Address on which it serves requests of other boxes.
    pub address: SocketAddr,
    /// Bandwidth of its link in Mbit/s: the resource that a reader needs most, since it
    /// sends full configurations to its hall.
    pub link_mbps: u32,
}

/// Why the entry of a box counts as absent.
#[derive(Debug)]
pub(super) enum Invalid {
    /// It is not JSON of the expected form.
    Json(serde_json::Error),
    /// No box can be reached at its address.
    Address(address::Unreachable),
    /// It describes another box than that of its key.
    Key(ids::Box, ids::Hall),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Json(error) => write!(f, "{error}"),
            Invalid::Address(error) => write!(f, "{error}"),
            Invalid::Key(name, hall) => write!(f, "the entry is of {name} in {hall}"),
        }
    }
}

/// Decodes the entry of a box. One under the key of another box would stay in the list
/// beside the entry that the box itself writes and removes.
///
/// # Errors
///
/// See [`Invalid`].
pub(super) fn decode(item: &Item) -> Result<Member, Invalid> {
    let member: Member = serde_json::from_slice(&item.value).map_err(Invalid::Json)?;
    address::check(member.address).map_err(Invalid::Address)?;
    if key(&member.hall, &member.name) != item.key {
        return Err(Invalid::Key(member.name, member.hall));
    }
    Ok(member)
}

/// The key of the entry of a box.
pub(super) fn key(hall: &ids::Hall, name: &ids::Box) -> String {
    format!("{PREFIX}{hall}/{name}")
}
