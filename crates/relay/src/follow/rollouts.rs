//! The store's entries on rollouts: the operator's orders to move services between
//! releases, and the stages in which boxes record the progress of these orders.

use std::collections::BTreeMap;
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
        self.unreadable_orders.borrow_mut().clear();
        items.iter().for_each(|item| self.apply_order(item));
        self.entries_held.notify();
    }

    /// Applies a change of an operator entry.
    pub(super) fn apply_order_event(&self, event: &Event) {
        match event {
            Event::Put(item) => self.apply_order(item),
            Event::Delete { key, revision } => {
                if let Some(service) = service(key) {
                    self.unreadable_orders.borrow_mut().remove(&service);
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
                self.unreadable_orders.borrow_mut().remove(&service);
                let rollouts = &self.relay.rollouts;
                rollouts.order(order, item.revision, precedence, now);
            }
            Err(error) => {
                log::error!(
                    target: "belief",
                    "event=rollout_invalid service={service} revision={} why=\"{error}\"",
                    item.revision
                );
                let mut unreadable = self.unreadable_orders.borrow_mut();
                unreadable.insert(service, item.revision);
            }
        }
    }

    /// The entries that a freshness check has to name, with their revisions: each
    /// order, or the unreadable entry in its place, and its stage.
    pub(super) fn rollout_conditions(&self) -> Vec<(String, Revision)> {
        let known = self.relay.rollouts.all();
        let unreadable = self.unreadable_orders.borrow();
        let conditions = known.iter().flat_map(|known| {
            let service = &known.order.service;
            let order = match unreadable.get(service) {
                Some(at) => *at,
                None if known.stored => known.revision,
                None => Revision::default(),
            };
            [
                (key::rollout(service), order),
                (stage::key(service), known.stage_revision),
            ]
        });
        conditions.collect()
    }

    /// Up to `room` further entries that it has to name: those of the other services, which
    /// are absent unless they are unreadable or the watch missed one. If there is no room
    /// for all, checks name them in turn.
    pub(super) fn other_rollout_conditions(&self, room: usize) -> Vec<(String, Revision)> {
        let unreadable = self.unreadable_orders.borrow();
        let catalog = self.relay.view.catalog();
        let services = catalog.iter().flat_map(|catalog| catalog.services.keys());
        let mut others: BTreeMap<&ids::Service, Revision> =
            services.map(|it| (it, Revision::default())).collect();
        others.extend(unreadable.iter().map(|(service, at)| (service, *at)));
        for known in self.relay.rollouts.all() {
            others.remove(&known.order.service);
        }
        let count = room.min(others.len());
        let first = self.next_other_order.get() % others.len().max(1);
        self.next_other_order.set(first + count);
        let named = others.iter().cycle().skip(first).take(count);
        let named = named.map(|(service, at)| (key::rollout(service), *at));
        named.collect()
    }

    /// Whether the orders that a freshness check returned are among those that the store
    /// was known to have, and include all that are in force.
    pub(super) fn matches_orders(&self, items: &[Item]) -> bool {
        let known = self.relay.rollouts.all();
        let unreadable = self.unreadable_orders.borrow();
        let expected = |item: &Item| {
            let service = service(&item.key)?;
            let stored = known
                .iter()
                .find(|it| it.stored && it.order.service == service);
            let stored = stored.map(|known| known.revision);
            unreadable.get(&service).copied().or(stored)
        };
        let mut found = items
            .iter()
            .filter(|item| key::rollout_service(&item.key).is_some());
        let mut stored = known.iter().filter(|known| known.stored);
        found.all(|item| expected(item) == Some(item.revision))
            && stored.all(|known| {
                let key = key::rollout(&known.order.service);
                items.iter().any(|item| item.key == key)
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
                Err(error) => {
                    self.log_invalid("stage", &item.key, &error);
                    let rollouts = &self.relay.rollouts;
                    rollouts.stage_unreadable(&service, item.revision);
                }
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
