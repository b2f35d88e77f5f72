//! What an exchange records: log lines, metrics and the health of servers.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_platform::answer;

use super::job::Exchange;
use crate::attempt::{Cause, Executed, Failure};
use crate::choose::Choice;
use crate::fleet::Backend;
use crate::health;
use crate::rollout::evidence::{Answer, Outcome};

impl Exchange<'_> {
    /// Logs which server was chosen and why.
    pub(super) fn note_placed(&self, choice: &Choice) {
        log::info!(
            target: "request",
            "event=placed id={} content={} route={} account={} server={} try={} cost={:.0} load={:.0} \
             shared={} read={:.0} copy_from={} subject={:x} rank={} hall={} time_ms={:.0} leaving={} resting={} version={} age_ms={}",
            self.request.attempt,
            self.content,
            self.route.name,
            self.account.as_ref().map_or("-", |account| account.name.as_str()),
            choice.backend.server.id,
            self.sent + 1,
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
            self.relay.fleet.backing_off(&self.service, Instant::now()),
            self.relay.view.version(),
            self.relay.view.age().map_or(-1, |age| age.as_millis() as i64),
        );
    }

    /// Id of the last part of the prompt that is shared; 0 without one.
    fn subject(&self) -> u64 {
        let prompt = self.request.prompt.as_ref();
        prompt
            .and_then(|prompt| prompt.subject())
            .map_or(0, |part| part.id)
    }

    /// Records a failure.
    pub(crate) fn failed(&mut self, backend: &Rc<Backend>, failure: &Failure) {
        if failure.ran == Executed::Unknown {
            self.may_have_run = true;
        }
        if let Some(outcome) = self.outcome(failure) {
            backend.record(outcome, Instant::now());
        }
        if let Some(outcome) = trial(&failure.cause) {
            self.note_trial(backend, outcome);
        }
        if failure.cause.may_be_crash() {
            self.relay.crashes.suspects.add(backend, self.content);
        }
        match failure.cause {
            Cause::Refused(answer::MISDIRECTED) => {
                self.relay.fleet.mark_replaced(&backend.server.id);
            }
            Cause::Refused(_) => backend.health.record_rejection(Instant::now()),
            _ => {}
        }
        log::info!(
            target: "request",
            "event=failed id={} server={} why={} detail=\"{}\" ran={:?} ms={} failing={:.2}",
            self.request.attempt,
            backend.server.id,
            failure.cause.name(),
            failure.cause,
            failure.ran,
            self.arrival.at.elapsed().as_millis(),
            backend.health.failure_rate(Instant::now()),
        );
        metrics::counter!("tidepier_send_failures_total", "why" => failure.cause.name())
            .increment(1);
    }

    /// What a failure says of the server; `None`: nothing.
    fn outcome(&self, failure: &Failure) -> Option<health::Outcome> {
        match &failure.cause {
            Cause::Connect(error) if error.kind() != io::ErrorKind::TimedOut => {
                Some(health::Outcome::NotListening)
            }
            Cause::Connect(_) | Cause::Stalled => Some(health::Outcome::Unresponsive),
            Cause::Withheld(_) => None,
            Cause::Refused(answer::MISDIRECTED) => Some(health::Outcome::NotListening),
            Cause::Refused(_) => Some(health::Outcome::Succeeded),
            // The time may have been too short for any server.
            Cause::Late => {
                let waited = self.arrival.at.elapsed();
                (waited > patience(self.route.objective)).then_some(health::Outcome::Unresponsive)
            }
            _ => Some(health::Outcome::Errored),
        }
    }

    /// Time that the last server took to begin an answer that began `first`
    /// after the request's arrival, beyond that of reading the prompt; `None` if
    /// it began at another server.
    fn beginning(&self, first: Duration) -> Option<Duration> {
        let begun = self.arrival.at + first;
        let took = begun.checked_duration_since(self.sending.at)?;
        Some(took.saturating_sub(self.sending.reading))
    }

    /// Records that an answer was passed on whole. `first`: time from the
    /// request's arrival to the answer's beginning.
    pub(crate) fn answered(&self, backend: &Rc<Backend>, status: u16, first: Duration) {
        let outcome = if status >= 500 {
            health::Outcome::Errored
        } else {
            health::Outcome::Succeeded
        };
        backend.record(outcome, Instant::now());
        if matches!(status, 200..=299) {
            self.relay.crashes.answered(self.content);
        }
        if let Some(took) = self.beginning(first) {
            backend.health.record_latency(took, Instant::now());
            self.note_trial(backend, self.trial_of(backend, status, took));
        }
        self.note_answered(backend, status, first);
    }

    /// How an answer ended whose beginning took so long.
    fn trial_of(&self, backend: &Backend, status: u16, first: Duration) -> Outcome {
        let now = Instant::now();
        match status {
            500.. => Outcome::Failed,
            _ => Outcome::Answered {
                first,
                whole: now
                    .saturating_duration_since(self.sending.at)
                    .saturating_sub(self.sending.reading),
                cold: self
                    .cold
                    .is_some_and(|cold| backend.is_cold(cold.time, now)),
            },
        }
    }

    /// Counts an answer for or against the release of its server.
    fn note_trial(&self, backend: &Backend, outcome: Outcome) {
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

    /// Logs and counts an answer that was passed on whole.
    pub(super) fn note_answered(&self, backend: &Backend, status: u16, first: Duration) {
        log::info!(
            target: "request",
            "event=answered id={} server={} status={status} first_ms={} ms={} tries={}",
            self.request.attempt,
            backend.server.id,
            first.as_millis(),
            self.arrival.at.elapsed().as_millis(),
            self.sent,
        );
        metrics::counter!("tidepier_answers_total", "status" => class(status)).increment(1);
        metrics::histogram!("tidepier_first_byte_seconds").record(first.as_secs_f64());
        let whole = self.arrival.at.elapsed().as_secs_f64();
        metrics::histogram!("tidepier_answer_seconds").record(whole);
    }
}

/// What a failure says of the release of its server; `None`: nothing.
fn trial(cause: &Cause) -> Option<Outcome> {
    match cause {
        Cause::Error(_) | Cause::Unsigned | Cause::Broken(_) | Cause::Lost(_) => {
            Some(Outcome::Failed)
        }
        Cause::Late | Cause::Stalled => Some(Outcome::Late),
        Cause::Withheld(_) | Cause::Connect(_) | Cause::WrongAttempt | Cause::Refused(_) => None,
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

/// Time in which every healthy server answers.
pub(super) fn patience(objective: Duration) -> Duration {
    Duration::from_secs(1).max(2 * objective)
}
