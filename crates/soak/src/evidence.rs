//! A copy of the ledger and of the records of all servers, taken at one moment.

use std::collections::HashMap;
use std::time::Instant;

use tidepier_relay_standin::server::{self, Run};

use crate::ledger::{Disturbance, Fact, Ledger, Loads, Request};

/// The delivery of a request to a server.
#[derive(Debug, Clone)]
pub struct Delivery {
    /// The settings of the server.
    pub server: server::Settings,
    /// The record that the server made of the request.
    pub run: Run,
    /// When the server crashed.
    pub crashed: Option<Instant>,
}

/// Groups deliveries by the id of their request, each group in the order of arrival.
fn by_request(all: impl Iterator<Item = Delivery>) -> HashMap<String, Vec<Delivery>> {
    let mut by_id: HashMap<String, Vec<Delivery>> = HashMap::new();
    for delivery in all {
        by_id
            .entry(delivery.run.attempt.clone())
            .or_default()
            .push(delivery);
    }
    for deliveries in by_id.values_mut() {
        deliveries.sort_by_key(|delivery| delivery.run.arrived);
    }
    by_id
}

/// The input of the rules.
#[derive(Debug)]
pub struct Evidence {
    /// When the run began.
    pub started: Instant,
    /// All requests, in the order in which they were sent.
    pub requests: Vec<Request>,
    /// All disturbances, in the order in which they began.
    pub disturbances: Vec<Disturbance>,
    /// All facts.
    pub facts: Vec<(Instant, Fact)>,
    /// The servers' loads over time.
    pub loads: Vec<Loads>,
    /// Deliveries by the id of their request, in the order of arrival.
    pub deliveries: HashMap<String, Vec<Delivery>>,
}

impl Evidence {
    /// Gathers what is known of a run that started at `started`. The records of the servers
    /// are read after the ledger, so that no answer is without its delivery; deliveries
    /// that arrived after the ledger was read are left out.
    pub fn gather(
        ledger: &Ledger,
        started: Instant,
        deliveries: impl FnOnce() -> Vec<Delivery>,
    ) -> Self {
        let snapshot = ledger.snapshot();
        let deliveries = deliveries().into_iter();
        Self {
            started,
            requests: snapshot.requests,
            disturbances: snapshot.disturbances,
            facts: snapshot.facts,
            loads: snapshot.loads,
            deliveries: by_request(
                deliveries.filter(|delivery| delivery.run.arrived < snapshot.taken),
            ),
        }
    }

    /// The deliveries of a request.
    pub fn deliveries(&self, request: &Request) -> &[Delivery] {
        self.deliveries.get(&request.id).map_or(&[], Vec::as_slice)
    }

    /// How often servers executed a request.
    pub fn execution_count(&self, request: &Request) -> usize {
        let deliveries = self.deliveries(request).iter();
        deliveries.filter(|delivery| delivery.run.ran()).count()
    }

    /// Whether a disturbance that matches overlaps with a time span.
    pub fn disturbed(
        &self,
        from: Instant,
        to: Instant,
        matches: impl Fn(&Disturbance) -> bool,
    ) -> bool {
        let within =
            |found: &&Disturbance| found.from <= to && found.to.is_none_or(|end| end >= from);
        self.disturbances.iter().filter(within).any(matches)
    }

    /// Whether a box, or the soak itself, lacked processor time within a time span.
    pub fn held_up(&self, box_index: usize, from: Instant, to: Instant) -> bool {
        self.facts.iter().any(|(at, fact)| match fact {
            Fact::HeldUp(held, time) => {
                held.is_none_or(|held| held == box_index) && *at >= from && *at - *time <= to
            }
            _ => false,
        })
    }
}
