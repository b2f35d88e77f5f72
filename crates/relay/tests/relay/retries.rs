//! How often and to which servers a request is sent, and when a refusal promises that
//! it was not executed.

use eyre::{ensure, eyre};
use futures_lite::future;
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Fault, Outcome, Server, Settings};
use tidepier_relay_standin::site::{Route, Site};

use crate::harness::{
    count_deliveries, count_runs, ensure_not_executed, ensure_served_by, ms, post, run,
    server_settings, site, start_with_one_server, start_with_two_servers, wait_until,
    wait_until_down, Harness, Result, SERVICE,
};

/// A route that allows three attempts.
fn three_attempts_route() -> Route {
    Route {
        attempts: 3,
        ..Route::new("/r3/", Kind::Repeatable, SERVICE)
    }
}

/// A route that allows one attempt.
fn single_attempt_route(path: &str, kind: Kind) -> Route {
    Route {
        attempts: 1,
        ..Route::new(path, kind, SERVICE)
    }
}

/// Starts `count` servers.
fn start_servers(site: &Site, count: u32) -> Result<Vec<Server>> {
    (1..=count)
        .map(|number| Ok(site.server(server_settings(number))?))
        .collect()
}

/// Stops a server and starts another one at its address.
async fn replace_server(server: Server) -> Result<Server> {
    let address = server.address();
    drop(server);
    let mut other = None;
    wait_until("free", async || {
        other = Server::start_at(address, server_settings(3)).ok();
        Ok(other.is_some())
    })
    .await?;
    other.ok_or_else(|| eyre!("no server at {address}"))
}

#[test]
fn a_once_only_request_whose_answer_is_lost_runs_once() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        for fault in [Fault::LostAnswer, Fault::Reset, Fault::Garbage] {
            for target in ["/o/x", "/u/x"] {
                near.fault(fault, u32::MAX);
                far.fault(fault, u32::MAX);
                let attempt = format!("{fault:?}{target}");
                let answer = harness.post(target, &attempt).await?;
                ensure!(answer.status == 502, "{answer:?}");
                let sent = count_deliveries(&[&near, &far], &attempt);
                ensure!(sent == 1, "{attempt} was sent {sent} times");
            }
        }
        Ok(())
    })
}

#[test]
fn a_once_only_request_that_failed_keeps_its_answer() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        near.fault(Fault::Failure, u32::MAX);
        far.fault(Fault::Failure, u32::MAX);
        let answer = harness.post("/o/x", "failed").await?;
        ensure!(answer.status == 500, "{answer:?}");
        ensure!(answer.field(names::SEAL).is_some(), "{answer:?}");
        ensure!(count_runs(&[&near, &far], "failed") == 1, "ran twice");
        Ok(())
    })
}

#[test]
fn a_repeatable_request_whose_answer_is_lost_runs_elsewhere() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        for fault in [Fault::LostAnswer, Fault::Reset, Fault::Failure] {
            near.fault(fault, 1);
            let attempt = format!("{fault:?}");
            let answer = harness.post("/r/x", &attempt).await?;
            ensure_served_by(&answer, &[&near, &far], &attempt)?;
            near.heal();
        }
        Ok(())
    })
}

/// If a server answered with an error and no other server answers at all, the client
/// gets that error and not a refusal by the router.
#[test]
fn an_error_answer_is_the_fallback_if_no_other_server_answers() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        for fault in [Fault::LostAnswer, Fault::Reset, Fault::Garbage, Fault::Shed] {
            near.fault(Fault::Failure, 1);
            far.fault(fault, u32::MAX);
            let attempt = format!("{fault:?}");
            let answer = harness.post("/r/x", &attempt).await?;
            ensure!(answer.status == 500 && answer.complete, "{answer:?}");
            ensure!(answer.field(names::ATTEMPT) == Some(&attempt), "{answer:?}");
            let runs = near.runs();
            let run = runs.iter().find(|run| run.attempt == attempt);
            let run = run.ok_or_else(|| eyre!("{attempt} did not run"))?;
            ensure!(answer.field(names::SEAL) == Some(&run.seal), "{answer:?}");
            ensure!(
                count_deliveries(&[&far], &attempt) == 1,
                "{attempt}: not retried"
            );
            far.heal();
        }
        Ok(())
    })
}

#[test]
fn a_rejected_request_goes_to_another_server() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        for fault in [Fault::Shed, Fault::Busy] {
            for target in ["/r/x", "/o/x"] {
                near.fault(fault, 1);
                let attempt = format!("{fault:?}{target}");
                let answer = harness.post(target, &attempt).await?;
                ensure_served_by(&answer, &[&near, &far], &attempt)?;
                ensure!(count_runs(&[&near, &far], &attempt) == 1, "ran twice");
            }
        }
        Ok(())
    })
}

