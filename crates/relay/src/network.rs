//! The network of this box, as seen from its own connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tidepier_h1::Conn;

/// How this box opens connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct Network {
    /// Address that connections come from; `None`: the system chooses it.
    pub source: Option<IpAddr>,
}

impl Network {
    /// Opens a connection to an address. It ends when the other side leaves data
    /// unacknowledged for `unacked`.
    ///
    /// # Errors
    ///
    /// It was refused, or not established within `limit`.
    pub(crate) async fn open(
        self,
        address: SocketAddr,
        limit: Duration,
        unacked: Duration,
    ) -> io::Result<Conn> {
        Conn::open_from(self.source, address, limit, unacked).await
    }
}
