//! Halls that the operator asks to empty.
//!
//! The load is that a third of all servers gets nothing more from one moment on, and is
//! used again later.

use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use proptest::prelude::*;
use smol::Timer;
use tidepier_core::era::Revision;
use tidepier_relay::emptied_halls::{EmptiedHalls, List, Row};
use tidepier_relay_standin::server::{Fault, Server};
use tidepier_relay_standin::store::Down;
use tidepier_relay_standin::{names, Client};

use crate::box_harness::{start_boxes_with_reader, wait_until_ready, TestBox};
use crate::choice_harness::id;
use crate::harness::{
    count_deliveries, ensure_not_executed, ensure_served_by, ms, post, run, server_settings, site,
    start_with_two_servers, stream_server_settings, wait_until, Harness, Result,
};

/// Promised time to empty a hall. It is that of changes of the catalog, which is the
/// shorter one in these tests.
const EMPTY_TIME: Duration = Duration::from_millis(2_000);
/// Pause in which requests that were in flight when a hall was emptied have reached
/// their server.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(200);

/// Requests that reached a server after a moment.
fn after(server: &Server, since: Instant) -> usize {
    let runs = server.runs();
    runs.iter().filter(|run| run.arrived > since).count()
}

/// Waits until boxes send nothing more to a server, for no longer than promised.
async fn emptied(test_boxes: &[TestBox], server: &Server, since: Instant) -> Result {
    for test_box in test_boxes {
        wait_until("emptied", async || Ok(!test_box.sends_to(server)?)).await?;
        ensure!(since.elapsed() < EMPTY_TIME, "{:?}", since.elapsed());
    }
    Ok(())
}

async fn in_use_again(test_boxes: &[TestBox], server: &Server, since: Instant) -> Result {
    for test_box in test_boxes {
        wait_until("in use again", async || test_box.sends_to(server)).await?;
        ensure!(since.elapsed() < EMPTY_TIME, "{:?}", since.elapsed());
    }
    Ok(())
}

#[test]
fn a_hall_that_is_emptied_gets_nothing_new_from_any_box() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(server_settings(1))?;
        let far = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 3).await?;
        for _ in 0..2 {
            let since = Instant::now();
            site.empty_hall("hall-1");
            emptied(&test_boxes, &near, since).await?;
            Timer::after(IN_FLIGHT_TIME).await;
            let quiet = Instant::now();
            for (number, test_box) in test_boxes.iter().cycle().take(60).enumerate() {
                let attempt = format!("{number}");
                let path = ["/r/x", "/o/x", "/s/x"][number % 3];
                let answer = test_box.call(&post(path, &attempt)).await?;
                ensure_served_by(&answer, &[&far], &attempt)?;
            }
            ensure!(after(&near, quiet) == 0, "sent to an emptied hall");
            let since = Instant::now();
            site.take_back("hall-1");
            in_use_again(&test_boxes, &near, since).await?;
        }
        Ok(())
    })
}

#[test]
fn several_halls_are_emptied_and_cancelled_in_any_order() -> Result {
    run(async |executor| {
        let site = site()?;
        let servers = [
            site.server(server_settings(1))?,
            site.server(server_settings(2))?,
        ];
        let stays = site.server(server_settings(3))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let since = Instant::now();
        site.empty_hall("hall-2");
        site.empty_hall("hall-1");
        site.empty_hall("a-hall-that-nobody-knows");
        for server in &servers {
            emptied(&test_boxes, server, since).await?;
        }
        ensure_served_by(
            &test_boxes[1].call(&post("/r/x", "only")).await?,
            &[&stays],
            "only",
        )?;
        let since = Instant::now();
        site.take_back("hall-2");
        site.take_back("a-hall-that-nobody-knows");
        in_use_again(&test_boxes, &servers[1], since).await?;
        for test_box in &test_boxes {
            ensure!(
                !test_box.sends_to(&servers[0])?,
                "the emptying of hall-1 was cancelled too"
            );
        }
        Ok(())
    })
}

#[test]
fn a_hall_is_emptied_in_time_though_watches_learn_nothing() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        for _ in 0..2 {
            site.store.deaf(ms(3_000));
            site.store.cut_watches();
            Timer::after(ms(50)).await;
            let since = Instant::now();
            site.empty_hall("hall-1");
            emptied(&test_boxes, &near, since).await?;
            let since = Instant::now();
            site.take_back("hall-1");
            site.store.compact();
            in_use_again(&test_boxes, &near, since).await?;
        }
        Ok(())
    })
}

