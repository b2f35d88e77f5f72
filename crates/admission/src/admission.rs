//! The decision whether a request for a plain service is admitted.
//!
//! Handles more requests than the servers can sustain. Without it their queues stay full:
//! requests are rejected after they were sent, and those that get through are late. So
//! the fleet admits what the servers can sustain and the box refuses the rest at once. Each box
//! admits the same fraction of its own requests, from the sums over all boxes. The answers
//! that it sees itself correct the fraction sooner than the sums do.
//!
//! A request is drawn by a hash of its content, not at random: one that is repeated at
//! once, also through another box, gets the same result.
//!
//! Invariants: while the demand is within the capacity and no request waits long at the
//! servers, every request is admitted. Without recent reports of other boxes, a box
//! decides by the answers that it saw itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backlog::Backlog;
use crate::capacity::Capacity;
use crate::demand::Service;
use crate::meter::Meter;
use crate::rate::Rate;
use crate::report::{self, Class, Load, Report};
use crate::returns;
use crate::share::{self, Shares};
use crate::wait::Wait;

/// Age after which other boxes' reports are ignored: several times the interval between
/// reports.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Time for which a plan serves further requests.
const PLAN_TTL: Duration = Duration::from_millis(50);
/// Part of the objective, less the time of the work, that this box's answers may have
/// waited. Single waits are up to three times as long as the mean.
const WAIT_PART: f64 = 0.35;
/// How much less is admitted for each multiple of that wait.
const WAIT_GAIN: f64 = 0.5;
/// Bounds of the factor by which the wait changes the fraction. Some requests have to go
/// through at any wait, as their answers show when it ends.
const WAIT_FACTORS: (f64, f64) = (0.3, 1.5);
/// Part of the slots below which requests in flight show that there is room.
const IDLE_PART: f64 = 0.5;
/// Part of the slots from which a service is under pressure.
const PRESSURE_PART: f64 = 0.75;
/// Separates the draw of a delay from those of the attempts.
const DELAY_SALT: u32 = u32::MAX;
/// Clients that first asked within the same interval of this length, with the same
/// content, count as the same one.
const BEGIN_INTERVAL: Duration = Duration::from_secs(4);

/// A request to be decided on.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// The service.
    pub service: Service,
    /// Its urgency and account.
    pub class: Class,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Time that is left to the client.
    pub left: Duration,
    /// How long ago the client first asked.
    pub elapsed: Duration,
    /// When the client first asked, since some moment that all boxes share.
    pub begun: Duration,
    /// Hash of its content, the same for each attempt.
    pub content: u64,
    /// Slots of the servers that may get it.
    pub slots: f64,
    /// Requests of all boxes at these servers, if known.
    pub in_flight: Option<f64>,
}

impl Request {
    /// Whether the request is among this fraction of all requests.
    fn is_drawn(&self, fraction: f64) -> bool {
        self.draw(returns::round(self.elapsed)) < fraction
    }

    /// A number from 0 to 1 that is the same for all attempts of the client that have the
    /// same `salt`.
    fn draw(&self, salt: u32) -> f64 {
        let begun = (self.begun.as_millis() / BEGIN_INTERVAL.as_millis()) as u64;
        let seed = (begun << 32) | u64::from(salt);
        let hash = xxh3_64_with_seed(&self.content.to_le_bytes(), seed);
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What is done with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It is sent to a server.
    Admitted,
    /// It is refused; the caller should return after the delay.
    Refused(Duration),
}

/// What a decision was based on, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Basis {
    /// The fraction of such requests that is admitted.
    pub fraction: f64,
    /// What the servers can sustain, if known.
    pub capacity: Option<Rate>,
    /// What is asked for, by all boxes if `age` is set.
    pub offered: Rate,
    /// Requests of all boxes at the servers, if known.
    pub in_flight: Option<f64>,
    /// Slots of the servers.
    pub slots: f64,
    /// Mean wait at the servers, from this box's own answers.
    pub wait: Duration,
    /// Age of the other boxes' reports; `None` if there are none that count.
    pub age: Option<Duration>,
    /// Whether the caller returned after the delay that it was given.
    pub returned: bool,
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "fraction={:.2} capacity={:.0} offered={} in_flight={:.0} slots={:.0} wait_ms={} \
             report_ms={} returned={}",
            self.fraction,
            self.capacity.map_or(-1.0, |it| it.0),
            self.offered,
            self.in_flight.unwrap_or(-1.0),
            self.slots,
            self.wait.as_millis(),
            self.age.map_or(-1, |age| age.as_millis() as i64),
            self.returned,
        )
    }
}

