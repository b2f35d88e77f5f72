//! Broken streams are resumed where they broke off, or end visibly incomplete.

use eyre::ensure;
use serde_json::json;
use smol::Timer;
use tidepier_relay_standin::client::{Answer, End};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Fault, Server};

use crate::harness::{
    count_deliveries, ensure_served_by, ms, post, run, site, stream_body, stream_server_settings,
    wait_until, Harness, Result,
};

/// Checks a complete stream that one server began and another finished.
fn ensure_resumed(answer: &Answer, first: &Server, second: &Server, attempt: &str) -> Result {
    ensure!(answer.complete && answer.status == 200, "{answer:?}");
    ensure!(answer.body == stream_body(1..=8), "{:?}", answer.ids());
    let begun = first.runs();
    let begun = begun.iter().find(|run| run.attempt == attempt);
    let begun = begun.expect("a first run");
    ensure!(answer.field(names::SEAL) == Some(&begun.seal), "{answer:?}");
    let ended = second.runs();
    let ended = ended.iter().find(|run| run.attempt == attempt);
    let ended = ended.expect("a second run");
    let after = begun.made.len().to_string();
    ensure!(
        ended.field(names::LAST_EVENT) == Some(&after),
        "{:?} after {after}",
        ended.fields
    );
    Ok(())
}

#[test]
fn a_stream_cut_within_an_event_is_resumed_at_another_server() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(stream_server_settings(1, 8, ms(10)))?;
        let far = site.server(stream_server_settings(2, 8, ms(10)))?;
        let harness = Harness::start_ready(executor, site).await?;
        near.fault(Fault::CutEvent, 1);
        let answer = harness.post("/s/x", "cut").await?;
        ensure_resumed(&answer, &near, &far, "cut")?;
        ensure!(
            count_deliveries(&[&near, &far], "cut") == 2,
            "sent too often"
        );
        Ok(())
    })
}

#[test]
fn a_stream_broken_between_events_is_resumed_at_another_server() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(stream_server_settings(1, 8, ms(10)))?;
        let far = site.server(stream_server_settings(2, 8, ms(10)))?;
        let harness = Harness::start_ready(executor, site).await?;
        near.fault(Fault::BreakOff, 1);
        let answer = harness.post("/s/x", "broken").await?;
        ensure_resumed(&answer, &near, &far, "broken")
    })
}

#[test]
fn a_stream_of_a_crashed_server_is_resumed_at_another() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(stream_server_settings(1, 8, ms(60)))?;
        let far = site.server(stream_server_settings(2, 8, ms(10)))?;
        let harness = Harness::start_ready(executor, site).await?;
        let crash = async {
            Timer::after(ms(200)).await;
            near.crash();
            Ok(())
        };
        let call = post("/s/x", "crash");
        let (answer, _) = futures_lite::future::try_zip(harness.call(&call), crash).await?;
        ensure!(answer.complete, "{answer:?}");
        ensure!(answer.body == stream_body(1..=8), "{:?}", answer.ids());
        ensure!(far.ran("crash") == 1, "the other server was not reached");
        Ok(())
    })
}

#[test]
fn a_stalled_stream_is_resumed_at_another_server() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(stream_server_settings(1, 8, ms(50)))?;
        let far = site.server(stream_server_settings(2, 8, ms(10)))?;
        let harness = Harness::start_ready(executor, site).await?;
        let silence = async {
            Timer::after(ms(200)).await;
            near.dark(true);
            Ok(())
        };
        let call = post("/s/x", "silent");
        let (answer, _) = futures_lite::future::try_zip(harness.call(&call), silence).await?;
        ensure!(answer.complete, "{answer:?}");
        ensure!(answer.body == stream_body(1..=8), "{:?}", answer.ids());
        ensure!(far.ran("silent") == 1, "the other server was not reached");
        near.dark(false);
        Ok(())
    })
}

