//! Connections between boxes: frames of CBOR, each after its length.
//!
//! WebSocket, which the product's own links use, was weighed: its handshake
//! and masks buy nothing between two boxes of one hall, and its buffers would
//! be a good part of this process's memory.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tidepier_h1::Conn;

use crate::timeout;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;
/// Largest frame in bytes: the store's largest value, with room for servers.
const FRAME_BYTES: usize = 3 << 20;
/// Data that another box leaves unacknowledged for so long ends a connection.
const UNACKED_TIME: Duration = Duration::from_secs(2);

/// Why a frame was not received or sent.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Io(io::Error),
    /// The other side closed the connection.
    Closed,
    /// The frame is too large or is no message.
    Malformed(String),
    /// The other box answers, but cannot confirm that what it knows is current.
    Unconfirmed,
    /// The other box follows a former era of the store.
    StaleEra,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "{error}"),
            Error::Closed => f.write_str("closed"),
            Error::Malformed(why) => write!(f, "malformed frame: {why}"),
            Error::Unconfirmed => f.write_str("it cannot vouch for what it knows"),
            Error::StaleEra => f.write_str("it follows a former era of the store"),
        }
    }
}

impl std::error::Error for Error {}

/// Opens a connection to another box.
///
/// # Errors
///
/// There is none within `limit`.
pub(crate) async fn open(address: SocketAddr, limit: Duration) -> Result<Conn, Error> {
    let conn = Conn::open(address, limit, UNACKED_TIME).await;
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

/// Waits until a message begins to arrive; takes nothing of it.
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
/// The connection failed or was closed, or the frame is no message.
pub async fn receive<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, Error> {
    receive_most(conn, FRAME_BYTES).await
}

/// Waits for the first byte of a message.
///
/// # Errors
///
/// The connection failed or was closed.
pub async fn begun(conn: &mut Conn) -> Result<(), Error> {
    fill(conn, 1).await
}

/// Receives a message of at most so many bytes.
///
/// # Errors
///
/// The connection failed or was closed, or the frame is no message or larger.
pub async fn receive_most<T: DeserializeOwned>(conn: &mut Conn, most: usize) -> Result<T, Error> {
    fill(conn, LENGTH_BYTES).await?;
    let mut length = [0; LENGTH_BYTES];
    length.copy_from_slice(&conn.take(LENGTH_BYTES));
    let length = u32::from_be_bytes(length) as usize;
    if length > most {
        return Err(Error::Malformed(format!("{length} bytes")));
    }
    fill(conn, length).await?;
    let bytes = conn.take(length);
    ciborium::from_reader(bytes.as_slice()).map_err(|error| Error::Malformed(error.to_string()))
}

/// Sends bytes as they are, after a message that states how many.
///
/// # Errors
///
/// The connection failed.
pub async fn send_bytes(conn: &Conn, bytes: &[u8]) -> Result<(), Error> {
    metrics::counter!("tidepier_peer_bytes_total").increment(bytes.len() as u64);
    conn.writer().write_all(bytes).await.map_err(Error::Io)
}

/// The result of `work`.
///
/// # Errors
///
/// Those of `work`, or `limit` has passed.
pub(crate) async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let late = || Err(Error::Io(io::ErrorKind::TimedOut.into()));
    timeout::within(limit, work).await.unwrap_or_else(late)
}

/// Receives so many bytes as they are.
///
/// # Errors
///
/// The connection failed or was closed, or these are more than a frame holds.
pub async fn receive_bytes(conn: &mut Conn, count: usize) -> Result<Vec<u8>, Error> {
    if count > FRAME_BYTES {
        return Err(Error::Malformed(format!("{count} bytes")));
    }
    // Taken piece by piece, so that they are not held twice.
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
