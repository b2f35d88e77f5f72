//! Which boxes keep the origin of a stream, and how many they keep.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use eyre::ensure;
use tidepier_clock::Instant;
use tidepier_core::server::{Server, State};
use tidepier_ids as ids;
use tidepier_relay::fleet::Fleet;
use tidepier_relay::origin::keepers::{Keeper, Keepers};
use tidepier_relay::origin::table::{Table, STREAMS_MAX};
use tidepier_relay::origin::{Origin, Record, Stream, WINDOW_MIN};

use crate::choice_harness;
use crate::harness::{ms, Result};

fn stream(number: usize) -> Stream {
    Stream::new("tenant-1", &number.to_string())
}

fn origin(release: &str) -> Result<Origin> {
    let service: ids::Service = "service-1".parse()?;
    Ok(Origin::new(&service, Some(&release.parse()?)))
}

/// The boxes of some halls.
fn halls(sizes: &[usize]) -> Result<Vec<(ids::Hall, Vec<Keeper>)>> {
    let mut halls = Vec::new();
    for (hall, size) in sizes.iter().enumerate() {
        let mut boxes = Vec::new();
        for number in 0..*size {
            boxes.push(Keeper {
                name: format!("box-{hall}-{number}").parse()?,
                address: SocketAddr::from(([10, 0, hall as u8, number as u8], 1)),
            });
        }
        halls.push((format!("hall-{hall}").parse()?, boxes));
    }
    Ok(halls)
}

/// Guards against boxes that ask others than those that were told.
#[test]
fn every_box_asks_a_box_that_was_told() -> Result {
    for sizes in [
        &[2, 2, 2][..],
        &[1, 1],
        &[3],
        &[167, 166, 167, 166, 167, 167],
    ] {
        let halls = halls(sizes)?;
        let all: Vec<(&ids::Hall, &Keeper)> = halls
            .iter()
            .flat_map(|(hall, boxes)| boxes.iter().map(move |it| (hall, it)))
            .collect();
        let keepers = |at: usize| Keepers::new(&all[at].1.name, all[at].0, halls.clone());
        for number in 0..200 {
            let (begins, resumes) = (number * 31 % all.len(), number * 17 % all.len());
            let stream = stream(number);
            // The box where it began is gone, and another one is passed over.
            let (teller, asker) = (keepers(begins), keepers(resumes));
            let failing = &all[number * 7 % all.len()].1.name;
            let told = teller.to_tell(stream, |it| it.name == *failing);
            ensure!(told.len() <= 3, "{} boxes told", told.len());
            let told: BTreeSet<_> = told.into_iter().map(|it| &it.name).collect();
            let asked = asker.to_ask(Some(stream));
            ensure!(asked.len() <= 14, "{} boxes asked", asked.len());
            let knows = told.contains(&all[resumes].1.name)
                || asked.iter().any(|it| told.contains(&it.name))
                || begins == resumes;
            ensure!(knows || told.is_empty(), "{sizes:?}: {told:?}, {asked:?}");
        }
    }
    Ok(())
}

/// Guards against unbounded memory, and against one of two contradictory origins.
#[test]
fn the_table_is_bounded_and_takes_no_contradiction() -> Result {
    let table = Table::default();
    let now = Instant::now();
    let record = |number, origin| Record {
        stream: stream(number),
        origin,
    };
    let (first, second) = (origin("v1")?, origin("v2")?);
    for number in 0..STREAMS_MAX + 10 {
        table.insert(record(number, first), ms(number as u64 + 1), now);
    }
    ensure!(table.len() == STREAMS_MAX, "{} streams", table.len());
    ensure!(table.get(stream(9), now).is_none(), "the oldest are kept");
    let last = STREAMS_MAX + 9;
    ensure!(table.get(stream(last), now) == Some(first));
    table.insert(record(last, second), ms(1_000), now);
    table.insert(record(last, first), ms(1_000), now);
    ensure!(table.get(stream(last), now).is_none(), "contradictory");
    table.remove_expired(now + ms(100_000_000));
    ensure!(table.is_empty(), "{} streams", table.len());
    ensure!(Stream::new("ab", "c") != Stream::new("a", "bc"));
    ensure!(origin("v1")? != origin("v2")?);
    Ok(())
}

/// Guards against a release that returns after all boxes have forgotten it, and gets streams
/// before they know it again.
#[test]
fn a_release_that_returns_is_young_again() -> Result {
    let server = |number, release: &str| -> Result<Server> {
        Ok(Server {
            release: Some(release.parse()?),
            ..choice_harness::server(number, State::Ready)?
        })
    };
    let (old, new) = (server(1, "v1")?, server(2, "v2")?);
    let fleet = Fleet::default();
    let start = Instant::now();
    fleet.announce(old.clone(), start);
    fleet.announce(new.clone(), start);
    fleet.releases.confirm_at(start);
    fleet.remove(&old.id);
    let (service, window) = (&new.service, WINDOW_MIN);
    for (gone, is_young) in [(ms(10_000), false), (window + ms(1_000), true)] {
        let later = Instant::now() + gone;
        let sole = fleet.releases.names(service, window, later).len() == 1;
        ensure!(sole == is_young, "gone for {gone:?}: sole {sole}");
        fleet.announce(old.clone(), later);
        let young = fleet.releases.young(service, ms(3_000), later);
        ensure!(young.is_empty() != is_young, "gone for {gone:?}: {young:?}");
        fleet.remove(&old.id);
    }
    Ok(())
}
