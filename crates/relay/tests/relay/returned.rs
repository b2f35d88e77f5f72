//! What a box believes of servers, halls, releases and boxes after the store went back
//! to an older copy of itself.
//!
//! Pattern: entries that the copy lacks are written again within two seconds, or are
//! gone; entries that it has again may be of servers that left, halls that were taken
//! back, or orders that came further.

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

use crate::box_harness::{self, ready, site_with_keys, started, TestBox, BOXES, REVOKE_TIME};
use crate::eras::drill;
use crate::harness::{
    ensure_served_by, ms, run, server_settings, site, start_with_one_server,
    start_with_two_servers, wait_until, Harness, Result, SERVICE,
};

/// Time in which servers have written again what the store lost.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);
/// Time in which a server that is silent loses its entry, and it is known here.
const SILENCE_TIME: Duration = Duration::from_millis(4_800);

/// Sends requests for a while; all of them are answered by one of these servers.
async fn served_by(house: &Harness, servers: &[&Server], time: Duration) -> Result {
    let start = Instant::now();
    while start.elapsed() < time {
        for path in ["/r/x", "/s/x"] {
            let attempt = format!("{path}-{:?}", start.elapsed());
            ensure_served_by(&house.post(path, &attempt).await?, servers, &attempt)?;
        }
        Timer::after(ms(10)).await;
    }
    Ok(())
}

async fn forgotten(house: &Harness, server: &Server) -> Result {
    wait_until("forgotten", async || Ok(!house.knows(server))).await
}

/// Guards against requests to a server that left before the store went back, and whose
/// entry is there again.
#[test]
fn a_server_that_had_left_gets_nothing_by_the_copy() -> Result {
    for outage in [true, false] {
        run(async |executor| {
            let (near, far, house) = start_with_two_servers(executor).await?;
            let copy = house.site.store.copy();
            house.site.withdraw(&far);
            forgotten(&house, &far).await?;
            let before = far.runs().len();
            go_back(&house.site, &copy, outage).await;
            served_by(&house, &[&near], SILENCE_TIME - ms(800)).await?;
            house.site.withdraw(&far);
            served_by(&house, &[&near], ms(1_500)).await?;
            ensure!(far.runs().len() == before, "sent to a server that left");
            Ok(())
        })?;
    }
    Ok(())
}

async fn go_back(site: &Site, copy: &Copy, outage: bool) {
    match outage {
        true => drill(site, copy).await,
        false => site.store.go_back(copy),
    }
}

/// Guards against requests to a server that leaves, and whose entry says that it is ready
/// again.
#[test]
fn a_server_that_leaves_gets_nothing_by_the_copy() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        let copy = house.site.store.copy();
        house.site.announce(&far, State::Draining);
        let id = far.settings().id.parse()?;
        let fleet = &house.router.relay().fleet;
        wait_until("leaving", async || {
            Ok(fleet
                .get(&id)
                .is_some_and(|it| it.word().leaving().is_some()))
        })
        .await?;
        let before = far.runs().len();
        drill(&house.site, &copy).await;
        served_by(&house, &[&near], SILENCE_TIME + ms(500)).await?;
        ensure!(far.runs().len() == before, "sent to a server that leaves");
        Ok(())
    })
}

/// Guards against a server being lost to callers that joined after the copy and writes
/// again in time, and against one being kept that does not.
#[test]
fn a_server_that_joined_after_the_copy_has_two_seconds() -> Result {
    for outage in [true, false] {
        run(async |executor| {
            let (near, house) = start_with_one_server(executor).await?;
            let copy = house.site.store.copy();
            let again = house.site.server(server_settings(2))?;
            let silent = house.site.server(server_settings(3))?;
            wait_until("joined", async || {
                Ok(house.knows(&again) && house.knows(&silent))
            })
            .await?;
            go_back(&house.site, &copy, outage).await;
            let back = Instant::now();
            while back.elapsed() < REWRITE_TIME - ms(300) {
                ensure!(house.knows(&again), "after {:?}", back.elapsed());
                served_by(&house, &[&near, &again, &silent], ms(50)).await?;
            }
            house.site.announce(&again, State::Ready);
            forgotten(&house, &silent).await?;
            ensure!(back.elapsed() < ms(3_500), "{:?}", back.elapsed());
            ensure!(house.knows(&again), "forgotten though it wrote again");
            served_by(&house, &[&near, &again], ms(300)).await
        })?;
    }
    Ok(())
}