#[test]
fn a_client_that_resumes_gets_the_following_events() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(stream_server_settings(1, 8, ms(10)))?;
        let far = site.server(stream_server_settings(2, 8, ms(10)))?;
        // The stream began before this box started, when no other release served.
        let entry = json!({"releases": ["v1"], "complete_in": site.store.era()});
        site.store.put("tidepier/releases/service-1", &entry);
        let harness = Harness::start_ready(executor, site).await?;
        let call = post("/s/x", "whole").with(names::LAST_EVENT, "3");
        let answer = harness.call(&call).await?;
        ensure!(answer.complete, "{answer:?}");
        ensure!(answer.body == stream_body(4..=8), "{:?}", answer.ids());
        near.fault(Fault::CutEvent, 1);
        far.fault(Fault::CutEvent, 1);
        let call = post("/s/x", "cut").with(names::LAST_EVENT, "3");
        let answer = harness.call(&call).await?;
        // This route allows two attempts, and both servers cut the stream.
        ensure!(!answer.complete, "{answer:?}");
        let ids = answer.ids();
        let last = 3 + ids.len() as u64;
        ensure!(
            ids.len() >= 2 && answer.body == stream_body(4..=last),
            "{ids:?}"
        );
        Ok(())
    })
}

#[test]
fn a_stream_that_may_not_be_resumed_ends_incomplete() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(stream_server_settings(1, 8, ms(10)))?;
        let far = site.server(stream_server_settings(2, 8, ms(10)))?;
        let harness = Harness::start_ready(executor, site).await?;
        for fault in [Fault::CutEvent, Fault::BreakOff] {
            near.fault(fault, 1);
            far.fault(fault, 1);
            let attempt = format!("{fault:?}");
            let answer = harness.post("/u/x", &attempt).await?;
            ensure!(!answer.complete, "{answer:?}");
            ensure!(matches!(answer.end, End::Closed | End::Reset), "{answer:?}");
            let last = answer.ids().len() as u64;
            ensure!(answer.body == stream_body(1..=last), "{:?}", answer.body);
            ensure!(last >= 3, "events were held back");
            let sent = count_deliveries(&[&near, &far], &attempt);
            ensure!(sent == 1, "sent to {sent} servers");
            near.heal();
            far.heal();
        }
        Ok(())
    })
}

#[test]
fn events_are_forwarded_as_they_arrive() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(stream_server_settings(1, 5, ms(150)))?;
        let harness = Harness::start_ready(executor, site).await?;
        let mut late = Vec::new();
        for target in ["/s/x", "/u/x"] {
            let answer = harness.post(target, target).await?;
            ensure_served_by(&answer, &[&server], target)?;
            let first = answer.first_event().expect("an event");
            let last = answer.events.last().expect("an event").after;
            // Four pauses lie between the first and the last.
            late.push(last - first);
        }
        ensure!(late.iter().all(|time| *time > ms(400)), "{late:?}");
        Ok(())
    })
}

#[test]
fn a_client_disconnect_ends_its_stream_at_the_server() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(stream_server_settings(1, 400, ms(50)))?;
        let harness = Harness::start_ready(executor, site).await?;
        for target in ["/s/x", "/u/x"] {
            let call = post(target, target).leaving(ms(200));
            let answer = harness.call(&call).await?;
            ensure!(answer.end == End::Left, "{answer:?}");
            wait_until("left", async || Ok(server.running() == 0)).await?;
        }
        ensure!(
            server.runs().len() == 2,
            "sent again after the client had disconnected"
        );
        Ok(())
    })
}

#[test]
fn a_resume_answered_with_an_error_counts_against_its_server() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(stream_server_settings(1, 8, ms(10)))?;
        let far = site.server(stream_server_settings(2, 8, ms(10)))?;
        let harness = Harness::start_ready(executor, site).await?;
        near.fault(Fault::CutEvent, 1);
        far.fault(Fault::Failure, 1);
        let answer = harness.post("/s/x", "cut").await?;
        ensure!(!answer.complete, "{answer:?}");
        ensure!(far.ran("cut") == 1, "the other server was not reached");
        for server in [&near, &far] {
            let id = server.settings().id.parse()?;
            let backend = harness.router.relay().fleet.get(&id);
            let failing =
                backend.map(|backend| backend.health.failure_rate(tidepier_clock::Instant::now()));
            ensure!(failing > Some(0.0), "{id}: {failing:?}");
        }
        Ok(())
    })
}
