//! Services that are moved to another release: what a bad one gets, how soon it is
//! known, and whether a good one is condemned.
//!
//! Pattern: the operator orders a release that is good, or one of which half of the
//! answers fail or are slow, at once, later or on one route. The driver has no network:
//! requests come at a steady pace, each box gives the new release its share, all answers
//! are counted in one place, and what is decided is in force a second later.

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

/// The order.
const ORDER: Revision = Revision::of(7);
/// Share of the requests that a bad release may get, ...
const SHARE: f64 = 0.1;
/// ... and so many more.
const TOLERANCE: f64 = 50.0;
/// A bad release gets nothing so long after its fiftieth bad answer.
const ROLLBACK: Duration = Duration::from_secs(5);
/// Time that the order gives.
const WITHIN: Duration = Duration::from_secs(16);
/// Requests a second.
const RATE: u32 = 280;
/// Time until all boxes know a step.
const KNOWN_AFTER: Duration = Duration::from_millis(1_000);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(150);
/// Servers of either release.
const SERVERS: u16 = 60;
const ROUTES: [&str; 3] = ["r-1", "r-2", "r-3"];

/// How a release answers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Good,
    /// A tenth of its servers fail half of their requests, as some of the old ones do.
    Grey,
    Fails,
    Slow,
    /// It fails from so long after the order.
    Late(Duration),
    /// It fails on one route.
    OneRoute,
}

/// What came of an order.
struct Outcomes {
    state: State,
    /// Requests of the new release, and of both.
    got: u32,
    all: u32,
    /// When its fiftieth bad answer came, and its last request.
    fiftieth: Option<Duration>,
    last: Duration,
}

fn key(number: u16) -> Result<Key> {
    Ok(Key::new(&id(&format!("i-{number}"))?))
}

/// How one answer ends, and whether it is a bad one.
fn answer(kind: Kind, target: bool, number: u16, route: usize, at: Duration) -> (Outcome, bool) {
    // Answers differ, and a few of any release are slow or fail.
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
        Kind::Grey => {
            return match number.is_multiple_of(10) && half {
                true => (Outcome::Failed, false),
                false => (answered(took), false),
            }
        }
        _ if !target => false,
        Kind::Good => false,
        Kind::Fails | Kind::Slow => half,
        Kind::Late(from) => half && at >= from,
        Kind::OneRoute => half && route == 0,
    };
    match (bad, kind) {
        (false, _) => (answered(took), false),
        (true, Kind::Slow) => (answered(8 * took), true),
        (true, _) => (Outcome::Failed, true),
    }
}

