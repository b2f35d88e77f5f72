//! Which server a box chooses for one request.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::answer::Load;
use tidepier_core::catalog::Cold;
use tidepier_core::server::State;
use tidepier_ids as ids;
use tidepier_relay::choose::filter::{Admission, Filter};
use tidepier_relay::choose::{self, Criteria};
use tidepier_relay::cold::{Limit, Roster};
use tidepier_relay::fleet::used::Used;
use tidepier_relay::health::Outcome;

use crate::choice_harness::{id, prompt, server, ChoiceHarness, LARGE, SMALL};
use crate::harness::{ms, run, Result};

/// Maximum number of servers that may prefill one subject while there is little load.
const KEEPERS_MAX: usize = 2;

/// Hash of the choices that are made with a fixed seed while no speed is known.
const FORMER_SEQUENCE: u64 = 3_837_753_169_737_361_352;

#[test]
fn few_servers_prefill_one_subject_without_load() -> Result {
    for tokens in [LARGE, SMALL] {
        let harnesses: Result<Vec<ChoiceHarness>> = (0..6)
            .map(|_| ChoiceHarness::new("hall-1", 0..12))
            .collect();
        let harnesses = harnesses?;
        let mut readers: HashMap<u64, HashSet<ids::Server>> = HashMap::new();
        for _ in 0..5 {
            for (subject, harness) in
                (0..40).flat_map(|n| harnesses.iter().map(move |harness| (n, harness)))
            {
                let chosen = harness.send(&prompt(subject, tokens))?;
                let all = readers.entry(subject).or_default();
                all.insert(chosen.server.id.clone());
            }
        }
        for (subject, servers) in &readers {
            ensure!(servers.len() <= KEEPERS_MAX, "{subject} at {servers:?}");
        }
    }
    Ok(())
}

#[test]
fn a_server_over_the_bound_is_avoided() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = harness.first(&prompt)?;
    let unloaded = harness.choose(Some(&prompt), &[])?;
    ensure!(
        unloaded.backend.server.id == first,
        "{}",
        unloaded.backend.server.id
    );
    ensure!(unloaded.rank == Some(0), "{:?}", unloaded.rank);
    // Equal load everywhere is no reason to move.
    let ids = harness.fleet.ids();
    let even: Result<Vec<_>> = ids.iter().map(|id| harness.load(id, 6)).collect();
    let even = even?;
    let choice = harness.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id == first, "moved by an even load");
    ensure!(choice.load == 6.0, "{}", choice.load);
    drop(even);
    // The load of this box alone exceeds the bound here, so the request moves.
    let above_bound = harness.load(&first, 14)?;
    for _ in 0..20 {
        let choice = harness.choose(Some(&prompt), &[])?;
        ensure!(choice.backend.server.id != first, "chosen above the bound");
    }
    drop(above_bound);
    // So it does for a load that the server reports, among other reported loads.
    let reported = |running| Load {
        running,
        waiting: 0,
        slots: 16,
        slowdown: None,
    };
    for id in harness.fleet.ids() {
        let running = if id == first { 14 } else { 2 };
        harness
            .backend(&id)?
            .record_load(reported(running), Instant::now());
    }
    let choice = harness.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id != first,
        "chosen despite its reported load"
    );
    ensure!(choice.load == 2.0, "{}", choice.load);
    Ok(())
}

/// Guards against simulated plays whose choices depend on how fast the machine plays them.
#[test]
fn a_reported_load_expires_by_the_time_of_the_choice() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = harness.first(&prompt)?;
    let reported = harness.start + Duration::from_secs(60);
    for id in harness.fleet.ids() {
        let load = Load {
            running: if id == first { 14 } else { 2 },
            waiting: 0,
            slots: 16,
            slowdown: None,
        };
        harness.backend(&id)?.record_load(load, reported);
    }
    let after = |time| harness.choose_at(&prompt, reported + time);
    let choice = after(Duration::from_secs(1))?;
    ensure!(choice.backend.server.id != first, "chosen after 1 s");
    let choice = after(Duration::from_secs(4))?;
    ensure!(choice.backend.server.id == first, "avoided after 4 s");
    Ok(())
}

