//! Servers that request a back-off when they reject a request.
//!
//! Guards against the following failure: a server requested a back-off of three seconds
//! and got ten requests of the box in that time, each of which it rejected, while most
//! servers of its service had room; over a tenth of the clients were not served. The
//! cause was that the requested time was decoded and nothing read it, so that each
//! request was placed as if the server had requested nothing. The logs of the boxes show
//! this: eight of the ten were first attempts of eight requests, placed at the same cost
//! as before. The first test here reproduces it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::ensure;
use smol::Timer;
use tidepier_clock::Instant as Moment;
use tidepier_core::answer::Answer;
use tidepier_core::catalog::Cold;
use tidepier_core::server::StartTime;
use tidepier_relay::fleet::{Backend, Update};
use tidepier_relay::settings::Settings;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, Fault, Run, Server};

use crate::choice_harness::{self, id, ChoiceHarness};
use crate::harness::{
    self, ensure_not_executed, ensure_served_by, ms, run, server_settings, site,
    start_with_two_servers, stream_server_settings, wait_until, Harness, Result,
};
use crate::sim::{Plan, Sim};

/// Time after the first rejection from which the server gets no more than [`LATE_MAX`]
/// requests.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Requests that may reach a server during the back-off that it requested.
const LATE_MAX: usize = 2;

/// A usual server in the hall of the router, beside the first one.
fn twin(number: u32) -> server::Settings {
    server::Settings {
        hall: server_settings(1).hall,
        ..server_settings(number)
    }
}

/// Sends requests of all kinds in turn for `time`. Returns how many were sent and how
/// many were served.
pub(crate) async fn ask(harness: &Harness, name: &str, time: Duration) -> Result<(usize, usize)> {
    let start = Instant::now();
    let (mut sent, mut served) = (0, 0);
    while start.elapsed() < time {
        let target = ["/r/x", "/o/x"][sent % 2];
        let answer = harness.post(target, &format!("{name}-{sent}")).await?;
        sent += 1;
        served += usize::from(answer.status == 200);
        Timer::after(ms(10)).await;
    }
    Ok((sent, served))
}

/// Requests that reached a server between two times after its first rejection.
pub(crate) fn reached(server: &Server, from: Duration, to: Duration) -> usize {
    let runs = server.runs();
    let Some(first) = runs.iter().find(|run| !run.ran()).map(|run| run.arrived) else {
        return 0;
    };
    let within = |run: &&Run| run.arrived > first + from && run.arrived < first + to;
    runs.iter().filter(within).count()
}

#[test]
fn a_server_that_requests_a_backoff_gets_nothing_meanwhile() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        ask(&harness, "before", ms(300)).await?;
        near.ask_rest(Some("2.5"));
        near.fault(Fault::Shed, u32::MAX);
        let (sent, served) = ask(&harness, "after", ms(2_400)).await?;
        ensure!(
            near.runs().iter().any(|run| !run.ran()),
            "the case did not arise"
        );
        let late = reached(&near, NOTICE_TIME, ms(2_500));
        ensure!(
            late <= LATE_MAX,
            "{late} requests to a server that is backing off"
        );
        // The other server has room for all requests but the one that the first server
        // rejected.
        ensure!(served + 1 >= sent, "{served} of {sent} served");
        ensure!(!far.runs().is_empty(), "the other server got none");
        Ok(())
    })
}

/// Two servers in the box's hall reject all requests and request a back-off; an idle
/// server is elsewhere. Only requests that were in flight before the rejections are
/// refused.
#[test]
fn an_idle_server_elsewhere_serves_meanwhile() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = [site.server(server_settings(1))?, site.server(twin(7))?];
        let far = site.server(server_settings(2))?;
        let harness = Harness::start_ready(executor, site).await?;
        for server in &near {
            server.ask_rest(Some("2"));
            server.fault(Fault::Shed, u32::MAX);
        }
        let (sent, served) = ask(&harness, "asked", ms(1_800)).await?;
        ensure!(served + 2 >= sent, "{served} of {sent} served");
        ensure!(
            far.runs().len() >= served,
            "served by servers that are backing off"
        );
        Ok(())
    })
}

