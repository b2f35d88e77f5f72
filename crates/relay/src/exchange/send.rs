//! Choosing a server for a request and sending the request there.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_clock::Instant;
use tidepier_core::catalog::Kind;
use tidepier_core::request::Forward;
use tidepier_core::server::Release;
use tidepier_platform::request as wire_request;

use super::job::{Exchange, Start};
use super::report;
use crate::attempt::{self, Cause, Dispatch, Executed, Failure, Reply};
use crate::choose::filter::{Admission, Filter, Regions};
use crate::choose::{self, Choice, Criteria};
use crate::cold::Limit;
use crate::fleet::{self, Backend, Permit};
use crate::health::Outcome;
use crate::refusal;
use crate::rollout::Selector;

/// Longest rest of a kept connection for a request that may run only once: a
/// server that closes a resting connection would make its fate unknown.
const REST_ONCE: Duration = Duration::from_millis(1_500);
/// The same to a server in another hall from which nothing was heard for so
/// long: a cut is found by opening a connection, before anything is sent that
/// could be lost.
const REST_OTHER_HALL: Duration = Duration::from_millis(400);
/// Longest rest of a kept connection for a request that may be repeated.
const REST_REPEATABLE: Duration = Duration::from_secs(10);
/// Silence of a server, on all connections, after which a request that may be
/// repeated is sent elsewhere, unless the server takes a connection.
const SILENCE: Duration = Duration::from_millis(500);
/// The same for a server that takes one: an engine that reads some long prompts says
/// nothing for as long. What is taken from it has to be read anew elsewhere, and an
/// engine that is thought to be silent keeps requests away, which crowd the others.
/// Half of the shortest usual patience of clients is left for another server.
const SILENCE_THERE: Duration = Duration::from_millis(2_000);
/// Longest wait for a cold server to bear a request: as long as its client would
/// wait after a refusal, to come back to a box that may have no place either. When
/// 90 servers are cold before 1,125 requests a second, 31 instead of 59 in 1,000
/// find no place.
const COLD_WAIT: Duration = Duration::from_millis(150);
/// Age of what is known of an order to move a service, as a part of the time in which
/// a bad release has to be rolled back, up to which a box sends to it.
const TRUST_PART: f64 = 0.5;
/// Ranks at a model engine.
const RANK_LAST: u8 = 9;
/// Ranks of routes within one rank of accounts.
const ROUTE_RANKS: u8 = 3;