/// The fractions in force.
#[derive(Debug)]
struct Plan {
    at: Instant,
    /// Age of the other boxes' reports; `None` if there are none that count.
    age: Option<Duration>,
    shares: Shares,
    /// Fraction of the callers who return after the delay that they were given.
    returned: f64,
    refused: Rate,
    offered: Rate,
    capacity: Option<Rate>,
}

impl Plan {
    /// The delay after which the caller should return if it has `left` time left.
    fn delay(&self, request: &Request, left: Duration) -> Duration {
        let share = self.shares.of(request.class);
        let capacity = self.capacity.unwrap_or(Rate(f64::INFINITY));
        let spread = request.draw(DELAY_SALT);
        returns::delay(left, share, self.refused, capacity, spread)
    }

    /// Whether the caller of a request returned after the delay that it was given. Without
    /// refusals no caller was given one.
    fn is_returned(&self, request: &Request) -> bool {
        returns::round(request.elapsed) > 0 && self.refused > Rate(0.0)
    }

    /// The fraction of such requests that is admitted, corrected by a factor. An account of
    /// which all requests fit does not make room for one that sends too many.
    fn fraction(&self, request: &Request, factor: f64) -> f64 {
        if self.is_returned(request) {
            return (self.returned * factor).min(1.0);
        }
        let share = self.shares.of(request.class);
        if share >= 1.0 && self.shares.mean() < 1.0 {
            return 1.0;
        }
        (share * factor).min(1.0)
    }
}

#[derive(Debug, Default)]
struct State {
    capacity: Capacity,
    backlog: Backlog,
    wait: Wait,
    plan: Option<Rc<Plan>>,
}

impl State {
    /// The wait of this box's answers in multiples of the wait that is allowed.
    fn wait_multiple(&self, objective: Duration) -> f64 {
        let Some(work) = self.capacity.work().or(self.wait.work()) else {
            return 1.0;
        };
        let allowed = objective.saturating_sub(work).mul_f64(WAIT_PART);
        self.wait.mean().as_secs_f64() / allowed.as_secs_f64().max(1e-3)
    }

    /// Factor by which a fraction is corrected for the wait of this box's answers.
    fn wait_factor(&self, objective: Duration, now: Instant) -> f64 {
        let multiple = self.wait_multiple(objective);
        let (least, most) = WAIT_FACTORS;
        let factor = (1.0 + WAIT_GAIN * (1.0 - multiple)).clamp(least, most);
        1.0 + (factor - 1.0) * self.wait.weight(now)
    }

    /// What the servers should get so that their backlog reaches its target.
    fn rate(&mut self, load: &Load, request: &Request, now: Instant) -> Option<Rate> {
        self.capacity.update(load, request.slots, now);
        let work = self.capacity.work()?;
        let capacity = self.capacity.rate(request.slots)?;
        self.backlog.update(load, request.objective, work, now);
        let rate = |in_flight| self.backlog.rate(capacity, request.slots, in_flight);
        Some(request.in_flight.map_or(capacity, rate))
    }
}

#[derive(Debug)]
struct Others {
    report: Report,
    at: Instant,
}

/// Decides on the requests of one box.
#[derive(Debug, Default)]
pub struct Admission {
    meter: Meter,
    others: RefCell<Option<Others>>,
    services: RefCell<HashMap<Service, State>>,
}

impl Admission {
    /// The load on this box, for reports.
    pub fn report(&self, now: Instant) -> Report {
        self.meter.report(now)
    }

    /// Records the sum of the other boxes' reports.
    pub fn set_others(&self, report: Report, at: Instant) {
        *self.others.borrow_mut() = Some(Others { report, at });
    }

    /// Counts a request and decides on it.
    pub fn decide(&self, request: &Request, now: Instant) -> (Verdict, Basis) {
        let service = request.service;
        let plan = self.plan(request, now);
        let returned = plan.is_returned(request);
        if !returned {
            self.meter.offered(service, request.class, now);
        }
        let basis = self.basis(&plan, request, now);
        // Without servers there is no capacity to divide; the choice of a server refuses it.
        let is_served = request.slots > 0.0;
        if request.is_drawn(basis.fraction) || is_idle(request) || !is_served {
            self.meter.admitted(service, returned, basis.fraction, now);
            return (Verdict::Admitted, basis);
        }
        self.meter.refused(service, now);
        (Verdict::Refused(self.delay(request, now)), basis)
    }

    /// Decides whether a request that a server rejected is sent to another one.
    pub fn may_retry(&self, request: &Request, now: Instant) -> bool {
        let plan = self.plan(request, now);
        let fraction = self.basis(&plan, request, now).fraction;
        !self.is_pressed(request, now) || request.is_drawn(fraction)
    }

