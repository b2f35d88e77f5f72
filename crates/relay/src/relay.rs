//! The state that the tasks of one router share. The modules of its parts do not
//! depend on this module or on each other.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::server::Release;
use tidepier_ids as ids;

use crate::answer_times::AnswerTimes;
use crate::backlog::Backlog;
use crate::budget::Budget;
use crate::choose::filter::Regions;
use crate::choose::rotation::Rotations;
use crate::cold::Roster;
use crate::crash::Crashes;
use crate::dial::Dialer;
use crate::era_state::EraState;
use crate::fleet::{Fleet, Key};
use crate::inbound::Inbound;
use crate::message::traffic::Report;
use crate::network::Network;
use crate::origin::{Origin, Origins};
use crate::rollout::{self, Rollouts};
use crate::stop::{Phase, Stop};
use crate::traffic::log::{Peer, Placement};
use crate::traffic::tally::Totals;
use crate::traffic::Traffic;
use crate::tunnel::carried::Carried;
use crate::view::View;
use tidepier_admission::admission::Admission;
use tidepier_admission::demand::Summary;
use tidepier_admission::returns::Timeouts;
use tidepier_admission::stall;

/// How much longer a new release gets no streams than a view counts as recent: a watch may
/// deliver the entries of its servers late.
const RELEASE_MARGIN: Duration = Duration::from_secs(1);
/// Most subjects of which a box is told how many requests there are.
const SUBJECTS_MAX: usize = 16;
/// Number of boxes assumed until they have been counted.
const BOXES_DEFAULT: usize = 12;

/// File descriptors reserved for everything except clients and servers: 200 that the
/// platform reserves for files, 768 for connections of other boxes, and the rest for
/// readiness, metrics and the store.
const DESCRIPTORS_RESERVED: u32 = 1_050;
/// File descriptors per client: its own connection, the connection to the server of
/// its request, and an idle one to the server of its previous request.
const DESCRIPTORS_PER_CLIENT: u32 = 3;
/// Divisor of the descriptor limit that gives the fewest clients to accept. It applies
/// where the reserve would leave fewer: such low limits are used in trial setups, which
/// have few other boxes.
const CLIENTS_MIN_DIVISOR: u32 = 6;

/// Bounds on the decisions about requests.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time since the last confirmation of the catalog up to which a missing route or an
    /// unknown key is known not to exist: the time in which a change has to be in force.
    pub catalog_max_age: Duration,
    /// Time in which everything that the operator writes has to be in force. The catalog
    /// is confirmed at intervals of a fraction of it.
    pub confirm_within: Duration,
    /// Time since the last confirmation of the catalog up to which a key is accepted;
    /// `None`: always.
    pub key_max_age: Option<Duration>,
    /// Time after the end of a store outage from which the store is authoritative
    /// again: an entry that is missing then is gone.
    pub grace_period: Duration,
    /// Rate of requests that a cold server may get, in multiples of the rate that its
    /// service declares for cold servers, ...
    pub cold_overage: f64,
    /// ... and the requests a second allowed in addition.
    pub cold_tolerance: f64,
    /// Time in which the operator rewrites the entries that the store lost by returning
    /// from an older copy.
    pub rewrite_within: Duration,
    /// Time after which a server without heartbeats has lost its entry.
    pub entry_ttl: Duration,
    /// Highest load of one server, in multiples of the mean of its service.
    pub crowd_factor: f64,
    /// Fraction of a service's requests that a faulty release may get.
    pub exposure: f64,
    /// Time from the detection of a faulty release until it gets no more requests.
    pub rollback: Duration,
    /// Time after which a client that takes no bytes is cut.
    pub client_timeout: Duration,
}

/// The shared state of one router.
pub struct Relay {
    /// When the router started.
    pub started: Instant,
    /// The hall of this box.
    pub hall: ids::Hall,
    bounds: Cell<Bounds>,
    /// The catalog in force.
    pub view: View,
    /// The era of the store, and how far the store is authoritative.
    pub era_state: EraState,
    /// The backend servers.
    pub fleet: Rc<Fleet>,
    /// The network of this box.
    pub network: Network,
    /// Opens connections to servers.
    pub dialer: Rc<Dialer>,
    /// Load reported by other boxes, and the servers that prompts were sent to.
    pub traffic: Traffic,
    /// The rollouts of services to other releases.
    pub rollouts: Rollouts,
    /// Server crashes under requests, and the contents refused because of them.
    pub crashes: Rc<Crashes>,
    /// The releases that began streams.
    pub origins: Origins,
    /// Admits requests for plain services while these cannot bear all of them.
    pub admission: Admission,
    /// How long servers take for the answers of each route.
    pub answer_times: AnswerTimes,
    /// How long the clients of each route wait for an answer.
    pub timeouts: Timeouts,
    /// Whose turn it is among the servers of plain services under pressure.
    pub rotations: Rotations,
    /// Bytes of answers that wait for their clients.
    pub backlog: Rc<Backlog>,
    /// Bytes of clients' requests.
    pub inbound: Rc<Inbound>,
    /// The retry budget.
    pub budget: Budget,
    /// Connections that this box carries for others.
    pub carried: Carried,
    /// The state of the graceful shutdown.
    pub stop: Stop,
    /// The boxes that share the request rates of cold servers.
    pub roster: Roster,
    regions: RefCell<Rc<Regions>>,
    boxes: Cell<usize>,
    clients_max: Cell<u32>,
}

