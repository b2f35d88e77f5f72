//! Estimates what a prompt costs at each model engine of a service.
//!
//! The cost is in milliseconds. It covers prefilling or copying the tokens that the engine
//! does not cache, the requests that are queued and running there, load beyond the
//! operator's bound, and slow first tokens.

use std::rc::Rc;
use std::time::Duration;

use tidepier_admission::speed::{Rate, Service, Work};
use tidepier_clock::Instant;
use tidepier_core::request::Prompt;
use tidepier_ids as ids;

use super::{
    cheapest, common_cost, is_open, may_probe, weight, Choice, Criteria, FleetLoad, EJECTED_MS,
};
use crate::fleet::{Backend, Fleet, Key};
use crate::locations::{Locations, Missing};

/// The engines of a service.
pub(super) struct Group<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) service: &'a ids::Service,
    /// Engines that take new requests.
    pub(super) serving: &'a [Rc<Backend>],
    /// Engines that would take new requests if their halls were not being emptied. They
    /// have little or no load, and count in the mean that the operator's bound refers to.
    pub(super) emptied: &'a [Rc<Backend>],
    /// What speed is usual among those that take new requests.
    pub(super) usual_speed: Service,
}

/// The engines of a service, rated for one prompt.
pub(super) struct Engines<'a> {
    fleet: &'a Fleet,
    service: &'a ids::Service,
    servers: &'a [Rc<Backend>],
    criteria: &'a Criteria<'a>,
    locations: &'a Locations<'a>,
    /// Tokens of the prompt that no other request shares.
    own_tokens: f64,
    /// Load of each server.
    loads: Vec<f64>,
    /// Mean load of all engines of the service.
    mean_load: f64,
    load_bound: LoadBound,
    /// What speed is usual among these servers.
    usual_speed: Service,
    /// Median time to first token of these servers, in ms, if one is known.
    median_ms: Option<f64>,
    /// Mean failure rate of these servers.
    mean_failures: f64,
    /// Indices of randomly sampled engines.
    sample: Vec<usize>,
    /// Some of the engines between which the requests about the subject are divided.
    divided: Option<Vec<Key>>,
    now: Instant,
}

/// Number of randomly sampled engines that are compared.
const SAMPLE_SIZE: usize = 2;

/// Returns the indices of some usable engines, sampled at random.
fn sample(servers: &[Rc<Backend>], criteria: &Criteria<'_>, now: Instant) -> Vec<usize> {
    let mut indices = Vec::new();
    for _ in 0..4 * SAMPLE_SIZE {
        let index = fastrand::usize(0..servers.len().max(1));
        let Some(backend) = servers.get(index) else {
            break;
        };
        let usable = backend.is_healthy(now) && is_open(backend, criteria, now);
        if usable && !indices.contains(&index) {
            indices.push(index);
        }
        if indices.len() == SAMPLE_SIZE {
            break;
        }
    }
    indices
}

impl<'a> Engines<'a> {
    pub(super) fn new(
        group: &Group<'a>,
        criteria: &'a Criteria<'a>,
        prompt: &Prompt,
        locations: &'a Locations<'a>,
        mean_failures: f64,
        now: Instant,
    ) -> Self {
        let servers = group.serving;
        let (loads, mean) = loads(servers, now);
        let mean = mean_of_all(mean, group, criteria, now);
        let own = prompt.parts.last().map_or(prompt.input, |part| part.tokens);
        // While counts do not show the requests about a rising subject, the cheaper of two
        // engines is the one that caches the subject already, for all boxes the same one.
        let divided_sample_size = match locations.is_rising() {
            true => 1,
            false => SAMPLE_SIZE,
        };
        Self {
            fleet: group.fleet,
            service: group.service,
            servers,
            criteria,
            locations,
            own_tokens: f64::from(own),
            loads,
            mean_load: mean,
            load_bound: LoadBound::new(criteria.crowd_factor, mean),
            usual_speed: group.usual_speed,
            median_ms: median_first_token_ms(servers, now),
            sample: sample(servers, criteria, now),
            divided: locations.divided_between().map(|engines| {
                fastrand::choose_multiple(engines.iter().copied(), divided_sample_size)
            }),
            mean_failures,
            now,
        }
    }

