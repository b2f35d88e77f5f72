//! The order to one engine, and what an engine reports as loaded.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_config::document::{Engine, Model};
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Call, Pool};

/// Largest answer in bytes.
const ANSWER_BYTES_MAX: u64 = 64 << 10;
/// Time-out of a call to an engine, and so the longest time that an order takes
/// to arrive.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// An order to an engine to load a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Order {
    /// The fencing number of the holder that sends it.
    pub fencing: u64,
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: String,
    /// The adapters to load.
    pub adapters: Vec<String>,
    /// The weight store's permit to load the weights.
    pub permit: String,
}

/// What an engine reports as loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: String,
    /// The loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The fencing number of the last order that the engine accepted.
    #[serde(default)]
    pub fencing: u64,
}

/// How much an engine lacks, from least to most. Engines that lack more get their
/// orders first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Need {
    /// Nothing.
    Nothing,
    /// Only adapters.
    Adapters,
    /// The right version; the engine has another version of the right model.
    Version,
    /// The model itself: the engine does not serve the declared model at all.
    Model,
}

impl Loaded {
    /// What an engine that has loaded this lacks of `model`.
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
        .whole(
            address,
            &Call::get("/orders"),
            ANSWER_BYTES_MAX,
            ORDER_TIMEOUT,
        )
        .await;
    let answer = sent.map_err(|error| Fault::new(Kind::Peer, error.to_string()))?;
    serde_json::from_slice(&answer.bytes).map_err(|error| Fault::new(Kind::Peer, error.to_string()))
}

/// Sends an order once, without a retry.
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
        .whole(engine.address.0, &call, ANSWER_BYTES_MAX, ORDER_TIMEOUT)
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
