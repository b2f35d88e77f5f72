//! What happens to the operator's configuration after the store was restored from an
//! older backup.
//!
//! Pattern: the store is away for a moment, or not at all, and comes back in a state
//! from before some changes; it assigns their revisions again to other changes. The
//! operator writes again what was lost, after a while.

use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use serde_json::{json, Value};
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::Server;
use tidepier_relay_standin::site::{Route, Site};
use tidepier_relay_standin::store::{Copy, Down};

use crate::box_harness::{
    self, address, site_with_keys, start_boxes_with_reader, wait_until_ready, with_key, Process,
    TestBox, REVOKE_TIME,
};
use crate::harness::{
    ensure_not_executed, ensure_served_by, ms, post, run, server_settings, start_with_one_server,
    wait_until, Executor, Harness, Result, SERVICE,
};

/// Promised time for a change of the catalog to be in force.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// How long a store is away while it is restored.
const AWAY_TIME: Duration = Duration::from_millis(300);
/// Longest time until boxes accept keys again once the operator has written again: as
/// long as a change takes to be in force.
const SERVED_TIME: Duration = APPLY_TIME;

fn route(prefix: &str) -> Route {
    Route::new(prefix, Kind::Repeatable, SERVICE)
}

/// Waits until a route is served.
async fn served(harness: &Harness, prefix: &str) -> Result {
    wait_until("served", async || {
        Ok(harness.post(&format!("{prefix}x"), "probe").await?.status == 200)
    })
    .await
}

/// Checks that a route that was added at `since` is served in time.
async fn in_force(harness: &Harness, prefix: &str, since: Instant) -> Result {
    served(harness, prefix).await?;
    ensure!(since.elapsed() < APPLY_TIME, "{:?}", since.elapsed());
    Ok(())
}

/// Makes the store unreachable for a moment and restores it from the backup `copy`.
pub(crate) async fn restore_after_outage(site: &Site, copy: &Copy) {
    site.store.faults(|faults| faults.down = Some(Down::Reset));
    site.store.cut_watches();
    Timer::after(AWAY_TIME).await;
    site.store.go_back(copy);
    site.store.faults(|faults| faults.down = None);
}

/// The configuration in the store.
fn config(site: &Site) -> Result<Value> {
    let bytes = site.store.value(names::CONFIG);
    Ok(serde_json::from_slice(
        &bytes.ok_or_else(|| eyre!("no configuration"))?,
    )?)
}

/// Checks that a box refuses a request with the revoked key, and that the request has
/// not run.
async fn refused(test_box: &TestBox, server: &Server, attempt: &str) -> Result {
    let answer = test_box.call(&with_key("goes", attempt)).await?;
    ensure!(matches!(answer.status, 401 | 503), "{attempt}: {answer:?}");
    ensure!(server.ran(attempt) == 0, "{attempt} ran");
    Ok(())
}

/// Guards against a configuration being ignored because its revision is lower than that
/// of one that was lost.
#[test]
fn a_configuration_at_a_lower_revision_applies_in_time() -> Result {
    run(async |executor| {
        let (_server, harness) = start_with_one_server(executor).await?;
        let copy = harness.site.store.copy();
        for prefix in ["/a/", "/b/", "/c/"] {
            harness.site.declare(&[route(prefix)]);
            served(&harness, prefix).await?;
        }
        let before = harness.site.store.revision();
        restore_after_outage(&harness.site, &copy).await;
        let since = Instant::now();
        harness.site.declare(&[route("/new/")]);
        ensure!(harness.site.store.revision() < before);
        in_force(&harness, "/new/", since).await
    })
}

