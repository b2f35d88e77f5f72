//! The record of how servers changed, as other boxes are told of it.

use eyre::ensure;
use tidepier_core::era::Revision;
use tidepier_core::server::State;
use tidepier_ids as ids;
use tidepier_relay::message::follow::{Change, Position, Servers};
use tidepier_relay::server_history::History;

use crate::harness::Result;
use crate::peer_answers::{nothing, row, row_of};

/// Changes that a record keeps.
const CHANGES_KEPT: u64 = 64;

#[test]
fn a_record_tells_what_changed_since_a_place() -> Result {
    let record = History::default();
    let (all, start) = record.since(Position::default());
    ensure!(all == Servers::All(Vec::new(), Revision::of(0)), "{all:?}");
    ensure!(
        record.since(start) == (nothing(), start),
        "changed by itself"
    );
    record.upsert(row("i-1", 5)?);
    record.upsert(row("i-2", 6)?);
    let (_, middle) = record.since(start);
    // The same again is no change.
    record.upsert(row("i-2", 6)?);
    ensure!(
        record.since(middle) == (nothing(), middle),
        "a change of nothing"
    );
    record.remove(&"i-1".parse()?, Revision::of(7));
    record.upsert(row_of("i-2", 8, State::Draining)?);
    let (since, end) = record.since(middle);
    let gone = Change::Removed("i-1".parse()?, Revision::of(7));
    let drains = Change::Upserted(row_of("i-2", 8, State::Draining)?);
    let expected = Servers::Changes(vec![gone, drains]);
    ensure!(since == expected, "{since:?}");
    ensure!(end.changes == start.changes + 4, "{end:?}");
    ensure!(
        record.newest_revision() == Revision::of(8),
        "seen {}",
        record.newest_revision()
    );
    let (since, _) = record.since(start);
    ensure!(
        matches!(&since, Servers::Changes(all) if all.len() == 4),
        "{since:?}"
    );
    Ok(())
}

#[test]
fn a_box_too_far_behind_is_told_all() -> Result {
    let record = History::default();
    let (_, start) = record.since(Position::default());
    for revision in 1..=CHANGES_KEPT {
        record.upsert(row("i-1", revision)?);
    }
    let (since, _) = record.since(start);
    ensure!(
        matches!(&since, Servers::Changes(all) if all.len() as u64 == CHANGES_KEPT),
        "{since:?}"
    );
    record.upsert(row("i-1", CHANGES_KEPT + 1)?);
    let all = Servers::All(
        vec![row("i-1", CHANGES_KEPT + 1)?],
        Revision::of(CHANGES_KEPT + 1),
    );
    let (since, end) = record.since(start);
    ensure!(since == all, "{since:?}");
    // Places of another life, and ones that were never reached.
    let other = Position {
        life: end.life ^ 1,
        ..end
    };
    let ahead = Position {
        changes: end.changes + 1,
        ..end
    };
    for place in [other, ahead, Position::default()] {
        ensure!(record.since(place) == (all.clone(), end), "{place:?}");
    }
    Ok(())
}

#[test]
fn each_record_has_a_life_of_its_own() -> Result {
    let lives: Vec<u64> = (0..20)
        .map(|_| History::default().since(Position::default()).1.life)
        .collect();
    ensure!(!lives.contains(&0), "the place of one that knows nothing");
    ensure!(lives.windows(2).all(|pair| pair[0] != pair[1]), "{lives:?}");
    Ok(())
}

#[test]
fn an_entry_older_than_its_end_is_outdated() -> Result {
    let record = History::default();
    record.upsert(row("i-1", 5)?);
    let id: ids::Server = "i-1".parse()?;
    record.remove(&id, Revision::of(9));
    for (revision, outdated) in [(5, true), (8, true), (9, true), (10, false)] {
        let found = record.is_outdated(&row("i-1", revision)?);
        ensure!(found == outdated, "{revision}: {found}");
    }
    ensure!(!record.is_outdated(&row("i-2", 1)?), "another server");
    // Remembered while many others go.
    for number in 0..500 {
        record.remove(&format!("x-{number}").parse()?, Revision::of(20));
    }
    ensure!(record.is_outdated(&row("i-1", 9)?), "forgotten");
    Ok(())
}

#[test]
fn an_entry_older_than_the_known_one_is_outdated() -> Result {
    let record = History::default();
    record.upsert(row_of("i-1", 9, State::Draining)?);
    ensure!(record.is_outdated(&row("i-1", 5)?), "taken for newer");
    ensure!(!record.is_outdated(&row("i-1", 10)?), "a newer one");
    Ok(())
}
