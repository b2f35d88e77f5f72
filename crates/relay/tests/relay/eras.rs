//! What a box believes of the operator's configuration after the store went back to an
//! older copy of itself.
//!
//! Pattern: the store is away for a moment, or not at all, and comes back as it was
//! before some changes; its revisions are given out again. The operator writes again
//! what is gone, after a while.

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
    self, address, ready, site_with_keys, started, with_key, Process, TestBox, REVOKE_TIME,
};
use crate::harness::{
    ensure_not_executed, ensure_served_by, ms, post, run, server_settings, start_with_one_server,
    wait_until, Executor, Harness, Result, SERVICE,
};

/// Promised time for a change of the catalog.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// How long a store is away that goes back.
const AWAY_TIME: Duration = Duration::from_millis(300);
/// Longest time until boxes serve by keys again once the operator has written again:
/// as long as a change takes to be in force.
const SERVED_TIME: Duration = APPLY_TIME;

fn route(prefix: &str) -> Route {
    Route::new(prefix, Kind::Repeatable, SERVICE)
}

/// Waits until a route is served.
async fn served(house: &Harness, prefix: &str) -> Result {
    wait_until("served", async || {
        Ok(house.post(&format!("{prefix}x"), "probe").await?.status == 200)
    })
    .await
}

/// Checks that a route that was added at `since` is served in time.
async fn in_force(house: &Harness, prefix: &str, since: Instant) -> Result {
    served(house, prefix).await?;
    ensure!(since.elapsed() < APPLY_TIME, "{:?}", since.elapsed());
    Ok(())
}

/// Has the store be away for a moment and come back as the copy.
pub(crate) async fn drill(site: &Site, copy: &Copy) {
    site.store.faults(|faults| faults.down = Some(Down::Reset));
    site.store.cut_watches();
    Timer::after(AWAY_TIME).await;
    site.store.go_back(copy);
    site.store.faults(|faults| faults.down = None);
}

/// The configuration as the store has it.
fn config(site: &Site) -> Result<Value> {
    let bytes = site.store.value(names::CONFIG);
    Ok(serde_json::from_slice(
        &bytes.ok_or_else(|| eyre!("no configuration"))?,
    )?)
}

/// The status that a box answers to a request with a key that was taken away; the
/// request has not run.
async fn refused(machine: &TestBox, server: &Server, attempt: &str) -> Result {
    let answer = machine.call(&with_key("goes", attempt)).await?;
    ensure!(matches!(answer.status, 401 | 503), "{attempt}: {answer:?}");
    ensure!(server.ran(attempt) == 0, "{attempt} ran");
    Ok(())
}

/// Guards against a configuration being left out as its revision is lower than that of
/// one that is gone.
#[test]
fn a_configuration_at_a_lower_revision_is_in_force_in_time() -> Result {
    run(async |executor| {
        let (_server, house) = start_with_one_server(executor).await?;
        let copy = house.site.store.copy();
        for prefix in ["/a/", "/b/", "/c/"] {
            house.site.declare(&[route(prefix)]);
            served(&house, prefix).await?;
        }
        let before = house.site.store.revision();
        drill(&house.site, &copy).await;
        let since = Instant::now();
        house.site.declare(&[route("/new/")]);
        ensure!(house.site.store.revision() < before);
        in_force(&house, "/new/", since).await
    })
}

/// Guards against an older configuration being proven by a revision that was given out
/// again.
#[test]
fn a_revision_that_is_given_out_again_proves_nothing() -> Result {
    run(async |executor| {
        let (_server, house) = start_with_one_server(executor).await?;
        let copy = house.site.store.copy();
        house.site.declare(&[route("/a/")]);
        served(&house, "/a/").await?;
        let before = house.site.store.revision();
        house.site.store.deaf(ms(20_000));
        drill(&house.site, &copy).await;
        let since = Instant::now();
        house.site.declare(&[route("/new/")]);
        ensure!(house.site.store.revision() == before);
        in_force(&house, "/new/", since).await
    })
}

/// Guards against a return that no failed call showed.
#[test]
fn a_return_without_an_outage_is_noticed() -> Result {
    run(async |executor| {
        let (_server, house) = start_with_one_server(executor).await?;
        let copy = house.site.store.copy();
        for prefix in ["/a/", "/b/"] {
            house.site.declare(&[route(prefix)]);
            served(&house, prefix).await?;
        }
        let version = house.router.relay().view.version();
        house.site.store.go_back(&copy);
        Timer::after(ms(1_500)).await;
        ensure!(house.router.relay().view.version() == version, "it fell");
        served(&house, "/b/").await?;
        let since = Instant::now();
        house.site.declare(&[route("/new/")]);
        in_force(&house, "/new/", since).await
    })
}

