//! What boxes have under way, added up for each of the others.

use std::time::Duration;

use eyre::ensure;
use tidepier_clock::Instant;
use tidepier_relay::fleet::{Count, Key};
use tidepier_relay::traffic::log::Peer;
use tidepier_relay::traffic::tally::{Baseline, Tally, Totals};

use crate::choice_harness::id;
use crate::harness::Result;

fn key(number: u32) -> Result<Key> {
    Ok(Key::new(&id(&format!("i-{number}"))?))
}

/// The requests of so many boxes: server and count by turns.
fn sum(boxes: u32, counts: &[(u32, u32)]) -> Result<Totals> {
    let counts = counts.iter().map(|(server, n)| Ok((key(*server)?, *n)));
    let requests = counts.collect::<Result<_>>()?;
    Ok(Totals { boxes, requests })
}

#[test]
fn each_box_is_told_the_sum_of_the_others() -> Result {
    let tally = Tally::default();
    let now = Instant::now();
    let (first, second) = (Peer::Member(1), Peer::Member(2));
    tally.report(first.clone(), sum(1, &[(1, 2), (2, 1)])?, now);
    tally.report(second.clone(), sum(1, &[(2, 4)])?, now);
    tally.report(Peer::Hall(id("hall-2")?), sum(3, &[(1, 5), (3, 7)])?, now);
    let told = tally.others(Some(&first), now);
    ensure!(told == sum(4, &[(1, 5), (2, 4), (3, 7)])?, "{told:?}");
    let told = tally.others(Some(&second), now);
    ensure!(told == sum(4, &[(1, 7), (2, 1), (3, 7)])?, "{told:?}");
    let told = tally.others(None, now);
    ensure!(told == sum(5, &[(1, 7), (2, 5), (3, 7)])?, "{told:?}");
    // What goes to other halls is this hall's alone.
    let told = tally.members(now);
    ensure!(told == sum(2, &[(1, 2), (2, 5)])?, "{told:?}");
    Ok(())
}

#[test]
fn a_report_is_replaced_grows_old_and_is_forgotten() -> Result {
    let tally = Tally::default();
    let now = Instant::now();
    let member = Peer::Member(1);
    tally.report(member.clone(), sum(1, &[(1, 2)])?, now);
    tally.report(member.clone(), sum(1, &[(2, 3)])?, now);
    let told = tally.others(None, now);
    ensure!(told == sum(1, &[(2, 3)])?, "{told:?}");
    let later = now + Duration::from_secs(2);
    let told = tally.others(None, later);
    ensure!(told == Totals::default(), "an old report counts: {told:?}");
    tally.report(member.clone(), sum(1, &[(2, 3)])?, later);
    tally.leave(&member);
    let told = tally.others(None, later);
    ensure!(
        told == Totals::default(),
        "a box that left counts: {told:?}"
    );
    Ok(())
}

/// Both ends of a connection agree after each message, but for differences that
/// are of no consequence.
#[test]
fn only_changes_are_told() -> Result {
    let (mut told, mut heard) = (Baseline::default(), Totals::default());
    let mut tell = |now: &Totals| -> Vec<Count> {
        let changes = told.changes(now, usize::MAX);
        heard.apply(now.boxes, &changes);
        for (server, requests) in &now.requests {
            let known = heard.requests.get(server).copied().unwrap_or(0);
            assert!(known.abs_diff(*requests) <= requests / 10, "{known}");
        }
        let gone = heard
            .requests
            .keys()
            .all(|key| now.requests.contains_key(key));
        assert!(gone, "what is over still counts");
        changes
    };
    ensure!(tell(&sum(1, &[(1, 2), (2, 100)])?).len() == 2, "first");
    ensure!(tell(&sum(1, &[(1, 2), (2, 100)])?).is_empty(), "no change");
    ensure!(tell(&sum(1, &[(1, 3), (2, 103)])?).len() == 1, "one more");
    ensure!(tell(&sum(1, &[(2, 103)])?).len() == 1, "over");
    ensure!(tell(&sum(1, &[(2, 120)])?).len() == 1, "much more");
    ensure!(tell(&sum(2, &[])?).len() == 1, "all over");
    Ok(())
}

/// However many servers there are, a message stays small, and the crowded ones
/// are known first. What is over at a crowded one is told as soon.
#[test]
fn the_most_crowded_are_told_first() -> Result {
    const MOST: usize = 8;
    let (mut told, mut heard) = (Baseline::default(), Totals::default());
    let mut tell = |now: &Totals| {
        let changes = told.changes(now, MOST);
        heard.apply(now.boxes, &changes);
        (changes.len(), heard.clone())
    };
    let calm: Vec<(u32, u32)> = (0..1_000).map(|server| (server, 1 + server % 3)).collect();
    let mut crowded = calm.clone();
    crowded[17].1 = 30;
    crowded[500].1 = 20;
    let (count, known) = tell(&sum(3, &crowded)?);
    ensure!(count == MOST, "{count} counts");
    ensure!(known.requests.get(&key(17)?) == Some(&30), "not told");
    ensure!(known.requests.get(&key(500)?) == Some(&20), "not told");
    let (count, known) = tell(&sum(3, &calm)?);
    ensure!(count == MOST, "{count} counts");
    ensure!(known.requests.get(&key(17)?) == Some(&3), "still crowded");
    ensure!(known.requests.get(&key(500)?) == Some(&3), "still crowded");
    // In the end all are told.
    let mut last = known;
    for _ in 0..1_000 / MOST {
        last = tell(&sum(3, &calm)?).1;
    }
    ensure!(last == sum(3, &calm)?, "{} told", last.requests.len());
    Ok(())
}

/// Pattern: more servers change with each message than one tells. While those with the
/// most requests went first, the others were never told, all boxes took them for idle,
/// and each became the most crowded in turn.
#[test]
fn a_server_that_fills_up_is_told_though_more_busy_ones_change() -> Result {
    const MOST: usize = 48;
    const SERVERS: u32 = 60;
    let (mut told, mut heard) = (Baseline::default(), Totals::default());
    for round in 0..8 {
        let busy = |server| 20 + 4 * ((server + round) % 2);
        let filling = |server: u32| (server < 6).then_some(2 * round);
        let counts = (0..SERVERS).map(|it| (it, filling(it).unwrap_or_else(|| busy(it))));
        let counts: Vec<(u32, u32)> = counts.collect();
        let sum = sum(3, &counts)?;
        heard.apply(3, &told.changes(&sum, MOST));
        for (server, requests) in counts {
            let known = heard.requests.get(&key(server)?).copied().unwrap_or(0);
            // So much may have come since the message before, or not have fit then.
            ensure!(
                round < 2 || known.abs_diff(requests) <= 4,
                "{server}: {known} of {requests}"
            );
        }
    }
    Ok(())
}
