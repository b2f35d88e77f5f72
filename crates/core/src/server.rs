//! Backend servers as they announce themselves.

use std::net::SocketAddr;
use std::time::Duration;

use tidepier_ids as ids;

/// Whether a server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving: it finishes what it has and gets nothing new.
    Draining,
}

/// One life of a backend server: a restart has another id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: ids::Server,
    /// The service whose requests it runs.
    pub service: ids::Service,
    /// Where it listens. May be given to a server of another service later.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: ids::Hall,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// How much longer it is slow from its start, as of its announcement.
    pub cold: Duration,
}
