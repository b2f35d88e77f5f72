//! One server's health as observed by this box.
//!
//! Only requests count: a health check may give the wrong result, for all clients or for
//! some. A server that fails several requests in a row is ejected for a while, then
//! probed with one request.
//!
//! A failure is evidence of the server at one time: an error of when it came, a missing answer
//! of when its request was sent. What is older than an answer, or than the decision to eject
//! the server, shows nothing new. Otherwise the requests of a time of harm, which are given
//! up seconds later, would eject a server that is sound again.
//!
//! Observations decay with time. A server that is avoided because of them gets no
//! request that could show that it has recovered. Without the decay, three of four boxes
//! sent all streams to one of three servers for as long as they were observed, which was
//! ten seconds after the failures of the other two had ended.

use std::cell::Cell;
use std::time::Duration;

use tidepier_clock::Instant;

/// Weighted failures in a row after which a server is ejected.
const FAILURES_MAX: u32 = 3;
/// Duration of the first ejection, from the evidence on; doubled with each further one.
const EJECTION_MIN: Duration = Duration::from_millis(800);
/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(6);
/// Time after which a probe counts as without result, as when its client left, so that
/// another one may be sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Weight of the newest result in the failure rate.
const RATE_WEIGHT: f64 = 0.15;
/// Half-life of the failure rate while no request is recorded. A fault that makes only a
/// part of the requests fail lasts for some seconds.
const RATE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Half-life of a server's excess latency over the usual one. With it, each box sends a
/// slow server one request in about half a minute, which measures its latency anew.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(8);
/// Half-life of the count of rejected requests. A server has room again as soon as one
/// of its requests ends.
const REJECTIONS_HALF_LIFE: Duration = Duration::from_millis(500);
/// Most rejections in a row that count.
const REJECTIONS_MAX: f64 = 8.0;
/// Age of the newest latency sample from which latencies no longer count as recent.
const RECENT_MAX: Duration = Duration::from_secs(4);
/// Longest time by which a request may have been sent before one that is answered earlier: some
/// requests take longer than others.
const LATENCY_DISORDER_MAX: Duration = Duration::from_secs(1);
/// Weight of the newest sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// What a result changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The server is ejected for this long.
    Ejected(Duration),
    /// The server, which was ejected, gets requests again.
    Restored,
    /// Nothing.
    None,
}

/// How one request to a server ended, as far as its health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer, or a rejection that is no failure.
    Succeeded,
    /// An error, or an answer that was cut off or corrupt.
    Errored,
    /// No such server is listening: the connection was refused, or another server has
    /// the address.
    NotListening,
    /// No data came in time, on an open connection or while opening one.
    Unresponsive,
}

/// A time for which the server is avoided.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    /// When it was decided. What was sent before shows nothing new.
    since: Instant,
    until: Instant,
    /// When the last failure shows that the server was harmed, or the last probe was sent.
    tried: Instant,
}

/// A value that is set at one time and decays from then on.
#[derive(Debug, Default)]
struct Decaying(Cell<Option<(f64, Instant)>>);

impl Decaying {
    fn set(&self, value: f64, now: Instant) {
        self.0.set(Some((value, now)));
    }

    /// The remaining value at `now`, which halves in each `half_life`.
    fn value_at(&self, half_life: Duration, now: Instant) -> f64 {
        let set = self.0.get();
        set.map_or(0.0, |(value, at)| value * fraction_left(at, half_life, now))
    }
}

/// The fraction that is left at `now` of a value that was set at `at` and halves in each
/// `half_life`.
fn fraction_left(at: Instant, half_life: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    0.5f64.powf(age / half_life.as_secs_f64())
}

/// The lower median of some latencies; `None` if there are none.
pub fn median_ms(latencies: impl Iterator<Item = f64>) -> Option<f64> {
    let mut latencies: Vec<f64> = latencies.collect();
    latencies.sort_by(f64::total_cmp);
    let middle = latencies.len().saturating_sub(1) / 2;
    latencies.get(middle).copied()
}

