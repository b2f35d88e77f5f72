//! A box that starts while the store is down asks boxes of other halls.

use std::net::{IpAddr, Ipv4Addr};

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::names;
use tidepier_relay_standin::site::{Route, Site};
use tidepier_relay_standin::store::Down;
use tidepier_relay_standin::Server;

use crate::box_harness::{ready, site_with_keys, with_key, TestBox, REVOKE_TIME};
use crate::harness::{
    ensure_not_executed, ensure_served_by, ms, post, run, server_settings, wait_until, Executor,
    Result, SERVICE,
};

/// An address at which no box is, as a stale entry of the settings.
const NOBODY: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 19, 0, 1));

fn down(site: &Site, how: Option<Down>) {
    site.store.faults(|faults| faults.down = how);
}

/// A box of `hall-1` that is ready.
async fn informed(executor: &Executor, site: &Site) -> Result<TestBox> {
    let machine = TestBox::start(executor, site, "box-1", "hall-1", 1_000).await?;
    wait_until("ready", async || Ok(machine.is_ready())).await?;
    Ok(machine)
}

/// A site with a server, whose store is down, and a box of `hall-1` that was
/// informed before.
async fn cut_off(executor: &Executor) -> Result<(Site, Server, TestBox)> {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let other = informed(executor, &site).await?;
    down(&site, Some(Down::Reset));
    Ok((site, server, other))
}

/// A box that starts alone in `hall-2`.
async fn alone(executor: &Executor, site: &Site, seeds: &[IpAddr]) -> Result<TestBox> {
    TestBox::seeded(executor, site, "box-2", "hall-2", 1_000, seeds).await
}

#[test]
fn a_box_that_starts_without_the_store_asks_other_halls() -> Result {
    run(async |executor| {
        for how in [Down::Reset, Down::Busy, Down::Silent] {
            let site = site_with_keys()?;
            let server = site.server(server_settings(1))?;
            let other = informed(&executor, &site).await?;
            down(&site, Some(how));
            let lost = Instant::now();
            let seeds = [NOBODY, other.peer.ip()];
            let machine = alone(&executor, &site, &seeds).await?;
            wait_until("ready", async || Ok(machine.is_ready())).await?;
            ensure!(
                lost.elapsed() < REVOKE_TIME,
                "{how:?}: {:?}",
                lost.elapsed()
            );
            for target in ["/r/x", "/k/x"] {
                let call = post(target, target).key("stays");
                ensure_served_by(&machine.call(&call).await?, &[&server], target)?;
            }
            let view = |machine: &TestBox| machine.router.relay().view.version();
            ensure!(view(&machine) == view(&other), "another version");
            ensure!(machine.proven() <= other.proven(), "a proof too young");
        }
        Ok(())
    })
}

#[test]
fn a_box_that_was_told_by_another_hall_trusts_no_key_for_longer() -> Result {
    run(async |executor| {
        let (site, server, other) = cut_off(&executor).await?;
        let lost = Instant::now();
        site.account("tenant-2", &["new"], 1);
        let machine = alone(&executor, &site, &[other.peer.ip()]).await?;
        wait_until("told", async || Ok(machine.proven().is_some())).await?;
        while lost.elapsed() < REVOKE_TIME + ms(600) {
            let proven = machine.proven();
            let proven = proven.ok_or_else(|| eyre!("no proof"))?;
            ensure!(proven <= lost, "{:?} too young", proven - lost);
            let attempt = format!("{:?}", lost.elapsed());
            let asked = Instant::now();
            let answer = machine.call(&with_key("goes", &attempt)).await?;
            if asked > lost + REVOKE_TIME {
                ensure_not_executed(&answer)?;
                ensure!(server.ran(&attempt) == 0, "{attempt} ran");
            }
            Timer::after(ms(20)).await;
        }
        ensure!(!machine.is_ready(), "ready by an old proof");
        // Routes without keys are served on.
        ensure_served_by(&machine.call(&post("/r/x", "on")).await?, &[&server], "on")?;
        down(&site, None);
        ready(&[machine, other]).await
    })
}

#[test]
fn a_box_that_was_told_by_another_hall_follows_the_store_once_it_is_back() -> Result {
    run(async |executor| {
        let (site, server, other) = cut_off(&executor).await?;
        let machine = alone(&executor, &site, &[other.peer.ip()]).await?;
        wait_until("told", async || Ok(machine.proven().is_some())).await?;
        let told = machine.router.relay().view.version();
        let version = site.declare(&[Route::new("/new/", Kind::Repeatable, SERVICE)]);
        // The other box stays behind; it would tell the older version.
        other.store.cut();
        down(&site, None);
        wait_until("followed", async || {
            let now = machine.router.relay().view.version();
            ensure!(now >= told, "{now} after {told}");
            Ok(now.0 == version)
        })
        .await?;
        let until_later = Instant::now();
        while until_later.elapsed() < ms(1_500) {
            let now = machine.router.relay().view.version();
            ensure!(now.0 == version, "{now} after {version}");
            Timer::after(ms(20)).await;
        }
        let answer = machine.call(&post("/new/x", "new")).await?;
        ensure!(answer.field(names::ATTEMPT) == Some("new"), "{answer:?}");
        ensure_served_by(&answer, &[&server], "new")
    })
}
