//! Chooses a server for a request and sends the request there.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tidepier_admission::verify;
use tidepier_clock::Instant;
use tidepier_core::request::Forward;
use tidepier_core::server::Release;
use tidepier_ids as ids;
use tidepier_platform::request as wire_request;

use super::report;
use super::state::{Exchange, Start};
use crate::attempt::{self, Dispatch, Failure, Path, Reply};
use crate::choose::filter::{Admission, Filter, Regions};
use crate::choose::rotation::Servers;
use crate::choose::{self, Choice, Criteria};
use crate::cold::Limit;
use crate::fleet::{self, Backend, Permit};
use crate::health::Outcome;
use crate::origin::Origin;
use crate::refusal;
use crate::rollout::Selector;

/// Longest idle time of a pooled connection for a request that may be executed only
/// once: if the server closes the idle connection at that moment, it is unknown
/// whether the request was executed.
const ONCE_IDLE_MAX: Duration = Duration::from_millis(1_500);
/// The same for a server in another hall from which nothing was received for this
/// time: opening a connection detects a network partition before anything is sent
/// that could be lost.
const OTHER_HALL_IDLE_MAX: Duration = Duration::from_millis(400);
/// Longest idle time of a pooled connection for a request that may be repeated.
const REPEATABLE_IDLE_MAX: Duration = Duration::from_secs(10);
/// Longest wait until a cold server admits a request. A refused client would wait as
/// long before its retry, and could reach a box that has no place either. With 90 cold
/// servers and 1,125 requests a second, the wait reduces the requests without a place
/// from 59 to 31 in 1,000.
const COLD_WAIT_MAX: Duration = Duration::from_millis(150);
/// Age of the last news of a rollout up to which a box sends requests to its new
/// release, as a fraction of the time in which a faulty release has to be rolled back.
const ORDER_AGE_PART: f64 = 0.5;
/// Highest priority rank at a model engine.
const RANK_MAX: u8 = 9;
/// Number of route priorities within one account priority.
const ROUTE_RANKS: u8 = 3;

