//! One backend server: the requests in flight there, and how it answers.
//!
//! Invariant: a request counts as in flight until its [`InFlight`] is dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tidepier_admission::speed::{Prediction, Speed, Summary, Work};
use tidepier_admission::stall;
use tidepier_clock::Instant;
use tidepier_core::answer::Load;
use tidepier_core::server::{Server, StartTime};
use tidepier_h1::Conn;

use super::advertisement::{Advertisement, Ineligible};
use super::backoff::Backoff;
use super::check::Check;
use super::hall::Hall;
use super::idle::Idle;
use super::reach::{Change, Group, Opening, Reach};
use super::silence::Silence;
use super::stalls::{Stall, Stalls};
use super::used::Used;
use super::Key;
use crate::cold::Window;
use crate::health::{self, Health, Outcome};

/// Longest time for which a server counts as cold.
const COLD_MAX: Duration = Duration::from_secs(600);

/// Smallest extension of the cold time that counts as new. An entry states the time that
/// is left when the entry is written; entries are written about once a second and take
/// about as long to arrive, so that smaller differences mean nothing.
const COLD_SLACK: Duration = Duration::from_millis(800);

/// A load that the server reported, with the count that corrects it for requests that
/// this box sends later.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    at: Instant,
    /// Requests that this box had in flight when the load was reported.
    in_flight: u32,
}

/// Requests that other boxes have in flight at a server.
#[derive(Debug, Clone, Copy)]
struct OtherBoxes {
    requests: u32,
    /// Number of boxes that were counted.
    boxes: u32,
    at: Instant,
    /// Requests that this box had in flight at `at`.
    in_flight: u32,
}

impl OtherBoxes {
    /// Estimates the requests of all boxes in flight while this box has `in_flight`.
    /// Requests that this box has received since the others were counted have probably
    /// reached each of the others as well, as far as their clients ask about the same
    /// subject. One request is left out of that, because it may be chance.
    fn estimate_total(&self, in_flight: u32) -> u32 {
        let gained = in_flight.saturating_sub(self.in_flight).saturating_sub(1);
        let unseen = gained.saturating_mul(self.boxes);
        in_flight
            .saturating_add(self.requests)
            .saturating_add(unseen)
    }
}

/// One backend server.
pub struct Backend {
    /// The server as it first announced itself.
    pub server: Server,
    /// When this box learned of the server: soon after the server joined, unless the box
    /// started later.
    pub known_since: Instant,
    /// When the server started, once that was announced.
    born: Cell<Option<StartTime>>,
    /// Requests that the server processes at once, as last announced.
    pub(super) slots: Cell<u32>,
    /// Identifies this incarnation of the server in messages between boxes.
    pub key: Key,
    /// The server's health as observed by this box.
    pub health: Health,
    /// What this box has observed of all servers of the server's hall.
    pub hall: Rc<Hall>,
    /// Whether this box reaches the servers of the server's service in its hall.
    pub reach: Rc<Reach>,
    /// What this incarnation of the server has advertised about itself.
    pub(super) advertisement: Rc<Advertisement>,
    /// Whether this incarnation has ended: its entry is gone, or another server has its
    /// address.
    ended: Cell<bool>,
    /// Whether the server's entry is gone while the store cannot be relied on.
    pub(super) missing: Cell<bool>,
    /// Requests of this box in flight at the server.
    in_flight: Cell<u32>,
    /// Requests of other boxes, as they last reported.
    others: Cell<Option<OtherBoxes>>,
    /// The last load that the server reported.
    report: Cell<Option<Report>>,
    /// The speed of a model engine.
    speed: Cell<Speed>,
    /// Until when the server is cold, as announced.
    cold: Cell<Option<Instant>>,
    /// When the server was last found not listening. What comes back at its address is
    /// cold.
    unreachable_at: Cell<Option<Instant>>,
    /// What this box has sent while the server was cold.
    pub window: Window,
    /// When data last came from the server.
    last_received: Cell<Option<Instant>>,
    /// How long requests of this box have waited without any answer.
    pub silence: Silence,
    /// The wait from which on it is reported, at a server of a plain service; of the last
    /// request.
    wait_limit: Cell<Option<Duration>>,
    /// Whether the current wait was reported.
    wait_reported: Cell<bool>,
    /// The health checks before requests.
    pub check: Check,
    /// What other boxes report of the server.
    pub(super) stall: Cell<Stall>,
    stalls: Rc<Stalls>,
    /// Prompt tokens that this box has sent and whose answers have not started.
    prefill: Cell<u64>,
    idle: Idle,
}