/// Guards against the second of two returns in quick succession being taken for the end
/// of the first.
#[test]
fn a_second_return_before_the_first_is_over_is_weighed_anew() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let first = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let machines = started(&executor, &site, 2).await?;
        let second = site.store.copy();
        site.declare(&[route("/a/")]);
        for machine in &machines {
            wait_until("in force", async || {
                Ok(machine.call(&post("/a/x", "probe")).await?.status == 200)
            })
            .await?;
        }
        drill(&site, &second).await;
        Timer::after(ms(200)).await;
        drill(&site, &first).await;
        let start = Instant::now();
        while start.elapsed() < REVOKE_TIME {
            for machine in &machines {
                refused(machine, &server, &format!("{:?}", start.elapsed())).await?;
                let answer = machine.call(&post("/a/x", "kept")).await?;
                ensure_served_by(&answer, &[&server], "kept")?;
            }
            Timer::after(ms(40)).await;
        }
        let since = Instant::now();
        site.declare(&[route("/new/")]);
        for machine in &machines {
            wait_until("in force", async || {
                Ok(machine.call(&post("/new/x", "probe")).await?.status == 200)
            })
            .await?;
        }
        ensure!(since.elapsed() < APPLY_TIME, "{:?}", since.elapsed());
        Ok(())
    })
}

/// Guards against a key that opens again as the store's copy still has it: the operator
/// writes again later than the bound on keys.
#[test]
fn a_key_that_was_taken_away_stays_so_while_the_store_is_behind() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let machines = started(&executor, &site, 3).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let taken = Instant::now();
        let newest = config(&site)?;
        for machine in &machines {
            wait_until("refused", async || {
                Ok(machine.call(&with_key("goes", "probe")).await?.status == 401)
            })
            .await?;
        }
        drill(&site, &copy).await;
        while taken.elapsed() < 2 * REVOKE_TIME {
            for machine in &machines {
                refused(machine, &server, &format!("{:?}", taken.elapsed())).await?;
            }
            Timer::after(ms(30)).await;
        }
        let since = Instant::now();
        site.store.put_config(&newest);
        wait_until("served", async || {
            let mut all = true;
            for machine in &machines {
                refused(machine, &server, &format!("{:?}", taken.elapsed())).await?;
                let answer = machine.call(&with_key("stays", "again")).await?;
                all &= answer.status == 200;
            }
            Ok(all)
        })
        .await?;
        ensure!(since.elapsed() < SERVED_TIME, "{:?}", since.elapsed());
        Ok(())
    })
}

/// Guards against a box that knows less than others, and proves it by what the store
/// went back to: it was cut off when the key was taken away.
#[test]
fn a_box_that_missed_a_change_does_not_prove_what_the_copy_has() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let knows = TestBox::start(&executor, &site, "box-1", "hall-1", 1_000).await?;
        let misses = TestBox::start(&executor, &site, "box-2", "hall-2", 1_000).await?;
        let machines = [knows, misses];
        ready(&machines).await?;
        // Each has listed the other.
        wait_until("listed", async || {
            Ok(machines.iter().all(|it| it.router.relay().boxes() == 2))
        })
        .await?;
        let copy = site.store.copy();
        machines[1].store.cut();
        site.account("tenant-2", &["new"], 1);
        let taken = Instant::now();
        wait_until("refused", async || {
            Ok(machines[0].call(&with_key("goes", "probe")).await?.status == 401)
        })
        .await?;
        site.store.go_back(&copy);
        machines[1].store.mend();
        while taken.elapsed() < REVOKE_TIME + ms(1_500) {
            let attempt = format!("{:?}", taken.elapsed());
            let asked = Instant::now();
            let answer = machines[1].call(&with_key("goes", &attempt)).await?;
            if asked > taken + REVOKE_TIME {
                ensure!(matches!(answer.status, 401 | 503), "{attempt}: {answer:?}");
                ensure!(server.ran(&attempt) == 0, "{attempt} ran");
            }
            Timer::after(ms(20)).await;
        }
        Ok(())
    })
}

