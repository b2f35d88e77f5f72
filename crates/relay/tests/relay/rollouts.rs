//! Rollouts: how many requests a faulty release gets, how soon the fault is found, and
//! whether a good release is ever taken for faulty.
//!
//! The operator orders a release that is good, or one with half of its answers failing or
//! slow, at once, later or on one route. The simulation has no network: requests come at a
//! steady rate, each box gives the new release its share, all answers are counted in one
//! place, and a step takes effect a second after its decision.

use std::time::Duration;

use eyre::{ensure, eyre};
use serde_json::{json, Value};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::era::Revision;
use tidepier_core::rollout::{Order, State};
use tidepier_core::server::{self, Release};
use tidepier_ids as ids;
use tidepier_relay::fleet::Key;
use tidepier_relay::rollout::evidence::{Answer, Evidence, Outcome};
use tidepier_relay::rollout::judge;
use tidepier_relay::rollout::plan::{self, Observation, Step};
use tidepier_relay::rollout::stage::Stage;
use tidepier_relay::rollout::{Rollouts, Selector};
use tidepier_relay_standin::server::{Fault, Server};

use crate::choice_harness::{id, server};
use crate::harness::{ms, run, server_settings, site, wait_until, Harness, Result, SERVICE};

/// Revision of the order.
const ORDER: Revision = Revision::of(7);
/// Share of the requests that a faulty release may get, ...
const SHARE: f64 = 0.1;
/// ... plus this many.
const TOLERANCE: f64 = 50.0;
/// A faulty release gets nothing from this long after its fiftieth bad answer.
const ROLLBACK: Duration = Duration::from_secs(5);
/// Time that the order gives.
const WITHIN: Duration = Duration::from_secs(16);
/// Requests a second.
const RATE: u32 = 280;
/// Time until all boxes know of a step.
const STEP_DELAY: Duration = Duration::from_millis(1_000);
/// Interval between two evaluations.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(150);
/// Servers of each release.
const SERVERS: u16 = 60;
const ROUTES: [&str; 3] = ["r-1", "r-2", "r-3"];

/// How a release answers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Good,
    /// A tenth of its servers fail half of their requests, and so do some servers of the
    /// old release.
    FailsOnSomeServers,
    Fails,
    Slow,
    /// It fails from this long after the order.
    FailsLater(Duration),
    /// It fails on one route.
    FailsOnOneRoute,
}

/// The result of a rollout.
struct Outcomes {
    state: State,
    /// Requests to the new release, and to both releases.
    target_requests: u32,
    all: u32,
    /// When the fiftieth bad answer came, and the last request to the new release.
    fiftieth: Option<Duration>,
    last: Duration,
}

fn key(number: u16) -> Result<Key> {
    Ok(Key::new(&id(&format!("i-{number}"))?))
}

/// How one request ends, and whether the answer is a bad one.
fn answer(kind: Kind, target: bool, number: u16, route: usize, at: Duration) -> (Outcome, bool) {
    // Times vary, and a few answers of any release are slow or fail.
    let took = Duration::from_secs_f64(0.06 * (0.5 + 2.0 * fastrand::f64().powi(3)));
    let answered = |took| Outcome::Answered {
        first: took,
        whole: 4 * took,
        cold: false,
    };
    let half = fastrand::bool();
    let bad = match kind {
        _ if fastrand::f64() < 0.01 => return (Outcome::Failed, false),
        _ if fastrand::f64() < 0.02 => return (answered(10 * took), false),
        Kind::FailsOnSomeServers => {
            return match number.is_multiple_of(10) && half {
                true => (Outcome::Failed, false),
                false => (answered(took), false),
            }
        }
        _ if !target => false,
        Kind::Good => false,
        Kind::Fails | Kind::Slow => half,
        Kind::FailsLater(from) => half && at >= from,
        Kind::FailsOnOneRoute => half && route == 0,
    };
    match (bad, kind) {
        (false, _) => (answered(took), false),
        (true, Kind::Slow) => (answered(8 * took), true),
        (true, _) => (Outcome::Failed, true),
    }
}

