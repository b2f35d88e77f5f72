//! Keeps the store's record of the releases of services up to date.
//!
//! The hub of each hall does this; what the record holds and why is in
//! [`ledger`](crate::origin::ledger). The other boxes read whether it names the releases that
//! were added: until it does, they send no streams there if others can take them.

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
/// Doublings of the interval between two reads of an entry that lacks a release.
const READ_DOUBLINGS: u32 = 3;
/// Attempts to write an entry of the ledger that other boxes write as well.
const RECORD_ATTEMPTS: u32 = 3;

/// Keeps the ledger up to date while this box is the hub of its hall; never returns.
pub(crate) async fn run(relay: Rc<Relay>, is_alone: bool) -> Infallible {
    let releases = &relay.fleet.releases;
    // What was last compared with the ledger, and until when that need not be done again.
    let mut compared: HashMap<ids::Service, (BTreeSet<Name>, Option<Instant>)> = HashMap::new();
    let mut compared_in = None;
    let mut reader = Reader::default();
    loop {
        let pause = async {
            Timer::after(LEDGER_INTERVAL).await;
        };
        pause.or(releases.added.wait()).await;
        if !is_alone && !relay.traffic.is_hub() {
            compared.clear();
            reader.read_due(&relay).await;
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
                Ok(Some(is_exact)) => {
                    // What it names beyond that can be taken out later.
                    let until = (!is_exact).then(|| now + window / COMPARISONS);
                    compared.insert(service, (names, until));
                }
                Ok(None) => {}
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

/// Reads which of the releases that were added the ledger names, at a box that is no hub.
#[derive(Default)]
struct Reader {
    due: Option<Instant>,
    /// Reads in a row after which a release was still not named.
    vain: u32,
}

impl Reader {
    /// Reads the entries of services with releases that are not known to be recorded, if that
    /// is due.
    async fn read_due(&mut self, relay: &Relay) {
        let releases = &relay.fleet.releases;
        let services = releases.unrecorded();
        if services.is_empty() {
            *self = Self::default();
            return;
        }
        let interval = LEDGER_INTERVAL * (1 << self.vain.min(READ_DOUBLINGS));
        // Spread, as all boxes learn of a release at the same time.
        let spread = || interval.mul_f64(0.5 + fastrand::f64());
        let due = *self.due.get_or_insert_with(|| Instant::now() + spread());
        // This box may become the hub meanwhile.
        if due > Instant::now() + LEDGER_INTERVAL {
            return;
        }
        tidepier_clock::sleep_until(due).await;
        for service in services {
            match relay.origins.ledger.recent(&service).await {
                Ok(entry) => releases.record_recorded(&service, &entry.names),
                Err(failure) => {
                    log::info!(
                        target: "belief",
                        "event=store_call_failed call=releases_read why={} detail=\"{failure}\"",
                        failure.name()
                    );
                    break;
                }
            }
        }
        self.due = None;
        self.vain += 1;
    }
}

/// Makes the ledger's entry of a service name these releases. Returns whether it is complete
/// and names no others; `None` if others changed it at each attempt.
async fn record(
    relay: &Relay,
    service: &ids::Service,
    names: &BTreeSet<Name>,
) -> Result<Option<bool>, Failure> {
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
            releases.record_recorded(service, &wanted);
            return Ok(Some(is_exact));
        }
        let replaced = ledger.replace(service, &entry, &wanted, is_complete);
        if replaced.await? {
            releases.record_recorded(service, &wanted);
            log::info!(
                target: "belief",
                "event=releases service={service} count={} complete={is_complete} window_s={}",
                wanted.len(),
                window.as_secs()
            );
            return Ok(Some(is_exact));
        }
    }
    Ok(None)
}