/// Guards against callers being sent to another box at once while none is better off.
#[test]
fn callers_come_back_later_while_the_store_is_behind() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let _server = site.server(server_settings(1))?;
        let machines = started(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        Timer::after(ms(900)).await;
        drill(&site, &copy).await;
        for machine in &machines {
            let refused = async || {
                let answer = machine.call(&with_key("stays", "early")).await?;
                Ok(answer.status == 503)
            };
            wait_until("refused", refused).await?;
            let answer = machine.call(&with_key("stays", "told")).await?;
            ensure!(answer.body == br#"{"error":"behind"}"#, "{answer:?}");
            let wait = answer.field(names::RETRY_AFTER).unwrap_or_default();
            let wait: f64 = wait.parse()?;
            ensure!(wait >= 0.5, "{wait} s");
        }
        Ok(())
    })
}

/// Guards against callers being refused though nothing of the operator's was lost: by the
/// time the proof of before is too old, the store's word counts again.
#[test]
fn keys_are_served_on_where_the_copy_has_the_version_in_force() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let house = Harness::start_with_settings(executor, site, |told| {
            told["bounds"]["contact"] = json!(1_500);
            told["bounds"]["revoke_within"] = json!(4_000);
        })
        .await?;
        let copy = house.site.store.copy();
        house.site.store.put("another/key", &json!(1));
        drill(&house.site, &copy).await;
        let start = Instant::now();
        while start.elapsed() < ms(5_000) {
            let attempt = format!("{:?}", start.elapsed());
            let answer = house.call(&with_key("stays", &attempt)).await?;
            ensure_served_by(&answer, &[&server], &attempt)?;
            Timer::after(ms(20)).await;
        }
        Ok(())
    })
}

/// Guards against a key that opens after its bound as its change was lost in the moment in
/// which it was made, so that no box ever heard of it.
#[test]
fn a_key_whose_end_was_lost_at_once_opens_nothing_until_it_is_written_again() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let machines = started(&executor, &site, 2).await?;
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
        // The operator takes nearly as long as the store's word needs to count again.
        while back.elapsed() < ms(2_700) {
            for machine in &machines {
                let attempt = format!("{:?}", taken.elapsed());
                let asked = Instant::now();
                let answer = machine.call(&with_key("goes", &attempt)).await?;
                if asked > taken + REVOKE_TIME {
                    ensure!(answer.status == 503, "{attempt}: {answer:?}");
                    ensure!(server.ran(&attempt) == 0, "{attempt} ran");
                }
            }
            Timer::after(ms(20)).await;
        }
        site.store.put_config(&newest);
        ready(&machines).await?;
        for machine in &machines {
            refused(machine, &server, "after").await?;
        }
        box_harness::served(&machines, &[&server], ms(300)).await
    })
}

/// Guards against a box that begins with less than the boxes beside it know, as it reads
/// the store before the operator has written again.
#[test]
fn a_box_that_starts_begins_with_what_others_know() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let machines = started(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let version = site.declare(&[route("/a/")]);
        for machine in &machines {
            wait_until("in force", async || {
                Ok(machine.router.relay().view.version().0 == version)
            })
            .await?;
        }
        drill(&site, &copy).await;
        // The strongest link, so that it reads the store and asks nobody before it.
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

/// Guards against keys being opened by a copy that no box can tell from what the operator
/// wrote last: all boxes started anew before it was written again.
#[test]
fn boxes_that_all_start_anew_open_no_key_by_a_copy() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let machines = started(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let newest = config(&site)?;
        drop(machines);
        drill(&site, &copy).await;
        let mut machines = Vec::new();
        for (name, link) in [("box-5", 2_000), ("box-6", 1_000)] {
            machines.push(TestBox::start(&executor, &site, name, "hall-1", link).await?);
        }
        let start = Instant::now();
        while start.elapsed() < REVOKE_TIME - ms(600) {
            for machine in &machines {
                refused(machine, &server, &format!("{:?}", start.elapsed())).await?;
            }
            Timer::after(ms(20)).await;
        }
        let since = Instant::now();
        site.store.put_config(&newest);
        ready(&machines).await?;
        ensure!(since.elapsed() < SERVED_TIME, "{:?}", since.elapsed());
        for machine in &machines {
            refused(machine, &server, "after").await?;
        }
        box_harness::served(&machines, &[&server], ms(300)).await
    })
}

