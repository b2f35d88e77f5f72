//! The table of crashes under contents, without a network: order of reports, times,
//! bounds.

use std::time::Duration;

use eyre::{ensure, eyre};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tidepier_clock::Instant;
use tidepier_relay::content::{Fingerprint, Parts};
use tidepier_relay::crash::table::{
    Kind, Row, Scope, Table, CONTENTS_MAX, CRASHES_MAX, REFUSED_MAX, REFUSED_MIN, RETENTION,
};
use tidepier_relay::crash::trials::{Trials, INTERVAL};
use tidepier_relay::fleet::Key;

use crate::harness::{ms, Result};

/// Longer than any crash is kept.
const DAY: Duration = Duration::from_secs(86_400);
/// Bytes a second that a box may spend on control traffic.
const BYTES_PER_SECOND: f64 = 3_000.0;
/// Interval between two answers of a hub to a box, in seconds.
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

/// A table in which `count` servers crashed under a content, a second apart, the last
/// one at `last`.
fn crashed(count: u64, last: Instant) -> Result<Table> {
    let table = Table::default();
    for number in 0..count {
        let at = last - Duration::from_secs(count - 1 - number);
        table.record_crash(content(1), server(number)?, at);
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
        "two different contents have one fingerprint"
    );
    ensure!(known.to_string().parse() == Ok(known), "{known}");
    Ok(())
}

#[test]
fn three_crashes_refuse_a_content_for_a_while_and_each_further_one_for_longer() -> Result {
    let now = Instant::now() + DAY;
    for (count, time) in [
        (1, None),
        (2, None),
        (3, Some(REFUSED_MIN)),
        (4, Some(2 * REFUSED_MIN)),
        (5, Some(4 * REFUSED_MIN)),
        (8, Some(REFUSED_MAX)),
        (40, Some(REFUSED_MAX)),
    ] {
        let table = crashed(count, now)?;
        ensure!(table.refused(content(1), now) == time, "{count} crashes");
        ensure!(table.refused(content(2), now).is_none(), "another content");
        let Some(time) = time else { continue };
        ensure!(
            table.refused(content(1), now + time).is_none(),
            "{count} crashes: refused for too long"
        );
        // The entry is kept for the same time again, in which one more crash is enough.
        let later = now + time + time / 2;
        table.remove_expired(later);
        table.record_crash(content(1), server(99)?, later);
        ensure!(
            table.refused(content(1), later).is_some(),
            "{count} crashes: the entry was removed too early"
        );
    }
    Ok(())
}

#[test]
fn crashes_far_apart_refuse_nothing() -> Result {
    let table = Table::default();
    let mut now = Instant::now() + DAY;
    for number in 0..6 {
        table.record_crash(content(1), server(number)?, now);
        now = now + RETENTION + ms(1);
        table.remove_expired(now);
        ensure!(table.is_empty(), "the entry was not removed");
    }
    ensure!(table.refused(content(1), now).is_none(), "refused");
    Ok(())
}

/// Two boxes observe one crash at different times. A server that is back under its id
/// may crash again.
#[test]
fn one_crash_counts_once_and_two_of_one_server_twice() -> Result {
    let table = Table::default();
    let now = Instant::now() + DAY;
    for seen in [0, 40, 900] {
        table.record_crash(content(1), server(1)?, now + ms(seen));
    }
    table.record_crash(content(1), server(1)?, now + ms(4_000));
    ensure!(
        table.refused(content(1), now + ms(4_000)).is_none(),
        "refused after two crashes"
    );
    table.record_crash(content(1), server(1)?, now + ms(8_000));
    ensure!(
        table.refused(content(1), now + ms(8_000)).is_some(),
        "not refused after three crashes"
    );
    Ok(())
}

#[test]
fn a_complete_answer_clears_earlier_crashes_on_all_boxes() -> Result {
    let now = Instant::now() + DAY;
    let (here, there) = (crashed(3, now)?, crashed(3, now)?);
    ensure!(
        here.answered(content(1), now + ms(10)).is_some(),
        "the answer did not end the refusal"
    );
    ensure!(here.refused(content(1), now).is_none(), "still refused");
    let (rows, _) = here.since(0, 10, Scope::Repeated, now + ms(20));
    there.merge(&rows, now + ms(400));
    ensure!(
        there.refused(content(1), now + ms(400)).is_none(),
        "still refused at the other box"
    );
    // Reports of the old crashes that arrive late change nothing.
    let (old, _) = crashed(3, now)?.since(0, 10, Scope::All, now);
    here.merge(&old, now + ms(5));
    ensure!(
        here.refused(content(1), now).is_none(),
        "refused again for old crashes"
    );
    // New crashes count.
    for number in 10..13 {
        let at = now + ms(3_000 * number);
        here.record_crash(content(1), server(number)?, at);
    }
    ensure!(
        here.refused(content(1), now + ms(40_000)).is_some(),
        "new crashes do not count"
    );
    ensure!(
        here.answered(content(2), now).is_none(),
        "an unknown content changed"
    );
    ensure!(here.len() == 1, "an entry was added for an answer");
    Ok(())
}

