//! What clients get where boxes lack a record of what was before.

use std::future::Future;
use std::rc::Rc;

use eyre::ensure;
use smol::{LocalExecutor, Timer};
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, Server};
use tidepier_relay_standin::site::Route;

use crate::box_harness::{
    site_with_keys, start_boxes_in, start_first_boxes_in, with_key, TestBox, REVOKE_TIME,
};
use crate::harness::{ms, post, run, server_settings, wait_until, Executor, Result};
use crate::stream_out_of_step::{ensure_not_joined, Fleet};
use crate::stream_releases::{begin, deliveries, settings, site, take_up};
use crate::stream_restarts::{recorded, replace, servers};

/// The halls of the boxes.
const HALLS: [&str; 3] = ["hall-1", "hall-1", "hall-2"];
/// Number of other services.
const OTHERS: u32 = 12;

/// Runs a test that takes longer than a release is remembered.
fn run_long<F: Future<Output = Result>>(test: impl FnOnce(Executor) -> F) -> Result {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(test(executor.clone())))
}

/// Guards against a store from a backup that is older than the first record, which is taken for
/// the store of a fleet that never served.
#[test]
fn a_restored_store_without_a_record_is_no_first_start() -> Result {
    run(async |executor| {
        let site = site()?;
        let old = servers(&site, "v1", 1)?;
        let backup = site.store.copy();
        let boxes = start_first_boxes_in(&executor, &site, &HALLS).await?;
        wait_until("recorded", async || Ok(recorded(&site) == ["v1"])).await?;
        let begun = begin(&boxes[0], &old, &post("/c/x", "first")).await?;
        drop(boxes);
        site.store.go_back(&backup);
        let _new = replace(&site, &old)?;
        let boxes = start_first_boxes_in(&executor, &site, &HALLS).await?;
        let call = take_up("/c/x", "again", "first", &begun);
        ensure_not_joined(&begun, &boxes[0].call(&call).await?)
    })
}

/// Guards against streams that begin before the record exists: boxes that are killed then start
/// again with the settings of the first start.
#[test]
fn boxes_that_were_killed_before_the_first_record_do_not_start_for_the_first_time() -> Result {
    run(async |executor| {
        let site = site()?;
        let old = servers(&site, "v1", 1)?;
        let boxes = start_first_boxes_in(&executor, &site, &HALLS).await?;
        let begun = begin(&boxes[0], &old, &post("/c/x", "first")).await?;
        ensure!(recorded(&site).is_empty(), "the case did not arise");
        drop(boxes);
        let _new = replace(&site, &old)?;
        let boxes = start_first_boxes_in(&executor, &site, &HALLS).await?;
        // Until the store has shown that it has no record.
        Timer::after(ms(300)).await;
        let call = take_up("/c/x", "again", "first", &begun);
        ensure_not_joined(&begun, &boxes[0].call(&call).await?)
    })
}

/// Guards against a box that asks another one which knows a single release, though it knows
/// of two itself.
#[test]
fn a_box_that_knows_two_releases_believes_no_other_that_there_is_one() -> Result {
    run(async |executor| {
        let mut fleet = Fleet::start(&executor, false).await?;
        let (begun, new) = fleet.begin_at_new().await?;
        ensure!(!fleet.boxes[3].sends_to(&new)?, "the case did not arise");
        ensure!(fleet.boxes[1].sends_to(&new)?, "the case did not arise");
        drop(fleet.boxes.remove(2));
        drop(fleet.boxes.remove(0));
        let last = begun.ids().last().copied().unwrap_or_default();
        let call = post("/c/x", "again").with(names::LAST_EVENT, &last.to_string());
        ensure_not_joined(&begun, &fleet.boxes[0].call(&call).await?)
    })
}

