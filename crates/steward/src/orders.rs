//! Orders to one engine.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_config::document::{Engine, Model};
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Call, Pool};

/// Largest answer in bytes.
const ANSWER_BYTES: u64 = 64 << 10;
/// Longest flight of an order.
pub(crate) const FLIGHT: Duration = Duration::from_secs(2);

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Order {
    /// The fencing number.
    pub fencing: u64,
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<String>,
    /// The weight store's permit.
    pub permit: String,
}

/// What an engine reports as loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
    /// Adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The fencing number of the last order taken.
    #[serde(default)]
    pub fencing: u64,
}

/// How much an engine lacks; more is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Need {
    /// Nothing.
    Nothing,
    /// Adapters only.
    Adapters,
    /// Another version of the right model.
    Version,
    /// The model itself: the engine serves nothing.
    Model,
}

impl Loaded {
    pub(crate) fn need(&self, model: &Model) -> Need {
        if self.model != model.name.as_str() {
            return Need::Model;
        }
        if self.version != model.version {
            return Need::Version;
        }
        if self.adapters != model.adapters {
            return Need::Adapters;
        }
        Need::Nothing
    }
}

/// Reads what an engine has loaded.
///
/// # Errors
///
/// [`Kind::Peer`] when it does not answer.
pub(crate) async fn read(pool: &Pool, address: SocketAddr) -> Result<Loaded, Fault> {
    let sent = pool
        .whole(address, &Call::get("/orders"), ANSWER_BYTES, FLIGHT)
        .await;
    let answer = sent.map_err(|error| Fault::new(Kind::Peer, error.to_string()))?;
    serde_json::from_slice(&answer.bytes).map_err(|error| Fault::new(Kind::Peer, error.to_string()))
}

/// Sends an order, once.
///
/// # Errors
///
/// [`Kind::Conflict`] when the engine has seen a higher fencing number;
/// [`Kind::Peer`] when it does not answer.
pub(crate) async fn send(pool: &Pool, engine: &Engine, order: &Order) -> Result<(), Fault> {
    let body = serde_json::to_vec(order);
    let body = body.map_err(|error| Fault::new(Kind::Internal, error.to_string()))?;
    let call = Call::post("/orders", body).once();
    let sent = pool
        .whole(engine.address.0, &call, ANSWER_BYTES, FLIGHT)
        .await;
    let answer = sent.map_err(|error| Fault::new(Kind::Peer, error.to_string()))?;
    match answer.status {
        200 => Ok(()),
        409 => Err(Fault::new(
            Kind::Conflict,
            "the engine has seen a higher fencing number",
        )),
        status => Err(Fault::new(Kind::Peer, format!("engine answered {status}"))),
    }
}
