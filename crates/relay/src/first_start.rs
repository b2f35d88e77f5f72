//! Whether nothing served before this box started.
//!
//! The settings say whether the fleet starts for the first time, but a process may be started
//! again with the settings that it had. The store shows which it is: a fleet that served has
//! left entries in the record of releases, and a box that ran not long ago its own entry.
//!
//! Invariant: a box counts a start as the first one only after the store has shown, since then,
//! that it was never restored, has no record of releases, and had no entry of this box.

use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;

use crate::peer::registry::Registry;
use crate::relay::Relay;

/// Time from its start until a box of a new fleet writes the first entry, so that the others,
/// which start at the same time, do not take that for the entry of an earlier fleet.
const RECORD_DELAY: Duration = Duration::from_secs(2);
/// Time between two attempts to read the record.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Records that nothing served before, if the store shows it. Completes once this box may write
/// to the record.
pub(crate) async fn confirm(relay: &Relay, registry: &Registry) {
    let started = Instant::now();
    let refuted = if has_record(relay).await {
        Some("recorded_releases")
    } else if !registry.is_new().await {
        Some("registered_before")
    } else {
        None
    };
    if let Some(why) = refuted {
        log::warn!(target: "belief", "event=first_start result=refuted why={why}");
        return;
    }
    relay.fleet.releases.record_first_start();
    log::info!(
        target: "belief",
        "event=first_start result=confirmed after_ms={}",
        started.elapsed().as_millis()
    );
    tidepier_clock::sleep_until(started + RECORD_DELAY).await;
}

/// Whether the store has a record of releases, or may have had one; waits until the store answers.
async fn has_record(relay: &Relay) -> bool {
    loop {
        match relay.origins.ledger.is_unused().await {
            Ok(is_unused) => return !is_unused,
            Err(failure) => log::info!(
                target: "belief",
                "event=store_call_failed call=first_start why={} detail=\"{failure}\"",
                failure.name()
            ),
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}