/// Guards against a release that comes back after others have forgotten it, and counts as old.
#[test]
fn a_release_that_comes_back_gets_no_streams_at_once() -> Result {
    run_long(async |executor| {
        let fleet = Fleet::start(&executor, true).await?;
        let new = fleet.join(11)?;
        wait_until("known", async || Ok(fleet.boxes[0].sends_to(&new)?)).await?;
        fleet.old.iter().for_each(|server| {
            fleet.site.withdraw(server);
        });
        // Longer than a release is remembered.
        Timer::after(ms(31_000)).await;
        let sole = |at: usize| {
            let relay = fleet.boxes[at].router.relay();
            let service = crate::harness::SERVICE.parse();
            service.map(|it| relay.sole_origin(&it, tidepier_clock::Instant::now()))
        };
        ensure!(sole(0)?.is_some(), "the case did not arise");
        let before = deliveries(&fleet.old);
        fleet.old.iter().for_each(|server| {
            fleet.site.announce(server, State::Ready);
        });
        wait_until("joined", async || {
            Ok(fleet
                .old
                .iter()
                .all(|it| fleet.boxes[0].sends_to(it).unwrap_or_default()))
        })
        .await?;
        let start = std::time::Instant::now();
        let mut number = 0;
        while start.elapsed() < ms(1_500) {
            number += 1;
            let call = post("/c/x", &format!("first-{number}"));
            fleet.boxes[0].call(&call).await?;
            let used = deliveries(&fleet.old) > before;
            ensure!(!used, "used after {:?}", start.elapsed());
        }
        Ok(())
    })
}

/// Guards against unreadable entries of other services, after which nothing more is recorded.
#[test]
fn an_unreadable_record_of_another_service_hides_no_release() -> Result {
    run(async |executor| {
        let site = site()?;
        let other = |number: u32| format!("other-{number}");
        let kind = Kind::Stream { resumable: true };
        let routes = (1..=OTHERS).map(|it| Route::new(&format!("/o{it}/"), kind, &other(it)));
        site.declare(&routes.collect::<Vec<_>>());
        let others = (1..=OTHERS).map(|it| {
            site.server(server::Settings {
                service: other(it),
                ..settings(100 + it, "hall-1", "v1")
            })
        });
        let _others: Vec<Server> = others.collect::<std::io::Result<_>>()?;
        let old = servers(&site, "v1", 1)?;
        let mut boxes = start_first_boxes_in(&executor, &site, &["hall-1", "hall-1"]).await?;
        let count = || site.store.keys("tidepier/releases/").len();
        wait_until("recorded", async || Ok(count() == OTHERS as usize + 1)).await?;
        for number in 1..=OTHERS {
            let key = format!("tidepier/releases/{}", other(number));
            site.store.put_bytes(&key, b"[".to_vec());
        }
        // The other box becomes the hub.
        drop(boxes.remove(0));
        Timer::after(ms(6_000)).await;
        let new = servers(&site, "v2", 11)?;
        Timer::after(ms(5_000)).await;
        old.iter().for_each(|server| {
            site.withdraw(server);
        });
        wait_until("gone", async || {
            Ok(!old.iter().any(|server| boxes[0].knows(server)))
        })
        .await?;
        let begun = begin(&boxes[0], &new, &post("/c/x", "first")).await?;
        let names = recorded(&site);
        drop(boxes);
        for server in &new {
            site.withdraw(server);
            server.crash();
        }
        old.iter().for_each(|server| {
            site.announce(server, State::Ready);
        });
        let boxes = start_boxes_in(&executor, &site, &HALLS).await?;
        wait_until("known", async || {
            Ok(old.iter().all(|server| boxes[0].knows(server)))
        })
        .await?;
        let call = take_up("/c/x", "again", "first", &begun);
        let rest = boxes[0].call(&call).await?;
        ensure_not_joined(&begun, &rest)?;
        ensure!(names.contains(&"v2".into()), "recorded {names:?}");
        Ok(())
    })
}

/// Guards against keys that are accepted by a backup, as the boxes start again with the settings of
/// the first start.
#[test]
fn boxes_with_the_settings_of_the_first_start_accept_no_key_by_a_backup() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let halls = ["hall-1", "hall-1"];
        let boxes = start_first_boxes_in(&executor, &site, &halls).await?;
        wait_until("recorded", async || Ok(recorded(&site).len() == 1)).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        drop(boxes);
        site.store.go_back(&copy);
        let mut boxes = Vec::new();
        for (name, link) in [("box-0", 5_000), ("box-1", 4_000)] {
            boxes.push(TestBox::start_first(&executor, &site, name, "hall-1", link).await?);
        }
        let start = std::time::Instant::now();
        while start.elapsed() < REVOKE_TIME - ms(600) {
            for (number, at) in boxes.iter().enumerate() {
                let attempt = format!("{number}-{:?}", start.elapsed());
                let answer = at.call(&with_key("goes", &attempt)).await?;
                let ran = server.ran(&attempt);
                ensure!(ran == 0, "{attempt} ran: status {}", answer.status);
            }
            Timer::after(ms(50)).await;
        }
        Ok(())
    })
}
