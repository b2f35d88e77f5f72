//! Opens connections to servers.

use std::io;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_h1::Conn;

use crate::fleet::reach::Opening;
use crate::fleet::Backend;
use crate::network::Network;

/// Time-out for opening a connection to a server: more than ten round trips between halls,
/// and far less than the time after which a lost SYN is retransmitted. Nothing was sent by
/// then, so another server can be tried at once.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// A connection is closed when the server leaves data unacknowledged for this long.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens the connections of one box to servers.
#[derive(Debug, Default)]
pub struct Dialer {
    network: Network,
}

impl Dialer {
    /// A dialer over the network of this box.
    pub fn new(network: Network) -> Self {
        Self { network }
    }

    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// The server refused the connection, or did not answer within `limit`.
    pub(crate) async fn open(&self, backend: &Backend, limit: Duration) -> io::Result<Conn> {
        metrics::counter!("tidepier_server_connections_total").increment(1);
        let start = Instant::now();
        let address = backend.server.address;
        let opened = self.network.open(address, limit, UNACKED_TIMEOUT).await;
        backend.record_opening(Opening::of(&opened), Instant::now());
        let conn = opened?;
        backend.hall.record_connect_time(start.elapsed());
        Ok(conn)
    }

    /// Whether a server accepts a connection. The connection is pooled for the next request.
    pub(crate) async fn accepts_connection(&self, backend: &Backend) -> bool {
        match self.open(backend, CONNECT_TIMEOUT).await {
            Ok(conn) => {
                backend.keep(conn, None);
                true
            }
            Err(error) => {
                log::info!(target: "request", "event=not_there server={} why=\"{error}\"", backend.server.id);
                false
            }
        }
    }
}
