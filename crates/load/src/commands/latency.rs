//! `tidepier-load latency`: the latency that a router adds, compared with direct
//! calls of the engine in the same run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::bail;
use hdrhistogram::Histogram;
use serde::Serialize;
use tidepier_http::client::Pool;
use tidepier_standin::oracle::Message;

use crate::caller::{self, Chat};
use crate::process;
use crate::tally::{quantiles, HIGHEST_US};

/// Callers of the throughput part.
const CALLERS: usize = 64;
/// Tokens of a short answer, and of a long one.
const SHORT_TOKENS: u64 = 4;
const LONG_TOKENS: u64 = 104;
/// Streams held open for the memory part.
const STREAMS: usize = 1000;
/// Tokens of a stream that is held open, which lasts for some seconds.
const STREAM_TOKENS: u64 = 600;

/// Measures latency, throughput for a core, and memory of one router.
#[derive(clap::Args)]
pub struct Command {
    /// The router.
    #[arg(long)]
    router: SocketAddr,
    /// Its process id.
    #[arg(long)]
    pid: u32,
    /// The engine, for direct calls.
    #[arg(long)]
    engine: SocketAddr,
    /// The account's bearer key.
    #[arg(long)]
    key: String,
    /// The model.
    #[arg(long, default_value = "linen")]
    model: String,
    /// Pairs of calls of the latency part.
    #[arg(long, default_value_t = 2000)]
    pairs: u32,
    /// Seconds of the throughput part.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
}

#[derive(Serialize)]
struct Line {
    measure: &'static str,
    added_ms_p50: f64,
    added_ms_p99: f64,
    direct_ttft_ms_p50: f64,
    router_ttft_ms_p50: f64,
    requests_s: f64,
    requests_per_core_s: f64,
    tokens_per_core_s: f64,
    rss_idle_mb: f64,
    rss_mb: f64,
    streams: usize,
}

impl Command {
    /// Measures and prints one JSON line.
    ///
    /// # Errors
    ///
    /// A call failed, or the router's process is gone.
    pub fn execute(&self) -> eyre::Result<()> {
        let line = smol::block_on(self.measure())?;
        println!("{}", serde_json::to_string(&line)?);
        Ok(())
    }

    async fn measure(&self) -> eyre::Result<Line> {
        let pool = Pool::new();
        let (direct, routed) = self.latency(&pool).await?;
        let idle = self.rss()?;
        let (requests_s, per_core) = self.throughput(&pool, SHORT_TOKENS).await?;
        let (_, long) = self.throughput(&pool, LONG_TOKENS).await?;
        let rss = self.memory(&pool).await?;
        // Without the cost of the request itself, the rest is the cost of its
        // tokens.
        let tokens = (LONG_TOKENS - SHORT_TOKENS) as f64 / (1.0 / long - 1.0 / per_core);
        let (direct, routed) = (quantiles(&direct), quantiles(&routed));
        Ok(Line {
            measure: "latency",
            added_ms_p50: routed.p50 - direct.p50,
            added_ms_p99: routed.p99 - direct.p99,
            direct_ttft_ms_p50: direct.p50,
            router_ttft_ms_p50: routed.p50,
            requests_s,
            requests_per_core_s: per_core,
            tokens_per_core_s: tokens,
            rss_idle_mb: idle as f64 / f64::from(1 << 20),
            rss_mb: rss as f64 / f64::from(1 << 20),
            streams: STREAMS,
        })
    }

    fn chat(&self, tokens: u64, number: u64) -> Chat {
        let content = format!("Which van takes bag {number}?");
        Chat {
            key: self.key.clone(),
            model: self.model.clone(),
            messages: vec![Message {
                role: "user".into(),
                content,
            }],
            tokens,
        }
    }

    /// Alternates direct and routed calls, so that the load of the machine affects
    /// both alike.
    async fn latency(&self, pool: &Pool) -> eyre::Result<(Histogram<u64>, Histogram<u64>)> {
        let mut direct = Histogram::new_with_max(HIGHEST_US, 3)?;
        let mut routed = Histogram::new_with_max(HIGHEST_US, 3)?;
        for number in 0..u64::from(self.pairs) {
            for (address, histogram) in [(self.engine, &mut direct), (self.router, &mut routed)] {
                let chat = self.chat(1, number);
                let began = Instant::now();
                let first = first_token(pool, address, &chat, began).await?;
                histogram.saturating_record(first.as_micros() as u64);
            }
        }
        Ok((direct, routed))
    }

    async fn throughput(&self, pool: &Pool, tokens: u64) -> eyre::Result<(f64, f64)> {
        let before = self.cpu()?;
        let begun = Instant::now();
        let end = begun + Duration::from_secs(self.seconds);
        let pool = Arc::new(pool.clone());
        let callers = (0..CALLERS).map(|index| {
            let pool = pool.clone();
            let router = self.router;
            let chat = self.chat(tokens, index as u64);
            smol::spawn(async move {
                let mut done = 0_u64;
                while Instant::now() < end {
                    let outcome = caller::ask(&pool, &[router], 0, &chat).await;
                    done += u64::from(outcome.whole);
                }
                done
            })
        });
        let callers: Vec<_> = callers.collect();
        let mut done = 0;
        for caller in callers {
            done += caller.await;
        }
        let wall = begun.elapsed().as_secs_f64();
        let used = (self.cpu()? - before).as_secs_f64();
        Ok((done as f64 / wall, done as f64 / used.max(0.001)))
    }

    async fn memory(&self, pool: &Pool) -> eyre::Result<u64> {
        let streams = (0..STREAMS).map(|index| {
            let pool = pool.clone();
            let router = self.router;
            let chat = self.chat(STREAM_TOKENS, index as u64);
            smol::spawn(async move { caller::ask(&pool, &[router], 0, &chat).await.whole })
        });
        let streams: Vec<_> = streams.collect();
        smol::Timer::after(Duration::from_secs(3)).await;
        let rss = self.rss()?;
        drop(streams);
        Ok(rss)
    }

    fn rss(&self) -> eyre::Result<u64> {
        process::memory(self.pid).ok_or_else(|| eyre::eyre!("process {} is gone", self.pid))
    }

    fn cpu(&self) -> eyre::Result<Duration> {
        process::cpu(self.pid).ok_or_else(|| eyre::eyre!("process {} is gone", self.pid))
    }
}

async fn first_token(
    pool: &Pool,
    address: SocketAddr,
    chat: &Chat,
    began: Instant,
) -> eyre::Result<Duration> {
    use tidepier_http::events::Reader;
    let answer = pool.send(address, &caller::call(chat)).await?;
    if answer.status() != 200 {
        bail!("{address} answered {}", answer.status());
    }
    let mut reader = Reader::new(answer.reader());
    let Some(_) = reader.next().await? else {
        bail!("{address} sent no token");
    };
    let first = began.elapsed();
    // Reads the rest, so that the connection can be reused.
    while reader.next().await?.is_some() {}
    Ok(first)
}
