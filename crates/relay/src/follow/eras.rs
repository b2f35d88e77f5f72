//! What changes when the store comes back from an older copy of itself, and when its
//! word is whole again.
//!
//! Invariant: while the operator's entries may not be whole, nothing is proven.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::era::{Era, Revision};
use tidepier_core::store::{Item, Store};

use super::mark::{self, Mark};
use super::news::News;
use super::{Follower, CALL_TIME};
use crate::era_state::{Entry, Evidence, Precedence, Prior, Waits};

/// Time between two checks whether the time is over for which something stands.
const BELIEF_LOOK: Duration = Duration::from_millis(250);

impl Follower {
    /// The version in force here, if there is one.
    pub(super) fn in_force(&self) -> Option<Version> {
        let view = &self.relay.view;
        view.catalog().map(|catalog| catalog.version)
    }

    /// What the operator had asked of halls stands for a while where the store went back.
    /// One that was emptied long ago, as far as this box knows, may be in use again: held
    /// empty by several boxes, it left the other servers crowded.
    pub(super) fn hold_halls(&self) -> Option<Precedence> {
        let within = self.relay.bounds().rewrite_within;
        let standing = &self.relay.standing;
        standing.hold_recent(within, Instant::now())
    }

    /// What the operator had ordered stands for a while where the store went back.
    pub(super) fn hold(&self) -> Option<Precedence> {
        let within = self.relay.bounds().rewrite_within;
        self.relay.standing.hold(within, Instant::now())
    }

    /// The same of what servers had said: one that is silent loses its entry within this.
    pub(super) fn hold_servers(&self) -> Option<Precedence> {
        let within = self.relay.bounds().entry_ttl;
        self.relay.standing.hold(within, Instant::now())
    }

    /// Records a state of the store that was heard of, from itself or from another box.
    /// One of a later era ends what was followed of the former one.
    pub(super) fn hear_state(&self, state: Revision) {
        let (former, now) = (self.relay.standing.era(), Instant::now());
        let before = Prior {
            in_force: self.in_force(),
            entry: self.entry.get(),
            state: self.state.get(),
            age: self.followed_age(now),
        };
        if !self.relay.standing.observe(state, before, now) {
            return;
        }
        let era = state.era();
        metrics::gauge!("tidepier_store_era").set(era.0 as f64);
        log::info!(
            target: "belief",
            "event=store_era era={era} before={} first={state} in_force={} age_ms={} settled={}",
            former.map_or_else(|| "-".to_owned(), |former| former.to_string()),
            self.relay.view.version(),
            self.relay.view.age().map_or(-1, |age| age.as_millis() as i64),
            self.relay.standing.is_settled(),
        );
        self.note_settled();
        if former.is_none() {
            self.era_changed.notify();
            return;
        }
        self.mark.set(Mark::default());
        self.relay.rollouts.restored();
        self.withheld.borrow_mut().clear();
        let answered = self.answered.get().unwrap_or(now);
        let contact = self.relay.bounds().grace_period;
        self.doubt.restored(answered, now, contact);
        // Watches of the former era end, and what goes missing is waited for.
        self.store_returned.notify();
        self.era_changed.notify();
        self.touch();
    }

    /// Records that all that the store held at `asked` is known here, and proves what is
    /// in force if the operator's entries are whole.
    pub(super) fn confirm(&self, asked: Instant) {
        self.follow_since(asked);
        let bounds = self.relay.bounds();
        let waits = Waits {
            stable: bounds.grace_period,
            rewrite: bounds.rewrite_within,
        };
        let (stored, in_force) = (self.entry.get(), self.in_force());
        let standing = &self.relay.standing;
        let ground = standing.evaluate(stored, in_force, waits, asked);
        if let Some(ground) = ground {
            self.settle(ground);
        }
        if self.relay.standing.is_settled() {
            self.prove_at(asked);
        }
    }

