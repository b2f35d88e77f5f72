//! Small stand-ins for the platform's store, servers and clients, as PROTOCOL.md describes
//! them, and what starts the project's router as a process.

pub mod client;
pub mod http;
pub mod json;
pub mod record;
pub mod router;
pub mod server;
pub mod store;
pub mod stream;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The loopback address with this last number.
pub fn ip(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 77, 0, last))
}

/// A free port at `ip`.
pub fn free(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// How long an episode of wrong bytes lasts, in seconds: `for_s` of `garble`.
pub const GARBLE_S: f64 = 5.0;
/// From the beginning of one episode to that of the next.
pub const GARBLE_PERIOD_S: f64 = 8.0;

/// Whether servers hand out wrong bytes at this time of the record.
pub fn is_garbling(now: f64) -> bool {
    now % GARBLE_PERIOD_S < GARBLE_S
}

/// Whether the disruption is left out.
pub fn is_control_run() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
