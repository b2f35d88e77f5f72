//! What a box knows of servers that ended under contents, without a network: order,
//! times, bounds.

use std::time::Duration;

use eyre::{ensure, eyre};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tidepier_clock::Instant;
use tidepier_relay::content::{Fingerprint, Parts};
use tidepier_relay::crash::table::{
    Row, Scope, Table, CONTENTS_MAX, ENDS_MAX, REFUSED_MAX, REFUSED_MIN, RETENTION,
};
use tidepier_relay::fleet::Key;

use crate::harness::{ms, Result};

/// Longer than any end is remembered.
const DAY: Duration = Duration::from_secs(86_400);
/// Bytes a second that a box may spend on control.
const BYTES_PER_SECOND: f64 = 3_000.0;
/// Time between two answers of a hub to a box, in seconds.
const ASK_S: f64 = 0.4;

fn content(number: u64) -> Fingerprint {
    Fingerprint::new(&Parts {
        method: "POST",
        host: "host",
        target: "/",
        caller: "",
        body: &number.to_le_bytes(),
    })
}

fn server(number: u64) -> Result<Key> {
    Ok(Key::new(&format!("i-{number}").parse()?))
}

/// A table in which so many servers ended under a content, a second apart, the last
/// one at `last`.
fn ended(count: u64, last: Instant) -> Result<Table> {
    let table = Table::default();
    for number in 0..count {
        let at = last - Duration::from_secs(count - 1 - number);
        table.ended(content(1), server(number)?, at);
    }
    Ok(table)
}

#[test]
fn the_parts_of_a_content_are_kept_apart() -> Result {
    let parts = Parts {
        method: "POST",
        host: "host",
        target: "/a?b",
        caller: "account",
        body: b"body",
    };
    let known = Fingerprint::new(&parts);
    ensure!(Fingerprint::new(&parts) == known, "differs from itself");
    let others = [
        Parts {
            method: "PUT",
            ..parts
        },
        Parts {
            host: "other",
            ..parts
        },
        Parts {
            target: "/a?c",
            ..parts
        },
        Parts {
            caller: "",
            ..parts
        },
        Parts {
            body: b"bod",
            ..parts
        },
        Parts {
            host: "hos",
            target: "t/a?b",
            ..parts
        },
    ];
    ensure!(
        others.iter().all(|other| Fingerprint::new(other) != known),
        "not told apart"
    );
    ensure!(known.to_string().parse() == Ok(known), "{known}");
    Ok(())
}

#[test]
fn three_ends_refuse_a_content_for_a_while_and_each_further_one_for_longer() -> Result {
    let now = Instant::now() + DAY;
    for (ends, time) in [
        (1, None),
        (2, None),
        (3, Some(REFUSED_MIN)),
        (4, Some(2 * REFUSED_MIN)),
        (5, Some(4 * REFUSED_MIN)),
        (8, Some(REFUSED_MAX)),
        (40, Some(REFUSED_MAX)),
    ] {
        let table = ended(ends, now)?;
        ensure!(table.refused(content(1), now) == time, "{ends} ends");
        ensure!(table.refused(content(2), now).is_none(), "another content");
        let Some(time) = time else { continue };
        ensure!(
            table.refused(content(1), now + time).is_none(),
            "{ends} ends, for ever"
        );
        // Known for as long again, one more end is enough.
        let later = now + time + time / 2;
        table.forget(later);
        table.ended(content(1), server(99)?, later);
        ensure!(
            table.refused(content(1), later).is_some(),
            "{ends} ends, forgotten"
        );
    }
    Ok(())
}

#[test]
fn ends_far_apart_are_chance() -> Result {
    let table = Table::default();
    let mut now = Instant::now() + DAY;
    for number in 0..6 {
        table.ended(content(1), server(number)?, now);
        now = now + RETENTION + ms(1);
        table.forget(now);
        ensure!(table.is_empty(), "still known");
    }
    ensure!(table.refused(content(1), now).is_none(), "refused");
    Ok(())
}

/// Two boxes see one end at moments that differ; a server that is back under its id
/// ends anew.
#[test]
fn one_end_counts_once_and_two_of_one_server_twice() -> Result {
    let table = Table::default();
    let now = Instant::now() + DAY;
    for seen in [0, 40, 900] {
        table.ended(content(1), server(1)?, now + ms(seen));
    }
    table.ended(content(1), server(1)?, now + ms(4_000));
    ensure!(
        table.refused(content(1), now + ms(4_000)).is_none(),
        "refused after two"
    );
    table.ended(content(1), server(1)?, now + ms(8_000));
    ensure!(
        table.refused(content(1), now + ms(8_000)).is_some(),
        "not refused after three"
    );
    Ok(())
}

#[test]
fn a_whole_answer_voids_what_was_before_it_wherever_it_is_told() -> Result {
    let now = Instant::now() + DAY;
    let (here, there) = (ended(3, now)?, ended(3, now)?);
    ensure!(
        here.answered(content(1), now + ms(10)).is_some(),
        "no change"
    );
    ensure!(here.refused(content(1), now).is_none(), "still refused");
    let (rows, _) = here.since(0, 10, Scope::Repeated, now + ms(20));
    there.take(&rows, now + ms(400));
    ensure!(
        there.refused(content(1), now + ms(400)).is_none(),
        "still refused elsewhere"
    );
    // The old ends, told late, change nothing.
    let (old, _) = ended(3, now)?.since(0, 10, Scope::All, now);
    here.take(&old, now + ms(5));
    ensure!(
        here.refused(content(1), now).is_none(),
        "refused again by old ends"
    );
    // New ones count.
    for number in 10..13 {
        let at = now + ms(3_000 * number);
        here.ended(content(1), server(number)?, at);
    }
    ensure!(
        here.refused(content(1), now + ms(40_000)).is_some(),
        "new ends do not count"
    );
    ensure!(
        here.answered(content(2), now).is_none(),
        "a change of nothing"
    );
    ensure!(here.len() == 1, "answers are remembered");
    Ok(())
}

