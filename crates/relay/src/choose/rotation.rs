//! The choice of a server of a plain service under pressure, where servers take turns.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tidepier_admission::admission;
use tidepier_admission::balance::{Candidate, Rotation};
use tidepier_admission::demand::Demand;
use tidepier_clock::Instant;
use tidepier_ids as ids;

use super::{weight, Choice, Criteria, PlainServers};
use crate::fleet::{Backend, Fleet, Key};

/// What the servers have that may get a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Servers {
    /// Requests that they work on at once.
    pub slots: f64,
    /// Requests of all boxes that they have; `None` without recent counts.
    pub in_flight: Option<f64>,
}

impl Servers {
    /// The servers of a service that take requests of this box.
    pub fn of(
        fleet: &Fleet,
        service: &ids::Service,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Self {
        let servers = fleet.serving(service);
        let usable = |it: &&Rc<Backend>| it.is_healthy(now) && criteria.filter.admits(it, now);
        let usable: Vec<&Rc<Backend>> = servers.iter().filter(usable).collect();
        // Those that stand still may go on at any moment, and are chosen if all of them do.
        let (stalled, moving): (Vec<_>, Vec<_>) =
            usable.into_iter().partition(|it| it.is_stalled(now));
        let usable = match moving.is_empty() {
            true => stalled,
            false => moving,
        };
        // A faulty box may report counts whose sum exceeds an integer.
        let counted = |it: &&Rc<Backend>| {
            let counted = it.counted_in_flight(weight::COUNT_AGE_MAX, now);
            counted.map(f64::from)
        };
        Self {
            slots: usable.iter().map(|it| f64::from(it.slots())).sum(),
            in_flight: usable.iter().map(counted).sum(),
        }
    }

    /// Whether boxes have to share out the servers by what each can sustain.
    pub fn are_under_pressure(&self) -> bool {
        self.in_flight
            .is_some_and(|it| admission::is_under_pressure(it, self.slots))
    }
}

/// Whose turn it is at each service.
#[derive(Debug, Default)]
pub struct Rotations(RefCell<HashMap<ids::Service, Rotation<Key>>>);

impl Rotations {
    /// Returns the server of a plain service whose turn it is; `None` if there is no server
    /// that this box has no reason to avoid.
    pub fn choose(
        &self,
        fleet: &Fleet,
        service: &ids::Service,
        criteria: &Criteria<'_>,
        demand: &Demand,
        now: Instant,
    ) -> Option<Choice> {
        let servers = fleet.serving(service);
        let plain = PlainServers::new(fleet, service, &servers, criteria, demand, now);
        let usable: Vec<&Rc<Backend>> = plain.in_turn().collect();
        let candidates: Vec<Candidate<Key>> =
            usable.iter().map(|it| candidate(&plain, it)).collect();
        let mut rotations = self.0.borrow_mut();
        let key = rotations
            .entry(service.clone())
            .or_default()
            .next(&candidates)?;
        let backend = usable.iter().find(|it| it.key == key)?;
        let mut choice = plain.relieve(plain.rate(backend));
        // Where all are too busy to answer in time, checks would take slots from requests.
        choice.needs_check &= usable.iter().any(|it| plain.is_verified(it));
        Some(choice)
    }
}

fn candidate(plain: &PlainServers<'_>, backend: &Backend) -> Candidate<Key> {
    let latency_ms = backend
        .health
        .expected_latency_ms(plain.median_ms, plain.now);
    Candidate {
        key: backend.key,
        slots: f64::from(backend.slots()),
        time: Duration::from_secs_f64(latency_ms / 1e3),
    }
}
