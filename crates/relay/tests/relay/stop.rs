//! The graceful shutdown, reloaded settings, and the readiness and metrics endpoints.

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

/// How long a router that shuts down accepts new connections: the balancer needs at
/// most three seconds, less a margin for the transit time.
const ACCEPT_TIME: Duration = Duration::from_millis(2_900);
/// Port of the readiness endpoint of a box that runs as a process.
const READY_PORT: u16 = 20_704;

#[test]
fn a_graceful_shutdown_loses_no_requests() -> Result {
    run(async |executor| {
        let site = site()?;
        let slow = site.server(Settings {
            work: ms(3_600),
            ..server_settings(1)
        })?;
        let harness = Harness::start_with_settings(executor, site, |settings| {
            settings["bounds"]["stop_within"] = 8_000.into();
        })
        .await?;
        let mut kept = Client::open(harness.router_address()).await?;
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
            let signalled = Instant::now();
            harness.router.stop().await;
            Ok(signalled.elapsed())
        };
        let new = async {
            Timer::after(ms(250)).await;
            ensure!(!harness.is_ready().await, "ready during the shutdown");
            // The other server, started after the slow one, answers at once.
            let quick = harness.site.server(server_settings(2))?;
            harness.site.withdraw(&slow);
            wait_until("known", async || {
                let ids = harness.router.relay().fleet.ids();
                Ok(ids.iter().any(|id| id.as_str() == "i-2") && ids.len() == 1)
            })
            .await?;
            let mut number = 0;
            while start.elapsed() < ms(150) + ACCEPT_TIME - ms(60) {
                number += 1;
                let attempt = format!("new-{number}");
                let answer = harness.post("/o/x", &attempt).await?;
                ensure_served_by(&answer, &[&quick], &attempt)?;
                ensure!(answer.field("Connection") == Some("close"), "{answer:?}");
                ensure!(!harness.is_ready().await, "ready during the shutdown");
                Timer::after(ms(20)).await;
            }
            ensure!(number > 3, "the test did not reach its case");
            Ok(())
        };
        let both = future::try_zip(running, new);
        let (stopped, _) = future::try_zip(stop, both).await?;
        ensure!(stopped > ACCEPT_TIME, "stopped after {stopped:?}");
        // The slow request began before the shutdown.
        ensure!(stopped > ms(3_300), "stopped after {stopped:?}");
        ensure!(stopped < ms(6_000), "stopped after {stopped:?}");
        Ok(())
    })
}

#[test]
fn a_shutdown_finishes_streams() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(stream_server_settings(1, 40, ms(90)))?;
        let harness = Harness::start_ready(executor, site).await?;
        let stop = async {
            Timer::after(ms(200)).await;
            harness.router.stop().await;
            ensure!(
                server.running() == 0,
                "stopped before the end of the stream"
            );
            Ok(())
        };
        let call = post("/u/x", "stream");
        let (answer, ()) = future::try_zip(harness.call(&call), stop).await?;
        ensure_served_by(&answer, &[&server], "stream")
    })
}

#[test]
fn a_shutdown_ends_before_its_limit() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let limit = ms(3_800);
        let harness = Harness::start_with_settings(executor, site, |settings| {
            settings["bounds"]["stop_within"] = (limit.as_millis() as u64).into();
        })
        .await?;
        server.fault(Fault::Hang, u32::MAX);
        let call = post("/o/x", "hangs").with(names::DEADLINE, "9000");
        let hangs = async {
            let answer = harness.call(&call).await?;
            ensure!(answer.complete && answer.status == 502, "{answer:?}");
            Ok(())
        };
        let stop = async {
            Timer::after(ms(150)).await;
            let signalled = Instant::now();
            harness.router.stop().await;
            Ok(signalled.elapsed())
        };
        let (stopped, ()) = future::try_zip(stop, hangs).await?;
        ensure!(stopped < limit, "{stopped:?}");
        Ok(())
    })
}

