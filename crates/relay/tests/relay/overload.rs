//! Crowds of requests for a plain service, through real boxes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::client::Answer;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Outcome, Server, Settings};
use tidepier_relay_standin::site::{Route, Site};
use tidepier_relay_standin::Client;

use crate::box_harness::{site_with_keys, start_boxes};
use crate::harness::{
    count_runs, ensure_not_executed, ms, post, run, server_settings, Executor, Result, SERVICE,
};

/// Requests a second that the servers can sustain: 3 servers, 2 slots each, 300 ms a request.
const CAPACITY: u32 = 20;
/// The same in a crowd.
const CROWD: u32 = 5 * CAPACITY;
/// Longest wait of the clients.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Time until all boxes know of a crowd: reports are up to 1.2 s old, and count requests
/// within half a second.
const NOTICE_TIME: Duration = Duration::from_millis(1_700);

/// A service behind `/p/` and its servers.
fn service() -> Result<(Site, Vec<Server>)> {
    let site = site_with_keys()?;
    site.declare(&[Route {
        objective: Duration::from_secs(1),
        timeout: TIMEOUT,
        ..Route::new("/p/", Kind::Repeatable, SERVICE)
    }]);
    let settings = |number| Settings {
        hall: "hall-1".into(),
        slots: 2,
        queue: 8,
        work: ms(300),
        reports_load: false,
        ..server_settings(number)
    };
    let servers: std::io::Result<_> = (1..=3).map(|it| site.server(settings(it))).collect();
    Ok((site, servers?))
}

/// One request of a crowd and what became of it.
struct Call {
    attempt: String,
    sent: Instant,
    answer: Answer,
}

/// Sends `rate` requests a second, through all boxes in turn.
async fn send(
    executor: &Executor,
    boxes: &[SocketAddr],
    rate: u32,
    time: Duration,
) -> Result<Vec<Call>> {
    let start = Instant::now();
    let count = (f64::from(rate) * time.as_secs_f64()) as u32;
    let mut calls = Vec::new();
    for number in 0..count {
        Timer::at(start + Duration::from_secs(1) * number / rate).await;
        let address = boxes[number as usize % boxes.len()];
        let attempt = format!("call-{number}");
        let call = post("/p/x", &attempt).body(attempt.as_bytes());
        calls.push(executor.spawn(async move {
            let sent = Instant::now();
            let answer = Client::once(address, &call).await?;
            Ok::<_, eyre::Report>(Call {
                attempt,
                sent,
                answer,
            })
        }));
    }
    let mut ended = Vec::new();
    for call in calls {
        ended.push(call.await?);
    }
    Ok(ended)
}

/// What happened to the requests that were sent within some time.
#[derive(Debug)]
struct Tally {
    served: usize,
    refused: usize,
    /// Requests that a server finished within the time, also those sent before.
    finished: usize,
    /// Requests that reached a server, and those that it rejected.
    reached: usize,
    rejected: usize,
}

fn tally(calls: &[Call], servers: &[Server], from: Instant, to: Instant) -> Tally {
    let within = |at: Instant| at >= from && at < to;
    let with = |status| {
        let calls = calls.iter().filter(|it| within(it.sent));
        calls.filter(|it| it.answer.status == status).count()
    };
    let runs: Vec<_> = servers.iter().flat_map(Server::runs).collect();
    let reached = || runs.iter().filter(|it| within(it.arrived));
    Tally {
        served: with(200),
        refused: with(503),
        finished: runs
            .iter()
            .filter(|it| it.outcome == Outcome::Finished && it.ended.is_some_and(within))
            .count(),
        reached: reached().count(),
        rejected: reached().filter(|it| !it.ran()).count(),
    }
}

/// Checks that each request was served, or refused truly and with a delay that its client
/// keeps to.
fn ensure_refusals_are_true(calls: &[Call], servers: &[Server]) -> Result {
    let servers: Vec<&Server> = servers.iter().collect();
    for Call {
        attempt, answer, ..
    } in calls
    {
        if answer.status == 200 {
            continue;
        }
        ensure_not_executed(answer)?;
        let delay = answer.field(names::RETRY_AFTER);
        let delay: f64 = delay.ok_or_else(|| eyre!("no delay"))?.parse()?;
        ensure!(delay < TIMEOUT.as_secs_f64() / 3.0, "{attempt}: {delay} s");
        let runs = count_runs(&servers, attempt);
        ensure!(runs == 0, "{attempt} was refused and executed");
    }
    Ok(())
}

/// Checks that a crowd keeps the servers busy, also while they work off what boxes sent
/// before they knew of it, that most requests are refused, and that servers reject fewer
/// than one in 20 of the requests that reach them.
fn ensure_within_capacity(tally: &Tally, time: Duration) -> Result {
    let capacity = f64::from(CAPACITY) * time.as_secs_f64();
    ensure!(tally.finished as f64 > 0.8 * capacity, "{tally:?}");
    ensure!(tally.refused > tally.served, "{tally:?}");
    ensure!(20 * tally.rejected < tally.reached, "{tally:?}");
    Ok(())
}

/// Guards against boxes that send servers more than they can sustain, and against refusals of
/// requests that were executed.
#[test]
fn three_boxes_refuse_what_the_servers_cannot_bear() -> Result {
    run(async |executor| {
        let (site, servers) = service()?;
        let boxes = start_boxes(&executor, &site, 3).await?;
        let addresses: Vec<_> = boxes.iter().map(|it| it.router.client_address()).collect();
        let start = Instant::now();
        let time = ms(5_200);
        let calls = send(&executor, &addresses, CROWD, time).await?;
        ensure_refusals_are_true(&calls, &servers)?;
        let tally = tally(&calls, &servers, start + NOTICE_TIME, start + time);
        ensure_within_capacity(&tally, time - NOTICE_TIME)
    })
}

/// Guards against refusals while the servers have free slots.
#[test]
fn nothing_is_refused_at_half_of_the_capacity() -> Result {
    run(async |executor| {
        let (site, servers) = service()?;
        let boxes = start_boxes(&executor, &site, 3).await?;
        let addresses: Vec<_> = boxes.iter().map(|it| it.router.client_address()).collect();
        let calls = send(&executor, &addresses, CAPACITY / 2, ms(5_000)).await?;
        let refused = calls.iter().filter(|it| it.answer.status != 200).count();
        ensure!(refused == 0, "{refused} of {} refused", calls.len());
        ensure!(servers.iter().flat_map(Server::runs).all(|it| it.ran()));
        Ok(())
    })
}
