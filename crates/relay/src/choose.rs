//! Chooses the server for a request.
//!
//! Every candidate has an estimated cost in milliseconds. It covers the tokens that the
//! server has to prefill, the requests that are queued there, the distance to its hall and
//! its recent failures. The server with the lowest cost gets the request. Boxes agree
//! without messages on which servers cache the prompts of a subject: they order the servers
//! by a rendezvous hash of the subject, and each box adds what it has itself sent to which
//! server.

mod engine;
pub mod filter;
pub mod rotation;
mod spread;
mod verification;
mod weight;

use std::rc::Rc;
use std::time::Duration;

use tidepier_admission::demand::Demand;
use tidepier_admission::speed::{Prediction, Work};
use tidepier_admission::stall;
use tidepier_clock::Instant;
use tidepier_core::request::{Part, Prompt};
use tidepier_ids as ids;

use crate::fleet::used::Used;
use crate::fleet::{Backend, Fleet, Plain};
use crate::health;
use crate::locations::{Locations, Widths};
use crate::traffic::index::Index;
use engine::{Engines, Group};
use filter::Filter;
use verification::Verification;

/// Round-trip time to another hall in ms before one was measured: a little over a
/// millisecond each way, as between the halls of one city.
const OTHER_HALL_MS: f64 = 3.0;
/// Cost of each output token of a non-resumable stream from another hall, in ms: the stream
/// is lost when one of the halls is partitioned. Without this cost, 1 in 1,000 more
/// requests were lost on days with one such partition a minute.
const LOST_TOKEN_MS: f64 = 0.1;
/// Cost of a server at which every request failed while the other servers are healthy, in
/// ms.
const FAILING_MS: f64 = 2_000.0;
/// Failure rate above the mean of all servers that is ignored as noise.
const FAILING_SLACK: f64 = 0.15;
/// Cost of each request that a server rejected recently, in ms. A rejected request would
/// have waited for a slot, as one beyond an engine's slots does. Without this cost, only 22
/// of 120 requests were served where both servers of a box's hall rejected everything and a
/// server elsewhere was idle.
const REJECTED_MS: f64 = 40.0;
/// Cost of a server that appears to be partitioned from this box, in ms: more than
/// prefilling the longest prompts elsewhere.
const UNREACHABLE_MS: f64 = 3_000.0;
/// Cost of a server of a plain service that stands still, in ms: as much.
const STALLED_MS: f64 = UNREACHABLE_MS;
/// Cost of a server that is ejected because of its failures, in ms: it is chosen only when
/// there is no other.
const EJECTED_MS: f64 = 1e6;
/// Cost of a server that was already tried for this request, in ms.
const TRIED_MS: f64 = 1e7;
/// Cost of a cold server, in ms: it is slow, and each request uses up some of the few that
/// it can take while it is cold.
const COLD_MS: f64 = 50.0;
/// Response time of a server of a plain service before one is known, in ms.
const DEFAULT_LATENCY_MS: f64 = 60.0;

/// A request to be placed on a server.
pub struct Criteria<'a> {
    /// The prompt, if the service has model engines.
    pub prompt: Option<&'a Prompt>,
    /// Time in ms to copy the KV cache of one token between engines, where they can copy.
    pub copy_ms: Option<f64>,
    /// Servers that this request was already sent to.
    pub tried: &'a [ids::Server],
    /// The connections that it was sent over.
    pub used: &'a Used,
    /// Limits the servers that the request may go to.
    pub filter: Filter<'a>,
    /// The hall of this box.
    pub hall: &'a ids::Hall,
    /// Whether an answer that is cut off is lost.
    pub not_resumable: bool,
    /// Whether a request that may have run may be sent again.
    pub repeatable: bool,
    /// Maximum number of connections from this box to one server.
    pub connections: u32,
    /// The operator's bound on the load of one server, in multiples of the mean.
    pub crowd_factor: f64,
    /// Number of boxes of the fleet.
    pub boxes: usize,
}

