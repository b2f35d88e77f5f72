//! What the tasks of one router share. Each part stands alone; no part knows
//! this module.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::server::Release;
use tidepier_ids as ids;

use crate::budget::Budget;
use crate::choose::filter::Regions;
use crate::cold::Roster;
use crate::crash::Crashes;
use crate::era_state::EraState;
use crate::fleet::Fleet;
use crate::message::traffic::Report;
use crate::rollout::{self, Rollouts};
use crate::stop::{Phase, Stop};
use crate::traffic::log::{Peer, Placement};
use crate::traffic::tally::Totals;
use crate::traffic::Traffic;
use crate::view::View;

/// Boxes that are assumed while none has been counted.
const BOXES_ASSUMED: usize = 12;

/// Descriptors kept for all but clients and servers: 200 that the platform keeps
/// for files, 768 for other boxes, and those of readiness, metrics and store.
const DESCRIPTORS_KEPT: u32 = 1_050;
/// Descriptors for each client: its own, one at the server of its request, and
/// one for a connection that rests at another server after its last request.
const DESCRIPTORS_EACH: u32 = 3;
/// Part of the descriptors that is the clients' where less would be left: so
/// few are for trials, with few other boxes.
const DESCRIPTORS_PART: u32 = 6;

/// Bounds that a request is decided by.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Age of the proof of the catalog under which a missing route or an
    /// unknown key is a fact: the time in which a change has to be in force.
    pub catalog_max_age: Duration,
    /// Time in which all that the operator writes has to be in force: proofs are
    /// asked for at a part of it.
    pub confirm_within: Duration,
    /// Age of the proof under which a key is trusted; `None`: always.
    pub key_max_age: Option<Duration>,
    /// Time after the end of the store's trouble from which its word counts
    /// again: an entry that is absent then is gone.
    pub grace_period: Duration,
    /// Requests a second that a cold server may get, in multiples of what its
    /// service says it bears, ...
    pub cold_overage: f64,
    /// ... and beyond that.
    pub cold_tolerance: f64,
    /// Time in which the operator writes again what the store lost as it went back to an
    /// older copy.
    pub rewrite_within: Duration,
    /// Time in which a server that is silent loses its entry.
    pub entry_ttl: Duration,
    /// Most load of one server, in multiples of the mean of its service.
    pub crowd_factor: f64,
    /// Part of a service's requests that a bad release may get.
    pub exposure: f64,
    /// Time from when a release is known to be bad until nothing goes there.
    pub rollback: Duration,
}

/// One router.
pub struct Relay {
    /// When it started.
    pub started: Instant,
    /// The hall of this box.
    pub hall: ids::Hall,
    bounds: Cell<Bounds>,
    /// The catalog in force.
    pub view: View,
    /// The era of the store, and how far its word holds.
    pub standing: EraState,
    /// The backend servers.
    pub fleet: Rc<Fleet>,
    /// What is known of the requests that other boxes place, and where prompts
    /// were sent.
    pub traffic: Traffic,
    /// Services that are moved to other releases.
    pub rollouts: Rollouts,
    /// Servers that ended under requests, and what is refused for it.
    pub crashes: Rc<Crashes>,
    /// Retries that may be spent.
    pub budget: Budget,
    /// The planned stop.
    pub stop: Stop,
    /// The boxes that share what cold servers bear.
    pub roster: Roster,
    regions: RefCell<Rc<Regions>>,
    boxes: Cell<usize>,
    clients_max: Cell<u32>,
}

impl Relay {
    /// A router that knows nothing yet.
    pub fn new(hall: ids::Hall, bounds: Bounds, budget: Budget) -> Self {
        Self {
            started: Instant::now(),
            hall,
            bounds: Cell::new(bounds),
            view: View::default(),
            standing: EraState::default(),
            fleet: Rc::default(),
            traffic: Traffic::default(),
            rollouts: Rollouts::default(),
            crashes: Rc::default(),
            budget,
            stop: Stop::default(),
            roster: Roster::default(),
            regions: RefCell::default(),
            boxes: Cell::new(BOXES_ASSUMED),
            clients_max: Cell::new(u32::MAX),
        }
    }

