//! The platform's list of boxes. It may be some seconds old, and different readers
//! may see different states of it for that long.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Call, Pool};
use tidepier_ids as ids;

/// Largest accepted list in bytes.
const LIST_BYTES_MAX: u64 = 1 << 20;

/// The state of a box, as the platform reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The box runs.
    Live,
    /// The box is about to be stopped.
    Leaving,
}

/// One box of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The box.
    #[serde(rename = "box")]
    pub name: ids::Box,
    /// Its data hall.
    pub hall: ids::Hall,
    /// The address where its router accepts links.
    pub peers: SocketAddr,
    /// The address where its router accepts requests of operators.
    pub admin: SocketAddr,
    /// Whether it is live or leaving.
    pub state: State,
}

/// The list as served at `/boxes`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The boxes.
    pub boxes: Vec<Entry>,
}

/// Reads the list as `reader` sees it.
///
/// # Errors
///
/// [`Kind::Store`] when the platform does not answer, or not with a list.
pub async fn read(
    pool: &Pool,
    address: SocketAddr,
    reader: &ids::Box,
    timeout: Duration,
) -> Result<List, Fault> {
    metrics::counter!("tidepier_store_calls_total", "call" => "boxes").increment(1);
    let call = Call::get(format!("/boxes?reader={reader}")).counted("list");
    let answer = pool.whole(address, &call, LIST_BYTES_MAX, timeout).await;
    let answer = answer.map_err(|error| Fault::new(Kind::Store, format!("box list: {error}")))?;
    if answer.status != 200 {
        let detail = format!("box list: status {}", answer.status);
        return Err(Fault::new(Kind::Store, detail));
    }
    serde_json::from_slice(&answer.bytes)
        .map_err(|error| Fault::new(Kind::Store, format!("box list: {error}")))
}