impl Exchange<'_> {
    /// Chooses a server and sends the request there.
    pub(crate) async fn send(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<(Rc<Backend>, Result<Reply, Failure>), refusal::Kind> {
        let (choice, permit) = self.place().await?;
        let backend = choice.backend.clone();
        let sent_at = choice.cold.unwrap_or_else(Instant::now);
        self.sending = Start {
            at: Instant::now(),
            reading: choice.prefill_time,
        };
        self.note_placed(&choice);
        let bytes = self.encode(&choice, resume_after);
        let rest = self.rest(&backend);
        let connected = || {
            backend.pace.reschedule(sent_at, Instant::now());
            self.note_sent(&backend);
        };
        let sending = Dispatch {
            on_connected: &connected,
            bytes: &bytes,
            method: self.arrival.head.method(),
            attempt: &self.request.attempt,
            deadline: self.deadline,
            max_idle: rest,
            prefill: choice.prefill_tokens as u64,
            fleet: &self.relay.fleet,
        };
        let waiting = Waiting::new(&backend, self.route.objective);
        let others_left = self.sent + 1 < self.route.attempts;
        let result = if self.route.kind.repeatable() && others_left {
            attempt::send(&permit, &sending).or(silence(&backend)).await
        } else {
            attempt::send(&permit, &sending).await
        };
        waiting.over();
        self.sent += 1;
        self.tried.push(backend.server.id.clone());
        Ok((backend, result))
    }

    /// Chooses a server that takes the request now, after a wait if it is cold.
    async fn place(&self) -> Result<(Choice, Permit), refusal::Kind> {
        let mut aim = self.aim();
        loop {
            self.may_pass()?;
            let choice = match self.choose(&aim, Duration::ZERO) {
                // The other servers have room for what the new ones do not take.
                Err(_) if aim.is_trial() => {
                    aim = aim.others();
                    continue;
                }
                Err(refusal::Kind::Cold) => self.choose(&aim, COLD_WAIT)?,
                chosen => chosen?,
            };
            if let Some(at) = choice.cold {
                // Its place is taken now, so that no request waits in vain.
                choice.backend.pace.sent(at);
                tidepier_clock::sleep_until(at).await;
                // What was learned meanwhile counts for it as well.
                self.may_pass()?;
            }
            // A server that says during the wait that it leaves is in no further choice.
            let permit = self.relay.fleet.permit(&choice.backend, Instant::now());
            if let Ok(permit) = permit {
                return Ok((choice, permit));
            }
        }
    }

    /// The releases that the request may go to now.
    fn aim(&self) -> Selector {
        let relay = self.relay;
        let again = self.sent > 0 || self.request.resume_after.is_some();
        let trust = relay.bounds().rollback.mul_f64(TRUST_PART);
        let serving = relay.fleet.serving(&self.service);
        let servers = |release: &Release| {
            let run = serving.iter().map(|it| it.server.release.as_ref());
            run.filter(|run| *run == Some(release)).count()
        };
        let now = Instant::now();
        let aim = relay
            .rollouts
            .release_selector(&self.service, again, trust, servers, now);
        // With no other server a refusal would be worse than a release on trial.
        let is_any = serving.iter().any(|it| aim.admits(&it.server));
        if is_any || serving.is_empty() {
            aim
        } else {
            Selector::Any
        }
    }

    /// Whether the request may go to a server: each sending of one that ends its
    /// servers costs a server and what other callers have there, also a repeat, a
    /// resumed stream, and one that waited.
    fn may_pass(&self) -> Result<(), refusal::Kind> {
        let refused = self
            .relay
            .crashes
            .table
            .refused(self.content, Instant::now());
        refused.map_or(Ok(()), |left| Err(refusal::Kind::Crashing(left)))
    }

    /// Remembers that a server gets the prompt: from now on it is likely to
    /// keep it, but not if no connection to it came up.
    fn note_sent(&self, backend: &Backend) {
        if let Some(prompt) = &self.request.prompt {
            let traffic = &self.relay.traffic;
            traffic.sent(prompt, backend.key, Instant::now());
        }
    }

    /// Longest rest of a kept connection that may carry the request.
    fn rest(&self, backend: &Backend) -> Duration {
        let other_hall = backend.server.hall != self.relay.hall;
        if other_hall
            && !backend
                .hall
                .received_within(REST_OTHER_HALL, Instant::now())
        {
            REST_OTHER_HALL
        } else if self.route.kind.repeatable() {
            REST_REPEATABLE
        } else {
            REST_ONCE
        }
    }

    /// Chooses a server; a cold one may make the request wait for so long.
    fn choose(&self, aim: &Selector, patience: Duration) -> Result<Choice, refusal::Kind> {
        let relay = self.relay;
        let regions = relay.regions();
        let filter = self.filter(&regions, aim, patience);
        let ask = Criteria {
            prompt: self.request.prompt.as_ref(),
            copy_ms: self.copy_ms,
            tried: &self.tried,
            filter,
            hall: &self.relay.hall,
            not_resumable: self.route.kind != Kind::Stream { resumable: true },
            connections: self.connections,
            crowd_factor: relay.bounds().crowd_factor,
        };
        let now = Instant::now();
        let choice = choose::choose(&relay.fleet, &self.service, &ask, &relay.traffic.index, now);
        choice.ok_or_else(|| self.nowhere(&filter, now))
    }

    /// The servers that the request may not go to.
    fn filter<'a>(
        &'a self,
        regions: &'a Regions,
        aim: &'a Selector,
        patience: Duration,
    ) -> Filter<'a> {
        let relay = self.relay;
        let bounds = relay.bounds();
        let account = self.account.as_ref();
        let gate = self.cold.map(|cold| Admission {
            limit: Limit::new(cold, bounds.cold_overage, bounds.cold_tolerance),
            roster: &relay.roster,
            max_wait: patience,
        });
        Filter {
            allowed_regions: [
                self.route.allowed_regions.as_ref(),
                account.and_then(|account| account.allowed_regions.as_ref()),
            ],
            regions: Some(regions),
            gate,
            release_selector: (*aim != Selector::Any).then_some(aim),
        }
    }

    /// Why there is no server that the request may go to.
    fn nowhere(&self, filter: &Filter<'_>, now: Instant) -> refusal::Kind {
        let fleet = &self.relay.fleet;
        let servers = fleet.serving(&self.service);
        let aimed = servers.iter().filter(|it| filter.matches_release(it));
        let home = aimed.filter(|it| filter.is_allowed_hall(&it.server.hall));
        let home: Vec<&Rc<Backend>> = home.collect();
        if servers.is_empty() && !fleet.emptied(&self.service).is_empty() {
            refusal::Kind::Emptied
        } else if servers.is_empty() && fleet.leaving(&self.service) > 0 {
            refusal::Kind::Leaving
        } else if servers.is_empty() {
            refusal::Kind::NoServer
        } else if home.is_empty() {
            refusal::Kind::NoRegion
        } else if let Some(rest) = fleet::earliest_backoff(home.iter().copied(), now) {
            refusal::Kind::BackingOff(rest.retry_delay(self.route.priority, now))
        } else if home
            .iter()
            .all(|it| it.is_backing_off(now) || !filter.has_cold_capacity(it, now))
        {
            refusal::Kind::Cold
        } else {
            refusal::Kind::Full
        }
    }

    fn encode(&self, choice: &Choice, resume_after: Option<u64>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(1_024 + self.arrival.body.len());
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
        bytes.extend_from_slice(self.arrival.body);
        bytes
    }

    /// Urgency at a model engine: the account's rank goes before the route's.
    fn rank(&self) -> u8 {
        let account = self.account.as_ref().map_or(0, |account| account.priority);
        let route = self.route.priority.min(ROUTE_RANKS - 1);
        account
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(route)
            .min(RANK_LAST)
    }
}