#[test]
fn a_hall_emptied_while_the_store_was_unreachable_is_empty_afterwards() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        site.store.faults(|faults| faults.down = Some(Down::Silent));
        Timer::after(ms(1_500)).await;
        site.empty_hall("hall-1");
        let since = Instant::now();
        site.store.faults(|faults| faults.down = None);
        emptied(&test_boxes, &near, since).await?;
        site.store.faults(|faults| faults.down = Some(Down::Reset));
        Timer::after(ms(1_500)).await;
        for test_box in &test_boxes {
            ensure!(!test_box.sends_to(&near)?, "no longer emptied in an outage");
        }
        site.take_back("hall-1");
        let since = Instant::now();
        site.store.faults(|faults| faults.down = None);
        in_use_again(&test_boxes, &near, since).await
    })
}

#[test]
fn a_box_that_starts_knows_what_is_emptied_before_it_is_ready() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(server_settings(1))?;
        let far = site.server(server_settings(2))?;
        site.empty_hall("hall-1");
        let mut test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        for test_box in &test_boxes {
            ensure!(!test_box.sends_to(&near)?, "known too late");
        }
        // One more box, which learns of it from another.
        let late = TestBox::start(&executor, &site, "box-9", "hall-1", 100).await?;
        test_boxes.push(late);
        wait_until_ready(&test_boxes).await?;
        ensure!(!test_boxes[2].sends_to(&near)?, "known too late");
        ensure_served_by(
            &test_boxes[2].call(&post("/r/x", "late")).await?,
            &[&far],
            "late",
        )?;
        ensure!(near.runs().is_empty(), "sent to an emptied hall");
        Ok(())
    })
}

#[test]
fn a_retry_does_not_go_to_an_emptied_hall() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        let relay = harness.router.relay();
        harness.site.empty_hall("hall-2");
        let service = id(crate::harness::SERVICE)?;
        wait_until("emptied", async || {
            Ok(relay.fleet.serving(&service).len() == 1)
        })
        .await?;
        near.fault(Fault::Shed, u32::MAX);
        for number in 0..5 {
            let attempt = format!("{number}");
            ensure_not_executed(&harness.post("/r/x", &attempt).await?)?;
            ensure!(
                count_deliveries(&[&far], &attempt) == 0,
                "retried in an emptied hall"
            );
        }
        Ok(())
    })
}

#[test]
fn requests_in_flight_in_an_emptied_hall_complete() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(stream_server_settings(1, 20, ms(60)))?;
        let harness = Harness::start_ready(executor.clone(), site).await?;
        let front = harness.router_address();
        let call = post("/u/x", "long");
        let stream = executor.spawn(async move { Client::once(front, &call).await });
        wait_until("begun", async || Ok(server.running() == 1)).await?;
        harness.site.empty_hall("hall-1");
        let fleet = &harness.router.relay().fleet;
        let hall = id("hall-1")?;
        let service = id(crate::harness::SERVICE)?;
        wait_until("emptied", async || Ok(fleet.serving(&service).is_empty())).await?;
        ensure!(fleet.running_in(&hall) == 1, "the request is not counted");
        ensure_served_by(&stream.await?, &[&server], "long")?;
        ensure!(fleet.running_in(&hall) == 0, "the request is still counted");
        Ok(())
    })
}

#[test]
fn without_a_server_outside_emptied_halls_requests_are_refused_at_once() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        harness.site.empty_hall("hall-1");
        harness.site.empty_hall("hall-2");
        let fleet = &harness.router.relay().fleet;
        let service = id(crate::harness::SERVICE)?;
        wait_until("emptied", async || Ok(fleet.serving(&service).is_empty())).await?;
        for path in ["/r/x", "/o/x", "/s/x"] {
            let since = Instant::now();
            let answer = harness.post(path, path).await?;
            ensure_not_executed(&answer)?;
            ensure!(since.elapsed() < ms(100), "after {:?}", since.elapsed());
            ensure!(answer.body == br#"{"error":"emptied"}"#, "{answer:?}");
            ensure!(count_deliveries(&[&near, &far], path) == 0, "sent");
        }
        ensure!(harness.is_ready().await, "not ready for other services");
        harness.site.take_back("hall-2");
        wait_until("in use again", async || {
            Ok(fleet.serving(&service).len() == 1)
        })
        .await?;
        ensure_served_by(&harness.post("/r/x", "again").await?, &[&far], "again")
    })
}

#[test]
fn an_entry_that_names_no_hall_harms_none() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        for key in ["", "No Hall", "a/b"] {
            harness
                .site
                .store
                .put(&format!("{}{key}", names::EMPTIED), &true.into());
        }
        harness.site.store.put("op/other", &7.into());
        harness.site.empty_hall("hall-1");
        let fleet = &harness.router.relay().fleet;
        let service = id(crate::harness::SERVICE)?;
        wait_until("emptied", async || Ok(fleet.serving(&service).len() == 1)).await?;
        ensure_served_by(&harness.post("/r/x", "one").await?, &[&far], "one")?;
        ensure!(near.runs().is_empty(), "sent to an emptied hall");
        Ok(())
    })
}

