//! The sums of in-flight requests that each box gets of the other boxes.

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

/// Totals of this many boxes, given pairs of server and count.
fn sum(boxes: u32, counts: &[(u32, u32)]) -> Result<Totals> {
    let counts = counts.iter().map(|(server, n)| Ok((key(*server)?, *n)));
    let requests = counts.collect::<Result<_>>()?;
    Ok(Totals {
        boxes,
        requests,
        ..Totals::default()
    })
}

#[test]
fn each_box_gets_the_sum_of_the_others() -> Result {
    let tally = Tally::default();
    let now = Instant::now();
    let (first, second) = (Peer::Member(1), Peer::Member(2));
    tally.report(first.clone(), sum(1, &[(1, 2), (2, 1)])?, now);
    tally.report(second.clone(), sum(1, &[(2, 4)])?, now);
    tally.report(Peer::Hall(id("hall-2")?), sum(3, &[(1, 5), (3, 7)])?, now);
    let total = tally.others(Some(&first), now);
    ensure!(total == sum(4, &[(1, 5), (2, 4), (3, 7)])?, "{total:?}");
    let total = tally.others(Some(&second), now);
    ensure!(total == sum(4, &[(1, 7), (2, 1), (3, 7)])?, "{total:?}");
    let total = tally.others(None, now);
    ensure!(total == sum(5, &[(1, 7), (2, 5), (3, 7)])?, "{total:?}");
    // Other halls get the counts of this hall only.
    let total = tally.members(now);
    ensure!(total == sum(2, &[(1, 2), (2, 5)])?, "{total:?}");
    Ok(())
}

#[test]
fn a_report_is_replaced_expires_and_is_removed() -> Result {
    let tally = Tally::default();
    let now = Instant::now();
    let member = Peer::Member(1);
    tally.report(member.clone(), sum(1, &[(1, 2)])?, now);
    tally.report(member.clone(), sum(1, &[(2, 3)])?, now);
    let total = tally.others(None, now);
    ensure!(total == sum(1, &[(2, 3)])?, "{total:?}");
    let later = now + Duration::from_secs(2);
    let total = tally.others(None, later);
    ensure!(
        total == Totals::default(),
        "an old report counts: {total:?}"
    );
    tally.report(member.clone(), sum(1, &[(2, 3)])?, later);
    tally.leave(&member);
    let total = tally.others(None, later);
    ensure!(
        total == Totals::default(),
        "a box that left counts: {total:?}"
    );
    Ok(())
}

/// Both ends of a connection agree after each message, apart from small differences that
/// make no difference to decisions.
#[test]
fn only_changes_are_sent() -> Result {
    let (mut sent, mut received) = (Baseline::default(), Totals::default());
    let mut send = |now: &Totals| -> Vec<Count> {
        let changes = sent.changes(now, usize::MAX);
        received.apply(now.boxes, &changes);
        for (server, requests) in &now.requests {
            let known = received.requests.get(server).copied().unwrap_or(0);
            assert!(known.abs_diff(*requests) <= requests / 10, "{known}");
        }
        let ended = received
            .requests
            .keys()
            .all(|key| now.requests.contains_key(key));
        assert!(ended, "ended requests still count");
        changes
    };
    ensure!(send(&sum(1, &[(1, 2), (2, 100)])?).len() == 2, "first");
    ensure!(send(&sum(1, &[(1, 2), (2, 100)])?).is_empty(), "no change");
    ensure!(send(&sum(1, &[(1, 3), (2, 103)])?).len() == 1, "one more");
    ensure!(send(&sum(1, &[(2, 103)])?).len() == 1, "ended");
    ensure!(send(&sum(1, &[(2, 120)])?).len() == 1, "much more");
    ensure!(send(&sum(2, &[])?).len() == 1, "all ended");
    Ok(())
}

/// Messages stay small for any number of servers, and the most loaded servers are reported
/// first. Requests that ended there are reported as soon.
#[test]
fn the_most_loaded_servers_are_reported_first() -> Result {
    const MOST: usize = 8;
    let (mut sent, mut received) = (Baseline::default(), Totals::default());
    let mut send = |now: &Totals| {
        let changes = sent.changes(now, MOST);
        received.apply(now.boxes, &changes);
        (changes.len(), received.clone())
    };
    let calm: Vec<(u32, u32)> = (0..1_000).map(|server| (server, 1 + server % 3)).collect();
    let mut loaded = calm.clone();
    loaded[17].1 = 30;
    loaded[500].1 = 20;
    let (count, known) = send(&sum(3, &loaded)?);
    ensure!(count == MOST, "{count} counts");
    ensure!(known.requests.get(&key(17)?) == Some(&30), "not reported");
    ensure!(known.requests.get(&key(500)?) == Some(&20), "not reported");
    let (count, known) = send(&sum(3, &calm)?);
    ensure!(count == MOST, "{count} counts");
    ensure!(
        known.requests.get(&key(17)?) == Some(&3),
        "still reported as loaded"
    );
    ensure!(
        known.requests.get(&key(500)?) == Some(&3),
        "still reported as loaded"
    );
    // Finally all counts are reported.
    let mut last = known;
    for _ in 0..1_000 / MOST {
        last = send(&sum(3, &calm)?).1;
    }
    ensure!(last == sum(3, &calm)?, "{} reported", last.requests.len());
    Ok(())
}

/// Guards against counts that are never reported. More counts change with each message than
/// one message holds. While the servers with the most requests went first, the others were
/// never reported, so all boxes took them for idle, and each became the most loaded in
/// turn.
#[test]
fn a_filling_server_is_reported_though_busier_ones_change() -> Result {
    const MOST: usize = 48;
    const SERVERS: u32 = 60;
    let (mut sent, mut received) = (Baseline::default(), Totals::default());
    for round in 0..8 {
        let busy = |server| 20 + 4 * ((server + round) % 2);
        let filling = |server: u32| (server < 6).then_some(2 * round);
        let counts = (0..SERVERS).map(|it| (it, filling(it).unwrap_or_else(|| busy(it))));
        let counts: Vec<(u32, u32)> = counts.collect();
        let sum = sum(3, &counts)?;
        received.apply(3, &sent.changes(&sum, MOST));
        for (server, requests) in counts {
            let known = received.requests.get(&key(server)?).copied().unwrap_or(0);
            // Up to 4 requests may have come since the last message, or not have fit into
            // it.
            ensure!(
                round < 2 || known.abs_diff(requests) <= 4,
                "{server}: {known} of {requests}"
            );
        }
    }
    Ok(())
}