/// Plays an order.
fn play(kind: Kind, seed: u64) -> Result<Outcomes> {
    fastrand::seed(seed);
    let evidence = Evidence::default();
    let service: ids::Service = id(SERVICE)?;
    let start = Instant::now();
    let mut stage = None;
    let mut known: Vec<(Duration, f64)> = Vec::new();
    let (mut staged, mut credit, mut bad) = (Duration::ZERO, 0.0, 0);
    let mut outcomes = Outcomes {
        state: State::InProgress,
        got: 0,
        all: 0,
        fiftieth: None,
        last: Duration::ZERO,
    };
    let (mut looked, gap) = (Duration::ZERO, Duration::from_secs(1) / RATE);
    let mut at = Duration::ZERO;
    while at < WITHIN {
        at += gap;
        let share = known.iter().rev().find(|(from, _)| *from <= at);
        let share = share.map_or(0.0, |(_, share)| *share);
        credit += share;
        let target = credit >= 1.0;
        if target {
            credit -= 1.0;
            outcomes.got += 1;
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
        if at - looked < LOOK {
            continue;
        }
        looked = at;
        let rows = evidence.all(start + at);
        let look = Observation {
            stage,
            elapsed: at,
            staged: at - staged,
            within: WITHIN,
            serves: true,
            fault: judge::judge(&rows, ORDER),
            answers: judge::answers(&rows, ORDER),
            idle: at - staged,
            max_exposure: SHARE,
        };
        let (state, share) = match plan::step(&look) {
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
        staged = at;
        outcomes.state = state;
        known.push((at + KNOWN_AFTER, share));
    }
    Ok(outcomes)
}

#[test]
fn a_good_release_is_never_condemned() -> Result {
    for seed in 0..1_000 {
        let kind = if seed % 2 == 0 {
            Kind::Good
        } else {
            Kind::Grey
        };
        let played = play(kind, seed)?;
        ensure!(
            played.state == State::Completed,
            "{kind:?}, seed {seed}: {}",
            played.state
        );
    }
    Ok(())
}

#[test]
fn a_bad_release_is_found_by_what_little_it_gets() -> Result {
    let kinds = [
        Kind::Fails,
        Kind::Slow,
        Kind::OneRoute,
        Kind::Late(Duration::from_secs(3)),
        Kind::Late(Duration::from_secs(5)),
    ];
    for kind in kinds {
        for seed in 0..60 {
            let played = play(kind, seed)?;
            ensure!(
                played.state == State::RolledBack,
                "{kind:?}, seed {seed}: {}",
                played.state
            );
            let most = SHARE * f64::from(played.all) + TOLERANCE;
            ensure!(
                f64::from(played.got) <= most,
                "{kind:?}, seed {seed}: {}",
                played.got
            );
            let late = played
                .fiftieth
                .is_some_and(|at| played.last > at + ROLLBACK);
            ensure!(!late, "{kind:?}, seed {seed}: {:?}", played.last);
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

fn aim(rollouts: &Rollouts, again: bool, now: Instant) -> Result<Selector> {
    let service = id(SERVICE)?;
    Ok(rollouts.release_selector(&service, again, ms(2_500), |_| 60, now))
}

/// However few requests each box has, all of them together keep within the share.
#[test]
fn boxes_together_keep_within_the_share() -> Result {
    for (boxes, each) in [(7, 600), (68, 60), (985, 6), (2_000, 3)] {
        fastrand::seed(boxes);
        let now = Instant::now();
        let mut got = 0;
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
                got += u64::from(aim(&rollouts, false, now)?.is_trial());
            }
        }
        let most = (0.07 * (boxes * each) as f64) + TOLERANCE;
        ensure!(got as f64 <= most && got > 0, "{boxes} boxes: {got}");
    }
    Ok(())
}

#[test]
fn a_box_that_cannot_show_what_it_knows_keeps_to_the_old_release() -> Result {
    let rollouts = Rollouts::default();
    let now = Instant::now();
    rollouts.order(order("v2")?, Revision::of(5), None, now);
    let others = Selector::Others("v2".parse()?);
    ensure!(
        aim(&rollouts, false, now)? == others,
        "an order without a stage"
    );
    rollouts.stage(
        &id(SERVICE)?,
        stage(5, State::InProgress, 1.0),
        Revision::of(6),
        now,
    );
    ensure!(aim(&rollouts, false, now)? == others, "never proven");
    rollouts.confirm_at(now);
    ensure!(aim(&rollouts, false, now)? != others, "proven");
    ensure!(
        aim(&rollouts, false, now + ms(3_000))? == others,
        "an old proof"
    );
    rollouts.confirm_at(now + ms(3_000));
    rollouts.stage(
        &id(SERVICE)?,
        stage(5, State::RolledBack, 0.0),
        Revision::of(9),
        now,
    );
    ensure!(
        aim(&rollouts, false, now + ms(3_000))? == others,
        "rolled back"
    );
    // An older word, or one after the end, changes nothing.
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
        aim(&rollouts, false, now + ms(3_000))? == others,
        "came back"
    );
    // A request that was sent before is not for a release on trial.
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
            aim(&rollouts, true, now + ms(3_000))? == others,
            "sent again"
        );
    }
    rollouts.cancel(&id(SERVICE)?, Revision::of(30));
    ensure!(aim(&rollouts, false, now)? == Selector::Any, "taken back");
    Ok(())
}

