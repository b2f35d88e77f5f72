//! Routes and keys: a route or key counts as missing only while the catalog is fresh,
//! and a revoked key is refused once the bound on keys has passed.

use std::time::{Duration, Instant};

use eyre::ensure;
use smol::Timer;
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::Down;

use crate::box_harness::{site_with_keys, with_key};
use crate::harness::{
    self, ensure_not_executed, ensure_served_by, ms, post, run, server_settings, Executor, Harness,
    Result,
};

/// The bound on keys in these tests. It is longer than the time between two freshness
/// checks of the router; otherwise keys would be accepted with interruptions.
const REVOKE_TIME: Duration = Duration::from_millis(2_600);
/// The bound on changes.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

async fn open(executor: Executor, site: Site, blind: bool) -> Result<Harness> {
    Harness::start_with_settings(executor, site, |settings| {
        settings["bounds"]["revoke_within"] = (REVOKE_TIME.as_millis() as u64).into();
        settings["bounds"]["apply_within"] = (APPLY_TIME.as_millis() as u64).into();
        settings["bounds"]["revoke_when_blind"] = blind.into();
    })
    .await
}

#[test]
fn unknown_routes_and_keys_are_refused() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let harness = open(executor, site, true).await?;
        let other_host = post("/r/x", "host").with("Host", "other.example");
        for (call, status) in [
            (post("/nowhere/x", "path"), 404),
            (other_host, 404),
            (post("/r", "slash"), 404),
            (with_key("unknown", "unknown"), 401),
            (post("/k/x", "none"), 401),
            (with_key("Stays", "case"), 401),
        ] {
            let answer = harness.call(&call).await?;
            ensure!(answer.status == status, "{call:?}: {answer:?}");
        }
        ensure!(server.runs().is_empty(), "a refused request was sent");
        let answer = harness.call(&with_key("stays", "known")).await?;
        ensure_served_by(&answer, &[&server], "known")
    })
}

#[test]
fn nothing_is_reported_missing_by_an_old_catalog() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let harness = open(executor, site, false).await?;
        harness
            .site
            .store
            .faults(|faults| faults.down = Some(Down::Reset));
        Timer::after(APPLY_TIME + ms(100)).await;
        for call in [post("/nowhere/x", "path"), with_key("unknown", "key")] {
            ensure_not_executed(&harness.call(&call).await?)?;
        }
        // Known routes and keys are still served.
        ensure_served_by(&harness.post("/r/x", "known").await?, &[&server], "known")?;
        let answer = harness.call(&with_key("stays", "key-known")).await?;
        ensure_served_by(&answer, &[&server], "key-known")?;
        harness.site.store.faults(|faults| faults.down = None);
        harness::wait_until("refused again", async || {
            Ok(harness.post("/nowhere/x", "again").await?.status == 404)
        })
        .await
    })
}

/// Revokes a key and immediately `harms` the store. The key has to be refused within
/// the bound, and the other key has to be served again in the end.
async fn revoked(executor: Executor, harm: impl FnOnce(&Site), seen: bool) -> Result {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let harness = open(executor, site, true).await?;
    harm(&harness.site);
    let gone = Instant::now();
    harness.site.account("tenant-2", &["new"], 1);
    let mut number = 0;
    while gone.elapsed() < REVOKE_TIME + ms(500) {
        number += 1;
        let attempt = format!("goes-{number}");
        let asked = Instant::now();
        let answer = harness.call(&with_key("goes", &attempt)).await?;
        if asked > gone + REVOKE_TIME {
            ensure!(matches!(answer.status, 401 | 503), "{answer:?}");
            ensure!(server.ran(&attempt) == 0, "{attempt} ran");
            if !seen {
                ensure_not_executed(&answer)?;
            }
        }
        // Public routes need no key and are served throughout.
        let attempt = format!("public-{number}");
        ensure_served_by(&harness.post("/r/x", &attempt).await?, &[&server], &attempt)?;
        Timer::after(ms(40)).await;
    }
    if !seen {
        ensure!(!harness.is_ready().await, "ready without trusted keys");
    }
    harness.site.store.faults(|faults| faults.down = None);
    harness.site.store.faults(|faults| faults.refuse = false);
    harness::wait_until("back", async || {
        let answer = harness.call(&with_key("new", "back")).await?;
        Ok(answer.status == 200)
    })
    .await?;
    let answer = harness.call(&with_key("goes", "after")).await?;
    ensure!(answer.status == 401, "{answer:?}");
    harness::wait_until("ready", async || Ok(harness.is_ready().await)).await
}

#[test]
fn keys_are_refused_in_time_while_the_store_is_down() -> Result {
    run(async |executor| {
        let harm = |site: &Site| site.store.faults(|faults| faults.down = Some(Down::Busy));
        revoked(executor, harm, false).await
    })
}

#[test]
fn keys_are_refused_in_time_while_the_store_is_unresponsive() -> Result {
    run(async |executor| {
        let harm = |site: &Site| site.store.faults(|faults| faults.down = Some(Down::Silent));
        revoked(executor, harm, false).await
    })
}

#[test]
fn keys_are_refused_in_time_while_the_store_is_cut_off() -> Result {
    run(async |executor| {
        let harm = |site: &Site| site.store.faults(|faults| faults.down = Some(Down::Reset));
        revoked(executor, harm, false).await
    })
}

#[test]
fn keys_are_refused_in_time_while_the_store_refuses_calls() -> Result {
    run(async |executor| {
        let harm = |site: &Site| {
            site.store.faults(|faults| faults.refuse = true);
            site.store.cut_watches();
        };
        revoked(executor, harm, false).await
    })
}

#[test]
fn keys_are_refused_in_time_while_watches_deliver_nothing() -> Result {
    run(async |executor| {
        let harm = |site: &Site| site.store.deaf(Duration::from_secs(20));
        revoked(executor, harm, true).await
    })
}

#[test]
fn keys_are_refused_in_time_while_answers_are_lost() -> Result {
    run(async |executor| {
        let harm = |site: &Site| {
            site.store.deaf(Duration::from_secs(20));
            site.store.faults(|faults| faults.lost = 1);
        };
        revoked(executor, harm, true).await
    })
}

#[test]
fn a_revoked_key_is_refused_in_time() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let _server = site.server(server_settings(1))?;
        let harness = open(executor, site, true).await?;
        let answer = harness.call(&with_key("goes", "before")).await?;
        ensure!(answer.status == 200, "{answer:?}");
        let gone = Instant::now();
        harness.site.account("tenant-2", &[], 1);
        harness::wait_until("refused", async || {
            let answer = harness.call(&with_key("goes", "after")).await?;
            ensure!(answer.status == 200 || answer.status == 401, "{answer:?}");
            Ok(answer.status == 401)
        })
        .await?;
        ensure!(gone.elapsed() < APPLY_TIME, "{:?}", gone.elapsed());
        Ok(())
    })
}

#[test]
fn keys_are_served_while_all_answers_to_writes_are_lost() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let harness = open(executor, site, true).await?;
        harness.site.store.faults(|faults| faults.lost = u32::MAX);
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < 2 * REVOKE_TIME {
            number += 1;
            let attempt = format!("stays-{number}");
            let answer = harness.call(&with_key("stays", &attempt)).await?;
            ensure_served_by(&answer, &[&server], &attempt)?;
            Timer::after(ms(50)).await;
        }
        Ok(())
    })
}