/// Guards against boxes that all send their first request about a subject to one engine
/// though they hear nothing of each other.
#[test]
fn boxes_without_reports_divide_their_first_requests() -> Result {
    let prompt = prompt(3, SMALL);
    let mut chosen = std::collections::BTreeSet::new();
    let mut copying = 0;
    for _ in 0..40 {
        let harness = ChoiceHarness::new("hall-1", 0..40)?;
        let demand = &harness.index.demand;
        demand.record(&harness.service, Some(1), harness.start);
        let early = harness.choose_at(&prompt, harness.start + Duration::from_millis(500))?;
        let first = harness.first(&prompt)?;
        ensure!(
            early.backend.server.id == first,
            "divided before reports are due"
        );
        let due = harness.start + Duration::from_secs(2);
        let choice = harness.choose_at(&prompt, due)?;
        let again = harness.choose_at(&prompt, due)?;
        ensure!(
            again.backend.key == choice.backend.key,
            "another one each time"
        );
        let is_first = choice.backend.server.id == first;
        ensure!(
            is_first == choice.copy_from.is_none(),
            "not copied from the first"
        );
        copying += usize::from(!is_first);
        chosen.insert(choice.backend.server.id.clone());
    }
    ensure!((3..=6).contains(&chosen.len()), "{chosen:?}");
    ensure!(copying >= 20, "{copying} of 40 divided");
    Ok(())
}

#[test]
fn a_server_with_many_requests_of_other_boxes_is_avoided() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = harness.first(&prompt)?;
    let server = harness.backend(&first)?.key;
    harness
        .fleet
        .set_peer_in_flight(&HashMap::from([(server, 6)]), 2, Instant::now());
    let choice = harness.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id != first,
        "chosen despite the other boxes' requests"
    );
    // The requests of the other boxes have ended.
    harness
        .fleet
        .set_peer_in_flight(&HashMap::new(), 2, Instant::now());
    let choice = harness.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id == first, "an old count moved it");
    Ok(())
}

#[test]
fn requests_since_the_last_report_are_assumed_at_other_boxes_too() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..4)?;
    let first = harness.first(&prompt(3, SMALL))?;
    let backend = harness.backend(&first)?;
    let counted = || backend.total_in_flight(ms(1_500), Instant::now());
    let _before = harness.load(&first, 2)?;
    let reported = HashMap::from([(backend.key, 3)]);
    harness
        .fleet
        .set_peer_in_flight(&reported, 4, Instant::now());
    ensure!(counted() == Some(5), "{:?}", counted());
    // A single request may be chance.
    let _one = harness.load(&first, 1)?;
    ensure!(counted() == Some(6), "{:?}", counted());
    let more = harness.load(&first, 2)?;
    ensure!(counted() == Some(3 + 5 + 4 * 2), "{:?}", counted());
    // The end of requests of this box says nothing about the other boxes.
    drop(more);
    ensure!(counted() == Some(6), "{:?}", counted());
    Ok(())
}

#[test]
fn a_server_without_a_reported_load_counts_as_the_mean() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = harness.first(&prompt)?;
    for id in harness.fleet.ids().iter().filter(|id| **id != first) {
        let load = Load {
            running: 6,
            waiting: 0,
            slots: 16,
            slowdown: None,
        };
        harness.backend(id)?.record_load(load, Instant::now());
    }
    let choice = harness.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id == first,
        "an unreported load counted as high"
    );
    ensure!(
        choice.load == 6.0,
        "an unreported load counted as idle: {}",
        choice.load
    );
    Ok(())
}

