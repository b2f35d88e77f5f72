//! What a return of the store to an older copy costs the store and the callers.
//!
//! Pattern: all boxes of a hall lose sight of the store for so long that each begins to
//! read it itself; it comes back from a copy, so that no watch can go on, and all servers
//! would have to be listed anew.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eyre::ensure;
use serde_json::json;
use smol::Timer;
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::Down;

use crate::box_harness::{site_with_keys, TestBox, APPLY_TIME};
use crate::harness::{ms, run, server_settings, wait_until, Executor, Result, SERVICE};

/// Servers that are announced, beside one that is there.
const SERVERS: u32 = 200;
/// How long the store is away: longer than boxes wait for the one that reads it.
const AWAY_TIME: Duration = Duration::from_millis(2_000);
/// Boxes of a hall that may list all servers at a return: the first ones, and some that
/// do not hear of them in time.
const LISTS_MAX: f64 = 6.0;

/// Longest wait for boxes that start.
const START_TIME: Duration = Duration::from_secs(25);

/// What one return cost.
#[derive(Debug)]
struct Cost {
    /// Of the store, by name.
    calls: BTreeMap<String, u64>,
    /// Of the store's answers, in lists of all servers.
    lists: f64,
    /// Until the last box could prove what is in force.
    settled: Duration,
}

fn announce(site: &Site, count: u32) {
    for number in 0..count {
        let entry = json!({
            "service": SERVICE, "address": format!("127.9.{}.{}:4000", number / 250, number % 250),
            "zone": "hall-9", "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1,
        });
        site.store.put_server(&format!("x-{number}"), &entry);
    }
}

async fn play(executor: &Executor, boxes: u32, halls: u32, servers: u32) -> Result<Cost> {
    let site = site_with_keys()?;
    let _server = site.server(server_settings(1))?;
    announce(&site, servers);
    let mut machines = Vec::new();
    for number in 0..boxes {
        let (name, hall) = (format!("box-{number}"), format!("hall-{}", number % halls));
        machines.push(TestBox::start(executor, &site, &name, &hall, 1_000).await?);
    }
    let start = Instant::now();
    while !machines.iter().all(TestBox::is_ready) {
        ensure!(start.elapsed() < START_TIME, "never ready");
        Timer::after(ms(20)).await;
    }
    Timer::after(ms(1_500)).await;
    let copy = site.store.copy();
    site.account("tenant-2", &["new"], 1);
    Timer::after(ms(600)).await;
    site.store.faults(|faults| faults.down = Some(Down::Reset));
    site.store.cut_watches();
    Timer::after(AWAY_TIME).await;
    site.store.go_back(&copy);
    let (calls, sent) = (site.store.all_calls(), site.store.sent());
    site.store.faults(|faults| faults.down = None);
    let back = Instant::now();
    site.account("tenant-2", &["new"], 1);
    let recent = |machine: &TestBox| {
        let proven = machine.proven();
        proven.is_some_and(|at| at.elapsed() < back.elapsed())
    };
    wait_until("settled", async || Ok(machines.iter().all(recent))).await?;
    let settled = back.elapsed();
    Timer::after(ms(1_500)).await;
    let made = site.store.all_calls().into_iter().map(|(name, count)| {
        let before = calls.get(&name).copied().unwrap_or(0);
        (name, count - before)
    });
    // An entry with its frame takes some 300 bytes.
    let lists = (site.store.sent() - sent) as f64 / f64::from(servers * 300);
    Ok(Cost {
        calls: made.collect(),
        lists,
        settled,
    })
}

/// Guards against each box of a hall listing all servers when the store is back.
#[test]
fn a_return_costs_no_list_of_servers_for_each_box() -> Result {
    run(async |executor| {
        for boxes in [6, 12, 24] {
            let cost = play(&executor, boxes, 1, SERVERS).await?;
            let watches = cost.calls.get("kv-watch").copied().unwrap_or(0);
            ensure!(cost.lists < LISTS_MAX, "{boxes} boxes: {cost:?}");
            ensure!(cost.settled < APPLY_TIME, "{boxes} boxes: {cost:?}");
            // Two for each that reads in the end, and one for each that began to.
            ensure!(watches < u64::from(2 * boxes), "{boxes} boxes: {cost:?}");
        }
        Ok(())
    })
}

/// The same at a size of one's own, by hand: `BOXES`, `HALLS` and `SERVERS` are numbers.
#[test]
#[ignore = "takes as many boxes as are asked for"]
fn a_return_of_many_boxes_is_measured() -> Result {
    let number = |name: &str| -> Result<u32> { Ok(std::env::var(name)?.parse()?) };
    let (boxes, halls, servers) = (number("BOXES")?, number("HALLS")?, number("SERVERS")?);
    run(async |executor| {
        let cost = play(&executor, boxes, halls, servers).await?;
        println!("{boxes} boxes, {halls} halls, {servers} servers: {cost:?}");
        Ok(())
    })
}
