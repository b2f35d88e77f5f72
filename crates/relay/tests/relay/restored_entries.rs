//! What happens to servers, halls, releases and boxes after the store was restored from
//! an older backup.
//!
//! Pattern: entries that the backup lacks are written again within two seconds, or are
//! gone. Backup entries may be of servers that left, of halls whose emptying was
//! cancelled, or of rollout orders that progressed since.

use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use serde_json::{json, Value};
use smol::Timer;
use tidepier_core::server::State;
use tidepier_ids as ids;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Fault, Server};
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::{Copy, Down};

use crate::box_harness::{
    self, site_with_keys, start_boxes_with_reader, wait_until_ready, TestBox, BOXES, REVOKE_TIME,
};
use crate::eras::restore_after_outage;
use crate::harness::{
    ensure_served_by, ms, run, server_settings, site, start_with_one_server,
    start_with_two_servers, wait_until, Harness, Result, SERVICE,
};

/// Time in which servers have written again what the store lost.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);
/// Time in which an unresponsive server loses its entry and this is known here.
const SILENCE_TIME: Duration = Duration::from_millis(4_800);

/// Sends requests for a while; each is answered by one of these servers.
async fn served_by(harness: &Harness, servers: &[&Server], time: Duration) -> Result {
    let start = Instant::now();
    while start.elapsed() < time {
        for path in ["/r/x", "/s/x"] {
            let attempt = format!("{path}-{:?}", start.elapsed());
            ensure_served_by(&harness.post(path, &attempt).await?, servers, &attempt)?;
        }
        Timer::after(ms(10)).await;
    }
    Ok(())
}

async fn removed(harness: &Harness, server: &Server) -> Result {
    wait_until("removed", async || Ok(!harness.knows(server))).await
}

/// Guards against requests to a server that left before the restore and has a backup
/// entry.
#[test]
fn a_removed_server_gets_no_requests_by_a_backup_entry() -> Result {
    for outage in [true, false] {
        run(async |executor| {
            let (near, far, harness) = start_with_two_servers(executor).await?;
            let copy = harness.site.store.copy();
            harness.site.withdraw(&far);
            removed(&harness, &far).await?;
            let before = far.runs().len();
            restore(&harness.site, &copy, outage).await;
            served_by(&harness, &[&near], SILENCE_TIME - ms(800)).await?;
            harness.site.withdraw(&far);
            served_by(&harness, &[&near], ms(1_500)).await?;
            ensure!(far.runs().len() == before, "sent to a server that left");
            Ok(())
        })?;
    }
    Ok(())
}

async fn restore(site: &Site, copy: &Copy, outage: bool) {
    match outage {
        true => restore_after_outage(site, copy).await,
        false => site.store.go_back(copy),
    }
}

/// Guards against requests to a leaving server whose backup entry says that it is
/// ready.
#[test]
fn a_leaving_server_gets_no_requests_by_a_backup_entry() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        let copy = harness.site.store.copy();
        harness.site.announce(&far, State::Draining);
        let id = far.settings().id.parse()?;
        let fleet = &harness.router.relay().fleet;
        wait_until("leaving", async || {
            Ok(fleet
                .get(&id)
                .is_some_and(|it| it.word().leaving().is_some()))
        })
        .await?;
        let before = far.runs().len();
        restore_after_outage(&harness.site, &copy).await;
        served_by(&harness, &[&near], SILENCE_TIME + ms(500)).await?;
        ensure!(far.runs().len() == before, "sent to a server that leaves");
        Ok(())
    })
}

/// Guards against losing a server that joined after the backup and writes its entry
/// again in time, and against keeping one that does not.
#[test]
fn a_server_that_joined_after_the_backup_has_two_seconds() -> Result {
    for outage in [true, false] {
        run(async |executor| {
            let (near, harness) = start_with_one_server(executor).await?;
            let copy = harness.site.store.copy();
            let again = harness.site.server(server_settings(2))?;
            let silent = harness.site.server(server_settings(3))?;
            wait_until("joined", async || {
                Ok(harness.knows(&again) && harness.knows(&silent))
            })
            .await?;
            restore(&harness.site, &copy, outage).await;
            let back = Instant::now();
            while back.elapsed() < REWRITE_TIME - ms(300) {
                ensure!(harness.knows(&again), "after {:?}", back.elapsed());
                served_by(&harness, &[&near, &again, &silent], ms(50)).await?;
            }
            harness.site.announce(&again, State::Ready);
            removed(&harness, &silent).await?;
            ensure!(back.elapsed() < ms(3_500), "{:?}", back.elapsed());
            ensure!(
                harness.knows(&again),
                "removed though it wrote its entry again"
            );
            served_by(&harness, &[&near, &again], ms(300)).await
        })?;
    }
    Ok(())
}

