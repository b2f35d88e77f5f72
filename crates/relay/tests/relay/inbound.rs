//! Memory of requests, over the whole box: who is refused when it is short.

use std::time::Duration;

use eyre::ensure;
use serde_json::json;
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::client::Answer;
use tidepier_relay_standin::server::{self, Server};
use tidepier_relay_standin::site::{Route, HOST};
use tidepier_relay_standin::{names, Client};

use crate::harness::{
    self, ensure_served_by, ms, post, run, server_settings, wait_until, Executor, Harness, Result,
};

/// Time after which a client that sends nothing has stalled.
const STALLED: Duration = Duration::from_millis(700);
/// Longest wait for an answer.
const ANSWERED: Duration = Duration::from_secs(8);
/// Body of a small request, in bytes.
const SMALL_BYTES: usize = 1_000;

/// A router with 500 KB for requests, a server, and one that holds the requests for `/slow/`.
async fn start(executor: Executor) -> Result<(Harness, Server, Server)> {
    let site = harness::site()?;
    site.declare(&[Route::new("/slow/", Kind::AtMostOnce, "slow")]);
    let server = site.server(server_settings(1))?;
    let slow = site.server(server::Settings {
        service: "slow".into(),
        work: ms(2_500),
        ..server_settings(2)
    })?;
    let harness = Harness::start_with_settings(executor, site, |settings| {
        settings["limits"] = json!({ "memory_mb": 2, "requests_share": 0.25 });
    });
    Ok((harness.await?, server, slow))
}

/// A client that has sent `sent` bytes of a body of `length`.
async fn begin(harness: &Harness, attempt: &str, length: usize, sent: usize) -> Result<Client> {
    let fields = format!("Host: {HOST}\r\n{}: {attempt}", names::ATTEMPT);
    let head = format!("POST /o/x HTTP/1.1\r\n{fields}\r\nContent-Length: {length}\r\n\r\n");
    let held = harness.router.relay().inbound.held();
    let mut client = Client::open(harness.router_address()).await?;
    client
        .send(&[head.as_bytes(), &vec![b'b'; sent]].concat())
        .await?;
    let inbound = &harness.router.relay().inbound;
    wait_until("received", async || Ok(inbound.held() >= held + sent)).await?;
    Ok(client)
}

fn ensure_crowded(answer: &Answer, attempt: &str, server: &Server) -> Result {
    ensure!(answer.status == 503 && answer.complete, "{answer:?}");
    ensure!(answer.field(names::RETRY_AFTER).is_some(), "{answer:?}");
    let ran = server.runs().iter().any(|run| run.attempt == attempt);
    ensure!(!ran, "{attempt} reached a server");
    Ok(())
}

/// The one that stalls gives way, not the one that comes last.
#[test]
fn a_client_that_stalls_gives_way_to_one_that_sends() -> Result {
    run(async |executor| {
        let (harness, server, _slow) = start(executor).await?;
        let mut stalled = begin(&harness, "stalled", 240_000, 200_000).await?;
        Timer::after(STALLED).await;
        let mut sending = begin(&harness, "sending", 50_000, 40_000).await?;
        let call = post("/r/x", "last").body(&[b'l'; 140_000]);
        ensure_served_by(&harness.call(&call).await?, &[&server], "last")?;
        let answer = stalled.answer("POST", ANSWERED).await;
        ensure_crowded(&answer, "stalled", &server)?;
        sending.send(&[b'b'; 10_000]).await?;
        let answer = sending.answer("POST", ANSWERED).await;
        ensure_served_by(&answer, &[&server], "sending")?;
        ensure!(harness.router.relay().inbound.held() == 0, "still held");
        Ok(())
    })
}

/// Requests that have arrived are kept, and small ones find room beside them.
#[test]
fn a_request_without_room_is_refused_at_once_and_a_small_one_is_served() -> Result {
    run(async |executor| {
        let (harness, server, slow) = start(executor).await?;
        let address = harness.router_address();
        let call = post("/slow/x", "whole").body(&[b'w'; 300_000]);
        let whole = smol::spawn(async move { Client::once(address, &call).await });
        wait_until("at its server", async || Ok(slow.runs().len() == 1)).await?;
        let call = post("/r/x", "large").body(&[b'l'; 150_000]);
        let answer = harness.call(&call).await?;
        ensure_crowded(&answer, "large", &server)?;
        let call = post("/r/x", "small").body(&[b's'; SMALL_BYTES]);
        ensure_served_by(&harness.call(&call).await?, &[&server], "small")?;
        ensure_served_by(&whole.await?, &[&slow], "whole")?;
        let call = post("/r/x", "again").body(&[b'l'; 150_000]);
        ensure_served_by(&harness.call(&call).await?, &[&server], "again")
    })
}

/// A crowd that has just sent its bytes has not stalled yet.
#[test]
fn a_large_request_that_has_not_arrived_gives_way_to_a_small_one() -> Result {
    run(async |executor| {
        let (harness, server, _slow) = start(executor).await?;
        let mut crowd = Vec::new();
        for number in 0..5 {
            crowd.push(begin(&harness, &format!("c-{number}"), 77_000, 76_000).await?);
        }
        let call = post("/r/x", "small").body(&[b's'; 62_000]);
        ensure_served_by(&harness.call(&call).await?, &[&server], "small")?;
        let held = harness.router.relay().inbound.held();
        ensure!(
            held > 4 * 76_000,
            "more than one were refused: {held} bytes held"
        );
        Ok(())
    })
}

/// A request may be larger than the memory for requests, if it is alone.
#[test]
fn a_request_larger_than_the_memory_for_requests_is_served_in_calm() -> Result {
    run(async |executor| {
        let (harness, server, _slow) = start(executor).await?;
        let call = post("/r/x", "largest").body(&vec![b'l'; 4 << 20]);
        ensure_served_by(&harness.call(&call).await?, &[&server], "largest")
    })
}

/// What a client sends after its request, and the box cannot keep, does not cost it the answer.
#[test]
fn bytes_after_a_request_that_are_not_kept_close_the_connection_after_its_answer() -> Result {
    run(async |executor| {
        let (harness, _server, slow) = start(executor).await?;
        let mut client = Client::open(harness.router_address()).await?;
        let fields = format!("Host: {HOST}\r\n{}: ahead", names::ATTEMPT);
        let head = format!("POST /slow/x HTTP/1.1\r\n{fields}\r\nContent-Length: 4\r\n\r\nbody");
        client
            .send(&[head.as_bytes(), &[b'p'; 600_000]].concat())
            .await?;
        let answer = client.answer("POST", ANSWERED).await;
        ensure_served_by(&answer, &[&slow], "ahead")?;
        wait_until("closed", async || Ok(!client.rests())).await?;
        ensure!(slow.runs().len() == 1, "{:?}", slow.runs());
        Ok(())
    })
}
