//! All boxes end at the same moment, without a word, and start again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::ensure;
use smol::Timer;
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::Down;
use tidepier_relay_standin::{Client, Server};

use crate::box_harness::{self, address, served, site_with_keys, with_key, Process, TestBox};
use crate::harness::{ensure_not_executed, ms, run, server_settings, wait_until, Executor, Result};

/// The bound: so long after the boxes are back, requests are served again.
const RECOVER_TIME: Duration = Duration::from_secs(12);
/// How long the store stays away after the boxes are back.
const AWAY_TIME: Duration = Duration::from_millis(1_500);
/// Boxes, in two halls.
const BOXES: [(&str, &str, u32); 4] = [
    ("box-0", "hall-1", 1_000),
    ("box-1", "hall-1", 900),
    ("box-2", "hall-2", 800),
    ("box-3", "hall-2", 700),
];

fn started(site: &Site, peers: &[SocketAddr]) -> Result<Vec<Process>> {
    let boxes = BOXES.iter().zip(peers);
    boxes
        .map(|((name, hall, link), peer)| {
            Process::start(box_harness::settings(site, name, hall, *link, *peer), *peer)
        })
        .collect()
}

/// Waits until every box serves a request with a key.
async fn all_serve(boxes: &[Process]) -> Result {
    for process in boxes {
        wait_until("served", async || Ok(process.serves().await)).await?;
    }
    Ok(())
}

/// Ends all at once; afterwards nothing of them is left.
fn kill_all(mut boxes: Vec<Process>) -> Result {
    boxes.iter_mut().try_for_each(Process::kill)
}

/// A site with a server, and its boxes, which all serve.
async fn serving() -> Result<(Site, Server, Vec<SocketAddr>, Vec<Process>)> {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let peers: Vec<SocketAddr> = BOXES.iter().map(|_| address()).collect();
    let boxes = started(&site, &peers)?;
    all_serve(&boxes).await?;
    Ok((site, server, peers, boxes))
}

#[test]
fn all_boxes_serve_again_after_all_were_killed() -> Result {
    run(async |_| {
        let (site, _server, peers, mut boxes) = serving().await?;
        for _ in 0..2 {
            kill_all(boxes)?;
            boxes = started(&site, &peers)?;
            let back = Instant::now();
            all_serve(&boxes).await?;
            ensure!(back.elapsed() < RECOVER_TIME, "{:?}", back.elapsed());
        }
        Ok(())
    })
}

#[test]
fn all_boxes_serve_again_after_they_were_killed_while_the_store_was_away() -> Result {
    run(async |_| {
        let (site, _server, peers, mut boxes) = serving().await?;
        site.store.faults(|faults| faults.down = Some(Down::Silent));
        kill_all(boxes)?;
        boxes = started(&site, &peers)?;
        let back = Instant::now();
        refused_by(&boxes).await?;
        Timer::at(back + AWAY_TIME).await;
        site.store.faults(|faults| faults.down = None);
        all_serve(&boxes).await?;
        ensure!(back.elapsed() < RECOVER_TIME, "{:?}", back.elapsed());
        Ok(())
    })
}

/// Checks that boxes that know nothing promise that a request has not run.
async fn refused_by(boxes: &[Process]) -> Result {
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

async fn machines(executor: &Executor, site: &Site) -> Result<Vec<TestBox>> {
    let mut machines = Vec::new();
    for (name, hall, link) in BOXES {
        machines.push(TestBox::start(executor, site, name, hall, link).await?);
    }
    Ok(machines)
}

#[test]
fn boxes_at_other_addresses_serve_after_all_went() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let first = machines(&executor, &site).await?;
        box_harness::ready(&first).await?;
        served(&first, &[&server], ms(100)).await?;
        // Their entries in the store outlive them, and lead nowhere.
        drop(first);
        let next = machines(&executor, &site).await?;
        let back = Instant::now();
        box_harness::ready(&next).await?;
        ensure!(back.elapsed() < RECOVER_TIME, "{:?}", back.elapsed());
        served(&next, &[&server], ms(300)).await
    })
}