/// Boxes may learn of crashes in any order, twice, in parts and through other boxes. In
/// the end all of them refuse the same contents.
#[test]
fn all_boxes_refuse_the_same_in_any_order_of_reports() -> Result {
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
            direct.record_crash(content(*what), key, at);
            boxes[(*place % 3) as usize].record_crash(content(*what), key, at);
            if *over {
                let (from, to) = ((*place + order) % 3, (*place + 1) % 3);
                let (rows, _) = boxes[from as usize].since(0, 100, Scope::All, end);
                boxes[to as usize].merge(&rows, end);
            }
        }
        // Two rounds, so that each box learns of all crashes.
        for at in 0..6 {
            let (rows, _) = boxes[at % 3].since(0, 100, Scope::All, end);
            boxes[(at + 1) % 3].merge(&rows, end);
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
fn changes_are_reported_once_in_bounded_messages() -> Result {
    let table = Table::default();
    let now = Instant::now() + DAY;
    for number in 0..100 {
        table.record_crash(content(number), server(1)?, now);
        table.record_crash(content(number), server(2)?, now);
    }
    let (mut place, mut reported) = (0, Vec::new());
    for _ in 0..4 {
        let (rows, next) = table.since(place, 32, Scope::Repeated, now);
        ensure!(rows.len() <= 32, "{} rows", rows.len());
        let mut bytes = Vec::new();
        ciborium::into_writer(&rows, &mut bytes)?;
        let rate = bytes.len() as f64 / ASK_S;
        ensure!(rate < BYTES_PER_SECOND, "{rate} bytes a second");
        reported.extend(rows.into_iter().map(|row| row.content));
        place = next;
    }
    reported.sort();
    reported.dedup();
    ensure!(reported.len() == 100, "{} reported", reported.len());
    ensure!(
        table.since(place, 32, Scope::Repeated, now).0.is_empty(),
        "reported again"
    );
    // Another crash under one of them is new.
    table.record_crash(content(7), server(3)?, now);
    let (rows, _) = table.since(place, 32, Scope::Repeated, now);
    ensure!(rows.len() == 1 && rows[0].ends.len() == 3, "{rows:?}");
    // A single crash is reported to hubs only.
    table.record_crash(content(1_000), server(3)?, now);
    let (_, place) = table.since(place, 32, Scope::Repeated, now);
    table.record_crash(content(1_001), server(3)?, now);
    ensure!(
        table.since(place, 32, Scope::Repeated, now).0.is_empty(),
        "reported to a box"
    );
    ensure!(
        table.since(place, 32, Scope::All, now).0.len() == 1,
        "not reported to a hub"
    );
    Ok(())
}

/// A client sends thousands of different requests that crash servers. What is refused
/// stays refused, and memory is bounded.
#[test]
fn memory_is_bounded_with_thousands_of_contents() -> Result {
    let now = Instant::now() + DAY;
    let table = crashed(3, now)?;
    for number in 10..3 * CONTENTS_MAX as u64 {
        table.record_crash(content(number), server(number % 300)?, now);
    }
    ensure!(table.len() <= CONTENTS_MAX, "{} held", table.len());
    ensure!(
        table.refused(content(1), now).is_some(),
        "evicted for other contents"
    );
    let (rows, _) = table.since(0, usize::MAX, Scope::All, now);
    ensure!(rows.len() == table.len(), "{} rows", rows.len());
    // One content with many crashes.
    for number in 0..1_000 {
        table.record_crash(content(1), server(number)?, now + ms(number));
    }
    let (rows, _) = table.since(0, usize::MAX, Scope::All, now);
    let row = rows.iter().find(|row| row.content == content(1));
    let row = row.ok_or_else(|| eyre!("not reported"))?;
    ensure!(row.ends.len() <= CRASHES_MAX, "{} crashes", row.ends.len());
    Ok(())
}

/// Whatever another box reports, nothing is refused without three crashes, and no age is
/// too large.
#[test]
fn invalid_rows_do_no_harm() -> Result {
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
    table.merge(&rows, now);
    ensure!(table.count_refused(now) == 0, "refused");
    ensure!(table.len() == 1, "{} held", table.len());
    Ok(())
}

fn part(number: u64) -> Fingerprint {
    Fingerprint::of_part(number)
}

/// Guards against parts that are refused as many servers crash at the same time, or between
/// answers to requests that hold them.
#[test]
fn a_part_is_refused_after_crashes_at_several_moments_without_an_answer() -> Result {
    let now = Instant::now();
    let table = Table::new(Kind::Part);
    for number in 0..50 {
        table.record_crash(part(1), server(number)?, now + ms(number));
    }
    ensure!(table.refused(part(1), now + ms(60)).is_none(), "one moment");
    for moment in 1..4 {
        let at = now + ms(moment * 500);
        ensure!(table.refused(part(1), at).is_none(), "{moment} moments");
        table.record_crash(part(1), server(100 + moment)?, at);
    }
    ensure!(table.refused(part(1), now + ms(1_600)).is_some());
    // Answers between crashes, however close, void them.
    for moment in 0..20 {
        let at = now + ms(moment * 500);
        table.record_crash(part(2), server(moment)?, at);
        table.answered(part(2), at + ms(100));
        ensure!(table.refused(part(2), at).is_none(), "moment {moment}");
    }
    Ok(())
}

/// Guards against many servers that crash when the refusal of a part ends, and against a part
/// that never returns.
#[test]
fn a_refused_part_is_tried_by_few_requests() -> Result {
    for (boxes, per_second) in [(1, 4), (6, 1), (6, 40), (1_000, 2), (1_000, 400)] {
        let trials: Vec<Trials> = (0..boxes as u64).map(Trials::new).collect();
        let now = Instant::now();
        let mut first = None;
        let mut passed = 0;
        for number in 0..per_second * 120 {
            let ended = Duration::from_secs_f64(number as f64 / per_second as f64);
            // Until all boxes know what came of the first one.
            if first.is_some_and(|first| ended > first + INTERVAL / 2) {
                break;
            }
            let at = &trials[number * 7 % boxes];
            let content = content(number as u64);
            if at
                .refused(part(1), content, ended, boxes, now + ended)
                .is_none()
            {
                first.get_or_insert(ended);
                passed += 1;
            }
        }
        let first = first.ok_or_else(|| eyre!("{boxes} boxes: never tried"))?;
        ensure!(first < Duration::from_secs(60), "{boxes}: after {first:?}");
        ensure!(
            passed <= 3,
            "{boxes} boxes, {per_second} a second: {passed} passed"
        );
    }
    let trials = Trials::default();
    let now = Instant::now();
    let refused = |number, at| trials.refused(part(1), content(number), at, 1, now + at);
    ensure!(refused(1, ms(0)).is_none());
    ensure!(refused(1, ms(10)).is_none(), "its further attempt");
    ensure!(refused(2, ms(20)) == Some(INTERVAL - ms(20)), "another one");
    ensure!(refused(2, INTERVAL).is_none(), "in the next interval");
    Ok(())
}

/// Guards against a part that all requests share and that is refused for another one, as no
/// request was answered between the crashes.
#[test]
fn a_part_is_not_refused_for_what_another_one_explains() -> Result {
    let now = Instant::now();
    let (common, cause, second, sound) = (part(1), part(2), part(3), part(4));
    let table = Table::new(Kind::Part);
    let crash = |held: &[Fingerprint], moment: u64| -> Result {
        for key in held {
            table.record_crash(*key, server(moment)?, now + ms(moment * 500));
        }
        Ok(())
    };
    (0..4).try_for_each(|moment| crash(&[common, cause], moment))?;
    let blocks = |held: &[Fingerprint]| table.blocking(held, now + ms(9_000)).map(|(key, _)| key);
    ensure!(blocks(&[common, cause]).is_some(), "the cause passes");
    ensure!(
        blocks(&[common, sound]).is_none(),
        "a sound request is refused"
    );
    // A second cause, whose crashes are those of the common part as well.
    (4..8).try_for_each(|moment| crash(&[common, second], moment))?;
    ensure!(blocks(&[common, second]).is_some() && blocks(&[common, cause]).is_some());
    ensure!(
        blocks(&[common, sound]).is_none(),
        "a sound request is refused"
    );
    // Crashes of its own.
    (8..12).try_for_each(|moment| crash(&[common, sound], moment))?;
    (12..16).try_for_each(|moment| crash(&[common], moment))?;
    ensure!(blocks(&[common, part(5)]) == Some(common));
    Ok(())
}
