//! What the handling of a request records: log lines, metrics, the health of
//! servers and the evidence for rollouts.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tidepier_admission::speed::Rate;
use tidepier_clock::Instant;
use tidepier_core::server::Server;
use tidepier_h1::Framing;
use tidepier_platform::answer;

use super::disposition::Disposition;
use super::state::{request_id, Exchange, IncomingRequest};
use crate::attempt::{Cause, Executed, Failure, Path};
use crate::backlog::{Cut, Stall};
use crate::choose::Choice;
use crate::crash::suspects;
use crate::dial;
use crate::events::Disorder;
use crate::fleet::Backend;
use crate::health;
use crate::rollout::evidence::{Answer, Outcome};

impl Exchange<'_> {
    /// Logs which server was chosen, with the figures behind the choice.
    pub(super) fn log_placement(&self, choice: &Choice) {
        let load = choice.fleet_load;
        let is_over = load.is_over_bound(self.relay.bounds().crowd_factor);
        let against_bound = if is_over { "over" } else { "within" };
        metrics::counter!("tidepier_placements_total", "bound" => against_bound).increment(1);
        if let Some(age) = load.counts_age {
            metrics::histogram!("tidepier_counts_age_seconds").record(age.as_secs_f64());
        }
        let now = Instant::now();
        let silence = &choice.backend.silence;
        let waited = silence.wait(now).map_or(Duration::ZERO, |wait| wait.time);
        let answered = silence.last_answered();
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as i64;
        let answered = answered.map_or(-1, age_ms);
        let heard = self.relay.fleet.stalls.last_heard().map_or(-1, age_ms);
        metrics::histogram!("tidepier_unanswered_seconds").record(waited.as_secs_f64());
        log::info!(
            target: "request",
            "event=placed id={} content={} route={} account={} server={} release={} try={} cost={:.0} load={:.0} \
             shared={} read={:.0} copy_from={} subject={:x} rank={} hall={} time_ms={:.0} leaving={} resting={} version={} age_ms={} service={} \
             own={} known={:.0} mean={:.1} counts_ms={} waited_ms={} answered_ms={answered} heard_ms={heard} stalled={} verified={} \
             divided={} rate={} ejected={}",
            self.request.attempt,
            self.content,
            self.route.name,
            self.account.as_ref().map_or("-", |account| account.name.as_str()),
            choice.backend.server.id,
            choice.backend.server.release_name(),
            self.attempts + 1,
            choice.cost,
            choice.load,
            self.request.prompt.as_ref().map_or(0, |prompt| prompt.shared_tokens()),
            choice.prefill_tokens,
            choice.copy_from.as_ref().map_or("-", |source| source.server.id.as_str()),
            self.subject(),
            choice.rank.map_or(-1, |rank| rank as i64),
            choice.backend.server.hall,
            choice.backend.health.mean_latency_ms().unwrap_or(-1.0),
            self.relay.fleet.leaving(&self.service),
            self.relay.fleet.backing_off(&self.service, now),
            self.relay.view.version(),
            self.relay.view.age().map_or(-1, |age| age.as_millis() as i64),
            self.service,
            choice.backend.in_flight(),
            load.server,
            load.mean,
            load.counts_age.map_or(-1, |age| age.as_millis() as i64),
            waited.as_millis(),
            choice.backend.is_stalled(now),
            !choice.needs_check,
            choice.divided,
            choice.first_event.map_or(Rate::DEFAULT, |(_, predicted)| predicted.rate()),
            self.relay.fleet.ejected(&self.service),
        );
    }

    /// Logs and counts a request by which a client takes up a stream that broke off.
    /// `origin`: how its release was found.
    pub(super) fn log_taken_up(&self, origin: &'static str) {
        log::info!(
            target: "request",
            "event=taken_up id={} attempt={} content={} after={} origin={origin} ms={}",
            self.request.attempt,
            self.request.resumes.as_deref().unwrap_or("-"),
            self.content,
            self.request.resume_after.unwrap_or_default(),
            self.arrival.at.elapsed().as_millis(),
        );
        metrics::counter!("tidepier_streams_taken_up_total", "origin" => origin).increment(1);
    }

    /// Logs and counts a stream that goes on at another server within its answer.
    pub(super) fn log_resumed(&self, from: &Server, to: &Server, after: Option<u64>) {
        log::info!(
            target: "request",
            "event=resumed id={} server={} release={} began={} after={after:?} ms={}",
            self.request.attempt,
            to.id,
            to.release_name(),
            from.release_name(),
            self.arrival.at.elapsed().as_millis(),
        );
        let release = if from.release == to.release {
            "same"
        } else {
            "other"
        };
        metrics::counter!("tidepier_streams_resumed_total", "release" => release).increment(1);
    }

    /// Logs and counts a stream that ends before its end. `why`: what kept it from going on.
    pub(super) fn log_broken(&self, at: &Server, why: &'static str, last: Option<u64>) {
        log::info!(
            target: "request",
            "event=broken id={} server={} release={} resumable={} last_event={last:?} ms={} why={why}",
            self.request.attempt,
            at.id,
            at.release_name(),
            self.is_resumable(),
            self.arrival.at.elapsed().as_millis(),
        );
        metrics::counter!("tidepier_streams_broken_total", "why" => why).increment(1);
    }

    /// Logs and counts an event that a server sent out of order.
    pub(super) fn log_disorder(&self, at: &Server, disorder: Disorder) {
        log::info!(
            target: "request",
            "event=disorder id={} server={} release={} event_id={} last_event={} taken_up={} ms={}",
            self.request.attempt,
            at.id,
            at.release_name(),
            disorder.id,
            disorder.last,
            self.request.resume_after.is_some(),
            self.arrival.at.elapsed().as_millis(),
        );
        metrics::counter!("tidepier_streams_disordered_total").increment(1);
    }

    /// Counts a stream that its server ended, by how the server marked the end.
    pub(super) fn count_stream_end(&self, framing: Framing) {
        let end = framing_name(framing);
        metrics::counter!("tidepier_streams_ended_total", "framing" => end).increment(1);
    }

    /// Logs that a part keeps the request from being sent.
    pub(super) fn log_refused_part(&self, part: u64) {
        log::info!(
            target: "request",
            "event=part_blocks id={} part={part:016x}",
            self.request.attempt,
        );
    }

    /// Ids of the parts of the prompt that other prompts share.
    pub(super) fn shared_parts(&self) -> impl Iterator<Item = u64> + '_ {
        let prompt = self.request.prompt.iter();
        prompt.flat_map(|prompt| prompt.shared().iter().map(|part| part.id))
    }

    /// Id of the last part of the prompt that other prompts share; 0 without one.
    fn subject(&self) -> u64 {
        let prompt = self.request.prompt.as_ref();
        prompt
            .and_then(|prompt| prompt.subject())
            .map_or(0, |part| part.id)
    }

    /// Records a failed attempt: in the log, the metrics, the health of the server,
    /// the evidence for a rollout, and the suspects of a crash.
    pub(crate) fn record_failure(&mut self, backend: &Rc<Backend>, failure: &Failure) {
        self.may_be_executing.set(false);
        if failure.executed == Executed::Unknown {
            self.may_have_executed = true;
        }
        if matches!(failure.cause, Cause::TimedOut) {
            self.record_answer_time();
        }
        if !self.failed_on_the_way(backend, &failure.cause) {
            self.blame_server(backend, failure);
        }
        match failure.cause {
            Cause::Refused(answer::MISDIRECTED) => {
                self.relay.fleet.mark_replaced(&backend.server.id);
            }
            Cause::Refused(_) => backend.health.record_rejection(Instant::now()),
            _ => {}
        }
        let (conn, via) = self.path_names();
        log::info!(
            target: "request",
            "event=failed id={} server={} why={} detail=\"{}\" ran={:?} ms={} silent_ms={} failing={:.2} conn={} via={}",
            self.request.attempt,
            backend.server.id,
            failure.cause.name(),
            failure.cause,
            failure.executed,
            self.arrival.at.elapsed().as_millis(),
            self.silent_since().elapsed().as_millis(),
            backend.health.failure_rate(Instant::now()),
            conn,
            via,
        );
        metrics::counter!("tidepier_send_failures_total", "why" => failure.cause.name())
            .increment(1);
    }

    /// The time of which a server's answer, received at `now`, is evidence: one to a request
    /// that it has not answered by the deadline shows as little of now as no answer.
    fn evidence_of_status(&self, status: u16, now: Instant) -> Instant {
        match status {
            answer::DEADLINE_EXCEEDED => self.silent_since(),
            _ => now,
        }
    }

    /// Records a failure in what is known of the server.
    fn blame_server(&self, backend: &Rc<Backend>, failure: &Failure) {
        if let Some(outcome) = self.health_outcome(failure) {
            let now = Instant::now();
            let evidence = match failure.cause {
                _ if outcome == health::Outcome::Unresponsive => self.silent_since(),
                Cause::Error(status) => self.evidence_of_status(status, now),
                _ => now,
            };
            backend.record(outcome, evidence, now);
        }
        if let Some(outcome) = failure_evidence(&failure.cause) {
            if !self.is_late_for_client(&failure.cause) {
                self.record_evidence(backend, outcome);
            }
        }
        if failure.cause.may_be_crash() {
            let request = suspects::Request {
                content: self.content,
                parts: self.shared_parts().collect(),
            };
            self.relay.crashes.suspects.add(backend, request);
        }
    }

    /// Whether an attempt may have failed for the way that its connection took: the box that
    /// carried it is gone, or new connections take another way by now.
    fn failed_on_the_way(&self, backend: &Backend, cause: &Cause) -> bool {
        let Some(Path { carrier, .. }) = self.path.get() else {
            return false;
        };
        let gateways = &self.relay.dialer.gateways;
        if let Some(carrier) = carrier.filter(|_| cause.is_carrier_lost()) {
            gateways.record_lost(carrier, Instant::now());
        }
        let began = self.last_attempt.at;
        let is_lost = carrier.is_some_and(|carrier| !gateways.is_trusted_since(carrier, began));
        let takes_other_way = backend.is_detoured() != carrier.is_some();
        cause.may_be_network() && (is_lost || takes_other_way)
    }

    /// What a failure means for the health of the server; `None` if nothing.
    fn health_outcome(&self, failure: &Failure) -> Option<health::Outcome> {
        match &failure.cause {
            // None was tried.
            Cause::Connect(error) if dial::is_untried(error) => None,
            Cause::Connect(error) if error.kind() != io::ErrorKind::TimedOut => {
                Some(health::Outcome::NotListening)
            }
            Cause::Connect(_) | Cause::Stalled => Some(health::Outcome::Unresponsive),
            Cause::Ineligible(_) => None,
            Cause::Refused(answer::MISDIRECTED) => Some(health::Outcome::NotListening),
            Cause::Refused(_) => Some(health::Outcome::Succeeded),
            cause if self.is_late_for_client(cause) => None,
            // The client's deadline may have been too short for any server.
            Cause::TimedOut => {
                let waited = self.arrival.at.elapsed();
                (waited > silence_threshold(self.route.objective))
                    .then_some(health::Outcome::Unresponsive)
            }
            _ => Some(health::Outcome::Errored),
        }
    }

    /// Whether the deadline was missed only because the answer waited for its client.
    fn is_late_for_client(&self, cause: &Cause) -> bool {
        let waited = self.client_wait.get();
        matches!(cause, Cause::TimedOut) && Instant::now() < self.deadline + waited
    }

    /// Logs why an answer was not written completely, and ends it. A reset keeps the
    /// answer from looking complete.
    pub(super) fn end_cut(&self, cut: &Cut) -> Disposition {
        match cut {
            Cut::Gone => {
                log_client_left(self.arrival);
                return Disposition::Close;
            }
            Cut::TimedOut(stall) => {
                // The system may have timed out before the box had to wait.
                let time = stall.time.max(self.relay.bounds().client_timeout);
                log_client_cut(self.arrival, "timeout", &Stall { time, ..*stall });
            }
            Cut::Evicted(stall) => log_client_cut(self.arrival, "memory", stall),
        }
        Disposition::Reset
    }

    /// Time from the latest attempt to the beginning of the answer, less the time
    /// allowed for the prefill. `first` is the time from the request's arrival to that
    /// beginning. `None` if the answer began at an earlier server.
    fn first_byte_delay(&self, first: Duration) -> Option<Duration> {
        let begun = self.arrival.at + first;
        let took = begun.checked_duration_since(self.attempt_began())?;
        Some(took.saturating_sub(self.last_attempt.prefill_time))
    }

    /// Records when the first event of an answer arrived, for the speed of the engine.
    /// `first` is the time from the request's arrival to it. Cold engines are slow for as
    /// long as they are cold, which is known already.
    pub(crate) fn record_first_event(&self, backend: &Backend, status: u16, first: Duration) {
        let at = self.arrival.at + first;
        let took = at.checked_duration_since(self.attempt_began());
        let is_cold = self
            .terms
            .cold
            .is_some_and(|cold| backend.is_cold(cold.time, at));
        let Some(((work, predicted), took)) = self.last_attempt.first_event.zip(took) else {
            return;
        };
        // A server that continues its own stream has prefilled the prompt before.
        if status != 200 || is_cold || self.request.resume_after.is_some() {
            return;
        }
        let distance = match backend.server.hall == self.relay.hall {
            true => Duration::ZERO,
            false => backend.hall.round_trip().unwrap_or_default(),
        };
        backend.record_first_event(work, &predicted, took.saturating_sub(distance), at);
    }

    /// Records that a server has sent its answer completely. `first` is the time from
    /// the request's arrival to the beginning of the answer.
    pub(crate) fn record_answer(&self, backend: &Rc<Backend>, status: u16, first: Duration) {
        let outcome = if status >= 500 {
            health::Outcome::Errored
        } else {
            health::Outcome::Succeeded
        };
        let now = Instant::now();
        backend.record(outcome, self.evidence_of_status(status, now), now);
        if matches!(status, 200..=299) {
            self.relay
                .crashes
                .answered(self.content, self.shared_parts());
        }
        if let Some(took) = self.first_byte_delay(first) {
            backend.health.record_latency(took, Instant::now());
            self.record_load_answer();
            if status < 500 {
                self.record_answer_time();
            }
            self.record_evidence(backend, self.answer_evidence(backend, status, took));
        }
    }

    /// The rollout evidence of a complete answer whose beginning took `first`.
    fn answer_evidence(&self, backend: &Backend, status: u16, first: Duration) -> Outcome {
        let now = Instant::now();
        match status {
            500.. => Outcome::Failed,
            _ => Outcome::Answered {
                first,
                whole: now
                    .saturating_duration_since(self.attempt_began())
                    .saturating_sub(self.last_attempt.prefill_time)
                    .saturating_sub(self.client_wait.get()),
                cold: self
                    .terms
                    .cold
                    .is_some_and(|cold| backend.is_cold(cold.time, now)),
            },
        }
    }

    /// Adds an outcome to the evidence on the release that the server runs.
    fn record_evidence(&self, backend: &Backend, outcome: Outcome) {
        let rollouts = &self.relay.rollouts;
        let order = rollouts.of(&self.service).map(|known| {
            let target = Some(&known.order.target);
            (known.revision, backend.server.release.as_ref() == target)
        });
        let answer = Answer {
            order,
            service: &self.service,
            route: &self.route.name,
            server: backend.key,
            outcome,
        };
        rollouts.evidence.record_answer(&answer, Instant::now());
    }

    /// Logs and counts an answer that was forwarded completely.
    pub(super) fn log_answer(
        &self,
        backend: &Backend,
        status: u16,
        first: Duration,
        framing: Framing,
    ) {
        let (conn, via) = self.path_names();
        log::info!(
            target: "request",
            "event=answered id={} server={} status={status} first_ms={} ms={} tries={} conn={} via={} framing={}",
            self.request.attempt,
            backend.server.id,
            first.as_millis(),
            self.arrival.at.elapsed().as_millis(),
            self.attempts,
            conn,
            via,
            framing_name(framing),
        );
        metrics::counter!("tidepier_answers_total", "status" => class(status)).increment(1);
        metrics::histogram!("tidepier_first_byte_seconds").record(first.as_secs_f64());
        let whole = self.arrival.at.elapsed().as_secs_f64();
        metrics::histogram!("tidepier_answer_seconds").record(whole);
    }
}

