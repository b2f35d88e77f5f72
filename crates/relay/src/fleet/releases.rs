//! The releases that the servers of each service run, and have run recently.
//!
//! Invariant: a service is found to have had one release only as of what this box has
//! observed for the whole of the time in question.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::server::Server;
use tidepier_ids as ids;

use crate::notifier::Notifier;
use crate::origin::{Name, Origin, WINDOW_MIN};

/// How long a release that no server runs any more is remembered.
const RETENTION: Duration = Duration::from_secs(600);

/// Servers of one release of a service.
#[derive(Debug, Clone, Copy)]
struct Seen {
    /// When the first of them joined.
    first: Instant,
    /// Whether that was after this box knew all servers, and beside servers of other releases.
    is_added: bool,
    /// Whether the store's record is known to have named it since.
    is_recorded: bool,
    /// How many there are.
    servers: usize,
    /// When the last change was.
    changed: Instant,
}

impl Seen {
    /// Whether no server of the release was there for so long that it counts as a new one if
    /// it returns: boxes may have forgotten it, and the record may not name it any more.
    fn is_over(&self, now: Instant) -> bool {
        !self.is_within(WINDOW_MIN, now)
    }

    /// Whether a server of the release was there less than `window` ago.
    fn is_within(&self, window: Duration, now: Instant) -> bool {
        self.servers > 0 || now.saturating_duration_since(self.changed) < window
    }
}

/// The releases of one service.
#[derive(Debug)]
struct Service {
    /// When this box first learned of a server.
    since: Instant,
    releases: BTreeMap<Name, Seen>,
}

/// The releases of all services.
#[derive(Default)]
pub struct Releases {
    services: RefCell<HashMap<ids::Service, Service>>,
    /// Whether nothing served before this box started.
    is_first_start: Cell<bool>,
    /// The latest time as of which this box is known to have known all servers.
    complete_at: Cell<Option<Instant>>,
    /// Notified when a service gets a release that it did not have.
    pub added: Notifier,
}

impl Releases {
    /// Records that this box started together with the whole fleet, before any stream
    /// began, as the store has shown.
    pub fn record_first_start(&self) {
        self.is_first_start.set(true);
    }

    /// Records that this box knew all servers that were there at `moment`.
    pub fn confirm_at(&self, moment: Instant) {
        self.complete_at
            .set(self.complete_at.get().max(Some(moment)));
    }

    /// Whether this box is known to have known all servers less than `max_age` before `now`.
    pub fn is_fresh(&self, max_age: Duration, now: Instant) -> bool {
        let age = self
            .complete_at
            .get()
            .map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < max_age)
    }

    pub(super) fn joined(&self, server: &Server, now: Instant) {
        let mut services = self.services.borrow_mut();
        let service = services
            .entry(server.service.clone())
            .or_insert_with(|| Service {
                since: now,
                releases: BTreeMap::new(),
            });
        service
            .releases
            .retain(|_, seen| seen.is_within(RETENTION, now));
        let returns = service.releases.get(&server.release);
        if returns.is_some_and(|seen| seen.is_over(now)) {
            service.releases.remove(&server.release);
        }
        let is_added = self.complete_at.get().is_some() && !service.releases.is_empty();
        let seen = service
            .releases
            .entry(server.release.clone())
            .or_insert_with(|| {
                self.added.notify();
                Seen {
                    first: now,
                    is_added,
                    is_recorded: false,
                    servers: 0,
                    changed: now,
                }
            });
        seen.servers += 1;
        seen.changed = now;
    }

    pub(super) fn left(&self, server: &Server, now: Instant) {
        let mut services = self.services.borrow_mut();
        let service = services.get_mut(&server.service);
        if let Some(seen) = service.and_then(|it| it.releases.get_mut(&server.release)) {
            seen.servers = seen.servers.saturating_sub(1);
            seen.changed = now;
        }
    }

    /// The services that have or had servers.
    pub fn services(&self) -> Vec<ids::Service> {
        self.services.borrow().keys().cloned().collect()
    }

    /// The releases of which servers are there, or were there less than `window` ago.
    pub fn names(&self, service: &ids::Service, window: Duration, now: Instant) -> BTreeSet<Name> {
        let services = self.services.borrow();
        let releases = services
            .get(service)
            .into_iter()
            .flat_map(|it| &it.releases);
        let recent = releases.filter(|(_, seen)| seen.is_within(window, now));
        recent.map(|(name, _)| name.clone()).collect()
    }

    /// Whether this box has observed the service for the whole of `window`.
    pub fn is_complete(&self, service: &ids::Service, window: Duration, now: Instant) -> bool {
        let services = self.services.borrow();
        let since = services.get(service).map(|it| it.since);
        let observed = since.map(|since| now.saturating_duration_since(since));
        observed.is_some_and(|observed| self.is_first_start.get() || observed >= window)
    }

    /// The origin of all streams of a service that began less than `window` ago, if it had
    /// one release in that time. Servers that report no release cannot be told apart.
    pub fn sole(&self, service: &ids::Service, window: Duration, now: Instant) -> Option<Origin> {
        let names = self.names(service, window, now);
        let is_complete = self.is_complete(service, window, now) || names.contains(&None);
        sole_origin(service, &names).filter(|_| is_complete)
    }

    /// Records that the store's record names these releases of a service.
    pub fn record_recorded(&self, service: &ids::Service, names: &BTreeSet<Name>) {
        let mut services = self.services.borrow_mut();
        let releases = services.get_mut(service).into_iter();
        for (name, seen) in releases.flat_map(|it| &mut it.releases) {
            seen.is_recorded |= names.contains(name);
        }
    }

    /// The services to which a release was added that the record is not known to name.
    pub fn unrecorded(&self) -> Vec<ids::Service> {
        let services = self.services.borrow();
        let lacks = |seen: &Seen| seen.is_added && !seen.is_recorded && seen.servers > 0;
        let lacking = services
            .iter()
            .filter(|(_, it)| it.releases.values().any(lacks));
        lacking.map(|(service, _)| service.clone()).collect()
    }

    /// The origins of releases that appeared beside others less than `delay` ago, so that
    /// other boxes may not know of them, or that the record is not known to name, so that
    /// boxes that start may not. Of the releases that a box finds when it starts, it cannot
    /// tell which one is new.
    pub fn young(&self, service: &ids::Service, delay: Duration, now: Instant) -> Vec<Origin> {
        let services = self.services.borrow();
        let Some(known) = services.get(service) else {
            return Vec::new();
        };
        let is_young =
            |seen: &Seen| seen.is_added && (!seen.is_recorded || seen.first + delay > now);
        let young = known.releases.iter().filter(|(_, seen)| is_young(seen));
        young
            .map(|(name, _)| Origin::new(service, name.as_ref()))
            .collect()
    }
}

/// The origin of streams of a service that has only one of these releases.
pub fn sole_origin(service: &ids::Service, names: &BTreeSet<Name>) -> Option<Origin> {
    let mut names = names.iter();
    match (names.next(), names.next()) {
        (Some(name), None) => Some(Origin::new(service, name.as_ref())),
        _ => None,
    }
}