/// Guards against not using a server that had lost its entry and writes it again.
#[test]
fn a_server_that_rewrites_its_entry_is_used_at_once() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        let copy = harness.site.store.copy();
        harness.site.withdraw(&far);
        removed(&harness, &far).await?;
        restore_after_outage(&harness.site, &copy).await;
        Timer::after(ms(500)).await;
        ensure!(!harness.knows(&far), "known by its backup entry alone");
        harness.site.announce(&far, State::Ready);
        let since = Instant::now();
        wait_until("known", async || Ok(harness.knows(&far))).await?;
        ensure!(since.elapsed() < ms(1_000), "{:?}", since.elapsed());
        served_by(&harness, &[&near, &far], ms(200)).await
    })
}

/// Guards against never using a server again that has a backup entry and no reason to
/// write it again.
#[test]
fn a_server_with_only_a_backup_entry_is_used_after_the_hold_time() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        let copy = harness.site.store.copy();
        harness.site.withdraw(&far);
        removed(&harness, &far).await?;
        let back = Instant::now();
        restore_after_outage(&harness.site, &copy).await;
        wait_until("known", async || Ok(harness.knows(&far))).await?;
        ensure!(back.elapsed() > SILENCE_TIME, "{:?}", back.elapsed());
        ensure!(
            back.elapsed() < SILENCE_TIME + ms(1_500),
            "{:?}",
            back.elapsed()
        );
        served_by(&harness, &[&near, &far], ms(200)).await
    })
}

/// Guards against a server's present incarnation being ended by a backup entry of an
/// earlier one.
#[test]
fn a_backup_entry_of_an_earlier_incarnation_does_not_end_the_present_one() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor).await?;
        let born = |birth: u64| {
            harness
                .site
                .announce_with(&far, far.address(), State::Ready, |entry| {
                    entry["born"] = birth.into();
                })
        };
        born(1);
        let id = far.settings().id.parse()?;
        let fleet = &harness.router.relay().fleet;
        let incarnation = || fleet.get(&id).and_then(|it| it.born()).map(|born| born.0);
        wait_until("born", async || Ok(incarnation() == Some(1))).await?;
        let copy = harness.site.store.copy();
        born(2);
        wait_until("born again", async || Ok(incarnation() == Some(2))).await?;
        restore_after_outage(&harness.site, &copy).await;
        let back = Instant::now();
        while back.elapsed() < REWRITE_TIME {
            ensure!(
                incarnation() == Some(2),
                "{:?}: {:?}",
                back.elapsed(),
                incarnation()
            );
            Timer::after(ms(20)).await;
        }
        born(2);
        served_by(&harness, &[&near, &far], ms(300)).await?;
        Timer::after(SILENCE_TIME - REWRITE_TIME + ms(400)).await;
        ensure!(incarnation() == Some(2), "{:?}", incarnation());
        Ok(())
    })
}

/// Guards against requests to an emptied hall because the backup lacks the operator's
/// entry.
#[test]
fn an_emptied_hall_stays_empty_for_the_hold_time() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let far = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        for test_box in &test_boxes {
            wait_until("emptied", async || Ok(!test_box.sends_to(&near)?)).await?;
        }
        let back = Instant::now();
        restore_after_outage(&site, &copy).await;
        while back.elapsed() < REVOKE_TIME - ms(200) {
            for test_box in &test_boxes {
                ensure!(!test_box.sends_to(&near)?, "after {:?}", back.elapsed());
            }
            Timer::after(ms(20)).await;
        }
        site.empty_hall("hall-1");
        Timer::after(REVOKE_TIME).await;
        for test_box in &test_boxes {
            ensure!(
                !test_box.sends_to(&near)?,
                "in use though its entry was written again"
            );
            ensure!(test_box.sends_to(&far)?, "the other hall is not used");
        }
        site.take_back("hall-1");
        for test_box in &test_boxes {
            wait_until("in use again", async || test_box.sends_to(&near)).await?;
        }
        wait_until_ready(&test_boxes).await
    })
}

