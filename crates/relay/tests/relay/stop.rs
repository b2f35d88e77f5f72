//! The planned stop, changed settings and the process's own pages.

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use futures_lite::future;
use serde_json::Value;
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Fault, Settings};
use tidepier_relay_standin::site::{Route, HOST};
use tidepier_relay_standin::Client;

use crate::box_harness;
use crate::harness::{
    self, count_deliveries, ensure_served_by, ms, post, run, server_settings, site,
    start_with_one_server, stream_server_settings, wait_until, Harness, Result, SERVICE,
};
use crate::process::Process;

/// How long a stopping router takes new connections: the balancer needs three
/// seconds at most, of which a margin is left for the way.
const TAKES_TIME: Duration = Duration::from_millis(2_900);
/// Where a box that is a process says whether it is ready.
const READY_PORT: u16 = 20_704;

#[test]
fn a_planned_stop_loses_nothing() -> Result {
    run(async |executor| {
        let site = site()?;
        let slow = site.server(Settings {
            work: ms(3_600),
            ..server_settings(1)
        })?;
        let house = Harness::start_with_settings(executor, site, |settings| {
            settings["bounds"]["stop_within"] = 8_000.into();
        })
        .await?;
        let mut kept = Client::open(house.router_address()).await?;
        let call = post("/o/x", "running");
        let start = Instant::now();
        let running = async {
            let answer = kept.call(&call).await;
            ensure_served_by(&answer, &[&slow], "running")?;
            ensure!(answer.field("Connection") == Some("close"), "{answer:?}");
            Ok(())
        };
        let stop = async {
            Timer::after(ms(150)).await;
            let told = Instant::now();
            house.router.stop().await;
            Ok(told.elapsed())
        };
        let new = async {
            Timer::after(ms(250)).await;
            ensure!(!house.is_ready().await, "ready while it stops");
            // The other server answers at once; it came after the slow one.
            let quick = house.site.server(server_settings(2))?;
            house.site.withdraw(&slow);
            wait_until("known", async || {
                let ids = house.router.relay().fleet.ids();
                Ok(ids.iter().any(|id| id.as_str() == "i-2") && ids.len() == 1)
            })
            .await?;
            let mut number = 0;
            while start.elapsed() < ms(150) + TAKES_TIME - ms(60) {
                number += 1;
                let attempt = format!("new-{number}");
                let answer = house.post("/o/x", &attempt).await?;
                ensure_served_by(&answer, &[&quick], &attempt)?;
                ensure!(answer.field("Connection") == Some("close"), "{answer:?}");
                ensure!(!house.is_ready().await, "ready while it stops");
                Timer::after(ms(20)).await;
            }
            ensure!(number > 3, "the case did not arise");
            Ok(())
        };
        let both = future::try_zip(running, new);
        let (stopped, _) = future::try_zip(stop, both).await?;
        ensure!(stopped > TAKES_TIME, "gone after {stopped:?}");
        // The slow request began before the stop.
        ensure!(stopped > ms(3_300), "gone after {stopped:?}");
        ensure!(stopped < ms(6_000), "gone after {stopped:?}");
        Ok(())
    })
}

#[test]
fn a_stop_finishes_streams() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(stream_server_settings(1, 40, ms(90)))?;
        let house = Harness::start_ready(executor, site).await?;
        let stop = async {
            Timer::after(ms(200)).await;
            house.router.stop().await;
            ensure!(server.running() == 0, "gone before the stream's end");
            Ok(())
        };
        let call = post("/u/x", "stream");
        let (answer, ()) = future::try_zip(house.call(&call), stop).await?;
        ensure_served_by(&answer, &[&server], "stream")
    })
}

#[test]
fn a_stop_ends_before_its_limit() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let limit = ms(3_800);
        let house = Harness::start_with_settings(executor, site, |settings| {
            settings["bounds"]["stop_within"] = (limit.as_millis() as u64).into();
        })
        .await?;
        server.fault(Fault::Hang, u32::MAX);
        let call = post("/o/x", "hangs").with(names::DEADLINE, "9000");
        let hangs = async {
            house.call(&call).await?;
            Err::<Duration, _>(eyre!("answered"))
        };
        let stop = async {
            Timer::after(ms(150)).await;
            let told = Instant::now();
            house.router.stop().await;
            Ok(told.elapsed())
        };
        let stopped = future::or(stop, hangs).await?;
        ensure!(stopped < limit, "{stopped:?}");
        Ok(())
    })
}

#[test]
fn the_metrics_are_told() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let house = Harness::start_with_settings(executor, site, |settings| {
            settings["metrics"] = "127.0.0.1:0".into();
        })
        .await?;
        ensure_served_by(&house.post("/r/x", "one").await?, &[&server], "one")?;
        house.post("/nowhere/x", "two").await?;
        let address = house
            .router
            .metrics_address()
            .ok_or_else(|| eyre!("no page"))?;
        let page = Client::once(address, &Call::new("GET", HOST, "/metrics", "m")).await?;
        ensure!(page.status == 200 && page.complete, "{page:?}");
        let text = String::from_utf8(page.body)?;
        for name in ["tidepier_answers_total", "tidepier_refusals_total"] {
            ensure!(text.contains(name), "{name} is missing: {text}");
        }
        let none = Client::once(address, &Call::new("GET", HOST, "/other", "m")).await?;
        ensure!(none.status == 404, "{none:?}");
        Ok(())
    })
}

