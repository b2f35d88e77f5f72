//! Bootstrap of a box from seed boxes in other halls while the store is unreachable.

use std::net::{IpAddr, Ipv4Addr};

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::names;
use tidepier_relay_standin::site::{Route, Site};
use tidepier_relay_standin::store::Down;
use tidepier_relay_standin::Server;

use crate::box_harness::{site_with_keys, wait_until_ready, with_key, TestBox, REVOKE_TIME};
use crate::harness::{
    ensure_not_executed, ensure_served_by, ms, post, run, server_settings, wait_until, Executor,
    Result, SERVICE,
};

/// An address without a box, like a stale entry of the settings.
const NO_BOX: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 19, 0, 1));

fn set_down(site: &Site, how: Option<Down>) {
    site.store.faults(|faults| faults.down = how);
}

/// Starts a box of `hall-1` and waits until it is ready.
async fn start_informed(executor: &Executor, site: &Site) -> Result<TestBox> {
    let test_box = TestBox::start(executor, site, "box-1", "hall-1", 1_000).await?;
    wait_until("ready", async || Ok(test_box.is_ready())).await?;
    Ok(test_box)
}

/// A site with a server and an unreachable store, and a box of `hall-1` that read the
/// store before.
async fn cut_off(executor: &Executor) -> Result<(Site, Server, TestBox)> {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let other = start_informed(executor, &site).await?;
    set_down(&site, Some(Down::Reset));
    Ok((site, server, other))
}

/// Starts the only box of `hall-2`.
async fn start_alone(executor: &Executor, site: &Site, seeds: &[IpAddr]) -> Result<TestBox> {
    TestBox::seeded(executor, site, "box-2", "hall-2", 1_000, seeds).await
}

#[test]
fn a_box_that_starts_without_the_store_asks_seed_boxes() -> Result {
    run(async |executor| {
        for how in [Down::Reset, Down::Busy, Down::Silent] {
            let site = site_with_keys()?;
            let server = site.server(server_settings(1))?;
            let other = start_informed(&executor, &site).await?;
            set_down(&site, Some(how));
            let lost = Instant::now();
            let seeds = [NO_BOX, other.peer.ip()];
            let test_box = start_alone(&executor, &site, &seeds).await?;
            wait_until("ready", async || Ok(test_box.is_ready())).await?;
            ensure!(
                lost.elapsed() < REVOKE_TIME,
                "{how:?}: {:?}",
                lost.elapsed()
            );
            for target in ["/r/x", "/k/x"] {
                let call = post(target, target).key("stays");
                ensure_served_by(&test_box.call(&call).await?, &[&server], target)?;
            }
            let view = |test_box: &TestBox| test_box.router.relay().view.version();
            ensure!(view(&test_box) == view(&other), "another version");
            ensure!(
                test_box.confirmed_at() <= other.confirmed_at(),
                "confirmed too recently"
            );
        }
        Ok(())
    })
}

#[test]
fn a_seeded_box_accepts_no_revoked_key_for_longer() -> Result {
    run(async |executor| {
        let (site, server, other) = cut_off(&executor).await?;
        let lost = Instant::now();
        site.account("tenant-2", &["new"], 1);
        let test_box = start_alone(&executor, &site, &[other.peer.ip()]).await?;
        wait_until("seeded", async || Ok(test_box.confirmed_at().is_some())).await?;
        while lost.elapsed() < REVOKE_TIME + ms(600) {
            let confirmed_at = test_box.confirmed_at();
            let confirmed_at = confirmed_at.ok_or_else(|| eyre!("never confirmed"))?;
            ensure!(confirmed_at <= lost, "{:?} too young", confirmed_at - lost);
            let attempt = format!("{:?}", lost.elapsed());
            let asked = Instant::now();
            let answer = test_box.call(&with_key("goes", &attempt)).await?;
            if asked > lost + REVOKE_TIME {
                ensure_not_executed(&answer)?;
                ensure!(server.ran(&attempt) == 0, "{attempt} ran");
            }
            Timer::after(ms(20)).await;
        }
        ensure!(!test_box.is_ready(), "ready by an old confirmation");
        // Requests on routes without keys are still served.
        ensure_served_by(&test_box.call(&post("/r/x", "on")).await?, &[&server], "on")?;
        set_down(&site, None);
        wait_until_ready(&[test_box, other]).await
    })
}

#[test]
fn a_seeded_box_follows_the_store_once_it_is_reachable() -> Result {
    run(async |executor| {
        let (site, server, other) = cut_off(&executor).await?;
        let test_box = start_alone(&executor, &site, &[other.peer.ip()]).await?;
        wait_until("seeded", async || Ok(test_box.confirmed_at().is_some())).await?;
        let seeded = test_box.router.relay().view.version();
        let version = site.declare(&[Route::new("/new/", Kind::Repeatable, SERVICE)]);
        // The other box does not get the new version; it would report the older one.
        other.store.cut();
        set_down(&site, None);
        wait_until("followed", async || {
            let now = test_box.router.relay().view.version();
            ensure!(now >= seeded, "{now} after {seeded}");
            Ok(now.0 == version)
        })
        .await?;
        let observed = Instant::now();
        while observed.elapsed() < ms(1_500) {
            let now = test_box.router.relay().view.version();
            ensure!(now.0 == version, "{now} after {version}");
            Timer::after(ms(20)).await;
        }
        let answer = test_box.call(&post("/new/x", "new")).await?;
        ensure!(answer.field(names::ATTEMPT) == Some("new"), "{answer:?}");
        ensure_served_by(&answer, &[&server], "new")
    })
}