    /// The delay after which a refused caller should return.
    pub fn delay(&self, request: &Request, now: Instant) -> Duration {
        self.plan(request, now).delay(request, request.left)
    }

    /// Records an answer of a server that came `time` after the request was sent.
    pub fn answered(&self, request: &Request, time: Duration, now: Instant) {
        let on_time = time <= request.objective;
        self.meter.answered(request.service, time, on_time, now);
        self.with_state(request.service, |state| {
            let work = state.capacity.work();
            state.wait.answered(time, request.objective, work, now);
        });
    }

    /// Records that a server rejected a request.
    pub fn rejected(&self, request: &Request, now: Instant) {
        self.meter.rejected(request.service, now);
        // A server may also reject requests while it has room, as one that fails does.
        if self.is_pressed(request, now) {
            self.with_state(request.service, |state| {
                state.wait.rejected(request.objective, now);
            });
        }
    }

    /// Whether requests wait at the servers, by the counts or by this box's own answers.
    fn is_pressed(&self, request: &Request, now: Instant) -> bool {
        let counted = request.in_flight;
        let counted = counted.is_some_and(|it| is_under_pressure(it, request.slots));
        let waited = |it: &mut State| it.wait_factor(request.objective, now) < 1.0;
        counted || self.with_state(request.service, waited)
    }

    fn with_state<T>(&self, service: Service, f: impl FnOnce(&mut State) -> T) -> T {
        f(self.services.borrow_mut().entry(service).or_default())
    }

    fn basis(&self, plan: &Plan, request: &Request, now: Instant) -> Basis {
        let (wait, factor) = self.with_state(request.service, |state| {
            let factor = state.wait_factor(request.objective, now);
            (state.wait.mean(), factor)
        });
        Basis {
            fraction: plan.fraction(request, factor),
            capacity: plan.capacity,
            offered: plan.offered,
            in_flight: request.in_flight,
            slots: request.slots,
            wait,
            age: plan.age,
            returned: plan.is_returned(request),
        }
    }

    fn plan(&self, request: &Request, now: Instant) -> Rc<Plan> {
        self.with_state(request.service, |state| {
            let last = state.plan.as_ref();
            let last = last.filter(|it| now.saturating_duration_since(it.at) < PLAN_TTL);
            if let Some(plan) = last {
                return plan.clone();
            }
            let (load, age) = self.load(request.service, now);
            // From its own requests alone, a box cannot know what the servers can sustain.
            let rate = age.and_then(|_| state.rate(&load, request, now));
            let plan = Rc::new(plan(&load, rate, age, now));
            state.plan = Some(plan.clone());
            plan
        })
    }

    /// The load on a service, and the age of the other boxes' part; `None` if that does
    /// not count.
    fn load(&self, service: Service, now: Instant) -> (Load, Option<Duration>) {
        let mut load = self.meter.load(service, now);
        let others = self.others.borrow();
        let Some(others) = others.as_ref() else {
            return (load, None);
        };
        let age = now.saturating_duration_since(others.at);
        if age >= REPORT_AGE_MAX {
            return (load, None);
        }
        if let Some(other) = others.report.services.get(&service) {
            load.add(other);
        }
        (load, Some(age))
    }
}

/// Whether requests in flight show that servers have free slots.
fn is_idle(request: &Request) -> bool {
    request
        .in_flight
        .is_some_and(|it| it < IDLE_PART * request.slots)
}

/// Whether the servers of a service have so many requests that boxes have to share them out
/// by what each server can sustain.
pub fn is_under_pressure(in_flight: f64, slots: f64) -> bool {
    slots > 0.0 && in_flight >= PRESSURE_PART * slots
}

/// Divides a rate between callers that return and the others.
fn plan(load: &Load, rate: Option<Rate>, age: Option<Duration>, now: Instant) -> Plan {
    let distinct = report::rate(load.distinct);
    let counted = load.offered_rate();
    let returning = report::rate(load.returned);
    let offered = Rate(counted.0.min(distinct.0) + returning.0);
    let (shares, returned) = match rate {
        Some(rate) if offered > rate => {
            let kept = returning.0.min(returns::RETURN_PART * rate.0);
            // Repetitions are counted in the demand of the classes and get nothing.
            let repeated = (counted.0 / distinct.0.max(1.0)).max(1.0);
            let shares = share::allocate(&load.offered, Rate((rate.0 - kept) * repeated));
            let returned = if returning > Rate(0.0) {
                kept / returning.0
            } else {
                1.0
            };
            (shares, returned)
        }
        _ => (Shares::all(), 1.0),
    };
    Plan {
        at: now,
        age,
        shares,
        returned,
        refused: report::rate(load.refused),
        offered,
        capacity: rate,
    }
}
