//! When a box takes what is in force for proven after the store went back, without a
//! network.
//!
//! Pattern: the store goes back by any number of changes at any moment, once or several
//! times; the operator writes again what is gone, or goes on, before or after this box
//! looks; looks are seldom.

use std::time::Duration;

use eyre::ensure;
use proptest::prelude::*;
use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::era::{Era, Revision, Tracker};
use tidepier_relay::emptied_halls::{EmptiedHalls, List, Row};
use tidepier_relay::era_state::{Entry, EraState, Evidence, Origin, Precedence, Prior, Waits};

use crate::harness::{ms, Result};

/// Times after which the store's word counts and the operator has written again.
const WAITS: Waits = Waits {
    stable: Duration::from_secs(3),
    rewrite: Duration::from_secs(5),
};

fn revision(era: u64, number: u64) -> Revision {
    Revision::new(Era(era), number)
}

fn entry(version: u64, era: u64, number: u64) -> Entry {
    Entry {
        version: Version(version),
        revision: revision(era, number),
    }
}

fn known(version: u64, era: u64, number: u64, state: u64) -> Prior {
    Prior {
        in_force: Some(Version(version)),
        entry: Some(entry(version, era, number)),
        state: revision(era, state),
        age: Some(ms(800)),
    }
}

/// A box that was settled in era 1, with version 60 of number 43, and hears of era 2 in a
/// state.
fn returned(first: u64, now: Instant) -> EraState {
    let standing = EraState::default();
    standing.observe(revision(1, 10), Prior::default(), now);
    standing.settle(Evidence::Report);
    assert!(standing.observe(revision(2, first), known(60, 1, 43, 45), now));
    standing
}

fn weigh(standing: &EraState, stored: Entry, at: Instant) -> Option<Evidence> {
    standing.evaluate(Some(stored), Some(Version(60)), WAITS, at)
}

#[test]
fn what_is_older_than_the_version_in_force_proves_nothing() -> Result {
    let now = Instant::now();
    let standing = returned(39, now);
    standing.ask();
    for stored in [entry(45, 2, 39), entry(45, 2, 41), entry(59, 2, 60)] {
        let ground = weigh(&standing, stored, now + ms(100));
        ensure!(ground.is_none(), "{stored:?}: {ground:?}");
    }
    let ground = standing.evaluate(None, Some(Version(60)), WAITS, now);
    ensure!(ground.is_none(), "no entry: {ground:?}");
    // Nobody wrote it again.
    let ground = weigh(&standing, entry(45, 2, 39), now + WAITS.rewrite);
    ensure!(ground == Some(Evidence::Waited), "{ground:?}");
    Ok(())
}

#[test]
fn what_the_operator_wrote_in_the_era_proves() -> Result {
    let now = Instant::now();
    let standing = returned(39, now);
    for (stored, ground) in [
        (entry(60, 2, 40), Some(Evidence::Written)),
        (entry(63, 2, 41), Some(Evidence::Written)),
        // The number was given out in the era before, when there was another version.
        (entry(63, 2, 39), Some(Evidence::Written)),
        (entry(60, 2, 39), Some(Evidence::Written)),
    ] {
        let found = weigh(&standing, stored, now);
        ensure!(found == ground, "{stored:?}: {found:?}");
    }
    // The copy may have it: this box knew of no state with that number.
    let standing = returned(50, now);
    let found = weigh(&standing, entry(63, 2, 50), now);
    ensure!(found.is_none(), "{found:?}");
    Ok(())
}

#[test]
fn the_version_in_force_proves_once_others_were_asked() -> Result {
    let now = Instant::now();
    let standing = returned(44, now);
    let stored = entry(60, 2, 43);
    ensure!(weigh(&standing, stored, now).is_none(), "nobody was asked");
    standing.ask();
    let early = weigh(&standing, stored, now + ms(2_900));
    ensure!(early.is_none(), "before its word counts: {early:?}");
    let stable = now + WAITS.stable;
    let ground = weigh(&standing, stored, stable);
    ensure!(ground == Some(Evidence::Same), "{ground:?}");
    // Another box told of a higher one meanwhile.
    let ground = standing.evaluate(Some(stored), Some(Version(61)), WAITS, stable);
    ensure!(ground.is_none(), "{ground:?}");
    // Who was asked in one era was not in the next.
    ensure!(
        standing.observe(revision(3, 44), known(60, 2, 43, 44), now),
        "no other era"
    );
    let ground = weigh(&standing, entry(60, 3, 43), stable);
    ensure!(ground.is_none(), "{ground:?}");
    Ok(())
}