/// What is expected of a request at a server of a plain service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plain {
    /// The wait from which on it is reported.
    pub wait_limit: Duration,
    /// Whether the server is known to have answered not long ago.
    pub is_verified: bool,
}

/// Counts a request as in flight at a server until it is dropped.
pub struct InFlight {
    backend: Rc<Backend>,
    prefill: Cell<u64>,
    /// When the request was sent, if it waits for its answer.
    sent: Cell<Option<Instant>>,
    /// Whether the server was verified then.
    was_verified: Cell<bool>,
}

impl InFlight {
    /// Records that the request was sent; `plain` is set at a plain service.
    pub fn sent(&self, plain: Option<Plain>, now: Instant) {
        let backend = &self.backend;
        backend.wait_limit.set(plain.map(|it| it.wait_limit));
        self.was_verified.set(plain.is_none_or(|it| it.is_verified));
        if self.sent.replace(Some(now)).is_none() && backend.silence.begin(now) {
            backend.wait_reported.set(false);
            backend.stalls.sent.notify();
        }
    }

    /// Records that the server has accepted the request and begun to answer it. An answer
    /// that took longer than requests usually do is no evidence that the server goes on.
    pub fn answered(&self, now: Instant) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        let backend = &self.backend;
        backend.silence.end(now);
        let took = now.saturating_duration_since(sent);
        match backend.wait_limit.get() {
            Some(limit) if took < limit => backend.record_life(self.was_verified.get(), now),
            Some(_) => {}
            None => backend.silence.answered(now),
        }
    }

    /// Records that the request does not wait any longer.
    pub fn given_up(&self, now: Instant) {
        if self.sent.take().is_some() {
            self.backend.silence.end(now);
        }
    }

    /// Records that the answer has started: the server has read the prompt.
    pub fn answer_started(&self) {
        let tokens = self.prefill.replace(0);
        let prefill = &self.backend.prefill;
        prefill.set(prefill.get().saturating_sub(tokens));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.answer_started();
        self.given_up(Instant::now());
        let in_flight = &self.backend.in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
    }
}

impl Backend {
    pub(super) fn new(
        server: Server,
        advertisement: Rc<Advertisement>,
        hall: Rc<Hall>,
        reach: Rc<Reach>,
        stalls: Rc<Stalls>,
        now: Instant,
    ) -> Self {
        Self {
            hall,
            reach,
            stalls,
            known_since: now,
            key: Key::of_incarnation(&server),
            advertisement,
            ended: Cell::new(false),
            slots: Cell::new(server.slots),
            born: Cell::new(server.born),
            cold: Cell::new(until(server.cold, now)),
            unreachable_at: Cell::new(None),
            window: Window::default(),
            server,
            health: Health::default(),
            missing: Cell::new(false),
            in_flight: Cell::new(0),
            others: Cell::new(None),
            report: Cell::new(None),
            speed: Cell::new(Speed::default()),
            last_received: Cell::new(None),
            silence: Silence::default(),
            wait_limit: Cell::new(None),
            wait_reported: Cell::new(false),
            check: Check::default(),
            stall: Cell::default(),
            prefill: Cell::new(0),
            idle: Idle::default(),
        }
    }

    /// When the server started, once that was announced.
    pub fn born(&self) -> Option<StartTime> {
        self.born.get()
    }