#[test]
fn a_freshness_check_costs_one_call_though_a_hall_is_emptied() -> Result {
    run(async |executor| {
        let (_near, _far, harness) = start_with_two_servers(executor).await?;
        harness.site.empty_hall("hall-1");
        let fleet = &harness.router.relay().fleet;
        let service = id(crate::harness::SERVICE)?;
        wait_until("emptied", async || Ok(fleet.serving(&service).len() == 1)).await?;
        Timer::after(ms(900)).await;
        let lists = harness.site.store.calls("kv-range");
        let checks = harness.site.store.calls("kv-txn");
        Timer::after(ms(2_500)).await;
        ensure!(harness.site.store.calls("kv-range") == lists, "read again");
        let asked = harness.site.store.calls("kv-txn") - checks;
        ensure!(
            (2..=4).contains(&asked),
            "{asked} freshness checks in 2.5 s"
        );
        let age = harness.router.relay().view.age();
        let age = age.ok_or_else(|| eyre!("never confirmed current"))?;
        ensure!(age < ms(1_200), "confirmed current {age:?} ago");
        Ok(())
    })
}

/// One change that the operator makes.
#[derive(Debug, Clone)]
struct Change {
    hall: usize,
    empty: bool,
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = (0..4_usize, any::<bool>()).prop_map(|(hall, empty)| Change { hall, empty });
    prop::collection::vec(change, 1..24)
}

/// The state of the store after the first `until` changes; each has a revision of its
/// own, from 1 on.
fn state(changes: &[Change], until: usize) -> List {
    let mut rows: Vec<Row> = Vec::new();
    for (at, change) in changes[..until].iter().enumerate() {
        let hall = format!("hall-{}", change.hall).parse().expect("a name");
        rows.retain(|row| row.hall != hall);
        if change.empty {
            let revision = Revision::of(at as u64 + 1);
            rows.push(Row { hall, revision });
        }
    }
    let seen = Revision::of(until as u64);
    List { rows, seen }
}

fn sorted(mut list: List) -> Vec<(String, Revision)> {
    list.rows.sort_by(|a, b| a.hall.cmp(&b.hall));
    list.rows
        .iter()
        .map(|row| (row.hall.to_string(), row.revision))
        .collect()
}

proptest! {
    /// Whatever states and single changes arrive in whatever order: once the newest
    /// state has arrived, it stays in effect, and nothing older replaces it.
    #[test]
    fn the_newest_state_applies_in_any_order(
        changes in changes(),
        order in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 0..24),
        newest_at in any::<prop::sample::Index>(),
    ) {
        let known = EmptiedHalls::default();
        let newest = state(&changes, changes.len());
        let newest_at = newest_at.index(order.len() + 1);
        for (step, (index, whole)) in order.iter().enumerate() {
            if step == newest_at {
                known.merge(&newest, None);
            }
            let at = index.index(changes.len());
            if *whole {
                let listed = state(&changes, at + 1);
                let same = known.merge(&listed, None);
                prop_assert_eq!(same, sorted(known.list()) == sorted(listed));
            } else {
                let hall = format!("hall-{}", changes[at].hall).parse().expect("a name");
                match changes[at].empty {
                    true => known.record_emptied(hall, Revision::of(at as u64 + 1), None),
                    false => known.cancel(hall, Revision::of(at as u64 + 1)),
                }
            }
        }
        known.merge(&newest, None);
        prop_assert_eq!(sorted(known.list()), sorted(newest));
    }
}

/// A box that reads an older state than another does not restore that state.
#[test]
fn an_older_state_of_another_box_confirms_nothing() {
    let row = |number| Row {
        hall: "hall-1".parse().expect("a name"),
        revision: Revision::of(number),
    };
    let list = |rows: &[Row], number| List {
        rows: rows.to_vec(),
        seen: Revision::of(number),
    };
    let known = EmptiedHalls::default();
    assert!(known.merge(&list(&[row(5)], 5), None));
    assert!(known.merge(&list(&[], 9), None));
    assert!(
        !known.merge(&list(&[row(5)], 7), None),
        "an old entry was applied"
    );
    assert!(known.halls().is_empty());
    assert!(known.merge(&list(&[row(11)], 11), None));
    assert!(
        !known.merge(&list(&[], 10), None),
        "an old state was applied"
    );
    assert_eq!(known.halls().len(), 1);
}
