//! What boxes know of the speeds of engines, and what that gains, simulated in memory.

use std::time::Duration;

use eyre::{ensure, eyre};
use tidepier_admission::speed::{Prediction, Service, Summary, Work};
use tidepier_clock::Instant;
use tidepier_core::answer::{Load, Slowdown};
use tidepier_relay::fleet::speeds::{Row, Speeds};
use tidepier_relay::fleet::Key;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::Settings;

use crate::choice_harness::{id, prompt, ChoiceHarness, LARGE};
use crate::harness::{ms, post, run, site, stream_server_settings, Harness, Result, SERVICE};
use crate::load_rule::EXCEEDING_MAX;
use crate::spread_harness::{play, Engines, Outcome, Pace, Plan, Reports};

/// Requests a second for each engine.
const RATE: f64 = 4.0;
/// Seeds of the test: the mean of two differs by 0.06 from one pair to the next.
const SEEDS: std::ops::Range<u64> = 17..33;
/// Threads that play the seeds of one plan.
const THREADS: usize = 4;
const TABLE_SEEDS: [u64; 5] = [17, 18, 19, 20, 21];
/// Longest time for one choice among [`FEW`] engines.
const CHOICE_TIME_MAX: Duration = Duration::from_micros(50);
const FEW: u16 = 250;
const MANY: u16 = 10_000;

/// What boxes know of the speeds of engines.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Known {
    /// Nothing: every engine has the default rate.
    Nothing,
    /// What each box learned by itself.
    Own,
    /// That, and what all others learned.
    All,
}

fn plan(boxes: usize, pace: Pace, known: Known) -> Plan {
    Plan {
        rate: RATE,
        time: Duration::from_secs(20),
        settling: Duration::from_secs(10),
        reports: Reports {
            age: 2,
            placements: true,
            ..Plan::new(boxes, 60).reports
        },
        engines: Some(Engines {
            pace,
            learned: known != Known::Nothing,
            reported: known != Known::Nothing,
            shared: known == Known::All,
        }),
        ..Plan::new(boxes, 60)
    }
}

/// Plays a plan with each seed: returns all times to the first event, and the worst share of
/// requests over the load bound.
fn play_all(plan: &Plan, seeds: &[u64]) -> Result<(Outcome, f64)> {
    let play_seeds = |seeds: &[u64]| -> Result<Vec<Outcome>> {
        let outcomes = seeds.iter().map(|seed| {
            fastrand::seed(*seed);
            play(plan)
        });
        outcomes.collect()
    };
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let parts = seeds.chunks(seeds.len().div_ceil(THREADS));
        let threads = parts.map(|part| scope.spawn(move || play_seeds(part)));
        let threads: Vec<_> = threads.collect();
        let ended = threads.into_iter().map(|thread| thread.join());
        let outcomes = ended.map(|outcomes| outcomes.map_err(|_| eyre!("a play panicked"))?);
        let outcomes: Result<Vec<Vec<Outcome>>> = outcomes.collect();
        outcomes.map(|it| it.into_iter().flatten().collect())
    })?;
    let (mut all, mut worst) = (Outcome::default(), 0.0f64);
    for outcome in outcomes {
        worst = worst.max(outcome.exceeding_share());
        all.first_event_ms.extend(outcome.first_event_ms);
        all.speed_rows += outcome.speed_rows;
    }
    Ok((all, worst))
}

/// Guards against slow engines that get as much as the fast ones, against a load above the
/// bound at the fast ones, and against harm where speeds change faster than boxes learn.
#[test]
fn known_speeds_shorten_the_time_to_the_first_event() -> Result {
    let seeds: Vec<u64> = SEEDS.collect();
    for boxes in [68, 143] {
        // Part of the mean time without knowledge that is allowed.
        for (pace, allowed) in [
            (Pace::HalfSlow, 0.9),
            (Pace::Changing, 1.04),
            (Pace::Swapping, 1.1),
        ] {
            let (before, _) = play_all(&plan(boxes, pace, Known::Nothing), &seeds)?;
            let (after, over) = play_all(&plan(boxes, pace, Known::All), &seeds)?;
            let (before, after) = (before.first_event(), after.first_event());
            let what = format!("{boxes} boxes, {pace:?}: {before:.1?}, then {after:.1?}");
            ensure!(after.0 <= allowed * before.0, "{what}");
            ensure!(over <= EXCEEDING_MAX, "{what}, {over:.3} over the bound");
        }
    }
    Ok(())
}

#[test]
#[ignore = "takes a minute; the other plays a part of it"]
fn table() -> Result {
    println!("| boxes | speeds | known | mean, ms | p99, ms | worst share over the bound | speeds in a message |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for boxes in [1, 8, 68, 143] {
        for pace in [Pace::HalfSlow, Pace::Changing, Pace::Swapping] {
            for known in [Known::Nothing, Known::Own, Known::All] {
                let plan = plan(boxes, pace, known);
                let (all, worst) = play_all(&plan, &TABLE_SEEDS)?;
                let (mean, p99) = all.first_event();
                let messages = boxes as f64 * plan.time.as_secs_f64() / 0.4;
                let rows = all.speed_rows as f64 / messages / TABLE_SEEDS.len() as f64;
                println!("| {boxes} | {pace:?} | {known:?} | {mean:.1} | {p99:.0} | {worst:.4} | {rows:.1} |");
            }
        }
    }
    Ok(())
}