/// The observations about one server.
#[derive(Debug, Default)]
pub struct Health {
    failures_in_row: Cell<u32>,
    ejections: Cell<u32>,
    ejection: Cell<Option<Ejection>>,
    /// When the last request was sent of those to which the server has begun an answer.
    answering: Cell<Option<Instant>>,
    /// When the last probe was sent since the server was ejected.
    probed: Cell<Option<Instant>>,
    failure_rate: Decaying,
    /// Decaying count of requests that the server has rejected since it last accepted
    /// one.
    rejections: Decaying,
    /// Mean latency in ms: the time to the start of an answer, without that of reading
    /// the prompt.
    mean_latency_ms: Cell<Option<f64>>,
    /// When the newest of the requests was sent whose latency was measured.
    newest_measured: Cell<Option<Instant>>,
    /// When an answer last started.
    last_measured: Cell<Option<Instant>>,
}

impl Health {
    /// Records how a request ended; a failure is `evidence` of the server at that time.
    pub fn record(&self, outcome: Outcome, evidence: Instant, now: Instant) -> Change {
        let rate = self.failure_rate(now);
        if outcome == Outcome::Succeeded {
            self.failure_rate.set(rate - RATE_WEIGHT * rate, now);
            self.probed.set(None);
            self.failures_in_row.set(0);
            self.ejections.set(0);
            return self.restore();
        }
        let weight = RATE_WEIGHT * fraction_left(evidence, RATE_HALF_LIFE, now);
        self.failure_rate.set(rate + weight * (1.0 - rate), now);
        if !self.is_new(evidence) {
            return Change::None;
        }
        self.probed.set(None);
        let weight = match outcome {
            Outcome::NotListening | Outcome::Unresponsive => 2,
            Outcome::Succeeded | Outcome::Errored => 1,
        };
        self.failures_in_row
            .set(self.failures_in_row.get() + weight);
        if self.failures_in_row.get() >= FAILURES_MAX {
            let time = EJECTION_MIN * 2u32.pow(self.ejections.get().min(4));
            let until = evidence + time.min(EJECTION_MAX);
            let tried = self.ejection.get().map(|ejection| ejection.tried);
            self.ejection.set(Some(Ejection {
                since: now,
                until,
                tried: tried.map_or(evidence, |tried| tried.max(evidence)),
            }));
            self.ejections.set(self.ejections.get() + 1);
            return Change::Ejected(until.saturating_duration_since(now));
        }
        Change::None
    }

    /// Records that the server has begun an answer to a request that another box sent it at a
    /// time. It is probed at once if it was ejected before that.
    pub fn record_answering_elsewhere(&self, sent: Instant, now: Instant) {
        let ejection = self.ejection.get();
        if let Some(ejection) = ejection.filter(|ejection| ejection.tried < sent) {
            let until = ejection.until.min(now);
            self.ejection.set(Some(Ejection { until, ..ejection }));
            self.probed.set(None);
        }
    }

    /// Records that the server has begun an answer, other than an error, to a request that was
    /// sent at a time. It may get others, but the next failure ejects it again.
    pub fn record_answering(&self, sent: Instant) -> Change {
        self.answering.set(self.answering.get().max(Some(sent)));
        match self.ejection.get() {
            Some(ejection) if sent >= ejection.since => self.restore(),
            _ => Change::None,
        }
    }

    fn restore(&self) -> Change {
        match self.ejection.take() {
            Some(_) => Change::Restored,
            None => Change::None,
        }
    }

    /// Whether evidence of a failure is later than the last answer, and than the decision to
    /// eject the server.
    fn is_new(&self, evidence: Instant) -> bool {
        let ejected = self.ejection.get().map(|ejection| ejection.since);
        let known = self.answering.get().max(ejected);
        known.is_none_or(|known| evidence > known)
    }

    /// Whether the server is ejected, also if a probe is due.
    pub fn is_ejected(&self) -> bool {
        self.ejection.get().is_some()
    }