impl Relay {
    /// The state of a router that has not received anything yet.
    pub fn new(hall: ids::Hall, bounds: Bounds, budget: Budget, network: Network) -> Self {
        Self {
            started: Instant::now(),
            hall,
            bounds: Cell::new(bounds),
            view: View::default(),
            era_state: EraState::default(),
            fleet: Rc::default(),
            network,
            dialer: Rc::new(Dialer::new(network)),
            traffic: Traffic::default(),
            rollouts: Rollouts::default(),
            crashes: Rc::default(),
            origins: Origins::default(),
            admission: Admission::default(),
            answer_times: AnswerTimes::default(),
            timeouts: Timeouts::default(),
            rotations: Rotations::default(),
            backlog: Rc::default(),
            inbound: Rc::default(),
            budget,
            carried: Carried::default(),
            stop: Stop::default(),
            roster: Roster::default(),
            regions: RefCell::default(),
            boxes: Cell::new(BOXES_DEFAULT),
            clients_max: Cell::new(u32::MAX),
        }
    }

    /// The bounds on the decisions about requests.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Replaces the bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
    }

    /// The region of each hall.
    pub fn regions(&self) -> Rc<Regions> {
        self.regions.borrow().clone()
    }

    /// Replaces the regions of the halls.
    pub fn set_regions(&self, regions: Regions) {
        *self.regions.borrow_mut() = Rc::new(regions);
    }

    /// The halls that the settings name, this box's hall, and the halls of the servers.
    pub fn halls(&self) -> BTreeSet<ids::Hall> {
        let regions = self.regions.borrow();
        let named = regions.keys().cloned().chain([self.hall.clone()]);
        named.chain(self.fleet.halls()).collect()
    }

    /// Whether the box can serve new connections: it knows servers and a catalog recent
    /// enough to accept keys, has checked after its start whether other boxes know more
    /// than the store, and does not shut down.
    pub fn is_ready(&self) -> bool {
        let informed = self.view.catalog().is_some() && !self.fleet.is_empty();
        let key_max_age = self.bounds().key_max_age;
        let trusted = key_max_age.is_none_or(|max_age| self.view.is_fresh(max_age));
        informed && trusted && self.era_state.may_serve() && self.stop.phase() == Phase::Serving
    }

    /// Whether this box knows every release that boxes send streams to: a new release gets
    /// none for longer than the age of this box's list of servers.
    pub fn knows_releases(&self) -> bool {
        let max_age = self.bounds().catalog_max_age;
        let releases = &self.fleet.releases;
        self.view.is_fresh(max_age) && releases.is_fresh(max_age, Instant::now())
    }

    /// Time for which a new release of a service gets no streams.
    pub fn release_delay(&self) -> Duration {
        self.bounds().catalog_max_age + RELEASE_MARGIN
    }

    /// The origin of all streams of a service, if it has had one release for as long as
    /// they may last. Servers that report no release cannot be told apart.
    pub fn sole_origin(&self, service: &ids::Service, now: Instant) -> Option<Origin> {
        let window = self.origins.window();
        let sole = self.fleet.releases.sole(service, window, now)?;
        let is_unnamed = sole == Origin::new(service, None);
        (is_unnamed || self.knows_releases()).then_some(sole)
    }

    /// Whether client connections close after the next answer: because another box
    /// can serve their next requests better, or because more clients wait for a
    /// connection.
    pub fn closes_clients(&self) -> bool {
        !self.is_ready() || self.is_full()
    }

    /// Whether no more client connections are accepted.
    pub fn is_full(&self) -> bool {
        self.stop.connections() + self.carried.open() >= self.clients_max.get()
    }

    /// Highest number of simultaneous client connections.
    pub fn clients_max(&self) -> u32 {
        self.clients_max.get()
    }

    /// Sets the file descriptor limit of the process and derives
    /// [`Relay::clients_max`] from it.
    pub fn set_descriptors(&self, descriptors: u32) {
        let left = descriptors.saturating_sub(DESCRIPTORS_RESERVED);
        let most = left / DESCRIPTORS_PER_CLIENT;
        let least = descriptors / CLIENTS_MIN_DIVISOR;
        self.clients_max.set(most.max(least));
    }

    /// Number of boxes that share the allowances of the fleet.
    pub fn boxes(&self) -> usize {
        self.boxes.get()
    }

    /// Sets the number of boxes.
    pub fn set_boxes(&self, boxes: usize) {
        self.boxes.set(boxes.max(1));
    }

    /// Merges a peer's report on its own requests and on those that it knows of.
    pub fn merge_traffic(
        &self,
        from: Peer,
        totals: Totals,
        placements: &[Placement],
        omitted: u32,
    ) {
        let now = Instant::now();
        self.traffic
            .merge_report(from, totals, placements, omitted, now);
        let others = self.traffic.others(None, now);
        self.fleet
            .set_peer_in_flight(&others.requests, others.boxes, now);
        self.fleet.set_peer_speeds(&others.speeds, now);
        self.traffic.index.demand.set_others(others.demand, now);
        self.admission.set_others(others.load, now);
    }

    /// Records servers that have answered again, and sends them at once to the boxes that report
    /// to this one.
    pub fn record_returns(&self, lives: &[stall::Life<Key>], now: Instant) {
        self.fleet.record_returns(lives, now);
        if self.traffic.stalls.record_returns(lives, now) {
            self.traffic.notices.announced.notify();
        }
    }

    /// While this box is the hub of its hall: sums the recent requests of the hall's boxes.
    pub fn update_hall_demand(&self) {
        let now = Instant::now();
        let demand = &self.traffic.index.demand;
        demand.set_others(self.traffic.others(None, now).demand, now);
        let mut sum = self.traffic.members_demand(now);
        sum.add(&demand.services(now));
        demand.set_hall(sum, now);
    }

    /// The recent requests of some boxes, as far as they matter to a box that places
    /// requests: subjects with less than the mean share of a server are left out.
    pub fn relevant_demand(&self, summary: &Summary) -> Summary {
        let min_share = 1.0 / self.fleet.len().max(1) as f64;
        summary.frequent(min_share, SUBJECTS_MAX)
    }

    /// Merges a peer's report on rollouts.
    pub fn merge_rollouts(&self, from: &Peer, report: &Report) {
        let now = Instant::now();
        let trials = report.trials.clone();
        self.rollouts.evidence.report(from.clone(), trials, now);
        // The reader of the store tracks the age of this list. Merging it here only
        // makes changes take effect sooner.
        if let Some(list) = &report.rollouts {
            // A list of another era is taken only together with the peer's other
            // entries of that era, elsewhere.
            if Some(list.era()) == self.era_state.era() {
                let precedence = self.era_state.precedence(self.bounds().rewrite_within, now);
                self.rollouts.merge(list, precedence, now);
            }
        }
    }

    /// The rollout orders to report to peers; `None` if there are none.
    pub fn rollouts_to_report(&self, now: Instant) -> Option<rollout::List> {
        let list = self.rollouts.list(now);
        (!list.is_empty()).then_some(list)
    }

    /// Requests in flight, from all boxes whose reports reach this one, on servers of a
    /// service that run another release than `target`.
    pub fn in_flight_on_other_releases(
        &self,
        service: &ids::Service,
        target: &Release,
        now: Instant,
    ) -> u32 {
        let totals = self.with_own(self.traffic.others(None, now), now);
        let servers = self.fleet.known(service);
        let others = servers
            .iter()
            .filter(|it| it.server.release.as_ref() != Some(target));
        let running = others.filter_map(|it| totals.requests.get(&it.key));
        // A faulty box may report counts whose sum exceeds an integer.
        running.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Requests in flight from this box and the boxes that report to it.
    pub fn in_flight_in_subtree(&self, now: Instant) -> Totals {
        self.with_own(self.traffic.members(now), now)
    }

    /// Requests in flight from all boxes known to this one, except `except`.
    pub fn in_flight_excluding(&self, except: &Peer, now: Instant) -> Totals {
        self.with_own(self.traffic.others(Some(except), now), now)
    }

    fn with_own(&self, mut totals: Totals, now: Instant) -> Totals {
        totals.add(&Totals {
            boxes: 1,
            requests: self.fleet.running(),
            demand: self.traffic.index.demand.summary(now),
            load: self.admission.report(now),
            speeds: self.fleet.speeds(now),
        });
        totals
    }
}