/// Guards against an older configuration being confirmed by a revision that was
/// assigned again.
#[test]
fn a_reused_revision_confirms_nothing() -> Result {
    run(async |executor| {
        let (_server, harness) = start_with_one_server(executor).await?;
        // The box writes nothing more, so that revisions count the operator's changes.
        let recorded = || harness.site.store.value("tidepier/releases/service-1");
        wait_until("recorded", async || Ok(recorded().is_some())).await?;
        let copy = harness.site.store.copy();
        harness.site.declare(&[route("/a/")]);
        served(&harness, "/a/").await?;
        let before = harness.site.store.revision();
        harness.site.store.deaf(ms(20_000));
        restore_after_outage(&harness.site, &copy).await;
        let since = Instant::now();
        harness.site.declare(&[route("/new/")]);
        ensure!(harness.site.store.revision() == before);
        in_force(&harness, "/new/", since).await
    })
}

/// Guards against missing a restore during which no call failed.
#[test]
fn a_restore_without_an_outage_is_noticed() -> Result {
    run(async |executor| {
        let (_server, harness) = start_with_one_server(executor).await?;
        let copy = harness.site.store.copy();
        for prefix in ["/a/", "/b/"] {
            harness.site.declare(&[route(prefix)]);
            served(&harness, prefix).await?;
        }
        let version = harness.router.relay().view.version();
        harness.site.store.go_back(&copy);
        Timer::after(ms(1_500)).await;
        ensure!(
            harness.router.relay().view.version() == version,
            "the version decreased"
        );
        served(&harness, "/b/").await?;
        let since = Instant::now();
        harness.site.declare(&[route("/new/")]);
        in_force(&harness, "/new/", since).await
    })
}

/// Guards against taking the second of two restores in quick succession for the end of
/// the first.
#[test]
fn a_second_restore_before_the_first_is_settled_is_settled_anew() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let first = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let second = site.store.copy();
        site.declare(&[route("/a/")]);
        for test_box in &test_boxes {
            wait_until("in force", async || {
                Ok(test_box.call(&post("/a/x", "probe")).await?.status == 200)
            })
            .await?;
        }
        restore_after_outage(&site, &second).await;
        Timer::after(ms(200)).await;
        restore_after_outage(&site, &first).await;
        let start = Instant::now();
        while start.elapsed() < REVOKE_TIME {
            for test_box in &test_boxes {
                refused(test_box, &server, &format!("{:?}", start.elapsed())).await?;
                let answer = test_box.call(&post("/a/x", "kept")).await?;
                ensure_served_by(&answer, &[&server], "kept")?;
            }
            Timer::after(ms(40)).await;
        }
        let since = Instant::now();
        site.declare(&[route("/new/")]);
        for test_box in &test_boxes {
            wait_until("in force", async || {
                Ok(test_box.call(&post("/new/x", "probe")).await?.status == 200)
            })
            .await?;
        }
        ensure!(since.elapsed() < APPLY_TIME, "{:?}", since.elapsed());
        Ok(())
    })
}

/// Guards against a revoked key being accepted again because the backup still has it,
/// while the operator writes again later than the bound on keys.
#[test]
fn a_revoked_key_stays_revoked_while_the_store_is_behind() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 3).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let taken = Instant::now();
        let newest = config(&site)?;
        for test_box in &test_boxes {
            wait_until("refused", async || {
                Ok(test_box.call(&with_key("goes", "probe")).await?.status == 401)
            })
            .await?;
        }
        restore_after_outage(&site, &copy).await;
        while taken.elapsed() < 2 * REVOKE_TIME {
            for test_box in &test_boxes {
                refused(test_box, &server, &format!("{:?}", taken.elapsed())).await?;
            }
            Timer::after(ms(30)).await;
        }
        let since = Instant::now();
        site.store.put_config(&newest);
        wait_until("served", async || {
            let mut all = true;
            for test_box in &test_boxes {
                refused(test_box, &server, &format!("{:?}", taken.elapsed())).await?;
                let answer = test_box.call(&with_key("stays", "again")).await?;
                all &= answer.status == 200;
            }
            Ok(all)
        })
        .await?;
        ensure!(since.elapsed() < SERVED_TIME, "{:?}", since.elapsed());
        Ok(())
    })
}

