//! What clients get that take their streams up after all boxes have started anew.

use eyre::ensure;
use serde_json::{json, Value};
use smol::Timer;
use tidepier_relay_standin::client::Answer;
use tidepier_relay_standin::server::Server;
use tidepier_relay_standin::site::Site;

use crate::box_harness::{start_boxes_in, start_first_boxes_in, TestBox};
use crate::harness::{ms, post, run, wait_until, Executor, Result};
use crate::stream_releases::{
    begin, deliveries, ensure_one_stream, known, settings, site, take_up,
};

/// The entry of the service in the record of releases.
const ENTRY: &str = "tidepier/releases/service-1";
/// The halls of the boxes.
const HALLS: [&str; 3] = ["hall-1", "hall-1", "hall-2"];

/// Two servers of a release.
pub(crate) fn servers(site: &Site, release: &str, first: u32) -> Result<Vec<Server>> {
    let numbers = first..first + 2;
    let servers = numbers.map(|number| site.server(settings(number, "hall-1", release)));
    Ok(servers.collect::<std::io::Result<_>>()?)
}

/// The names that the store's record has of the service; none without an entry.
pub(crate) fn recorded(site: &Site) -> Vec<String> {
    let entry = site.store.value(ENTRY);
    let entry: Option<Value> = entry.and_then(|bytes| serde_json::from_slice(&bytes).ok());
    let names = entry.and_then(|entry| entry["releases"].as_array().cloned());
    let names = names.unwrap_or_default();
    names
        .iter()
        .filter_map(|it| it.as_str().map(str::to_owned))
        .collect()
}

/// A fleet that started for the first time, whose record has the release that serves.
async fn start_fleet(executor: &Executor) -> Result<(Site, Vec<Server>, Vec<TestBox>)> {
    let site = site()?;
    let old = servers(&site, "v1", 1)?;
    let boxes = start_first_boxes_in(executor, &site, &HALLS).await?;
    wait_until("recorded", async || Ok(recorded(&site) == ["v1"])).await?;
    Ok((site, old, boxes))
}

/// A stream of `v1` that broke off as all boxes were killed; `v2` serves in its place.
struct Killed {
    site: Site,
    begun: Answer,
    new: Vec<Server>,
}

impl Killed {
    async fn all_boxes(executor: &Executor) -> Result<Self> {
        let (site, old, boxes) = start_fleet(executor).await?;
        let begun = begin(&boxes[0], &old, &post("/c/x", "first")).await?;
        drop(boxes);
        let new = replace(&site, &old)?;
        Ok(Self { site, begun, new })
    }

    /// Checks that the stream does not go on at any of these boxes.
    async fn ensure_refused(&self, boxes: &[TestBox]) -> Result {
        for (number, at) in boxes.iter().enumerate() {
            let attempt = format!("again-{number}");
            let call = take_up("/c/x", &attempt, "first", &self.begun);
            let answer = at.call(&call).await?;
            ensure!(answer.status == 503, "{attempt}: {answer:?}");
        }
        ensure!(deliveries(&self.new) == 0, "something was sent");
        Ok(())
    }
}

/// Servers of `v2` in place of the old ones.
pub(crate) fn replace(site: &Site, old: &[Server]) -> Result<Vec<Server>> {
    for server in old {
        site.withdraw(server);
        server.crash();
    }
    servers(site, "v2", 11)
}

/// Guards against a missing record that is taken for a service without other releases.
#[test]
fn a_stream_is_refused_if_the_record_of_its_service_is_missing() -> Result {
    run(async |executor| {
        let killed = Killed::all_boxes(&executor).await?;
        killed.site.store.remove(ENTRY);
        let boxes = start_boxes_in(&executor, &killed.site, &HALLS).await?;
        killed.ensure_refused(&boxes).await?;
        // What the boxes record from now on says nothing of the time before.
        wait_until("recorded", async || Ok(recorded(&killed.site) == ["v2"])).await?;
        Timer::after(ms(1_200)).await;
        killed.ensure_refused(&boxes).await
    })
}