#[test]
fn a_request_that_all_servers_reject_is_refused_as_not_executed() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        for fault in [Fault::Shed, Fault::Busy] {
            near.fault(fault, u32::MAX);
            far.fault(fault, u32::MAX);
            for target in ["/r/x", "/o/x", "/s/x", "/u/x"] {
                let attempt = format!("{fault:?}{target}");
                ensure_not_executed(&harness.post(target, &attempt).await?)?;
                ensure!(count_runs(&[&near, &far], &attempt) == 0, "{attempt} ran");
            }
        }
        Ok(())
    })
}

#[test]
fn the_retry_time_for_a_service_that_is_down_covers_a_restart() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        for server in [&near, &far] {
            server.crash();
            wait_until_down(server).await?;
        }
        for target in ["/r/x", "/o/x"] {
            let answer = harness.post(target, target).await?;
            ensure_not_executed(&answer)?;
            let wait = answer.field(names::RETRY_AFTER).unwrap_or_default();
            let wait: f64 = wait.parse()?;
            ensure!((0.8..=1.3).contains(&wait), "retry time {wait}");
        }
        Ok(())
    })
}

#[test]
fn without_a_server_a_request_is_refused_as_not_executed() -> Result {
    run(async |executor| {
        let (crashed, harness) = start_with_one_server(executor).await?;
        crashed.crash();
        wait_until_down(&crashed).await?;
        for target in ["/r/x", "/o/x"] {
            ensure_not_executed(&harness.post(target, target).await?)?;
        }
        harness.site.withdraw(&crashed);
        wait_until("gone", async || Ok(harness.router.relay().fleet.is_empty())).await?;
        for target in ["/r/x", "/o/x"] {
            ensure_not_executed(&harness.post(target, target).await?)?;
        }
        Ok(())
    })
}

#[test]
fn a_rejection_after_a_lost_answer_promises_nothing() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        for fault in [Fault::Shed, Fault::Busy] {
            near.fault(Fault::LostAnswer, 1);
            far.fault(fault, u32::MAX);
            let attempt = format!("{fault:?}");
            let answer = harness.post("/r/x", &attempt).await?;
            ensure!(near.ran(&attempt) == 1, "it did not run");
            ensure!(answer.status == 502, "{answer:?}");
        }
        Ok(())
    })
}

#[test]
fn no_refusal_promises_non_execution_once_a_request_may_have_been_executed() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(Settings {
            work: ms(600),
            ..server_settings(1)
        })?;
        let harness = Harness::start_ready(executor, site).await?;
        server.fault(Fault::LostAnswer, 1);
        let leave = async {
            Timer::after(ms(150)).await;
            harness.site.withdraw(&server);
            Ok(())
        };
        let call = post("/r/x", "ran");
        let (answer, ()) = future::try_zip(harness.call(&call), leave).await?;
        ensure!(server.ran("ran") == 1, "it did not run");
        ensure!(answer.status == 502, "{answer:?}");
        Ok(())
    })
}

#[test]
fn a_replaced_server_executes_no_requests() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        // Another server now listens at the address of the near one.
        let other = replace_server(near).await?;
        for target in ["/o/x", "/r/x"] {
            let answer = harness.post(target, target).await?;
            ensure_served_by(&answer, &[&far], target)?;
            ensure!(other.ran(target) == 0, "ran at another server");
        }
        ensure!(
            other
                .runs()
                .iter()
                .any(|run| run.outcome == Outcome::Refused(421)),
            "the test did not reach its case"
        );
        Ok(())
    })
}

#[test]
fn a_replaced_server_gets_one_attempt() -> Result {
    run(async |executor| {
        let (near, _far, harness) = start_with_two_servers(executor).await?;
        // It answers fast, so that the router prefers it from now on.
        wait_until("answered", async || {
            harness.post("/r/x", "before").await?;
            Ok(!near.runs().is_empty())
        })
        .await?;
        let other = replace_server(near).await?;
        // Its rejection with 421 is final, also after the time for which failed
        // servers are ejected.
        for round in 0..3 {
            for number in 0..20 {
                let answer = harness.post("/r/x", &format!("{round}-{number}")).await?;
                ensure!(answer.status == 200, "{answer:?}");
            }
            Timer::after(ms(900)).await;
        }
        let runs = other.runs();
        let refused = runs
            .iter()
            .filter(|run| run.outcome == Outcome::Refused(421));
        let refused = refused.count();
        ensure!(refused == 1, "reached {refused} times");
        Ok(())
    })
}

