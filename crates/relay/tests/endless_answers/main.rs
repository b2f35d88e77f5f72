//! What servers must not bring a router process to, whatever they answer to many requests at
//! once: an end, a hang, more memory or descriptors than its settings give it, or requests of
//! others that are not answered.
//!
//! Each test starts a process of its own with lowered limits. The tests run one after the
//! other.

mod harness;

use std::time::Duration;

use harness::{run, Answers, Harness, Result};

/// The beginning of a signed answer; `ATTEMPT` stands for the attempt that is answered.
const SIGNED: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nResponse-Seal: raw\r\n";
/// The same of one that is no stream.
const REJECTED: &str = "HTTP/1.1 400 No\r\nAttempt-Id: ATTEMPT\r\nResponse-Seal: raw\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";
/// A byte less than what a box takes of one event.
const EVENT_BYTES: usize = (1 << 20) - 1;

/// Time in which the process calls a store that answers without end.
const STORE_TIME: Duration = Duration::from_secs(3);

/// Has `count` requests for `target` answered with `head` and then with `body`, and checks the
/// process.
fn play(target: &'static str, count: usize, head: &str, body: Vec<u8>, ends: bool) -> Result {
    let answers = Answers {
        head: head.to_owned(),
        body,
        ends,
    };
    run(async {
        let mut harness = Harness::start(answers).await?;
        let crowd = harness.crowd(target, count, true).await?;
        harness.check().await?;
        drop(crowd);
        harness.check().await
    })
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'e');
    chunk
}

/// Guards against a process that ends as it holds an event that is not complete for each of
/// many streams.
#[test]
fn events_that_are_not_completed_stay_within_memory() -> Result {
    let head = format!("{SIGNED}{CHUNKED}");
    play("/s/x", 150, &head, chunk(EVENT_BYTES), false)
}

/// Guards against a process that ends as it keeps long events for each of many clients that do
/// not read.
#[test]
fn long_events_for_clients_that_do_not_read_stay_within_memory() -> Result {
    let event = "data: e\n".repeat(64 << 10) + "\n";
    run(async {
        let mut harness = Harness::start(Answers {
            head: format!("{SIGNED}Content-Length: 9000000000000\r\n\r\n"),
            body: event.repeat(4).into_bytes(),
            ends: false,
        })
        .await?;
        let _crowd = harness.crowd("/s/x", 150, false).await?;
        harness.check().await
    })
}

/// Guards against the same where the events do not end.
#[test]
fn events_without_end_stay_within_memory() -> Result {
    let head = format!("{SIGNED}Content-Length: 9000000000000\r\n\r\n");
    play("/s/x", 150, &head, vec![b'e'; 4 << 20], false)
}

/// Guards against a process that ends as it holds a part of each of many answers that are not
/// completed.
#[test]
fn answers_that_are_not_completed_stay_within_memory() -> Result {
    let head = format!("{REJECTED}\r\n");
    play("/s/x", 900, &head, vec![b'w'; 63 << 10], false)
}

/// Guards against the same where the answers do not end.
#[test]
fn answers_without_end_stay_within_memory() -> Result {
    play(
        "/w/x",
        150,
        &format!("{SIGNED}\r\n"),
        vec![b'w'; 12 << 20],
        true,
    )
}

/// Guards against a process that ends as it holds a part of the head of each of many answers.
#[test]
fn heads_that_are_not_completed_stay_within_memory() -> Result {
    let head = format!("{SIGNED}X-More: ");
    play("/s/x", 900, &head, vec![b'h'; 15 << 10], false)
}

/// Guards against a process that ends as it reads the bodies of many errors for the case that
/// no other server answers.
#[test]
fn bodies_of_errors_stay_within_memory() -> Result {
    let head = "HTTP/1.1 500 Failed\r\nAttempt-Id: ATTEMPT\r\nResponse-Seal: raw\r\n\r\n";
    play("/w/x", 900, head, vec![b'b'; 64 << 10], true)
}

/// Guards against a process that ends as it keeps what the store answers without end to its
/// calls.
#[test]
fn answers_of_the_store_without_end_stay_within_memory() -> Result {
    run(async {
        let mut harness = Harness::start(Answers::default()).await?;
        harness.break_store(Answers {
            head: "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n".to_owned(),
            body: vec![b' '; 64 << 20],
            ends: false,
        });
        smol::Timer::after(STORE_TIME).await;
        harness.check().await
    })
}
