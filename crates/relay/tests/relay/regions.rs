//! Requests that are restricted to allowed regions.

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

/// A router in `hall-1` and one server in each of three halls; the settings assign no
/// region to `hall-3`.
async fn harness(executor: Executor) -> Result<([Server; 3], Harness)> {
    let site = crate::box_harness::site_with_keys()?;
    let servers = [
        site.server(server_settings(1))?,
        site.server(server_settings(2))?,
        site.server(server_settings(3))?,
    ];
    let harness = Harness::start_with_settings(executor, site, |settings| {
        settings["regions"] = json!({ "hall-1": "south", "hall-2": "north", "other": "far" });
    })
    .await?;
    Ok((servers, harness))
}

/// Sets the allowed regions of the routes with a prefix, or of an account, and waits
/// until the change is in force.
async fn set_regions(
    harness: &Harness,
    list: &str,
    field: &str,
    of: &str,
    regions: Value,
) -> Result {
    let version = harness.site.configure(|config| {
        let rows = config[list].as_array_mut().into_iter().flatten();
        for row in rows.filter(|row| row[field] == of) {
            row["allowed_regions"] = regions.clone();
        }
    });
    let view = &harness.router.relay().view;
    wait_until("in force", async || Ok(view.version().0 == version)).await
}

async fn set_route_regions(harness: &Harness, prefix: &str, regions: Value) -> Result {
    set_regions(harness, "routes", "path_prefix", prefix, regions).await
}

async fn set_account_regions(harness: &Harness, name: &str, regions: Value) -> Result {
    set_regions(harness, "tenants", "name", name, regions).await
}

async fn call_with_key(harness: &Harness, key: &str, attempt: &str) -> Result<Answer> {
    harness
        .call(&crate::box_harness::with_key(key, attempt))
        .await
}

fn ensure_refused(answer: &Answer, servers: &[Server; 3], attempt: &str) -> Result {
    ensure_not_executed(answer)?;
    ensure!(answer.body == br#"{"error":"no_region"}"#, "{answer:?}");
    ensure!(answer.elapsed < ms(100), "after {:?}", answer.elapsed);
    let all: Vec<&Server> = servers.iter().collect();
    ensure!(
        count_deliveries(&all, attempt) == 0,
        "the request reached a server"
    );
    Ok(())
}

#[test]
fn a_restricted_route_stays_in_its_regions() -> Result {
    run(async |executor| {
        let (servers, harness) = harness(executor).await?;
        for (regions, home) in [(json!(["north"]), 1), (json!(["south", "far"]), 0)] {
            set_route_regions(&harness, "/r/", regions).await?;
            for number in 0..20 {
                let attempt = format!("{home}-{number}");
                let answer = harness.post("/r/x", &attempt).await?;
                ensure_served_by(&answer, &[&servers[home]], &attempt)?;
            }
        }
        // No restriction any more.
        set_route_regions(&harness, "/r/", json!([])).await?;
        let all: Vec<&Server> = servers.iter().collect();
        ensure_served_by(&harness.post("/r/x", "free").await?, &all, "free")
    })
}

#[test]
fn retries_and_resumed_streams_stay_in_their_regions() -> Result {
    run(async |executor| {
        let (servers, harness) = harness(executor).await?;
        set_route_regions(&harness, "/r/", json!(["north"])).await?;
        servers[1].fault(Fault::Shed, u32::MAX);
        for number in 0..5 {
            let attempt = format!("{number}");
            ensure_not_executed(&harness.post("/r/x", &attempt).await?)?;
            ensure!(
                count_deliveries(&[&servers[0], &servers[2]], &attempt) == 0,
                "outside of the allowed regions"
            );
        }
        set_route_regions(&harness, "/s/", json!(["south"])).await?;
        let mut far = stream_server_settings(5, 8, ms(5));
        far.hall = "hall-2".into();
        let far = harness.site.server(far)?;
        let mut near = stream_server_settings(4, 8, ms(5));
        near.hall = "hall-1".into();
        let near = harness.site.server(near)?;
        servers.iter().for_each(Server::crash);
        wait_until("known", async || {
            Ok(harness.knows(&near) && harness.knows(&far))
        })
        .await?;
        near.fault(Fault::CutEvent, u32::MAX);
        let answer = harness.post("/s/x", "stream").await?;
        ensure!(!answer.complete, "{answer:?}");
        ensure!(
            count_deliveries(&[&far], "stream") == 0,
            "the stream was resumed in another region"
        );
        Ok(())
    })
}

#[test]
fn route_and_account_restrictions_combine() -> Result {
    run(async |executor| {
        let (servers, harness) = harness(executor).await?;
        set_account_regions(&harness, "tenant-1", json!(["north"])).await?;
        ensure_served_by(
            &call_with_key(&harness, "stays", "one").await?,
            &[&servers[1]],
            "one",
        )?;
        let all: Vec<&Server> = servers.iter().collect();
        ensure_served_by(
            &call_with_key(&harness, "goes", "other").await?,
            &all,
            "other",
        )?;
        set_route_regions(&harness, "/k/", json!(["north", "south"])).await?;
        ensure_served_by(
            &call_with_key(&harness, "stays", "both").await?,
            &[&servers[1]],
            "both",
        )?;
        set_route_regions(&harness, "/k/", json!(["south"])).await?;
        ensure_refused(
            &call_with_key(&harness, "stays", "none").await?,
            &servers,
            "none",
        )?;
        ensure_served_by(
            &call_with_key(&harness, "goes", "route").await?,
            &[&servers[0]],
            "route",
        )
    })
}

#[test]
fn a_region_unknown_to_the_settings_has_no_servers() -> Result {
    run(async |executor| {
        let (servers, harness) = harness(executor).await?;
        set_route_regions(&harness, "/r/", json!(["nowhere"])).await?;
        ensure_refused(&harness.post("/r/x", "unknown").await?, &servers, "unknown")?;
        // A hall without a region is in none of the allowed regions.
        set_route_regions(&harness, "/r/", json!(["hall-3"])).await?;
        ensure_refused(&harness.post("/r/x", "hall").await?, &servers, "hall")
    })
}

/// The KV cache of a restricted prompt is copied only within its regions.
#[test]
fn a_restricted_prompt_is_not_copied_across_regions() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..6)?;
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
        origin: None,
        young: &[],
        answering_since: None,
    };
    let mut copied = 0;
    for subject in 0..200 {
        let prompt = prompt(subject, LARGE);
        // An engine in the other region has the prompt in its KV cache.
        let holder = harness.backend(&id("i-2")?)?;
        let holder_hall = holder.server.hall.clone();
        harness
            .index
            .record_local(&prompt, holder.key, Instant::now());
        let choice = harness.choose_within(&prompt, filter)?;
        ensure!(
            filter.is_allowed_hall(&choice.backend.server.hall),
            "outside of the allowed regions"
        );
        let source = choice.copy_from.map(|it| it.server.hall.clone());
        copied += usize::from(source.is_some());
        let home = source.is_none_or(|hall| filter.is_allowed_hall(&hall));
        ensure!(home, "copied from {holder_hall}");
    }
    ensure!(
        copied < 200,
        "every prompt was copied, so none was kept from the other region"
    );
    Ok(())
}