/// If another server answers at the address, the single attempt that a route allows is
/// not used up: the request goes to a right server instead of being refused.
#[test]
fn a_misdirected_attempt_does_not_use_up_the_only_attempt() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        harness
            .site
            .declare(&[single_attempt_route("/o1/", Kind::AtMostOnce)]);
        wait_until("declared", async || {
            Ok(harness.post("/o1/x", "declared").await?.status == 200)
        })
        .await?;
        wait_until("answered", async || {
            harness.post("/r/x", "before").await?;
            Ok(!near.runs().is_empty())
        })
        .await?;
        let other = replace_server(near).await?;
        for number in 0..40 {
            let attempt = format!("{number}");
            let answer = harness.post("/o1/x", &attempt).await?;
            ensure_served_by(&answer, &[&far], &attempt)?;
            ensure!(
                count_runs(&[&far, &other], &attempt) == 1,
                "{attempt} ran twice"
            );
        }
        let refused = Outcome::Refused(421);
        let runs = other.runs();
        ensure!(
            runs.iter().any(|run| run.outcome == refused),
            "the other server was not reached"
        );
        Ok(())
    })
}

#[test]
fn a_request_goes_to_no_more_servers_than_its_route_allows() -> Result {
    run(async |executor| {
        let site = site()?;
        site.declare(&[
            three_attempts_route(),
            single_attempt_route("/r1/", Kind::Repeatable),
        ]);
        let servers = start_servers(&site, 5)?;
        let all: Vec<_> = servers.iter().collect();
        let harness = Harness::start_ready(executor, site).await?;
        for (fault, status) in [
            (Fault::Failure, 500),
            (Fault::Reset, 502),
            (Fault::Shed, 503),
        ] {
            servers
                .iter()
                .for_each(|server| server.fault(fault, u32::MAX));
            for (target, most) in [("/r1/x", 1), ("/r/x", 2), ("/r3/x", 3)] {
                let attempt = format!("{fault:?}{target}");
                let answer = harness.post(target, &attempt).await?;
                ensure!(answer.status == status, "{attempt}: {answer:?}");
                let sent = count_deliveries(&all, &attempt);
                ensure!(sent == most, "{attempt}: sent {sent} times");
                let once = all
                    .iter()
                    .all(|server| count_deliveries(&[server], &attempt) <= 1);
                ensure!(once, "{attempt} went to one server twice");
            }
        }
        Ok(())
    })
}

#[test]
fn retries_during_an_outage_stay_within_the_budget() -> Result {
    const REQUESTS: usize = 80;
    const RATIO: f64 = 0.2;
    /// For the whole fleet, which is assumed to have twelve boxes.
    const EXTRA: f64 = 24.0;
    run(async |executor| {
        for fault in [Fault::Failure, Fault::Reset, Fault::Shed] {
            let site = site()?;
            site.declare(&[three_attempts_route()]);
            let servers = start_servers(&site, 3)?;
            let harness = Harness::start_with_settings(executor.clone(), site, |settings| {
                settings["bounds"]["retry_share"] = RATIO.into();
                settings["bounds"]["retry_extra"] = (EXTRA as u64).into();
            })
            .await?;
            servers
                .iter()
                .for_each(|server| server.fault(fault, u32::MAX));
            for number in 0..REQUESTS {
                let answer = harness.post("/r3/x", &number.to_string()).await?;
                ensure!(answer.status >= 500, "{answer:?}");
            }
            let sent: usize = servers.iter().map(|server| server.runs().len()).sum();
            let most = RATIO * REQUESTS as f64 + EXTRA / 12.0;
            let repeats = sent - REQUESTS;
            ensure!(repeats as f64 <= most, "{fault:?}: {repeats} retries");
            ensure!(repeats > 0, "{fault:?}: nothing was retried");
        }
        Ok(())
    })
}

#[test]
fn a_pooled_connection_to_another_hall_is_used_while_the_hall_is_responsive() -> Result {
    run(async |executor| {
        let site = site()?;
        let far = site.server(server_settings(2))?;
        let harness = Harness::start_ready(executor, site).await?;
        let two = async |name: &str| {
            let (first, second) = (format!("{name}-1"), format!("{name}-2"));
            future::try_zip(harness.post("/r/x", &first), harness.post("/r/x", &second)).await
        };
        two("both").await?;
        ensure!(far.connections().0 == 2, "{:?}", far.connections());
        // One of the two connections is used repeatedly; the other one stays idle.
        for number in 0..3 {
            Timer::after(ms(250)).await;
            harness.post("/r/x", &format!("one-{number}")).await?;
        }
        two("again").await?;
        ensure!(far.connections().0 == 2, "{:?}", far.connections());
        // Nothing was received from the hall meanwhile: it may be partitioned.
        Timer::after(ms(600)).await;
        harness.post("/r/x", "silent").await?;
        ensure!(far.connections().0 == 3, "{:?}", far.connections());
        Ok(())
    })
}