/// Guards against a box that stood still for longer than the copy is old holding on to
/// what it knew before that.
#[test]
fn what_is_older_than_any_copy_does_not_stand() -> Result {
    let now = Instant::now();
    let (before, within) = (known(60, 1, 43, 45), WAITS.rewrite);
    for (age, stands) in [
        (Some(ms(4_900)), true),
        (Some(ms(5_100)), false),
        (None, true),
    ] {
        let standing = EraState::default();
        standing.observe(revision(1, 10), Prior::default(), now);
        standing.observe(revision(2, 39), Prior { age, ..before }, now);
        let hold = standing.hold_recent(within, now + ms(100));
        ensure!(hold.is_some() == stands, "{age:?}: {hold:?}");
        ensure!(standing.hold(within, now + ms(100)).is_some(), "{age:?}");
        let over = standing.hold_recent(within, now + within);
        ensure!(over.is_none(), "{age:?}: {over:?}");
    }
    Ok(())
}

#[test]
fn an_era_begins_once_and_no_earlier_one_comes_back() -> Result {
    let now = Instant::now();
    let standing = returned(39, now);
    ensure!(!standing.observe(revision(2, 37), Prior::default(), now));
    ensure!(standing.first() == 37, "{}", standing.first());
    ensure!(!standing.observe(revision(1, 60), Prior::default(), now));
    ensure!(standing.era() == Some(Era(2)), "{:?}", standing.era());
    ensure!(!standing.is_settled(), "settled by a former one");
    ensure!(standing.settle(Evidence::Report) && !standing.settle(Evidence::Same));
    let eras = Tracker::default();
    let heard = [Some(Era(2)), None, Some(Era(1)), Some(Era(3)), Some(Era(2))];
    let heard: Vec<bool> = heard.iter().map(|era| eras.observe(*era).is_ok()).collect();
    ensure!(heard == [true, true, false, true, false], "{heard:?}");
    Ok(())
}

#[test]
fn a_store_without_eras_is_whole() -> Result {
    let now = Instant::now();
    let standing = EraState::default();
    ensure!(standing.is_open(), "nothing was heard yet");
    standing.observe(revision(0, 7), Prior::default(), now);
    ensure!(standing.is_settled() && standing.may_begin());
    ensure!(standing.origin(revision(0, 3)) == Origin::Era);
    // It tells one from its first return on.
    standing.observe(revision(1, 3), known(60, 0, 6, 7), now);
    ensure!(!standing.is_settled(), "settled by the former one");
    ensure!(standing.origin(revision(1, 3)) == Origin::Backup);
    Ok(())
}

#[test]
fn a_box_that_starts_begins_when_others_were_asked() -> Result {
    let now = Instant::now();
    let standing = EraState::default();
    ensure!(standing.may_begin(), "nothing is known");
    standing.observe(revision(2, 40), Prior::default(), now);
    ensure!(!standing.may_begin() && standing.is_open());
    standing.ask();
    ensure!(standing.may_begin() && standing.is_open());
    // One that is not the first start is not settled by its own look.
    let ground = standing.evaluate(
        Some(entry(45, 2, 39)),
        Some(Version(45)),
        WAITS,
        now + ms(900),
    );
    ensure!(ground.is_none(), "{ground:?}");
    let first = EraState::default();
    first.record_first_start();
    first.observe(revision(1, 1), Prior::default(), now);
    ensure!(first.is_settled() && first.may_begin());
    first.observe(revision(2, 1), Prior::default(), now);
    ensure!(!first.is_settled(), "only once");
    Ok(())
}

/// A change to the store, or a look of the box.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The operator writes a newer version; by so many others' changes later.
    Write(u8),
    /// The store goes back by so many changes.
    Return(u8),
    /// The operator writes again the newest version that it wrote.
    Again,
    /// The box looks at the store.
    Look,
    /// Time passes.
    Pass(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..4_u8).prop_map(Step::Write),
        1 => (1..8_u8).prop_map(Step::Return),
        1 => Just(Step::Again),
        4 => Just(Step::Look),
        1 => (0..3_000_u16).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..40)
}