/// Simulates a rollout.
fn simulate(kind: Kind, seed: u64) -> Result<Outcomes> {
    fastrand::seed(seed);
    let evidence = Evidence::default();
    let service: ids::Service = id(SERVICE)?;
    let start = Instant::now();
    let mut stage = None;
    let mut known: Vec<(Duration, f64)> = Vec::new();
    let (mut staged_at, mut credit, mut bad) = (Duration::ZERO, 0.0, 0);
    let mut outcomes = Outcomes {
        state: State::InProgress,
        target_requests: 0,
        all: 0,
        fiftieth: None,
        last: Duration::ZERO,
    };
    let (mut evaluated_at, gap) = (Duration::ZERO, Duration::from_secs(1) / RATE);
    let mut at = Duration::ZERO;
    while at < WITHIN {
        at += gap;
        let share = known.iter().rev().find(|(from, _)| *from <= at);
        let share = share.map_or(0.0, |(_, share)| *share);
        credit += share;
        let target = credit >= 1.0;
        if target {
            credit -= 1.0;
            outcomes.target_requests += 1;
            outcomes.last = at;
        }
        outcomes.all += 1;
        let part = if target {
            (share / 0.8).clamp(0.1, 1.0)
        } else {
            1.0
        };
        let number = fastrand::u16(0..(f64::from(SERVERS) * part) as u16);
        let route = fastrand::usize(0..ROUTES.len());
        let (outcome, is_bad) = answer(kind, target, number, route, at);
        bad += u32::from(is_bad);
        if bad == 50 && outcomes.fiftieth.is_none() {
            outcomes.fiftieth = Some(at);
        }
        let answer = Answer {
            order: Some((ORDER, target)),
            service: &service,
            route: ROUTES[route],
            server: key(number + if target { 1_000 } else { 0 })?,
            outcome,
        };
        evidence.record_answer(&answer, start + at);
        if at - evaluated_at < EVALUATION_INTERVAL {
            continue;
        }
        evaluated_at = at;
        let rows = evidence.all(start + at);
        let observation = Observation {
            stage,
            elapsed: at,
            stage_age: at - staged_at,
            within: WITHIN,
            has_servers: true,
            fault: judge::judge(&rows, ORDER),
            answers: judge::answers(&rows, ORDER),
            idle: at - staged_at,
            max_exposure: SHARE,
        };
        let (state, share) = match plan::step(&observation) {
            Step::Wait | Step::Rewrite => continue,
            Step::Share(share) => (State::InProgress, share),
            Step::Complete => (State::Completed, 1.0),
            Step::RollBack => (State::RolledBack, 0.0),
        };
        let elapsed_ms = at.as_millis() as u64;
        stage = Some(Stage {
            order: ORDER.number(),
            state,
            share,
            elapsed_ms,
        });
        staged_at = at;
        outcomes.state = state;
        known.push((at + STEP_DELAY, share));
    }
    Ok(outcomes)
}

#[test]
fn a_good_release_is_never_found_faulty() -> Result {
    for seed in 0..1_000 {
        let kind = if seed % 2 == 0 {
            Kind::Good
        } else {
            Kind::FailsOnSomeServers
        };
        let result = simulate(kind, seed)?;
        ensure!(
            result.state == State::Completed,
            "{kind:?}, seed {seed}: {}",
            result.state
        );
    }
    Ok(())
}

#[test]
fn a_faulty_release_is_found_within_its_share() -> Result {
    let kinds = [
        Kind::Fails,
        Kind::Slow,
        Kind::FailsOnOneRoute,
        Kind::FailsLater(Duration::from_secs(3)),
        Kind::FailsLater(Duration::from_secs(5)),
    ];
    for kind in kinds {
        for seed in 0..60 {
            let result = simulate(kind, seed)?;
            ensure!(
                result.state == State::RolledBack,
                "{kind:?}, seed {seed}: {}",
                result.state
            );
            let most = SHARE * f64::from(result.all) + TOLERANCE;
            ensure!(
                f64::from(result.target_requests) <= most,
                "{kind:?}, seed {seed}: {}",
                result.target_requests
            );
            let late = result
                .fiftieth
                .is_some_and(|at| result.last > at + ROLLBACK);
            ensure!(!late, "{kind:?}, seed {seed}: {:?}", result.last);
        }
    }
    Ok(())
}

fn order(target: &str) -> Result<Order> {
    Ok(Order {
        service: id(SERVICE)?,
        target: target.parse()?,
        within: WITHIN,
    })
}

fn stage(order: u64, state: State, share: f64) -> Stage {
    Stage {
        order,
        state,
        share,
        elapsed_ms: 0,
    }
}

fn select(rollouts: &Rollouts, retry: bool, now: Instant) -> Result<Selector> {
    let service = id(SERVICE)?;
    Ok(rollouts.release_selector(&service, retry, ms(2_500), |_| 60, now))
}

