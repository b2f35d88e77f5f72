//! Clients of the stand-ins' admin port and of the routers' metrics.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::eyre;
use http_types::Method;
use serde::Deserialize;
use serde_json::Value;
use tidepier_http::client::{Call, Pool};
use tidepier_http::http_types;
use tidepier_standin::group::Measured;

/// Largest answer in bytes.
const ANSWER_BYTES_MAX: u64 = 16 << 20;
/// Time-out of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of the stand-ins' admin port.
#[derive(Clone)]
pub struct Outside {
    pool: Pool,
    admin: SocketAddr,
}

/// Measurements of a group of engines.
#[derive(Debug, Clone, Deserialize)]
pub struct Seen {
    /// What was measured.
    pub seen: Measured,
}

/// Measurements of the stand-ins since the last report.
#[derive(Debug, Clone, Deserialize)]
pub struct Report {
    /// All engines of each model.
    pub models: Vec<Seen>,
    /// Engines by model and hall.
    pub groups: Vec<Seen>,
    /// Requests started by all engines since the start.
    pub started: u64,
    /// Counts of the store.
    pub store: Value,
}

impl Outside {
    /// A client of the stand-ins whose admin port is at `admin`.
    pub fn new(admin: SocketAddr) -> Self {
        Self {
            pool: Pool::new(),
            admin,
        }
    }

    /// The measurements since the last call.
    ///
    /// # Errors
    ///
    /// The stand-ins do not answer.
    pub async fn report(&self) -> eyre::Result<Report> {
        let call = Call::get("/measured");
        let answer = self
            .pool
            .whole(self.admin, &call, ANSWER_BYTES_MAX, CALL_TIMEOUT)
            .await?;
        Ok(serde_json::from_slice(&answer.bytes)?)
    }

    /// Kills or starts a part, such as `engine/NAME` or `store`.
    ///
    /// # Errors
    ///
    /// The stand-ins do not answer.
    pub async fn switch(&self, what: &str, part: &str) -> eyre::Result<()> {
        let call = Call::post(format!("/{what}/{part}"), *b"{}");
        self.send(&call).await
    }

    /// Sets the faults of a part.
    ///
    /// # Errors
    ///
    /// The stand-ins do not answer.
    pub async fn fault(&self, part: &str, faults: &Value) -> eyre::Result<()> {
        let mut call = Call::post(format!("/faults/{part}"), faults.to_string().into_bytes());
        call.method = Method::Put;
        self.send(&call).await
    }

    async fn send(&self, call: &Call) -> eyre::Result<()> {
        let answer = self
            .pool
            .whole(self.admin, call, ANSWER_BYTES_MAX, CALL_TIMEOUT)
            .await?;
        match answer.status {
            200 => Ok(()),
            status => Err(eyre!("{}: status {status}", call.path)),
        }
    }
}

/// Sums a counter over routers' metrics, by the value of one label; `""` for
/// series without that label.
///
/// # Errors
///
/// A router does not answer.
pub async fn counters(
    admins: &[SocketAddr],
    name: &str,
    label: &str,
) -> eyre::Result<std::collections::BTreeMap<String, f64>> {
    let pool = Pool::new();
    let mut sums = std::collections::BTreeMap::new();
    for admin in admins {
        let answer = pool
            .whole(
                *admin,
                &Call::get("/metrics"),
                ANSWER_BYTES_MAX,
                CALL_TIMEOUT,
            )
            .await?;
        let text = String::from_utf8_lossy(&answer.bytes);
        for line in text.lines().filter(|line| line.starts_with(name)) {
            let Some((series, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let rest = &series[name.len()..];
            if !rest.is_empty() && !rest.starts_with('{') {
                continue;
            }
            let marker = format!("{label}=\"");
            let value_of = rest
                .split_once(&marker)
                .and_then(|(_, after)| after.split_once('"'));
            let key = value_of.map_or("", |(value, _)| value).to_string();
            *sums.entry(key).or_insert(0.0) += value.parse::<f64>().unwrap_or(0.0);
        }
    }
    Ok(sums)
}
