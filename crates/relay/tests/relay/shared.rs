//! What boxes tell each other of the requests that they place, over all halls.

use std::time::Duration;

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::request::Part;
use tidepier_h1::Conn;
use tidepier_relay::fleet::{Count, Key};
use tidepier_relay::message::{link, recall, traffic, PeerRequest, VERSION};
use tidepier_relay::traffic::log::{Placement, Position};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Server, Settings};
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::Client;

use crate::box_harness::{self, site_with_keys, TestBox};
use crate::choice_harness::id;
use crate::harness::{ms, post, run, stream_server_settings, wait_until, Executor, Result};
use crate::impostors::closed;

/// Time in which what one box placed is known to all: three questions of 0.4 s,
/// and as much again on a machine that has other work.
const TOLD_TIME: Duration = Duration::from_millis(2_400);
/// Tokens of the part that a subject's prompts share.
const SHARED: u32 = 3_000;

fn subject(number: u64) -> Part {
    Part {
        id: 0xa000 + number,
        tokens: SHARED,
    }
}

/// Sends a box a request about a subject.
pub(crate) async fn ask_about(machine: &TestBox, number: u64) -> Result {
    let prompt = format!("{:x}:{SHARED},c{number:x}:80", subject(number).id);
    let call = post("/u/x", &format!("{}-{number}", machine.name));
    let answer = machine.call(&call.with(names::PROMPT, &prompt)).await?;
    ensure!(answer.status == 200, "{}", answer.status);
    Ok(())
}

/// Servers that a box believes to keep a subject.
pub(crate) fn holders(machine: &TestBox, number: u64) -> Vec<Key> {
    let index = &machine.router.relay().traffic.index;
    index.holders(&subject(number), Instant::now())
}

/// Requests of other boxes that a box counts at a server.
fn counted(machine: &TestBox, server: &Server) -> Result<u32> {
    let id = server.settings().id.parse()?;
    let backend = machine.router.relay().fleet.get(&id);
    let backend = backend.ok_or_else(|| eyre!("{id} is not known"))?;
    let counted = backend.total_in_flight(Duration::from_secs(2), Instant::now());
    Ok(counted.unwrap_or(0).saturating_sub(backend.in_flight()))
}

/// Two boxes in the first hall and one in the second, all ready.
pub(crate) async fn halls(executor: &Executor, site: &Site) -> Result<Vec<TestBox>> {
    let mut machines = Vec::new();
    for (name, hall, link) in [
        ("box-0", "hall-1", 5_000),
        ("box-1", "hall-1", 4_000),
        ("box-2", "hall-2", 5_000),
    ] {
        machines.push(TestBox::start(executor, site, name, hall, link).await?);
    }
    box_harness::ready(&machines).await?;
    Ok(machines)
}

pub(crate) fn engines(site: &Site) -> Result<Vec<Server>> {
    let engine = |number: u32| Settings {
        hall: format!("hall-{}", number % 2 + 1),
        ..stream_server_settings(number, 3, ms(10))
    };
    let servers: std::io::Result<_> = (1..=4).map(|n| site.server(engine(n))).collect();
    Ok(servers?)
}

/// Waits until all boxes believe the same server to keep a subject.
pub(crate) async fn agreed(machines: &[TestBox], number: u64) -> Result {
    let start = Instant::now();
    loop {
        let known: Vec<Vec<Key>> = machines.iter().map(|it| holders(it, number)).collect();
        let same = known.iter().all(|it| !it.is_empty() && *it == known[0]);
        if same {
            return Ok(());
        }
        ensure!(start.elapsed() < TOLD_TIME, "subject {number}: {known:?}");
        Timer::after(ms(20)).await;
    }
}

/// Boxes that have told each other of a placement, before some engines.
async fn acquainted(executor: &Executor) -> Result<(Site, Vec<Server>, Vec<TestBox>)> {
    let site = site_with_keys()?;
    let engines = engines(&site)?;
    let machines = halls(executor, &site).await?;
    ask_about(&machines[1], 100).await?;
    agreed(&machines, 100).await?;
    Ok((site, engines, machines))
}

#[test]
fn all_boxes_learn_where_a_prompt_was_sent() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let _engines = engines(&site)?;
        let machines = halls(&executor, &site).await?;
        // Boxes that have just started find their hubs first.
        ask_about(&machines[0], 100).await?;
        wait_until("told", async || {
            Ok(machines.iter().all(|it| !holders(it, 100).is_empty()))
        })
        .await?;
        for (number, machine) in machines.iter().enumerate() {
            ask_about(machine, number as u64).await?;
            agreed(&machines, number as u64).await?;
        }
        Ok(())
    })
}