/// All servers are backing off. New requests are refused at once, with a true promise
/// that they were not run and with the time that is left. None reaches a server, and
/// after that time requests are served again.
#[test]
fn what_cannot_be_placed_is_refused_at_once() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        for server in [&near, &far] {
            server.ask_rest(Some("1.5"));
            server.fault(Fault::Shed, 1);
        }
        // The route allows attempts at two servers.
        ensure_not_executed(&harness.post("/r/x", "word").await?)?;
        let rejected_at = Instant::now();
        for number in 0..20 {
            let answer = harness.post("/r/x", &format!("refused-{number}")).await?;
            ensure_not_executed(&answer)?;
            ensure!(answer.elapsed < ms(200), "held for {:?}", answer.elapsed);
            let wait: f64 = answer.field(names::RETRY_AFTER).unwrap_or("0").parse()?;
            let left = 1.5 - rejected_at.elapsed().as_secs_f64();
            ensure!(wait > left - 0.1 && wait < left + 1.2, "{wait} s of {left}");
            Timer::after(ms(50)).await;
        }
        let reached = near.runs().len() + far.runs().len();
        ensure!(
            reached == 2,
            "{reached} reached servers that are backing off"
        );
        wait_until("served", async || {
            Ok(harness.post("/r/x", "back").await?.status == 200)
        })
        .await?;
        ensure!(
            rejected_at.elapsed() > ms(1_400),
            "after {:?}",
            rejected_at.elapsed()
        );
        ensure!(
            rejected_at.elapsed() < ms(2_500),
            "after {:?}",
            rejected_at.elapsed()
        );
        Ok(())
    })
}

/// No stream is resumed at a server that is backing off, and no first attempt of a
/// stream is sent there.
#[test]
fn no_stream_goes_to_a_server_that_is_backing_off() -> Result {
    run(async |executor| {
        let site = site()?;
        let rejecting = site.server(stream_server_settings(1, 20, ms(20)))?;
        let breaks = site.server(stream_server_settings(2, 20, ms(20)))?;
        let other = site.server(stream_server_settings(3, 20, ms(20)))?;
        let harness = Harness::start_ready(executor, site).await?;
        rejecting.ask_rest(Some("3"));
        rejecting.fault(Fault::Shed, u32::MAX);
        wait_until("asked", async || {
            harness
                .post("/u/x", &format!("word-{}", other.runs().len()))
                .await?;
            Ok(!rejecting.runs().is_empty())
        })
        .await?;
        let rejected_at = Instant::now();
        breaks.fault(Fault::CutEvent, u32::MAX);
        for number in 0..6 {
            harness.post("/s/x", &format!("resumed-{number}")).await?;
        }
        let late = rejecting.runs();
        let late = late.iter().filter(|run| run.arrived > rejected_at).count();
        ensure!(late == 0, "{late} streams at a server that is backing off");
        Ok(())
    })
}

/// What the operator sees of a server that requests a back-off of an hour by mistake,
/// and how the operator cancels it.
#[test]
fn the_operator_cancels_a_backoff_of_an_hour() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        near.ask_rest(Some("3600"));
        near.fault(Fault::Shed, 1);
        wait_until("asked", async || {
            harness
                .post("/o/x", &format!("word-{}", far.runs().len()))
                .await?;
            Ok(!near.runs().is_empty())
        })
        .await?;
        far.fault(Fault::Shed, u32::MAX);
        ask(&harness, "resting", ms(300)).await?;
        ensure!(
            near.runs().len() == 1,
            "sent to a server that is backing off"
        );
        let fleet = &harness.router.relay().fleet;
        ensure!(
            fleet.count_ineligible(tidepier_clock::Instant::now()) == (0, 1),
            "not counted as backing off"
        );
        let woken = |servers: &[&str]| -> Result<Settings> {
            let mut settings = harness::settings(&harness.site);
            settings["woken"] = servers.to_vec().into();
            Ok(serde_json::from_value(settings)?)
        };
        harness.router.apply_settings(&woken(&["i-9", "i-1"])?);
        let answer = harness.post("/r/x", "back").await?;
        ensure_served_by(&answer, &[&near], "back")?;
        ensure!(woken(&["no id!"]).is_err(), "an invalid id was accepted");
        Ok(())
    })
}

