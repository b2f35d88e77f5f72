//! The history of server changes, as other boxes request it.

use eyre::ensure;
use tidepier_core::era::Revision;
use tidepier_core::server::State;
use tidepier_ids as ids;
use tidepier_relay::message::follow::{Change, Position, Servers};
use tidepier_relay::server_history::History;

use crate::harness::Result;
use crate::peer_answers::{nothing, row, row_of};

/// Changes that a history keeps.
const CHANGES_KEPT: u64 = 64;

#[test]
fn a_history_returns_the_changes_since_a_position() -> Result {
    let record = History::default();
    let (all, start) = record.since(Position::default());
    ensure!(all == Servers::All(Vec::new(), Revision::of(0)), "{all:?}");
    ensure!(
        record.since(start) == (nothing(), start),
        "changes though nothing changed"
    );
    record.upsert(row("i-1", 5)?);
    record.upsert(row("i-2", 6)?);
    let (_, middle) = record.since(start);
    // The same entry again is no change.
    record.upsert(row("i-2", 6)?);
    ensure!(
        record.since(middle) == (nothing(), middle),
        "an equal entry counted as a change"
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
fn a_box_too_far_behind_gets_the_full_list() -> Result {
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
    // Positions of another process, and positions that were never reached.
    let other = Position {
        incarnation: end.incarnation ^ 1,
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
fn each_history_has_its_own_id() -> Result {
    let lives: Vec<u64> = (0..20)
        .map(|_| History::default().since(Position::default()).1.incarnation)
        .collect();
    ensure!(
        !lives.contains(&0),
        "the position of a box that knows nothing"
    );
    ensure!(lives.windows(2).all(|pair| pair[0] != pair[1]), "{lives:?}");
    Ok(())
}

#[test]
fn an_entry_older_than_its_removal_is_outdated() -> Result {
    let record = History::default();
    record.upsert(row("i-1", 5)?);
    let id: ids::Server = "i-1".parse()?;
    record.remove(&id, Revision::of(9));
    for (revision, outdated) in [(5, true), (8, true), (9, true), (10, false)] {
        let found = record.is_outdated(&row("i-1", revision)?);
        ensure!(found == outdated, "{revision}: {found}");
    }
    ensure!(!record.is_outdated(&row("i-2", 1)?), "another server");
    // It is remembered while many other servers are removed.
    for number in 0..500 {
        record.remove(&format!("x-{number}").parse()?, Revision::of(20));
    }
    ensure!(
        record.is_outdated(&row("i-1", 9)?),
        "the removal was forgotten"
    );
    Ok(())
}

#[test]
fn an_entry_older_than_the_known_one_is_outdated() -> Result {
    let record = History::default();
    record.upsert(row_of("i-1", 9, State::Draining)?);
    ensure!(
        record.is_outdated(&row("i-1", 5)?),
        "an older entry counts as newer"
    );
    ensure!(
        !record.is_outdated(&row("i-1", 10)?),
        "a newer entry counts as outdated"
    );
    Ok(())
}
