//! One backend server: what runs there and how it answers.
//!
//! Invariant: a request counts as under way until its [`InFlight`] is dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::answer::Load;
use tidepier_core::server::{Server, StartTime};
use tidepier_h1::Conn;

use super::advertisement::{Advertisement, Ineligible};
use super::backoff::Backoff;
use super::hall::Hall;
use super::idle::Idle;
use super::Key;
use crate::cold::Window;
use crate::health::{Health, Outcome};

/// Longest time for which a server is believed to be cold.
const COLD_MAX: Duration = Duration::from_secs(600);

/// Less than that, and an entry that says for how much longer a server is cold says
/// what was known: entries are written each second or so, and take as long here.
const COLD_SLACK: Duration = Duration::from_millis(800);

/// A load that the server reported, with what corrects it for later requests
/// of this box.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    at: Instant,
    /// Requests that this box had under way when it was reported.
    own: u32,
}

/// Requests that other boxes have under way at a server.
#[derive(Debug, Clone, Copy)]
struct Others {
    requests: u32,
    /// How many boxes were counted.
    boxes: u32,
    at: Instant,
    /// Requests that this box had under way then.
    own: u32,
}

impl Others {
    /// The requests of all boxes while this one has `own`. What has come here
    /// since the others were counted has come to each of them as well, if their
    /// callers ask about the same: all but one request, which may be chance.
    fn all(&self, own: u32) -> u32 {
        let come = own.saturating_sub(self.own).saturating_sub(1);
        let unseen = come.saturating_mul(self.boxes);
        own.saturating_add(self.requests).saturating_add(unseen)
    }
}

/// One backend server.
pub struct Backend {
    /// As it announced itself first.
    pub server: Server,
    /// When this box learned of it: soon after it joined, unless the box has
    /// started later.
    pub known_since: Instant,
    /// When it started, once that was told.
    born: Cell<Option<StartTime>>,
    /// Requests that it works on at once, as it said last.
    pub(super) slots: Cell<u32>,
    /// Stands for its id between boxes.
    pub key: Key,
    /// What this box has seen of its health.
    pub health: Health,
    /// What it has seen of all servers of its hall.
    pub hall: Rc<Hall>,
    /// What it has said of itself in this life.
    pub(super) word: Rc<Advertisement>,
    /// Its entry is gone, or another server has its address.
    over: Cell<bool>,
    /// Its entry is gone while the store cannot be relied on.
    pub(super) missing: Cell<bool>,
    /// Requests of this box that are under way there.
    in_flight: Cell<u32>,
    /// Requests of other boxes, as they told last.
    others: Cell<Option<Others>>,
    /// The last load that the server reported.
    report: Cell<Option<Report>>,
    /// Until when it is cold, as it told.
    cold: Cell<Option<Instant>>,
    /// When nobody was last there: what comes back at its address is cold.
    absent: Cell<Option<Instant>>,
    /// What this box sent there while it was cold.
    pub pace: Window,
    /// When something last came from it.
    last_received: Cell<Option<Instant>>,
    /// Prompt tokens sent by this box whose answers have not begun.
    prefill: Cell<u64>,
    idle: Idle,
}

/// Counts a request as under way at a server until it is dropped.
pub struct InFlight {
    backend: Rc<Backend>,
    prefill: Cell<u64>,
}

impl InFlight {
    /// The prompt has been read: its answer has begun.
    pub fn answer_started(&self) {
        let tokens = self.prefill.replace(0);
        let prefill = &self.backend.prefill;
        prefill.set(prefill.get().saturating_sub(tokens));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.answer_started();
        let own = &self.backend.in_flight;
        own.set(own.get().saturating_sub(1));
    }
}

impl Backend {
    pub(super) fn new(
        server: Server,
        word: Rc<Advertisement>,
        hall: Rc<Hall>,
        now: Instant,
    ) -> Self {
        Self {
            hall,
            known_since: now,
            key: Key::of_life(&server),
            word,
            over: Cell::new(false),
            slots: Cell::new(server.slots),
            born: Cell::new(server.born),
            cold: Cell::new(until(server.cold, now)),
            absent: Cell::new(None),
            pace: Window::default(),
            server,
            health: Health::default(),
            missing: Cell::new(false),
            in_flight: Cell::new(0),
            others: Cell::new(None),
            report: Cell::new(None),
            last_received: Cell::new(None),
            prefill: Cell::new(0),
            idle: Idle::default(),
        }
    }

    /// When it started, once that was told.
    pub fn born(&self) -> Option<StartTime> {
        self.born.get()
    }

    /// Whether an announcement under its id is of this life. One without a birth
    /// says nothing against it: boxes of an older form pass on none.
    pub(super) fn is_life_of(&self, told: &Server) -> bool {
        let births = self.born.get().zip(told.born);
        let same_birth = births.is_none_or(|(known, told)| known == told);
        self.server.address == told.address && self.server.service == told.service && same_birth
    }

    /// Records the birth of this life, if it is told.
    pub(super) fn learn_birth(&self, told: Option<StartTime>) {
        self.born.set(self.born.get().or(told));
    }

    /// Requests that it works on at once.
    pub fn slots(&self) -> u32 {
        self.slots.get()
    }

    /// What it has said of itself in this life.
    pub fn word(&self) -> &Advertisement {
        &self.word
    }

    /// Whether it takes anything new of this box now.
    ///
    /// # Errors
    ///
    /// It does not.
    pub fn takes(&self, now: Instant) -> Result<(), Ineligible> {
        self.standing()?;
        if self.is_backing_off(now) {
            return Err(Ineligible::BackingOff);
        }
        Ok(())
    }

