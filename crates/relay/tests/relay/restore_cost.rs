//! What a restore of the store costs the store and the clients.
//!
//! Pattern: all boxes of a hall lose contact with the store for so long that each
//! begins to read it itself. The store is restored from an older backup, so that no
//! watch can continue, and all servers would have to be listed anew.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eyre::ensure;
use serde_json::json;
use smol::Timer;
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::Down;

use crate::box_harness::{site_with_keys, TestBox, APPLY_TIME};
use crate::harness::{ms, run, server_settings, wait_until, Executor, Result, SERVICE};

/// Number of servers that are only advertised, beside one that runs.
const SERVERS: u32 = 200;
/// How long the store is away: longer than boxes wait for their reader.
const AWAY_TIME: Duration = Duration::from_millis(2_000);
/// Boxes of a hall that may list all servers after a restore: the first ones, and some
/// that do not learn of these in time.
const LISTS_MAX: f64 = 6.0;

/// Longest time for boxes to start.
const START_TIME: Duration = Duration::from_secs(25);

/// The cost of one restore.
#[derive(Debug)]
struct Cost {
    /// Calls to the store, by name.
    calls: BTreeMap<String, u64>,
    /// Size of the store's answers, in lists of all servers.
    lists: f64,
    /// Time until the last box confirmed its view as current.
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

async fn measure_restore(
    executor: &Executor,
    boxes: u32,
    halls: u32,
    servers: u32,
) -> Result<Cost> {
    let site = site_with_keys()?;
    let _server = site.server(server_settings(1))?;
    announce(&site, servers);
    let mut test_boxes = Vec::new();
    for number in 0..boxes {
        let (name, hall) = (format!("box-{number}"), format!("hall-{}", number % halls));
        test_boxes.push(TestBox::start(executor, &site, &name, &hall, 1_000).await?);
    }
    let start = Instant::now();
    while !test_boxes.iter().all(TestBox::is_ready) {
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
    let recent = |test_box: &TestBox| {
        let confirmed_at = test_box.confirmed_at();
        confirmed_at.is_some_and(|at| at.elapsed() < back.elapsed())
    };
    wait_until("settled", async || Ok(test_boxes.iter().all(recent))).await?;
    let settled = back.elapsed();
    Timer::after(ms(1_500)).await;
    let made = site.store.all_calls().into_iter().map(|(name, count)| {
        let before = calls.get(&name).copied().unwrap_or(0);
        (name, count - before)
    });
    // An entry with its framing takes about 300 bytes.
    let lists = (site.store.sent() - sent) as f64 / f64::from(servers * 300);
    Ok(Cost {
        calls: made.collect(),
        lists,
        settled,
    })
}

/// Guards against each box of a hall listing all servers when the store is back.
#[test]
fn a_restore_does_not_make_each_box_list_all_servers() -> Result {
    run(async |executor| {
        for boxes in [6, 12, 24] {
            let cost = measure_restore(&executor, boxes, 1, SERVERS).await?;
            let watches = cost.calls.get("kv-watch").copied().unwrap_or(0);
            ensure!(cost.lists < LISTS_MAX, "{boxes} boxes: {cost:?}");
            ensure!(cost.settled < APPLY_TIME, "{boxes} boxes: {cost:?}");
            // Two for each box that is a reader in the end, and one for each that
            // became one meanwhile.
            ensure!(watches < u64::from(2 * boxes), "{boxes} boxes: {cost:?}");
        }
        Ok(())
    })
}

/// The same at other sizes, to be run by hand: `BOXES`, `HALLS` and `SERVERS` are
/// numbers.
#[test]
#[ignore = "takes as many boxes as are asked for"]
fn a_restore_with_many_boxes_is_measured() -> Result {
    let number = |name: &str| -> Result<u32> { Ok(std::env::var(name)?.parse()?) };
    let (boxes, halls, servers) = (number("BOXES")?, number("HALLS")?, number("SERVERS")?);
    run(async |executor| {
        let cost = measure_restore(&executor, boxes, halls, servers).await?;
        println!("{boxes} boxes, {halls} halls, {servers} servers: {cost:?}");
        Ok(())
    })
}
