//! The operator's orders to move services between releases: their entries in the store,
//! and those in which boxes keep how far these have come.

use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::store::{Event, Item, Revision};
use tidepier_ids as ids;
use tidepier_platform::{key, rollout as wire};

use super::Follower;
use crate::rollout::stage::{self, Stage};
use crate::rollout::List;

impl Follower {
    /// Takes over the orders among all entries of the operator as of a revision.
    pub(super) fn take_orders(&self, items: &[Item], revision: Revision) {
        let rollouts = &self.relay.rollouts;
        for known in rollouts.all() {
            let service = &known.order.service;
            let key = key::rollout(service);
            if !items.iter().any(|item| item.key == key) {
                rollouts.take_back(service, revision.0);
            }
        }
        items.iter().for_each(|item| self.take_order(item));
    }

    /// Takes over a change of the operator's entries.
    pub(super) fn take_order_event(&self, event: &Event) {
        match event {
            Event::Put(item) => self.take_order(item),
            Event::Delete { key, revision } => {
                if let Some(service) = service(key) {
                    self.relay.rollouts.take_back(&service, revision.0);
                }
            }
        }
    }

    fn take_order(&self, item: &Item) {
        let Some(service) = service(&item.key) else {
            return;
        };
        let now = Instant::now();
        match wire::decode(&service, &item.value) {
            Ok(order) => self.relay.rollouts.order(order, item.revision.0, now),
            Err(error) => log::error!(
                target: "belief",
                "event=rollout_invalid service={service} revision={} why=\"{error}\"",
                item.revision
            ),
        }
    }

    /// The entries that a proof has to name: each order and how far it has come.
    pub(super) fn rollout_conditions(&self) -> Vec<(String, Revision)> {
        let known = self.relay.rollouts.all();
        let conditions = known.iter().flat_map(|known| {
            let service = &known.order.service;
            [
                (key::rollout(service), Revision(known.revision)),
                (stage::key(service), Revision(known.stage_revision)),
            ]
        });
        conditions.collect()
    }

    /// Whether the orders that a proof named are as they are known here.
    pub(super) fn orders_are(&self, items: &[Item]) -> bool {
        self.relay.rollouts.all().iter().all(|known| {
            let key = key::rollout(&known.order.service);
            let item = items.iter().find(|item| item.key == key);
            item.is_some_and(|item| item.revision == Revision(known.revision))
        })
    }

    /// Takes over how far orders have come, of entries of any kind.
    pub(crate) fn take_stages(&self, items: &[Item]) {
        for item in items {
            let Some(service) = stage::service(&item.key) else {
                continue;
            };
            match serde_json::from_slice::<Stage>(&item.value) {
                Ok(stage) => {
                    let now = Instant::now();
                    let rollouts = &self.relay.rollouts;
                    rollouts.stage(&service, stage, item.revision.0, now);
                }
                Err(error) => log::error!(
                    target: "belief",
                    "event=stage_invalid key={} why=\"{error}\"",
                    item.key
                ),
            }
        }
    }

    /// Takes over what another box answered to a question that was sent at `asked`.
    pub(super) fn take_rollouts(&self, list: Option<&List>, asked: Instant) {
        let Some(list) = list else {
            return;
        };
        let same = self.relay.rollouts.merge(list, Instant::now());
        let age = list.age_ms.filter(|_| same).map(Duration::from_millis);
        if let Some(proven) = age.and_then(|age| asked.checked_sub(age)) {
            self.relay.rollouts.prove(proven);
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