/// What a failure means for the release that the server runs; `None` if nothing.
fn failure_evidence(cause: &Cause) -> Option<Outcome> {
    match cause {
        Cause::Error(_)
        | Cause::Unsigned
        | Cause::Broken(_)
        | Cause::Disordered(_)
        | Cause::Lost(_) => Some(Outcome::Failed),
        Cause::TimedOut | Cause::Stalled => Some(Outcome::TimedOut),
        Cause::Ineligible(_) | Cause::Connect(_) | Cause::WrongAttempt | Cause::Refused(_) => None,
    }
}

/// Logs and counts a client that was cut as it took nothing.
pub(crate) fn log_client_cut(arrival: &IncomingRequest<'_>, why: &'static str, stall: &Stall) {
    log::warn!(
        target: "request",
        "event=client_cut id={} why={why} kept={} stalled_ms={} ms={}",
        request_id(arrival.head),
        stall.kept,
        stall.time.as_millis(),
        arrival.at.elapsed().as_millis(),
    );
    metrics::counter!("tidepier_clients_cut_total", "why" => why).increment(1);
}

/// Logs and counts an answer that the shutdown of the box cut.
pub(super) fn log_interrupted(arrival: &IncomingRequest<'_>) {
    log::warn!(
        target: "request",
        "event=interrupted id={} ms={}",
        request_id(arrival.head),
        arrival.at.elapsed().as_millis(),
    );
    metrics::counter!("tidepier_answers_interrupted_total").increment(1);
}

/// Logs and counts a client that closed its connection before its answer was complete.
pub(crate) fn log_client_left(arrival: &IncomingRequest<'_>) {
    log::info!(
        target: "request",
        "event=client_left id={} target={} ms={}",
        request_id(arrival.head),
        arrival.head.target(),
        arrival.at.elapsed().as_millis()
    );
    metrics::counter!("tidepier_clients_left_total").increment(1);
}

/// How a server marked the end of an answer.
fn framing_name(framing: Framing) -> &'static str {
    match framing {
        Framing::Empty => "empty",
        Framing::Length(_) => "length",
        Framing::Chunked => "chunked",
        Framing::UntilClose => "close",
    }
}

fn class(status: u16) -> &'static str {
    match status {
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}

/// Time within which every healthy server begins its answer.
pub(super) fn silence_threshold(objective: Duration) -> Duration {
    Duration::from_secs(1).max(2 * objective)
}
