//! How often and where to a request is sent, and what is promised of it.

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

/// A route that allows three servers.
fn thrice() -> Route {
    Route {
        attempts: 3,
        ..Route::new("/r3/", Kind::Repeatable, SERVICE)
    }
}

/// A route that allows one server.
fn single_server(path: &str, kind: Kind) -> Route {
    Route {
        attempts: 1,
        ..Route::new(path, kind, SERVICE)
    }
}

/// So many servers of a site.
fn servers(site: &Site, count: u32) -> Result<Vec<Server>> {
    (1..=count)
        .map(|number| Ok(site.server(server_settings(number))?))
        .collect()
}

/// Another server at the address of one that ends.
async fn taken_over(server: Server) -> Result<Server> {
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
        let (near, far, house) = start_with_two_servers(executor).await?;
        for fault in [Fault::LostAnswer, Fault::Reset, Fault::Garbage] {
            for target in ["/o/x", "/u/x"] {
                near.fault(fault, u32::MAX);
                far.fault(fault, u32::MAX);
                let attempt = format!("{fault:?}{target}");
                let answer = house.post(target, &attempt).await?;
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
        let (near, far, house) = start_with_two_servers(executor).await?;
        near.fault(Fault::Failure, u32::MAX);
        far.fault(Fault::Failure, u32::MAX);
        let answer = house.post("/o/x", "failed").await?;
        ensure!(answer.status == 500, "{answer:?}");
        ensure!(answer.field(names::SEAL).is_some(), "{answer:?}");
        ensure!(count_runs(&[&near, &far], "failed") == 1, "ran twice");
        Ok(())
    })
}

#[test]
fn a_repeatable_request_whose_answer_is_lost_runs_elsewhere() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        for fault in [Fault::LostAnswer, Fault::Reset, Fault::Failure] {
            near.fault(fault, 1);
            let attempt = format!("{fault:?}");
            let answer = house.post("/r/x", &attempt).await?;
            ensure_served_by(&answer, &[&near, &far], &attempt)?;
            near.heal();
        }
        Ok(())
    })
}

/// A server made an answer, if only an error: where no other server has one, the
/// client gets that and no guess of the router's.
#[test]
fn an_error_is_kept_until_another_server_answers() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        for fault in [Fault::LostAnswer, Fault::Reset, Fault::Garbage, Fault::Shed] {
            near.fault(Fault::Failure, 1);
            far.fault(fault, u32::MAX);
            let attempt = format!("{fault:?}");
            let answer = house.post("/r/x", &attempt).await?;
            ensure!(answer.status == 500 && answer.complete, "{answer:?}");
            ensure!(answer.field(names::ATTEMPT) == Some(&attempt), "{answer:?}");
            let runs = near.runs();
            let run = runs.iter().find(|run| run.attempt == attempt);
            let run = run.ok_or_else(|| eyre!("{attempt} did not run"))?;
            ensure!(answer.field(names::SEAL) == Some(&run.seal), "{answer:?}");
            ensure!(
                count_deliveries(&[&far], &attempt) == 1,
                "{attempt}: not sent again"
            );
            far.heal();
        }
        Ok(())
    })
}

#[test]
fn a_refused_request_goes_to_another_server() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        for fault in [Fault::Shed, Fault::Busy] {
            for target in ["/r/x", "/o/x"] {
                near.fault(fault, 1);
                let attempt = format!("{fault:?}{target}");
                let answer = house.post(target, &attempt).await?;
                ensure_served_by(&answer, &[&near, &far], &attempt)?;
                ensure!(count_runs(&[&near, &far], &attempt) == 1, "ran twice");
            }
        }
        Ok(())
    })
}

#[test]
fn a_request_that_all_servers_refuse_is_promised_not_to_run() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        for fault in [Fault::Shed, Fault::Busy] {
            near.fault(fault, u32::MAX);
            far.fault(fault, u32::MAX);
            for target in ["/r/x", "/o/x", "/s/x", "/u/x"] {
                let attempt = format!("{fault:?}{target}");
                ensure_not_executed(&house.post(target, &attempt).await?)?;
                ensure!(count_runs(&[&near, &far], &attempt) == 0, "{attempt} ran");
            }
        }
        Ok(())
    })
}