/// Guards against a server being kept away that had lost its entry and writes again.
#[test]
fn a_server_that_writes_again_after_the_return_is_used_at_once() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        let copy = house.site.store.copy();
        house.site.withdraw(&far);
        forgotten(&house, &far).await?;
        drill(&house.site, &copy).await;
        Timer::after(ms(500)).await;
        ensure!(!house.knows(&far), "by the copy alone");
        house.site.announce(&far, State::Ready);
        let since = Instant::now();
        wait_until("known", async || Ok(house.knows(&far))).await?;
        ensure!(since.elapsed() < ms(1_000), "{:?}", since.elapsed());
        served_by(&house, &[&near, &far], ms(200)).await
    })
}

/// Guards against a server being kept away forever whose entry the copy has, and which
/// has nothing to write again.
#[test]
fn a_server_that_stays_in_the_copy_is_used_after_a_while() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        let copy = house.site.store.copy();
        house.site.withdraw(&far);
        forgotten(&house, &far).await?;
        let back = Instant::now();
        drill(&house.site, &copy).await;
        wait_until("known", async || Ok(house.knows(&far))).await?;
        ensure!(back.elapsed() > SILENCE_TIME, "{:?}", back.elapsed());
        ensure!(
            back.elapsed() < SILENCE_TIME + ms(1_500),
            "{:?}",
            back.elapsed()
        );
        served_by(&house, &[&near, &far], ms(200)).await
    })
}

/// Guards against a server's former life by which the copy knows it ending its present
/// one.
#[test]
fn a_former_life_in_the_copy_does_not_end_the_present_one() -> Result {
    run(async |executor| {
        let (near, far, house) = start_with_two_servers(executor).await?;
        let born = |birth: u64| {
            house
                .site
                .announce_with(&far, far.address(), State::Ready, |entry| {
                    entry["born"] = birth.into();
                })
        };
        born(1);
        let id = far.settings().id.parse()?;
        let fleet = &house.router.relay().fleet;
        let life = || fleet.get(&id).and_then(|it| it.born()).map(|born| born.0);
        wait_until("born", async || Ok(life() == Some(1))).await?;
        let copy = house.site.store.copy();
        born(2);
        wait_until("born again", async || Ok(life() == Some(2))).await?;
        drill(&house.site, &copy).await;
        let back = Instant::now();
        while back.elapsed() < REWRITE_TIME {
            ensure!(life() == Some(2), "{:?}: {:?}", back.elapsed(), life());
            Timer::after(ms(20)).await;
        }
        born(2);
        served_by(&house, &[&near, &far], ms(300)).await?;
        Timer::after(SILENCE_TIME - REWRITE_TIME + ms(400)).await;
        ensure!(life() == Some(2), "{:?}", life());
        Ok(())
    })
}

/// Guards against requests to a hall that is to be empty, as the copy lacks the
/// operator's word.
#[test]
fn a_hall_that_was_emptied_stays_so_until_the_operator_could_write_again() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let far = site.server(server_settings(2))?;
        let machines = started(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        for machine in &machines {
            wait_until("emptied", async || Ok(!machine.sends_to(&near)?)).await?;
        }
        let back = Instant::now();
        drill(&site, &copy).await;
        while back.elapsed() < REVOKE_TIME - ms(200) {
            for machine in &machines {
                ensure!(!machine.sends_to(&near)?, "after {:?}", back.elapsed());
            }
            Timer::after(ms(20)).await;
        }
        site.empty_hall("hall-1");
        Timer::after(REVOKE_TIME).await;
        for machine in &machines {
            ensure!(!machine.sends_to(&near)?, "it was written again");
            ensure!(machine.sends_to(&far)?, "the other hall");
        }
        site.take_back("hall-1");
        for machine in &machines {
            wait_until("given back", async || machine.sends_to(&near)).await?;
        }
        ready(&machines).await
    })
}

