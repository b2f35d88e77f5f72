//! Heads held open, and bytes that come after a request.

use crate::crowd::{head, length, Crowd};
use crate::harness::{run, Harness, Limits, Result};

/// Clients of a crowd.
const CLIENTS: usize = 400;
/// Limits at which a crowd of this size shows what is kept for each client: a box of the
/// usual size has clients, and memory, in the same proportion.
const LIMITS: Limits = Limits {
    memory_mb: 24,
    descriptors: 3_000,
    head_bytes: 60_000,
};

/// The heads of all clients together had no bound.
#[test]
fn heads_held_open_stay_within_memory() -> Result {
    run(async {
        let mut harness = Harness::start(LIMITS).await?;
        let mut crowd = Crowd::connect(harness.front()?, CLIENTS).await?;
        crowd
            .send(|index| {
                let mut bytes = head("/r/x", index, &length(0));
                bytes.truncate(bytes.len() - 2);
                while bytes.len() < LIMITS.head_bytes - 1_100 {
                    bytes.extend_from_slice(format!("X-F: {}\r\n", "f".repeat(1_000)).as_bytes());
                }
                bytes
            })
            .await;
        harness.check().await
    })
}

/// Up to 64 KiB of each client were kept beside the request that its server worked on.
#[test]
fn bytes_after_a_request_stay_within_memory() -> Result {
    run(async {
        let mut harness = Harness::start(LIMITS).await?;
        let mut crowd = Crowd::connect(harness.front()?, CLIENTS).await?;
        crowd
            .send(|index| {
                let mut bytes = head("/slow/x", index, &length(10));
                bytes.resize(bytes.len() + 10 + (256 << 10), b'p');
                bytes
            })
            .await;
        harness.check().await
    })
}