/// Boxes may hear of ends in any order, twice and in parts, over others: what they
/// refuse in the end is the same.
#[test]
fn all_boxes_refuse_the_same_whatever_order_they_hear_it_in() -> Result {
    let seen = prop::collection::vec((0..4u64, 0..5u64, 0..4u64, any::<bool>()), 1..40);
    let order = any::<u64>();
    let config = Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    };
    TestRunner::new(config).run(&(seen, order), |(seen, order)| {
        let start = Instant::now() + DAY;
        let end = start + ms(100_000);
        let direct = Table::default();
        let boxes = [Table::default(), Table::default(), Table::default()];
        for (number, (what, which, place, over)) in seen.iter().enumerate() {
            let at = start + ms(2_000 * number as u64);
            let key = server(*which).map_err(|error| TestCaseError::fail(error.to_string()))?;
            direct.ended(content(*what), key, at);
            boxes[(*place % 3) as usize].ended(content(*what), key, at);
            if *over {
                let (from, to) = ((*place + order) % 3, (*place + 1) % 3);
                let (rows, _) = boxes[from as usize].since(0, 100, Scope::All, end);
                boxes[to as usize].take(&rows, end);
            }
        }
        // Twice around, so that each hears of all.
        for at in 0..6 {
            let (rows, _) = boxes[at % 3].since(0, 100, Scope::All, end);
            boxes[(at + 1) % 3].take(&rows, end);
        }
        for what in 0..4 {
            let expected = direct.refused(content(what), end);
            for table in &boxes {
                prop_assert_eq!(table.refused(content(what), end), expected);
            }
        }
        Ok(())
    })?;
    Ok(())
}

#[test]
fn news_are_told_once_in_messages_that_are_bounded() -> Result {
    let table = Table::default();
    let now = Instant::now() + DAY;
    for number in 0..100 {
        table.ended(content(number), server(1)?, now);
        table.ended(content(number), server(2)?, now);
    }
    let (mut place, mut told) = (0, Vec::new());
    for _ in 0..4 {
        let (rows, next) = table.since(place, 32, Scope::Repeated, now);
        ensure!(rows.len() <= 32, "{} rows", rows.len());
        let mut bytes = Vec::new();
        ciborium::into_writer(&rows, &mut bytes)?;
        let rate = bytes.len() as f64 / ASK_S;
        ensure!(rate < BYTES_PER_SECOND, "{rate} bytes a second");
        told.extend(rows.into_iter().map(|row| row.content));
        place = next;
    }
    told.sort();
    told.dedup();
    ensure!(told.len() == 100, "{} told", told.len());
    ensure!(
        table.since(place, 32, Scope::Repeated, now).0.is_empty(),
        "told again"
    );
    // Another end of one of them is news.
    table.ended(content(7), server(3)?, now);
    let (rows, _) = table.since(place, 32, Scope::Repeated, now);
    ensure!(rows.len() == 1 && rows[0].ends.len() == 3, "{rows:?}");
    // A single end concerns hubs alone.
    table.ended(content(1_000), server(3)?, now);
    let (_, place) = table.since(place, 32, Scope::Repeated, now);
    table.ended(content(1_001), server(3)?, now);
    ensure!(
        table.since(place, 32, Scope::Repeated, now).0.is_empty(),
        "told to a box"
    );
    ensure!(
        table.since(place, 32, Scope::All, now).0.len() == 1,
        "not told to a hub"
    );
    Ok(())
}

/// Somebody sends thousands of different requests that end servers: what is refused
/// stays so, and what is held is bounded.
#[test]
fn thousands_of_contents_are_held_in_bounds() -> Result {
    let now = Instant::now() + DAY;
    let table = ended(3, now)?;
    for number in 10..3 * CONTENTS_MAX as u64 {
        table.ended(content(number), server(number % 300)?, now);
    }
    ensure!(table.len() <= CONTENTS_MAX, "{} held", table.len());
    ensure!(
        table.refused(content(1), now).is_some(),
        "forgotten for others"
    );
    let (rows, _) = table.since(0, usize::MAX, Scope::All, now);
    ensure!(rows.len() == table.len(), "{} rows", rows.len());
    // One content with many ends.
    for number in 0..1_000 {
        table.ended(content(1), server(number)?, now + ms(number));
    }
    let (rows, _) = table.since(0, usize::MAX, Scope::All, now);
    let row = rows.iter().find(|row| row.content == content(1));
    let row = row.ok_or_else(|| eyre!("not told"))?;
    ensure!(row.ends.len() <= ENDS_MAX, "{} ends", row.ends.len());
    Ok(())
}

/// Whatever another box says, nothing is refused without three ends, and no age is too
/// large.
#[test]
fn strange_rows_do_no_harm() -> Result {
    let table = Table::default();
    let now = Instant::now();
    let rows = [
        Row {
            content: content(1),
            ends: vec![(server(1)?, Duration::MAX); 9],
            cleared: None,
        },
        Row {
            content: content(2),
            ends: Vec::new(),
            cleared: Some(Duration::MAX),
        },
        Row {
            content: content(3),
            ends: vec![(server(1)?, ms(0)); 500],
            cleared: None,
        },
    ];
    table.take(&rows, now);
    ensure!(table.count_refused(now) == 0, "refused");
    ensure!(table.len() == 1, "{} held", table.len());
    Ok(())
}