/// Guards against boxes that start long after a return and wait for what is over.
#[test]
fn a_box_that_starts_in_an_era_that_is_whole_is_ready_at_once() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let mut machines = started(&executor, &site, 1).await?;
        let copy = site.store.copy();
        drill(&site, &copy).await;
        site.account("tenant-2", &["new"], 1);
        wait_until("marked", async || {
            let mark = site.store.value(names::MARK).unwrap_or_default();
            Ok(serde_json::from_slice::<Value>(&mark)? == json!({ "era": site.store.era() }))
        })
        .await?;
        machines.clear();
        let since = Instant::now();
        machines.push(TestBox::start(&executor, &site, "box-7", "hall-1", 1_000).await?);
        ready(&machines).await?;
        // It would wait for the whole of that time.
        ensure!(since.elapsed() < REVOKE_TIME / 2, "{:?}", since.elapsed());
        box_harness::served(&machines, &[&server], ms(100)).await
    })
}

/// Guards against waiting forever for an operator who has nothing to write again, where
/// no box knows that.
#[test]
fn what_nobody_writes_again_is_believed_after_a_while() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let copy = site.store.copy();
        site.store.go_back(&copy);
        let machines = [TestBox::start(&executor, &site, "box-1", "hall-1", 1_000).await?];
        let start = Instant::now();
        wait_until("ready", async || Ok(machines[0].is_ready())).await?;
        let waited = start.elapsed();
        ensure!(waited > REVOKE_TIME - ms(300), "{waited:?}");
        ensure!(waited < REVOKE_TIME + ms(1_500), "{waited:?}");
        box_harness::served(&machines, &[&server], ms(100)).await
    })
}

/// Guards against answers of the former era that arrive after those of the new one.
#[test]
fn a_late_answer_of_the_former_era_changes_nothing() -> Result {
    run(async |executor| {
        let (_server, house) = start_with_one_server(executor).await?;
        let copy = house.site.store.copy();
        house.site.declare(&[route("/a/")]);
        served(&house, "/a/").await?;
        // Answers that are made now leave after the return.
        house.site.store.faults(|faults| faults.held = ms(700));
        house.site.store.cut_watches();
        Timer::after(ms(300)).await;
        house.site.store.go_back(&copy);
        house
            .site
            .store
            .faults(|faults| faults.held = Duration::ZERO);
        let since = Instant::now();
        house.site.declare(&[route("/new/")]);
        in_force(&house, "/new/", since).await?;
        Timer::after(ms(900)).await;
        served(&house, "/new/").await?;
        let standing = &house.router.relay().standing;
        let era = standing.era().map(|era| era.0);
        ensure!(era == Some(house.site.store.era()), "{era:?}");
        Ok(())
    })
}

/// Guards against a configuration without keys being called missing, and against 404 for
/// what the operator added, while the store is behind.
#[test]
fn nothing_is_called_missing_while_the_store_is_behind() -> Result {
    run(async |executor| {
        let (_server, house) = start_with_one_server(executor).await?;
        let copy = house.site.store.copy();
        house.site.declare(&[route("/a/")]);
        served(&house, "/a/").await?;
        drill(&house.site, &copy).await;
        // The proof of before has grown too old by then.
        Timer::after(APPLY_TIME + ms(200)).await;
        served(&house, "/a/").await?;
        ensure_not_executed(&house.post("/b/x", "unknown").await?)?;
        house.site.declare(&[route("/c/")]);
        wait_until("told", async || {
            Ok(house.post("/b/x", "unknown").await?.status == 404)
        })
        .await
    })
}

/// Guards against a killed reader whose followers take what the copy has for proven.
#[test]
fn a_reader_that_is_killed_beside_a_return_is_replaced() -> Result {
    run(async |executor: Executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let peer = address();
        let told = box_harness::settings(&site, "box-9", "hall-1", 9_000, peer);
        let mut reader = Process::start(told.clone(), peer)?;
        wait_until("serving", async || Ok(reader.serves().await)).await?;
        let machines = box_harness::start_boxes(&executor, &site, 2).await?;
        box_harness::settled(&machines, &[]).await?;
        let copy = site.store.copy();
        site.account("tenant-2", &["new"], 1);
        let newest = config(&site)?;
        for machine in &machines {
            wait_until("refused", async || {
                Ok(machine.call(&with_key("goes", "probe")).await?.status == 401)
            })
            .await?;
        }
        drill(&site, &copy).await;
        reader.kill()?;
        let _reader = Process::start(told, peer)?;
        let start = Instant::now();
        while start.elapsed() < ms(2_500) {
            for machine in &machines {
                refused(machine, &server, &format!("{:?}", start.elapsed())).await?;
            }
            Timer::after(ms(30)).await;
        }
        site.store.put_config(&newest);
        ready(&machines).await?;
        box_harness::served(&machines, &[&server], ms(500)).await
    })
}