/// Guards against a box that starts and sends requests to a hall that the other boxes
/// know to be emptied.
#[test]
fn a_starting_box_keeps_halls_empty_as_others_do() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        for test_box in &test_boxes {
            wait_until("emptied", async || Ok(!test_box.sends_to(&near)?)).await?;
        }
        restore_after_outage(&site, &copy).await;
        let back = Instant::now();
        let starts = TestBox::start(&executor, &site, "box-9", "hall-1", 9_000).await?;
        while back.elapsed() < REVOKE_TIME - ms(200) {
            let ready = starts.router.relay().era_state.may_serve();
            let known = starts.router.relay().view.catalog().is_some();
            ensure!(
                !(ready && known && starts.sends_to(&near)?),
                "after {:?}",
                back.elapsed()
            );
            Timer::after(ms(5)).await;
        }
        Ok(())
    })
}

/// Guards against a hall that is never used again because its entry is gone for good.
#[test]
fn an_emptied_hall_whose_entry_is_not_rewritten_is_used_after_the_hold_time() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        for test_box in &test_boxes {
            wait_until("emptied", async || Ok(!test_box.sends_to(&near)?)).await?;
        }
        let back = Instant::now();
        restore_after_outage(&site, &copy).await;
        for test_box in &test_boxes {
            wait_until("in use again", async || test_box.sends_to(&near)).await?;
        }
        let took = back.elapsed();
        ensure!(took < REVOKE_TIME + ms(2_500), "{took:?}");
        Ok(())
    })
}

/// Guards against a hall that is never used again because the store is restored once
/// more when the hold time of the first restore is over.
#[test]
fn a_hall_is_used_again_after_two_restores_in_a_row() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        for test_box in &test_boxes {
            wait_until("emptied", async || Ok(!test_box.sends_to(&near)?)).await?;
        }
        restore_after_outage(&site, &copy).await;
        Timer::after(REVOKE_TIME - ms(300)).await;
        site.store.faults(|faults| faults.down = Some(Down::Reset));
        site.store.cut_watches();
        Timer::after(ms(900)).await;
        site.store.go_back(&copy);
        site.store.faults(|faults| faults.down = None);
        let back = Instant::now();
        // A box that starts learns from the other boxes that the hall is emptied.
        let starts = TestBox::start(&executor, &site, "box-9", "hall-1", 9_000).await?;
        for test_box in test_boxes.iter().chain([&starts]) {
            wait_until("in use again", async || test_box.sends_to(&near)).await?;
        }
        let took = back.elapsed();
        ensure!(took < REVOKE_TIME + ms(2_500), "{took:?}");
        Ok(())
    })
}

/// Guards against a hall that is never used again because the box was frozen from one
/// restore until after the next one, and learns of the second as the hold time
/// of the first ends.
#[test]
fn a_hall_is_used_again_by_a_box_frozen_between_two_restores() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 1).await?;
        let test_box = &test_boxes[0];
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        wait_until("emptied", async || Ok(!test_box.sends_to(&near)?)).await?;
        restore_after_outage(&site, &copy).await;
        let era = site.store.era();
        wait_until("noticed", async || {
            let known = test_box.router.relay().era_state.era();
            Ok(known.is_some_and(|known| known.0 == era))
        })
        .await?;
        test_box.freeze(true);
        site.store.cut_watches();
        site.store.go_back(&copy);
        Timer::after(REVOKE_TIME + ms(600)).await;
        test_box.freeze(false);
        let thawed = Instant::now();
        wait_until("in use again", async || test_box.sends_to(&near)).await?;
        let took = thawed.elapsed();
        ensure!(took < REVOKE_TIME + ms(2_500), "{took:?}");
        Ok(())
    })
}