    /// Whether an announcement with the same id is of this incarnation. One without a
    /// start time does not contradict it: boxes that use an older message format pass on
    /// no start times.
    pub(super) fn is_same_incarnation(&self, announced: &Server) -> bool {
        let start_times = self.born.get().zip(announced.born);
        let same_start = start_times.is_none_or(|(known, announced)| known == announced);
        self.server.address == announced.address
            && self.server.service == announced.service
            && same_start
    }

    /// Records the start time of this incarnation, if one is announced and none is
    /// known.
    pub(super) fn record_start_time(&self, announced: Option<StartTime>) {
        self.born.set(self.born.get().or(announced));
    }

    /// Requests that the server processes at once.
    pub fn slots(&self) -> u32 {
        self.slots.get()
    }

    /// What this incarnation of the server has advertised about itself.
    pub fn word(&self) -> &Advertisement {
        &self.advertisement
    }

    /// Checks that the server accepts new requests of this box now.
    ///
    /// # Errors
    ///
    /// Returns the reason if it does not.
    pub fn check_eligible(&self, now: Instant) -> Result<(), Ineligible> {
        self.check_serving()?;
        if self.is_backing_off(now) {
            return Err(Ineligible::BackingOff);
        }
        Ok(())
    }

    /// The back-off that the server requested of this box, while it lasts.
    pub fn backoff(&self, now: Instant) -> Option<Backoff> {
        self.advertisement
            .backoff()
            .filter(|backoff| backoff.is_active(now))
    }