    /// Returns the cheapest of the engines that may get the request.
    pub(super) fn cheapest(&self) -> Option<Choice> {
        let good = |choice: &Choice| choice.cost < EJECTED_MS;
        let compared = self.cheapest_of(|index| self.is_compared(index));
        let mut choice = match compared.filter(good) {
            Some(choice) => choice,
            None => self.cheapest_of(|_| true)?,
        };
        if choice.load > self.load_bound.hard {
            choice = self.cheapest_below_bound().unwrap_or(choice);
        }
        if choice.load > self.load_bound.soft {
            choice = self.probe().unwrap_or(choice);
        }
        if self.criteria.copy_ms.is_some() {
            let source = self.locations.copy_source(choice.backend.key);
            // A request that is restricted to regions has no cached parts outside of them.
            let filter = &self.criteria.filter;
            let source = source.filter(|it| filter.is_allowed_hall(&it.server.hall));
            // What a stream continues with has to come from its release as well.
            let source = source.filter(|it| filter.origin.is_none() || filter.matches_release(it));
            choice.copy_from = source.cloned();
            // Parts that can be copied are perhaps not prefilled.
            if let Some((work, _)) = &mut choice.first_event {
                if choice.copy_from.is_some() {
                    work.tokens_min = self.own_tokens;
                }
            }
        }
        Some(choice)
    }

    fn cheapest_of(&self, of: impl Fn(usize) -> bool) -> Option<Choice> {
        let engines = self.servers.iter().zip(&self.loads).enumerate();
        let engines = engines.filter(|(index, _)| of(*index));
        let open = engines.filter(|(_, (backend, _))| is_open(backend, self.criteria, self.now));
        cheapest(open.map(|(_, (backend, load))| self.choice(backend, *load)))
    }

    /// Returns the cheapest of the compared engines below the operator's bound, however slow
    /// it was or however often it failed.
    fn cheapest_below_bound(&self) -> Option<Choice> {
        self.cheapest_of(|index| {
            let backend = &self.servers[index];
            self.is_compared(index)
                && backend.health.allows(self.now)
                && may_probe(backend, self.criteria, self.now)
                && self.counted_load(index) <= self.load_bound.hard
        })
    }

    /// Returns an ejected engine, if the request is to be its probe.
    fn probe(&self) -> Option<Choice> {
        let ejected = self.cheapest_of(|index| {
            let backend = &self.servers[index];
            !backend.health.allows(self.now)
                && may_probe(backend, self.criteria, self.now)
                && self.counted_load(index) <= self.load_bound.soft
        });
        let repeatable = self.criteria.repeatable;
        ejected.filter(|_| self.fleet.probes.take(self.service, repeatable))
    }

    /// The load by the boxes' counts, if there are any: one that the engine reported may be
    /// from before others left it.
    fn counted_load(&self, index: usize) -> f64 {
        let counted = self.servers[index].total_in_flight(weight::COUNT_AGE_MAX, self.now);
        counted.map_or(self.loads[index], f64::from)
    }

    /// Whether an engine is compared for this prompt: one that caches parts of the prompt,
    /// one that should by rank, or one of the random sample. The local view of the loads is
    /// up to a second old. If all boxes compared all engines, those that avoid an engine
    /// over the load bound would all choose the same one, the engine that was idle last.
    fn is_compared(&self, index: usize) -> bool {
        let key = self.servers[index].key;
        if let Some(divided) = &self.divided {
            return divided.contains(&key);
        }
        self.sample.contains(&index)
            || self.locations.rank(key).is_some()
            || self.locations.caches_any(key)
    }

