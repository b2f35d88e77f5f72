//! What boxes learn after a start of what engines keep.

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

/// Time in which all that can be learned is learned.
const LEARN_TIME: Duration = Duration::from_millis(2_500);

/// Boxes that know what engines keep, all of which are then killed and started
/// again.
async fn restarted(executor: &Executor, site: &Site) -> Result<(Vec<Vec<Key>>, Vec<TestBox>)> {
    let machines = halls(executor, site).await?;
    for number in 0..12 {
        ask_about(&machines[number as usize % 3], number).await?;
    }
    agreed(&machines, 11).await?;
    let known = (0..12)
        .map(|number| holders(&machines[0], number))
        .collect();
    drop(machines);
    Ok((known, halls(executor, site).await?))
}

async fn all_learned(machines: &[TestBox]) -> Result {
    let start = Instant::now();
    wait_until("learned", async || {
        let progress = machines
            .iter()
            .map(|it| it.router.relay().traffic.progress());
        Ok(progress.into_iter().all(|it| it == Progress::Done))
    })
    .await?;
    ensure!(start.elapsed() < LEARN_TIME, "{:?}", start.elapsed());
    Ok(())
}

#[test]
fn boxes_that_all_started_anew_learn_from_the_engines() -> Result {
    run(async |executor| {
        let site = engines_site()?;
        let engines = engines(&site)?;
        let asked =
            |engines: &[Server]| -> Vec<u64> { engines.iter().map(Server::probes).collect() };
        let (known, machines) = restarted(&executor, &site).await?;
        all_learned(&machines).await?;
        for machine in &machines {
            for (number, known) in known.iter().enumerate() {
                let holders = holders(machine, number as u64);
                ensure!(holders == *known, "{}: {number}: {holders:?}", machine.name);
            }
        }
        // Each engine was asked by one box: at the first start, and now.
        let lists = asked(&engines);
        ensure!(lists.iter().all(|count| *count <= 2), "{lists:?}");
        // One that starts now asks the others.
        let _fresh = TestBox::start(&executor, &site, "box-9", "hall-2", 100).await?;
        Timer::after(ms(700)).await;
        ensure!(asked(&engines) == lists, "{:?}", asked(&engines));
        Ok(())
    })
}

#[test]
fn a_list_that_is_wrong_or_never_comes_holds_nothing_up() -> Result {
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
        let machines = halls(&executor, &site).await?;
        all_learned(&machines).await?;
        for machine in &machines {
            let index = &machine.router.relay().traffic.index;
            ensure!(index.len() <= 8_192, "{} parts", index.len());
            ask_about(machine, 1).await?;
        }
        Ok(())
    })
}

#[test]
fn a_dark_engine_does_not_hold_the_others_lists_up() -> Result {
    run(async |executor| {
        let site = engines_site()?;
        let engines = engines(&site)?;
        let machines = halls(&executor, &site).await?;
        ask_about(&machines[0], 1).await?;
        agreed(&machines, 1).await?;
        let holder = holders(&machines[0], 1);
        drop(machines);
        let dark = engines.iter().find(|engine| {
            let id = engine.settings().id.parse();
            id.is_ok_and(|id| holder != [Key::new(&id)])
        });
        if let Some(dark) = dark {
            dark.dark(true);
        }
        let machines = halls(&executor, &site).await?;
        all_learned(&machines).await?;
        let learned = holders(&machines[0], 1);
        ensure!(learned == holder, "{learned:?}");
        Ok(())
    })
}

/// A server says that it leaves in the list of what it keeps, too.
#[test]
fn an_engine_that_says_it_leaves_in_its_list_gets_nothing() -> Result {
    run(async |executor| {
        let site = engines_site()?;
        let engines = engines(&site)?;
        for engine in &engines {
            engine.leave(true);
        }
        let machines = halls(&executor, &site).await?;
        all_learned(&machines).await?;
        let heard = machines.iter().map(|it| {
            let now = tidepier_clock::Instant::now();
            it.router.relay().fleet.withheld(now).0
        });
        let heard: usize = heard.sum();
        // The hub of each hall asks the engines of its own.
        ensure!(heard == engines.len(), "{heard} of {}", engines.len());
        Ok(())
    })
}
