//! Tests of the table of boxes: the same rumors give the same table in whatever
//! order they arrive, and an older rumor never replaces a newer one.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use tidepier_clock::Instant;
use tidepier_ids as ids;
use tidepier_membership::{neighbours, Rumor, Sight, State, Table};

use crate::streams::config;

fn rumor(index: u16, incarnation: u64, sequence: u32, state: State) -> Rumor {
    Rumor {
        name: format!("box-{index}").parse().unwrap(),
        hall: format!("hall-{}", index % 3).parse().unwrap(),
        peers: ([127, 0, 0, 1], 1000 + index).into(),
        admin: ([127, 0, 0, 1], 2000 + index).into(),
        incarnation: ids::Incarnation(incarnation),
        sequence,
        state,
    }
}

fn table(me: u16) -> Table {
    Table::new(rumor(me, 5, 0, State::Alive), Instant::now())
}

fn any_rumor() -> impl Strategy<Value = Rumor> {
    let state = prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Leaving),
        Just(State::Dead),
    ];
    (1..8u16, 1..4u64, 0..3u32, state).prop_map(|(index, incarnation, sequence, state)| {
        rumor(index, incarnation, sequence, state)
    })
}

fn newest(rumors: &[Rumor]) -> BTreeSet<(ids::Box, u64, u32, State)> {
    let order = |r: &Rumor| (r.incarnation.0, r.sequence, r.state);
    let best = |r: &&Rumor| {
        !rumors
            .iter()
            .any(|o| o.name == r.name && order(o) > order(r))
    };
    let best = rumors.iter().filter(best);
    best.map(|r| (r.name.clone(), r.incarnation.0, r.sequence, r.state))
        .collect()
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn tables_do_not_depend_on_the_order_of_rumors(
        (rumors, shuffled) in prop::collection::vec(any_rumor(), 0..60)
            .prop_flat_map(|rumors| (Just(rumors.clone()), Just(rumors).prop_shuffle())),
    ) {
        let now = Instant::now();
        let (mut one, mut other) = (table(0), table(0));
        for rumor in &rumors {
            one.hear(rumor.clone(), now);
        }
        for rumor in &shuffled {
            other.hear(rumor.clone(), now);
        }
        prop_assert_eq!(one.digest(), other.digest());
        let held: BTreeSet<_> = one
            .rumors()
            .into_iter()
            .filter(|r| r.name.as_str() != "box-0")
            .map(|r| (r.name.clone(), r.incarnation.0, r.sequence, r.state))
            .collect();
        prop_assert_eq!(held, newest(&rumors));
    }

    #[test]
    fn every_box_has_watchers(count in 2..60u16) {
        let now = Instant::now();
        let mut watched = BTreeSet::new();
        for me in 0..count {
            let mut table = table(me);
            for index in 0..count {
                table.hear(rumor(index, 5, 0, State::Alive), now);
            }
            let chosen = neighbours(&table, 3);
            prop_assert!(chosen.len() <= 4, "constant cost: {}", chosen.len());
            watched.extend(chosen);
        }
        // A box alone in its hall is watched from another hall, where possible.
        let in_halls_of_two = (0..count).filter(|index| count > 3 || *index < count);
        for index in in_halls_of_two {
            let name: ids::Box = format!("box-{index}").parse().unwrap();
            let alone = (0..count).filter(|other| other % 3 == index % 3).count() == 1;
            prop_assert!(alone || watched.contains(&name), "{} is not watched", name);
        }
    }
}

#[test]
fn a_suspicion_is_refuted_and_the_refutation_spreads() {
    let now = Instant::now();
    let mut me = table(1);
    let mut other = table(2);
    other.hear(me.me().clone(), now);
    other.suspect(&me.me().name.clone(), now);
    let suspicion = other.get(&me.me().name.clone()).unwrap().rumor.clone();
    me.hear(suspicion, now);
    let sight = other.hear(me.me().clone(), now);
    assert!(matches!(sight, Some(Sight::Changed(_, State::Alive))));
}

#[test]
fn a_box_that_was_declared_dead_starts_a_new_incarnation() {
    let now = Instant::now();
    let mut me = table(1);
    let before = me.me().incarnation;
    let mut dead = me.me().clone();
    dead.state = State::Dead;
    assert_eq!(me.hear(dead.clone(), now), Some(Sight::Reborn));
    assert!(me.me().incarnation > before);
    let mut other = table(2);
    other.hear(dead, now);
    assert!(matches!(
        other.hear(me.me().clone(), now),
        Some(Sight::Joined(_))
    ));
}

#[test]
fn only_suspects_of_the_own_hall_are_declared_dead() {
    let now = Instant::now();
    let mut table = table(0);
    for index in [1, 3] {
        let heard = rumor(index, 5, 0, State::Alive);
        table.hear(heard.clone(), now);
        table.suspect(&heard.name, now);
    }
    let later = now + Duration::from_secs(10);
    let sights = table.expire(Duration::from_secs(1), later);
    let mine: ids::Box = "box-3".parse().unwrap();
    assert_eq!(sights, vec![Sight::Died(mine)], "box-1 is of another hall");
}

#[test]
fn an_old_rumor_does_not_add_a_dead_box_again() {
    let now = Instant::now();
    let mut table = table(0);
    let alive = rumor(3, 5, 2, State::Alive);
    table.hear(alive.clone(), now);
    table.bury(&alive.name, now);
    assert_eq!(table.hear(alive.clone(), now), None);
    assert!(table.present().all(|member| member.name != alive.name));
}