#[test]
fn boxes_go_on_telling_each_other_while_the_store_is_down() -> Result {
    run(async |executor| {
        let (_site, _engines, machines) = acquainted(&executor).await?;
        for machine in &machines {
            machine.store.silence();
        }
        Timer::after(ms(2_500)).await;
        for (number, machine) in machines.iter().enumerate() {
            ask_about(machine, number as u64).await?;
            agreed(&machines, number as u64).await?;
        }
        Ok(())
    })
}

#[test]
fn another_box_takes_the_place_of_a_hub_that_hangs() -> Result {
    run(async |executor| {
        let (_site, _engines, machines) = acquainted(&executor).await?;
        machines[0].freeze(true);
        let awake = &machines[1..];
        // Both of the others give the hub up first.
        let mut number = 0;
        wait_until("told", async || {
            number += 1;
            ask_about(&awake[0], number).await?;
            let start = Instant::now();
            while start.elapsed() < ms(500) && holders(&awake[1], number).is_empty() {
                Timer::after(ms(20)).await;
            }
            Ok(!holders(&awake[1], number).is_empty())
        })
        .await?;
        ask_about(&awake[1], 200).await?;
        agreed(awake, 200).await
    })
}

#[test]
fn a_box_that_starts_asks_the_others_what_is_kept() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let _engines = engines(&site)?;
        let mut machines = halls(&executor, &site).await?;
        for number in 0..20 {
            ask_about(&machines[0], number).await?;
        }
        agreed(&machines, 19).await?;
        // The only box of its hall starts again.
        drop(machines.remove(2));
        let fresh = TestBox::start(&executor, &site, "box-3", "hall-2", 5_000).await?;
        machines.push(fresh);
        let start = Instant::now();
        wait_until("recalled", async || {
            Ok(
                (0..20)
                    .all(|number| holders(&machines[2], number) == holders(&machines[0], number)),
            )
        })
        .await?;
        ensure!(start.elapsed() < TOLD_TIME, "{:?}", start.elapsed());
        Ok(())
    })
}

#[test]
fn requests_of_all_halls_are_counted() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let slow = Settings {
            hall: "hall-1".into(),
            ..stream_server_settings(1, 40, ms(100))
        };
        let engine = site.server(slow)?;
        let machines = halls(&executor, &site).await?;
        let mut calls = Vec::new();
        for machine in &machines {
            for number in 0..2 {
                let front = machine.router.client_address();
                let call = post("/u/x", &format!("{}-{number}", machine.name));
                calls.push(executor.spawn(async move { Client::once(front, &call).await }));
            }
        }
        let counts =
            || -> Result<Vec<u32>> { machines.iter().map(|it| counted(it, &engine)).collect() };
        wait_until("counted", async || Ok(counts()? == [4, 4, 4])).await?;
        for call in calls {
            ensure!(call.await?.status == 200, "not served");
        }
        wait_until("over", async || Ok(counts()? == [0, 0, 0])).await
    })
}

#[test]
fn a_box_that_tells_nonsense_does_no_harm() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let engines = engines(&site)?;
        let machines = halls(&executor, &site).await?;
        let open = || Conn::open(machines[0].peer, ms(500), ms(30_000));
        let server = Key::new(&id("no-such-server")?);
        let ask = |version| traffic::Request {
            version,
            number: 1,
            asker: traffic::Requester::Box,
            place: Position::default(),
            report: traffic::Report {
                boxes: u32::MAX,
                counts: vec![Count {
                    server,
                    requests: u32::MAX,
                }],
                rows: (0..10_000).map(|part| Placement { part, server }).collect(),
                untold: u32::MAX,
                crashes: Vec::new(),
                trials: Vec::new(),
                rollouts: None,
            },
        };
        let mut other = open().await?;
        link::send(&other, &PeerRequest::Traffic(ask(VERSION + 1))).await?;
        closed(&mut other).await?;
        let mut other = open().await?;
        let wrong = recall::Request {
            version: VERSION + 1,
        };
        link::send(&other, &PeerRequest::Recall(wrong)).await?;
        closed(&mut other).await?;
        // Two that say the same, so that sums overflow if they can.
        let mut liars = Vec::new();
        for _ in 0..2 {
            let mut liar = open().await?;
            link::send(&liar, &PeerRequest::Traffic(ask(VERSION))).await?;
            let answer: traffic::Answer = link::receive(&mut liar).await?;
            ensure!(answer.number == 1, "{answer:?}");
            liars.push(liar);
        }
        let index = &machines[0].router.relay().traffic.index;
        ensure!(index.len() <= 8_192, "{} parts", index.len());
        for machine in &machines {
            ask_about(machine, 1).await?;
        }
        drop(engines);
        Ok(())
    })
}
