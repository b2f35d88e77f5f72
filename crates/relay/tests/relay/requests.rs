//! What a server receives with a request, how long the router holds a request, and
//! when a prompt counts as sent.

use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use futures_lite::future;
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_core::request::{Part, Prompt};
use tidepier_core::server::State;
use tidepier_relay::fleet::Key;
use tidepier_relay::locations::{Locations, Widths};
use tidepier_relay_standin::client::{Call, End};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Fault, Run, Server, Settings};
use tidepier_relay_standin::site::{Route, HOST};
use tidepier_relay_standin::Client;

use crate::harness::{
    ensure_not_executed, ensure_served_by, ms, post, run, server_settings, site,
    start_with_two_servers, stream_server_settings, wait_until, wait_until_down, Harness, Result,
    SERVICE,
};

/// Guaranteed time from a client's disconnect to the end of its request at the server.
const CANCEL_TIME_MAX: Duration = Duration::from_millis(100);
/// Most repetitions to stay within that time.
const REPETITIONS_MAX: usize = 5;

#[test]
fn a_client_disconnect_cancels_its_request_at_once() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(Settings {
            work: Duration::from_secs(20),
            ..server_settings(1)
        })?;
        let harness = Harness::start_ready(executor, site).await?;
        let mut number = 0;
        for target in ["/r/x", "/o/x", "/u/x"] {
            let mut times = Vec::new();
            // A loaded machine may delay some of them.
            while times.len() < REPETITIONS_MAX && times.iter().all(|time| *time >= CANCEL_TIME_MAX)
            {
                let mut client = Client::open(harness.router_address()).await?;
                let call = post(target, target).leaving(ms(200));
                let answer = client.call(&call).await;
                ensure!(answer.end == End::Left, "{answer:?}");
                let run = async || server.runs().into_iter().nth(number);
                wait_until("sent", async || Ok(run().await.is_some())).await?;
                let left = Instant::now();
                drop(client);
                let closed = async || run().await.and_then(|run| run.closed);
                wait_until("closed", async || Ok(closed().await.is_some())).await?;
                let closed = closed().await.expect("closed");
                times.push(closed.saturating_duration_since(left));
                number += 1;
            }
            let in_time = times.iter().any(|time| *time < CANCEL_TIME_MAX);
            ensure!(in_time, "{target}: {times:?}");
        }
        Timer::after(ms(100)).await;
        let sent = server.runs().len();
        ensure!(
            sent == number,
            "sent again after the client had disconnected"
        );
        Ok(())
    })
}

#[test]
fn the_remaining_time_is_forwarded_and_shrinks() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        near.fault(Fault::Hang, 1);
        let call = post("/r/x", "slow").with(names::DEADLINE, "3000");
        let answer = harness.call(&call).await?;
        ensure_served_by(&answer, &[&near, &far], "slow")?;
        let left = |runs: &[Run]| -> Result<u64> {
            let announced = runs[0].field(names::DEADLINE);
            Ok(announced
                .ok_or_else(|| eyre!("no deadline in the request"))?
                .parse()?)
        };
        let (first, second) = (left(&near.runs())?, left(&far.runs())?);
        ensure!(first <= 3_000 && first > 1_000, "{first} ms");
        // The retry came only after the first server was unresponsive.
        ensure!(second + 500 <= first, "{second} ms after {first} ms");
        let apart = far.runs()[0].arrived - near.runs()[0].arrived;
        let apart = apart.as_millis() as u64;
        // The header gives the remaining time. It differs by the transit time to
        // the server, which is longer on a loaded machine.
        ensure!(
            second + apart <= first + 500,
            "{second} ms, {apart} ms later"
        );
        Ok(())
    })
}

#[test]
fn a_request_is_held_no_longer_than_its_route_allows() -> Result {
    run(async |executor| {
        let site = site()?;
        let timeout = ms(400);
        let once = Route {
            timeout,
            ..Route::new("/short/", Kind::AtMostOnce, SERVICE)
        };
        let repeatable = Route {
            timeout,
            ..Route::new("/shortr/", Kind::Repeatable, SERVICE)
        };
        site.declare(&[once, repeatable]);
        let server = site.server(server_settings(1))?;
        let harness = Harness::start_ready(executor, site).await?;
        server.fault(Fault::Hang, u32::MAX);
        for target in ["/short/x", "/shortr/x"] {
            let answer = harness.post(target, target).await?;
            ensure!(answer.status == 504, "{answer:?}");
            ensure!(answer.elapsed >= ms(300), "{:?}", answer.elapsed);
            ensure!(answer.elapsed < ms(1_400), "{:?}", answer.elapsed);
        }
        let announced = server.runs()[0].field(names::DEADLINE).map(str::to_owned);
        let announced: u64 = announced
            .ok_or_else(|| eyre!("no deadline in the request"))?
            .parse()?;
        ensure!(announced <= 400, "{announced} ms");
        // A client with a shorter deadline is answered within it.
        let call = post("/o/x", "hurry").with(names::DEADLINE, "300");
        let answer = harness.call(&call).await?;
        ensure!(answer.status == 504, "{answer:?}");
        ensure!(answer.elapsed < ms(1_300), "{:?}", answer.elapsed);
        Ok(())
    })
}