#[test]
fn boxes_take_over_the_newer_state_whoever_tells_it() -> Result {
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
    // An order that was taken back does not come back by an older list.
    first.cancel(&id(SERVICE)?, Revision::of(12));
    second.merge(&first.list(now), None, now);
    second.merge(&older, None, now);
    ensure!(second.of(&id(SERVICE)?).is_none(), "came back");
    Ok(())
}

#[test]
fn so_few_servers_are_tried_that_they_have_as_much_to_do_as_later() -> Result {
    let target: Release = "v2".parse()?;
    let of = |part| Selector::Target {
        release: target.clone(),
        part,
        order: 5,
    };
    let admitted = |aim: &Selector| -> Result<usize> {
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
            count += usize::from(aim.admits(&server));
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

/// Writes the operator's order, and returns what it is told.
fn status(house: &Harness) -> Option<String> {
    let key = format!("status/rollout/{SERVICE}");
    let value = house.site.store.value(&key)?;
    let value: Value = serde_json::from_slice(&value).ok()?;
    Some(value["state"].as_str()?.to_owned())
}

fn start(house: &Harness, within_s: f64) {
    let key = format!("op/rollout/{SERVICE}");
    let order = json!({ "service": SERVICE, "target_version": "v2", "duration_s": within_s });
    house.site.store.put(&key, &order);
}

/// A server of the new release.
fn newer(house: &Harness, number: u32) -> Result<Server> {
    let server = Server::start(server_settings(number))?;
    let (address, state) = (server.address(), server::State::Ready);
    house.site.announce_with(&server, address, state, |entry| {
        entry["version"] = "v2".into()
    });
    Ok(server)
}

/// Sends requests until the operator is told something; returns what.
async fn told(house: &Harness, count: usize) -> Result<String> {
    for number in 0..count {
        house.post("/r/x", &format!("{number}")).await?;
        Timer::after(ms(4)).await;
        match status(house).as_deref() {
            None | Some("in_progress") => {}
            Some(state) => return Ok(state.to_owned()),
        }
    }
    Ok(status(house).unwrap_or_default())
}

#[test]
fn a_bad_release_is_rolled_back_and_gets_nothing_more() -> Result {
    run(async |executor| {
        let site = site()?;
        let old = [
            site.server(server_settings(1))?,
            site.server(server_settings(2))?,
        ];
        let house = Harness::start_with_settings(executor, site, |told| {
            told["bounds"]["exposure_share"] = json!(0.4);
        })
        .await?;
        let servers: Result<Vec<Server>> = (11..17).map(|n| newer(&house, n)).collect();
        let servers = servers?;
        servers
            .iter()
            .for_each(|server| server.fault(Fault::Failure, u32::MAX));
        start(&house, 20.0);
        wait_until("in progress", async || Ok(status(&house).is_some())).await?;
        let state = told(&house, 1_200).await?;
        ensure!(state == "rolled_back", "{state}");
        let before: usize = servers.iter().map(|server| server.runs().len()).sum();
        ensure!(before > 0, "never tried");
        for number in 0..40 {
            let answer = house.post("/r/x", &format!("after-{number}")).await?;
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
        let house = Harness::start_with_settings(executor, site, |told| {
            told["bounds"]["exposure_share"] = json!(0.4);
        })
        .await?;
        let _servers: Result<Vec<Server>> = (11..17).map(|n| newer(&house, n)).collect();
        start(&house, 6.0);
        let state = told(&house, 2_000).await?;
        ensure!(state == "completed", "{state}");
        let before: usize = old.iter().map(|server| server.runs().len()).sum();
        for number in 0..20 {
            let answer = house.post("/r/x", &format!("after-{number}")).await?;
            ensure!(answer.status == 200, "{answer:?}");
        }
        let after: usize = old.iter().map(|server| server.runs().len()).sum();
        ensure!(after == before, "the old release goes on");
        Ok(())
    })
}
