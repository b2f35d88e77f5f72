//! What a slow server must not cause: requests that are held, work for clients that
//! left, and a worse health where the delay was not the server's own.

use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::client::End;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Fault, Outcome, Server, Settings};
use tidepier_relay_standin::site::Route;
use tidepier_relay_standin::Client;

use crate::harness::{
    count_deliveries, ensure_served_by, ms, post, run, server_settings, site,
    start_with_two_servers, stream_server_settings, wait_until, Harness, Result, SERVICE,
};
use crate::raw;

/// Time-out of the routes of these tests.
const ROUTE_TIME: Duration = Duration::from_millis(500);
/// Time within which the client has its final answer: half a second past the route's
/// time-out.
const MOST: Duration = Duration::from_millis(1_000);
/// Tries of a measurement that a busy machine may delay.
const TRIES: usize = 4;
/// Tries of an error that leaves no time for a retry.
const ERROR_TRIES: usize = 5;
/// Time within which the work for a client that left has to end.
const LEAVE_TIME: Duration = Duration::from_millis(500);
/// Factor by which a server is slower than usual.
const SLOW: f64 = 50.0;
/// Requests at once: as many as the box may have in flight at one server.
const CROWD: usize = 8;

fn short(prefix: &str, kind: Kind) -> Route {
    Route {
        timeout: ROUTE_TIME,
        ..Route::new(prefix, kind, SERVICE)
    }
}

fn slow_server(number: u32) -> Settings {
    Settings {
        work: ms(60),
        slots: 4,
        ..server_settings(number)
    }
}

/// Sends requests at once on a route; all of them end in time.
async fn all_end_in_time(harness: &Harness, target: &str) -> Result {
    let calls: Vec<_> = (0..CROWD)
        .map(|number| {
            let call = post(target, &format!("{target}{number}"));
            let front = harness.router_address();
            smol::spawn(async move { Client::once(front, &call).await })
        })
        .collect();
    for call in calls {
        let answer = call.await?;
        ensure!(
            answer.end == End::Open || answer.status == 200,
            "{answer:?}"
        );
        ensure!(answer.elapsed < MOST, "{target}: {:?}", answer.elapsed);
    }
    Ok(())
}

#[test]
fn requests_at_slow_servers_are_over_in_the_time_of_their_route() -> Result {
    run(async |executor| {
        let site = site()?;
        site.declare(&[
            short("/shortr/", Kind::Repeatable),
            short("/shorto/", Kind::AtMostOnce),
        ]);
        let servers = [site.server(slow_server(1))?, site.server(slow_server(2))?];
        let harness = Harness::start_ready(executor, site).await?;
        for server in &servers {
            server.slow(SLOW);
        }
        for target in ["/shortr/x", "/shorto/x"] {
            all_end_in_time(&harness, target).await?;
        }
        Ok(())
    })
}

#[test]
fn streams_of_a_slow_server_are_over_in_the_time_of_their_route() -> Result {
    run(async |executor| {
        let site = site()?;
        let resumable = Kind::Stream { resumable: true };
        let single = Kind::Stream { resumable: false };
        site.declare(&[short("/shorts/", resumable), short("/shortu/", single)]);
        let server = site.server(stream_server_settings(1, 400, ms(40)))?;
        let harness = Harness::start_ready(executor, site).await?;
        for target in ["/shorts/x", "/shortu/x"] {
            let mut times = Vec::new();
            // A busy machine may delay some of them.
            while times.len() < TRIES && times.iter().all(|time| *time >= MOST) {
                let attempt = format!("{target}{}", times.len());
                let answer = harness.post(target, &attempt).await?;
                ensure!(!answer.complete, "a stream that takes 16 s is complete");
                times.push(answer.elapsed);
            }
            ensure!(times.iter().any(|time| *time < MOST), "{target}: {times:?}");
        }
        wait_until("ended", async || Ok(server.running() == 0)).await
    })
}

fn working(server: &Server) -> usize {
    let runs = server.runs();
    let in_flight = runs
        .iter()
        .filter(|run| matches!(run.outcome, Outcome::Running | Outcome::Waiting));
    in_flight.count()
}

#[test]
fn a_slow_server_stops_working_for_clients_that_left() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(slow_server(1))?;
        let harness = Harness::start_ready(executor, site).await?;
        server.slow(SLOW);
        let mut clients = Vec::new();
        for number in 0..CROWD {
            let mut client = Client::open(harness.router_address()).await?;
            let call = post("/r/x", &format!("{number}")).leaving(ms(1));
            let answer = client.call(&call).await;
            ensure!(answer.end == End::Left, "{answer:?}");
            clients.push(client);
        }
        // Four are processed and four wait.
        wait_until("sent", async || Ok(working(&server) == CROWD)).await?;
        drop(clients);
        let left = Instant::now();
        wait_until("ended", async || Ok(working(&server) == 0)).await?;
        ensure!(left.elapsed() < LEAVE_TIME, "{:?}", left.elapsed());
        Timer::after(LEAVE_TIME).await;
        ensure!(
            server.runs().len() == CROWD,
            "sent again although the client left"
        );
        Ok(())
    })
}

