//! Rules out servers that a request must not go to, regardless of their cost.

use std::collections::BTreeMap;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::AllowedRegions;
use tidepier_ids as ids;

use super::weight;
use crate::cold::{Limit, Roster};
use crate::fleet::Backend;
use crate::origin::Origin;
use crate::rollout::Selector;

/// The region of each hall.
pub type Regions = BTreeMap<ids::Hall, ids::Region>;

/// Whether a request would get a slot of a server at once, as far as this box knows.
pub(crate) fn has_room(backend: &Backend, now: Instant) -> bool {
    let counted = backend.total_in_flight(weight::LOAD_AGE_MAX, now);
    let load = counted.max(backend.load(weight::LOAD_AGE_MAX, now));
    load.unwrap_or_else(|| backend.in_flight()) < backend.slots()
}

/// Limits the requests that this box sends to the cold servers of a service.
#[derive(Clone, Copy)]
pub struct Admission<'a> {
    /// The bound for each server.
    pub limit: Limit,
    /// The boxes that share the bound.
    pub roster: &'a Roster,
    /// How long a request may wait until a cold server can take it.
    pub max_wait: Duration,
}

impl Admission<'_> {
    /// Whether a server is warm, or this box may send it one more request in time.
    pub fn admits(&self, backend: &Backend, now: Instant) -> bool {
        let at = self.next(backend, now);
        at.is_some_and(|at| at <= now + self.max_wait)
    }

    /// When this box may send a server one more request; `None`: not while the server is
    /// cold.
    pub fn next(&self, backend: &Backend, now: Instant) -> Option<Instant> {
        if !self.is_cold(backend, now) {
            return Some(now);
        }
        let server = &backend.server;
        let share = self.roster.share(&server.id, &server.hall, self.limit, now);
        share.and_then(|share| backend.window.next(share, now))
    }

    /// Whether a server is cold: by its own report, or because it or its hall was
    /// unreachable recently.
    pub fn is_cold(&self, backend: &Backend, now: Instant) -> bool {
        backend.is_cold(self.limit.time, now)
    }
}

/// The servers that the request's route, its account and cold servers' limits allow.
#[derive(Clone, Copy, Default)]
pub struct Filter<'a> {
    /// Regions that the request is restricted to, by its route and by its account.
    pub allowed_regions: [Option<&'a AllowedRegions>; 2],
    /// The region of each hall; a hall that is missing here is in no region.
    pub regions: Option<&'a Regions>,
    /// Set if servers of the service may be cold.
    pub gate: Option<Admission<'a>>,
    /// Set if the service has a rollout.
    pub release_selector: Option<&'a Selector>,
    /// Set if the request continues a stream.
    pub origin: Option<Origin>,
    /// Releases that are left out, as other boxes may not know of them yet.
    pub young: &'a [Origin],
    /// Set if the request goes only to a server that has answered this box since then.
    pub answering_since: Option<Instant>,
}

impl Filter<'_> {
    /// Whether a server may get the request at `now`.
    pub fn admits(&self, backend: &Backend, now: Instant) -> bool {
        self.is_answering(backend, now)
            && self.matches_release(backend)
            && self.is_allowed_hall(&backend.server.hall)
            && !backend.is_backing_off(now)
            && self.has_cold_capacity(backend, now)
    }

    /// Whether a server has answered since the time from which on it has to, and would begin
    /// with the request at once.
    fn is_answering(&self, backend: &Backend, now: Instant) -> bool {
        let takes_it = |since| backend.has_answered_since(since) && has_room(backend, now);
        self.answering_since.is_none_or(takes_it)
    }

    /// Whether a server runs a release that the request may go to.
    pub fn matches_release(&self, backend: &Backend) -> bool {
        self.release_selector
            .is_none_or(|aim| aim.admits(&backend.server))
            && self
                .origin
                .is_none_or(|origin| origin == Origin::of(&backend.server))
            && (self.young.is_empty() || !self.young.contains(&Origin::of(&backend.server)))
    }

    /// Whether a hall is in all regions that the request is restricted to.
    pub fn is_allowed_hall(&self, hall: &ids::Hall) -> bool {
        let mut homes = self.allowed_regions.iter().flatten().peekable();
        if homes.peek().is_none() {
            return true;
        }
        let region = self.regions.and_then(|regions| regions.get(hall));
        region.is_some_and(|region| homes.all(|homes| homes.contains(region)))
    }

    /// Whether a server is warm or may get one more request of this box.
    pub fn has_cold_capacity(&self, backend: &Backend, now: Instant) -> bool {
        self.gate.is_none_or(|gate| gate.admits(backend, now))
    }

    /// Whether a server is cold.
    pub fn is_cold(&self, backend: &Backend, now: Instant) -> bool {
        self.gate.is_some_and(|gate| gate.is_cold(backend, now))
    }

    /// When a cold server may get the request; `None` for a warm server.
    pub fn admission_time(&self, backend: &Backend, now: Instant) -> Option<Instant> {
        let gate = self.gate.filter(|gate| gate.is_cold(backend, now))?;
        gate.next(backend, now)
    }
}
