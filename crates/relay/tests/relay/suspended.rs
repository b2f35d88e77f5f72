//! A box that is suspended for seconds and resumes.
//!
//! This was seen in no run, but the documentation of the platform says that boxes are
//! suspended. Their monotonic clock does not count that time, so that a recent
//! confirmation still looks recent afterwards: an API key that was removed meanwhile
//! would be accepted for as long as the confirmation is valid.

use std::time::Duration;

use eyre::ensure;
use smol::Timer;
use tidepier_clock::suspend;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Fault, Server};
use tidepier_relay_standin::site::Site;

use crate::box_harness::{self, site_with_keys, with_key, TestBox, REVOKE_TIME};
use crate::harness::{ms, run, server_settings, wait_until, Executor, Result};

/// Longer than any part of the local view that others may change is valid without
/// confirmation.
const SUSPENDED: Duration = Duration::from_secs(8);

/// A site with a server, and one box, which is ready.
async fn alone(executor: &Executor) -> Result<(Site, Server, TestBox)> {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let test_box = TestBox::start(executor, &site, "box-0", "hall-1", 5_000).await?;
    box_harness::wait_until_ready(std::slice::from_ref(&test_box)).await?;
    Ok((site, server, test_box))
}

/// Suspends a box while something happens elsewhere.
async fn suspended(test_box: &TestBox, meanwhile: impl AsyncFnOnce() -> Result) -> Result {
    test_box.freeze(true);
    Timer::after(ms(20)).await;
    meanwhile().await?;
    suspend(SUSPENDED);
    Ok(())
}

#[test]
fn a_key_that_was_removed_meanwhile_is_not_accepted() -> Result {
    run(async |executor| {
        let (site, server, test_box) = alone(&executor).await?;
        suspended(&test_box, async || {
            // Nothing that is sent meanwhile arrives afterwards either.
            test_box.store.make_unresponsive();
            site.account("tenant-2", &["another"], 1);
            Ok(())
        })
        .await?;
        test_box.freeze(false);
        for attempt in 0..10 {
            let attempt = format!("goes-{attempt}");
            let answer = test_box.call(&with_key("goes", &attempt)).await?;
            ensure!(answer.status == 503, "{attempt}: {answer:?}");
            ensure!(server.ran(&attempt) == 0, "{attempt} ran");
        }
        ensure!(!test_box.is_ready(), "ready by an old confirmation");
        ensure!(SUSPENDED > REVOKE_TIME, "the case did not arise");
        test_box.store.restore_link();
        wait_until("ready again", async || Ok(test_box.is_ready())).await?;
        let answer = test_box.call(&with_key("stays", "stays")).await?;
        ensure!(answer.status == 200, "{answer:?}");
        Ok(())
    })
}

/// A request's time runs out while the box is suspended: the client gets its answer
/// as soon as the box resumes, and not after the time that was left.
#[test]
fn a_request_whose_time_was_over_meanwhile_is_answered_at_once() -> Result {
    run(async |executor| {
        let (_site, server, test_box) = alone(&executor).await?;
        server.fault(Fault::Hang, u32::MAX);
        let call = with_key("stays", "held");
        let held = async {
            let start = std::time::Instant::now();
            let answer = test_box.call(&call).await?;
            Result::Ok((answer, start.elapsed()))
        };
        let stop = async {
            wait_until("running", async || Ok(server.running() == 1)).await?;
            suspended(&test_box, async || Ok(())).await?;
            test_box.freeze(false);
            Result::Ok(())
        };
        let ((answer, took), ()) = futures_lite::future::try_zip(held, stop).await?;
        ensure!(answer.status == 504, "{answer:?}");
        ensure!(took < ms(2_000), "after {took:?}");
        Ok(())
    })
}

/// The platform kills a process some time after it requested its stop, and counts the
/// time during which the box is suspended.
#[test]
fn the_time_limit_of_a_stop_continues_meanwhile() -> Result {
    run(async |executor| {
        let (_site, server, test_box) = alone(&executor).await?;
        server.fault(Fault::Hang, u32::MAX);
        let call = with_key("stays", "hangs").with(names::DEADLINE, "30000");
        let hangs = async {
            test_box.call(&call).await?;
            std::future::pending::<Result>().await
        };
        let stopped = async {
            wait_until("running", async || Ok(server.running() == 1)).await?;
            let start = std::time::Instant::now();
            let stop = test_box.router.stop();
            let suspends = async {
                Timer::after(ms(100)).await;
                suspend(SUSPENDED);
                std::future::pending().await
            };
            futures_lite::future::or(stop, suspends).await;
            ensure!(start.elapsed() < ms(2_000), "after {:?}", start.elapsed());
            Ok(())
        };
        futures_lite::future::or(stopped, hangs).await
    })
}
