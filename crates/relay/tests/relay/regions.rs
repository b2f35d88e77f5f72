//! Requests that may not leave some regions.

use eyre::ensure;
use serde_json::{json, Value};
use tidepier_clock::Instant;
use tidepier_core::catalog::AllowedRegions;
use tidepier_relay::choose::filter::{Filter, Regions};
use tidepier_relay_standin::client::Answer;
use tidepier_relay_standin::server::{Fault, Server};

use crate::choice_harness::{id, prompt, ChoiceHarness, LARGE};
use crate::harness::{
    count_deliveries, ensure_not_executed, ensure_served_by, ms, run, server_settings,
    stream_server_settings, wait_until, Executor, Harness, Result,
};

/// A router in `hall-1` before a server in each of three halls; `hall-3` is in no
/// region that the settings know.
async fn house(executor: Executor) -> Result<([Server; 3], Harness)> {
    let site = crate::box_harness::site_with_keys()?;
    let servers = [
        site.server(server_settings(1))?,
        site.server(server_settings(2))?,
        site.server(server_settings(3))?,
    ];
    let house = Harness::start_with_settings(executor, site, |told| {
        told["regions"] = json!({ "hall-1": "south", "hall-2": "north", "other": "far" });
    })
    .await?;
    Ok((servers, house))
}

/// Binds the routes of a prefix, or an account, and waits until that is in force.
async fn bind(house: &Harness, list: &str, field: &str, of: &str, regions: Value) -> Result {
    let version = house.site.configure(|config| {
        let rows = config[list].as_array_mut().into_iter().flatten();
        for row in rows.filter(|row| row[field] == of) {
            row["allowed_regions"] = regions.clone();
        }
    });
    let view = &house.router.relay().view;
    wait_until("in force", async || Ok(view.version().0 == version)).await
}

async fn bind_route(house: &Harness, prefix: &str, regions: Value) -> Result {
    bind(house, "routes", "path_prefix", prefix, regions).await
}

async fn bind_account(house: &Harness, name: &str, regions: Value) -> Result {
    bind(house, "tenants", "name", name, regions).await
}

async fn keyed(house: &Harness, key: &str, attempt: &str) -> Result<Answer> {
    house
        .call(&crate::box_harness::with_key(key, attempt))
        .await
}

