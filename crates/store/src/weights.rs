//! The weight store, which grants permits to load weights at a limited rate.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Call, Pool};

/// Largest accepted answer in bytes.
const ANSWER_BYTES_MAX: u64 = 64 << 10;
/// Time-out of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A permit for one engine to load one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The text that the engine presents when it loads the object.
    pub permit: String,
}

/// Asks for a permit to load `object`.
///
/// # Errors
///
/// [`Kind::Quota`], with the time to wait, when the rate is used up.
/// [`Kind::Store`] when the weight store does not answer, or not as expected.
pub async fn permit(pool: &Pool, address: SocketAddr, object: &str) -> Result<Permit, Fault> {
    let body = serde_json::json!({ "object": object }).to_string();
    let call = Call::post("/permits", body.into_bytes()).once();
    let answer = pool
        .whole(address, &call, ANSWER_BYTES_MAX, CALL_TIMEOUT)
        .await;
    let answer = answer.map_err(|error| Fault::new(Kind::Store, format!("weights: {error}")))?;
    match answer.status {
        200 => serde_json::from_slice(&answer.bytes)
            .map_err(|error| Fault::new(Kind::Store, format!("weights: {error}"))),
        429 => {
            let wait = answer.header("retry-after").and_then(|s| s.parse().ok());
            let fault = Fault::new(Kind::Quota, "the weight store's rate is used up");
            Err(fault.after(Duration::from_secs(wait.unwrap_or(1))))
        }
        status => Err(Fault::new(Kind::Store, format!("weights: status {status}"))),
    }
}
