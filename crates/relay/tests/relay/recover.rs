//! All boxes crash at the same moment and start again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::ensure;
use smol::Timer;
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::Down;
use tidepier_relay_standin::{Client, Server};

use crate::box_harness::{
    self, address, ensure_served, site_with_keys, with_key, Process, TestBox,
};
use crate::harness::{ensure_not_executed, ms, run, server_settings, wait_until, Executor, Result};

/// The bound on the time from the restart of the boxes until they serve requests.
const RECOVERY_TIME_MAX: Duration = Duration::from_secs(12);
/// How long the store stays unreachable after the restart of the boxes.
const OUTAGE_TIME: Duration = Duration::from_millis(1_500);
/// Boxes, in two halls.
const BOXES: [(&str, &str, u32); 4] = [
    ("box-0", "hall-1", 1_000),
    ("box-1", "hall-1", 900),
    ("box-2", "hall-2", 800),
    ("box-3", "hall-2", 700),
];

fn start(site: &Site, peers: &[SocketAddr]) -> Result<Vec<Process>> {
    let boxes = BOXES.iter().zip(peers);
    boxes
        .map(|((name, hall, link), peer)| {
            Process::start(box_harness::settings(site, name, hall, *link, *peer), *peer)
        })
        .collect()
}

/// Waits until every box serves a request with an API key.
async fn wait_until_all_serve(boxes: &[Process]) -> Result {
    for process in boxes {
        wait_until("served", async || Ok(process.serves().await)).await?;
    }
    Ok(())
}

/// Kills all boxes at once; their processes have exited when this returns.
fn kill_all(mut boxes: Vec<Process>) -> Result {
    boxes.iter_mut().try_for_each(Process::kill)
}

/// A site with a server and boxes that all serve requests.
async fn start_serving() -> Result<(Site, Server, Vec<SocketAddr>, Vec<Process>)> {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let peers: Vec<SocketAddr> = BOXES.iter().map(|_| address()).collect();
    let boxes = start(&site, &peers)?;
    wait_until_all_serve(&boxes).await?;
    Ok((site, server, peers, boxes))
}

#[test]
fn all_boxes_serve_again_after_all_were_killed() -> Result {
    run(async |_| {
        let (site, _server, peers, mut boxes) = start_serving().await?;
        for _ in 0..2 {
            kill_all(boxes)?;
            boxes = start(&site, &peers)?;
            let back = Instant::now();
            wait_until_all_serve(&boxes).await?;
            ensure!(back.elapsed() < RECOVERY_TIME_MAX, "{:?}", back.elapsed());
        }
        Ok(())
    })
}

#[test]
fn all_boxes_serve_again_after_they_were_killed_during_a_store_outage() -> Result {
    run(async |_| {
        let (site, _server, peers, mut boxes) = start_serving().await?;
        site.store.faults(|faults| faults.down = Some(Down::Silent));
        kill_all(boxes)?;
        boxes = start(&site, &peers)?;
        let back = Instant::now();
        ensure_refused(&boxes).await?;
        Timer::at(back + OUTAGE_TIME).await;
        site.store.faults(|faults| faults.down = None);
        wait_until_all_serve(&boxes).await?;
        ensure!(back.elapsed() < RECOVERY_TIME_MAX, "{:?}", back.elapsed());
        Ok(())
    })
}

/// Checks that boxes without a catalog refuse a request as not executed.
async fn ensure_refused(boxes: &[Process]) -> Result {
    for process in boxes {
        let call = with_key("stays", "early").leaving(ms(900));
        wait_until("listening", async || {
            Ok(Client::once(process.front(), &call).await.is_ok())
        })
        .await?;
        ensure_not_executed(&Client::once(process.front(), &call).await?)?;
    }
    Ok(())
}

async fn start_test_boxes(executor: &Executor, site: &Site) -> Result<Vec<TestBox>> {
    let mut test_boxes = Vec::new();
    for (name, hall, link) in BOXES {
        test_boxes.push(TestBox::start(executor, site, name, hall, link).await?);
    }
    Ok(test_boxes)
}

#[test]
fn boxes_at_new_addresses_serve_after_all_old_ones_are_gone() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let first = start_test_boxes(&executor, &site).await?;
        box_harness::wait_until_ready(&first).await?;
        ensure_served(&first, &[&server], ms(100)).await?;
        // Their entries stay in the store, but nothing listens at their addresses.
        drop(first);
        let next = start_test_boxes(&executor, &site).await?;
        let back = Instant::now();
        box_harness::wait_until_ready(&next).await?;
        ensure!(back.elapsed() < RECOVERY_TIME_MAX, "{:?}", back.elapsed());
        ensure_served(&next, &[&server], ms(300)).await
    })
}
