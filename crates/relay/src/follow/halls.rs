//! The operator's entries in the store that request halls to be emptied.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::store::{Event, Item, Revision};
use tidepier_ids as ids;
use tidepier_platform::key;

use super::Follower;
use crate::emptied_halls::{List, Row};

/// Interval between two checks for requests that still run in halls to be emptied.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Follower {
    /// The halls to be emptied among all operator entries as of a revision.
    pub(super) fn emptied_list(&self, items: &[Item], revision: Revision) -> List {
        List {
            rows: items.iter().filter_map(row).collect(),
            seen: revision,
        }
    }

    /// Applies a list of the halls to be emptied; returns whether it equals what is
    /// known here now.
    pub(super) fn apply_emptied_list(&self, list: &List) -> bool {
        let same = self.emptied.merge(list, self.hall_precedence());
        self.apply_emptied();
        self.entries_held.notify();
        same
    }

    /// Applies a change of an operator entry; [`apply_emptied`](Self::apply_emptied)
    /// has to be called afterwards.
    pub(super) fn apply_emptied_event(&self, event: &Event) {
        match event {
            Event::Put(item) => {
                if let Some(Row { hall, revision }) = row(item) {
                    self.emptied
                        .record_emptied(hall, revision, self.hall_precedence());
                }
            }
            Event::Delete { key, revision } => {
                if let Some(hall) = hall(key) {
                    self.emptied.cancel(hall, *revision);
                }
            }
        }
    }

    /// Passes the halls to be emptied on to the fleet.
    pub(super) fn apply_emptied(&self) {
        let halls = self.emptied.halls();
        let changed = self.relay.fleet.set_emptied(&halls, Instant::now());
        if changed.is_empty() {
            return;
        }
        for (hall, emptied) in changed {
            log::info!(
                target: "belief",
                "event=hall hall={hall} emptied={emptied} seen={} running={} age_ms={}",
                self.emptied.list().seen,
                self.relay.fleet.running_in(&hall),
                self.relay.view.age().map_or(-1, |age| age.as_millis() as i64),
            );
            let value = if emptied { 1.0 } else { 0.0 };
            metrics::gauge!("tidepier_hall_emptied", "hall" => hall.to_string()).set(value);
        }
        self.emptied_changed.notify();
        self.record_change();
    }

    /// The entries that a freshness check has to name, with their revisions: one for
    /// each hall, also where it is absent.
    pub(super) fn emptied_conditions(&self) -> Vec<(String, Revision)> {
        let stored = self.emptied.stored();
        let named = self.relay.halls().into_iter();
        let halls: BTreeSet<ids::Hall> = named.chain(stored.keys().cloned()).collect();
        let revision = |hall: &ids::Hall| stored.get(hall).copied().unwrap_or_default();
        let conditions = halls
            .iter()
            .map(|hall| (key::emptied(hall), revision(hall)));
        conditions.collect()
    }

    /// Whether the emptied halls that a freshness check returned are those that the
    /// store was known to have.
    pub(super) fn matches_emptied(&self, items: &[Item]) -> bool {
        let found = items.iter().filter_map(row);
        let found: BTreeMap<ids::Hall, Revision> =
            found.map(|row| (row.hall, row.revision)).collect();
        found == self.emptied.stored()
    }

    /// Reports by metrics and log which requests still run in halls to be emptied; does
    /// not end.
    pub async fn report_emptying(self: Rc<Self>) {
        loop {
            self.emptied_changed.wait().await;
            let mut busy = self.emptied.halls();
            while !busy.is_empty() {
                let asked = self.emptied.halls();
                busy.retain(|hall| self.still_runs(hall, asked.contains(hall)));
                Timer::after(CHECK_INTERVAL).await;
            }
        }
    }

    /// Whether requests of this box still run in a hall that is to be emptied.
    fn still_runs(&self, hall: &ids::Hall, asked: bool) -> bool {
        let running = self.relay.fleet.running_in(hall);
        let gauge = metrics::gauge!("tidepier_hall_requests", "hall" => hall.to_string());
        gauge.set(f64::from(running));
        if asked && running == 0 {
            log::info!(target: "belief", "event=hall_empty hall={hall}");
        }
        asked && running > 0
    }
}

/// The hall that an entry names; the entry's value is not used.
fn row(item: &Item) -> Option<Row> {
    let hall = hall(&item.key)?;
    let revision = item.revision;
    Some(Row { hall, revision })
}

fn hall(key: &str) -> Option<ids::Hall> {
    let name = key::emptied_hall(key)?;
    match name.parse() {
        Ok(hall) => Some(hall),
        Err(error) => {
            log::error!(target: "belief", "event=hall_invalid key={key:?} why=\"{error}\"");
            None
        }
    }
}