/// Guards against a box that missed a change and confirms its view by the backup: it
/// was cut off when the key was revoked.
#[test]
fn a_box_that_missed_a_change_does_not_confirm_the_backup() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let knows = TestBox::start(&executor, &site, "box-1", "hall-1", 1_000).await?;
        let misses = TestBox::start(&executor, &site, "box-2", "hall-2", 1_000).await?;
        let test_boxes = [knows, misses];
        wait_until_ready(&test_boxes).await?;
        // Each has listed the other.
        wait_until("listed", async || {
            Ok(test_boxes.iter().all(|it| it.router.relay().boxes() == 2))
        })
        .await?;
        let copy = site.store.copy();
        test_boxes[1].store.cut();
        site.account("tenant-2", &["new"], 1);
        let taken = Instant::now();
        wait_until("refused", async || {
            Ok(test_boxes[0].call(&with_key("goes", "probe")).await?.status == 401)
        })
        .await?;
        site.store.go_back(&copy);
        test_boxes[1].store.restore_link();
        while taken.elapsed() < REVOKE_TIME + ms(1_500) {
            let attempt = format!("{:?}", taken.elapsed());
            let asked = Instant::now();
            let answer = test_boxes[1].call(&with_key("goes", &attempt)).await?;
            if asked > taken + REVOKE_TIME {
                ensure!(matches!(answer.status, 401 | 503), "{attempt}: {answer:?}");
                ensure!(server.ran(&attempt) == 0, "{attempt} ran");
            }
            Timer::after(ms(20)).await;
        }
        Ok(())
    })
}

/// Guards against clients being sent on to another box immediately while no box can
/// serve them.
#[test]
fn clients_are_asked_to_retry_later_while_the_store_is_behind() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let _server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        Timer::after(ms(900)).await;
        restore_after_outage(&site, &copy).await;
        for test_box in &test_boxes {
            let refused = async || {
                let answer = test_box.call(&with_key("stays", "early")).await?;
                Ok(answer.status == 503)
            };
            wait_until("refused", refused).await?;
            let answer = test_box.call(&with_key("stays", "told")).await?;
            ensure!(answer.body == br#"{"error":"behind"}"#, "{answer:?}");
            let wait = answer.field(names::RETRY_AFTER).unwrap_or_default();
            let wait: f64 = wait.parse()?;
            ensure!(wait >= 0.5, "{wait} s");
        }
        Ok(())
    })
}

/// Guards against clients being refused though no operator entry was lost: before the
/// last confirmation is too old, the store's answers are authoritative again.
#[test]
fn keys_stay_accepted_if_the_backup_has_the_version_in_force() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let harness = Harness::start_with_settings(executor, site, |values| {
            values["bounds"]["contact"] = json!(1_500);
            values["bounds"]["revoke_within"] = json!(4_000);
        })
        .await?;
        let copy = harness.site.store.copy();
        harness.site.store.put("another/key", &json!(1));
        restore_after_outage(&harness.site, &copy).await;
        let start = Instant::now();
        while start.elapsed() < ms(5_000) {
            let attempt = format!("{:?}", start.elapsed());
            let answer = harness.call(&with_key("stays", &attempt)).await?;
            ensure_served_by(&answer, &[&server], &attempt)?;
            Timer::after(ms(20)).await;
        }
        Ok(())
    })
}

/// Guards against a key being accepted after its bound because its revocation was lost
/// at the moment it was made, so that no box ever learned of it.
#[test]
fn a_key_whose_revocation_was_lost_is_refused_until_it_is_rewritten() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.store.faults(|faults| faults.down = Some(Down::Reset));
        site.store.cut_watches();
        site.account("tenant-2", &["new"], 1);
        let taken = Instant::now();
        let newest = config(&site)?;
        Timer::after(ms(1_200)).await;
        site.store.go_back(&copy);
        site.store.faults(|faults| faults.down = None);
        let back = Instant::now();
        // The operator takes nearly as long as it takes until the store's answers are
        // authoritative again.
        while back.elapsed() < ms(2_700) {
            for test_box in &test_boxes {
                let attempt = format!("{:?}", taken.elapsed());
                let asked = Instant::now();
                let answer = test_box.call(&with_key("goes", &attempt)).await?;
                if asked > taken + REVOKE_TIME {
                    ensure!(answer.status == 503, "{attempt}: {answer:?}");
                    ensure!(server.ran(&attempt) == 0, "{attempt} ran");
                }
            }
            Timer::after(ms(20)).await;
        }
        site.store.put_config(&newest);
        wait_until_ready(&test_boxes).await?;
        for test_box in &test_boxes {
            refused(test_box, &server, "after").await?;
        }
        box_harness::ensure_served(&test_boxes, &[&server], ms(300)).await
    })
}

