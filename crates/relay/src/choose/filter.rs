//! The servers that a request may not go to, whatever they would cost it.

use std::collections::BTreeMap;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::AllowedRegions;
use tidepier_ids as ids;

use crate::cold::{Limit, Roster};
use crate::fleet::Backend;
use crate::rollout::Selector;

/// The region of each hall.
pub type Regions = BTreeMap<ids::Hall, ids::Region>;

/// Which servers of a service take a request of this box, as far as their being
/// cold goes.
#[derive(Clone, Copy)]
pub struct Admission<'a> {
    /// The bound on each.
    pub limit: Limit,
    /// The boxes that share it.
    pub roster: &'a Roster,
    /// How long a request may wait for a cold server to bear it.
    pub max_wait: Duration,
}

impl Admission<'_> {
    /// Whether a server is warm, or this box may send it one more request.
    pub fn admits(&self, backend: &Backend, now: Instant) -> bool {
        let at = self.next(backend, now);
        at.is_some_and(|at| at <= now + self.max_wait)
    }

    /// When a server may get one more request of this box; `None`: not while it is
    /// cold.
    pub fn next(&self, backend: &Backend, now: Instant) -> Option<Instant> {
        if !self.is_cold(backend, now) {
            return Some(now);
        }
        let server = &backend.server;
        let share = self.roster.share(&server.id, &server.hall, self.limit, now);
        share.and_then(|share| backend.pace.next(share, now))
    }

    /// Whether a server is cold, by what it told or by what happened to it.
    pub fn is_cold(&self, backend: &Backend, now: Instant) -> bool {
        backend.is_cold(self.limit.time, now)
    }
}

/// What a request's route and account allow, and what servers bear.
#[derive(Clone, Copy, Default)]
pub struct Filter<'a> {
    /// Regions that the request may not leave: its route's and its account's.
    pub allowed_regions: [Option<&'a AllowedRegions>; 2],
    /// The region of each hall; a hall that is missing is in none.
    pub regions: Option<&'a Regions>,
    /// Present where the service's servers may be cold.
    pub gate: Option<Admission<'a>>,
    /// Present where the service is moved to another release.
    pub release_selector: Option<&'a Selector>,
}

impl Filter<'_> {
    /// Whether a server may get the request at `now`.
    pub fn admits(&self, backend: &Backend, now: Instant) -> bool {
        self.matches_release(backend)
            && self.is_allowed_hall(&backend.server.hall)
            && !backend.is_backing_off(now)
            && self.has_cold_capacity(backend, now)
    }

    /// Whether a server runs a release that the request may go to.
    pub fn matches_release(&self, backend: &Backend) -> bool {
        self.release_selector
            .is_none_or(|aim| aim.admits(&backend.server))
    }

    /// Whether a hall is in all regions that bind the request.
    pub fn is_allowed_hall(&self, hall: &ids::Hall) -> bool {
        let mut homes = self.allowed_regions.iter().flatten().peekable();
        if homes.peek().is_none() {
            return true;
        }
        let region = self.regions.and_then(|regions| regions.get(hall));
        region.is_some_and(|region| homes.all(|homes| homes.contains(region)))
    }

    /// Whether a server is warm or bears one more request of this box.
    pub fn has_cold_capacity(&self, backend: &Backend, now: Instant) -> bool {
        self.gate.is_none_or(|gate| gate.admits(backend, now))
    }

    /// Whether a server is cold.
    pub fn is_cold(&self, backend: &Backend, now: Instant) -> bool {
        self.gate.is_some_and(|gate| gate.is_cold(backend, now))
    }

    /// From when on a cold server bears the request; `None` for one that is warm.
    pub fn borne_from(&self, backend: &Backend, now: Instant) -> Option<Instant> {
        let gate = self.gate.filter(|gate| gate.is_cold(backend, now))?;
        gate.next(backend, now)
    }
}
