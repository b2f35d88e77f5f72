//! What a prompt costs at each model engine of a service.
//!
//! A cost is an estimate in milliseconds: of reading or copying what the engine
//! lacks of the prompt, of what waits and runs there, of its load beyond the
//! operator's bound, and of answers that begin late.

use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::request::Prompt;

use super::{cheapest, common, is_open, weight, Choice, Criteria, LEFT_OUT_MS};
use crate::fleet::Backend;
use crate::locations::Locations;

/// The engines of a service.
pub(super) struct Group<'a> {
    /// Those that take new requests.
    pub(super) serving: &'a [Rc<Backend>],
    /// Those that would if their halls were not to be empty. They hold little or
    /// nothing, and count in the mean that the operator's bound is on.
    pub(super) emptied: &'a [Rc<Backend>],
}

/// The engines of a service as one prompt finds them.
pub(super) struct Engines<'a> {
    servers: &'a [Rc<Backend>],
    ask: &'a Criteria<'a>,
    places: &'a Locations<'a>,
    /// Tokens of the prompt that no other request shares.
    own: f64,
    /// Load of each server.
    loads: Vec<f64>,
    crowd: Crowd,
    /// Usual time to an answer's beginning, in ms, if one is known.
    usual_ms: Option<f64>,
    /// Mean share of failures at these servers.
    failing: f64,
    /// Places of some engines by chance.
    sample: Vec<usize>,
    now: Instant,
}

/// Engines that are compared by chance.
const SAMPLE: usize = 2;

/// Places of some engines that may be used.
fn sample(servers: &[Rc<Backend>], ask: &Criteria<'_>, now: Instant) -> Vec<usize> {
    let mut places = Vec::new();
    for _ in 0..4 * SAMPLE {
        let place = fastrand::usize(0..servers.len().max(1));
        let Some(backend) = servers.get(place) else {
            break;
        };
        let usable = backend.is_healthy(now) && is_open(backend, ask, now);
        if usable && !places.contains(&place) {
            places.push(place);
        }
        if places.len() == SAMPLE {
            break;
        }
    }
    places
}

impl<'a> Engines<'a> {
    pub(super) fn new(
        group: &Group<'a>,
        ask: &'a Criteria<'a>,
        prompt: &Prompt,
        places: &'a Locations<'a>,
        failing: f64,
        now: Instant,
    ) -> Self {
        let servers = group.serving;
        let (loads, mean) = loads(servers, now);
        let mean = mean_of_all(mean, group, ask, now);
        let own = prompt.parts.last().map_or(prompt.input, |part| part.tokens);
        Self {
            servers,
            ask,
            places,
            own: f64::from(own),
            loads,
            crowd: Crowd::new(ask.crowd_factor, mean),
            usual_ms: usual_time(servers, now),
            sample: sample(servers, ask, now),
            failing,
            now,
        }
    }

    /// The cheapest of the engines that may be asked.
    pub(super) fn cheapest(&self) -> Option<Choice> {
        let good = |choice: &Choice| choice.cost < LEFT_OUT_MS;
        let looked_at = self.cheapest_of(|place| self.is_looked_at(place));
        let mut choice = match looked_at.filter(good) {
            Some(choice) => choice,
            None => self.cheapest_of(|_| true)?,
        };
        if self.ask.copy_ms.is_some() {
            let source = self.places.copy_source(choice.backend.key);
            // What a request may not leave its regions for is not kept elsewhere.
            let source = source.filter(|it| self.ask.filter.is_allowed_hall(&it.server.hall));
            choice.copy_from = source.cloned();
        }
        Some(choice)
    }

    fn cheapest_of(&self, of: impl Fn(usize) -> bool) -> Option<Choice> {
        let engines = self.servers.iter().zip(&self.loads).enumerate();
        let engines = engines.filter(|(place, _)| of(*place));
        let open = engines.filter(|(_, (backend, _))| is_open(backend, self.ask, self.now));
        cheapest(open.map(|(_, (backend, load))| self.choice(backend, *load)))
    }

    /// Whether an engine is among those that are compared: those that keep parts of the
    /// prompt or should, and some others by chance. What boxes know of loads is up to a
    /// second old; if all of them compared all engines, those that leave a crowded one
    /// would all go to the same, the one that was idle last.
    fn is_looked_at(&self, place: usize) -> bool {
        let key = self.servers[place].key;
        self.sample.contains(&place) || self.places.rank(key).is_some() || self.places.keeps(key)
    }

    fn choice(&self, backend: &Rc<Backend>, load: f64) -> Choice {
        let key = backend.key;
        let lack = self.places.missing_tokens(key);
        let read_again = 1.0 / weight::READ_TOKENS_PER_MS + weight::READ_AGAIN_MS;
        let (shared, read) = match self.ask.copy_ms {
            Some(ms) => (
                lack.copied * (ms + weight::COPY_MS) + lack.read * read_again,
                lack.read,
            ),
            None => (lack.tokens() * read_again, lack.tokens()),
        };
        Choice {
            backend: backend.clone(),
            cost: self.cost(shared, backend, load),
            load,
            rank: self.places.rank(key),
            prefill_time: reading_time(self.own + f64::from(lack.unconfirmed)),
            prefill_tokens: self.own + read,
            cold: self.ask.filter.borne_from(backend, self.now),
            copy_from: None,
        }
    }

