//! Admission of requests for plain services by what their servers can sustain.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tidepier_admission::admission::{Basis, Request, Verdict};
use tidepier_admission::demand;
use tidepier_admission::report::{Account, Class, Rank};
use tidepier_clock::Instant;

use super::state::Exchange;
use crate::choose::rotation::Servers;
use crate::refusal;

/// Step to which the answer to a client rounds a delay up.
const DELAY_STEP: Duration = Duration::from_millis(1);

/// The refusal with a delay that does not exceed it when rounded: clients ignore one above
/// a third of the time that they have left.
fn overloaded(delay: Duration) -> refusal::Kind {
    refusal::Kind::Overloaded(delay.saturating_sub(DELAY_STEP))
}

impl Exchange<'_> {
    /// Decides whether the request is sent to a server of a plain service.
    ///
    /// # Errors
    ///
    /// The servers cannot sustain it; the refusal that the client gets.
    pub(super) fn admit_by_load(&mut self) -> Result<(), refusal::Kind> {
        if self.request.prompt.is_some() {
            return Ok(());
        }
        let now = Instant::now();
        self.elapsed = self.elapsed(now);
        let request = self.load_request(now);
        let (verdict, basis) = self.relay.admission.decide(&request, now);
        self.record_verdict(verdict, &basis);
        match verdict {
            Verdict::Admitted => Ok(()),
            Verdict::Refused(delay) => Err(overloaded(delay)),
        }
    }

    /// Records the time of an answer of a plain service.
    pub(super) fn record_load_answer(&self) {
        if self.request.prompt.is_none() {
            let now = Instant::now();
            let took = now.saturating_duration_since(self.attempt_began());
            let took = took.saturating_sub(self.client_wait.get());
            let request = self.load_request(now);
            self.relay.admission.answered(&request, took, now);
        }
    }

    /// Records that a server of a plain service rejected the request. Returns whether it
    /// may be sent to another one.
    pub(super) fn record_load_rejection(&self) -> bool {
        if self.request.prompt.is_some() {
            return true;
        }
        let now = Instant::now();
        let request = self.load_request(now);
        self.relay.admission.rejected(&request, now);
        self.relay.admission.may_retry(&request, now)
    }

    /// The refusal of a request that servers rejected as they were full.
    pub(super) fn full_refusal(&self) -> refusal::Kind {
        if self.request.prompt.is_some() {
            return refusal::Kind::Full;
        }
        let now = Instant::now();
        let delay = self.relay.admission.delay(&self.load_request(now), now);
        overloaded(delay)
    }

    /// How long ago the client first asked.
    fn elapsed(&self, now: Instant) -> Duration {
        let timeouts = &self.relay.timeouts;
        let timeout = self.request.client_timeout;
        timeout.map_or(Duration::ZERO, |left| {
            timeouts.record(&self.route.name, left, now)
        })
    }

    fn load_request(&self, now: Instant) -> Request {
        let regions = self.relay.regions();
        let selector = self.release_selector();
        let filter = self.filter(&regions, &selector, Duration::ZERO);
        let criteria = self.criteria(filter);
        let servers = Servers::of(&self.relay.fleet, &self.service, &criteria, now);
        let account = self.account.as_ref();
        let account = account.map_or(Account::OTHERS, |it| Account::new(it.name.as_str()));
        // The wall clock, as boxes share no other. A step of it has the effect that
        // a repeated request counts as another one.
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Request {
            service: demand::Service::new(&self.service),
            class: Class {
                rank: Rank(self.rank()),
                account,
            },
            objective: self.route.objective,
            left: self.deadline.saturating_duration_since(now),
            elapsed: self.elapsed,
            begun: since_epoch.unwrap_or_default().saturating_sub(self.elapsed),
            content: self.content.as_u64(),
            slots: servers.slots,
            in_flight: servers.in_flight,
        }
    }

    fn record_verdict(&self, verdict: Verdict, basis: &Basis) {
        let (name, delay) = match verdict {
            Verdict::Admitted => ("admitted", Duration::ZERO),
            Verdict::Refused(delay) => ("refused", delay),
        };
        metrics::counter!("tidepier_load_verdicts_total", "verdict" => name).increment(1);
        let service = self.service.to_string();
        let gauge = |name: &'static str| metrics::gauge!(name, "service" => service.clone());
        if let Some(capacity) = basis.capacity {
            gauge("tidepier_capacity_per_second").set(capacity.0);
        }
        gauge("tidepier_offered_per_second").set(basis.offered.0);
        gauge("tidepier_admitted_fraction").set(basis.fraction);
        gauge("tidepier_server_wait_seconds").set(basis.wait.as_secs_f64());
        if basis.fraction < 1.0 {
            log::info!(
                target: "request",
                "event=load id={} verdict={name} service={} account={} rank={} delay_ms={} {basis}",
                self.request.attempt,
                self.service,
                self.account.as_ref().map_or("-", |account| account.name.as_str()),
                self.rank(),
                delay.as_millis(),
            );
        }
    }
}