#[test]
fn the_load_stays_bounded_under_one_hot_subject() -> Result {
    let harness = ChoiceHarness::new("hall-1", (0..16).filter(|number| number % 2 == 0))?;
    let mut running = Vec::new();
    for _ in 0..80 {
        let backend = harness.send(&prompt(1, SMALL))?;
        running.push(backend.run(0));
        let loads: Vec<u32> = harness
            .fleet
            .serving(&harness.service)
            .iter()
            .map(|b| b.in_flight())
            .collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len() as f64;
        let most = f64::from(loads.iter().max().copied().unwrap_or(0));
        // The operator's bound on skew: twice the mean plus three.
        ensure!(most <= 2.0 * mean + 3.0, "{loads:?}");
    }
    Ok(())
}

#[test]
fn failures_count_by_comparison_with_the_other_servers() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = harness.first(&prompt)?;
    let fail = |id: &ids::Server| -> Result {
        let health = &harness.backend(id)?.health;
        // Never three failures in a row, which would eject the server.
        for _ in 0..12 {
            for outcome in [Outcome::Errored, Outcome::Errored, Outcome::Succeeded] {
                health.record(outcome, Instant::now(), Instant::now());
            }
        }
        Ok(())
    };
    fail(&first)?;
    ensure!(
        harness.backend(&first)?.health.allows(Instant::now()),
        "ejected"
    );
    let choice = harness.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id != first,
        "chosen though it alone fails"
    );
    let plain = harness.choose(None, &[])?;
    ensure!(
        plain.backend.server.id != first,
        "chosen though it alone fails"
    );
    for id in harness.fleet.ids().iter().filter(|id| **id != first) {
        fail(id)?;
    }
    let choice = harness.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id == first,
        "moved though all fail alike"
    );
    Ok(())
}

#[test]
fn an_ejected_server_is_chosen_only_without_others() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = harness.first(&prompt)?;
    let eject = |id: &ids::Server| -> Result {
        for _ in 0..3 {
            harness
                .backend(id)?
                .health
                .record(Outcome::Errored, Instant::now(), Instant::now());
        }
        Ok(())
    };
    eject(&first)?;
    // However loaded the others are.
    let others: Vec<_> = harness
        .fleet
        .ids()
        .into_iter()
        .filter(|id| *id != first)
        .collect();
    let loads_of_others: Result<Vec<_>> = others.iter().map(|id| harness.load(id, 60)).collect();
    let loads_of_others = loads_of_others?;
    for prompt in [Some(&prompt), None] {
        let choice = harness.choose(prompt, &[])?;
        ensure!(choice.backend.server.id != first, "an ejected server");
    }
    drop(loads_of_others);
    // Among ejected and tried servers, the one that was not tried yet is chosen.
    for id in &others {
        eject(id)?;
    }
    let tried = &others[..];
    for prompt in [Some(&prompt), None] {
        let choice = harness.choose(prompt, tried)?;
        ensure!(choice.backend.server.id == first, "a server that was tried");
    }
    // Without any other, a server that was tried is chosen.
    for id in &others {
        harness.drain(id)?;
    }
    let choice = harness.choose(Some(&prompt), std::slice::from_ref(&first))?;
    ensure!(
        choice.backend.server.id == first,
        "{}",
        choice.backend.server.id
    );
    harness.drain(&first)?;
    ensure!(
        harness.choose(Some(&prompt), &[]).is_err(),
        "chose a leaving server"
    );
    Ok(())
}

#[test]
fn no_server_gets_more_connections_than_allowed() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..2)?;
    let prompt = prompt(3, SMALL);
    let used = Used::default();
    let criteria = |connections| Criteria {
        prompt: Some(&prompt),
        copy_ms: None,
        tried: &[],
        used: &used,
        filter: Filter::default(),
        hall: &harness.hall,
        not_resumable: false,
        repeatable: false,
        connections,
        crowd_factor: 2.0,
        boxes: 1,
    };
    let pick = |connections| {
        let now = Instant::now();
        let criteria = criteria(connections);
        choose::choose(
            &harness.fleet,
            &harness.service,
            &criteria,
            &harness.index,
            now,
        )
    };
    let first = harness.first(&prompt)?;
    let _running = harness.load(&first, 2)?;
    let other = pick(2).ok_or_else(|| eyre!("none chosen"))?;
    ensure!(other.backend.server.id != first, "more than allowed");
    let _others = harness.load(&other.backend.server.id, 2)?;
    ensure!(pick(2).is_none(), "more than allowed");
    ensure!(pick(3).is_some(), "fewer than allowed");
    Ok(())
}

