//! `tidepier-load claims`: the cost of a claim in store writes and time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tidepier_http::client::{Call, Pool};

use crate::fleet::key_of;
use crate::outside::Outside;
use crate::tally::{quantiles, HIGHEST_US};

/// Largest answer in bytes.
const ANSWER_BYTES_MAX: u64 = 1 << 20;
/// Time-out of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes as many not-repeatable calls as it can.
#[derive(clap::Args)]
pub struct Command {
    /// Routers.
    #[arg(long, required = true, value_delimiter = ',')]
    routers: Vec<SocketAddr>,
    /// The stand-ins' admin port.
    #[arg(long)]
    outside: SocketAddr,
    /// Callers at once.
    #[arg(long, default_value_t = 100)]
    callers: usize,
    /// Seconds of each of the two parts.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
}

/// The cost of claims.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Line {
    /// Claims a second.
    pub claims_s: f64,
    /// Store writes per claim.
    pub writes_per_claim: f64,
    /// Milliseconds of a claimed call at the median.
    pub claimed_ms_p50: f64,
    /// Milliseconds of the same call without a claim.
    pub plain_ms_p50: f64,
    /// Milliseconds of a claimed call at the 99th.
    pub claimed_ms_p99: f64,
    /// Calls that failed.
    pub failed: u64,
}

impl Command {
    /// Makes the calls and prints one JSON line.
    ///
    /// # Errors
    ///
    /// The stand-ins do not answer.
    pub fn execute(&self) -> eyre::Result<()> {
        let line = smol::block_on(self.measure())?;
        println!("{}", serde_json::to_string(&line)?);
        Ok(())
    }

    async fn measure(&self) -> eyre::Result<Line> {
        let outside = Outside::new(self.outside);
        let plain = self.part(false).await?;
        let writes = |report: &serde_json::Value| report["writes"].as_u64().unwrap_or(0);
        let before = writes(&outside.report().await?.store);
        let claimed = self.part(true).await?;
        let written = writes(&outside.report().await?.store) - before;
        let (quick, slow) = (quantiles(&plain.times), quantiles(&claimed.times));
        let count = claimed.times.len().max(1);
        Ok(Line {
            claims_s: claimed.times.len() as f64 / self.seconds as f64,
            writes_per_claim: written as f64 / count as f64,
            claimed_ms_p50: slow.p50,
            plain_ms_p50: quick.p50,
            claimed_ms_p99: slow.p99,
            failed: claimed.failed,
        })
    }

    async fn part(&self, claimed: bool) -> eyre::Result<Part> {
        let part = Arc::new(Mutex::new(Part {
            times: Histogram::new_with_max(HIGHEST_US, 3)?,
            failed: 0,
        }));
        let end = Instant::now() + Duration::from_secs(self.seconds);
        let pool = Pool::new();
        let callers = (0..self.callers).map(|caller| {
            let router = self.routers[caller % self.routers.len()];
            let (pool, part) = (pool.clone(), part.clone());
            smol::spawn(async move {
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let id = format!("{claimed}-{caller}-{number}");
                    let began = Instant::now();
                    let done = post(&pool, router, &id, claimed).await;
                    let mut part = part.lock().unwrap_or_else(|e| e.into_inner());
                    match done {
                        true => part
                            .times
                            .saturating_record(began.elapsed().as_micros() as u64),
                        false => part.failed += 1,
                    }
                }
            })
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            caller.await;
        }
        let mut part = part.lock().unwrap_or_else(|e| e.into_inner());
        let fresh = Part {
            times: Histogram::new_with_max(HIGHEST_US, 3)?,
            failed: 0,
        };
        Ok(std::mem::replace(&mut part, fresh))
    }
}

struct Part {
    times: Histogram<u64>,
    failed: u64,
}

async fn post(pool: &Pool, router: SocketAddr, id: &str, claimed: bool) -> bool {
    let path = match claimed {
        true => "/services/billing/drafts",
        false => "/services/billing/notes",
    };
    let body = serde_json::json!({ "id": id }).to_string().into_bytes();
    let mut call =
        Call::post(path, body).header("authorization", format!("Bearer {}", key_of("drivers")));
    if claimed {
        call = call.header("idempotency-key", id);
    }
    let sent = pool
        .whole(router, &call, ANSWER_BYTES_MAX, CALL_TIMEOUT)
        .await;
    sent.is_ok_and(|answer| answer.status == 200)
}