/// Guards against a box that starts sending to a hall that those beside it know is to be
/// empty.
#[test]
fn a_box_that_starts_holds_empty_what_others_do() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let machines = started(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        for machine in &machines {
            wait_until("emptied", async || Ok(!machine.sends_to(&near)?)).await?;
        }
        drill(&site, &copy).await;
        let back = Instant::now();
        let starts = TestBox::start(&executor, &site, "box-9", "hall-1", 9_000).await?;
        while back.elapsed() < REVOKE_TIME - ms(200) {
            let ready = starts.router.relay().standing.may_begin();
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

/// Guards against a hall that is never used again, as its entry is gone for good.
#[test]
fn a_hall_whose_emptying_is_not_written_again_is_used_after_a_while() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let machines = started(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        for machine in &machines {
            wait_until("emptied", async || Ok(!machine.sends_to(&near)?)).await?;
        }
        let back = Instant::now();
        drill(&site, &copy).await;
        for machine in &machines {
            wait_until("given back", async || machine.sends_to(&near)).await?;
        }
        let took = back.elapsed();
        ensure!(took < REVOKE_TIME + ms(2_500), "{took:?}");
        Ok(())
    })
}

/// Guards against a hall that is never used again, as the store goes back once more when
/// the time of the first return is over.
#[test]
fn a_hall_is_used_again_after_a_return_that_follows_another() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let machines = started(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        for machine in &machines {
            wait_until("emptied", async || Ok(!machine.sends_to(&near)?)).await?;
        }
        drill(&site, &copy).await;
        Timer::after(REVOKE_TIME - ms(300)).await;
        site.store.faults(|faults| faults.down = Some(Down::Reset));
        site.store.cut_watches();
        Timer::after(ms(900)).await;
        site.store.go_back(&copy);
        site.store.faults(|faults| faults.down = None);
        let back = Instant::now();
        // One that starts hears of the hall from those beside it.
        let starts = TestBox::start(&executor, &site, "box-9", "hall-1", 9_000).await?;
        for machine in machines.iter().chain([&starts]) {
            wait_until("given back", async || machine.sends_to(&near)).await?;
        }
        let took = back.elapsed();
        ensure!(took < REVOKE_TIME + ms(2_500), "{took:?}");
        Ok(())
    })
}

/// Guards against a hall that is never used again, as the box stood still from one return
/// until after the next, and learns of that one while it takes back the first.
#[test]
fn a_hall_is_used_again_by_a_box_that_stood_still_between_two_returns() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let machines = started(&executor, &site, 1).await?;
        let machine = &machines[0];
        let copy = site.store.copy();
        site.empty_hall("hall-1");
        wait_until("emptied", async || Ok(!machine.sends_to(&near)?)).await?;
        drill(&site, &copy).await;
        let era = site.store.era();
        wait_until("noticed", async || {
            let known = machine.router.relay().standing.era();
            Ok(known.is_some_and(|known| known.0 == era))
        })
        .await?;
        machine.freeze(true);
        site.store.cut_watches();
        site.store.go_back(&copy);
        Timer::after(REVOKE_TIME + ms(600)).await;
        machine.freeze(false);
        let thawed = Instant::now();
        wait_until("given back", async || machine.sends_to(&near)).await?;
        let took = thawed.elapsed();
        ensure!(took < REVOKE_TIME + ms(2_500), "{took:?}");
        Ok(())
    })
}

