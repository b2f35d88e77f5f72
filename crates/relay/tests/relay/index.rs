//! The local view of which engines cache prompt parts, and which placements are reported to
//! other boxes.

use std::time::Duration;

use eyre::ensure;
use tidepier_clock::Instant;
use tidepier_core::request::{Part, Prompt};
use tidepier_relay::fleet::Key;
use tidepier_relay::traffic::coverage::Coverage;
use tidepier_relay::traffic::index::Index;
use tidepier_relay::traffic::log::{Batch, Log, Peer, Placement, Position};

use crate::choice_harness::{id, prompt, LARGE};
use crate::harness::Result;

/// Capacity of an index in parts.
const PARTS: u64 = 8_192;
/// Maximum number of rows in a log.
const ROWS: u64 = 512;

fn key(number: u32) -> Result<Key> {
    Ok(Key::new(&id(&format!("i-{number}"))?))
}

fn part(id: u64) -> Part {
    Part { id, tokens: 100 }
}

#[test]
fn the_last_used_holder_comes_first_and_old_uses_expire() -> Result {
    let index = Index::default();
    let start = Instant::now();
    let requested = prompt(7, LARGE);
    let (first, second) = (key(1)?, key(2)?);
    index.record_local(&requested, first, start);
    index.record_local(&requested, second, start + Duration::from_secs(1));
    let holders = |after| index.holders(&part(7), start + Duration::from_secs(after));
    ensure!(holders(2) == [second, first], "{:?}", holders(2));
    index.record_local(&requested, first, start + Duration::from_secs(30));
    ensure!(holders(31) == [first, second], "{:?}", holders(31));
    ensure!(holders(70) == [first], "{:?}", holders(70));
    ensure!(holders(100).is_empty(), "{:?}", holders(100));
    ensure!(index.holders(&part(8), start).is_empty(), "never sent");
    Ok(())
}

#[test]
fn a_use_is_reported_once_and_again_after_a_while() -> Result {
    let index = Index::default();
    let start = Instant::now();
    let at = |after| start + Duration::from_secs(after);
    let requested = prompt(7, LARGE);
    ensure!(
        index.record_local(&requested, key(1)?, at(0)),
        "not reported"
    );
    ensure!(
        !index.record_local(&requested, key(1)?, at(5)),
        "reported twice"
    );
    ensure!(
        index.record_local(&requested, key(2)?, at(6)),
        "another engine not reported"
    );
    ensure!(!index.record_remote(7, key(2)?, at(7)), "reported on twice");
    ensure!(
        index.record_remote(7, key(3)?, at(8)),
        "a new holder not reported on"
    );
    ensure!(
        !index.record_local(&requested, key(3)?, at(9)),
        "reported back"
    );
    ensure!(
        index.record_local(&requested, key(1)?, at(25)),
        "not reported again"
    );
    // A prompt that shares no part is not reported.
    let alone = Prompt {
        parts: vec![part(9)],
        ..Prompt::default()
    };
    ensure!(
        !index.record_local(&alone, key(1)?, at(0)),
        "reported its unshared part"
    );
    Ok(())
}

#[test]
fn an_index_and_its_entries_are_bounded() -> Result {
    let index = Index::default();
    let now = Instant::now();
    for number in 0..PARTS + 500 {
        index.record_remote(number, key(1)?, now);
    }
    ensure!(index.len() == PARTS as usize, "{}", index.len());
    ensure!(index.holders(&part(0), now).is_empty(), "kept the oldest");
    ensure!(
        !index.holders(&part(PARTS), now).is_empty(),
        "lost a new one"
    );
    for number in 0..100 {
        index.record_remote(PARTS, key(number)?, now);
    }
    let holders = index.holders(&part(PARTS), now);
    ensure!(holders.len() <= 8, "{} holders", holders.len());
    ensure!(holders.first() == Some(&key(99)?), "lost the newest");
    Ok(())
}