    fn choice(&self, backend: &Rc<Backend>, load: f64) -> Choice {
        let key = backend.key;
        let missing = self.locations.missing_tokens(key);
        let predicted = backend.speed().predict(&self.usual_speed, self.now);
        let rate = predicted.rate();
        let prefill_ms = rate.time_ms(1.0) + weight::PREFILL_DELAY_MS * rate.slowness();
        let (shared, prefilled) = match self.criteria.copy_ms {
            Some(ms) => (
                missing.copied * (ms + weight::COPY_DELAY_MS) + missing.prefilled * prefill_ms,
                missing.prefilled,
            ),
            None => (missing.tokens() * prefill_ms, missing.tokens()),
        };
        Choice {
            backend: backend.clone(),
            cost: self.cost(shared, backend, load, rate),
            load,
            fleet_load: FleetLoad {
                server: load,
                mean: self.mean_load,
                counts_age: backend.counts_age(self.now),
            },
            rank: self.locations.rank(key),
            divided: self.locations.divided_between().map_or(0, <[Key]>::len),
            prefill_time: prefill_time(self.own_tokens + f64::from(missing.unconfirmed)),
            prefill_tokens: self.own_tokens + prefilled,
            plain: None,
            needs_check: false,
            first_event: Some((self.work(backend, missing, load), predicted)),
            admission_time: self.criteria.filter.admission_time(backend, self.now),
            copy_from: None,
        }
    }

    /// What an engine has to do before the first event of the answer.
    fn work(&self, backend: &Backend, missing: Missing, load: f64) -> Work {
        let unconfirmed = f64::from(missing.unconfirmed);
        let certain = match missing.tokens() < unconfirmed {
            true => 0.0,
            false => missing.prefilled,
        };
        Work {
            tokens_min: self.own_tokens + certain,
            tokens_max: self.own_tokens + unconfirmed + backend.prefill() as f64,
            running: load,
        }
    }

    /// Total cost in ms, given the cost of the shared prompt parts.
    fn cost(&self, shared: f64, backend: &Rc<Backend>, load: f64, rate: Rate) -> f64 {
        let queued = backend.prefill() as f64;
        let slots = f64::from(backend.slots());
        // Breaks ties between equal costs at random.
        let jitter = fastrand::f64();
        shared
            + rate.time_ms(self.own_tokens + queued)
            + weight::RUNNING_MS * rate.slowness() * load
            + weight::WAITING_MS * (load - slots).max(0.0)
            + self.load_bound.cost(load)
            + slowness(backend, self.median_ms, self.now)
            + jitter
            + common_cost(backend, self.criteria, self.mean_failures, self.now)
    }
}

/// Cost of the load of a server, relative to the bound.
struct LoadBound {
    /// Load from which a server is close to the bound and costs more.
    soft: f64,
    /// Load at the operator's bound.
    hard: f64,
}

impl LoadBound {
    /// `factor` is the operator's bound in multiples of the mean load.
    fn new(factor: f64, mean: f64) -> Self {
        Self {
            soft: weight::SOFT_BOUND_PART * factor * mean + weight::BOUND_EXTRA,
            hard: factor * mean + weight::BOUND_EXTRA,
        }
    }

    /// Returns the cost of a load, in ms.
    fn cost(&self, load: f64) -> f64 {
        weight::SOFT_BOUND_MS * (load - self.soft).max(0.0)
            + weight::HARD_BOUND_MS * (load - self.hard).max(0.0)
    }
}

/// Time in which an engine of usual speed prefills this many tokens. The rest of a slow
/// engine's time counts as slowness.
fn prefill_time(tokens: f64) -> Duration {
    Duration::from_secs_f64(Rate::DEFAULT.time_ms(tokens) / 1e3)
}