#[test]
fn the_metrics_endpoint_serves_metrics() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let harness = Harness::start_with_settings(executor, site, |settings| {
            settings["metrics"] = "127.0.0.1:0".into();
        })
        .await?;
        ensure_served_by(&harness.post("/r/x", "one").await?, &[&server], "one")?;
        harness.post("/nowhere/x", "two").await?;
        let address = harness
            .router
            .metrics_address()
            .ok_or_else(|| eyre!("no address"))?;
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
fn the_readiness_endpoint_serves_only_its_path() -> Result {
    run(async |executor| {
        let (_server, harness) = start_with_one_server(executor).await?;
        let address = harness
            .router
            .readiness_address()
            .ok_or_else(|| eyre!("no address"))?;
        let mut client = Client::open(address).await?;
        for (method, path, status) in [
            ("GET", "/-/readyz", 200),
            ("GET", "/-/other", 404),
            ("POST", "/-/readyz", 405),
            // The next answer cannot be read if this one has a body.
            ("HEAD", "/-/readyz", 405),
            ("GET", "/-/readyz", 200),
        ] {
            let answer = client.call(&Call::new(method, HOST, path, "r")).await;
            ensure!(answer.status == status, "{method} {path}: {answer:?}");
        }
        Ok(())
    })
}

/// Starts a router process at an address that no other test uses. A port that was free
/// a moment ago does not suffice: another test may bind it before the process does,
/// and the process would then exit at once.
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
async fn wait_until_serving(process: &mut Process) -> Result {
    wait_until("serving", async || {
        let ended = process.exit_status()?;
        ensure!(ended.is_none(), "the process exited by itself: {ended:?}");
        Ok(status(process, "first").await == 200)
    })
    .await
}

async fn status(process: &Process, attempt: &str) -> u16 {
    process.call(&post("/r/x", attempt)).await
}

/// Changes the settings file of a process from no retries to many and checks that the
/// change is applied; `signal` may signal the process.
async fn check_reload(name: &str, signal: impl FnOnce(&Process) -> Result) -> Result {
    let site = site()?;
    let near = site.server(server_settings(1))?;
    let far = site.server(server_settings(2))?;
    let mut settings = harness::settings(&site);
    settings["bounds"]["retry_share"] = 0.into();
    settings["bounds"]["retry_extra"] = 0.into();
    let mut process = process(name, settings.clone())?;
    wait_until_serving(&mut process).await?;
    near.fault(Fault::Failure, u32::MAX);
    far.fault(Fault::Failure, u32::MAX);
    let mut number = 0;
    let mut attempts = async || {
        number += 1;
        let attempt = format!("second-{number}");
        let status = status(&process, &attempt).await;
        ensure!(status == 500, "{attempt}: {status}");
        Ok(count_deliveries(&[&near, &far], &attempt))
    };
    for _ in 0..5 {
        ensure!(attempts().await? == 1, "retried without an allowance");
    }
    settings["bounds"]["retry_extra"] = 2_400.into();
    settings["callers"] = process.front.to_string().into();
    // Replaced atomically, so that the process never reads a partial file.
    let fresh = process.file.with_extension("new");
    fs::write(&fresh, settings.to_string())?;
    fs::rename(&fresh, &process.file)?;
    signal(&process)?;
    wait_until("retried", async || Ok(attempts().await? == 2)).await?;
    // Invalid settings change nothing.
    fs::write(&process.file, "{")?;
    process.signal("-HUP")?;
    Timer::after(ms(200)).await;
    ensure!(attempts().await? == 2, "the previous settings were lost");
    Ok(())
}

#[test]
fn changed_settings_are_applied_on_a_signal() -> Result {
    run(async |_| check_reload("signal", |process| process.signal("-HUP")).await)
}

#[test]
fn changed_settings_are_applied_without_a_signal() -> Result {
    run(async |_| check_reload("look", |_| Ok(())).await)
}

#[test]
fn a_process_exits_successfully_on_sigterm() -> Result {
    run(async |_| {
        let site = site()?;
        let _server = site.server(server_settings(1))?;
        let mut process = process("stop", harness::settings(&site))?;
        wait_until_serving(&mut process).await?;
        let signalled = Instant::now();
        process.signal("-TERM")?;
        Timer::after(ms(2_000)).await;
        ensure!(status(&process, "late").await == 200, "stopped too early");
        let mut status = None;
        wait_until("ended", async || {
            status = process.exit_status()?;
            Ok(status.is_some())
        })
        .await?;
        ensure!(status.is_some_and(|status| status.success()), "{status:?}");
        ensure!(signalled.elapsed() < ms(6_000), "{:?}", signalled.elapsed());
        Ok(())
    })
}

#[test]
fn a_changed_stop_time_is_applied() -> Result {
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
        wait_until_serving(&mut process).await?;
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
            let signalled = Instant::now();
            process.signal("-TERM")?;
            wait_until("ended", async || Ok(process.exit_status()?.is_some())).await?;
            ensure!(signalled.elapsed() < ms(5_500), "{:?}", signalled.elapsed());
            Ok(())
        };
        future::or(stopped, hangs).await
    })
}