/// The chosen server, and how it was rated.
pub struct Choice {
    /// The server.
    pub backend: Rc<Backend>,
    /// Its estimated cost in ms.
    pub cost: f64,
    /// Estimated number of requests in flight at the server. For a plain service these are
    /// the requests of this box only.
    pub load: f64,
    /// What this box knows of the requests that all boxes have at the servers of the
    /// service.
    pub fleet_load: FleetLoad,
    /// Prompt tokens that the server is expected to prefill.
    pub prefill_tokens: f64,
    /// Time that the server may need to prefill the prompt if it caches only the parts that
    /// this box has sent there. This much delay before the answer does not count as
    /// slowness.
    pub prefill_time: Duration,
    /// What is expected of the request at a server of a plain service.
    pub plain: Option<Plain>,
    /// Whether the server has to answer a health check before it gets the request.
    pub needs_check: bool,
    /// What a model engine has to do before the first event, and how fast it is expected to
    /// be.
    pub first_event: Option<(Work, Prediction)>,
    /// The server's rank in the order of the prompt's subject, if it is among the first.
    pub rank: Option<usize>,
    /// Number of engines between which the requests about the prompt's subject are divided;
    /// 0 if they are not.
    pub divided: usize,
    /// Set when the server is cold: the time at which it may get the request. The request
    /// counts towards this box's share.
    pub admission_time: Option<Instant>,
    /// The engine from which the server should copy the parts that it does not cache.
    pub copy_from: Option<Rc<Backend>>,
}

/// What a box knows of the requests that all boxes have in flight at the servers of a
/// service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetLoad {
    /// Requests at the chosen server.
    pub server: f64,
    /// The mean over the servers of the service.
    pub mean: f64,
    /// Age of the other boxes' counts; `None` if there are none.
    pub counts_age: Option<Duration>,
}

impl FleetLoad {
    /// The load of a server of a plain service, given the mean of its servers.
    fn of_plain(server: &Backend, mean: f64, now: Instant) -> Self {
        Self {
            server: counted_load(server, now),
            mean,
            counts_age: server.counts_age(now),
        }
    }

    /// The mean load of the servers of a plain service.
    fn mean_of_plain(servers: &[Rc<Backend>], now: Instant) -> f64 {
        let sum: f64 = servers.iter().map(|it| counted_load(it, now)).sum();
        sum / servers.len().max(1) as f64
    }

    /// Whether the server has more requests than the operator's bound allows: `factor`
    /// times the mean, and some more.
    pub fn is_over_bound(&self, factor: f64) -> bool {
        self.server > factor * self.mean + weight::BOUND_EXTRA
    }
}

/// Requests of all boxes in flight at a server; without recent counts, those of this box.
fn counted_load(backend: &Backend, now: Instant) -> f64 {
    let counted = backend.total_in_flight(weight::COUNT_AGE_MAX, now);
    f64::from(counted.unwrap_or_else(|| backend.in_flight()))
}

/// Returns the cheapest server of a service, or `None` if no server may get the request.
pub fn choose(
    fleet: &Fleet,
    service: &ids::Service,
    criteria: &Criteria<'_>,
    index: &Index,
    now: Instant,
) -> Option<Choice> {
    let servers = fleet.serving(service);
    let emptied = fleet.emptied(service);
    let near = servers.iter().filter(|it| it.server.hall == *criteria.hall);
    let spread = spread::Servers {
        serving: servers.len(),
        near: near.count(),
        all: servers.len() + emptied.len(),
        factor: criteria.crowd_factor,
    };
    match criteria.prompt {
        Some(prompt) => {
            let mean_failures = mean_failure_rate(&servers, now);
            let candidate = |backend: &Backend| {
                !criteria.tried.contains(&backend.server.id) && criteria.filter.admits(backend, now)
            };
            let subject = prompt.subject();
            let share = |part: &Part| {
                index
                    .demand
                    .subject_share(service, part.id, spread.all, now)
            };
            let group = Group {
                fleet,
                service,
                serving: &servers,
                emptied: &emptied,
                usual_speed: fleet.usual_speed(service, now),
            };
            let widths = Widths {
                subject: spread.width(subject.map_or(0.0, share)),
                first: match index.demand.lacks_reports(service, now) {
                    true => spread.width(spread::UNKNOWN_SHARE),
                    false => 1,
                },
            };
            let mut locations =
                Locations::new(fleet, service, prompt, index, widths, &candidate, now);
            let has_risen = |part: &Part| index.demand.has_just_risen(service, part.id, now);
            if subject.is_some_and(has_risen) {
                locations.set_rising();
            }
            Engines::new(&group, criteria, prompt, &locations, mean_failures, now).cheapest()
        }
        None => {
            let plain = PlainServers::new(fleet, service, &servers, criteria, &index.demand, now);
            let mean = plain.mean_load;
            let near_share = match index.demand.hall_share(service, now) {
                Some(hall_share) => spread.near_share(hall_share, mean),
                None if index.demand.is_busy(service, now) => spread.near_share(1.0, f64::INFINITY),
                None => 1.0,
            };
            let stays_near = fastrand::f64() < near_share;
            plain.choose(stays_near)
        }
    }
}