/// Guards against a hall being kept empty, because the backup lacks its entry, by a box
/// that was frozen while the operator cancelled the emptying.
#[test]
fn a_hall_whose_cancellation_was_missed_is_used_at_once_after_a_restore() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 1).await?;
        let test_box = &test_boxes[0];
        site.empty_hall("hall-1");
        wait_until("emptied", async || Ok(!test_box.sends_to(&near)?)).await?;
        test_box.freeze(true);
        site.take_back("hall-1");
        let copy = site.store.copy();
        Timer::after(REVOKE_TIME + ms(400)).await;
        site.store.cut_watches();
        site.store.go_back(&copy);
        test_box.freeze(false);
        let thawed = Instant::now();
        wait_until("used", async || test_box.sends_to(&near)).await?;
        ensure!(thawed.elapsed() < ms(2_000), "{:?}", thawed.elapsed());
        Ok(())
    })
}

/// Guards against a hall being emptied by a backup entry after the operator cancelled
/// the emptying.
#[test]
fn a_cancelled_emptying_is_not_revived_by_a_backup_entry() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let far = site.server(server_settings(2))?;
        site.empty_hall("hall-1");
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.take_back("hall-1");
        for test_box in &test_boxes {
            wait_until("in use again", async || test_box.sends_to(&near)).await?;
        }
        let back = tidepier_clock::Instant::now();
        restore_after_outage(&site, &copy).await;
        while back.elapsed() < REVOKE_TIME - ms(200) {
            for test_box in &test_boxes {
                ensure!(test_box.sends_to(&near)?, "after {:?}", back.elapsed());
            }
            Timer::after(ms(20)).await;
        }
        site.account("tenant-2", &["new"], 1);
        wait_until("confirmed", async || {
            let is_confirmed =
                |test_box: &TestBox| test_box.confirmed_at().is_some_and(|at| at > back);
            Ok(test_boxes.iter().all(is_confirmed))
        })
        .await?;
        box_harness::ensure_served(&test_boxes, &[&near, &far], ms(200)).await
    })
}

fn status(harness: &Harness) -> Result<Option<String>> {
    let value = harness
        .site
        .store
        .value(&format!("status/rollout/{SERVICE}"));
    let Some(value) = value else {
        return Ok(None);
    };
    let value: Value = serde_json::from_slice(&value)?;
    Ok(value["state"].as_str().map(str::to_owned))
}

fn order(harness: &Harness) {
    let order = json!({ "service": SERVICE, "target_version": "v2", "duration_s": 20.0 });
    let key = format!("op/rollout/{SERVICE}");
    harness.site.store.put(&key, &order);
}

/// Adds servers with a release that fails to those of a box; returns them.
async fn failing(harness: &Harness) -> Result<Vec<Server>> {
    let mut servers = Vec::new();
    for number in 11..17 {
        let server = Server::start(server_settings(number))?;
        let address = server.address();
        harness
            .site
            .announce_with(&server, address, State::Ready, |entry| {
                entry["version"] = "v2".into();
            });
        server.fault(Fault::Failure, u32::MAX);
        servers.push(server);
    }
    wait_until("joined", async || {
        Ok(servers.iter().all(|server| harness.knows(server)))
    })
    .await?;
    Ok(servers)
}

async fn rolled_back(harness: &Harness) -> Result {
    let start = Instant::now();
    while status(harness)?.as_deref() != Some("rolled_back") {
        ensure!(start.elapsed() < ms(8_000), "never rolled back");
        harness
            .post("/r/x", &format!("{:?}", start.elapsed()))
            .await?;
        Timer::after(ms(4)).await;
    }
    Ok(())
}