/// What one box knows of a server, and how answers of the server change that.
struct Observer {
    harness: ChoiceHarness,
    server: Rc<Backend>,
    start: Moment,
}

impl Observer {
    fn new() -> Result<Self> {
        let harness = ChoiceHarness::new("hall-1", [1, 2])?;
        let server = harness.backend(&id("i-1")?)?;
        let start = harness.start;
        Ok(Self {
            harness,
            server,
            start,
        })
    }

    /// Applies a rejection at `at` ms that requests a back-off of `backoff` ms. Returns
    /// what is new.
    fn rejected(&self, at: u64, backoff: u64) -> Update {
        let answer = Answer {
            status: 503,
            not_executed: true,
            retry_after: Some(ms(backoff)),
            ..Answer::default()
        };
        self.harness
            .fleet
            .apply_answer(&self.server, &answer, self.start + ms(at))
    }

    fn is_backing_off(&self, at: u64) -> bool {
        self.server.is_backing_off(self.start + ms(at))
    }
}

/// Of several requested back-offs the one that ends last applies, in whichever order
/// they arrive.
#[test]
fn the_longest_of_several_backoffs_applies() -> Result {
    let observer = Observer::new()?;
    ensure!(
        observer.rejected(0, 3_000).backoff.is_some(),
        "the first back-off is not new"
    );
    ensure!(
        observer.rejected(100, 500).backoff.is_none(),
        "a shorter one was reported as new"
    );
    ensure!(
        observer.is_backing_off(2_999),
        "a shorter back-off replaced it"
    );
    observer.rejected(200, 5_000);
    ensure!(
        observer.is_backing_off(5_199),
        "a longer back-off was not applied"
    );
    let success = Answer {
        status: 200,
        ..Answer::default()
    };
    observer
        .harness
        .fleet
        .apply_answer(&observer.server, &success, observer.start + ms(300));
    ensure!(
        observer.is_backing_off(5_199),
        "the answer to an older request cancelled it"
    );
    ensure!(!observer.is_backing_off(5_200), "longer than requested");
    Ok(())
}

/// A back-off ends with the incarnation of the server, not when its entry is removed.
#[test]
fn a_backoff_outlives_the_entry_and_not_the_incarnation() -> Result {
    let observer = Observer::new()?;
    let fleet = &observer.harness.fleet;
    observer.rejected(0, 60_000);
    let server = &observer.server.server;
    fleet.remove(&server.id);
    fleet.announce(server.clone(), observer.start + ms(100));
    let back = observer.harness.backend(&server.id)?;
    ensure!(
        back.is_backing_off(observer.start + ms(1_000)),
        "the entry's return cancelled it"
    );
    fleet.announce(server.clone(), observer.start + ms(200));
    ensure!(
        back.is_backing_off(observer.start + ms(1_000)),
        "an entry cancelled it"
    );
    let born = |birth| tidepier_core::server::Server {
        born: Some(StartTime(birth)),
        ..server.clone()
    };
    fleet.announce(born(7), observer.start + ms(300));
    fleet.announce(born(8), observer.start + ms(400));
    let new = observer.harness.backend(&server.id)?;
    ensure!(
        !new.is_backing_off(observer.start + ms(1_000)),
        "a new incarnation is backing off"
    );
    Ok(())
}