#[test]
fn the_own_hall_is_preferred_where_nothing_is_cached() -> Result {
    run(async |_| {
        let harness = ChoiceHarness::new("hall-2", 0..8)?;
        for _ in 0..20 {
            let chosen = harness.choose(None, &[])?.backend;
            ensure!(chosen.server.hall == harness.hall, "{}", chosen.server.id);
            Timer::after(ms(1)).await;
        }
        Ok(())
    })
}

/// Servers of an emptied hall and cold servers count in the mean that the load bound refers
/// to. Without them the mean is twice as high here, and a subject would stay at a server
/// that holds more than twice the mean of all servers plus three.
#[test]
fn servers_with_few_requests_count_in_the_mean() -> Result {
    for emptied in [true, false] {
        let harness = ChoiceHarness::new("hall-1", 0..8)?;
        let far: ids::Hall = id("hall-2")?;
        let now = Instant::now();
        if emptied {
            harness.fleet.set_emptied(&[far.clone()].into(), now);
        }
        // A subject for which a server outside of the emptied hall ranks first.
        let subjects = (0..100).map(|subject| prompt(subject, SMALL));
        let mut found = None;
        for prompt in subjects {
            let first = harness.backend(&harness.first(&prompt)?)?;
            found = (first.server.hall != far)
                .then_some((prompt, first))
                .or(found);
        }
        let (prompt, first) = found.ok_or_else(|| eyre!("no such subject"))?;
        for number in 0..8 {
            let backend = harness.backend(&id(&format!("i-{number}"))?)?;
            let running = match backend.server.hall == far {
                true => 0,
                false if backend.key == first.key => 14,
                false => 10,
            };
            backend.record_load(
                Load {
                    running,
                    waiting: 0,
                    slots: 64,
                    slowdown: None,
                },
                now,
            );
        }
        let cold = Cold {
            time: Duration::from_secs(3),
            per_s: 9.6,
        };
        if !emptied {
            for number in [1, 3, 5, 7] {
                let mut colder = server(number, State::Ready)?;
                colder.cold = cold.time;
                harness.fleet.announce(colder, now);
            }
        }
        let roster = Roster::default();
        let gate = Admission {
            limit: Limit::new(cold, 1.0, 0.0),
            roster: &roster,
            max_wait: Duration::ZERO,
        };
        let filter = Filter {
            gate: Some(gate),
            ..Filter::default()
        };
        let chosen = harness.choose_within(&prompt, filter)?.backend;
        ensure!(
            chosen.key != first.key,
            "over the bound, emptied: {emptied}"
        );
        ensure!(chosen.server.hall != far, "to {far}, emptied: {emptied}");
    }
    Ok(())
}

/// Guards against choices that differ although nothing is known of the speed of any engine:
/// the sequence is that of the commit before speeds were learned.
#[test]
fn choices_are_as_before_while_no_speed_is_known() -> Result {
    fastrand::seed(17);
    let harness = ChoiceHarness::new("hall-1", 0..30)?;
    let mut running = VecDeque::new();
    let mut sequence: u64 = 0;
    for _ in 0..600 {
        let subject = fastrand::u64(0..200);
        let backend = harness.send(&prompt(subject, if subject < 100 { LARGE } else { SMALL }))?;
        let number: u64 = backend.server.id.as_str()[2..].parse()?;
        sequence = sequence.wrapping_mul(31).wrapping_add(number);
        running.push_back(backend.run(500));
        if running.len() > 150 {
            running.pop_front();
        }
    }
    ensure!(sequence == FORMER_SEQUENCE, "{sequence}");
    Ok(())
}
