//! Addresses that others state as their own.

use std::net::{IpAddr, SocketAddr};

/// Nobody can be reached at an address that was stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("nobody can be reached at {0}")]
pub struct Unreachable(SocketAddr);

/// Checks that an address names one machine and a port.
///
/// # Errors
///
/// The port is 0, or the address is unspecified, a multicast or the broadcast address.
pub fn check(address: SocketAddr) -> Result<(), Unreachable> {
    let ip = address.ip().to_canonical();
    let is_broadcast = match ip {
        IpAddr::V4(ip) => ip.is_broadcast(),
        IpAddr::V6(_) => false,
    };
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        return Err(Unreachable(address));
    }
    Ok(())
}
