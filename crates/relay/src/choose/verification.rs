//! Which servers of a plain service are known to answer.

use std::rc::Rc;
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
    /// Rate of the service's requests at all boxes.
    rate: Rate,
    /// Number of its servers.
    servers: usize,
    is_required: bool,
}

impl Verification {
    /// The verification of `servers`, all those of a service. `boxes`: of the fleet.
    pub(super) fn new(
        fleet: &Fleet,
        service: &ids::Service,
        servers: &[Rc<Backend>],
        demand: &Demand,
        boxes: usize,
        now: Instant,
    ) -> Self {
        let rate = demand.rate(service, boxes, now);
        let count = servers.len();
        let is_choice = (2..=verify::SERVERS_MAX).contains(&count);
        Self {
            rate,
            servers: count,
            is_required: is_choice && fleet.stalls.lives.is_used(now),
        }
    }

    /// Whether a server is known to answer, or does not have to be.
    pub(super) fn holds(&self, backend: &Backend, hall: &ids::Hall, now: Instant) -> bool {
        if !self.is_required {
            return true;
        }
        let way = match backend.server.hall == *hall {
            true => Duration::ZERO,
            false => backend.hall.round_trip().unwrap_or_default(),
        };
        let rate = server_rate(self.rate, self.servers);
        backend.is_verified(verify::lifetime(rate, way), now)
    }
}

fn server_rate(rate: Rate, servers: usize) -> Rate {
    Rate(rate.0 / servers.max(1) as f64)
}