/// Guards against boxes that start again with the settings of the first start, and believe that
/// nothing served before them.
#[test]
fn a_stream_is_refused_after_a_restart_with_the_settings_of_the_first_start() -> Result {
    run(async |executor| {
        let killed = Killed::all_boxes(&executor).await?;
        let boxes = start_first_boxes_in(&executor, &killed.site, &HALLS).await?;
        killed.ensure_refused(&boxes).await?;
        wait_until("recorded", async || {
            Ok(recorded(&killed.site).contains(&"v2".into()))
        })
        .await?;
        Timer::after(ms(2_500)).await;
        ensure!(
            recorded(&killed.site) == ["v1", "v2"],
            "{:?}",
            recorded(&killed.site)
        );
        killed.ensure_refused(&boxes).await?;
        drop(boxes);
        let boxes = start_boxes_in(&executor, &killed.site, &HALLS).await?;
        killed.ensure_refused(&boxes).await
    })
}

/// Guards against one box that starts again with the settings of the first start while the
/// others live on.
#[test]
fn a_box_that_restarts_alone_with_the_settings_of_the_first_start_asks_the_others() -> Result {
    run(async |executor| {
        let (site, old, mut boxes) = start_fleet(&executor).await?;
        let begun = begin(&boxes[0], &old, &post("/c/x", "first")).await?;
        let new = replace(&site, &old)?;
        wait_until("known", async || {
            Ok(boxes
                .iter()
                .all(|it| new.iter().all(|server| it.knows(server))))
        })
        .await?;
        drop(boxes.pop());
        let started = start_first_boxes_in(&executor, &site, &["hall-2"]).await?;
        let call = take_up("/c/x", "again", "first", &begun);
        let answer = started[0].call(&call).await?;
        ensure!(answer.status == 503, "{answer:?}");
        ensure!(deliveries(&new) == 0, "something was sent");
        Ok(())
    })
}

/// Guards against a record from a backup of the store, which lacks the release of the stream.
#[test]
fn a_stream_is_refused_if_the_record_is_from_a_backup() -> Result {
    run(async |executor| {
        let (site, old, boxes) = start_fleet(&executor).await?;
        let backup = site.store.copy();
        let new = replace(&site, &old)?;
        wait_until("recorded", async || {
            Ok(recorded(&site).contains(&"v2".into()))
        })
        .await?;
        let begun = async {
            loop {
                let attempt = begin(&boxes[0], &new, &post("/c/x", "first")).await;
                if attempt.is_ok() {
                    return attempt;
                }
                Timer::after(ms(200)).await;
            }
        };
        let begun = begun.await?;
        drop(boxes);
        new.iter().for_each(Server::crash);
        site.store.go_back(&backup);
        old.iter().for_each(|server| {
            site.withdraw(server);
        });
        let again = servers(&site, "v1", 21)?;
        let boxes = start_boxes_in(&executor, &site, &HALLS).await?;
        wait_until("known", async || {
            Ok(boxes
                .iter()
                .all(|it| again.iter().all(|server| it.knows(server))))
        })
        .await?;
        for (number, at) in boxes.iter().enumerate() {
            let call = take_up("/c/x", &format!("again-{number}"), "first", &begun);
            let answer = at.call(&call).await?;
            ensure!(answer.status == 503, "{answer:?}");
        }
        ensure!(deliveries(&again) == 0, "something was sent");
        Ok(())
    })
}

/// Guards against a store that does not answer and is taken for one without a record.
#[test]
fn a_stream_is_refused_while_the_store_does_not_answer() -> Result {
    for first in [false, true] {
        run(async |executor| {
            let killed = Killed::all_boxes(&executor).await?;
            let boxes = match first {
                true => start_first_boxes_in(&executor, &killed.site, &HALLS).await?,
                false => start_boxes_in(&executor, &killed.site, &HALLS).await?,
            };
            killed.site.store.faults(|faults| faults.mute = true);
            killed.ensure_refused(&boxes).await
        })?;
    }
    Ok(())
}

