//! When a box takes the state in force for confirmed after the store was restored,
//! without a network.
//!
//! The store is restored to any earlier state at any moment, once or several times. The
//! operator rewrites what is gone, or continues, before or after this box looks at the
//! store, which it does seldom.

use std::time::Duration;

use eyre::ensure;
use proptest::prelude::*;
use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::era::{Era, Revision, Tracker};
use tidepier_relay::emptied_halls::{EmptiedHalls, List, Row};
use tidepier_relay::era_state::{Delays, Entry, EraState, Evidence, Origin, Precedence, Prior};

use crate::harness::{ms, Result};

/// Times after which the store's entries are authoritative again and the operator has
/// rewritten the lost ones.
const DELAYS: Delays = Delays {
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

/// A box that was settled in era 1, with version 60 of number 43, and observes a state
/// of era 2.
fn restored(first: u64, now: Instant) -> EraState {
    let era_state = EraState::default();
    era_state.observe(revision(1, 10), Prior::default(), now);
    era_state.settle(Evidence::Report);
    assert!(era_state.observe(revision(2, first), known(60, 1, 43, 45), now));
    era_state
}

fn evaluate(era_state: &EraState, stored: Entry, at: Instant) -> Option<Evidence> {
    era_state.evaluate(Some(stored), Some(Version(60)), DELAYS, at)
}

#[test]
fn a_version_older_than_the_one_in_force_is_no_evidence() -> Result {
    let now = Instant::now();
    let era_state = restored(39, now);
    era_state.mark_peers_queried();
    for stored in [entry(45, 2, 39), entry(45, 2, 41), entry(59, 2, 60)] {
        let evidence = evaluate(&era_state, stored, now + ms(100));
        ensure!(evidence.is_none(), "{stored:?}: {evidence:?}");
    }
    let evidence = era_state.evaluate(None, Some(Version(60)), DELAYS, now);
    ensure!(evidence.is_none(), "no entry: {evidence:?}");
    // The operator did not rewrite the configuration.
    let evidence = evaluate(&era_state, entry(45, 2, 39), now + DELAYS.rewrite);
    ensure!(evidence == Some(Evidence::Waited), "{evidence:?}");
    Ok(())
}

#[test]
fn what_the_operator_wrote_in_the_era_is_evidence() -> Result {
    let now = Instant::now();
    let era_state = restored(39, now);
    for (stored, evidence) in [
        (entry(60, 2, 40), Some(Evidence::Written)),
        (entry(63, 2, 41), Some(Evidence::Written)),
        // The number was assigned in the era before, when there was another version.
        (entry(63, 2, 39), Some(Evidence::Written)),
        (entry(60, 2, 39), Some(Evidence::Written)),
    ] {
        let found = evaluate(&era_state, stored, now);
        ensure!(found == evidence, "{stored:?}: {found:?}");
    }
    // It may be a backup entry: this box knew of no state with that number.
    let era_state = restored(50, now);
    let found = evaluate(&era_state, entry(63, 2, 50), now);
    ensure!(found.is_none(), "{found:?}");
    Ok(())
}

#[test]
fn the_version_in_force_is_evidence_once_others_were_queried() -> Result {
    let now = Instant::now();
    let era_state = restored(44, now);
    let stored = entry(60, 2, 43);
    ensure!(
        evaluate(&era_state, stored, now).is_none(),
        "no other box was queried"
    );
    era_state.mark_peers_queried();
    let early = evaluate(&era_state, stored, now + ms(2_900));
    ensure!(
        early.is_none(),
        "before the store is authoritative: {early:?}"
    );
    let stable = now + DELAYS.stable;
    let evidence = evaluate(&era_state, stored, stable);
    ensure!(evidence == Some(Evidence::Same), "{evidence:?}");
    // Another box reported a higher version meanwhile.
    let evidence = era_state.evaluate(Some(stored), Some(Version(61)), DELAYS, stable);
    ensure!(evidence.is_none(), "{evidence:?}");
    // A query in one era does not count in the next.
    ensure!(
        era_state.observe(revision(3, 44), known(60, 2, 43, 44), now),
        "no other era"
    );
    let evidence = evaluate(&era_state, entry(60, 3, 43), stable);
    ensure!(evidence.is_none(), "{evidence:?}");
    Ok(())
}

/// Guards against a box that was suspended for longer than the backup is old and gives
/// precedence to what it knew before that.
#[test]
fn state_older_than_any_backup_has_no_precedence() -> Result {
    let now = Instant::now();
    let (before, within) = (known(60, 1, 43, 45), DELAYS.rewrite);
    for (age, expected) in [
        (Some(ms(4_900)), true),
        (Some(ms(5_100)), false),
        (None, true),
    ] {
        let era_state = EraState::default();
        era_state.observe(revision(1, 10), Prior::default(), now);
        era_state.observe(revision(2, 39), Prior { age, ..before }, now);
        let precedence = era_state.recent_precedence(within, now + ms(100));
        ensure!(precedence.is_some() == expected, "{age:?}: {precedence:?}");
        ensure!(
            era_state.precedence(within, now + ms(100)).is_some(),
            "{age:?}"
        );
        let over = era_state.recent_precedence(within, now + within);
        ensure!(over.is_none(), "{age:?}: {over:?}");
    }
    Ok(())
}

#[test]
fn an_era_begins_once_and_no_earlier_one_comes_back() -> Result {
    let now = Instant::now();
    let era_state = restored(39, now);
    ensure!(!era_state.observe(revision(2, 37), Prior::default(), now));
    ensure!(era_state.first() == 37, "{}", era_state.first());
    ensure!(!era_state.observe(revision(1, 60), Prior::default(), now));
    ensure!(era_state.era() == Some(Era(2)), "{:?}", era_state.era());
    ensure!(!era_state.is_settled(), "settled by an earlier era");
    ensure!(era_state.settle(Evidence::Report) && !era_state.settle(Evidence::Same));
    let eras = Tracker::default();
    let observed = [Some(Era(2)), None, Some(Era(1)), Some(Era(3)), Some(Era(2))];
    let observed: Vec<bool> = observed
        .iter()
        .map(|era| eras.observe(*era).is_ok())
        .collect();
    ensure!(observed == [true, true, false, true, false], "{observed:?}");
    Ok(())
}

#[test]
fn a_store_without_eras_is_complete() -> Result {
    let now = Instant::now();
    let era_state = EraState::default();
    ensure!(era_state.is_unsettled(), "no state was observed yet");
    era_state.observe(revision(0, 7), Prior::default(), now);
    ensure!(era_state.is_settled() && era_state.may_serve());
    ensure!(era_state.origin(revision(0, 3)) == Origin::Era);
    // The store reports an era from its first restore on.
    era_state.observe(revision(1, 3), known(60, 0, 6, 7), now);
    ensure!(!era_state.is_settled(), "settled by the earlier era");
    ensure!(era_state.origin(revision(1, 3)) == Origin::Backup);
    Ok(())
}

#[test]
fn a_box_that_starts_serves_once_others_were_queried() -> Result {
    let now = Instant::now();
    let era_state = EraState::default();
    ensure!(era_state.may_serve(), "nothing is known");
    era_state.observe(revision(2, 40), Prior::default(), now);
    ensure!(!era_state.may_serve() && era_state.is_unsettled());
    era_state.mark_peers_queried();
    ensure!(era_state.may_serve() && era_state.is_unsettled());
    // A start that is not the first one is not settled by the box's own look at the
    // store.
    let evidence = era_state.evaluate(
        Some(entry(45, 2, 39)),
        Some(Version(45)),
        DELAYS,
        now + ms(900),
    );
    ensure!(evidence.is_none(), "{evidence:?}");
    let first = EraState::default();
    first.record_first_start();
    first.observe(revision(1, 1), Prior::default(), now);
    ensure!(first.is_settled() && first.may_serve());
    first.observe(revision(2, 1), Prior::default(), now);
    ensure!(!first.is_settled(), "only once");
    Ok(())
}

/// A change to the store, or a look of the box.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The operator writes a newer version, after as many changes by others.
    Write(u8),
    /// The store is restored to its state that many changes ago.
    Return(u8),
    /// The operator rewrites the newest version that it wrote.
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
    /// While the operator has not rewritten what is gone, and could still do so, nothing
    /// older than what this box once had in force is confirmed. What is confirmed after
    /// a look is the newest version that the operator wrote, unless the store lost that
    /// before this box ever looked.
    #[test]
    fn nothing_older_than_what_was_in_force_is_confirmed(steps in steps()) {
        let mut now = Instant::now();
        let era_state = EraState::default();
        era_state.record_first_start();
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
                    era_state.observe(now_at, before, now);
                    let stored = (last.0 > 0).then(|| entry(last.0, era, last.1));
                    let seen = in_force;
                    in_force = in_force.max(stored.map(|it| it.version));
                    (at, state) = (stored, now_at);
                    let evidence = era_state.evaluate(stored, in_force, DELAYS, now);
                    if evidence.is_some() && evidence != Some(Evidence::Waited) {
                        let version = stored.map(|it| it.version);
                        prop_assert!(version >= seen, "{version:?} of {seen:?} by {evidence:?}");
                    }
                    if let Some(evidence) = evidence {
                        era_state.settle(evidence);
                    }
                }
            }
        }
    }

    /// Whatever the backup has or lacks, what the operator requested in the stale era
    /// takes precedence while the rule applies, and the operator's newer requests win.
    #[test]
    fn halls_take_precedence_over_a_backup(
        before in prop::collection::vec(any::<bool>(), 4),
        copy in prop::collection::vec(any::<bool>(), 4),
        later in prop::collection::vec(prop::option::of(any::<bool>()), 4),
    ) {
        let emptied = EmptiedHalls::default();
        let name = |hall: usize| -> tidepier_ids::Hall {
            format!("hall-{hall}").parse().expect("a name")
        };
        for (hall, empty) in before.iter().enumerate() {
            // Each hall was emptied once.
            emptied.record_emptied(name(hall), revision(1, 30 + hall as u64), None);
            if !empty {
                emptied.cancel(name(hall), revision(1, 40 + hall as u64));
            }
        }
        let rows = copy.iter().enumerate().filter(|(_, there)| **there);
        let rows = rows.map(|(hall, _)| Row {
            hall: name(hall),
            revision: revision(2, 5 + hall as u64),
        });
        let list = List { rows: rows.collect(), seen: revision(2, 20) };
        let precedence = Some(Precedence::new(revision(2, 20)));
        prop_assert!(emptied.merge(&list, precedence), "differs beyond what takes precedence");
        let halls = emptied.halls();
        for (hall, empty) in before.iter().enumerate() {
            prop_assert_eq!(halls.contains(&name(hall)), *empty, "hall {}", hall);
        }
        for (hall, change) in later.iter().enumerate() {
            let at = revision(2, 25 + hall as u64);
            match change {
                Some(true) => emptied.record_emptied(name(hall), at, precedence),
                Some(false) => emptied.cancel(name(hall), at),
                None => {}
            }
        }
        let halls = emptied.halls();
        for (hall, change) in later.iter().enumerate() {
            let expected = change.unwrap_or(before[hall]);
            prop_assert_eq!(halls.contains(&name(hall)), expected, "hall {}", hall);
        }
        // The time is over: the state is that of the store.
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