/// A server's mean latency in ms, as known to a router.
fn time_ms(harness: &Harness, server: &Server) -> Result<f64> {
    let id = server.settings().id.parse()?;
    let backend = harness.router.relay().fleet.get(&id);
    let time = backend.and_then(|backend| backend.health.mean_latency_ms());
    time.ok_or_else(|| eyre!("{id} has no latency"))
}

#[test]
fn a_server_is_not_slow_because_the_one_before_was_unresponsive() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        near.fault(Fault::Hang, 1);
        let answer = harness.post("/r/x", "a").await?;
        ensure_served_by(&answer, &[&near, &far], "a")?;
        ensure!(count_deliveries(&[&near], "a") == 1, "it began elsewhere");
        ensure!(
            count_deliveries(&[&far], "a") == 1,
            "it was not retried at the other server"
        );
        // The unresponsive server alone takes half a second.
        let time = time_ms(&harness, &far)?;
        ensure!(time < 400.0, "{time} ms");
        Ok(())
    })
}

#[test]
fn a_server_is_not_slow_for_reading_a_long_prompt() -> Result {
    run(async |executor| {
        let site = site()?;
        // 20,000 tokens take 0.5 s at the usual speed.
        let work = ms(450);
        let server = site.server(Settings {
            work,
            ..server_settings(1)
        })?;
        let harness = Harness::start_ready(executor, site).await?;
        let call = |attempt: &str| post("/r/x", attempt);
        let long = call("long").with(names::PROMPT, "5c1e:19000,91bd:1000");
        ensure!(harness.call(&long).await?.status == 200, "not served");
        let time = time_ms(&harness, &server)?;
        ensure!(time < 200.0, "{time} ms, with the prompt's reading");
        // Prompt parts that it has cached by now explain no delay.
        let again = call("again").with(names::PROMPT, "5c1e:19000,91be:10");
        ensure!(harness.call(&again).await?.status == 200, "not served");
        let later = time_ms(&harness, &server)?;
        ensure!(later > time + 30.0, "{later} ms after {time} ms");
        Ok(())
    })
}

#[test]
fn an_error_that_leaves_no_time_for_a_retry_is_passed_on() -> Result {
    run(async |executor| {
        let site = site()?;
        // Of the client's 400 ms, 60 are left when the answer's head arrives and 25 at
        // its end. A busy machine may be later than that, so there are several tries.
        let late = raw::TwoPartServer {
            first: ms(340),
            second: ms(35),
        };
        let failed = |attempt: &str| {
            let head = "HTTP/1.1 500 Failed\r\nResponse-Seal: raw\r\nContent-Length: 2\r\n";
            [format!("{head}Attempt-Id: {attempt}\r\n\r\n"), "no".into()]
        };
        let _server = late.start(&executor, &site, "i-1", failed)?;
        let harness = Harness::start_ready(executor, site).await?;
        let mut statuses = Vec::new();
        for number in 0..ERROR_TRIES {
            let call = post("/r/x", &number.to_string()).with(names::DEADLINE, "400");
            statuses.push(harness.call(&call).await?.status);
        }
        ensure!(statuses.contains(&500), "{statuses:?}");
        ensure!(!statuses.contains(&502), "{statuses:?}");
        Ok(())
    })
}

/// Prompts are long and engines few, so that an engine reads for a second before its
/// next answer starts. When a request was taken from an engine after half a second, its
/// prompt was read anew elsewhere, which kept all engines reading; 300 of 1,649 requests
/// were taken from their engines in this way.
#[test]
fn a_request_stays_with_an_engine_that_reads_long_prompts() -> Result {
    run(async |executor| {
        let site = site()?;
        let reads = |number| Settings {
            prefill: Duration::from_micros(25),
            ..stream_server_settings(number, 4, ms(10))
        };
        let engines = [site.server(reads(1))?, site.server(reads(2))?];
        let both = [&engines[0], &engines[1]];
        let harness = Harness::start_ready(executor, site).await?;
        let call = post("/s/x", "long").with(names::PROMPT, "a1:36000,b1:100");
        let answer = harness.call(&call).await?;
        ensure_served_by(&answer, &both, "long")?;
        ensure!(
            count_deliveries(&both, "long") == 1,
            "{} attempts",
            count_deliveries(&both, "long")
        );
        Ok(())
    })
}
