//! `tidepier-load control`: the cost of control traffic for each box.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::outside::counters;
use crate::process;

/// Watches routers for a while.
#[derive(clap::Args)]
pub struct Command {
    /// Routers' admin ports.
    #[arg(long, required = true, value_delimiter = ',')]
    admins: Vec<SocketAddr>,
    /// Routers' process ids.
    #[arg(long, required = true, value_delimiter = ',')]
    pids: Vec<u32>,
    /// Seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

/// The average cost of control traffic for a box.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Cost {
    /// Boxes watched.
    pub boxes: usize,
    /// Bytes a second sent by a box, by purpose; for calls by HTTP, those of
    /// the answer too.
    pub bytes_s: BTreeMap<String, f64>,
    /// The sum over all purposes.
    pub bytes_s_total: f64,
    /// Messages a second sent by a box on links.
    pub messages_s: f64,
    /// Calls to the platform a second by a box.
    pub store_calls_s: f64,
    /// Part of a core used by a box.
    pub cpu_share: f64,
    /// Resident memory of a box, mean, in MiB.
    pub rss_mb: f64,
    /// Resident memory of the largest box, in MiB.
    pub rss_mb_most: f64,
}

impl Command {
    /// Watches and prints one JSON line.
    ///
    /// # Errors
    ///
    /// A router does not answer.
    pub fn execute(&self) -> eyre::Result<()> {
        let cost = smol::block_on(self.watch())?;
        println!("{}", serde_json::to_string(&cost)?);
        Ok(())
    }

    async fn watch(&self) -> eyre::Result<Cost> {
        let before = self.read().await?;
        let begun = Instant::now();
        Timer::after(Duration::from_secs(self.seconds)).await;
        let after = self.read().await?;
        let boxes = self.admins.len();
        let per = begun.elapsed().as_secs_f64() * boxes as f64;
        let rate = |now: &BTreeMap<String, f64>, then: &BTreeMap<String, f64>| {
            let rated = now.iter().map(|(name, value)| {
                let grown = value - then.get(name).copied().unwrap_or(0.0);
                (name.clone(), grown / per)
            });
            rated.collect::<BTreeMap<_, _>>()
        };
        let bytes_s = rate(&after.bytes, &before.bytes);
        let memories: Vec<f64> = self.memories();
        Ok(Cost {
            boxes,
            bytes_s_total: bytes_s.values().sum(),
            bytes_s,
            messages_s: rate(&after.messages, &before.messages).values().sum(),
            store_calls_s: rate(&after.calls, &before.calls).values().sum(),
            cpu_share: (after.cpu - before.cpu).as_secs_f64() / per,
            rss_mb: memories.iter().sum::<f64>() / boxes.max(1) as f64,
            rss_mb_most: memories.iter().copied().fold(0.0, f64::max),
        })
    }

    fn memories(&self) -> Vec<f64> {
        let found = self.pids.iter().filter_map(|pid| process::memory(*pid));
        found
            .map(|bytes| bytes as f64 / f64::from(1 << 20))
            .collect()
    }

    async fn read(&self) -> eyre::Result<Reading> {
        let cpu = self.pids.iter().filter_map(|pid| process::cpu(*pid)).sum();
        Ok(Reading {
            bytes: counters(&self.admins, "tidepier_control_bytes_total", "purpose").await?,
            messages: counters(&self.admins, "tidepier_control_messages_total", "purpose").await?,
            calls: counters(&self.admins, "tidepier_store_calls_total", "call").await?,
            cpu,
        })
    }
}

struct Reading {
    bytes: BTreeMap<String, f64>,
    messages: BTreeMap<String, f64>,
    calls: BTreeMap<String, f64>,
    cpu: Duration,
}
