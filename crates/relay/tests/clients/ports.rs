//! The ports of a process that are not for clients.

use eyre::ensure;
use tidepier_relay::metrics;
use tidepier_relay_standin::names;

use crate::crowd::Crowd;
use crate::harness::{run, Harness, Limits, Result};

/// Clients of the ports for readiness and metrics: more than they serve at once.
const CLIENTS: usize = 40;
/// Connections to the port for boxes.
const PEERS: usize = 200;
/// Largest message of a box, in bytes.
const MESSAGE_BYTES: u32 = 256 << 10;

/// Clients that held all connections of the port kept the platform's checks out.
fn check_held_open(name: &str, path: &str) -> Result {
    run(async {
        let mut harness = Harness::start(Limits::default()).await?;
        // The second crowd takes what the first has left, or what was not yet free for it.
        let mut crowds = Vec::new();
        for _ in 0..2 {
            let mut crowd = Crowd::connect(harness.address(name)?, CLIENTS).await?;
            crowd
                .send(|_| format!("GET {path} HTTP/1.1\r\nX: {}", "x".repeat(4_000)).into_bytes())
                .await;
            crowds.push(crowd);
        }
        let status = harness.get(name, path).await;
        ensure!(status == Some(200), "{status:?}");
        harness.check().await
    })
}

/// Clients that held all connections of the port kept the platform's checks out.
#[test]
fn readiness_is_answered_beside_heads_held_open() -> Result {
    check_held_open("readiness", names::READY)
}

/// Clients that held all connections of the port kept the operator's tools out.
#[test]
fn metrics_are_answered_beside_heads_held_open() -> Result {
    check_held_open("metrics", metrics::PATH)
}

/// Unfinished messages of all connections together had no bound.
#[test]
fn messages_at_the_port_for_boxes_stay_within_memory() -> Result {
    run(async {
        let limits = Limits {
            memory_mb: 32,
            ..Limits::default()
        };
        let mut harness = Harness::start(limits).await?;
        let mut crowd = Crowd::connect(harness.peers()?, PEERS).await?;
        crowd
            .send(|_| {
                let mut bytes = MESSAGE_BYTES.to_be_bytes().to_vec();
                bytes.resize(bytes.len() + MESSAGE_BYTES as usize - 1_000, 0);
                bytes
            })
            .await;
        harness.check().await
    })
}