/// The servers of a plain service, and what a request has to know of all of them.
struct PlainServers<'a> {
    fleet: &'a Fleet,
    service: &'a ids::Service,
    servers: &'a [Rc<Backend>],
    criteria: &'a Criteria<'a>,
    verification: Verification,
    /// The usual time that a server needs for a request, in ms.
    median_ms: f64,
    mean_failures: f64,
    /// Mean number of requests that they have.
    mean_load: f64,
    now: Instant,
}

impl<'a> PlainServers<'a> {
    fn new(
        fleet: &'a Fleet,
        service: &'a ids::Service,
        servers: &'a [Rc<Backend>],
        criteria: &'a Criteria<'a>,
        demand: &Demand,
        now: Instant,
    ) -> Self {
        let boxes = criteria.boxes;
        Self {
            fleet,
            service,
            servers,
            criteria,
            verification: Verification::new(fleet, service, servers.len(), demand, boxes, now),
            median_ms: median_latency_ms(servers),
            mean_failures: mean_failure_rate(servers, now),
            mean_load: FleetLoad::mean_of_plain(servers, now),
            now,
        }
    }

    /// Returns the cheapest server. A request that does not stay near goes to another hall,
    /// if there is a server that this box has no reason to avoid.
    fn choose(&self, stays_near: bool) -> Option<Choice> {
        let open = || self.servers.iter().filter(|it| self.is_open(it));
        let rated = || open().map(|it| self.rate(it));
        let far = rated().filter(|choice| !stays_near && self.is_alternative(choice));
        let choice = cheapest(far).or_else(|| cheapest(rated()))?;
        Some(self.relieve(choice))
    }

    /// Returns the choice with the load of its server, or another server for some of the
    /// requests that would go to one above the operator's bound.
    fn relieve(&self, mut choice: Choice) -> Choice {
        choice.fleet_load = self.fleet_load(&choice.backend);
        match choice.fleet_load.is_over_bound(self.criteria.crowd_factor) {
            true => self.probe().unwrap_or(choice),
            false => choice,
        }
    }

    /// Returns a server below the bound that is ejected, was slower or failed more often, if the
    /// request is to be its probe.
    fn probe(&self) -> Option<Choice> {
        let factor = self.criteria.crowd_factor;
        let usable = self.servers.iter().filter(|it| {
            let is_over_bound = self.fleet_load(it).is_over_bound(factor);
            !is_over_bound && self.is_open(it) && self.may_relieve(it)
        });
        let mut other = cheapest(usable.map(|it| self.rate(it)))?;
        other.fleet_load = self.fleet_load(&other.backend);
        let probes = &self.fleet.probes;
        let is_probe = probes.take(self.service, self.criteria.repeatable);
        is_probe.then_some(other)
    }

    fn fleet_load(&self, backend: &Backend) -> FleetLoad {
        FleetLoad::of_plain(backend, self.mean_load, self.now)
    }

    /// Whether a server that is avoided may get requests that are too many for the others.
    fn may_relieve(&self, backend: &Backend) -> bool {
        let (criteria, now) = (self.criteria, self.now);
        may_probe(backend, criteria, now)
            && !backend.is_stalled(now)
            && !criteria.filter.is_cold(backend, now)
            && backend.health.recent_rejections(now) < 1.0
    }

    fn is_open(&self, backend: &Backend) -> bool {
        is_open(backend, self.criteria, self.now)
    }

    /// Whether a server is known to answer. Cold servers get few requests anyway.
    fn is_verified(&self, backend: &Backend) -> bool {
        let is_cold = self.criteria.filter.is_cold(backend, self.now);
        is_cold || self.verification.holds(backend, self.now)
    }

    /// Whether this box has no reason to avoid a server, apart from its distance and load.
    fn is_sound(&self, backend: &Backend) -> bool {
        let (health, now) = (&backend.health, self.now);
        backend.is_healthy(now)
            && !backend.is_stalled(now)
            && health.failure_rate(now) <= self.mean_failures + FAILING_SLACK
            && health.recent_rejections(now) < 1.0
    }

    /// Whether a server is sound, not cold, and new to the request.
    fn is_unobjectionable(&self, backend: &Backend) -> bool {
        let criteria = self.criteria;
        !criteria.tried.contains(&backend.server.id)
            && !criteria.filter.is_cold(backend, self.now)
            && self.is_sound(backend)
    }

    /// The servers that take turns: those that this box has no reason to avoid.
    fn in_turn(&self) -> impl Iterator<Item = &Rc<Backend>> {
        let servers = self.servers.iter();
        servers.filter(|it| self.is_open(it) && self.is_unobjectionable(it))
    }

