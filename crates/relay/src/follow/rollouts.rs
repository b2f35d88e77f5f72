//! The store's entries on rollouts: the operator's orders to move services between
//! releases, and the stages in which boxes record the progress of these orders.

use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::store::{Event, Item, Revision};
use tidepier_ids as ids;
use tidepier_platform::{key, rollout as wire};

use super::Follower;
use crate::rollout::stage::{self, Stage};
use crate::rollout::List;

impl Follower {
    /// Applies the orders among all operator entries as of a revision.
    pub(super) fn apply_orders(&self, items: &[Item], revision: Revision) {
        let rollouts = &self.relay.rollouts;
        for known in rollouts.all() {
            let service = &known.order.service;
            let key = key::rollout(service);
            if !items.iter().any(|item| item.key == key) {
                rollouts.missing(service, revision, self.rollout_precedence());
            }
        }
        items.iter().for_each(|item| self.apply_order(item));
        self.entries_held.notify();
    }

    /// Applies a change of an operator entry.
    pub(super) fn apply_order_event(&self, event: &Event) {
        match event {
            Event::Put(item) => self.apply_order(item),
            Event::Delete { key, revision } => {
                if let Some(service) = service(key) {
                    self.relay.rollouts.cancel(&service, *revision);
                }
            }
        }
    }

    fn apply_order(&self, item: &Item) {
        let Some(service) = service(&item.key) else {
            return;
        };
        let (precedence, now) = (self.rollout_precedence(), Instant::now());
        match wire::decode(&service, &item.value) {
            Ok(order) => {
                let rollouts = &self.relay.rollouts;
                rollouts.order(order, item.revision, precedence, now);
            }
            Err(error) => log::error!(
                target: "belief",
                "event=rollout_invalid service={service} revision={} why=\"{error}\"",
                item.revision
            ),
        }
    }

    /// The entries that a freshness check has to name, with their revisions: each
    /// order, and its stage.
    pub(super) fn rollout_conditions(&self) -> Vec<(String, Revision)> {
        let known = self.relay.rollouts.all();
        let conditions = known.iter().flat_map(|known| {
            let service = &known.order.service;
            let order = if known.stored {
                known.revision
            } else {
                Revision::default()
            };
            [
                (key::rollout(service), order),
                (stage::key(service), known.stage_revision),
            ]
        });
        conditions.collect()
    }

    /// Whether the orders that a freshness check returned are those that the store was
    /// known to have.
    pub(super) fn matches_orders(&self, items: &[Item]) -> bool {
        self.relay.rollouts.all().iter().all(|known| {
            let key = key::rollout(&known.order.service);
            let item = items.iter().find(|item| item.key == key);
            let stored = known.stored.then_some(known.revision);
            item.map(|item| item.revision) == stored
        })
    }

    /// Applies the stages that a freshness check returned. A known order whose stage is
    /// not among them has none.
    pub(super) fn apply_checked_stages(&self, items: &[Item]) {
        for known in self.relay.rollouts.all() {
            let key = stage::key(&known.order.service);
            if !items.iter().any(|item| item.key == key) {
                self.relay.rollouts.stage_missing(&known.order.service);
            }
        }
        self.apply_stages(items);
    }

    /// Applies the stages among entries of any kind.
    pub(crate) fn apply_stages(&self, items: &[Item]) {
        for item in items {
            let Some(service) = stage::service(&item.key) else {
                continue;
            };
            match serde_json::from_slice::<Stage>(&item.value) {
                Ok(stage) => {
                    let now = Instant::now();
                    let rollouts = &self.relay.rollouts;
                    rollouts.stage(&service, stage, item.revision, now);
                }
                Err(error) => log::error!(
                    target: "belief",
                    "event=stage_invalid key={} why=\"{error}\"",
                    item.key
                ),
            }
        }
    }

    /// Applies another box's answer to a request that was sent at `asked`.
    pub(super) fn apply_rollouts(&self, list: Option<&List>, asked: Instant) {
        let Some(list) = list else {
            return;
        };
        let same = self
            .relay
            .rollouts
            .merge(list, self.rollout_precedence(), Instant::now());
        let age = list.age_ms.filter(|_| same).map(Duration::from_millis);
        if let Some(confirmed) = age.and_then(|age| asked.checked_sub(age)) {
            self.relay.rollouts.confirm_at(confirmed);
        }
    }
}

fn service(key: &str) -> Option<ids::Service> {
    let name = key::rollout_service(key)?;
    match name.parse() {
        Ok(service) => Some(service),
        Err(error) => {
            log::error!(target: "belief", "event=rollout_invalid key={key:?} why=\"{error}\"");
            None
        }
    }
}
