//! Entries of servers in the store: the effect of a change, and the grace period after
//! an outage of the store, during which a missing entry does not count as deleted.

use std::time::Duration;

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::server::State;
use tidepier_relay::follow::availability::Availability;
use tidepier_relay_standin::server::Server;
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::Down;
use tidepier_relay_standin::Client;

use crate::box_harness::{start_boxes_with_reader, wait_for_readers, wait_until_ready, TestBox};
use crate::harness::{
    ensure_served_by, ms, post, run, server_settings, site, stream_server_settings, wait_until,
    Harness, Result,
};

/// Time after the end of an outage from which a missing entry counts as deleted; the
/// default of the settings.
const GRACE_PERIOD: Duration = Duration::from_millis(3_000);
/// Time in which running servers have written their entries again.
const RETURN_TIME: Duration = Duration::from_millis(2_000);
/// How late a test may notice an event.
const NOTICE_TIME: Duration = Duration::from_millis(150);

/// All calls to the store so far.
fn calls(site: &Site) -> u64 {
    site.store.all_calls().values().sum()
}

fn make_unresponsive(site: &Site) {
    site.store.faults(|faults| faults.down = Some(Down::Silent));
}

/// Ends an outage right after a call was lost: this is when the caller notices the
/// return as late as possible.
async fn end_outage_unnoticed(site: &Site) -> Result<Instant> {
    let before = calls(site);
    let start = Instant::now();
    while calls(site) == before {
        ensure!(start.elapsed() < ms(5_000), "no calls to the store");
        Timer::after(ms(1)).await;
    }
    site.store.faults(|faults| faults.down = None);
    Ok(Instant::now())
}

async fn dropped(test_box: &TestBox, server: &Server) -> Result {
    wait_until("dropped", async || Ok(!test_box.knows(server))).await
}

#[test]
fn the_grace_period_ends_before_missing_entries_must_count() -> Result {
    run(async |executor| {
        let site = site()?;
        let lost = site.server(server_settings(1))?;
        let _stays = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        for _ in 0..2 {
            make_unresponsive(&site);
            // The retry delays between calls grow.
            Timer::after(ms(2_500)).await;
            site.withdraw(&lost);
            let back = end_outage_unnoticed(&site).await?;
            for test_box in &test_boxes {
                dropped(test_box, &lost).await?;
            }
            let most = GRACE_PERIOD + NOTICE_TIME;
            ensure!(back.elapsed() < most, "{:?}", back.elapsed());
            site.announce(&lost, State::Ready);
            for test_box in &test_boxes {
                wait_until("back", async || test_box.sends_to(&lost)).await?;
            }
        }
        Ok(())
    })
}

#[test]
fn a_new_reader_has_no_grace_period_long_after_an_outage() -> Result {
    run(async |executor| {
        let site = site()?;
        let gone = site.server(server_settings(1))?;
        let _stays = site.server(server_settings(2))?;
        let mut test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        make_unresponsive(&site);
        let second = &test_boxes[1];
        wait_until("noticed", async || Ok(second.store.request_bytes() > 0)).await?;
        Timer::after(ms(2_500)).await;
        site.store.faults(|faults| faults.down = None);
        wait_for_readers(&test_boxes, &[0]).await?;
        Timer::after(GRACE_PERIOD).await;
        // The store was reachable for long; the reader stops, and the other box takes
        // its place.
        drop(test_boxes.remove(0));
        let withdrawn = Instant::now();
        site.withdraw(&gone);
        dropped(&test_boxes[0], &gone).await?;
        ensure!(withdrawn.elapsed() < ms(2_000), "{:?}", withdrawn.elapsed());
        wait_until_ready(&test_boxes).await
    })
}

#[test]
fn the_grace_period_lasts_while_entries_return() {
    let grace_period = GRACE_PERIOD;
    let start = Instant::now();
    let at = |count| start + ms(count);
    let availability = Availability::default();
    assert!(availability.is_authoritative(at(0)));
    assert!(availability.record_failure(at(0)));
    assert!(!availability.record_failure(at(1_000)));
    assert!(!availability.is_authoritative(at(60_000)));
    // The store came back between 1.0 s and 1.3 s.
    assert!(availability.record_recovery(at(1_300), grace_period));
    assert!(!availability.record_recovery(at(1_400), grace_period));
    assert!(!availability.is_authoritative(at(1_300) + RETURN_TIME));
    assert!(availability.is_authoritative(at(1_000) + grace_period - ms(499)));
}