#[test]
fn a_starting_box_merges_the_entries_of_another() -> Result {
    let (informed, started) = (Index::default(), Index::default());
    let start = Instant::now();
    let at = |after| start + Duration::from_secs(after);
    informed.record_remote(1, key(1)?, at(0));
    informed.record_remote(1, key(2)?, at(10));
    informed.record_remote(2, key(3)?, at(20));
    // What it has learned itself in the meantime takes precedence.
    started.record_remote(1, key(4)?, at(30));
    started.recall(&informed.export(at(30)), at(30));
    let expected = [key(4)?, key(2)?, key(1)?];
    let holders = started.holders(&part(1), at(31));
    ensure!(holders == expected, "{holders:?}");
    ensure!(started.holders(&part(2), at(31)) == [key(3)?], "part 2");
    // Entries keep their age.
    let later = started.holders(&part(1), at(62));
    ensure!(later == [key(4)?, key(2)?], "{later:?}");
    ensure!(
        informed.export(at(200)).is_empty(),
        "expired entries are exported"
    );
    Ok(())
}

#[test]
fn each_reader_of_a_log_gets_the_rows_after_its_position() -> Result {
    let log = Log::default();
    let server = key(1)?;
    let row = |part| Placement { part, server };
    let all = |_: Option<&Peer>| true;
    let Batch { rows, position, .. } = log.since(Position::default(), 10, all);
    ensure!(rows.is_empty(), "{rows:?}");
    log.push(row(1), None);
    log.push(row(2), Some(Peer::Member(4)));
    let batch = log.since(position, 10, all);
    ensure!(batch.rows == [row(1), row(2)], "{batch:?}");
    ensure!(batch.omitted == 0, "{batch:?}");
    let next = batch.position;
    let rows = log.since(next, 10, all).rows;
    ensure!(rows.is_empty(), "returned twice: {rows:?}");
    // A member does not get its own rows back.
    let not_its_own = |from: Option<&Peer>| from != Some(&Peer::Member(4));
    let rows = log.since(position, 10, not_its_own).rows;
    ensure!(rows == [row(1)], "{rows:?}");
    // If there are too many rows, the newest ones are returned.
    for part in 3..3 + 2 * ROWS {
        log.push(row(part), None);
    }
    let batch = log.since(next, 2, all);
    let last = 2 + 2 * ROWS;
    ensure!(batch.rows == [row(last - 1), row(last)], "{batch:?}");
    ensure!(u64::from(batch.omitted) == 2 * ROWS - 2, "{batch:?}");
    let end = batch.position;
    ensure!(log.since(end, 2, all).rows.is_empty(), "reported twice");
    // A position in the log of another process counts as the beginning.
    let other = Log::default();
    other.push(row(1), None);
    let rows = other.since(end, 10, all).rows;
    ensure!(rows == [row(1)], "{rows:?}");
    Ok(())
}

#[test]
fn omitted_placements_make_unknown_subjects_likely_old() -> Result {
    let share = |known: u32, reported: usize, omitted: u32| {
        let coverage = Coverage::default();
        for number in 0..1_000 {
            coverage.record_prompt(number * 37 % 100 < known);
            coverage.record_message(reported, omitted);
        }
        coverage.seen_before()
    };
    // All placements are reported: an unknown subject is new, whatever share is known.
    for known in [5, 50, 95] {
        ensure!(share(known, 10, 0) == 0.0, "{}", share(known, 10, 0));
    }
    // Two in five placements are reported: nearly all subjects were requested before.
    let busy = share(37, 64, 96);
    ensure!((0.8..0.95).contains(&busy), "{busy}");
    // The same, but almost no subject is known: most of them are new.
    let sparse = share(4, 64, 96);
    ensure!(sparse < 0.15, "{sparse}");
    // Before any report, nothing is assumed.
    ensure!(
        Coverage::default().seen_before() == 0.0,
        "assumes something"
    );
    Ok(())
}