/// Guards against a release being tried again after its rollback, because the backup is
/// from before the rollback or before the order.
#[test]
fn a_rolled_back_release_stays_rolled_back() -> Result {
    for behind_order in [false, true] {
        run(async |executor| {
            let site = site()?;
            let _old = [
                site.server(server_settings(1))?,
                site.server(server_settings(2))?,
            ];
            let harness = Harness::start_with_settings(executor, site, |values| {
                values["bounds"]["exposure_share"] = json!(0.4);
            })
            .await?;
            let servers = failing(&harness).await?;
            let before = harness.site.store.copy();
            order(&harness);
            wait_until("in progress", async || Ok(status(&harness)?.is_some())).await?;
            let begun = harness.site.store.copy();
            rolled_back(&harness).await?;
            let got = || -> usize { servers.iter().map(|server| server.runs().len()).sum() };
            let tried = got();
            restore_after_outage(&harness.site, if behind_order { &before } else { &begun }).await;
            let back = Instant::now();
            let mut number = 0;
            while back.elapsed() < ms(1_500) {
                number += 1;
                harness.post("/r/x", &format!("after-{number}")).await?;
            }
            if behind_order {
                order(&harness);
            }
            wait_until("written again", async || {
                number += 1;
                harness.post("/r/x", &format!("after-{number}")).await?;
                Ok(status(&harness)?.as_deref() == Some("rolled_back"))
            })
            .await?;
            while back.elapsed() < ms(6_500) {
                number += 1;
                harness.post("/r/x", &format!("after-{number}")).await?;
                Timer::after(ms(5)).await;
            }
            ensure!(got() == tried, "{} more than {tried}", got() - tried);
            let state = status(&harness)?;
            ensure!(state.as_deref() == Some("rolled_back"), "{state:?}");
            Ok(())
        })?;
    }
    Ok(())
}

/// Guards against boxes that no other lists any more because the backup lacks their
/// entries, and against all of them calling the store at once.
#[test]
fn boxes_that_the_backup_lacks_are_registered_again() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let copy = site.store.copy();
        let test_boxes = start_boxes_with_reader(&executor, &site, 4).await?;
        let before = site.store.keys(BOXES).len();
        ensure!(before == 4, "{before}");
        let calls: u64 = site.store.all_calls().values().sum();
        restore_after_outage(&site, &copy).await;
        ensure!(site.store.keys(BOXES).is_empty());
        wait_until("registered", async || Ok(site.store.keys(BOXES).len() == 4)).await?;
        let made = site.store.all_calls().values().sum::<u64>() - calls;
        // Each box needs its entry, a lease and a write; the readers also read and
        // check.
        ensure!(made < 80, "{made} calls");
        box_harness::ensure_served(&test_boxes, &[&server], ms(300)).await
    })
}

/// Guards against boxes that follow one which has not observed the restore.
#[test]
fn a_box_of_a_stale_era_is_not_followed() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 3).await?;
        let copy = site.store.copy();
        let known = site.account("tenant-2", &["newer"], 1);
        let version = |test_box: &TestBox| test_box.router.relay().view.version().0;
        wait_until("in force", async || {
            Ok(test_boxes.iter().all(|it| version(it) == known))
        })
        .await?;
        test_boxes[0].store.make_unresponsive();
        site.store.go_back(&copy);
        let newest = site.account("tenant-2", &["newest"], 1);
        wait_until("in force", async || {
            Ok(test_boxes[1..].iter().all(|it| version(it) == newest))
        })
        .await?;
        // The first one answers the others again as soon as it has observed the
        // restore.
        test_boxes[0].store.restore_link();
        wait_until("in force", async || Ok(version(&test_boxes[0]) == newest)).await?;
        let mended = Instant::now();
        wait_until("confirmed", async || {
            let confirmed_at = test_boxes[0].confirmed_at();
            Ok(confirmed_at.is_some_and(|at| at.elapsed() < ms(500)))
        })
        .await?;
        ensure!(mended.elapsed() < ms(2_500), "{:?}", mended.elapsed());
        let start = Instant::now();
        while start.elapsed() < ms(2_000) {
            for test_box in &test_boxes {
                ensure!(version(test_box) == newest, "{}", version(test_box));
            }
            box_harness::ensure_served(&test_boxes, &[&server], ms(50)).await?;
        }
        Ok(())
    })
}

/// Guards against unreadable backup entries being taken for servers.
#[test]
fn unreadable_backup_entries_are_not_servers() -> Result {
    run(async |executor| {
        let (near, harness) = start_with_one_server(executor).await?;
        harness
            .site
            .store
            .put_bytes(&format!("{}x", names::SERVERS), b"?".to_vec());
        let copy = harness.site.store.copy();
        harness.site.store.remove(&format!("{}x", names::SERVERS));
        restore_after_outage(&harness.site, &copy).await;
        served_by(&harness, &[&near], ms(600)).await?;
        let id: ids::Server = "x".parse().map_err(|error| eyre!("{error}"))?;
        ensure!(harness.router.relay().fleet.get(&id).is_none(), "known");
        Ok(())
    })
}
