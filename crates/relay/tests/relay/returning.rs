//! Servers that were harmed together and are sound again share the load with the others.
//!
//! These tests guard against a belief about a server that outlives what it was made of, and
//! that outranks the operator's bound: where most servers had been harmed, boxes sent
//! everything to the others for seconds after all were sound again, up to three times the mean
//! load. All windows of the users' rule count that begin a second or more after the harm.

use std::time::Duration;

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_ids as ids;
use tidepier_relay::health;

use crate::box_harness;
use crate::harness::{ms, run, server_settings, wait_until, Result};
use crate::load_rule::Excess;
use crate::returning_harness::{Harm, Kind, Scenario};
use crate::spread_harness::{self, Failing, Hot, Plan};

/// Time for boxes to find out that servers are sound again.
const FINDING_TIME: Duration = Duration::from_secs(1);
/// Longest time until all boxes know of a server that answers one of them again: a message to
/// the hub of its hall, one to the other hub and one to the boxes, on a busy machine.
const TELLING_TIME: Duration = Duration::from_millis(700);
/// Seeds of the simulations.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Everything that a scenario may do to servers.
const HARMS: [Harm; 7] = [
    Harm::Dark,
    Harm::Hang,
    Harm::Failure,
    Harm::Rejection,
    Harm::Reset,
    Harm::BreakOff,
    Harm::Slow(10),
];
/// How servers of a simulation fail: a request at a silent one ends with its deadline, or as
/// its client leaves.
const FAILINGS: [Failing; 3] = [
    Failing::Silent(Duration::from_secs(4)),
    Failing::Silent(Duration::from_secs(1)),
    Failing::Erring,
];

fn stays_within_bound(scenario: Scenario) -> Result {
    let outcome = scenario.play()?;
    let excess = outcome.worst(FINDING_TIME);
    ensure!(!excess.is_broken(), "{excess:?}; {outcome}");
    Ok(())
}

/// Three in ten requests are about one subject, so that the engine that caches it is preferred.
fn with_hot_subject(harm: Harm) -> Scenario {
    Scenario {
        kind: Kind::Engines(3),
        ..Scenario::engines(harm)
    }
}

fn five_of_eight(harm: Harm) -> Scenario {
    Scenario {
        servers: 8,
        harmed: 5,
        gap: Duration::from_micros(2_800),
        ..Scenario::engines(harm)
    }
}

#[test]
fn engines_that_took_requests_and_answered_none_are_not_avoided() -> Result {
    stays_within_bound(with_hot_subject(Harm::Hang))
}

#[test]
fn five_of_eight_engines_that_answered_none_are_not_avoided() -> Result {
    stays_within_bound(five_of_eight(Harm::Hang))
}

#[test]
fn engines_that_stood_still_are_not_avoided() -> Result {
    stays_within_bound(with_hot_subject(Harm::Dark))
}

#[test]
fn engines_that_erred_are_not_avoided() -> Result {
    stays_within_bound(Scenario::engines(Harm::Failure))
}

#[test]
fn engines_that_reset_connections_are_not_avoided() -> Result {
    stays_within_bound(Scenario::engines(Harm::Reset))
}

#[test]
fn engines_that_broke_answers_off_are_not_avoided() -> Result {
    stays_within_bound(Scenario::engines(Harm::BreakOff))
}

#[test]
fn engines_that_were_slow_are_not_avoided() -> Result {
    stays_within_bound(with_hot_subject(Harm::Slow(10)))
}

#[test]
fn plain_servers_that_stood_still_are_not_avoided() -> Result {
    stays_within_bound(Scenario::plain(Harm::Dark))
}

#[test]
fn plain_servers_that_reset_connections_are_not_avoided() -> Result {
    stays_within_bound(Scenario::plain(Harm::Reset))
}

#[test]
fn plain_servers_that_were_slow_are_not_avoided() -> Result {
    stays_within_bound(Scenario::plain(Harm::Slow(10)))
}

