//! A machine that is suspended for seconds and goes on.
//!
//! Seen in no run; the platform's pages say that machines are. Its steady clock does not
//! count that time, so that a proof that was young before looks as young afterwards:
//! a key that was taken away meanwhile opened the box for as long as the proof lasts.

use std::time::Duration;

use eyre::ensure;
use smol::Timer;
use tidepier_clock::suspend;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Fault, Server};
use tidepier_relay_standin::site::Site;

use crate::box_harness::{self, site_with_keys, with_key, TestBox, REVOKE_TIME};
use crate::harness::{ms, run, server_settings, wait_until, Executor, Result};

/// Longer than anything is believed that others may change.
const SUSPENDED: Duration = Duration::from_secs(8);

/// A site with a server, and one box, which is ready.
async fn alone(executor: &Executor) -> Result<(Site, Server, TestBox)> {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let machine = TestBox::start(executor, &site, "box-0", "hall-1", 5_000).await?;
    box_harness::ready(std::slice::from_ref(&machine)).await?;
    Ok((site, server, machine))
}

/// Suspends a box while something happens elsewhere.
async fn suspended(machine: &TestBox, meanwhile: impl AsyncFnOnce() -> Result) -> Result {
    machine.freeze(true);
    Timer::after(ms(20)).await;
    meanwhile().await?;
    suspend(SUSPENDED);
    Ok(())
}

#[test]
fn a_key_that_was_taken_away_meanwhile_opens_nothing() -> Result {
    run(async |executor| {
        let (site, server, machine) = alone(&executor).await?;
        suspended(&machine, async || {
            // Nothing that is said meanwhile comes through afterwards either.
            machine.store.silence();
            site.account("tenant-2", &["another"], 1);
            Ok(())
        })
        .await?;
        machine.freeze(false);
        for attempt in 0..10 {
            let attempt = format!("goes-{attempt}");
            let answer = machine.call(&with_key("goes", &attempt)).await?;
            ensure!(answer.status == 503, "{attempt}: {answer:?}");
            ensure!(server.ran(&attempt) == 0, "{attempt} ran");
        }
        ensure!(!machine.is_ready(), "ready by an old proof");
        ensure!(SUSPENDED > REVOKE_TIME, "the case did not arise");
        machine.store.mend();
        wait_until("ready again", async || Ok(machine.is_ready())).await?;
        let answer = machine.call(&with_key("stays", "stays")).await?;
        ensure!(answer.status == 200, "{answer:?}");
        Ok(())
    })
}

/// Its time was over while the machine stood still: the client gets its answer as soon
/// as the machine goes on, and not after the time that was left.
#[test]
fn a_request_whose_time_was_over_meanwhile_is_answered_at_once() -> Result {
    run(async |executor| {
        let (_site, server, machine) = alone(&executor).await?;
        server.fault(Fault::Hang, u32::MAX);
        let call = with_key("stays", "held");
        let held = async {
            let start = std::time::Instant::now();
            let answer = machine.call(&call).await?;
            Result::Ok((answer, start.elapsed()))
        };
        let stop = async {
            wait_until("running", async || Ok(server.running() == 1)).await?;
            suspended(&machine, async || Ok(())).await?;
            machine.freeze(false);
            Result::Ok(())
        };
        let ((answer, took), ()) = futures_lite::future::try_zip(held, stop).await?;
        ensure!(answer.status == 504, "{answer:?}");
        ensure!(took < ms(2_000), "after {took:?}");
        Ok(())
    })
}

/// The platform ends a process so long after it asked it to stop, and goes on counting
/// while the machine stands still.
#[test]
fn the_limit_of_a_stop_goes_on_meanwhile() -> Result {
    run(async |executor| {
        let (_site, server, machine) = alone(&executor).await?;
        server.fault(Fault::Hang, u32::MAX);
        let call = with_key("stays", "hangs").with(names::DEADLINE, "30000");
        let hangs = async {
            machine.call(&call).await?;
            std::future::pending::<Result>().await
        };
        let stopped = async {
            wait_until("running", async || Ok(server.running() == 1)).await?;
            let start = std::time::Instant::now();
            let stop = machine.router.stop();
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
