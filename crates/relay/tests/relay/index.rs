//! What a box remembers of where parts of prompts are kept, and which of it the
//! others are told.

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

/// Parts that an index remembers.
const PARTS: u64 = 8_192;
/// Rows that a log keeps.
const ROWS: u64 = 512;

fn key(number: u32) -> Result<Key> {
    Ok(Key::new(&id(&format!("i-{number}"))?))
}

fn part(id: u64) -> Part {
    Part { id, tokens: 100 }
}

#[test]
fn the_engine_used_last_comes_first_and_old_uses_are_forgotten() -> Result {
    let index = Index::default();
    let start = Instant::now();
    let asked = prompt(7, LARGE);
    let (first, second) = (key(1)?, key(2)?);
    index.record_local(&asked, first, start);
    index.record_local(&asked, second, start + Duration::from_secs(1));
    let holders = |after| index.holders(&part(7), start + Duration::from_secs(after));
    ensure!(holders(2) == [second, first], "{:?}", holders(2));
    index.record_local(&asked, first, start + Duration::from_secs(30));
    ensure!(holders(31) == [first, second], "{:?}", holders(31));
    ensure!(holders(70) == [first], "{:?}", holders(70));
    ensure!(holders(100).is_empty(), "{:?}", holders(100));
    ensure!(index.holders(&part(8), start).is_empty(), "never sent");
    Ok(())
}

#[test]
fn a_use_is_told_once_and_again_after_a_while() -> Result {
    let index = Index::default();
    let start = Instant::now();
    let at = |after| start + Duration::from_secs(after);
    let asked = prompt(7, LARGE);
    ensure!(index.record_local(&asked, key(1)?, at(0)), "not told");
    ensure!(!index.record_local(&asked, key(1)?, at(5)), "told twice");
    ensure!(
        index.record_local(&asked, key(2)?, at(6)),
        "another engine not told"
    );
    ensure!(!index.record_remote(7, key(2)?, at(7)), "passed on twice");
    ensure!(index.record_remote(7, key(3)?, at(8)), "news not passed on");
    ensure!(!index.record_local(&asked, key(3)?, at(9)), "told back");
    ensure!(
        index.record_local(&asked, key(1)?, at(25)),
        "not told again"
    );
    // A prompt that shares nothing is no news to anybody.
    let alone = Prompt {
        parts: vec![part(9)],
        ..Prompt::default()
    };
    ensure!(
        !index.record_local(&alone, key(1)?, at(0)),
        "told of its own part"
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
fn a_box_that_starts_takes_over_what_another_knows() -> Result {
    let (knows, starts) = (Index::default(), Index::default());
    let start = Instant::now();
    let at = |after| start + Duration::from_secs(after);
    knows.record_remote(1, key(1)?, at(0));
    knows.record_remote(1, key(2)?, at(10));
    knows.record_remote(2, key(3)?, at(20));
    // What it has learned itself meanwhile goes first.
    starts.record_remote(1, key(4)?, at(30));
    starts.recall(&knows.export(at(30)), at(30));
    let expected = [key(4)?, key(2)?, key(1)?];
    let holders = starts.holders(&part(1), at(31));
    ensure!(holders == expected, "{holders:?}");
    ensure!(starts.holders(&part(2), at(31)) == [key(3)?], "part 2");
    // Entries are as old as they are there.
    let later = starts.holders(&part(1), at(62));
    ensure!(later == [key(4)?, key(2)?], "{later:?}");
    ensure!(knows.export(at(200)).is_empty(), "old entries are told");
    Ok(())
}

#[test]
fn each_reader_of_a_log_gets_what_it_has_not_got() -> Result {
    let log = Log::default();
    let server = key(1)?;
    let row = |part| Placement { part, server };
    let all = |_: Option<&Peer>| true;
    let Batch { rows, place, .. } = log.since(Position::default(), 10, all);
    ensure!(rows.is_empty(), "{rows:?}");
    log.push(row(1), None);
    log.push(row(2), Some(Peer::Member(4)));
    let news = log.since(place, 10, all);
    ensure!(news.rows == [row(1), row(2)], "{news:?}");
    ensure!(news.omitted == 0, "{news:?}");
    let next = news.place;
    let rows = log.since(next, 10, all).rows;
    ensure!(rows.is_empty(), "told twice: {rows:?}");
    // A member does not get its own rows back.
    let not_its_own = |from: Option<&Peer>| from != Some(&Peer::Member(4));
    let rows = log.since(place, 10, not_its_own).rows;
    ensure!(rows == [row(1)], "{rows:?}");
    // The newest ones, where there are too many.
    for part in 3..3 + 2 * ROWS {
        log.push(row(part), None);
    }
    let news = log.since(next, 2, all);
    let last = 2 + 2 * ROWS;
    ensure!(news.rows == [row(last - 1), row(last)], "{news:?}");
    ensure!(u64::from(news.omitted) == 2 * ROWS - 2, "{news:?}");
    let end = news.place;
    ensure!(log.since(end, 2, all).rows.is_empty(), "told twice");
    // A place in a log of another life counts as none.
    let other = Log::default();
    other.push(row(1), None);
    let rows = other.since(end, 10, all).rows;
    ensure!(rows == [row(1)], "{rows:?}");
    Ok(())
}

#[test]
fn what_is_not_told_makes_unknown_subjects_old() -> Result {
    let share = |known: u32, told: usize, untold: u32| {
        let coverage = Coverage::default();
        for number in 0..1_000 {
            coverage.record_prompt(number * 37 % 100 < known);
            coverage.record_message(told, untold);
        }
        coverage.seen_before()
    };
    // All is told: what is not known is new, be that much or little.
    for known in [5, 50, 95] {
        ensure!(share(known, 10, 0) == 0.0, "{}", share(known, 10, 0));
    }
    // Two in five placements are told: nearly all subjects were asked for.
    let busy = share(37, 64, 96);
    ensure!((0.8..0.95).contains(&busy), "{busy}");
    // As many, but next to no subject is known: most of them are new.
    let sparse = share(4, 64, 96);
    ensure!(sparse < 0.15, "{sparse}");
    // Before anything was heard, nothing is expected.
    ensure!(
        Coverage::default().seen_before() == 0.0,
        "expects something"
    );
    Ok(())
}
