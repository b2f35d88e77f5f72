//! Opens a tunnel through a given box.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use tidepier_h1::Conn;

use crate::message::link::{self, Error};
use crate::message::tunnel::{Answer, Lack, Outcome, Request};
use crate::message::{PeerRequest, VERSION};
use crate::network::Network;

/// Time-out to connect to the gateway: about a hundred round trips within a hall.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time-out for the gateway's answer: its own time-out for the connection to the server,
/// and a round trip.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest answer, in bytes.
const ANSWER_BYTES_MAX: usize = 4 << 10;
/// The tunnel ends when the gateway leaves data unacknowledged, or has no room for it, for
/// this long: longer than the gateway waits for the server, which ends it with a reason.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);

/// Why there is no tunnel.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The gateway does not answer, or not in the protocol.
    Link(Error),
    /// The gateway answered that it does not carry the connection.
    Denied(Outcome),
}

impl Failure {
    /// What kept the gateway from opening the connection; `None` if it did not say.
    pub(crate) fn lack(&self) -> Option<Lack> {
        match self {
            Failure::Link(_) => None,
            Failure::Denied(outcome) => outcome.lack(),
        }
    }

    /// Whether nothing answers the gateway from the servers of the service and hall.
    pub(crate) fn is_unreached(&self) -> bool {
        matches!(self, Failure::Denied(Outcome::Unreached))
    }

    /// A short name for logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Failure::Link(_) => "lost",
            Failure::Denied(outcome) => outcome.name(),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Link(error) => error.fmt(f),
            Failure::Denied(outcome) => outcome.fmt(f),
        }
    }
}

/// Opens a tunnel through the box at `gateway`. Also returns how many tunnels that box
/// carries.
///
/// # Errors
///
/// There is no tunnel, and nothing was sent to the server.
pub(crate) async fn open(
    network: Network,
    gateway: SocketAddr,
    request: Request,
) -> Result<(Conn, u32), Failure> {
    let conn = network
        .open(gateway, CONNECT_TIMEOUT, UNACKED_TIMEOUT)
        .await;
    let mut conn = conn.map_err(|error| Failure::Link(Error::Io(error)))?;
    let answer = link::within(ANSWER_TIMEOUT, ask(&mut conn, request)).await;
    let answer = answer.map_err(Failure::Link)?;
    match answer.outcome {
        Outcome::Opened => {
            let carried = conn.carry(gateway).map_err(Error::Io);
            carried.map_err(Failure::Link)?;
            Ok((conn, answer.carried))
        }
        outcome => Err(Failure::Denied(outcome)),
    }
}

async fn ask(conn: &mut Conn, request: Request) -> Result<Answer, Error> {
    link::send(conn, &PeerRequest::Tunnel(request)).await?;
    let answer: Answer = link::receive_limited(conn, ANSWER_BYTES_MAX).await?;
    if answer.version != VERSION {
        return Err(Error::Malformed(format!("version {}", answer.version)));
    }
    Ok(answer)
}