    /// The whole cost, given that of the prompt's shared parts, in ms.
    fn cost(&self, shared: f64, backend: &Rc<Backend>, load: f64) -> f64 {
        let queued = backend.prefill() as f64;
        let slots = f64::from(backend.slots());
        // Of equal costs, chance decides.
        let jitter = fastrand::f64();
        shared
            + (self.own + queued) / weight::READ_TOKENS_PER_MS
            + weight::RUNNING_MS * load
            + weight::WAITING_MS * (load - slots).max(0.0)
            + self.crowd.cost(load)
            + slowness(backend, self.usual_ms, self.now)
            + jitter
            + common(backend, self.ask, self.failing, self.now)
    }
}

/// What a crowded server costs.
struct Crowd {
    /// Load from which a server counts as crowded.
    soft: f64,
    /// Load from which it is at the operator's bound.
    hard: f64,
}

impl Crowd {
    /// `factor`: the operator's bound in multiples of the mean load.
    fn new(factor: f64, mean: f64) -> Self {
        Self {
            soft: weight::BOUND_PART * factor * mean + weight::BOUND_EXTRA,
            hard: factor * mean + weight::BOUND_EXTRA,
        }
    }

    /// The cost at a load, in ms.
    fn cost(&self, load: f64) -> f64 {
        weight::EXCESS_MS * (load - self.soft).max(0.0)
            + weight::BROKEN_MS * (load - self.hard).max(0.0)
    }
}

/// Time in which an engine reads so many tokens.
fn reading_time(tokens: f64) -> Duration {
    Duration::from_secs_f64(tokens / weight::READ_TOKENS_PER_MS / 1e3)
}

/// The load of each server, and the mean of those that can be reached. Where
/// none was reported lately, the mean stands for it.
fn loads(servers: &[Rc<Backend>], now: Instant) -> (Vec<f64>, f64) {
    let counted = |backend: &Rc<Backend>| {
        backend
            .total_in_flight(weight::COUNT_AGE, now)
            .map(f64::from)
    };
    let reported: Vec<Option<f64>> = servers
        .iter()
        .map(|backend| backend.load(weight::LOAD_AGE).map(f64::from))
        .collect();
    let reached = servers
        .iter()
        .zip(&reported)
        .filter(|(backend, _)| backend.is_healthy(now));
    let known: Vec<f64> = reached.filter_map(|(_, reported)| *reported).collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    let or_mean = |(backend, reported): (&Rc<Backend>, Option<f64>)| {
        let known = reported
            .into_iter()
            .chain(counted(backend))
            .reduce(f64::max);
        known.unwrap_or_else(|| mean.max(f64::from(backend.in_flight())))
    };
    (servers.iter().zip(reported).map(or_mean).collect(), mean)
}

/// The mean load of all engines, given that of those whose load is known. Engines of
/// emptied halls, cold ones, those that rest and those of a release that is on trial
/// get little, so that nothing is known of many of them; without them the mean is that
/// of the busy ones alone, half as much again where one hall of three is empty, and
/// these could go as far over the operator's bound.
fn mean_of_all(known: f64, group: &Group<'_>, ask: &Criteria<'_>, now: Instant) -> f64 {
    let (cold, busy): (Vec<_>, Vec<_>) = group.serving.iter().partition(|backend| {
        let aside = backend.is_backing_off(now) || !ask.filter.matches_release(backend);
        aside || ask.filter.is_cold(backend, now)
    });
    let idle = cold.into_iter().chain(group.emptied);
    let idle: Vec<f64> = idle.map(|backend| least_load(backend, now)).collect();
    if idle.is_empty() {
        return known;
    }
    let all = known * busy.len() as f64 + idle.iter().sum::<f64>();
    all / (busy.len() + idle.len()) as f64
}

/// The load of an engine of which little is told: what is.
fn least_load(backend: &Backend, now: Instant) -> f64 {
    let reported = backend.load(weight::LOAD_AGE);
    let counted = backend.total_in_flight(weight::COUNT_AGE, now);
    f64::from(reported.max(counted).unwrap_or(0))
}

/// The median time to an answer's beginning, in ms, of servers that answered
/// lately.
fn usual_time(servers: &[Rc<Backend>], now: Instant) -> Option<f64> {
    let times = servers
        .iter()
        .filter_map(|backend| backend.health.recent_latency_ms(now));
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}

/// What a server's answers have lately taken beyond what is usual, in ms.
fn slowness(backend: &Rc<Backend>, usual_ms: Option<f64>, now: Instant) -> f64 {
    let times = backend.health.recent_latency_ms(now).zip(usual_ms);
    let excess = times.map_or(0.0, |(own, usual)| {
        own - weight::SLOW_FACTOR * usual - weight::SLOW_EXTRA_MS
    });
    excess.clamp(0.0, weight::SLOW_MOST_MS)
}