    /// Whether a request that does not stay near may go to a server.
    fn is_alternative(&self, choice: &Choice) -> bool {
        let backend = &choice.backend;
        backend.server.hall != *self.criteria.hall && self.is_unobjectionable(backend)
    }

    fn rate(&self, backend: &Rc<Backend>) -> Choice {
        let (criteria, now) = (self.criteria, self.now);
        let load = f64::from(backend.in_flight());
        let time = backend.health.expected_latency_ms(self.median_ms, now);
        // Breaks ties between equal costs at random.
        let jitter = fastrand::f64();
        let mut cost =
            time * (load + 1.0) + jitter + common_cost(backend, criteria, self.mean_failures, now);
        if backend.is_stalled(now) {
            cost += STALLED_MS;
        }
        let is_verified = self.is_verified(backend);
        Choice {
            backend: backend.clone(),
            cost,
            load,
            fleet_load: FleetLoad::default(),
            prefill_tokens: 0.0,
            prefill_time: Duration::ZERO,
            plain: Some(Plain {
                wait_limit: stall::limit(Duration::from_secs_f64(time / 1e3)),
                is_verified,
            }),
            needs_check: !is_verified,
            first_event: None,
            rank: None,
            divided: 0,
            admission_time: criteria.filter.admission_time(backend, now),
            copy_from: None,
        }
    }
}

/// Whether a server may get the request and this box has a connection to it, or may open
/// one.
pub(crate) fn is_open(backend: &Backend, criteria: &Criteria<'_>, now: Instant) -> bool {
    backend.has_connection(criteria.connections, criteria.used)
        && criteria.filter.admits(backend, now)
}

/// Whether a server that may be ejected could get the request while the others are above the
/// operator's bound: it is reached, new to the request, and not ejected or due for a probe.
fn may_probe(backend: &Backend, criteria: &Criteria<'_>, now: Instant) -> bool {
    !criteria.tried.contains(&backend.server.id)
        && !backend.seems_unreachable(now)
        && backend.health.allows_under_pressure(now)
}

fn cheapest(choices: impl Iterator<Item = Choice>) -> Option<Choice> {
    choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// The median response time of the servers of a plain service, in ms. It stands in for the
/// time of a server whose own is unknown or out of date. With a separate default, a server
/// without requests would get none for as long as the others have room.
fn median_latency_ms(servers: &[Rc<Backend>]) -> f64 {
    let times = servers.iter().filter_map(|it| it.health.mean_latency_ms());
    health::median_ms(times).unwrap_or(DEFAULT_LATENCY_MS)
}

/// Mean recent failure rate of the servers of a service. Failures that all servers share
/// are no reason to prefer one of them.
fn mean_failure_rate(servers: &[Rc<Backend>], now: Instant) -> f64 {
    let rates = servers
        .iter()
        .map(|backend| backend.health.failure_rate(now));
    rates.sum::<f64>() / servers.len().max(1) as f64
}

/// Costs that apply to servers of every kind.
fn common_cost(
    backend: &Rc<Backend>,
    criteria: &Criteria<'_>,
    mean_failures: f64,
    now: Instant,
) -> f64 {
    let excess = backend.health.failure_rate(now) - mean_failures - FAILING_SLACK;
    let mut cost = FAILING_MS * excess.max(0.0);
    cost += REJECTED_MS * backend.health.recent_rejections(now);
    if backend.server.hall != *criteria.hall {
        cost += backend.hall.round_trip_ms().unwrap_or(OTHER_HALL_MS) + cutoff_cost(criteria);
    }
    if let Some(from) = criteria.filter.admission_time(backend, now) {
        cost += COLD_MS + from.saturating_duration_since(now).as_secs_f64() * 1e3;
    }
    if backend.seems_unreachable(now) {
        cost += UNREACHABLE_MS;
    }
    if !backend.health.allows(now) {
        cost += EJECTED_MS;
    }
    if criteria.tried.contains(&backend.server.id) {
        cost += TRIED_MS;
    }
    cost
}

/// Expected cost of an answer from another hall being cut off, in ms.
fn cutoff_cost(criteria: &Criteria<'_>) -> f64 {
    let tokens = |prompt: &Prompt| prompt.hint.unwrap_or(prompt.output);
    match criteria.prompt {
        Some(prompt) if criteria.not_resumable => LOST_TOKEN_MS * f64::from(tokens(prompt)),
        _ => 0.0,
    }
}