/// Guards against boxes that each have to find out by a request of their own that a server is
/// sound again: boxes of two halls have ejected it for seconds, and it answers one of them.
#[test]
fn boxes_learn_of_each_other_that_an_ejected_server_answers() -> Result {
    run(async |executor| {
        let site = box_harness::site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let halls = ["hall-1", "hall-1", "hall-2", "hall-2"];
        let boxes = box_harness::start_boxes_in(&executor, &site, &halls).await?;
        wait_until("the server known", async || {
            Ok(boxes.iter().all(|it| it.knows(&server)))
        })
        .await?;
        // Until the boxes of each hall report to its hub, and the hubs to each other.
        Timer::after(Duration::from_secs(2)).await;
        let id: ids::Server = server.settings().id.parse()?;
        let backends = boxes.iter().map(|it| it.router.relay().fleet.get(&id));
        let backends: Option<Vec<_>> = backends.collect();
        let backends = backends.ok_or_else(|| eyre!("the server is not known"))?;
        let start = Instant::now();
        for backend in &backends {
            for _ in 0..8 {
                backend.record(health::Outcome::Errored, start, start);
                Timer::after(ms(1)).await;
                let now = Instant::now();
                backend.record(health::Outcome::Errored, now, now);
            }
            ensure!(
                !backend.health.allows(start + ms(3_000)),
                "not ejected for long"
            );
        }
        let sent = Instant::now();
        backends[3].record_answering(sent, sent);
        wait_until("probed elsewhere", async || {
            Ok(backends.iter().all(|it| it.health.allows(Instant::now())))
        })
        .await?;
        let took = sent.elapsed();
        ensure!(took < TELLING_TIME, "{took:?}");
        Ok(())
    })
}

/// Boxes of three halls before servers of which two in three fail for 3 s.
fn fleet(boxes: usize, servers: usize, kind: spread_harness::Kind, failing: Failing) -> Plan {
    let harm = spread_harness::Harm {
        servers: (servers * 2).div_ceil(3).min(servers - 1),
        from: Duration::from_secs(3),
        time: Duration::from_secs(3),
        failing,
    };
    Plan {
        kind,
        halls: 3,
        rate: match kind {
            spread_harness::Kind::Plain => 65.0,
            _ => 10.0,
        },
        time: Duration::from_secs(15),
        harm: Some(harm),
        ..Plan::new(boxes, servers)
    }
}

/// The same without a harm: the windows that are judged stay the same.
fn without_harm(mut plan: Plan) -> Plan {
    plan.harm = plan
        .harm
        .map(|harm| spread_harness::Harm { servers: 0, ..harm });
    plan
}

/// The worst window of each seed that begins this long after the harm or later.
fn worst_windows(plan: &Plan, after: Duration) -> Result<Vec<Excess>> {
    let harm = plan.harm.ok_or_else(|| eyre!("no harm"))?;
    let plays = SEEDS.iter().map(|seed| {
        fastrand::seed(*seed);
        let outcome = spread_harness::play(plan)?;
        Ok(Excess::worst(
            &outcome.arrivals,
            harm.from + harm.time + after,
        ))
    });
    plays.collect()
}

fn plan_stays_within_bound(plan: &Plan) -> Result {
    let windows = worst_windows(plan, FINDING_TIME)?;
    let is_any_broken = windows.iter().any(|it| it.is_broken());
    ensure!(!is_any_broken, "{:?}: {windows:?}", plan.harm);
    Ok(())
}

fn fleet_stays_within_bound(boxes: usize, servers: usize, kind: spread_harness::Kind) -> Result {
    let mut plans = FAILINGS.iter().map(|it| fleet(boxes, servers, kind, *it));
    plans.try_for_each(|plan| plan_stays_within_bound(&plan))
}

#[test]
fn three_boxes_do_not_avoid_engines_that_failed() -> Result {
    fleet_stays_within_bound(3, 3, spread_harness::Kind::Engines)
}

