//! Which server a box picks for one request.

use std::collections::{HashMap, HashSet};
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
use tidepier_relay::health::Outcome;

use crate::choice_harness::{id, prompt, server, ChoiceHarness, LARGE, SMALL};
use crate::harness::{ms, run, Result};

/// Servers that may read one subject while nobody has much to do.
const KEEPERS_MAX: usize = 2;

#[test]
fn few_servers_read_one_subject_without_load() -> Result {
    for tokens in [LARGE, SMALL] {
        let boxes: Result<Vec<ChoiceHarness>> = (0..6)
            .map(|_| ChoiceHarness::new("hall-1", 0..12))
            .collect();
        let boxes = boxes?;
        let mut readers: HashMap<u64, HashSet<ids::Server>> = HashMap::new();
        for _ in 0..5 {
            for (subject, desk) in (0..40).flat_map(|n| boxes.iter().map(move |desk| (n, desk))) {
                let chosen = desk.send(&prompt(subject, tokens))?;
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
fn a_crowded_server_is_passed_over() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    let calm = desk.choose(Some(&prompt), &[])?;
    ensure!(
        calm.backend.server.id == first,
        "{}",
        calm.backend.server.id
    );
    ensure!(calm.rank == Some(0), "{:?}", calm.rank);
    // As many everywhere: no reason to move.
    let ids = desk.fleet.ids();
    let even: Result<Vec<_>> = ids.iter().map(|id| desk.load(id, 6)).collect();
    let even = even?;
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id == first, "moved by an even load");
    ensure!(choice.load == 6.0, "{}", choice.load);
    drop(even);
    // All of them here: the bound moves it.
    let crowd = desk.load(&first, 14)?;
    for _ in 0..20 {
        let choice = desk.choose(Some(&prompt), &[])?;
        ensure!(choice.backend.server.id != first, "chosen over the bound");
    }
    drop(crowd);
    // So does a load that the server tells, among others that tell theirs.
    let told = |running| Load {
        running,
        waiting: 0,
        slots: 16,
    };
    for id in desk.fleet.ids() {
        let running = if id == first { 14 } else { 2 };
        desk.backend(&id)?
            .record_load(told(running), Instant::now());
    }
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id != first, "chosen over a told load");
    ensure!(choice.load == 2.0, "{}", choice.load);
    Ok(())
}

#[test]
fn a_server_that_is_crowded_by_other_boxes_is_passed_over() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    let server = desk.backend(&first)?.key;
    desk.fleet
        .set_peer_in_flight(&HashMap::from([(server, 6)]), 2, Instant::now());
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id != first, "chosen over the count");
    // What the others have under way is over.
    desk.fleet
        .set_peer_in_flight(&HashMap::new(), 2, Instant::now());
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id == first, "an old count moved it");
    Ok(())
}

#[test]
fn what_came_here_since_the_others_told_has_come_to_them_too() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..4)?;
    let first = desk.first(&prompt(3, SMALL))?;
    let backend = desk.backend(&first)?;
    let counted = || backend.total_in_flight(ms(1_500), Instant::now());
    let _before = desk.load(&first, 2)?;
    let told = HashMap::from([(backend.key, 3)]);
    desk.fleet.set_peer_in_flight(&told, 4, Instant::now());
    ensure!(counted() == Some(5), "{:?}", counted());
    // One may be chance.
    let _one = desk.load(&first, 1)?;
    ensure!(counted() == Some(6), "{:?}", counted());
    let more = desk.load(&first, 2)?;
    ensure!(counted() == Some(3 + 5 + 4 * 2), "{:?}", counted());
    // What ended here says nothing of the others.
    drop(more);
    ensure!(counted() == Some(6), "{:?}", counted());
    Ok(())
}

#[test]
fn a_server_that_told_no_load_counts_as_the_mean() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    for id in desk.fleet.ids().iter().filter(|id| **id != first) {
        let load = Load {
            running: 6,
            waiting: 0,
            slots: 16,
        };
        desk.backend(id)?.record_load(load, Instant::now());
    }
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id == first,
        "an untold load looked crowded"
    );
    ensure!(
        choice.load == 6.0,
        "an untold load looked idle: {}",
        choice.load
    );
    Ok(())
}

#[test]
fn the_load_stays_bounded_under_one_hot_subject() -> Result {
    let desk = ChoiceHarness::new("hall-1", (0..16).filter(|number| number % 2 == 0))?;
    let mut running = Vec::new();
    for _ in 0..80 {
        let backend = desk.send(&prompt(1, SMALL))?;
        running.push(backend.run(0));
        let loads: Vec<u32> = desk
            .fleet
            .serving(&desk.service)
            .iter()
            .map(|b| b.in_flight())
            .collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len() as f64;
        let most = f64::from(loads.iter().max().copied().unwrap_or(0));
        // The operator's bound on skew: twice the mean and three.
        ensure!(most <= 2.0 * mean + 3.0, "{loads:?}");
    }
    Ok(())
}