/// Guards against a box that starts serving with less than the other boxes know,
/// because it reads the store before the operator has written again.
#[test]
fn a_starting_box_serves_with_what_others_know() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let version = site.declare(&[route("/a/")]);
        for test_box in &test_boxes {
            wait_until("in force", async || {
                Ok(test_box.router.relay().view.version().0 == version)
            })
            .await?;
        }
        restore_after_outage(&site, &copy).await;
        // It has the strongest link, so that it becomes the reader and requests nothing
        // from other boxes first.
        let starts = TestBox::start(&executor, &site, "box-9", "hall-1", 9_000).await?;
        let start = Instant::now();
        while start.elapsed() < ms(2_000) {
            let known = starts.router.relay().view.version().0;
            let answer = starts.call(&post("/a/x", "added")).await?;
            ensure!(answer.status != 404, "{:?}: {answer:?}", start.elapsed());
            refused(&starts, &server, &format!("{:?}", start.elapsed())).await?;
            ensure!(
                known == version || !starts.is_ready(),
                "ready with {known} of {version}"
            );
            Timer::after(ms(10)).await;
        }
        let known = starts.router.relay().view.version().0;
        ensure!(known == version, "{known} of {version}");
        Ok(())
    })
}

/// Guards against keys being accepted by a backup that no box can distinguish from the
/// operator's latest configuration: all boxes started anew before that was written
/// again.
#[test]
fn boxes_that_all_start_anew_accept_no_key_by_a_backup() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let newest = config(&site)?;
        drop(test_boxes);
        restore_after_outage(&site, &copy).await;
        let mut test_boxes = Vec::new();
        for (name, link) in [("box-5", 2_000), ("box-6", 1_000)] {
            test_boxes.push(TestBox::start(&executor, &site, name, "hall-1", link).await?);
        }
        let start = Instant::now();
        while start.elapsed() < REVOKE_TIME - ms(600) {
            for test_box in &test_boxes {
                refused(test_box, &server, &format!("{:?}", start.elapsed())).await?;
            }
            Timer::after(ms(20)).await;
        }
        let since = Instant::now();
        site.store.put_config(&newest);
        wait_until_ready(&test_boxes).await?;
        ensure!(since.elapsed() < SERVED_TIME, "{:?}", since.elapsed());
        for test_box in &test_boxes {
            refused(test_box, &server, "after").await?;
        }
        box_harness::ensure_served(&test_boxes, &[&server], ms(300)).await
    })
}

/// Guards against boxes that start long after a restore and wait for its hold time.
#[test]
fn a_box_that_starts_in_a_settled_era_is_ready_at_once() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let mut test_boxes = start_boxes_with_reader(&executor, &site, 1).await?;
        let copy = site.store.copy();
        restore_after_outage(&site, &copy).await;
        site.account("tenant-2", &["new"], 1);
        wait_until("marked", async || {
            let mark = site.store.value(names::MARK).unwrap_or_default();
            Ok(serde_json::from_slice::<Value>(&mark)? == json!({ "era": site.store.era() }))
        })
        .await?;
        test_boxes.clear();
        let since = Instant::now();
        test_boxes.push(TestBox::start(&executor, &site, "box-7", "hall-1", 1_000).await?);
        wait_until_ready(&test_boxes).await?;
        // Otherwise it would wait for all of that time.
        ensure!(since.elapsed() < REVOKE_TIME / 2, "{:?}", since.elapsed());
        box_harness::ensure_served(&test_boxes, &[&server], ms(100)).await
    })
}