#[test]
fn clients_of_a_service_that_is_down_are_called_back_after_a_start() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        for server in [&near, &far] {
            server.crash();
            wait_until_down(server).await?;
        }
        for target in ["/r/x", "/o/x"] {
            let answer = house.post(target, target).await?;
            ensure_not_executed(&answer)?;
            let wait = answer.field(names::RETRY_AFTER).unwrap_or_default();
            let wait: f64 = wait.parse()?;
            ensure!((0.8..=1.3).contains(&wait), "come back after {wait}");
        }
        Ok(())
    })
}

#[test]
fn without_a_server_a_request_is_promised_not_to_run() -> Result {
    run(async |executor| {
        let (gone, house) = start_with_one_server(executor).await?;
        gone.crash();
        wait_until_down(&gone).await?;
        for target in ["/r/x", "/o/x"] {
            ensure_not_executed(&house.post(target, target).await?)?;
        }
        house.site.withdraw(&gone);
        wait_until("gone", async || Ok(house.router.relay().fleet.is_empty())).await?;
        for target in ["/r/x", "/o/x"] {
            ensure_not_executed(&house.post(target, target).await?)?;
        }
        Ok(())
    })
}

#[test]
fn a_refusal_after_a_lost_answer_is_no_promise() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        for fault in [Fault::Shed, Fault::Busy] {
            near.fault(Fault::LostAnswer, 1);
            far.fault(fault, u32::MAX);
            let attempt = format!("{fault:?}");
            let answer = house.post("/r/x", &attempt).await?;
            ensure!(near.ran(&attempt) == 1, "it did not run");
            ensure!(answer.status == 502, "{answer:?}");
        }
        Ok(())
    })
}

#[test]
fn no_promise_is_given_once_a_request_may_have_run() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(Settings {
            work: ms(600),
            ..server_settings(1)
        })?;
        let house = Harness::start_ready(executor, site).await?;
        server.fault(Fault::LostAnswer, 1);
        let leave = async {
            Timer::after(ms(150)).await;
            house.site.withdraw(&server);
            Ok(())
        };
        let call = post("/r/x", "ran");
        let (answer, ()) = future::try_zip(house.call(&call), leave).await?;
        ensure!(server.ran("ran") == 1, "it did not run");
        ensure!(answer.status == 502, "{answer:?}");
        Ok(())
    })
}

#[test]
fn a_server_that_is_another_now_is_left_alone() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        // Another server has taken over the address of the near one.
        let other = taken_over(near).await?;
        for target in ["/o/x", "/r/x"] {
            let answer = house.post(target, target).await?;
            ensure_served_by(&answer, &[&far], target)?;
            ensure!(other.ran(target) == 0, "ran at another server");
        }
        ensure!(
            other
                .runs()
                .iter()
                .any(|run| run.outcome == Outcome::Refused(421)),
            "the case did not arise"
        );
        Ok(())
    })
}

#[test]
fn a_server_that_is_another_now_is_asked_once() -> Result {
    run(async |executor| {
        let (near, _far, house) = start_with_two_servers(executor).await?;
        // It has answered fast, so that it is preferred from now on.
        wait_until("answered", async || {
            house.post("/r/x", "before").await?;
            Ok(!near.runs().is_empty())
        })
        .await?;
        let other = taken_over(near).await?;
        // What it says of itself holds for good, also after a time out.
        for round in 0..3 {
            for number in 0..20 {
                let answer = house.post("/r/x", &format!("{round}-{number}")).await?;
                ensure!(answer.status == 200, "{answer:?}");
            }
            Timer::after(ms(900)).await;
        }
        let runs = other.runs();
        let refused = runs
            .iter()
            .filter(|run| run.outcome == Outcome::Refused(421));
        let refused = refused.count();
        ensure!(refused == 1, "asked {refused} times");
        Ok(())
    })
}