#[test]
fn a_server_fails_by_comparison_with_the_others() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    let fail = |id: &ids::Server| -> Result {
        let health = &desk.backend(id)?.health;
        // Never three in a row, which would leave it out.
        for _ in 0..12 {
            for outcome in [Outcome::Errored, Outcome::Errored, Outcome::Succeeded] {
                health.record(outcome, Instant::now());
            }
        }
        Ok(())
    };
    fail(&first)?;
    ensure!(
        desk.backend(&first)?.health.allows(Instant::now()),
        "left out"
    );
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id != first,
        "chosen though it alone fails"
    );
    let plain = desk.choose(None, &[])?;
    ensure!(
        plain.backend.server.id != first,
        "chosen though it alone fails"
    );
    for id in desk.fleet.ids().iter().filter(|id| **id != first) {
        fail(id)?;
    }
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id == first,
        "moved though all fail alike"
    );
    Ok(())
}

#[test]
fn a_server_that_is_left_out_is_taken_only_without_others() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    let leave_out = |id: &ids::Server| -> Result {
        for _ in 0..3 {
            desk.backend(id)?
                .health
                .record(Outcome::Errored, Instant::now());
        }
        Ok(())
    };
    leave_out(&first)?;
    // However crowded the others are.
    let others: Vec<_> = desk
        .fleet
        .ids()
        .into_iter()
        .filter(|id| *id != first)
        .collect();
    let crowds: Result<Vec<_>> = others.iter().map(|id| desk.load(id, 60)).collect();
    let crowds = crowds?;
    for prompt in [Some(&prompt), None] {
        let choice = desk.choose(prompt, &[])?;
        ensure!(
            choice.backend.server.id != first,
            "a server that is left out"
        );
    }
    drop(crowds);
    // Of two that are left out or were tried, the one not tried yet.
    for id in &others {
        leave_out(id)?;
    }
    let tried = &others[..];
    for prompt in [Some(&prompt), None] {
        let choice = desk.choose(prompt, tried)?;
        ensure!(choice.backend.server.id == first, "one that was tried");
    }
    // With nothing else, one that was tried.
    for id in &others {
        desk.drain(id)?;
    }
    let choice = desk.choose(Some(&prompt), std::slice::from_ref(&first))?;
    ensure!(
        choice.backend.server.id == first,
        "{}",
        choice.backend.server.id
    );
    desk.drain(&first)?;
    ensure!(
        desk.choose(Some(&prompt), &[]).is_err(),
        "chose a leaving server"
    );
    Ok(())
}

#[test]
fn no_server_gets_more_connections_than_allowed() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..2)?;
    let prompt = prompt(3, SMALL);
    let ask = |connections| Criteria {
        prompt: Some(&prompt),
        copy_ms: None,
        tried: &[],
        filter: Filter::default(),
        hall: &desk.hall,
        not_resumable: false,
        connections,
        crowd_factor: 2.0,
    };
    let pick = |connections| {
        let now = Instant::now();
        let ask = ask(connections);
        choose::choose(&desk.fleet, &desk.service, &ask, &desk.index, now)
    };
    let first = desk.first(&prompt)?;
    let _running = desk.load(&first, 2)?;
    let other = pick(2).ok_or_else(|| eyre!("none chosen"))?;
    ensure!(other.backend.server.id != first, "more than allowed");
    let _others = desk.load(&other.backend.server.id, 2)?;
    ensure!(pick(2).is_none(), "more than allowed");
    ensure!(pick(3).is_some(), "fewer than allowed");
    Ok(())
}

#[test]
fn the_own_hall_goes_first_where_nothing_is_kept() -> Result {
    run(async |_| {
        let desk = ChoiceHarness::new("hall-2", 0..8)?;
        for _ in 0..20 {
            let chosen = desk.choose(None, &[])?.backend;
            ensure!(chosen.server.hall == desk.hall, "{}", chosen.server.id);
            Timer::after(ms(1)).await;
        }
        Ok(())
    })
}

/// The servers of an emptied hall, and cold ones, count in the mean that no server
/// may be far above. Without them the mean here is twice as high, and a subject stays
/// at a server that holds more than twice the mean of all and three.
#[test]
fn servers_that_get_little_count_in_the_mean() -> Result {
    for emptied in [true, false] {
        let desk = ChoiceHarness::new("hall-1", 0..8)?;
        let far: ids::Hall = id("hall-2")?;
        let now = Instant::now();
        if emptied {
            desk.fleet.set_emptied(&[far.clone()].into(), now);
        }
        // Of a subject that a server of this hall comes first for.
        let subjects = (0..100).map(|subject| prompt(subject, SMALL));
        let mut found = None;
        for prompt in subjects {
            let first = desk.backend(&desk.first(&prompt)?)?;
            found = (first.server.hall != far)
                .then_some((prompt, first))
                .or(found);
        }
        let (prompt, first) = found.ok_or_else(|| eyre!("no such subject"))?;
        for number in 0..8 {
            let backend = desk.backend(&id(&format!("i-{number}"))?)?;
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
                desk.fleet.announce(colder, now);
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
        let chosen = desk.choose_within(&prompt, filter)?.backend;
        ensure!(chosen.key != first.key, "crowded, emptied: {emptied}");
        ensure!(chosen.server.hall != far, "to {far}, emptied: {emptied}");
    }
    Ok(())
}
