//! Bodies of requests: many at once, in chunks of any size, held open, over the limit.

use std::time::Duration;

use tidepier_relay_standin::client::{Call, Payload};
use tidepier_relay_standin::names;
use tidepier_relay_standin::site::HOST;

use crate::crowd::{chunks, head, length, Crowd, CHUNKED};
use crate::harness::{run, Harness, Limits, Result};

/// Largest body of a request, in bytes, as the stand-in for the operator sets it.
const BODY_BYTES_MAX: usize = 4 << 20;
/// Clients that send large bodies: more than the memory of the process takes.
const CLIENTS: usize = 40;
/// Clients that send small chunks.
const SMALL_CLIENTS: usize = 24;
/// An extension of a chunk.
const EXTENSION_BYTES: usize = 1_000;

/// A crowd whose bodies stop just short of their end and stay open.
fn check_held_open(clients: usize, bytes: impl Fn(usize) -> Vec<u8>) -> Result {
    run(async {
        let mut harness = Harness::start(Limits::default()).await?;
        let mut crowd = Crowd::connect(harness.front()?, clients).await?;
        crowd.send(bytes).await;
        harness.check().await
    })
}

/// The bodies of all clients together had no bound.
#[test]
fn bodies_in_large_chunks_held_open_stay_within_memory() -> Result {
    check_held_open(CLIENTS, |index| {
        let mut bytes = [head("/r/x", index, CHUNKED), chunks(3, 1 << 20, "")].concat();
        let last = chunks(1, 1 << 20, "");
        bytes.extend_from_slice(&last[..last.len() - 1_000]);
        bytes
    })
}

/// The bodies of all clients together had no bound, and memory was taken as announced.
#[test]
fn bodies_of_announced_length_held_open_stay_within_memory() -> Result {
    check_held_open(CLIENTS, |index| {
        let mut bytes = head("/r/x", index, &length(BODY_BYTES_MAX));
        bytes.resize(bytes.len() + BODY_BYTES_MAX - 1_000, b'l');
        bytes
    })
}

/// Each chunk moved all that was pending, and nothing yielded in between.
#[test]
fn bodies_in_one_byte_chunks_held_open_leave_others_served() -> Result {
    check_held_open(SMALL_CLIENTS, |index| {
        [head("/r/x", index, CHUNKED), chunks(64 << 10, 1, "")].concat()
    })
}

/// The bytes of extensions counted for nothing.
#[test]
fn bodies_with_long_chunk_extensions_leave_others_served() -> Result {
    let extension = format!(";x={}", "x".repeat(EXTENSION_BYTES));
    check_held_open(SMALL_CLIENTS, |index| {
        let chunks = chunks(4 << 10, 2, &extension);
        [head("/r/x", index, CHUNKED), chunks].concat()
    })
}

/// Clients that held all connections of the box kept everybody else out.
#[test]
fn bodies_held_open_on_all_connections_leave_others_served() -> Result {
    run(async {
        // As many as 40 clients at once.
        let limits = Limits {
            descriptors: 240,
            ..Limits::default()
        };
        let mut harness = Harness::start(limits).await?;
        let mut crowd = Crowd::connect(harness.front()?, 60).await?;
        crowd
            .send(|index| {
                let mut bytes = head("/slow/x", index, &length(10_000));
                bytes.resize(bytes.len() + 9_000, b'h');
                bytes
            })
            .await;
        harness.check().await
    })
}

/// Each body may grow to the limit before it is refused.
#[test]
fn bodies_that_go_on_past_the_limit_stay_within_memory() -> Result {
    run(async {
        let mut harness = Harness::start(Limits::default()).await?;
        let mut crowd = Crowd::connect(harness.front()?, CLIENTS).await?;
        let size = 1 << 20;
        let first = chunks(3, size, "");
        crowd
            .send(|index| [head("/r/x", index, CHUNKED), first.clone()].concat())
            .await;
        crowd.send(|_| chunks(4, size, "")).await;
        harness.check().await
    })
}

/// A length over the limit is refused, whatever follows.
#[test]
fn bodies_announced_over_the_limit_leave_others_served() -> Result {
    check_held_open(CLIENTS, |index| {
        let mut bytes = head("/r/x", index, &length(1 << 40));
        bytes.resize(bytes.len() + 2 * BODY_BYTES_MAX, b'l');
        bytes
    })
}

/// Whole bodies were kept, and copied for each attempt, for as long as their server took.
#[test]
fn whole_bodies_at_a_slow_server_stay_within_memory() -> Result {
    check_held_open(CLIENTS, |index| {
        let size = BODY_BYTES_MAX - 1_000;
        let mut bytes = head("/slow/x", index, &length(size));
        bytes.resize(bytes.len() + size, b'w');
        bytes
    })
}

/// Whole bodies of usual sizes, in such numbers that they take all the memory for requests.
#[test]
fn many_whole_bodies_at_a_slow_server_leave_others_served() -> Result {
    check_held_open(120, |index| {
        let size = 500_000;
        let mut bytes = head("/slow/x", index, &length(size));
        bytes.resize(bytes.len() + size, b'w');
        bytes
    })
}

/// A request of the largest size that the operator allows is served where nothing else is.
#[test]
fn a_body_of_the_largest_size_is_served_in_calm() -> Result {
    run(async {
        let mut harness = Harness::start(Limits::default()).await?;
        harness.post(&vec![b'm'; BODY_BYTES_MAX]).await?;
        let whole = vec![b'm'; 64 << 10];
        let mut call = Call::new("POST", HOST, "/r/x", "chunked").with(names::DEADLINE, "30000");
        call.payload = Payload::Chunked(vec![whole; BODY_BYTES_MAX / (64 << 10)]);
        call.leave = Duration::from_secs(30);
        harness.call(&call).await?;
        harness.check().await
    })
}