/// However few requests each box has, all boxes together keep within the share.
#[test]
fn boxes_together_keep_within_the_share() -> Result {
    for (boxes, each) in [(7, 600), (68, 60), (985, 6), (2_000, 3)] {
        fastrand::seed(boxes);
        let now = Instant::now();
        let mut target_requests = 0;
        for _ in 0..boxes {
            let rollouts = Rollouts::default();
            rollouts.order(order("v2")?, Revision::of(5), None, now);
            rollouts.stage(
                &id(SERVICE)?,
                stage(5, State::InProgress, 0.07),
                Revision::of(6),
                now,
            );
            rollouts.confirm_at(now);
            for _ in 0..each {
                target_requests += u64::from(select(&rollouts, false, now)?.is_canary());
            }
        }
        let most = (0.07 * (boxes * each) as f64) + TOLERANCE;
        ensure!(
            target_requests as f64 <= most && target_requests > 0,
            "{boxes} boxes: {target_requests}"
        );
    }
    Ok(())
}

#[test]
fn a_box_without_a_confirmed_view_keeps_to_the_old_release() -> Result {
    let rollouts = Rollouts::default();
    let now = Instant::now();
    rollouts.order(order("v2")?, Revision::of(5), None, now);
    let others = Selector::Others("v2".parse()?);
    ensure!(
        select(&rollouts, false, now)? == others,
        "an order without a stage"
    );
    rollouts.stage(
        &id(SERVICE)?,
        stage(5, State::InProgress, 1.0),
        Revision::of(6),
        now,
    );
    ensure!(select(&rollouts, false, now)? == others, "never confirmed");
    rollouts.confirm_at(now);
    ensure!(select(&rollouts, false, now)? != others, "confirmed");
    ensure!(
        select(&rollouts, false, now + ms(3_000))? == others,
        "confirmed too long ago"
    );
    rollouts.confirm_at(now + ms(3_000));
    rollouts.stage(
        &id(SERVICE)?,
        stage(5, State::RolledBack, 0.0),
        Revision::of(9),
        now,
    );
    ensure!(
        select(&rollouts, false, now + ms(3_000))? == others,
        "rolled back"
    );
    // An older stage, or one after the final state, changes nothing.
    rollouts.stage(
        &id(SERVICE)?,
        stage(5, State::InProgress, 1.0),
        Revision::of(8),
        now,
    );
    rollouts.stage(
        &id(SERVICE)?,
        stage(5, State::Completed, 1.0),
        Revision::of(11),
        now,
    );
    ensure!(
        select(&rollouts, false, now + ms(3_000))? == others,
        "came back"
    );
    // A retry does not go to a canary release.
    rollouts.order(order("v3")?, Revision::of(20), None, now);
    rollouts.stage(
        &id(SERVICE)?,
        stage(20, State::InProgress, 0.9),
        Revision::of(21),
        now,
    );
    let others = Selector::Others("v3".parse()?);
    for _ in 0..20 {
        ensure!(
            select(&rollouts, true, now + ms(3_000))? == others,
            "retried"
        );
    }
    rollouts.cancel(&id(SERVICE)?, Revision::of(30));
    ensure!(select(&rollouts, false, now)? == Selector::Any, "cancelled");
    Ok(())
}

#[test]
fn boxes_merge_the_newer_state_whoever_reports_it() -> Result {
    let (first, second) = (Rollouts::default(), Rollouts::default());
    let now = Instant::now();
    first.order(order("v2")?, Revision::of(5), None, now);
    first.stage(
        &id(SERVICE)?,
        stage(5, State::InProgress, 0.07),
        Revision::of(6),
        now,
    );
    ensure!(second.merge(&first.list(now), None, now), "differs");
    ensure!(
        second.list(now) == first.list(now),
        "{:?}",
        second.list(now)
    );
    let older = first.list(now);
    first.stage(
        &id(SERVICE)?,
        stage(5, State::RolledBack, 0.0),
        Revision::of(9),
        now,
    );
    second.merge(&first.list(now), None, now);
    ensure!(
        !second.merge(&older, None, now),
        "an older list is the same"
    );
    let known = second.of(&id(SERVICE)?).ok_or_else(|| eyre!("unknown"))?;
    ensure!(known.state() == State::RolledBack, "{}", known.state());
    // An older list does not bring a cancelled order back.
    first.cancel(&id(SERVICE)?, Revision::of(12));
    second.merge(&first.list(now), None, now);
    second.merge(&older, None, now);
    ensure!(second.of(&id(SERVICE)?).is_none(), "came back");
    Ok(())
}