/// Returns the load of each server, and the mean over the reachable ones, with those that are
/// ejected: the operator's bound refers to all. A server of which nothing is known is given the
/// mean. The mean is that of the boxes' counts, which are of all servers at one time; without
/// counts, that of the loads that servers reported.
fn loads(servers: &[Rc<Backend>], now: Instant) -> (Vec<f64>, f64) {
    let known = |of: &dyn Fn(&Backend) -> Option<u32>| -> Vec<Option<f64>> {
        servers.iter().map(|it| of(it).map(f64::from)).collect()
    };
    let counted = known(&|it| it.total_in_flight(weight::COUNT_AGE_MAX, now));
    let reported = known(&|it| it.load(weight::LOAD_AGE_MAX, now));
    let mean_of = |loads: &[Option<f64>]| {
        let all = servers.iter().zip(loads);
        let reachable = all.filter(|(backend, _)| !backend.seems_unreachable(now));
        mean(reachable.filter_map(|(_, load)| *load))
    };
    let mean = mean_of(&counted).or_else(|| mean_of(&reported));
    let mean = mean.unwrap_or(0.0);
    let or_mean = |((backend, counted), reported): ((&Rc<Backend>, &Option<f64>), Option<f64>)| {
        let known = reported.into_iter().chain(*counted).reduce(f64::max);
        known.unwrap_or_else(|| mean.max(f64::from(backend.in_flight())))
    };
    let all = servers.iter().zip(&counted).zip(reported);
    (all.map(or_mean).collect(), mean)
}

/// The mean of some loads; `None` if there are none.
fn mean(loads: impl Iterator<Item = f64>) -> Option<f64> {
    let (count, sum) = loads.fold((0, 0.0), |(count, sum), load| (count + 1, sum + load));
    (count > 0).then(|| sum / f64::from(count))
}

/// The mean load of all engines, given the mean of the engines with a known load. Engines
/// of emptied halls, cold ones, those that back off and those of a canary release get few
/// requests, so the load of many of them is unknown. Without them the mean would be that of
/// the busy engines alone: half as much again where one hall of three is empty. The busy
/// engines could then exceed the operator's bound by as much.
fn mean_of_all(known: f64, group: &Group<'_>, criteria: &Criteria<'_>, now: Instant) -> f64 {
    let (cold, busy): (Vec<_>, Vec<_>) = group.serving.iter().partition(|backend| {
        let unavailable = backend.is_backing_off(now) || !criteria.filter.matches_release(backend);
        unavailable || criteria.filter.is_cold(backend, now)
    });
    let idle = cold.into_iter().chain(group.emptied);
    let idle: Vec<f64> = idle.map(|backend| reported_load(backend, now)).collect();
    if idle.is_empty() {
        return known;
    }
    let all = known * busy.len() as f64 + idle.iter().sum::<f64>();
    all / (busy.len() + idle.len()) as f64
}

/// The reported load of an engine with few requests; 0 if nothing was reported.
fn reported_load(backend: &Backend, now: Instant) -> f64 {
    let reported = backend.load(weight::LOAD_AGE_MAX, now);
    let counted = backend.total_in_flight(weight::COUNT_AGE_MAX, now);
    f64::from(reported.max(counted).unwrap_or(0))
}

/// The median time to first token, in ms, of the servers that answered recently.
fn median_first_token_ms(servers: &[Rc<Backend>], now: Instant) -> Option<f64> {
    let times = servers
        .iter()
        .filter_map(|backend| backend.health.recent_latency_ms(now));
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}

/// How far a server's recent time to first token exceeds the usual one, in ms.
fn slowness(backend: &Rc<Backend>, median_ms: Option<f64>, now: Instant) -> f64 {
    let times = backend.health.recent_latency_ms(now).zip(median_ms);
    let excess = times.map_or(0.0, |(own, usual)| {
        own - weight::SLOW_FACTOR * usual - weight::SLOW_EXTRA_MS
    });
    excess.clamp(0.0, weight::SLOW_MS_MAX)
}
