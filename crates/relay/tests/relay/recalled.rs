//! What boxes learn after a start about the prompt parts that engines cache.

use std::time::{Duration, Instant};

use eyre::ensure;
use smol::Timer;
use tidepier_relay::fleet::Key;
use tidepier_relay::traffic::Progress;
use tidepier_relay_standin::server::Server;
use tidepier_relay_standin::site::Site;

use crate::box_harness::TestBox;
use crate::harness::{ms, run, wait_until, Executor, Result};
use crate::load::engines_site;
use crate::shared::{agreed, ask_about, engines, halls, holders};

/// Time within which everything that can be learned is learned.
const LEARN_TIME: Duration = Duration::from_millis(2_500);

/// Starts boxes, lets them learn what engines cache, and then kills and restarts all of
/// them.
async fn restarted(executor: &Executor, site: &Site) -> Result<(Vec<Vec<Key>>, Vec<TestBox>)> {
    let boxes = halls(executor, site).await?;
    for number in 0..12 {
        ask_about(&boxes[number as usize % 3], number).await?;
    }
    agreed(&boxes, 11).await?;
    let known = (0..12).map(|number| holders(&boxes[0], number)).collect();
    drop(boxes);
    Ok((known, halls(executor, site).await?))
}

async fn all_learned(boxes: &[TestBox]) -> Result {
    let start = Instant::now();
    wait_until("learned", async || {
        let progress = boxes.iter().map(|it| it.router.relay().traffic.progress());
        Ok(progress.into_iter().all(|it| it == Progress::Done))
    })
    .await?;
    ensure!(start.elapsed() < LEARN_TIME, "{:?}", start.elapsed());
    Ok(())
}

#[test]
fn boxes_that_all_restarted_learn_from_the_engines() -> Result {
    run(async |executor| {
        let site = engines_site()?;
        let engines = engines(&site)?;
        let list_counts =
            |engines: &[Server]| -> Vec<u64> { engines.iter().map(Server::probes).collect() };
        let (known, boxes) = restarted(&executor, &site).await?;
        all_learned(&boxes).await?;
        for test_box in &boxes {
            for (number, known) in known.iter().enumerate() {
                let holders = holders(test_box, number as u64);
                ensure!(
                    holders == *known,
                    "{}: {number}: {holders:?}",
                    test_box.name
                );
            }
        }
        // Each engine got a request from one box: at the first start, and now.
        let lists = list_counts(&engines);
        ensure!(lists.iter().all(|count| *count <= 2), "{lists:?}");
        // A box that starts now asks the other boxes.
        let _fresh = TestBox::start(&executor, &site, "box-9", "hall-2", 100).await?;
        Timer::after(ms(700)).await;
        ensure!(
            list_counts(&engines) == lists,
            "{:?}",
            list_counts(&engines)
        );
        Ok(())
    })
}

#[test]
fn a_malformed_or_oversized_list_delays_nothing() -> Result {
    run(async |executor| {
        let site = engines_site()?;
        let engines = engines(&site)?;
        let many: Vec<String> = (0..20_000)
            .map(|id| format!("[\"\",\"{id:x}\",{},\"m\"]", 4_000_000_000_u32))
            .collect();
        let endless = format!("{{\"held\":[{}]}}", many.join(","));
        engines[0].tell_kept(b"no list");
        engines[1].tell_kept(endless.as_bytes());
        engines[2].tell_kept(b"{\"held\":[[\"\",\"zz\",1,\"m\"]]}");
        let boxes = halls(&executor, &site).await?;
        all_learned(&boxes).await?;
        for test_box in &boxes {
            let index = &test_box.router.relay().traffic.index;
            ensure!(index.len() <= 8_192, "{} parts", index.len());
            ask_about(test_box, 1).await?;
        }
        Ok(())
    })
}

#[test]
fn an_unresponsive_engine_does_not_delay_the_lists_of_others() -> Result {
    run(async |executor| {
        let site = engines_site()?;
        let engines = engines(&site)?;
        let boxes = halls(&executor, &site).await?;
        ask_about(&boxes[0], 1).await?;
        agreed(&boxes, 1).await?;
        let holder = holders(&boxes[0], 1);
        drop(boxes);
        let unresponsive = engines.iter().find(|engine| {
            let id = engine.settings().id.parse();
            id.is_ok_and(|id| holder != [Key::new(&id)])
        });
        if let Some(unresponsive) = unresponsive {
            unresponsive.dark(true);
        }
        let boxes = halls(&executor, &site).await?;
        all_learned(&boxes).await?;
        let learned = holders(&boxes[0], 1);
        ensure!(learned == holder, "{learned:?}");
        Ok(())
    })
}

/// A server also advertises that it is leaving in the list of its cached parts.
#[test]
fn an_engine_that_is_leaving_by_its_list_gets_nothing() -> Result {
    run(async |executor| {
        let site = engines_site()?;
        let engines = engines(&site)?;
        for engine in &engines {
            engine.leave(true);
        }
        let boxes = halls(&executor, &site).await?;
        all_learned(&boxes).await?;
        let ineligible = boxes.iter().map(|it| {
            let now = tidepier_clock::Instant::now();
            it.router.relay().fleet.count_ineligible(now).0
        });
        let ineligible: usize = ineligible.sum();
        // The hub of each hall asks the engines of its own hall.
        ensure!(
            ineligible == engines.len(),
            "{ineligible} of {}",
            engines.len()
        );
        Ok(())
    })
}