/// The shortest mean time of a choice among so many engines, all of which reported a load;
/// if `known`, also a slowdown, and their rates were learned.
fn choice_time(engines: u16, known: bool) -> Result<Duration> {
    let harness = ChoiceHarness::new("hall-1", 0..engines)?;
    let now = Instant::now();
    let ids = harness.fleet.ids();
    for id in &ids {
        let backend = harness.backend(id)?;
        let load = Load {
            running: 3,
            waiting: 0,
            slots: 64,
            slowdown: Slowdown::new(fastrand::u32(50..400)).filter(|_| known),
        };
        backend.record_load(load, now);
        if !known {
            continue;
        }
        backend.set_peer_speed((20, fastrand::i32(-4_000..0)).into(), now);
        let work = Work {
            tokens_min: 800.0,
            tokens_max: 800.0,
            running: 3.0,
        };
        let took = ms(fastrand::u64(40..200));
        backend.record_first_event(work, &Prediction::default(), took, now);
    }
    let rounds = if engines > FEW { 20 } else { 500 };
    let mut shortest = Duration::MAX;
    for _ in 0..5 {
        let begin = Instant::now();
        for subject in 0..rounds {
            harness.choose(Some(&prompt(subject, LARGE)), &[])?;
        }
        shortest = shortest.min(begin.elapsed() / rounds as u32);
    }
    Ok(shortest)
}

/// Guards against a summary of all engines that makes choices slow. The time is that of a
/// release build on a machine that is not busy.
#[test]
#[ignore = "depends on the machine: cargo test --release -p tidepier-relay --test relay -- --ignored speeds::a_choice"]
fn a_choice_takes_little_time() -> Result {
    for known in [false, true] {
        let (few, many) = (choice_time(FEW, known)?, choice_time(MANY, known)?);
        println!("known {known}: {FEW} engines {few:?}, {MANY} engines {many:?}");
        ensure!(few < CHOICE_TIME_MAX, "{few:?}");
    }
    Ok(())
}

/// Guards against messages that grow with the number of engines, that repeat what is known,
/// or that leave out what was forgotten.
#[test]
fn the_greatest_differences_are_sent_first_and_once() -> Result {
    let key = |number: u32| -> Result<Key> { Ok(Key::new(&id(&format!("i-{number}"))?)) };
    let speeds = |sums: &[i32]| -> Result<Speeds> {
        let summaries = sums.iter().map(|sum| Summary::from((40, *sum)));
        let numbered = (0..).zip(summaries);
        numbered
            .map(|(number, it)| Ok((key(number)?, it)))
            .collect()
    };
    let known = speeds(&[-1_000, -4_000, 40, -2_000])?;
    let (mut sent, mut received) = (Speeds::default(), Speeds::default());
    let mut servers = Vec::new();
    for _ in 0..3 {
        let rows = sent.update(&known, 2);
        received.apply(&rows);
        servers.push(rows.iter().map(|row: &Row| row.server).collect::<Vec<_>>());
    }
    let expected = [vec![key(1)?, key(3)?], vec![key(0)?], vec![]];
    ensure!(servers == expected, "{servers:?}");
    received.apply(&sent.update(&Speeds::default(), 48));
    ensure!(received == Speeds::default(), "{received:?}");
    let mut sum = known.clone();
    sum.add(&known);
    sum.subtract(&known);
    ensure!(sum == known, "{sum:?}");
    Ok(())
}

/// Guards against a box that does not learn from the streams that it forwards.
#[test]
fn a_box_learns_the_speed_of_engines_from_their_streams() -> Result {
    run(async |executor| {
        let site = site()?;
        let engine = |number: u32| Settings {
            hall: "hall-1".into(),
            prefill: Duration::from_micros(if number == 1 { 150 } else { 25 }),
            ..stream_server_settings(number, 2, ms(1))
        };
        let _engines = [1, 2, 3].map(|number| site.server(engine(number)));
        let harness = Harness::start_ready(executor, site).await?;
        let serving = harness.router.relay().fleet.serving(&id(SERVICE)?);
        let rate = |number: usize| {
            let now = Instant::now();
            let service = Service::new(serving.iter().map(|it| it.speed()), now);
            serving[number].speed().predict(&service, now).rate()
        };
        let is_known = || {
            let mut learned = serving.iter().map(|it| it.speed().summary(Instant::now()));
            learned.all(|it| !it.is_empty())
        };
        let mut number = 0;
        while !is_known() || rate(0) >= rate(1) {
            number += 1;
            ensure!(number < 100, "{} and {}", rate(0), rate(1));
            let prompt = format!("b{number:x}:1500");
            let call = post("/s/x", &format!("{number}")).with(names::PROMPT, &prompt);
            ensure!(harness.call(&call).await?.status == 200, "not served");
        }
        ensure!(serving.len() == 3, "{}", serving.len());
        let slow = serving.first().ok_or_else(|| eyre!("no engine"))?;
        ensure!(slow.server.id.as_str().ends_with('1'), "{}", slow.server.id);
        Ok(())
    })
}