/// A route that allows one server has had none when another server answers at the
/// address: the caller is not to come back for that.
#[test]
fn a_request_that_reached_another_server_goes_to_one_that_is_there() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        house
            .site
            .declare(&[single_server("/o1/", Kind::AtMostOnce)]);
        wait_until("declared", async || {
            Ok(house.post("/o1/x", "declared").await?.status == 200)
        })
        .await?;
        wait_until("answered", async || {
            house.post("/r/x", "before").await?;
            Ok(!near.runs().is_empty())
        })
        .await?;
        let other = taken_over(near).await?;
        for number in 0..40 {
            let attempt = format!("{number}");
            let answer = house.post("/o1/x", &attempt).await?;
            ensure_served_by(&answer, &[&far], &attempt)?;
            ensure!(
                count_runs(&[&far, &other], &attempt) == 1,
                "{attempt} ran twice"
            );
        }
        let refused = Outcome::Refused(421);
        let runs = other.runs();
        ensure!(runs.iter().any(|run| run.outcome == refused), "not asked");
        Ok(())
    })
}

#[test]
fn a_request_goes_to_no_more_servers_than_its_route_allows() -> Result {
    run(async |executor| {
        let site = site()?;
        site.declare(&[thrice(), single_server("/r1/", Kind::Repeatable)]);
        let servers = servers(&site, 5)?;
        let all: Vec<_> = servers.iter().collect();
        let house = Harness::start_ready(executor, site).await?;
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
                let answer = house.post(target, &attempt).await?;
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
fn retries_of_a_storm_stay_within_their_share() -> Result {
    const REQUESTS: usize = 80;
    const RATIO: f64 = 0.2;
    /// Over the whole fleet, which is taken to have twelve boxes.
    const EXTRA: f64 = 24.0;
    run(async |executor| {
        for fault in [Fault::Failure, Fault::Reset, Fault::Shed] {
            let site = site()?;
            site.declare(&[thrice()]);
            let servers = servers(&site, 3)?;
            let house = Harness::start_with_settings(executor.clone(), site, |settings| {
                settings["bounds"]["retry_share"] = RATIO.into();
                settings["bounds"]["retry_extra"] = (EXTRA as u64).into();
            })
            .await?;
            servers
                .iter()
                .for_each(|server| server.fault(fault, u32::MAX));
            for number in 0..REQUESTS {
                let answer = house.post("/r3/x", &number.to_string()).await?;
                ensure!(answer.status >= 500, "{answer:?}");
            }
            let sent: usize = servers.iter().map(|server| server.runs().len()).sum();
            let most = RATIO * REQUESTS as f64 + EXTRA / 12.0;
            let repeats = sent - REQUESTS;
            ensure!(repeats as f64 <= most, "{fault:?}: {repeats} repeats");
            ensure!(repeats > 0, "{fault:?}: nothing was repeated");
        }
        Ok(())
    })
}

#[test]
fn a_kept_connection_to_another_hall_serves_while_the_hall_is_heard() -> Result {
    run(async |executor| {
        let site = site()?;
        let far = site.server(server_settings(2))?;
        let house = Harness::start_ready(executor, site).await?;
        let two = async |name: &str| {
            let (first, second) = (format!("{name}-1"), format!("{name}-2"));
            future::try_zip(house.post("/r/x", &first), house.post("/r/x", &second)).await
        };
        two("both").await?;
        ensure!(far.connections().0 == 2, "{:?}", far.connections());
        // One of the two is used again and again, and the other one rests.
        for number in 0..3 {
            Timer::after(ms(250)).await;
            house.post("/r/x", &format!("one-{number}")).await?;
        }
        two("again").await?;
        ensure!(far.connections().0 == 2, "{:?}", far.connections());
        // Nothing was heard of the hall meanwhile: it may be cut off.
        Timer::after(ms(600)).await;
        house.post("/r/x", "silent").await?;
        ensure!(far.connections().0 == 3, "{:?}", far.connections());
        Ok(())
    })
}