/// Guards against a hall being held empty, as the copy lacks its entry, by a box that stood
/// still while the operator took it back.
#[test]
fn a_hall_that_was_taken_back_unheard_is_used_at_once_after_a_return() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let _far = site.server(server_settings(2))?;
        let machines = started(&executor, &site, 1).await?;
        let machine = &machines[0];
        site.empty_hall("hall-1");
        wait_until("emptied", async || Ok(!machine.sends_to(&near)?)).await?;
        machine.freeze(true);
        site.take_back("hall-1");
        let copy = site.store.copy();
        Timer::after(REVOKE_TIME + ms(400)).await;
        site.store.cut_watches();
        site.store.go_back(&copy);
        machine.freeze(false);
        let thawed = Instant::now();
        wait_until("used", async || machine.sends_to(&near)).await?;
        ensure!(thawed.elapsed() < ms(2_000), "{:?}", thawed.elapsed());
        Ok(())
    })
}

/// Guards against a hall being emptied by an entry that the operator had taken back.
#[test]
fn a_hall_that_was_taken_back_is_not_emptied_by_the_copy() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let near = site.server(server_settings(1))?;
        let far = site.server(server_settings(2))?;
        site.empty_hall("hall-1");
        let machines = started(&executor, &site, 2).await?;
        let copy = site.store.copy();
        site.take_back("hall-1");
        for machine in &machines {
            wait_until("given back", async || machine.sends_to(&near)).await?;
        }
        let back = tidepier_clock::Instant::now();
        drill(&site, &copy).await;
        while back.elapsed() < REVOKE_TIME - ms(200) {
            for machine in &machines {
                ensure!(machine.sends_to(&near)?, "after {:?}", back.elapsed());
            }
            Timer::after(ms(20)).await;
        }
        site.account("tenant-2", &["new"], 1);
        wait_until("proven", async || {
            let proven = |machine: &TestBox| machine.proven().is_some_and(|at| at > back);
            Ok(machines.iter().all(proven))
        })
        .await?;
        box_harness::served(&machines, &[&near, &far], ms(200)).await
    })
}

fn status(house: &Harness) -> Result<Option<String>> {
    let value = house.site.store.value(&format!("status/rollout/{SERVICE}"));
    let Some(value) = value else {
        return Ok(None);
    };
    let value: Value = serde_json::from_slice(&value)?;
    Ok(value["state"].as_str().map(str::to_owned))
}

fn order(house: &Harness) {
    let order = json!({ "service": SERVICE, "target_version": "v2", "duration_s": 20.0 });
    let key = format!("op/rollout/{SERVICE}");
    house.site.store.put(&key, &order);
}

/// A box with a release that fails, and the servers of that release.
async fn failing(house: &Harness) -> Result<Vec<Server>> {
    let mut servers = Vec::new();
    for number in 11..17 {
        let server = Server::start(server_settings(number))?;
        let address = server.address();
        house
            .site
            .announce_with(&server, address, State::Ready, |entry| {
                entry["version"] = "v2".into();
            });
        server.fault(Fault::Failure, u32::MAX);
        servers.push(server);
    }
    wait_until("joined", async || {
        Ok(servers.iter().all(|server| house.knows(server)))
    })
    .await?;
    Ok(servers)
}

async fn rolled_back(house: &Harness) -> Result {
    let start = Instant::now();
    while status(house)?.as_deref() != Some("rolled_back") {
        ensure!(start.elapsed() < ms(8_000), "never rolled back");
        house
            .post("/r/x", &format!("{:?}", start.elapsed()))
            .await?;
        Timer::after(ms(4)).await;
    }
    Ok(())
}