proptest! {
    /// While the operator has not written again what is gone, and could still do so,
    /// nothing older than what this box once had in force is proven; and what is proven
    /// after a look is the newest that the operator wrote, unless the store lost it
    /// before this box ever looked.
    #[test]
    fn nothing_older_than_what_was_in_force_is_proven(steps in steps()) {
        let mut now = Instant::now();
        let standing = EraState::default();
        standing.record_first_start();
        // The history of the store: the configuration's entry in each state.
        let (mut era, mut history) = (1, vec![(0, 0)]);
        let mut written = 0;
        let (mut in_force, mut at, mut state) = (None, None, Revision::default());
        for step in steps {
            now += ms(50);
            let last = history[history.len() - 1];
            match step {
                Step::Write(others) => {
                    history.extend((0..others).map(|_| last));
                    written += 1;
                    history.push((written, history.len() as u64));
                }
                Step::Return(back) => {
                    let left = history.len().saturating_sub(usize::from(back)).max(1);
                    history.truncate(left);
                    era += 1;
                }
                Step::Again => history.push((written, history.len() as u64)),
                Step::Pass(time) => now += ms(time.into()),
                Step::Look => {
                    let now_at = revision(era, history.len() as u64 - 1);
                    let before = Prior {
                        in_force,
                        entry: at,
                        state,
                        age: None,
                    };
                    standing.observe(now_at, before, now);
                    let stored = (last.0 > 0).then(|| entry(last.0, era, last.1));
                    let seen = in_force;
                    in_force = in_force.max(stored.map(|it| it.version));
                    (at, state) = (stored, now_at);
                    let ground = standing.evaluate(stored, in_force, WAITS, now);
                    if ground.is_some() && ground != Some(Evidence::Waited) {
                        let version = stored.map(|it| it.version);
                        prop_assert!(version >= seen, "{version:?} of {seen:?} by {ground:?}");
                    }
                    if let Some(ground) = ground {
                        standing.settle(ground);
                    }
                }
            }
        }
    }

    /// Whatever a copy has or lacks, what was asked in the former era stands while that
    /// holds, and the operator's newer words win.
    #[test]
    fn halls_stand_against_a_copy(
        before in prop::collection::vec(any::<bool>(), 4),
        copy in prop::collection::vec(any::<bool>(), 4),
        later in prop::collection::vec(prop::option::of(any::<bool>()), 4),
    ) {
        let emptied = EmptiedHalls::default();
        let name = |hall: usize| -> tidepier_ids::Hall {
            format!("hall-{hall}").parse().expect("a name")
        };
        for (hall, empty) in before.iter().enumerate() {
            // Each was asked to be emptied once.
            emptied.empty(name(hall), revision(1, 30 + hall as u64), None);
            if !empty {
                emptied.take_back(name(hall), revision(1, 40 + hall as u64));
            }
        }
        let rows = copy.iter().enumerate().filter(|(_, there)| **there);
        let rows = rows.map(|(hall, _)| Row {
            hall: name(hall),
            revision: revision(2, 5 + hall as u64),
        });
        let list = List { rows: rows.collect(), seen: revision(2, 20) };
        let hold = Some(Precedence::new(revision(2, 20)));
        prop_assert!(emptied.merge(&list, hold), "what stands was all weighed");
        let halls = emptied.halls();
        for (hall, empty) in before.iter().enumerate() {
            prop_assert_eq!(halls.contains(&name(hall)), *empty, "hall {}", hall);
        }
        for (hall, change) in later.iter().enumerate() {
            let at = revision(2, 25 + hall as u64);
            match change {
                Some(true) => emptied.empty(name(hall), at, hold),
                Some(false) => emptied.take_back(name(hall), at),
                None => {}
            }
        }
        let halls = emptied.halls();
        for (hall, change) in later.iter().enumerate() {
            let expected = change.unwrap_or(before[hall]);
            prop_assert_eq!(halls.contains(&name(hall)), expected, "hall {}", hall);
        }
        // The time is over: as the store has it.
        let mut rows = list.rows;
        for (hall, change) in later.iter().enumerate() {
            if let Some(empty) = change {
                rows.retain(|row| row.hall != name(hall));
                let revision = revision(2, 25 + hall as u64);
                rows.extend(empty.then(|| Row { hall: name(hall), revision }));
            }
        }
        let list = List { rows, seen: revision(2, 30) };
        prop_assert!(emptied.merge(&list, None), "differs");
        let halls = emptied.halls();
        for (hall, change) in later.iter().enumerate() {
            let expected = change.unwrap_or(copy[hall]);
            prop_assert_eq!(halls.contains(&name(hall)), expected, "hall {}", hall);
        }
    }
}