    /// Records that the operator's entries are whole in this era.
    pub(super) fn settle(&self, ground: Evidence) {
        if !self.relay.standing.settle(ground) {
            return;
        }
        let era = self.relay.standing.era().unwrap_or_default();
        log::info!(
            target: "belief",
            "event=store_era_settled era={era} why={ground} version={}",
            self.relay.view.version()
        );
        self.note_settled();
    }

    fn note_settled(&self) {
        let value = if self.relay.standing.is_settled() {
            1.0
        } else {
            0.0
        };
        metrics::gauge!("tidepier_store_settled").set(value);
    }

    /// Waits until this box reads a store whose operator's entries may not be whole.
    pub async fn wait_until_unsettled(&self) {
        loop {
            let heard = self.relay.standing.era().is_some();
            if heard && self.relay.standing.is_open() && self.reads_store.get() {
                return;
            }
            self.era_changed.wait().or(self.role_changed.wait()).await;
        }
    }

    /// Waits until the store goes back to an older copy.
    pub async fn wait_for_restore(&self) {
        loop {
            self.era_changed.wait().await;
            if self.relay.standing.has_changed() {
                return;
            }
        }
    }

    /// Records that other boxes were asked what they remember.
    pub fn note_recall(&self) {
        self.relay.standing.ask();
        self.asked_others.notify();
    }

    /// Looks whether another box found the operator's entries whole in this era.
    pub(super) async fn read_mark(&self, limit: Duration) {
        match self.store.get(mark::KEY, limit).await {
            Ok(read) => {
                self.hear_state(read.revision);
                self.take_mark(read.value.as_ref());
            }
            Err(failure) => self.failure("mark", &failure),
        }
    }

    /// Takes over the mark, or that there is none.
    pub(super) fn take_mark(&self, item: Option<&Item>) {
        let mark = item.map(Mark::read).unwrap_or_default();
        self.mark.set(mark);
        let era = mark.revision.era();
        if mark.names(era) && self.relay.standing.era() == Some(era) {
            self.settle(Evidence::Report);
        }
    }

    /// The era that the mark should name and does not.
    pub(super) fn unmarked_era(&self) -> Option<Era> {
        let era = self.relay.standing.era().filter(|era| *era != Era(0))?;
        let is_due = self.relay.standing.is_settled() && !self.mark.get().names(era);
        is_due.then_some(era)
    }

    /// Records the configuration's entry as the store has it in a state.
    pub(super) fn set_entry(&self, entry: Entry) {
        self.entry.set(Some(entry));
        self.see_state(entry.revision);
    }

    /// Records a state of the store in which the configuration's entry was the known one.
    pub(super) fn see_state(&self, state: Revision) {
        self.state.set(self.state.get().max(state));
    }

    /// Has the operator's entries hold as the store has them, once the time is over to
    /// write again what it lost; does not end.
    pub async fn expire_held_entries(self: Rc<Self>) {
        loop {
            if self.is_as_stored() {
                self.held.wait().await;
            } else if self.hold().is_some() || !self.reads_store.get() {
                // Boxes that do not read it are told.
                Timer::after(BELIEF_LOOK).await;
            } else if self.read_operator_now(CALL_TIME).await.is_err() {
                Timer::after(CALL_TIME).await;
            }
        }
    }

    /// Whether what the operator asked of halls and ordered is what the store has.
    fn is_as_stored(&self) -> bool {
        let rollouts = self.relay.rollouts.all();
        self.emptied.is_stored() && rollouts.iter().all(|known| known.stored)
    }

    /// Has servers that the store went back on stand as it says, once those that live
    /// have had the time to say otherwise; does not end.
    pub async fn release_withheld_servers(self: Rc<Self>) {
        loop {
            if self.withheld.borrow().is_empty() {
                self.held.wait().await;
                continue;
            }
            if self.hold_servers().is_some() {
                Timer::after(BELIEF_LOOK).await;
                continue;
            }
            let rows = std::mem::take(&mut *self.withheld.borrow_mut());
            let mut news = News::new();
            rows.into_values()
                .for_each(|row| self.announced(row, &mut news));
            news.tell();
        }
    }
}
