//! Keeps the store's record of the releases of services up to date.
//!
//! The hub of each hall does this; what the record holds and why is in
//! [`ledger`](crate::origin::ledger).

use std::collections::{BTreeSet, HashMap};
use std::convert::Infallible;
use std::mem;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::store::Failure;
use tidepier_ids as ids;

use crate::origin::Name;
use crate::relay::Relay;

/// Interval at which the ledger is compared with what this box observes.
const LEDGER_INTERVAL: Duration = Duration::from_secs(1);
/// How often a ledger's entry with further names is compared in the time for which these stay.
const COMPARISONS: u32 = 4;
/// Attempts to write an entry of the ledger that other boxes write as well.
const RECORD_ATTEMPTS: u32 = 3;

/// Keeps the ledger up to date while this box is the hub of its hall; never returns.
pub(crate) async fn run(relay: Rc<Relay>, is_alone: bool) -> Infallible {
    let releases = &relay.fleet.releases;
    // What was last compared with the ledger, and until when that need not be done again.
    let mut compared: HashMap<ids::Service, (BTreeSet<Name>, Option<Instant>)> = HashMap::new();
    let mut compared_in = None;
    loop {
        let pause = async {
            Timer::after(LEDGER_INTERVAL).await;
        };
        pause.or(releases.added.wait()).await;
        if !is_alone && !relay.traffic.is_hub() {
            compared.clear();
            continue;
        }
        // A store that was restored from a backup may have lost what was written.
        let era = relay.era_state.era();
        if mem::replace(&mut compared_in, era) != era {
            compared.clear();
        }
        for service in releases.services() {
            let window = relay.origins.window();
            let now = Instant::now();
            let names = releases.names(&service, window, now);
            let is_compared = compared.get(&service).is_some_and(|(known, until)| {
                *known == names && until.is_none_or(|until| now < until)
            });
            if names.is_empty() || is_compared {
                continue;
            }
            match record(&relay, &service, &names).await {
                Ok(is_exact) => {
                    // What it names beyond that can be taken out later.
                    let until = (!is_exact).then(|| now + window / COMPARISONS);
                    compared.insert(service, (names, until));
                }
                Err(failure) => {
                    log::info!(
                        target: "belief",
                        "event=store_call_failed call=releases why={} detail=\"{failure}\"",
                        failure.name()
                    );
                    Timer::after(LEDGER_INTERVAL).await;
                    break;
                }
            }
        }
    }
}

/// Makes the ledger's entry of a service name these releases. Returns whether it is complete
/// and names no others.
async fn record(
    relay: &Relay,
    service: &ids::Service,
    names: &BTreeSet<Name>,
) -> Result<bool, Failure> {
    let ledger = &relay.origins.ledger;
    let window = relay.origins.window();
    // The hubs of all halls write at the same time.
    for _ in 0..RECORD_ATTEMPTS {
        let entry = ledger.read(service).await?;
        let releases = &relay.fleet.releases;
        // A box that has not observed the service for long enough takes no name out.
        let has_observed = releases.is_complete(service, window, Instant::now());
        let wanted = match has_observed {
            true => names.clone(),
            false => names.union(&entry.names).cloned().collect(),
        };
        let is_complete = has_observed || entry.is_complete;
        let is_exact = is_complete && wanted == *names;
        if wanted == entry.names && is_complete == entry.is_complete {
            return Ok(is_exact);
        }
        let replaced = ledger.replace(service, &entry, &wanted, is_complete);
        if replaced.await? {
            log::info!(
                target: "belief",
                "event=releases service={service} count={} complete={is_complete} window_s={}",
                wanted.len(),
                window.as_secs()
            );
            return Ok(is_exact);
        }
    }
    Ok(false)
}