impl Exchange<'_> {
    /// Chooses a server and sends the request there.
    pub(crate) async fn send(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<(Rc<Backend>, Result<Reply, Failure>), refusal::Kind> {
        let (choice, permit) = self.place().await?;
        let backend = choice.backend.clone();
        let sent_at = choice.admission_time.unwrap_or_else(Instant::now);
        self.last_attempt = Start {
            at: Instant::now(),
            prefill_time: choice.prefill_time,
            first_event: choice.first_event,
        };
        self.log_placement(&choice);
        self.answering_since.set(None);
        let head = self.encode(&choice, resume_after);
        let max_idle = self.max_idle(&backend);
        self.attempts += 1;
        self.tried.push(backend.server.id.clone());
        self.path.set(None);
        self.tunnel_opened_at.set(None);
        self.last_data.set(None);
        let connected = |path: Path| {
            self.path.set(Some(path));
            self.may_be_executing.set(true);
            if path.is_new_tunnel() {
                self.tunnel_opened_at.set(Some(Instant::now()));
            }
            backend.window.reschedule(sent_at, Instant::now());
            self.record_sent(&backend);
        };
        let regions = self.relay.regions();
        let may_pass = |hall: &ids::Hall| self.may_pass(&regions, hall);
        let dispatch = Dispatch {
            on_connected: &connected,
            used: &self.used,
            parts: [&head, self.arrival.body],
            method: self.arrival.head.method(),
            attempt: &self.request.attempt,
            deadline: self.deadline,
            max_idle,
            prefill: choice.prefill_tokens as u64,
            plain: choice.plain,
            dialer: &self.relay.dialer,
            may_pass: &may_pass,
            fleet: &self.relay.fleet,
        };
        let guard = Guard::new(&backend, &self.path, self.route.objective);
        let sent = attempt::send(&permit, &dispatch);
        let others_left = self.attempts < self.route.attempts;
        let result = if self.route.kind.repeatable() && others_left {
            self.unless_silent(&backend, sent).await
        } else {
            sent.await
        };
        guard.disarm();
        Ok((backend, result))
    }

    /// Chooses a server and obtains its permit; waits first if the server is cold.
    async fn place(&self) -> Result<(Choice, Permit), refusal::Kind> {
        let mut selector = self.release_selector();
        self.check_release_serves()?;
        let mut young = self.young_releases();
        let mut checks = 0;
        loop {
            self.check_not_crashing()?;
            self.check_time_left()?;
            let choice = match self.choose(&selector, &young, Duration::ZERO) {
                // Servers of the old release take requests that the canaries cannot.
                Err(_) if selector.is_canary() => {
                    selector = selector.others();
                    continue;
                }
                Err(_) if !young.is_empty() => {
                    young.clear();
                    continue;
                }
                Err(_) if self.answering_since.take().is_some() => continue,
                Err(refusal::Kind::Cold) => self.choose(&selector, &young, COLD_WAIT_MAX)?,
                chosen => chosen?,
            };
            if choice.needs_check && checks < verify::CHECKS_MAX {
                checks += 1;
                // Boxed, as the futures of all requests would hold it otherwise.
                if !Box::pin(self.answers_check(&choice.backend)).await {
                    continue;
                }
            }
            if let Some(at) = choice.admission_time {
                // Reserve the slot before the wait, so that no later request takes it.
                choice.backend.window.sent(at);
                tidepier_clock::sleep_until(at).await;
                // The content may have been found to crash servers during the wait.
                self.check_not_crashing()?;
            }
            // The health check and the wait have taken time.
            self.check_time_left()?;
            // A server that announced during the wait that it is leaving is not chosen again.
            let permit = self.relay.fleet.permit(&choice.backend, Instant::now());
            if let Ok(permit) = permit {
                return Ok((choice, permit));
            }
        }
    }

    /// The releases that the request may go to at this moment of a rollout.
    pub(super) fn release_selector(&self) -> Selector {
        let relay = self.relay;
        if self.origin.get().is_some() {
            return Selector::Any;
        }
        let is_retry = self.attempts > 0 || self.request.resume_after.is_some();
        let max_age = relay.bounds().rollback.mul_f64(ORDER_AGE_PART);
        let serving = relay.fleet.serving(&self.service);
        let servers = |release: &Release| {
            let run = serving.iter().map(|it| it.server.release.as_ref());
            run.filter(|run| *run == Some(release)).count()
        };
        let now = Instant::now();
        let selector =
            relay
                .rollouts
                .release_selector(&self.service, is_retry, max_age, servers, now);
        // Without another server, a release on trial is better than a refusal.
        let any_admitted = serving.iter().any(|it| selector.admits(&it.server));
        if any_admitted || serving.is_empty() {
            selector
        } else {
            Selector::Any
        }
    }

    /// The releases to which the stream is not sent while there are others, as other boxes
    /// may not know of them yet.
    fn young_releases(&self) -> Vec<Origin> {
        if !self.is_resumable() || self.origin.get().is_some() {
            return Vec::new();
        }
        let relay = self.relay;
        let releases = &relay.fleet.releases;
        releases.young(&self.service, relay.release_delay(), Instant::now())
    }

    /// Checks that there are servers of the release that began the stream, and that it was
    /// not withdrawn as faulty.
    pub(super) fn check_release_serves(&self) -> Result<(), refusal::Kind> {
        let Some(origin) = self.origin.get() else {
            return Ok(());
        };
        let relay = self.relay;
        let serving = relay.fleet.serving(&self.service);
        let withdrawn = relay.rollouts.withdrawn(&self.service);
        let withdrawn = withdrawn.map(|release| Origin::new(&self.service, Some(&release)));
        let serves = serving.iter().any(|it| Origin::of(&it.server) == origin);
        if serves && withdrawn != Some(origin) {
            Ok(())
        } else {
            Err(refusal::Kind::ReleaseGone)
        }
    }

    /// Checks that neither the content of the request nor a part of its prompt is known to crash
    /// servers.
    ///
    /// Called before every attempt, also of a retry, a resumed stream and a request that
    /// waited: each attempt of such a request costs a server and the requests that other
    /// clients have there.
    fn check_not_crashing(&self) -> Result<(), refusal::Kind> {
        let refused = self
            .relay
            .crashes
            .table
            .refused(self.content, Instant::now());
        if let Some(left) = refused {
            return Err(refusal::Kind::Crashing(left));
        }
        let (crashes, boxes) = (&self.relay.crashes, self.relay.boxes());
        match crashes.refused_part(self.content, self.shared_parts(), boxes) {
            Some((part, left)) => {
                self.log_refused_part(part);
                Err(refusal::Kind::CrashingPart(left))
            }
            None => Ok(()),
        }
    }

    /// Records that a server gets the request and from now on probably has its prompt in
    /// its KV cache. Called once a connection is open: without one nothing was sent.
    fn record_sent(&self, backend: &Backend) {
        let prompt = self.request.prompt.as_ref();
        let subject = prompt.and_then(|prompt| prompt.subject());
        let demand = &self.relay.traffic.index.demand;
        let now = Instant::now();
        demand.record(&self.service, subject.map(|part| part.id), now);
        let sample = subject.and_then(|part| demand.sample(&self.service, part.id, now));
        if let Some(sample) = sample {
            self.relay.traffic.sampled(sample, now);
        }
        if let Some(prompt) = &self.request.prompt {
            let traffic = &self.relay.traffic;
            traffic.sent(prompt, backend.key, Instant::now());
        }
    }

    /// Longest idle time of a pooled connection that may carry the request.
    fn max_idle(&self, backend: &Backend) -> Duration {
        let other_hall = backend.server.hall != self.relay.hall;
        if other_hall
            && !backend
                .hall
                .received_within(OTHER_HALL_IDLE_MAX, Instant::now())
        {
            OTHER_HALL_IDLE_MAX
        } else if self.route.kind.repeatable() {
            REPEATABLE_IDLE_MAX
        } else {
            ONCE_IDLE_MAX
        }
    }

    /// Chooses a server; the request may wait up to `max_wait` for a cold one.
    fn choose(
        &self,
        selector: &Selector,
        young: &[Origin],
        max_wait: Duration,
    ) -> Result<Choice, refusal::Kind> {
        let relay = self.relay;
        let regions = relay.regions();
        let filter = Filter {
            young,
            ..self.filter(&regions, selector, max_wait)
        };
        let criteria = self.criteria(filter);
        let now = Instant::now();
        if let Some(choice) = self.choose_in_turn(&criteria, now) {
            return Ok(choice);
        }
        let choice = choose::choose(
            &relay.fleet,
            &self.service,
            &criteria,
            &relay.traffic.index,
            now,
        );
        choice.ok_or_else(|| self.no_choice_refusal(&filter, now))
    }

    /// The server of a plain service whose turn it is; `None` unless the servers are under
    /// pressure.
    fn choose_in_turn(&self, criteria: &Criteria<'_>, now: Instant) -> Option<Choice> {
        let (fleet, service) = (&self.relay.fleet, &self.service);
        if criteria.prompt.is_some()
            || !Servers::of(fleet, service, criteria, now).are_under_pressure()
        {
            return None;
        }
        let demand = &self.relay.traffic.index.demand;
        let rotations = &self.relay.rotations;
        rotations.choose(fleet, service, criteria, demand, now)
    }

    /// The request as the choice of a server sees it.
    pub(super) fn criteria<'a>(&'a self, filter: Filter<'a>) -> Criteria<'a> {
        Criteria {
            prompt: self.request.prompt.as_ref(),
            copy_ms: self.terms.copy_ms,
            tried: &self.tried,
            used: &self.used,
            filter,
            hall: &self.relay.hall,
            not_resumable: !self.is_resumable(),
            repeatable: self.route.kind.repeatable(),
            connections: self.terms.connections,
            crowd_factor: self.relay.bounds().crowd_factor,
            boxes: self.relay.boxes(),
        }
    }

    /// The constraints on the servers that the request may go to.
    pub(super) fn filter<'a>(
        &'a self,
        regions: &'a Regions,
        selector: &'a Selector,
        max_wait: Duration,
    ) -> Filter<'a> {
        let relay = self.relay;
        let bounds = relay.bounds();
        let gate = self.terms.cold.map(|cold| Admission {
            limit: Limit::new(cold, bounds.cold_overage, bounds.cold_tolerance),
            roster: &relay.roster,
            max_wait,
        });
        Filter {
            gate,
            release_selector: (*selector != Selector::Any).then_some(selector),
            origin: self.origin.get(),
            answering_since: self.answering_since.get(),
            ..self.region_filter(regions)
        }
    }

    /// The constraints on the regions that the request may enter.
    fn region_filter<'a>(&'a self, regions: &'a Regions) -> Filter<'a> {
        let account = self.account.as_ref();
        Filter {
            allowed_regions: [
                self.route.allowed_regions.as_ref(),
                account.and_then(|account| account.allowed_regions.as_ref()),
            ],
            regions: Some(regions),
            ..Filter::default()
        }
    }

    /// Whether the request may pass through a box of a hall: it is in this one already, or
    /// may go to a server there.
    fn may_pass(&self, regions: &Regions, hall: &ids::Hall) -> bool {
        *hall == self.relay.hall || self.region_filter(regions).is_allowed_hall(hall)
    }

    /// The refusal that explains why no server can take the request.
    fn no_choice_refusal(&self, filter: &Filter<'_>, now: Instant) -> refusal::Kind {
        let fleet = &self.relay.fleet;
        let servers = fleet.serving(&self.service);
        let matching = servers.iter().filter(|it| filter.matches_release(it));
        let allowed = matching.filter(|it| filter.is_allowed_hall(&it.server.hall));
        let allowed: Vec<&Rc<Backend>> = allowed.collect();
        if servers.is_empty() && !fleet.emptied(&self.service).is_empty() {
            refusal::Kind::Emptied
        } else if servers.is_empty() && fleet.leaving(&self.service) > 0 {
            refusal::Kind::Leaving
        } else if servers.is_empty() {
            refusal::Kind::NoServer
        } else if allowed.is_empty() {
            refusal::Kind::NoRegion
        } else if let Some(backoff) = fleet::earliest_backoff(allowed.iter().copied(), now) {
            refusal::Kind::BackingOff(backoff.retry_delay(self.route.priority, now))
        } else if allowed
            .iter()
            .all(|it| it.is_backing_off(now) || !filter.has_cold_capacity(it, now))
        {
            refusal::Kind::Cold
        } else {
            refusal::Kind::Full
        }
    }

    /// The head of the request for the chosen server.
    fn encode(&self, choice: &Choice, resume_after: Option<u64>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(1_024);
        let forward = Forward {
            server: &choice.backend.server.id,
            left: Some(self.deadline - Instant::now()),
            account: self.account.as_ref().map(|account| &account.name),
            priority: self.request.prompt.as_ref().map(|_| self.rank()),
            resume_after,
            copy_from: choice
                .copy_from
                .as_ref()
                .map(|source| source.server.address),
            body: self.arrival.has_body.then_some(self.arrival.body.len()),
        };
        wire_request::encode(self.arrival.head, &forward, &mut bytes);
        bytes
    }

    /// Priority rank at a model engine: the account's priority outranks the route's.
    pub(super) fn rank(&self) -> u8 {
        let account = self.account.as_ref().map_or(0, |account| account.priority);
        let route = self.route.priority.min(ROUTE_RANKS - 1);
        account
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(route)
            .min(RANK_MAX)
    }
}

/// Records a server as unresponsive if the wait for its answer is abandoned, for example
/// because the client disconnects, after a time within which every healthy server
/// answers.
struct Guard<'a> {
    backend: &'a Backend,
    path: &'a Cell<Option<Path>>,
    since: Instant,
    threshold: Duration,
    disarmed: bool,
}

impl<'a> Guard<'a> {
    fn new(backend: &'a Backend, path: &'a Cell<Option<Path>>, objective: Duration) -> Self {
        Self {
            backend,
            path,
            since: Instant::now(),
            threshold: report::silence_threshold(objective),
            disarmed: false,
        }
    }

    fn disarm(mut self) {
        self.disarmed = true;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        // The way that a connection took may have failed, while new ones take another one.
        let path = self.path.get();
        let is_current =
            path.is_none_or(|path| path.carrier.is_some() == self.backend.is_detoured());
        if !self.disarmed && is_current && self.since.elapsed() > self.threshold {
            self.backend
                .record(Outcome::Unresponsive, self.since, Instant::now());
        }
    }
}
