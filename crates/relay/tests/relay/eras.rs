//! What a box believes after the store went back to an older copy of itself.

use std::time::{Duration, Instant};

use eyre::ensure;
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::site::Route;
use tidepier_relay_standin::store::{Copy, Down};

use crate::house::{ms, run, single, until, House, Result, SERVICE};

/// Promised time for a change of the catalog.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// How long a store is away that goes back.
const AWAY_TIME: Duration = Duration::from_millis(300);

fn route(prefix: &str) -> Route {
    Route::new(prefix, Kind::Repeatable, SERVICE)
}

/// Waits until a route is served.
async fn served(house: &House, prefix: &str) -> Result {
    until("served", async || {
        Ok(house.post(&format!("{prefix}x"), "probe").await?.status == 200)
    })
    .await
}

/// Checks that a route that was added at `since` is served in time.
async fn in_force(house: &House, prefix: &str, since: Instant) -> Result {
    served(house, prefix).await?;
    ensure!(since.elapsed() < APPLY_TIME, "{:?}", since.elapsed());
    Ok(())
}

/// Has the store be away for a moment and come back as the copy.
async fn drill(house: &House, copy: &Copy) {
    let store = &house.site.store;
    store.faults(|faults| faults.down = Some(Down::Reset));
    store.cut_watches();
    Timer::after(AWAY_TIME).await;
    store.go_back(copy);
    store.faults(|faults| faults.down = None);
}

/// Guards against a configuration being left out as its revision is lower than that of
/// one that is gone.
#[test]
fn a_configuration_at_a_lower_revision_is_in_force_in_time() -> Result {
    run(async |executor| {
        let (_server, house) = single(executor).await?;
        let copy = house.site.store.copy();
        for prefix in ["/a/", "/b/", "/c/"] {
            house.site.declare(&[route(prefix)]);
            served(&house, prefix).await?;
        }
        let before = house.site.store.revision();
        drill(&house, &copy).await;
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
        let (_server, house) = single(executor).await?;
        let copy = house.site.store.copy();
        house.site.declare(&[route("/a/")]);
        served(&house, "/a/").await?;
        let before = house.site.store.revision();
        house.site.store.deaf(ms(20_000));
        drill(&house, &copy).await;
        let since = Instant::now();
        house.site.declare(&[route("/new/")]);
        ensure!(house.site.store.revision() == before);
        in_force(&house, "/new/", since).await
    })
}