/// Guards against a release that was rolled back being tried again, as the store went back
/// behind that or behind the order.
#[test]
fn a_release_that_was_rolled_back_stays_so() -> Result {
    for behind_order in [false, true] {
        run(async |executor| {
            let site = site()?;
            let _old = [
                site.server(server_settings(1))?,
                site.server(server_settings(2))?,
            ];
            let house = Harness::start_with_settings(executor, site, |told| {
                told["bounds"]["exposure_share"] = json!(0.4);
            })
            .await?;
            let servers = failing(&house).await?;
            let before = house.site.store.copy();
            order(&house);
            wait_until("in progress", async || Ok(status(&house)?.is_some())).await?;
            let begun = house.site.store.copy();
            rolled_back(&house).await?;
            let got = || -> usize { servers.iter().map(|server| server.runs().len()).sum() };
            let tried = got();
            drill(&house.site, if behind_order { &before } else { &begun }).await;
            let back = Instant::now();
            let mut number = 0;
            while back.elapsed() < ms(1_500) {
                number += 1;
                house.post("/r/x", &format!("after-{number}")).await?;
            }
            if behind_order {
                order(&house);
            }
            wait_until("written again", async || {
                number += 1;
                house.post("/r/x", &format!("after-{number}")).await?;
                Ok(status(&house)?.as_deref() == Some("rolled_back"))
            })
            .await?;
            while back.elapsed() < ms(6_500) {
                number += 1;
                house.post("/r/x", &format!("after-{number}")).await?;
                Timer::after(ms(5)).await;
            }
            ensure!(got() == tried, "{} more than {tried}", got() - tried);
            let state = status(&house)?;
            ensure!(state.as_deref() == Some("rolled_back"), "{state:?}");
            Ok(())
        })?;
    }
    Ok(())
}

/// Guards against boxes that nobody lists any more, as the copy lacks their entries, and
/// against a herd of them at the store.
#[test]
fn boxes_that_the_copy_lacks_are_registered_again() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let copy = site.store.copy();
        let machines = started(&executor, &site, 4).await?;
        let before = site.store.keys(BOXES).len();
        ensure!(before == 4, "{before}");
        let calls: u64 = site.store.all_calls().values().sum();
        drill(&site, &copy).await;
        ensure!(site.store.keys(BOXES).is_empty());
        wait_until("registered", async || Ok(site.store.keys(BOXES).len() == 4)).await?;
        let made = site.store.all_calls().values().sum::<u64>() - calls;
        // Each box: its entry, a lease, a write; the readers what they read and prove.
        ensure!(made < 80, "{made} calls");
        box_harness::served(&machines, &[&server], ms(300)).await
    })
}

/// Guards against boxes that follow one which has not heard of the return.
#[test]
fn a_box_of_the_former_era_is_not_followed() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let machines = started(&executor, &site, 3).await?;
        let copy = site.store.copy();
        let known = site.account("tenant-2", &["newer"], 1);
        let version = |machine: &TestBox| machine.router.relay().view.version().0;
        wait_until("in force", async || {
            Ok(machines.iter().all(|it| version(it) == known))
        })
        .await?;
        machines[0].store.silence();
        site.store.go_back(&copy);
        let newest = site.account("tenant-2", &["newest"], 1);
        wait_until("in force", async || {
            Ok(machines[1..].iter().all(|it| version(it) == newest))
        })
        .await?;
        // The first one answers the others again, as soon as it hears of the return.
        machines[0].store.mend();
        wait_until("in force", async || Ok(version(&machines[0]) == newest)).await?;
        let mended = Instant::now();
        wait_until("proven", async || {
            let proven = machines[0].proven();
            Ok(proven.is_some_and(|at| at.elapsed() < ms(500)))
        })
        .await?;
        ensure!(mended.elapsed() < ms(2_500), "{:?}", mended.elapsed());
        let start = Instant::now();
        while start.elapsed() < ms(2_000) {
            for machine in &machines {
                ensure!(version(machine) == newest, "{}", version(machine));
            }
            box_harness::served(&machines, &[&server], ms(50)).await?;
        }
        Ok(())
    })
}

/// Guards against entries of a server under an id that cannot be read in the copy.
#[test]
fn strange_entries_of_the_copy_name_no_server() -> Result {
    run(async |executor| {
        let (near, house) = start_with_one_server(executor).await?;
        house
            .site
            .store
            .put_bytes(&format!("{}x", names::SERVERS), b"?".to_vec());
        let copy = house.site.store.copy();
        house.site.store.remove(&format!("{}x", names::SERVERS));
        drill(&house.site, &copy).await;
        served_by(&house, &[&near], ms(600)).await?;
        let id: ids::Server = "x".parse().map_err(|error| eyre!("{error}"))?;
        ensure!(house.router.relay().fleet.get(&id).is_none(), "known");
        Ok(())
    })
}