/// Guards against waiting forever for an operator who has nothing to write again, where
/// no box knows that.
#[test]
fn entries_that_nobody_rewrites_settle_after_the_hold_time() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let copy = site.store.copy();
        site.store.go_back(&copy);
        let test_boxes = [TestBox::start(&executor, &site, "box-1", "hall-1", 1_000).await?];
        let start = Instant::now();
        wait_until("ready", async || Ok(test_boxes[0].is_ready())).await?;
        let waited = start.elapsed();
        ensure!(waited > REVOKE_TIME - ms(300), "{waited:?}");
        ensure!(waited < REVOKE_TIME + ms(1_500), "{waited:?}");
        box_harness::ensure_served(&test_boxes, &[&server], ms(100)).await
    })
}

/// Guards against answers of a stale era that arrive after those of the new one.
#[test]
fn a_late_answer_of_a_stale_era_changes_nothing() -> Result {
    run(async |executor| {
        let (_server, harness) = start_with_one_server(executor).await?;
        let copy = harness.site.store.copy();
        harness.site.declare(&[route("/a/")]);
        served(&harness, "/a/").await?;
        // Answers that are made now arrive after the restore.
        harness.site.store.faults(|faults| faults.held = ms(700));
        harness.site.store.cut_watches();
        Timer::after(ms(300)).await;
        harness.site.store.go_back(&copy);
        harness
            .site
            .store
            .faults(|faults| faults.held = Duration::ZERO);
        let since = Instant::now();
        harness.site.declare(&[route("/new/")]);
        in_force(&harness, "/new/", since).await?;
        Timer::after(ms(900)).await;
        served(&harness, "/new/").await?;
        let era_state = &harness.router.relay().era_state;
        let era = era_state.era().map(|era| era.0);
        ensure!(era == Some(harness.site.store.era()), "{era:?}");
        Ok(())
    })
}

/// Guards against a configuration without keys being reported as missing, and against a
/// 404 for a route that the operator added, while the store is behind.
#[test]
fn nothing_is_reported_missing_while_the_store_is_behind() -> Result {
    run(async |executor| {
        let (_server, harness) = start_with_one_server(executor).await?;
        let copy = harness.site.store.copy();
        harness.site.declare(&[route("/a/")]);
        served(&harness, "/a/").await?;
        restore_after_outage(&harness.site, &copy).await;
        // By then the last confirmation is too old.
        Timer::after(APPLY_TIME + ms(200)).await;
        served(&harness, "/a/").await?;
        ensure_not_executed(&harness.post("/b/x", "unknown").await?)?;
        harness.site.declare(&[route("/c/")]);
        wait_until("refused", async || {
            Ok(harness.post("/b/x", "unknown").await?.status == 404)
        })
        .await
    })
}

/// Guards against the followers of a killed reader taking the backup for confirmed.
#[test]
fn a_reader_killed_during_a_restore_is_replaced() -> Result {
    run(async |executor: Executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let peer = address();
        let values = box_harness::settings(&site, "box-9", "hall-1", 9_000, peer);
        let mut reader = Process::start(values.clone(), peer)?;
        wait_until("serving", async || Ok(reader.serves().await)).await?;
        let test_boxes = box_harness::start_boxes(&executor, &site, 2).await?;
        box_harness::wait_for_readers(&test_boxes, &[]).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let newest = config(&site)?;
        for test_box in &test_boxes {
            wait_until("refused", async || {
                Ok(test_box.call(&with_key("goes", "probe")).await?.status == 401)
            })
            .await?;
        }
        restore_after_outage(&site, &copy).await;
        reader.kill()?;
        let _reader = Process::start(values, peer)?;
        let start = Instant::now();
        while start.elapsed() < ms(2_500) {
            for test_box in &test_boxes {
                refused(test_box, &server, &format!("{:?}", start.elapsed())).await?;
            }
            Timer::after(ms(30)).await;
        }
        site.store.put_config(&newest);
        wait_until_ready(&test_boxes).await?;
        box_harness::ensure_served(&test_boxes, &[&server], ms(500)).await
    })
}