#[test]
fn a_late_noticed_return_does_not_extend_the_grace_period() {
    let start = Instant::now();
    let at = |count| start + ms(count);
    let availability = Availability::default();
    availability.record_failure(at(0));
    // The call that was sent earlier is known to have failed after the later one.
    availability.record_failure(at(500));
    availability.record_failure(at(200));
    availability.record_recovery(at(2_300), GRACE_PERIOD);
    assert!(!availability.is_authoritative(at(2_900)));
    assert!(availability.is_authoritative(at(3_001)));
    // A box that followed another one for long after its last failure.
    availability.record_failure(at(4_000));
    availability.record_recovery(at(60_000), GRACE_PERIOD);
    assert!(availability.is_authoritative(at(60_000)));
}

#[test]
fn changed_slots_are_applied() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let id = server.settings().id.parse()?;
        let key = format!("{}{id}", tidepier_relay_standin::names::SERVERS);
        let entry = site.store.value(&key).ok_or_else(|| eyre!("no entry"))?;
        let mut entry: serde_json::Value = serde_json::from_slice(&entry)?;
        entry["slots"] = 48.into();
        site.store.put(&key, &entry);
        for test_box in &test_boxes {
            let fleet = &test_box.router.relay().fleet;
            wait_until("applied", async || {
                Ok(fleet.get(&id).is_some_and(|known| known.slots() == 48))
            })
            .await?;
        }
        Ok(())
    })
}

#[test]
fn a_server_that_joins_another_service_is_removed_from_the_old_one() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let harness = Harness::start_ready(executor, site).await?;
        let mut other = server_settings(1);
        other.service = "service-2".into();
        let other = harness.site.server(other)?;
        let fleet = &harness.router.relay().fleet;
        let old = server.settings().service.parse()?;
        let new = other.settings().service.parse()?;
        wait_until("moved", async || Ok(fleet.serving(&new).len() == 1)).await?;
        ensure!(fleet.serving(&old).is_empty(), "in both services");
        Ok(())
    })
}

#[test]
fn a_stream_continues_at_a_server_whose_entry_is_deleted() -> Result {
    run(async |executor| {
        let site = site()?;
        let gone = site.server(stream_server_settings(1, 20, ms(100)))?;
        let harness = Harness::start_ready(executor.clone(), site).await?;
        let front = harness.router_address();
        let call = post("/u/x", "long");
        let stream = executor.spawn(async move { Client::once(front, &call).await });
        wait_until("started", async || Ok(gone.running() == 1)).await?;
        let stays = harness.site.server(stream_server_settings(2, 20, ms(1)))?;
        // It never advertises that it is leaving.
        harness.site.withdraw(&gone);
        let fleet = &harness.router.relay().fleet;
        let id = gone.settings().id.parse()?;
        wait_until("dropped", async || Ok(fleet.get(&id).is_none())).await?;
        let answer = harness.post("/u/x", "other").await?;
        ensure_served_by(&answer, &[&stays], "other")?;
        ensure_served_by(&stream.await?, &[&gone], "long")
    })
}

#[test]
fn a_rewritten_equal_entry_is_no_change() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let harness = Harness::start_ready(executor, site).await?;
        let fleet = &harness.router.relay().fleet;
        let id = server.settings().id.parse()?;
        let before = fleet.get(&id).ok_or_else(|| eyre!("unknown"))?;
        for _ in 0..3 {
            // Only its sequence differs.
            harness.site.announce(&server, State::Ready);
            Timer::after(ms(100)).await;
        }
        // Nothing from the server for longer than three heartbeats.
        let start = Instant::now();
        while start.elapsed() < ms(4_000) {
            Timer::after(ms(200)).await;
            let attempt = format!("{:?}", start.elapsed());
            ensure_served_by(&harness.post("/r/x", &attempt).await?, &[&server], &attempt)?;
        }
        let after = fleet.get(&id).ok_or_else(|| eyre!("dropped"))?;
        ensure!(std::rc::Rc::ptr_eq(&before, &after), "removed in between");
        Ok(())
    })
}