/// A back-off concerns only the box that it was requested of, and it is no failure.
#[test]
fn a_backoff_concerns_one_box_and_is_no_failure() -> Result {
    let (observer, other) = (Observer::new()?, Observer::new()?);
    observer.rejected(0, 3_000);
    ensure!(
        observer.is_backing_off(10) && !other.is_backing_off(10),
        "another box backs off too"
    );
    ensure!(
        observer.server.health.last_succeeded(),
        "counted as a failure"
    );
    ensure!(
        observer.server.health.failure_rate(Moment::now()) == 0.0,
        "counted as a failure"
    );
    Ok(())
}

/// A subject returns to the server that has it cached.
#[test]
fn a_subject_returns_after_the_backoff() -> Result {
    let harness = ChoiceHarness::new("hall-1", 1..=6)?;
    let prompt = choice_harness::prompt(5, choice_harness::LARGE);
    let keeper = harness.send(&prompt)?;
    let rejected = Answer {
        status: 503,
        not_executed: true,
        retry_after: Some(ms(60)),
        ..Answer::default()
    };
    harness
        .fleet
        .apply_answer(&keeper, &rejected, Moment::now());
    let meanwhile = harness.choose(Some(&prompt), &[])?;
    ensure!(
        meanwhile.backend.key != keeper.key,
        "sent during the back-off"
    );
    std::thread::sleep(ms(90));
    let after = harness.choose(Some(&prompt), &[])?;
    ensure!(after.backend.key == keeper.key, "moved away for good");
    Ok(())
}

/// Boxes of three halls before thirty engines, with 20 requests a second for each
/// engine, multiplied by `times`.
fn fleet(boxes: u16, times: f64) -> Plan {
    Plan {
        boxes: vec![boxes; 3],
        servers: vec![10; 3],
        rate: 600.0 * times,
        hot: 0.0,
        time: ms(8_000),
        max_wait: ms(6_000),
        cold: Cold {
            time: Duration::ZERO,
            per_s: 1e6,
        },
        bound: (1.0, 0.0),
    }
}

/// All engines reject all requests for 1.5 s and request a back-off of 2 s. The refused
/// requests return over a second, so that the average rate is three times the usual one
/// during it. Before retry delays were spread, ten to twenty times the usual number
/// arrived within 100 ms.
#[test]
fn refused_clients_do_not_return_all_at_once() -> Result {
    for (boxes, seed) in [(2, 1), (10, 2), (100, 3)] {
        let plan = fleet(boxes, 1.0 + f64::from(boxes) / 25.0);
        let usual = (plan.rate / 10.0) as usize;
        let sim = Sim::new(plan, seed)?;
        sim.reject(|_| true, ms(1_500), ms(2_000))?;
        let outcome = sim.play();
        let peak = outcome.busiest_together(ms(100));
        ensure!(peak > 2 * usual, "{boxes}: the case did not arise, {peak}");
        ensure!(
            peak <= 5 * usual,
            "{boxes}: {peak} within 100 ms, usually {usual}"
        );
        ensure!(outcome.lost == 0, "{boxes}: {} gave up", outcome.lost);
    }
    Ok(())
}

/// A third of the engines reject all requests for 0.4 s and request a back-off of 2 s.
/// In the seconds after, none of them gets more than twice its usual number of requests
/// a second, in fleets of 6, 30 and 300 boxes, and meanwhile requests are placed
/// elsewhere.
#[test]
fn boxes_do_not_all_return_at_once() -> Result {
    for (boxes, seed) in [(2, 1), (10, 2), (100, 3)] {
        let sim = Sim::new(fleet(boxes, 1.0), seed)?;
        let rejecting = |id: &tidepier_ids::Server| id.as_str().starts_with("i-1-");
        sim.reject(|server| rejecting(&server.id), ms(400), ms(2_000))?;
        let outcome = sim.play();
        let (back, usual) = (
            outcome.busiest(rejecting),
            outcome.busiest(|id| !rejecting(id)),
        );
        ensure!(
            back <= 2 * usual,
            "{boxes}: {back} in a second, {usual} at the others"
        );
        let refused = outcome.refused_part();
        ensure!(refused < 0.03, "{boxes}: {refused:.4} refused");
    }
    Ok(())
}
