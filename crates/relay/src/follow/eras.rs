//! What happens when the store comes back restored from an older backup of itself, and
//! when the operator entries count as complete again.
//!
//! Invariant: while the operator entries may be incomplete, nothing is confirmed to be
//! the newest.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::era::{Era, Revision};
use tidepier_core::store::{Item, Store};

use super::change_log::Batch;
use super::mark::{self, Mark};
use super::{Follower, CALL_TIMEOUT};
use crate::era_state::{Delays, Entry, Evidence, Precedence, Prior};

/// Interval between two checks whether a hold time is over.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Follower {
    /// The version of the configuration in force here, if there is one.
    pub(super) fn in_force(&self) -> Option<Version> {
        let view = &self.relay.view;
        view.catalog().map(|catalog| catalog.version)
    }

    /// The precedence of known emptied halls: for the hold time after a restore of the
    /// store, the known state of halls takes precedence over backup entries and missing
    /// ones. It is `None` if this box's view was older than that at the restore: a hall that was
    /// emptied long ago, as far as this box knows, may be in use again. Kept empty by
    /// several boxes, such a hall overloaded the other servers.
    pub(super) fn hall_precedence(&self) -> Option<Precedence> {
        let hold_time = self.relay.bounds().rewrite_within;
        let era_state = &self.relay.era_state;
        era_state.recent_precedence(hold_time, Instant::now())
    }

    /// The precedence of known rollout orders: for the hold time after a restore of the
    /// store, the known orders take precedence over backup entries and missing ones.
    pub(super) fn rollout_precedence(&self) -> Option<Precedence> {
        let hold_time = self.relay.bounds().rewrite_within;
        self.relay.era_state.precedence(hold_time, Instant::now())
    }

    /// The precedence of known server entries: what servers advertised before a restore
    /// takes precedence over backup entries until an unresponsive server would have lost its
    /// entry.
    pub(super) fn server_precedence(&self) -> Option<Precedence> {
        let hold_time = self.relay.bounds().entry_ttl;
        self.relay.era_state.precedence(hold_time, Instant::now())
    }

    /// Records a state of the store that the store itself or another box reported. If
    /// it is of a later era, stops following the stale one.
    pub(super) fn observe_state(&self, state: Revision) {
        let (earlier, now) = (self.relay.era_state.era(), Instant::now());
        let before = Prior {
            in_force: self.in_force(),
            entry: self.stored_entry.get(),
            state: self.stored_state.get(),
            age: self.synced_age(now),
        };
        if !self.relay.era_state.observe(state, before, now) {
            return;
        }
        let era = state.era();
        metrics::gauge!("tidepier_store_era").set(era.0 as f64);
        log::info!(
            target: "belief",
            "event=store_era era={era} before={} first={state} in_force={} age_ms={} settled={}",
            earlier.map_or_else(|| "-".to_owned(), |earlier| earlier.to_string()),
            self.relay.view.version(),
            self.relay.view.age().map_or(-1, |age| age.as_millis() as i64),
            self.relay.era_state.is_settled(),
        );
        self.report_settled();
        if earlier.is_none() {
            self.era_changed.notify();
            return;
        }
        self.mark.set(Mark::default());
        self.relay.rollouts.restored();
        self.withheld.borrow_mut().clear();
        let answered = self.answered_at.get().unwrap_or(now);
        let grace_period = self.relay.bounds().grace_period;
        self.availability
            .record_restore(answered, now, grace_period);
        // Ends the watches of the stale era, and begins the grace period for missing
        // entries.
        self.store_returned.notify();
        self.era_changed.notify();
        self.record_change();
    }

    /// Records that the operator entries known here are those that the store held at
    /// `asked`, and confirms them as the newest if none was lost in a restore.
    pub(super) fn confirm(&self, asked: Instant) {
        self.record_operator_complete(asked);
        let bounds = self.relay.bounds();
        let delays = Delays {
            stable: bounds.grace_period,
            rewrite: bounds.rewrite_within,
        };
        let (stored, in_force) = (self.stored_entry.get(), self.in_force());
        let era_state = &self.relay.era_state;
        let evidence = era_state.evaluate(stored, in_force, delays, asked);
        if let Some(evidence) = evidence {
            self.settle(evidence);
        }
        if self.relay.era_state.is_settled() {
            self.record_confirmation(asked);
        }
    }

    /// Records that the operator entries are complete in this era.
    pub(super) fn settle(&self, evidence: Evidence) {
        if !self.relay.era_state.settle(evidence) {
            return;
        }
        let era = self.relay.era_state.era().unwrap_or_default();
        log::info!(
            target: "belief",
            "event=store_era_settled era={era} why={evidence} version={}",
            self.relay.view.version()
        );
        self.report_settled();
    }

    fn report_settled(&self) {
        let value = if self.relay.era_state.is_settled() {
            1.0
        } else {
            0.0
        };
        metrics::gauge!("tidepier_store_settled").set(value);
    }

    /// Waits until this box reads a store whose operator entries may be incomplete.
    pub async fn wait_until_unsettled(&self) {
        loop {
            let observed = self.relay.era_state.era().is_some();
            if observed && self.relay.era_state.is_unsettled() && self.reads_store.get() {
                return;
            }
            self.era_changed.wait().or(self.role_changed.wait()).await;
        }
    }

    /// Waits until the store is restored from an older backup.
    pub async fn wait_for_restore(&self) {
        loop {
            self.era_changed.wait().await;
            if self.relay.era_state.has_changed() {
                return;
            }
        }
    }

    /// Records that other boxes were asked for the operator entries that they remember.
    pub fn note_recall(&self) {
        self.relay.era_state.mark_peers_queried();
        self.recall_done.notify();
    }

    /// Reads the mark, by which another box may have recorded that the operator entries
    /// are complete in this era.
    pub(super) async fn read_mark(&self, limit: Duration) {
        match self.store.get(mark::KEY, limit).await {
            Ok(read) => {
                self.observe_state(read.revision);
                self.apply_mark(read.value.as_ref());
            }
            Err(failure) => self.log_failure("mark", &failure),
        }
    }

    /// Applies the mark, or its absence.
    pub(super) fn apply_mark(&self, item: Option<&Item>) {
        let mark = item.map(Mark::read).unwrap_or_default();
        self.mark.set(mark);
        let era = mark.revision.era();
        if mark.names(era) && self.relay.era_state.era() == Some(era) {
            self.settle(Evidence::Report);
        }
    }

    /// The era that has to be written into the mark; `None` where nothing has to be.
    pub(super) fn unmarked_era(&self) -> Option<Era> {
        let era = self.relay.era_state.era().filter(|era| *era != Era(0))?;
        let is_due = self.relay.era_state.is_settled() && !self.mark.get().names(era);
        is_due.then_some(era)
    }

    /// Records the configuration's entry of the store.
    pub(super) fn set_stored_entry(&self, entry: Entry) {
        self.stored_entry.set(Some(entry));
        self.record_stored_state(entry.revision);
    }

    /// Records a state of the store in which the configuration's entry was the known
    /// one.
    pub(super) fn record_stored_state(&self, state: Revision) {
        self.stored_state.set(self.stored_state.get().max(state));
    }

    /// Replaces held operator entries by what the store has once the hold time is over,
    /// in which the operator writes again what the store lost; does not end.
    pub async fn expire_held_entries(self: Rc<Self>) {
        loop {
            if self.matches_store() {
                self.entries_held.wait().await;
            } else if self.rollout_precedence().is_some() || !self.reads_store.get() {
                // A box that does not read the store gets the entries from its reader.
                Timer::after(HOLD_CHECK_INTERVAL).await;
            } else if self.read_operator_now(CALL_TIMEOUT).await.is_err() {
                Timer::after(CALL_TIMEOUT).await;
            }
        }
    }

    /// Whether the emptied halls and the orders in force here are those in the store.
    fn matches_store(&self) -> bool {
        let rollouts = self.relay.rollouts.all();
        self.emptied.is_stored() && rollouts.iter().all(|known| known.stored)
    }

    /// Applies withheld entries once the hold time is over, in which running servers
    /// write newer ones; does not end.
    pub async fn release_withheld_servers(self: Rc<Self>) {
        loop {
            if self.withheld.borrow().is_empty() {
                self.entries_held.wait().await;
                continue;
            }
            if self.server_precedence().is_some() {
                Timer::after(HOLD_CHECK_INTERVAL).await;
                continue;
            }
            let rows = std::mem::take(&mut *self.withheld.borrow_mut());
            let mut batch = Batch::new();
            rows.into_values()
                .for_each(|row| self.apply_row(row, &mut batch));
            batch.write();
        }
    }
}