    /// Whether the server requested a back-off of this box that has not ended.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff(now).is_some()
    }

    /// Checks that the server accepts new requests of any box; a back-off concerns one
    /// box only.
    ///
    /// # Errors
    ///
    /// Returns the reason if it does not.
    pub(super) fn check_serving(&self) -> Result<(), Ineligible> {
        if self.ended.get() {
            Err(Ineligible::Gone)
        } else if self.advertisement.leaving().is_some() {
            Err(Ineligible::Leaving)
        } else if self.hall.is_emptied() {
            Err(Ineligible::Emptied)
        } else {
            Ok(())
        }
    }

    /// Whether the server accepts new requests: it is not leaving, and the operator has
    /// not requested to empty its hall.
    pub fn accepts_requests(&self) -> bool {
        self.check_serving().is_ok()
    }

    /// Whether the server is cold: it announced that it is, or it was found not
    /// listening less than `time` ago, or the operator cancelled the emptying of its
    /// hall less than `time` ago. `time` is how long servers of its service stay cold
    /// after a start.
    pub fn is_cold(&self, time: Duration, now: Instant) -> bool {
        let announced = self.cold.get().is_some_and(|until| now < until);
        let was_unreachable = self.unreachable_at.get().is_some_and(|at| now < at + time);
        announced || was_unreachable || self.hall.emptying_cancelled_within(time, now)
    }

    /// Whether this box has found the server not listening in this incarnation.
    pub fn was_unreachable(&self) -> bool {
        self.unreachable_at.get().is_some()
    }

    /// How much longer the server is cold, as announced.
    pub fn cold_left(&self, now: Instant) -> Duration {
        let until = self.cold.get();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that the server is cold for `left` longer as of `now`. Returns whether
    /// that ends later than was known.
    pub(super) fn set_cold(&self, left: Duration, now: Instant) -> bool {
        let known = self.cold_left(now);
        self.cold.set(until(left, now));
        left > known + COLD_SLACK
    }

    /// Whether the server's entry is gone while the store cannot be relied on.
    pub fn is_missing(&self) -> bool {
        self.missing.get()
    }

    /// Whether this box has no reason to avoid the server: it is not ejected after
    /// failures, and can be reached.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.health.allows(now) && !self.seems_unreachable(now)
    }

    /// Whether the server seems to be partitioned from this box, as others of its hall do,
    /// and no other box reaches it.
    pub fn seems_unreachable(&self, now: Instant) -> bool {
        self.hall.is_unresponsive(now) || self.reach.is_hopeless(now)
    }

    /// Records that the server has answered in time. The other boxes are told at once unless
    /// it `was_verified` when the request was sent.
    pub fn record_life(&self, was_verified: bool, now: Instant) {
        self.silence.answered(now);
        self.stalls.lives.record(self.key, now);
        let was_reported = self.wait_reported.replace(false);
        if was_reported || !was_verified || self.stall.get().is_told(now) {
            self.stalls.record_return(self.key, now);
        }
    }

    /// Records that the server has answered a health check of this box as one that others
    /// report to: it does not stand still, though it may hold requests.
    pub fn record_checked(&self, now: Instant) {
        self.silence.answered(now);
        self.wait_reported.set(false);
        self.stalls.record_return(self.key, now);
    }

    /// Whether the server is known to have answered a request of any box within `lifetime`.
    pub fn is_verified(&self, lifetime: Duration, now: Instant) -> bool {
        let last = self.stalls.lives.last(self.key);
        last.is_some_and(|at| now.saturating_duration_since(at) < lifetime)
    }

    /// Whether the server seems to stand still: by what boxes report, or by a request or a
    /// health check of this box that waits there. For a box that does not hear of the others,
    /// also by a request that was given up.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let answered = self.stalls.lives.last_in_hall(self.key);
        let answered = answered.max(self.silence.last_answered());
        self.stall.get().holds(answered, now)
            || self.check.is_unanswered(answered, now)
            || self
                .long_wait(now)
                .is_some_and(|wait| wait.ended.is_none() || !self.stalls.has_heard(now))
    }

    /// A wait without an answer that is longer than requests take here.
    pub(super) fn long_wait(&self, now: Instant) -> Option<stall::Wait<Key>> {
        let limit = self.wait_limit.get()?;
        let wait = self.silence.wait(now).filter(|wait| wait.time >= limit)?;
        Some(stall::Wait {
            server: self.key,
            boxes: 1,
            time: wait.time,
            ended: wait.ended,
            limit,
        })
    }

    /// Marks the current wait as reported if it is long. Returns whether that is new.
    pub(super) fn mark_long_wait(&self, now: Instant) -> bool {
        let due = self.long_wait_due();
        due.is_some_and(|due| due <= now) && !self.wait_reported.replace(true)
    }

    /// When the current wait becomes long; `None` if it was reported.
    pub(super) fn long_wait_due(&self) -> Option<Instant> {
        let since = self
            .silence
            .waiting_since()
            .filter(|_| !self.wait_reported.get())?;
        Some(since + self.wait_limit.get()?)
    }

    /// Requests of this box in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Counts a request with `prefill` prompt tokens as in flight until the returned
    /// guard is dropped.
    pub fn run(self: &Rc<Self>, prefill: u64) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.prefill.set(self.prefill.get() + prefill);
        InFlight {
            backend: self.clone(),
            prefill: Cell::new(prefill),
            sent: Cell::default(),
            was_verified: Cell::default(),
        }
    }

    /// Prompt tokens that this box has sent and whose answers have not started.
    pub fn prefill(&self) -> u64 {
        self.prefill.get()
    }

    /// Records that data came from the server.
    pub fn record_received(&self) {
        let now = Instant::now();
        self.last_received.set(Some(now));
        self.hall.record_received(now);
    }

    /// Records how opening a connection to the server ended, and logs what it changes for
    /// the servers of its service in its hall.
    pub fn record_opening(&self, opening: Opening, now: Instant) {
        metrics::counter!("tidepier_server_openings_total", "result" => opening.name())
            .increment(1);
        if self.ended.get() {
            return;
        }
        let (service, hall) = (&self.server.service, &self.server.hall);
        match self.reach.record(self.key, opening, now) {
            Change::Lost => log::warn!(
                target: "belief",
                "event=unreached service={service} hall={hall} why={opening} failed={} servers={}",
                self.reach.failed(),
                self.reach.size(),
            ),
            Change::Restored(time) => log::warn!(
                target: "belief",
                "event=reached service={service} hall={hall} ms={}",
                time.as_millis(),
            ),
            Change::None => {}
        }
    }

    /// Records that another box opened a connection to the server, and logs what it shows.
    pub fn record_detour(&self, now: Instant) {
        if self.ended.get() || !self.reach.record_detour(self.key, now) {
            return;
        }
        log::warn!(
            target: "belief",
            "event=bypassed service={} hall={}",
            self.server.service,
            self.server.hall,
        );
    }

    /// The servers of the same service and hall.
    pub fn group(&self) -> Group {
        Group {
            service: self.server.service.clone(),
            hall: self.server.hall.clone(),
        }
    }

    /// Whether connections to the server have to be carried by another box.
    pub fn is_detoured(&self) -> bool {
        self.reach.is_detoured(self.key)
    }

    /// Records how a request to the server ended, by evidence of the server at a time: a
    /// missing answer shows how the server was when it was due, whenever it is given up.
    pub fn record(&self, outcome: Outcome, evidence: Instant, now: Instant) {
        match outcome {
            Outcome::Unresponsive => self.hall.record_unresponsive(evidence),
            Outcome::NotListening => self.unreachable_at.set(Some(now)),
            Outcome::Succeeded | Outcome::Errored => {}
        }
        let change = self.health.record(outcome, evidence, now);
        self.apply_ejection(change, evidence, now);
    }

    /// Records that the server has begun an answer, other than an error, to a request that was
    /// sent at a time.
    pub fn record_answering(&self, sent: Instant, now: Instant) {
        let change = self.health.record_answering(sent);
        self.apply_ejection(change, sent, now);
    }

    /// Logs a change that was made by evidence of a time, and reports a server that answers
    /// again to other boxes.
    fn apply_ejection(&self, change: health::Change, evidence: Instant, now: Instant) {
        let (id, service) = (&self.server.id, &self.server.service);
        match change {
            health::Change::Ejected(time) => {
                let age = now.saturating_duration_since(evidence);
                log::info!(
                    target: "belief",
                    "event=server_ejected server={id} service={service} for_ms={} evidence_ms={} failing={:.2}",
                    time.as_millis(),
                    age.as_millis(),
                    self.health.failure_rate(now),
                );
                metrics::counter!("tidepier_ejections_total").increment(1);
                metrics::histogram!("tidepier_ejection_evidence_seconds").record(age.as_secs_f64());
            }
            health::Change::Restored => {
                log::info!(
                    target: "belief",
                    "event=server_restored server={id} service={service}",
                );
                self.stalls.record_return(self.key, evidence);
            }
            health::Change::None => {}
        }
    }

    /// When data last came from the server.
    pub fn last_received(&self) -> Option<Instant> {
        self.last_received.get()
    }

    /// Whether the server has sent this box data of an answer since a time, or has answered a
    /// health check of it.
    pub fn has_answered_since(&self, time: Instant) -> bool {
        self.last_received.get().max(self.check.last_answered()) > Some(time)
    }

    /// Records a load that the server reported.
    pub fn record_load(&self, load: Load, at: Instant) {
        self.report.set(Some(Report {
            load,
            at,
            in_flight: self.in_flight.get(),
        }));
        if let Some(slowdown) = load.slowdown {
            let mut speed = self.speed.get();
            speed.report(slowdown, at);
            self.speed.set(speed);
        }
    }

    /// What is known of the speed of a model engine.
    pub fn speed(&self) -> Speed {
        self.speed.get()
    }

    /// Records what other boxes learned of the speed of a model engine.
    pub fn set_peer_speed(&self, others: Summary, now: Instant) {
        let mut speed = self.speed.get();
        speed.set_others(others, now);
        self.speed.set(speed);
    }

    /// Records that a model engine sent the first event of an answer at `at`, `time` after
    /// it got the request. `predicted` is the prediction from then.
    pub fn record_first_event(
        &self,
        work: Work,
        predicted: &Prediction,
        time: Duration,
        at: Instant,
    ) {
        let mut speed = self.speed.get();
        speed.record(work, predicted, time, at);
        self.speed.set(speed);
    }

    /// Records how many requests `boxes` other boxes have in flight at the server.
    pub(super) fn set_others(&self, requests: u32, boxes: u32, at: Instant) {
        self.others.set(Some(OtherBoxes {
            requests,
            boxes,
            at,
            in_flight: self.in_flight.get(),
        }));
    }

    /// Requests of all boxes in flight at the server, if those of the other boxes were
    /// counted less than `max_age` ago.
    pub fn total_in_flight(&self, max_age: Duration, now: Instant) -> Option<u32> {
        let others = self.others.get()?;
        let recent = now.duration_since(others.at) < max_age;
        recent.then(|| others.estimate_total(self.in_flight.get()))
    }

    /// The same without an estimate of what other boxes have sent since: the sum over all
    /// servers of a service would multiply its error.
    pub fn counted_in_flight(&self, max_age: Duration, now: Instant) -> Option<u32> {
        let others = self.others.get()?;
        let recent = now.duration_since(others.at) < max_age;
        recent.then(|| others.requests.saturating_add(self.in_flight.get()))
    }

    /// Age of the other boxes' counts; `None` if there are none.
    pub fn counts_age(&self, now: Instant) -> Option<Duration> {
        let others = self.others.get()?;
        Some(now.saturating_duration_since(others.at))
    }

    /// Requests running and waiting at the server by its last reported load, if that is
    /// younger than `max_age`, corrected by what this box has sent and finished since.
    pub fn load(&self, max_age: Duration, now: Instant) -> Option<u32> {
        let report = self.report.get();
        let age = |report: &Report| now.saturating_duration_since(report.at);
        let report = report.filter(|report| age(report) < max_age)?;
        let sum = report.load.running.saturating_add(report.load.waiting);
        Some(
            sum.saturating_add(self.in_flight.get())
                .saturating_sub(report.in_flight)
                .max(self.in_flight.get()),
        )
    }

    /// Takes an idle connection that is still usable and has been idle for less than
    /// `max_idle`, and that `is_trusted` accepts, given since when it has been idle; none
    /// that `used` contains.
    pub fn connection(
        &self,
        max_idle: Duration,
        used: &Used,
        is_trusted: impl Fn(&Conn, Instant) -> bool,
    ) -> Option<Conn> {
        self.idle.take(max_idle, used, is_trusted)
    }

    /// Whether there is a connection for another request, or room for one where this box
    /// may have `most`. A request that was sent before takes none that it has `used`; those
    /// are left to other requests.
    pub fn has_connection(&self, most: u32, used: &Used) -> bool {
        let in_flight = self.in_flight.get();
        let open = in_flight as usize + self.idle.len();
        in_flight < most && (used.is_empty() || open < most as usize || self.idle.has_other(used))
    }

    /// Keeps a connection without a request in flight for reuse, unless the server no
    /// longer accepts requests.
    pub fn keep(&self, conn: Conn, keep_alive: Option<Duration>) {
        if self.accepts_requests() {
            self.idle.put(conn, keep_alive);
        }
    }

    /// Ends this incarnation and closes its idle connections.
    pub(super) fn end(&self) {
        self.ended.set(true);
        self.idle.clear();
    }

    /// Closes the idle connections.
    pub(super) fn close_idle(&self) {
        self.idle.clear();
    }
}

/// When something ends that lasts `left` longer, at most [`COLD_MAX`]; `None` if nothing
/// is left.
fn until(left: Duration, now: Instant) -> Option<Instant> {
    (!left.is_zero()).then(|| now + left.min(COLD_MAX))
}