fn refused(answer: &Answer, servers: &[Server; 3], attempt: &str) -> Result {
    ensure_not_executed(answer)?;
    ensure!(answer.body == br#"{"error":"no_region"}"#, "{answer:?}");
    ensure!(answer.elapsed < ms(100), "after {:?}", answer.elapsed);
    let all: Vec<&Server> = servers.iter().collect();
    ensure!(count_deliveries(&all, attempt) == 0, "sent");
    Ok(())
}

#[test]
fn a_bound_route_stays_in_its_regions() -> Result {
    run(async |executor| {
        let (servers, house) = house(executor).await?;
        for (regions, home) in [(json!(["north"]), 1), (json!(["south", "far"]), 0)] {
            bind_route(&house, "/r/", regions).await?;
            for number in 0..20 {
                let attempt = format!("{home}-{number}");
                let answer = house.post("/r/x", &attempt).await?;
                ensure_served_by(&answer, &[&servers[home]], &attempt)?;
            }
        }
        // Nothing binds any more.
        bind_route(&house, "/r/", json!([])).await?;
        let all: Vec<&Server> = servers.iter().collect();
        ensure_served_by(&house.post("/r/x", "free").await?, &all, "free")
    })
}

#[test]
fn neither_a_retry_nor_a_resumed_stream_leaves() -> Result {
    run(async |executor| {
        let (servers, house) = house(executor).await?;
        bind_route(&house, "/r/", json!(["north"])).await?;
        servers[1].fault(Fault::Shed, u32::MAX);
        for number in 0..5 {
            let attempt = format!("{number}");
            ensure_not_executed(&house.post("/r/x", &attempt).await?)?;
            ensure!(
                count_deliveries(&[&servers[0], &servers[2]], &attempt) == 0,
                "left"
            );
        }
        bind_route(&house, "/s/", json!(["south"])).await?;
        let mut far = stream_server_settings(5, 8, ms(5));
        far.hall = "hall-2".into();
        let far = house.site.server(far)?;
        let mut near = stream_server_settings(4, 8, ms(5));
        near.hall = "hall-1".into();
        let near = house.site.server(near)?;
        servers.iter().for_each(Server::crash);
        wait_until(
            "known",
            async || Ok(house.knows(&near) && house.knows(&far)),
        )
        .await?;
        near.fault(Fault::CutEvent, u32::MAX);
        let answer = house.post("/s/x", "stream").await?;
        ensure!(!answer.complete, "{answer:?}");
        ensure!(
            count_deliveries(&[&far], "stream") == 0,
            "went on elsewhere"
        );
        Ok(())
    })
}

#[test]
fn route_and_account_bind_together() -> Result {
    run(async |executor| {
        let (servers, house) = house(executor).await?;
        bind_account(&house, "tenant-1", json!(["north"])).await?;
        ensure_served_by(&keyed(&house, "stays", "one").await?, &[&servers[1]], "one")?;
        let all: Vec<&Server> = servers.iter().collect();
        ensure_served_by(&keyed(&house, "goes", "other").await?, &all, "other")?;
        bind_route(&house, "/k/", json!(["north", "south"])).await?;
        ensure_served_by(
            &keyed(&house, "stays", "both").await?,
            &[&servers[1]],
            "both",
        )?;
        bind_route(&house, "/k/", json!(["south"])).await?;
        refused(&keyed(&house, "stays", "none").await?, &servers, "none")?;
        ensure_served_by(
            &keyed(&house, "goes", "route").await?,
            &[&servers[0]],
            "route",
        )
    })
}

#[test]
fn a_region_that_the_settings_do_not_know_has_no_servers() -> Result {
    run(async |executor| {
        let (servers, house) = house(executor).await?;
        bind_route(&house, "/r/", json!(["nowhere"])).await?;
        refused(&house.post("/r/x", "unknown").await?, &servers, "unknown")?;
        // A hall that is in no region is in none of those that bind.
        bind_route(&house, "/r/", json!(["hall-3"])).await?;
        refused(&house.post("/r/x", "hall").await?, &servers, "hall")
    })
}

/// The memory of a bound prompt is copied within its regions alone.
#[test]
fn a_bound_prompt_is_not_copied_from_elsewhere() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..6)?;
    let regions: Regions = [("hall-1", "south"), ("hall-2", "north")]
        .into_iter()
        .map(|(hall, region)| Ok((id(hall)?, id(region)?)))
        .collect::<Result<_>>()?;
    let south: AllowedRegions = vec![id("south")?].into();
    let filter = Filter {
        allowed_regions: [Some(&south), None],
        regions: Some(&regions),
        gate: None,
        release_selector: None,
    };
    let mut copied = 0;
    for subject in 0..200 {
        let prompt = prompt(subject, LARGE);
        // Some engine in the other region has read it.
        let keeper = desk.backend(&id("i-2")?)?;
        let keeper_hall = keeper.server.hall.clone();
        desk.index.record_local(&prompt, keeper.key, Instant::now());
        let choice = desk.choose_within(&prompt, filter)?;
        ensure!(filter.is_allowed_hall(&choice.backend.server.hall), "left");
        let source = choice.copy_from.map(|it| it.server.hall.clone());
        copied += usize::from(source.is_some());
        let home = source.is_none_or(|hall| filter.is_allowed_hall(&hall));
        ensure!(home, "copied from {keeper_hall}");
    }
    ensure!(copied < 200, "the test copies nothing from elsewhere");
    Ok(())
}
