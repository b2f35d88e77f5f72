//! Connections between boxes, which carry CBOR frames, each preceded by its length.
//!
//! WebSocket, which the product's own links use, was considered: its handshake and
//! masking have no benefit between two boxes of one hall, and its buffers would take a
//! considerable part of this process's memory.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tidepier_h1::Conn;

use crate::inbound::{Holding, Shortage};
use crate::network::Network;
use crate::timeout;

/// Length of the prefix that states a frame's length, in bytes.
const LENGTH_BYTES: usize = 4;
/// Largest frame in bytes: the largest value of the store, plus room for servers.
const FRAME_BYTES_MAX: usize = 3 << 20;
/// A connection is closed if the other box does not acknowledge sent data for this time.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a message could not be sent or received, or was of no use.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Io(io::Error),
    /// The other side closed the connection.
    Closed,
    /// The frame is too large or does not decode as the expected message.
    Malformed(String),
    /// The other box answers, but cannot confirm that its data is current.
    Unconfirmed,
    /// The other box follows an earlier era of the store.
    StaleEra,
    /// This box watches the store itself and has a newer list of servers.
    OlderList,
    /// There is no memory for the message.
    Crowded,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "{error}"),
            Error::Closed => f.write_str("closed"),
            Error::Malformed(why) => write!(f, "malformed frame: {why}"),
            Error::Unconfirmed => f.write_str("it cannot confirm that its data is current"),
            Error::StaleEra => f.write_str("it follows a stale era of the store"),
            Error::OlderList => f.write_str("its list of servers is older than the own one"),
            Error::Crowded => f.write_str("no memory for the message"),
        }
    }
}

impl std::error::Error for Error {}

/// Opens a connection to another box.
///
/// # Errors
///
/// No connection was established within `limit`.
pub(crate) async fn open(
    network: Network,
    address: SocketAddr,
    limit: Duration,
) -> Result<Conn, Error> {
    let conn = network.open(address, limit, UNACKED_TIMEOUT).await;
    conn.map_err(Error::Io)
}

/// Sends a message.
///
/// # Errors
///
/// The connection failed.
pub async fn send(conn: &Conn, message: &impl Serialize) -> Result<(), Error> {
    let mut bytes = vec![0; LENGTH_BYTES];
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    let length = bytes.len() - LENGTH_BYTES;
    let length = u32::try_from(length).map_err(|_| Error::Malformed("too large".into()))?;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    metrics::counter!("tidepier_peer_bytes_total").increment(bytes.len() as u64);
    conn.writer().write_all(&bytes).await.map_err(Error::Io)
}

/// Waits until the length prefix of a message has arrived, without consuming it.
///
/// # Errors
///
/// The connection failed or was closed.
pub async fn wait_for_length(conn: &mut Conn) -> Result<(), Error> {
    fill(conn, LENGTH_BYTES).await
}

/// Receives a message.
///
/// # Errors
///
/// The connection failed or was closed, or the frame does not decode as a `T`.
pub async fn receive<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, Error> {
    receive_limited(conn, FRAME_BYTES_MAX).await
}

/// Waits for the first byte of a message.
///
/// # Errors
///
/// The connection failed or was closed.
pub async fn wait_for_first_byte(conn: &mut Conn) -> Result<(), Error> {
    fill(conn, 1).await
}

/// Receives a message of at most `most` bytes.
///
/// # Errors
///
/// The connection failed or was closed, or the frame is larger than `most` bytes or does
/// not decode as a `T`.
pub async fn receive_limited<T: DeserializeOwned>(
    conn: &mut Conn,
    most: usize,
) -> Result<T, Error> {
    let length = length(conn, most).await?;
    fill(conn, length).await?;
    decode(&conn.take(length))
}

/// The same within the memory of `holding`, which counts the message until it is decoded.
///
/// # Errors
///
/// The same, and there is no memory for it.
pub(crate) async fn receive_held<T: DeserializeOwned>(
    conn: &mut Conn,
    most: usize,
    holding: &Holding,
) -> Result<T, Error> {
    let mut unfinished = holding.unfinished();
    let crowded = |Shortage| Error::Crowded;
    let length = unfinished.wait(0, length(conn, most)).await;
    let length = length.map_err(crowded)??;
    while conn.pending().len() < length {
        holding.extend_to(conn.buffered()).map_err(crowded)?;
        let received = conn.pending().len();
        let filled = unfinished.wait(received, conn.fill()).await;
        if filled.map_err(crowded)?.map_err(Error::Io)? == 0 {
            return Err(Error::Closed);
        }
    }
    let message = decode(&conn.take(length));
    holding.set(conn.buffered());
    message
}

/// Takes the length of a message of at most `most` bytes.
async fn length(conn: &mut Conn, most: usize) -> Result<usize, Error> {
    fill(conn, LENGTH_BYTES).await?;
    let mut length = [0; LENGTH_BYTES];
    length.copy_from_slice(&conn.take(LENGTH_BYTES));
    let length = u32::from_be_bytes(length) as usize;
    if length > most {
        return Err(Error::Malformed(format!("{length} bytes")));
    }
    Ok(length)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    ciborium::from_reader(bytes).map_err(|error| Error::Malformed(error.to_string()))
}

/// Sends raw bytes; a message sent before states how many.
///
/// # Errors
///
/// The connection failed.
pub async fn send_bytes(conn: &Conn, bytes: &[u8]) -> Result<(), Error> {
    metrics::counter!("tidepier_peer_bytes_total").increment(bytes.len() as u64);
    conn.writer().write_all(bytes).await.map_err(Error::Io)
}

/// Awaits `work` for at most `limit`.
///
/// # Errors
///
/// The errors of `work`, or a time-out.
pub(crate) async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let late = || Err(Error::Io(io::ErrorKind::TimedOut.into()));
    timeout::within(limit, work).await.unwrap_or_else(late)
}

/// Receives `count` raw bytes.
///
/// # Errors
///
/// The connection failed or was closed, or `count` exceeds the largest frame.
pub async fn receive_bytes(conn: &mut Conn, count: usize) -> Result<Vec<u8>, Error> {
    if count > FRAME_BYTES_MAX {
        return Err(Error::Malformed(format!("{count} bytes")));
    }
    // Moved out of the buffer as they arrive, so that they are not held in memory twice.
    let mut bytes = Vec::with_capacity(count);
    while bytes.len() < count {
        fill(conn, 1).await?;
        let piece = conn.pending().len().min(count - bytes.len());
        bytes.extend_from_slice(&conn.take(piece));
    }
    Ok(bytes)
}

async fn fill(conn: &mut Conn, wanted: usize) -> Result<(), Error> {
    while conn.pending().len() < wanted {
        if conn.fill().await.map_err(Error::Io)? == 0 {
            return Err(Error::Closed);
        }
    }
    Ok(())
}