#[test]
fn readiness_is_told() -> Result {
    run(async |executor| {
        let (_server, house) = start_with_one_server(executor).await?;
        let address = house
            .router
            .readiness_address()
            .ok_or_else(|| eyre!("no page"))?;
        let mut client = Client::open(address).await?;
        for (method, path, status) in [
            ("GET", "/-/readyz", 200),
            ("GET", "/-/other", 404),
            ("POST", "/-/readyz", 405),
            ("GET", "/-/readyz", 200),
        ] {
            let answer = client.call(&Call::new(method, HOST, path, "r")).await;
            ensure!(answer.status == status, "{method} {path}: {answer:?}");
        }
        Ok(())
    })
}

/// A router process at an address that no other test has. A port that was free a
/// moment ago is no such address: another test may bind it before the process does,
/// which then ends at once.
fn process(name: &str, mut settings: Value) -> Result<Process> {
    let ip = box_harness::address().ip();
    settings["callers"] = SocketAddr::new(ip, box_harness::FRONT_PORT)
        .to_string()
        .into();
    settings["readiness"] = SocketAddr::new(ip, READY_PORT).to_string().into();
    let name = format!("{name}-{}", std::process::id());
    Process::start(&name, "warn", &settings)
}

/// Waits until a process serves.
async fn serving(process: &mut Process) -> Result {
    wait_until("serving", async || {
        let ended = process.ended()?;
        ensure!(ended.is_none(), "it ended by itself: {ended:?}");
        Ok(status(process, "first").await == 200)
    })
    .await
}

async fn status(process: &Process, attempt: &str) -> u16 {
    process.call(&post("/r/x", attempt)).await
}

/// Changes the settings file of a process from no retries to many; `tell` says
/// so, or not.
async fn reloaded(name: &str, tell: impl FnOnce(&Process) -> Result) -> Result {
    let site = site()?;
    let near = site.server(server_settings(1))?;
    let far = site.server(server_settings(2))?;
    let mut settings = harness::settings(&site);
    settings["bounds"]["retry_share"] = 0.into();
    settings["bounds"]["retry_extra"] = 0.into();
    let mut process = process(name, settings.clone())?;
    serving(&mut process).await?;
    near.fault(Fault::Failure, u32::MAX);
    far.fault(Fault::Failure, u32::MAX);
    let mut number = 0;
    let mut sendings = async || {
        number += 1;
        let attempt = format!("second-{number}");
        let status = status(&process, &attempt).await;
        ensure!(status == 500, "{attempt}: {status}");
        Ok(count_deliveries(&[&near, &far], &attempt))
    };
    for _ in 0..5 {
        ensure!(sendings().await? == 1, "retried without an allowance");
    }
    settings["bounds"]["retry_extra"] = 2_400.into();
    settings["callers"] = process.front.to_string().into();
    // In one step, so that no half of it is ever read.
    let fresh = process.file.with_extension("new");
    fs::write(&fresh, settings.to_string())?;
    fs::rename(&fresh, &process.file)?;
    tell(&process)?;
    wait_until("retried", async || Ok(sendings().await? == 2)).await?;
    // Spoiled settings change nothing.
    fs::write(&process.file, "{")?;
    process.signal("-HUP")?;
    Timer::after(ms(200)).await;
    ensure!(sendings().await? == 2, "the settings were dropped");
    Ok(())
}

#[test]
fn changed_settings_are_taken_over_on_a_signal() -> Result {
    run(async |_| reloaded("signal", |process| process.signal("-HUP")).await)
}

#[test]
fn changed_settings_are_taken_over_without_a_signal() -> Result {
    run(async |_| reloaded("look", |_| Ok(())).await)
}

#[test]
fn a_process_told_to_stop_ends_well() -> Result {
    run(async |_| {
        let site = site()?;
        let _server = site.server(server_settings(1))?;
        let mut process = process("stop", harness::settings(&site))?;
        serving(&mut process).await?;
        let told = Instant::now();
        process.signal("-TERM")?;
        Timer::after(ms(2_000)).await;
        ensure!(status(&process, "late").await == 200, "gone too early");
        let mut status = None;
        wait_until("ended", async || {
            status = process.ended()?;
            Ok(status.is_some())
        })
        .await?;
        ensure!(status.is_some_and(|status| status.success()), "{status:?}");
        ensure!(told.elapsed() < ms(6_000), "{:?}", told.elapsed());
        Ok(())
    })
}

#[test]
fn a_changed_time_to_stop_is_taken_over() -> Result {
    run(async |_| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let mut settings = harness::settings(&site);
        settings["bounds"]["stop_within"] = 8_000.into();
        let long = Route {
            timeout: ms(20_000),
            ..Route::new("/l/", Kind::AtMostOnce, SERVICE)
        };
        site.declare(&[long]);
        let mut process = process("time", settings.clone())?;
        serving(&mut process).await?;
        settings["bounds"]["stop_within"] = 4_000.into();
        settings["callers"] = process.front.to_string().into();
        let fresh = process.file.with_extension("new");
        fs::write(&fresh, settings.to_string())?;
        fs::rename(&fresh, &process.file)?;
        process.signal("-HUP")?;
        Timer::after(ms(1_000)).await;
        server.fault(Fault::Hang, u32::MAX);
        let call = post("/l/x", "hangs").with(names::DEADLINE, "20000");
        let front = process.front;
        let hangs = async {
            Client::once(front, &call).await?;
            std::future::pending::<Result>().await
        };
        let stopped = async {
            wait_until("arrived", async || {
                Ok(count_deliveries(&[&server], "hangs") == 1)
            })
            .await?;
            let told = Instant::now();
            process.signal("-TERM")?;
            wait_until("ended", async || Ok(process.ended()?.is_some())).await?;
            ensure!(told.elapsed() < ms(5_500), "{:?}", told.elapsed());
            Ok(())
        };
        future::or(stopped, hangs).await
    })
}