    /// The rest that it asked this box for, while that holds.
    pub fn rest(&self, now: Instant) -> Option<Backoff> {
        self.word.rest().filter(|rest| rest.holds(now))
    }

    /// Whether it asked this box for rest that is not over.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.rest(now).is_some()
    }

    /// Whether it takes anything new of any box.
    ///
    /// # Errors
    ///
    /// It does not.
    pub(super) fn standing(&self) -> Result<(), Ineligible> {
        if self.over.get() {
            Err(Ineligible::Gone)
        } else if self.word.leaving().is_some() {
            Err(Ineligible::Leaving)
        } else if self.hall.is_emptied() {
            Err(Ineligible::Emptied)
        } else {
            Ok(())
        }
    }

    /// Whether it takes new requests: it is not leaving, and the operator has not
    /// asked to empty its hall.
    pub fn accepts_requests(&self) -> bool {
        self.standing().is_ok()
    }

    /// Whether it is cold, by what it told or by what happened to it; its service
    /// says that it is for `time` after a start.
    pub fn is_cold(&self, time: Duration, now: Instant) -> bool {
        let told = self.cold.get().is_some_and(|until| now < until);
        let was_absent = self.absent.get().is_some_and(|at| now < at + time);
        told || was_absent || self.hall.returned_within(time, now)
    }

    /// Whether nobody was there at some time of this life, as far as is known here.
    pub fn was_unreachable(&self) -> bool {
        self.absent.get().is_some()
    }

    /// How much longer it is cold, as it told.
    pub fn cold_left(&self, now: Instant) -> Duration {
        let until = self.cold.get();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records how much longer it is cold as of `now`; returns whether that ends
    /// later than was known.
    pub(super) fn set_cold(&self, left: Duration, now: Instant) -> bool {
        let known = self.cold_left(now);
        self.cold.set(until(left, now));
        left > known + COLD_SLACK
    }

    /// Whether its entry is gone while the store cannot be relied on.
    pub fn is_missing(&self) -> bool {
        self.missing.get()
    }

    /// Whether this box has no reason to leave it out: neither its own failures
    /// nor a silence of its hall.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.health.allows(now) && !self.hall.is_unresponsive(now)
    }

    /// Requests of this box that are under way there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Counts a request with so many prompt tokens to read as under way.
    pub fn run(self: &Rc<Self>, prefill: u64) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.prefill.set(self.prefill.get() + prefill);
        InFlight {
            backend: self.clone(),
            prefill: Cell::new(prefill),
        }
    }

    /// Prompt tokens sent by this box whose answers have not begun.
    pub fn prefill(&self) -> u64 {
        self.prefill.get()
    }

    /// Records that something came from it.
    pub fn record_received(&self) {
        let now = Instant::now();
        self.last_received.set(Some(now));
        self.hall.hear(now);
    }

    /// Records how a request there ended.
    pub fn record(&self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Unresponsive => self.hall.miss(now),
            Outcome::NotListening => self.absent.set(Some(now)),
            Outcome::Succeeded | Outcome::Errored => {}
        }
        self.health.record(outcome, now);
    }

    /// When something last came from it.
    pub fn last_received(&self) -> Option<Instant> {
        self.last_received.get()
    }

    /// Records a load that the server reported.
    pub fn record_load(&self, load: Load, at: Instant) {
        self.report.set(Some(Report {
            load,
            at,
            own: self.in_flight.get(),
        }));
    }

    /// Records what so many other boxes have under way there.
    pub(super) fn set_others(&self, requests: u32, boxes: u32, at: Instant) {
        self.others.set(Some(Others {
            requests,
            boxes,
            at,
            own: self.in_flight.get(),
        }));
    }

    /// Requests of this box and of others that were counted less than `most`
    /// ago.
    pub fn total_in_flight(&self, most: Duration, now: Instant) -> Option<u32> {
        let others = self.others.get()?;
        let recent = now.duration_since(others.at) < most;
        recent.then(|| others.all(self.in_flight.get()))
    }

    /// The last load reported that is younger than `most`, corrected by what
    /// this box has sent and finished since: requests running and waiting.
    pub fn load(&self, most: Duration) -> Option<u32> {
        let report = self.report.get();
        let report = report.filter(|report| report.at.elapsed() < most)?;
        let sum = report.load.running + report.load.waiting;
        Some(
            (sum + self.in_flight.get())
                .saturating_sub(report.own)
                .max(self.in_flight.get()),
        )
    }

    /// A resting connection that is still good; none that has rested longer
    /// than `rest`.
    pub fn connection(&self, rest: Duration) -> Option<Conn> {
        self.idle.take(rest)
    }

    /// Keeps a connection on which nothing is under way.
    pub fn keep(&self, conn: Conn, keep_alive: Option<Duration>) {
        if self.accepts_requests() {
            self.idle.put(conn, keep_alive);
        }
    }

    /// Records that this life of it is over.
    pub(super) fn end(&self) {
        self.over.set(true);
        self.idle.clear();
    }

    /// Closes the connections that rest.
    pub(super) fn close_resting(&self) {
        self.idle.clear();
    }
}

/// When something ends that lasts so much longer; `None` for what has ended.
fn until(left: Duration, now: Instant) -> Option<Instant> {
    (!left.is_zero()).then(|| now + left.min(COLD_MAX))
}
