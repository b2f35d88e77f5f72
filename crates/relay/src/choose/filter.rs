//! The servers that a request may not go to, whatever they would cost it.

use std::collections::BTreeMap;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::Homes;
use tidepier_ids as ids;

use crate::cold::{Limit, Roster};
use crate::fleet::Backend;
use crate::rollout::Aim;

/// The region of each hall.
pub type Regions = BTreeMap<ids::Hall, ids::Region>;

/// Which servers of a service take a request of this box, as far as their being
/// cold goes.
#[derive(Clone, Copy)]
pub struct Gate<'a> {
    /// The bound on each.
    pub limit: Limit,
    /// The boxes that share it.
    pub roster: &'a Roster,
    /// How long a request may wait for a cold server to bear it.
    pub patience: Duration,
}

impl Gate<'_> {
    /// Whether a server is warm, or this box may send it one more request.
    pub fn admits(&self, backend: &Backend, now: Instant) -> bool {
        let at = self.next(backend, now);
        at.is_some_and(|at| at <= now + self.patience)
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
    pub homes: [Option<&'a Homes>; 2],
    /// The region of each hall; a hall that is missing is in none.
    pub regions: Option<&'a Regions>,
    /// Present where the service's servers may be cold.
    pub gate: Option<Gate<'a>>,
    /// Present where the service is moved to another release.
    pub aim: Option<&'a Aim>,
}

impl Filter<'_> {
    /// Whether a server may get the request at `now`.
    pub fn admits(&self, backend: &Backend, now: Instant) -> bool {
        self.is_aimed_at(backend)
            && self.is_home(&backend.server.hall)
            && !backend.rests(now)
            && self.is_borne(backend, now)
    }

    /// Whether a server runs a release that the request may go to.
    pub fn is_aimed_at(&self, backend: &Backend) -> bool {
        self.aim.is_none_or(|aim| aim.admits(&backend.server))
    }

    /// Whether a hall is in all regions that bind the request.
    pub fn is_home(&self, hall: &ids::Hall) -> bool {
        let mut homes = self.homes.iter().flatten().peekable();
        if homes.peek().is_none() {
            return true;
        }
        let region = self.regions.and_then(|regions| regions.get(hall));
        region.is_some_and(|region| homes.all(|homes| homes.contains(region)))
    }

    /// Whether a server is warm or bears one more request of this box.
    pub fn is_borne(&self, backend: &Backend, now: Instant) -> bool {
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