#[test]
fn a_leaving_server_gets_nothing_new() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(server_settings(1))?;
        let far = site.server(Settings {
            work: ms(60),
            ..server_settings(2)
        })?;
        let harness = Harness::start_ready(executor, site).await?;
        // The near server is known to be fast, so that later requests prefer it.
        for number in 0..5 {
            harness.post("/o/x", &format!("before-{number}")).await?;
        }
        let preferred = near.runs().len();
        ensure!(preferred >= 3, "the test did not reach its case");
        near.slow(200.0);
        let leaves = async {
            wait_until("running", async || Ok(near.running() == 1)).await?;
            near.slow(1.0);
            harness.site.announce(&near, State::Draining);
            let announced = Instant::now();
            let mut number = 0;
            while announced.elapsed() < ms(1_600) {
                number += 1;
                let attempt = format!("new-{number}");
                let answer = harness.post("/o/x", &attempt).await?;
                ensure_served_by(&answer, &[&near, &far], &attempt)?;
            }
            Ok(announced)
        };
        let call = post("/o/x", "old");
        let (old, announced) = future::try_zip(harness.call(&call), leaves).await?;
        ensure_served_by(&old, &[&near], "old")?;
        let late = |run: &&Run| run.arrived > announced + ms(900);
        let runs = near.runs();
        let late = runs.iter().filter(late).count();
        ensure!(late == 0, "{late} requests sent to a leaving server");
        Ok(())
    })
}

#[test]
fn requests_carry_their_account_and_target_server() -> Result {
    run(async |executor| {
        let site = site()?;
        let keyed = Route {
            public: false,
            ..Route::new("/k/", Kind::Repeatable, SERVICE)
        };
        site.declare(&[keyed]);
        site.account("tenant-1", &["secret-1"], 0);
        let near = site.server(server_settings(1))?;
        let far = site.server(server_settings(2))?;
        let harness = Harness::start_ready(executor, site).await?;
        let mut client = Client::open(harness.router_address()).await?;
        for number in 0..12 {
            let attempt = format!("{number}");
            let target = ["/k/x", "/r/x", "/o/x"][number % 3];
            near.fault(Fault::Shed, (number % 2) as u32);
            let call = post(target, &attempt)
                .key("secret-1")
                .with("Tenant", "someone")
                .with(names::TARGET, "i-9")
                .with(names::PRIORITY, "0")
                .with("X-Kept", "kept")
                .with("X-Dropped", "dropped")
                .with("Connection", "X-Dropped");
            let answer = client.call(&call).await;
            ensure_served_by(&answer, &[&near, &far], &attempt)?;
        }
        for server in [&near, &far] {
            for run in server.runs() {
                let id = &*server.settings().id;
                ensure!(run.field(names::TARGET) == Some(id), "{:?}", run.fields);
                ensure!(run.field("Authorization").is_none(), "{:?}", run.fields);
                ensure!(run.field("X-Kept") == Some("kept"), "{:?}", run.fields);
                ensure!(run.field("X-Dropped").is_none(), "{:?}", run.fields);
                let tenants: Vec<_> = run
                    .fields
                    .iter()
                    .filter(|(name, _)| name.eq_ignore_ascii_case("tenant"))
                    .map(|(_, value)| &**value)
                    .collect();
                let own: &[&str] = match run.target.starts_with("/k/") {
                    true => &["tenant-1"],
                    false => &[],
                };
                ensure!(tenants == own, "{:?}", run.fields);
            }
        }
        Ok(())
    })
}

#[test]
fn pipelined_requests_are_answered_in_order() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(stream_server_settings(1, 3, ms(20)))?;
        let harness = Harness::start_ready(executor, site).await?;
        let mut client = Client::open(harness.router_address()).await?;
        let calls: Vec<Call> = (0..5)
            .map(|number| Call::new("POST", HOST, "/s/x", &number.to_string()).body(b"question"))
            .collect();
        for (number, answer) in client.pipeline(&calls).await.iter().enumerate() {
            ensure_served_by(answer, &[&server], &number.to_string())?;
        }
        Ok(())
    })
}

#[test]
fn a_prompt_counts_as_sent_only_over_a_connection() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let harness = Harness::start_ready(executor, site).await?;
        let parts = [(0x5c1e, 800), (0x91bd, 100)];
        let listed: Vec<String> = parts
            .iter()
            .map(|(id, count)| format!("{id:x}:{count}"))
            .collect();
        let prompt = Prompt {
            input: 900,
            output: 10,
            hint: None,
            parts: parts.map(|(id, tokens)| Part { id, tokens }).to_vec(),
        };
        let id = server.settings().id.parse()?;
        let missing_tokens = || -> Result<f64> {
            let relay = harness.router.relay();
            let (fleet, index) = (&relay.fleet, &relay.traffic.index);
            let service = SERVICE.parse()?;
            let now = tidepier_clock::Instant::now();
            let locations = Locations::new(
                fleet,
                &service,
                &prompt,
                index,
                Widths::default(),
                &|_| true,
                now,
            );
            Ok(locations.missing_tokens(Key::new(&id)).tokens())
        };
        let call = |attempt: &str| post("/r/x", attempt).with(names::PROMPT, &listed.join(","));
        server.crash();
        wait_until_down(&server).await?;
        ensure_not_executed(&harness.call(&call("down")).await?)?;
        ensure!(
            missing_tokens()? > 0.0,
            "counts as sent without a connection"
        );
        let again = Server::start_at(server.address(), server.settings().clone())?;
        wait_until("back", async || {
            Ok(harness.call(&call("back")).await?.status == 200)
        })
        .await?;
        ensure!(again.runs().len() == 1, "{:?}", again.runs());
        ensure!(missing_tokens()? == 0.0, "does not count as sent");
        Ok(())
    })
}