    /// Records the time to the start of an answer, without that of reading the prompt. It shows
    /// how fast the server was when the request was sent, and so nothing if one that was sent
    /// much later has been answered.
    pub fn record_latency(&self, time: Duration, now: Instant) {
        self.rejections.set(0.0, now);
        let sent = now.checked_sub(time).unwrap_or(now);
        let newest = self.newest_measured.get();
        self.newest_measured.set(newest.max(Some(sent)));
        if newest.is_some_and(|newest| sent + LATENCY_DISORDER_MAX < newest) {
            return;
        }
        let sample = time.as_secs_f64() * 1e3;
        let mean = self.mean_latency_ms.get().unwrap_or(sample);
        self.mean_latency_ms
            .set(Some(mean + LATENCY_WEIGHT * (sample - mean)));
        self.last_measured.set(Some(now));
    }

    /// Raises the mean latency to `usual_ms`, the usual one of all servers, if it is from
    /// before the server stood still: otherwise it is faster than the servers that took its
    /// requests meanwhile, at all boxes at once.
    pub fn raise_latency(&self, usual_ms: f64) {
        let mean = self.mean_latency_ms.get();
        self.mean_latency_ms
            .set(mean.map(|mean| mean.max(usual_ms)));
    }

    /// Records that the server rejected a request.
    pub fn record_rejection(&self, now: Instant) {
        let rejections = self.recent_rejections(now) + 1.0;
        self.rejections.set(rejections.min(REJECTIONS_MAX), now);
    }

    /// Decaying count of requests that the server has rejected since it last accepted
    /// one.
    pub fn recent_rejections(&self, now: Instant) -> f64 {
        self.rejections.value_at(REJECTIONS_HALF_LIFE, now)
    }

    /// Mean latency in ms, once it has been measured.
    pub fn mean_latency_ms(&self) -> Option<f64> {
        self.mean_latency_ms.get()
    }

    /// Latency in ms to expect: the mean latency, which decays towards `usual_ms`, the
    /// usual one of all servers.
    pub fn expected_latency_ms(&self, usual_ms: f64, now: Instant) -> f64 {
        let known = self.mean_latency_ms.get().zip(self.last_measured.get());
        known.map_or(usual_ms, |(time, at)| {
            usual_ms + (time - usual_ms) * fraction_left(at, LATENCY_HALF_LIFE, now)
        })
    }

    /// Mean latency in ms, if an answer started recently. A server that is avoided
    /// because it is slow is therefore tried again after a while.
    pub fn recent_latency_ms(&self, now: Instant) -> Option<f64> {
        let last_measured = self.last_measured.get()?;
        let recent = now.duration_since(last_measured) < RECENT_MAX;
        self.mean_latency_ms.get().filter(|_| recent)
    }

    /// Fraction of recent requests that failed.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate.value_at(RATE_HALF_LIFE, now)
    }

    /// Whether the last request did not fail.
    pub fn last_succeeded(&self) -> bool {
        self.failures_in_row.get() == 0
    }

    /// Whether the server may get a request now: it is not ejected, or a probe is due.
    pub fn allows(&self, now: Instant) -> bool {
        match self.ejection.get() {
            None => true,
            Some(ejection) if now < ejection.until => false,
            Some(_) => {
                let probed = self.probed.get();
                probed.is_none_or(|at| now.duration_since(at) > PROBE_TIMEOUT)
            }
        }
    }

    /// Whether the server may get a probe though its ejection has not ended, as the others have
    /// more than they should: no evidence of its harm is recent, and no other probe.
    pub fn allows_under_pressure(&self, now: Instant) -> bool {
        let ejection = self.ejection.get();
        ejection.is_none_or(|ejection| now >= ejection.tried + EJECTION_MIN)
    }

    /// Records that a request was sent; if the server was ejected, the request is its
    /// probe.
    pub fn record_sent(&self, now: Instant) {
        if let Some(ejection) = self.ejection.get() {
            self.probed.set(Some(now));
            self.ejection.set(Some(Ejection {
                tried: now,
                ..ejection
            }));
        }
    }
}