    /// Bounds that a request is decided by.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Changes the bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
    }

    /// The region of each hall.
    pub fn regions(&self) -> Rc<Regions> {
        self.regions.borrow().clone()
    }

    /// Changes the region of each hall.
    pub fn set_regions(&self, regions: Regions) {
        *self.regions.borrow_mut() = Rc::new(regions);
    }

    /// The halls that the settings name, and those that servers are in.
    pub fn halls(&self) -> BTreeSet<ids::Hall> {
        let regions = self.regions.borrow();
        let named = regions.keys().cloned().chain([self.hall.clone()]);
        named.chain(self.fleet.halls()).collect()
    }

    /// Whether the box can serve new connections.
    pub fn is_ready(&self) -> bool {
        let knows = self.view.catalog().is_some() && !self.fleet.is_empty();
        let trusted = self.bounds().key_max_age;
        let trusted = trusted.is_none_or(|most| self.view.is_fresh(most));
        knows && trusted && self.standing.may_begin() && self.stop.phase() == Phase::Serving
    }

    /// Whether clients' connections are closed after the next answer: their
    /// next requests are better served by another box, or others wait.
    pub fn closes_clients(&self) -> bool {
        !self.is_ready() || self.is_full()
    }

    /// Whether no more clients are taken.
    pub fn is_full(&self) -> bool {
        self.stop.connections() >= self.clients_max.get()
    }

    /// Most clients at once.
    pub fn clients_max(&self) -> u32 {
        self.clients_max.get()
    }

    /// Sets what the process may have open; bounds its clients.
    pub fn set_descriptors(&self, descriptors: u32) {
        let left = descriptors.saturating_sub(DESCRIPTORS_KEPT);
        let most = left / DESCRIPTORS_EACH;
        let least = descriptors / DESCRIPTORS_PART;
        self.clients_max.set(most.max(least));
    }

    /// Boxes that share the fleet's allowances.
    pub fn boxes(&self) -> usize {
        self.boxes.get()
    }

    /// Records how many boxes there are.
    pub fn set_boxes(&self, boxes: usize) {
        self.boxes.set(boxes.max(1));
    }

    /// Takes over what another box told of its requests and of those that it
    /// knows of.
    pub fn merge_traffic(&self, from: Peer, sum: Totals, rows: &[Placement], untold: u32) {
        let now = Instant::now();
        self.traffic.merge_report(from, sum, rows, untold, now);
        let others = self.traffic.others(None, now);
        self.fleet
            .set_peer_in_flight(&others.requests, others.boxes, now);
    }

    /// Takes over what another box told of services that are moved to other releases.
    pub fn merge_rollouts(&self, from: &Peer, report: &Report) {
        let now = Instant::now();
        let trials = report.trials.clone();
        self.rollouts.evidence.report(from.clone(), trials, now);
        // How old that is, the reader of the store tells; this is to be quick.
        if let Some(list) = &report.rollouts {
            // Of another era it is taken with what else that box tells, or not at all.
            if Some(list.era()) == self.standing.era() {
                let hold = self.standing.hold(self.bounds().rewrite_within, now);
                self.rollouts.merge(list, hold, now);
            }
        }
    }

    /// The orders to move services, if there are any.
    pub fn rollouts_to_report(&self, now: Instant) -> Option<rollout::List> {
        let list = self.rollouts.list(now);
        (!list.is_empty()).then_some(list)
    }

    /// Requests of all boxes, as far as this one hears, at servers of a service that
    /// run another release.
    pub fn in_flight_on_other_releases(
        &self,
        service: &ids::Service,
        target: &Release,
        now: Instant,
    ) -> u32 {
        let sum = self.with_own(self.traffic.others(None, now));
        let servers = self.fleet.known(service);
        let others = servers
            .iter()
            .filter(|it| it.server.release.as_ref() != Some(target));
        let running = others.filter_map(|it| sum.requests.get(&it.key));
        running.sum()
    }

    /// Requests under way at this box and those that ask it.
    pub fn in_flight_in_subtree(&self, now: Instant) -> Totals {
        self.with_own(self.traffic.members(now))
    }

    /// Requests under way at all boxes that this one knows of, without those
    /// of `but`.
    pub fn in_flight_excluding(&self, but: &Peer, now: Instant) -> Totals {
        self.with_own(self.traffic.others(Some(but), now))
    }

    fn with_own(&self, mut sum: Totals) -> Totals {
        sum.add(&Totals {
            boxes: 1,
            requests: self.fleet.running(),
        });
        sum
    }
}