/// Guards against refusals after all boxes were killed while one release served all the time.
#[test]
fn a_stream_goes_on_after_all_boxes_started_anew_if_its_release_was_the_only_one() -> Result {
    for first in [false, true] {
        run(async |executor| {
            let (site, old, boxes) = start_fleet(&executor).await?;
            let begun = begin(&boxes[0], &old, &post("/c/x", "first")).await?;
            drop(boxes);
            let boxes = match first {
                true => start_first_boxes_in(&executor, &site, &HALLS).await?,
                false => start_boxes_in(&executor, &site, &HALLS).await?,
            };
            for (number, at) in boxes.iter().enumerate() {
                let call = take_up("/c/x", &format!("again-{number}"), "first", &begun);
                ensure_one_stream(&[&begun, &at.call(&call).await?])?;
            }
            Ok(())
        })?;
    }
    Ok(())
}

/// Guards against messages and refusals in a fleet that does start for the first time.
#[test]
fn a_fleet_that_starts_for_the_first_time_tells_nobody_of_its_streams() -> Result {
    run(async |executor| {
        let (_site, old, boxes) = start_fleet(&executor).await?;
        for number in 0..6 {
            let first = format!("first-{number}");
            let begun = begin(&boxes[0], &old, &post("/c/x", &first)).await?;
            let call = take_up("/c/x", &format!("again-{number}"), "never", &begun);
            ensure_one_stream(&[&begun, &boxes[1].call(&call).await?])?;
        }
        Timer::after(ms(600)).await;
        let known: Vec<usize> = boxes.iter().map(known).collect();
        ensure!(known == [6, 6, 0], "{known:?}");
        Ok(())
    })
}

/// Guards against a record of a former version of the boxes, which counts as complete though
/// it does not say so.
#[test]
fn a_record_that_does_not_say_that_it_is_complete_permits_nothing() -> Result {
    run(async |executor| {
        let killed = Killed::all_boxes(&executor).await?;
        killed.site.store.put(ENTRY, &json!({"releases": ["v2"]}));
        let boxes = start_boxes_in(&executor, &killed.site, &HALLS).await?;
        killed.ensure_refused(&boxes).await
    })
}

/// Begins a stream at each box.
async fn begin_streams(boxes: &[TestBox], number: usize) -> Result {
    for (at, it) in boxes.iter().enumerate() {
        it.call(&post("/c/x", &format!("first-{number}-{at}")))
            .await?;
    }
    Ok(())
}

/// Guards against streams at a release that is not in the record, which a restart would not know of.
#[test]
fn a_release_that_is_not_recorded_gets_no_streams_while_another_serves() -> Result {
    run(async |executor| {
        let (site, old, boxes) = start_fleet(&executor).await?;
        let value_bytes = |bytes| site.store.faults(|faults| faults.value_bytes = bytes);
        value_bytes(1);
        let new = servers(&site, "v2", 11)?;
        // Longer than all boxes need to learn of the release.
        Timer::after(ms(3_500)).await;
        for number in 0..10 {
            begin_streams(&boxes, number).await?;
        }
        ensure!(recorded(&site) == ["v1"], "{:?}", recorded(&site));
        ensure!(deliveries(&new) == 0, "{} streams", deliveries(&new));
        value_bytes(1 << 20);
        wait_until("recorded", async || Ok(recorded(&site) == ["v1", "v2"])).await?;
        let mut number = 10;
        wait_until("used", async || {
            number += 1;
            begin_streams(&boxes, number).await?;
            Ok(deliveries(&new) > 0)
        })
        .await?;
        // A release that is not recorded is better than none.
        value_bytes(1);
        let newer = servers(&site, "v3", 21)?;
        for server in old.iter().chain(&new) {
            site.withdraw(server);
        }
        wait_until("used", async || {
            number += 1;
            begin_streams(&boxes, number).await?;
            Ok(deliveries(&newer) > 0)
        })
        .await
    })
}