/// Ends when a server has been silent on all connections since now.
async fn silence(backend: &Rc<Backend>) -> Result<Reply, Failure> {
    let mut since = Instant::now();
    loop {
        tidepier_clock::sleep_until(since + SILENCE).await;
        let is_silent = || backend.last_received().is_none_or(|heard| heard <= since);
        if is_silent() && attempt::accepts_connection(backend).await {
            tidepier_clock::sleep_until(since + SILENCE_THERE).await;
        }
        if is_silent() {
            return Err(Failure {
                ran: Executed::Unknown,
                cause: Cause::Stalled,
            });
        }
        since = backend.last_received().unwrap_or(since);
    }
}

/// Counts a server as silent when the wait for its answer is abandoned after
/// a time in which every healthy server answers, as when the client leaves.
struct Waiting<'a> {
    backend: &'a Backend,
    since: Instant,
    patience: Duration,
    over: bool,
}

impl<'a> Waiting<'a> {
    fn new(backend: &'a Backend, objective: Duration) -> Self {
        Self {
            backend,
            since: Instant::now(),
            patience: report::patience(objective),
            over: false,
        }
    }

    fn over(mut self) {
        self.over = true;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.over && self.since.elapsed() > self.patience {
            self.backend.record(Outcome::Unresponsive, Instant::now());
        }
    }
}