#[test]
fn a_canary_release_gets_requests_on_a_part_of_its_servers() -> Result {
    let target: Release = "v2".parse()?;
    let of = |part| Selector::Target {
        release: target.clone(),
        part,
        order: 5,
    };
    let admitted = |select: &Selector| -> Result<usize> {
        let mut count = 0;
        for number in 0..200 {
            let release = Some(if number < 100 {
                target.clone()
            } else {
                "v1".parse()?
            });
            let server = server::Server {
                release,
                ..server(number, server::State::Ready)?
            };
            count += usize::from(select.admits(&server));
        }
        Ok(count)
    };
    ensure!(admitted(&of(1.0))? == 100, "not all");
    let tried = admitted(&of(0.1))?;
    ensure!((3..=25).contains(&tried), "{tried} of 100");
    ensure!(
        admitted(&Selector::Others(target.clone()))? == 100,
        "others"
    );
    Ok(())
}

/// The rollout status that the operator sees.
fn status(harness: &Harness) -> Option<String> {
    let key = format!("status/rollout/{SERVICE}");
    let value = harness.site.store.value(&key)?;
    let value: Value = serde_json::from_slice(&value).ok()?;
    Some(value["state"].as_str()?.to_owned())
}

fn start(harness: &Harness, within_s: f64) {
    let key = format!("op/rollout/{SERVICE}");
    let order = json!({ "service": SERVICE, "target_version": "v2", "duration_s": within_s });
    harness.site.store.put(&key, &order);
}

/// A server of the new release.
fn newer(harness: &Harness, number: u32) -> Result<Server> {
    let server = Server::start(server_settings(number))?;
    let (address, state) = (server.address(), server::State::Ready);
    harness
        .site
        .announce_with(&server, address, state, |entry| {
            entry["version"] = "v2".into()
        });
    Ok(server)
}

/// Sends requests until the status shows the end of the rollout. Returns the status.
async fn final_status(harness: &Harness, count: usize) -> Result<String> {
    for number in 0..count {
        harness.post("/r/x", &format!("{number}")).await?;
        Timer::after(ms(4)).await;
        match status(harness).as_deref() {
            None | Some("in_progress") => {}
            Some(state) => return Ok(state.to_owned()),
        }
    }
    Ok(status(harness).unwrap_or_default())
}

#[test]
fn a_faulty_release_is_rolled_back_and_gets_nothing_more() -> Result {
    run(async |executor| {
        let site = site()?;
        let old = [
            site.server(server_settings(1))?,
            site.server(server_settings(2))?,
        ];
        let harness = Harness::start_with_settings(executor, site, |settings| {
            settings["bounds"]["exposure_share"] = json!(0.4);
        })
        .await?;
        let servers: Result<Vec<Server>> = (11..17).map(|n| newer(&harness, n)).collect();
        let servers = servers?;
        servers
            .iter()
            .for_each(|server| server.fault(Fault::Failure, u32::MAX));
        start(&harness, 20.0);
        wait_until("in progress", async || Ok(status(&harness).is_some())).await?;
        let state = final_status(&harness, 1_200).await?;
        ensure!(state == "rolled_back", "{state}");
        let before: usize = servers.iter().map(|server| server.runs().len()).sum();
        ensure!(before > 0, "got no requests");
        for number in 0..40 {
            let answer = harness.post("/r/x", &format!("after-{number}")).await?;
            ensure!(answer.status == 200, "{answer:?}");
        }
        let after: usize = servers.iter().map(|server| server.runs().len()).sum();
        ensure!(
            after == before,
            "{} after it was rolled back",
            after - before
        );
        ensure!(old.iter().all(|server| server.running() == 0), "still runs");
        Ok(())
    })
}

#[test]
fn a_good_release_takes_the_service_over() -> Result {
    run(async |executor| {
        let site = site()?;
        let old = [
            site.server(server_settings(1))?,
            site.server(server_settings(2))?,
        ];
        let harness = Harness::start_with_settings(executor, site, |settings| {
            settings["bounds"]["exposure_share"] = json!(0.4);
        })
        .await?;
        let _servers: Result<Vec<Server>> = (11..17).map(|n| newer(&harness, n)).collect();
        start(&harness, 6.0);
        let state = final_status(&harness, 2_000).await?;
        ensure!(state == "completed", "{state}");
        let before: usize = old.iter().map(|server| server.runs().len()).sum();
        for number in 0..20 {
            let answer = harness.post("/r/x", &format!("after-{number}")).await?;
            ensure!(answer.status == 200, "{answer:?}");
        }
        let after: usize = old.iter().map(|server| server.runs().len()).sum();
        ensure!(after == before, "the old release goes on");
        Ok(())
    })
}
