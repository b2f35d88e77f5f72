//! Which servers of a plain service are known to answer.

use std::time::Duration;

use tidepier_admission::demand::Demand;
use tidepier_admission::rate::Rate;
use tidepier_admission::verify;
use tidepier_clock::Instant;
use tidepier_ids as ids;

use crate::fleet::{Backend, Fleet};

/// The verification of the servers of one service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Verification {
    /// Time for which an answer of one of its servers counts; `None` if none is needed.
    lifetime: Option<Duration>,
}

impl Verification {
    /// The verification of the `servers` of a service. `boxes`: of the fleet.
    pub(super) fn new(
        fleet: &Fleet,
        service: &ids::Service,
        servers: usize,
        demand: &Demand,
        boxes: usize,
        now: Instant,
    ) -> Self {
        let is_choice = (2..=verify::SERVERS_MAX).contains(&servers);
        let is_required = is_choice && fleet.stalls.lives.is_used(now);
        let lifetime = || {
            let rate = demand.rate(service, boxes, now);
            verify::lifetime(Rate(rate.0 / servers as f64))
        };
        Self {
            lifetime: is_required.then(lifetime),
        }
    }

    /// Whether a server is known to answer, or does not have to be.
    pub(super) fn holds(&self, backend: &Backend, now: Instant) -> bool {
        let is_verified = |lifetime| backend.is_verified(lifetime, now);
        self.lifetime.is_none_or(is_verified)
    }
}