#[test]
fn three_boxes_do_not_avoid_eight_engines_that_failed() -> Result {
    fleet_stays_within_bound(3, 8, spread_harness::Kind::Engines)
}

#[test]
fn a_fleet_does_not_avoid_ninety_engines_that_failed() -> Result {
    fleet_stays_within_bound(78, 90, spread_harness::Kind::Engines)
}

#[test]
fn a_large_fleet_does_not_avoid_engines_that_failed() -> Result {
    fleet_stays_within_bound(1_000, 240, spread_harness::Kind::Engines)
}

#[test]
fn three_boxes_do_not_avoid_plain_servers_that_failed() -> Result {
    fleet_stays_within_bound(3, 3, spread_harness::Kind::Plain)
}

#[test]
fn three_boxes_do_not_avoid_eight_plain_servers_that_failed() -> Result {
    fleet_stays_within_bound(3, 8, spread_harness::Kind::Plain)
}

/// Guards against boxes that crowd one of few engines after all of them have started again, as
/// none knows where the others send a hot subject. No server is harmed.
#[test]
fn boxes_that_start_again_do_not_crowd_one_of_three_engines() -> Result {
    plan_stays_within_bound(&without_harm(Plan {
        restart: Some(Duration::from_secs(7)),
        hot: Hot::share(2, 7),
        ..fleet(78, 3, spread_harness::Kind::Engines, Failing::Erring)
    }))
}

/// Prints the table of incident 25; `ONLY` names a part of it.
#[test]
#[ignore = "takes minutes"]
fn table() -> Result {
    let only = std::env::var("ONLY").unwrap_or_default();
    let variants = HARMS.iter().flat_map(|harm| {
        let restarts = |scenario| Scenario {
            restarts: true,
            ..scenario
        };
        [
            Scenario::engines(*harm),
            restarts(Scenario::engines(*harm)),
            with_hot_subject(*harm),
            five_of_eight(*harm),
            Scenario::plain(*harm),
            restarts(Scenario::plain(*harm)),
        ]
    });
    for scenario in variants {
        let name = format!("{scenario:?}");
        if name.contains(&only) {
            println!("{name}: {}", scenario.play()?);
        }
    }
    Ok(())
}

/// Prints the table of simulations of incident 25; `ONLY` names a part of it, `RESTART` when
/// all boxes start again, in ms, `HOT` how many of seven requests are about one subject, and
/// `HARMLESS` leaves the harm out.
#[test]
#[ignore = "takes minutes"]
fn fleet_table() -> Result {
    use spread_harness::Kind;

    let only = std::env::var("ONLY").unwrap_or_default();
    let restart = std::env::var("RESTART").ok();
    let restart = restart.and_then(|text| text.parse().ok()).map(ms);
    let hot = std::env::var("HOT").ok();
    let hot = hot.and_then(|text| text.parse().ok()).unwrap_or(0);
    let is_harmless = std::env::var_os("HARMLESS").is_some();
    let sizes = [
        (3, 3),
        (3, 8),
        (12, 12),
        (78, 3),
        (78, 90),
        (1_000, 3),
        (1_000, 90),
        (1_000, 240),
    ];
    for (kind, (boxes, servers)) in [Kind::Engines, Kind::Plain]
        .into_iter()
        .flat_map(|kind| sizes.map(|size| (kind, size)))
    {
        for failing in FAILINGS {
            let name = format!("{kind:?} {boxes} boxes {servers} servers {failing:?}");
            if name.contains(&only) {
                let mut plan = Plan {
                    restart,
                    hot: Hot::share(hot, 7),
                    ..fleet(boxes, servers, kind, failing)
                };
                if is_harmless {
                    plan = without_harm(plan);
                }
                let shares = (0..5).map(|after| {
                    let windows = worst_windows(&plan, Duration::from_secs(after))?;
                    Ok(windows.iter().map(|it| it.share()).fold(0.0, f64::max))
                });
                println!("{name}: {:.3?}", shares.collect::<Result<Vec<f64>>>()?);
            }
        }
    }
    Ok(())
}
