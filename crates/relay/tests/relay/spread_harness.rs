//! Many boxes before many servers in memory, with simulated time.
//!
//! Each box decides with the router's code by its own requests and by what other boxes
//! reported some time ago. The harness compares what each server held when a request
//! reached it with the mean of all servers at that moment, and counts the prompt tokens
//! that engines had to prefill or to copy.

use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tidepier_admission::demand::Summary;
use tidepier_admission::rise::{Detector, Rise, Sample};
use tidepier_admission::speed::{Prediction, Work};
use tidepier_clock::Instant;
use tidepier_core::answer::{Load, Slowdown};
use tidepier_core::request::Prompt;
use tidepier_core::server::{Server, State};
use tidepier_ids as ids;
use tidepier_relay::choose::filter::Filter;
use tidepier_relay::choose::{self, Choice, Criteria};
use tidepier_relay::fleet::speeds::Speeds;
use tidepier_relay::fleet::used::Used;
use tidepier_relay::fleet::{Fleet, InFlight, Key};
use tidepier_relay::health;
use tidepier_relay::traffic::index::Index;
use tidepier_relay::traffic::tally::{Baseline, Totals};

use crate::choice_harness::{address, id, prompt};
use crate::harness::{Result, SERVICE};
use crate::load_rule::{self, BOUND_FACTOR};

/// Duration of a request at an otherwise idle engine, and what each other request there
/// adds to it.
const RUN_TIME: Duration = Duration::from_millis(700);
const RUN_MORE: Duration = Duration::from_millis(30);
/// Duration of a request at a plain server, and how many it works on at once.
const PLAIN_TIME: Duration = Duration::from_millis(30);
const PLAIN_SLOTS: u32 = 6;
/// Time until a server that errs answers with an error.
const ERROR_TIME: Duration = Duration::from_millis(20);
/// Time until a sound server begins an answer, where servers fail.
const BEGIN_TIME: Duration = Duration::from_millis(50);
/// Interval between two messages of other boxes to a box.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of counts in one message.
const COUNTS: usize = 48;
/// Maximum number of speeds in one message.
const SPEEDS: usize = 48;
/// Maximum number of placements in one message.
const PLACEMENTS: usize = 64;
/// Maximum number of subjects in one message.
pub(crate) const SUBJECTS_REPORTED: usize = 16;
/// The hot subject.
const HOT: u64 = 7_777;
/// Subjects beside the hot one, for each engine.
const SUBJECTS: u64 = 10;
/// Tokens of a subject.
const TOKENS: u32 = 6_000;
/// Speed of the slowest engines.
const SPEED_MIN: f64 = 0.25;
/// Time for which an engine has one speed, where speeds change.
const SPEED_PERIOD: Duration = Duration::from_millis(200);
/// Time to prefill a token at the usual speed, and to copy one.
const PREFILL_TIME: Duration = Duration::from_micros(25);
const COPY_TIME: Duration = Duration::from_micros(7);
/// Time for one step of an engine, and what each request that it holds adds.
const STEP_TIME: Duration = Duration::from_millis(8);
const STEP_MORE: Duration = Duration::from_micros(500);
/// Sizes of the part of a prompt that no other request shares, where speeds differ.
const OWN_TOKENS: std::ops::Range<u32> = 80..1_500;

/// The kind of servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Kind {
    /// Model engines that report their load with each answer.
    Engines,
    /// Model engines that do not.
    SilentEngines,
    /// Servers of a plain service that work on six requests at once.
    Plain,
}

/// How many requests are about the hot subject.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hot {
    /// Out of `round` requests, this many are about it.
    pub(crate) requests: u64,
    /// See `requests`.
    pub(crate) round: u64,
    /// From when on.
    pub(crate) from: Duration,
    /// Whether only boxes of the first hall get such requests.
    pub(crate) one_hall: bool,
}

impl Hot {
    /// No hot subject.
    pub(crate) const NONE: Self = Self::share(0, 7);

    /// `requests` out of `round` requests of all boxes, from the start on.
    pub(crate) const fn share(requests: u64, round: u64) -> Self {
        Self {
            requests,
            round,
            from: Duration::ZERO,
            one_hall: false,
        }
    }
}

/// Time that a sample takes to the hub of its hall, and an announced rise from there to a
/// box. Both are sent at once within a hall, where a round trip takes a millisecond; the
/// rest is for boxes with a tenth of a core.
pub(crate) const NOTICE_TIME: Duration = Duration::from_millis(50);

/// What boxes learn of each other's requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reports {
    /// Age in messages of what is reported.
    pub(crate) age: usize,
    /// Every box of which the number is a multiple of this gets no reports; 0: all get
    /// them, 1: none does.
    pub(crate) deaf: usize,
    /// Whether boxes learn where the others sent which subject.
    pub(crate) placements: bool,
    /// Time that a sample takes to the hub of its hall, and an announced rise from there to
    /// a box; `None` if none are sent.
    pub(crate) notice_time: Option<Duration>,
}

impl Reports {
    fn is_deaf(self, sim_box: usize) -> bool {
        self.deaf > 0 && sim_box.is_multiple_of(self.deaf)
    }
}

/// How servers fail.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Failing {
    /// They hold requests and never answer them; each is given up after this long.
    Silent(Duration),
    /// They answer each with an error soon.
    Erring,
}

/// Servers that fail together for a while, and are sound afterwards.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Harm {
    /// How many of them: the first ones.
    pub(crate) servers: usize,
    /// From when on.
    pub(crate) from: Duration,
    /// For how long.
    pub(crate) time: Duration,
    pub(crate) failing: Failing,
}

impl Harm {
    fn affects(&self, server: usize, time: Duration) -> bool {
        server < self.servers && time >= self.from && time < self.from + self.time
    }
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) boxes: usize,
    pub(crate) servers: usize,
    pub(crate) kind: Kind,
    /// Halls that boxes and servers are divided between.
    pub(crate) halls: usize,
    /// Round-trip time to another hall.
    pub(crate) round_trip: Duration,
    /// Share of the requests that boxes of the first hall get; `None`: as the others.
    pub(crate) first_hall: Option<f64>,
    /// Requests a second for each server.
    pub(crate) rate: f64,
    /// Simulated time.
    pub(crate) time: Duration,
    /// Time from the start that is not judged.
    pub(crate) settling: Duration,
    pub(crate) hot: Hot,
    pub(crate) reports: Reports,
    /// When all boxes start again without any knowledge; their requests end.
    pub(crate) restart: Option<Duration>,
    /// In each second, every fifth box stands still for this long, and then sends all
    /// requests that came meanwhile.
    pub(crate) pause: Duration,
    /// Set if engines differ in speed; the time to the first event is then simulated too.
    pub(crate) engines: Option<Engines>,
    /// Set if servers fail; boxes then record how requests end.
    pub(crate) harm: Option<Harm>,
}

impl Plan {
    /// Boxes of one hall before engines, that get reports two messages old, without a hot
    /// subject.
    pub(crate) fn new(boxes: usize, servers: usize) -> Self {
        Self {
            boxes,
            servers,
            kind: Kind::Engines,
            halls: 1,
            round_trip: Duration::ZERO,
            first_hall: None,
            rate: 7.0,
            time: Duration::from_secs(6),
            settling: Duration::from_secs(1),
            hot: Hot::NONE,
            reports: Reports {
                age: 2,
                deaf: 0,
                placements: false,
                notice_time: Some(NOTICE_TIME),
            },
            restart: None,
            pause: Duration::ZERO,
            engines: None,
            harm: None,
        }
    }
}

/// How fast engines are: their speeds are from 0.25 to 1 times the usual one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Pace {
    /// Each engine's speed changes five times a second.
    Changing,
    /// Half of the engines have a quarter of the usual speed.
    HalfSlow,
    /// The same, and the halves change places every five seconds.
    Swapping,
}

/// Engines of different speed, and what boxes learn of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Engines {
    pub(crate) pace: Pace,
    /// Whether boxes learn from answers.
    pub(crate) learned: bool,
    /// Whether engines report their slowdown.
    pub(crate) reported: bool,
    /// Whether boxes tell each other what they learned.
    pub(crate) shared: bool,
}

impl Engines {
    /// The speed of an engine at a time since the start.
    fn speed(self, engine: usize, time: Duration) -> f64 {
        match self.pace {
            Pace::HalfSlow if engine.is_multiple_of(2) => SPEED_MIN,
            Pace::HalfSlow => 1.0,
            Pace::Swapping => match (engine as u64 + time.as_secs() / 5).is_multiple_of(2) {
                true => SPEED_MIN,
                false => 1.0,
            },
            Pace::Changing => {
                let period = time.as_nanos() / SPEED_PERIOD.as_nanos();
                let chance = fastrand::Rng::with_seed((engine as u64) << 32 | period as u64).f64();
                SPEED_MIN + (1.0 - SPEED_MIN) * chance
            }
        }
    }

    /// When work ends that starts at a time since the start and takes `work` at the usual
    /// speed.
    fn end(self, engine: usize, start: Duration, work: Duration) -> Duration {
        let (mut time, mut left) = (start, work);
        loop {
            let speed = self.speed(engine, time);
            let periods = time.as_nanos() / SPEED_PERIOD.as_nanos();
            let next = SPEED_PERIOD * (periods as u32 + 1);
            let done = (next - time).mul_f64(speed);
            if left <= done {
                return time + left.div_f64(speed);
            }
            left -= done;
            time = next;
        }
    }
}

/// The result of a simulation.
#[derive(Debug, Default, Clone, PartialEq)]
pub(crate) struct Outcome {
    /// Requests that were judged.
    pub(crate) judged: usize,
    /// Those of them that reached an engine over the bound.
    pub(crate) exceeding: usize,
    /// Those of them that were their box's first about the hot subject.
    pub(crate) exceeding_first: usize,
    /// The most that an engine held when a request reached it, less the bound.
    pub(crate) worst: f64,
    /// Requests that no engine took.
    pub(crate) refused: usize,
    /// Tokens of subjects that an engine prefilled though another one cached them.
    pub(crate) prefilled_again: u64,
    /// Tokens of subjects that an engine copied.
    pub(crate) copied: u64,
    /// Rises that hubs announced.
    pub(crate) rises: usize,
    /// Requests about a subject that had just risen, as far as their box knew.
    pub(crate) rising: usize,
    /// Times to the first event of the judged requests, in ms.
    pub(crate) first_event_ms: Vec<f64>,
    /// Speeds of engines in the messages to all boxes.
    pub(crate) speed_rows: usize,
    /// When requests reached servers, since the start, and whether that was over the bound;
    /// from the start on.
    pub(crate) arrivals: Vec<(Duration, bool)>,
}

impl Outcome {
    /// Share of the requests that reached an engine over the bound.
    pub(crate) fn exceeding_share(&self) -> f64 {
        self.exceeding as f64 / self.judged.max(1) as f64
    }

    /// Mean and 99th percentile of the times to the first event, in ms.
    pub(crate) fn first_event(&self) -> (f64, f64) {
        let mut times = self.first_event_ms.clone();
        times.sort_by(f64::total_cmp);
        let mean = times.iter().sum::<f64>() / times.len().max(1) as f64;
        let p99 = times.get(times.len() * 99 / 100).copied();
        (mean, p99.unwrap_or_default())
    }
}

struct SimBox {
    hall_number: usize,
    hall: ids::Hall,
    fleet: Fleet,
    index: Index,
    /// The counts sent to this box so far, so that only changes are sent.
    sent: Baseline,
    speeds_sent: Speeds,
    received: Totals,
    /// Whether it has had a request about the hot subject.
    has_had_hot: bool,
}

/// A request that runs, or its answer on the way; the first one to end is the greatest.
struct Run {
    end: Instant,
    sent: Instant,
    sim_box: usize,
    server: usize,
    /// Set while the request is at the server.
    at_server: bool,
    /// How it fails, if it does.
    failing: Option<Failing>,
    running: Rc<InFlight>,
}

/// The first event of an answer that is to come.
struct FirstEvent {
    at: Instant,
    sent: Instant,
    sim_box: usize,
    server: usize,
    work: Work,
    predicted: Prediction,
    running: Rc<InFlight>,
}

impl PartialEq for Run {
    fn eq(&self, other: &Self) -> bool {
        self.end == other.end
    }
}

impl Eq for Run {}

impl PartialOrd for Run {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Run {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.end.cmp(&self.end)
    }
}

/// What boxes report at one moment.
#[derive(Default)]
struct Snapshot {
    held: Vec<u32>,
    demand: Vec<Summary>,
    /// New uses of subjects: the subject, the engine and the box.
    placements: Vec<(u64, Key, usize)>,
    /// What each box learned of each engine's speed.
    speeds: Vec<Speeds>,
}

/// A message that is sent at once.
enum Notice {
    /// A request that was sent, to the hub of the hall.
    Sample(Sample),
    /// A rise, from the hub to the boxes of its hall.
    Rise(Rise),
}

struct Sim {
    plan: Plan,
    start: Instant,
    boxes: Vec<SimBox>,
    servers: Vec<Server>,
    keys: Vec<Key>,
    number_by_key: HashMap<Key, usize>,
    service: ids::Service,
    held: Vec<u32>,
    runs: BinaryHeap<Run>,
    first_events: Vec<FirstEvent>,
    /// Answers that sound servers are about to begin, where servers fail: when the request was
    /// sent, by which box, to which server.
    beginnings: VecDeque<(Instant, usize, usize)>,
    /// Servers that have answered though a box had ejected them: when the others learn of it,
    /// when the request was sent, and the server.
    returns: VecDeque<(Instant, Instant, usize)>,
    /// Until when each engine is busy with the prefill of earlier requests, as a time since
    /// the start.
    prefill_ends: Vec<Duration>,
    past: VecDeque<Snapshot>,
    placements: Vec<(u64, Key, usize)>,
    /// The samples that the hub of each hall got.
    detectors: Vec<Detector>,
    /// Notices on the way, with their time of arrival and hall, the first to arrive first.
    notices: VecDeque<(Instant, usize, Notice)>,
    /// Subjects that each engine caches.
    cached: HashSet<(usize, u64)>,
    seen: HashSet<u64>,
    outcome: Outcome,
}

/// Plays a plan; randomness comes from the thread's seed.
pub(crate) fn play(plan: &Plan) -> Result<Outcome> {
    let mut sim = Sim::new(plan.clone())?;
    sim.play()?;
    Ok(sim.outcome)
}

/// The entry of a server that is divided between halls with the others.
pub(crate) fn server(number: usize, halls: usize, slots: u32) -> Result<Server> {
    Ok(Server {
        id: id(&format!("i-{number}"))?,
        born: None,
        service: id(SERVICE)?,
        address: address(number as u16),
        hall: hall(number, halls)?,
        slots,
        release: None,
        state: State::Ready,
        cold: Duration::ZERO,
    })
}

/// The hall of a box or server.
pub(crate) fn hall(number: usize, halls: usize) -> Result<ids::Hall> {
    id(&format!("hall-{}", number % halls + 1))
}

fn new_box(number: usize, plan: &Plan, servers: &[Server], now: Instant) -> Result<SimBox> {
    let sim_box = SimBox {
        hall_number: number % plan.halls,
        hall: hall(number, plan.halls)?,
        fleet: Fleet::default(),
        index: Index::default(),
        sent: Baseline::default(),
        speeds_sent: Speeds::default(),
        received: Totals::default(),
        has_had_hot: false,
    };
    announce(&sim_box.fleet, &sim_box.hall, servers, plan.round_trip, now);
    Ok(sim_box)
}

/// Announces servers to a box that has measured the round trip to other halls.
pub(crate) fn announce(
    fleet: &Fleet,
    hall: &ids::Hall,
    servers: &[Server],
    round_trip: Duration,
    now: Instant,
) {
    for server in servers {
        fleet.announce(server.clone(), now);
        let backend = fleet.get(&server.id);
        if let Some(backend) = backend.filter(|it| it.server.hall != *hall) {
            backend.hall.record_connect_time(round_trip);
        }
    }
}

impl Sim {
    fn new(plan: Plan) -> Result<Self> {
        let start = Instant::now();
        let servers: Result<Vec<Server>> = (0..plan.servers)
            .map(|n| server(n, plan.halls, 64))
            .collect();
        let servers = servers?;
        let keys: Vec<Key> = servers.iter().map(|it| Key::new(&it.id)).collect();
        let numbers = keys.iter().enumerate();
        let mut sim = Self {
            start,
            boxes: Vec::new(),
            number_by_key: numbers.map(|(number, key)| (*key, number)).collect(),
            servers,
            keys,
            service: id(SERVICE)?,
            held: vec![0; plan.servers],
            runs: BinaryHeap::new(),
            first_events: Vec::new(),
            beginnings: VecDeque::new(),
            returns: VecDeque::new(),
            prefill_ends: vec![Duration::ZERO; plan.servers],
            past: VecDeque::new(),
            placements: Vec::new(),
            detectors: Vec::new(),
            notices: VecDeque::new(),
            cached: HashSet::new(),
            seen: HashSet::new(),
            outcome: Outcome::default(),
            plan,
        };
        sim.start_boxes(start)?;
        Ok(sim)
    }

    fn start_boxes(&mut self, now: Instant) -> Result {
        let numbers = 0..self.plan.boxes;
        let boxes = numbers.map(|n| new_box(n, &self.plan, &self.servers, now));
        self.boxes = boxes.collect::<Result<_>>()?;
        self.detectors = (0..self.plan.halls).map(|_| Detector::default()).collect();
        self.notices.clear();
        Ok(())
    }

    fn play(&mut self) -> Result {
        let Plan { rate, time, .. } = self.plan;
        let count = (rate * self.plan.servers as f64 * time.as_secs_f64()) as usize;
        let mut next_report = self.start;
        let mut restart = self.plan.restart.map(|after| self.start + after);
        let mut held_back: Vec<(Instant, usize, u64)> = Vec::new();
        for number in 0..count {
            let now = self.start + time.mul_f64(number as f64 / count as f64);
            self.pass_first_events(now);
            self.begin_answers(now);
            self.end_runs(now);
            if restart.is_some_and(|at| at <= now) {
                restart = None;
                self.runs.clear();
                self.first_events.clear();
                self.beginnings.clear();
                self.returns.clear();
                self.held.fill(0);
                self.start_boxes(now)?;
            }
            self.deliver_notices(now);
            if now >= next_report {
                next_report += REPORT_INTERVAL;
                self.exchange_reports(now);
            }
            let (due, later) = held_back.into_iter().partition(|(at, ..)| *at <= now);
            held_back = later;
            let due: Vec<(Instant, usize, u64)> = due;
            for (_, sim_box, subject) in due {
                self.send(sim_box, subject, now);
            }
            let (sim_box, subject) = self.next_request(now);
            match self.paused_until(sim_box, now) {
                Some(until) => held_back.push((until, sim_box, subject)),
                None => self.send(sim_box, subject, now),
            }
        }
        Ok(())
    }

    fn next_request(&self, now: Instant) -> (usize, u64) {
        let sim_box = self.next_box();
        let hot = self.plan.hot;
        let is_hot = fastrand::u64(0..hot.round) < hot.requests
            && now >= self.start + hot.from
            && (!hot.one_hall || self.boxes[sim_box].hall_number == 0);
        let subject = match is_hot {
            true => HOT,
            false => fastrand::u64(0..SUBJECTS * self.plan.servers as u64),
        };
        (sim_box, subject)
    }

    fn next_box(&self) -> usize {
        let in_first = self.plan.first_hall.map(|share| fastrand::f64() < share);
        loop {
            let sim_box = fastrand::usize(0..self.plan.boxes);
            let is_in_first = self.boxes[sim_box].hall_number == 0;
            if in_first.is_none_or(|in_first| in_first == is_in_first) {
                return sim_box;
            }
        }
    }

    /// Until when a box stands still.
    fn paused_until(&self, sim_box: usize, now: Instant) -> Option<Instant> {
        let since = now.saturating_duration_since(self.start);
        let second = Duration::from_secs(since.as_secs());
        let is_chosen = (sim_box as u64 + since.as_secs()).is_multiple_of(5);
        let until = self.start + second + self.plan.pause;
        (is_chosen && now < until).then_some(until)
    }

    fn end_runs(&mut self, now: Instant) {
        while self.runs.peek().is_some_and(|run| run.end <= now) {
            let Some(mut run) = self.runs.pop() else {
                break;
            };
            if run.at_server {
                self.held[run.server] -= 1;
                run.at_server = false;
                run.end += self.round_trip(run.sim_box, run.server);
                if run.end > now {
                    self.runs.push(run);
                    continue;
                }
            }
            self.answer(run);
        }
    }

    /// Passes an answer on to its box.
    fn answer(&mut self, run: Run) {
        if self.plan.harm.is_some() && run.failing.is_none() {
            self.begin_answer(run.sent, run.sim_box, run.server, run.end);
        }
        let fleet = &self.boxes[run.sim_box].fleet;
        let Some(backend) = fleet.get(&self.servers[run.server].id) else {
            return;
        };
        if self.plan.harm.is_some() {
            let outcome = match run.failing {
                None => health::Outcome::Succeeded,
                Some(Failing::Erring) => health::Outcome::Errored,
                Some(Failing::Silent(_)) => health::Outcome::Unresponsive,
            };
            let evidence = match run.failing {
                Some(Failing::Silent(_)) => run.sent,
                _ => run.end,
            };
            if !matches!(run.failing, Some(Failing::Silent(_))) {
                backend.hall.record_received(run.end);
            }
            backend.record(outcome, evidence, run.end);
        }
        match self.plan.kind {
            _ if run.failing.is_some() => {}
            Kind::Engines => {
                let load = Load {
                    running: self.held[run.server],
                    waiting: 0,
                    slots: 64,
                    slowdown: None,
                };
                backend.record_load(load, run.end);
            }
            Kind::SilentEngines => {}
            Kind::Plain => backend.health.record_latency(run.end - run.sent, run.end),
        }
        drop(run.running);
    }

    fn round_trip(&self, sim_box: usize, server: usize) -> Duration {
        let is_near = self.boxes[sim_box].hall_number == server % self.plan.halls;
        match is_near {
            true => Duration::ZERO,
            false => self.plan.round_trip,
        }
    }

    /// The hub of a hall: the first box that gets reports, as members report to the hub.
    fn hub(&self, hall: usize) -> Option<&SimBox> {
        let boxes = self.boxes.iter().enumerate();
        let mut members = boxes.filter(|(_, it)| it.hall_number == hall);
        let hub = members.find(|(number, _)| !self.plan.reports.is_deaf(*number));
        hub.map(|(_, sim_box)| sim_box)
    }

    /// Delivers samples to hubs and rises to boxes.
    fn deliver_notices(&mut self, now: Instant) {
        let reports = self.plan.reports;
        while self.notices.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((at, hall, notice)) = self.notices.pop_front() else {
                break;
            };
            match notice {
                Notice::Sample(sample) => {
                    let Some(hub) = self.hub(hall) else { continue };
                    let demand = &hub.index.demand;
                    let usual = demand.reported_share(&sample, now);
                    if let Some(rise) = self.detectors[hall].record(sample, usual, now) {
                        self.outcome.rises += 1;
                        let at = at + reports.notice_time.unwrap_or_default();
                        self.notices.push_back((at, hall, Notice::Rise(rise)));
                    }
                }
                Notice::Rise(rise) => {
                    for (number, sim_box) in self.boxes.iter().enumerate() {
                        if sim_box.hall_number == hall && !reports.is_deaf(number) {
                            sim_box.index.demand.set_rise(rise, now);
                        }
                    }
                }
            }
        }
    }

    /// Sends a sample of a box's request to the hub of its hall.
    fn notify(&mut self, number: usize, subject: u64, now: Instant) {
        let reports = self.plan.reports;
        let time = reports.notice_time.filter(|_| !reports.is_deaf(number));
        let Some(time) = time else { return };
        let sim_box = &self.boxes[number];
        if let Some(sample) = sim_box.index.demand.sample(&self.service, subject, now) {
            let at = now + time;
            let notice = Notice::Sample(sample);
            self.notices.push_back((at, sim_box.hall_number, notice));
        }
    }

    /// Sends each box what all others reported some time ago.
    fn exchange_reports(&mut self, now: Instant) {
        let reports = self.plan.reports;
        let demand = self.boxes.iter().map(|it| it.index.demand.summary(now));
        self.past.push_back(Snapshot {
            held: self.held.clone(),
            demand: demand.collect(),
            placements: std::mem::take(&mut self.placements),
            speeds: self.speeds(now),
        });
        if self.past.len() <= reports.age {
            return;
        }
        let known = self.past.pop_front().unwrap_or_default();
        let (all, halls) = sums(&known.demand, self.plan.halls);
        let all = all.frequent(1.0 / self.servers.len() as f64, SUBJECTS_REPORTED);
        let mut speeds = Speeds::default();
        known.speeds.iter().for_each(|it| speeds.add(it));
        let count = self.boxes.len();
        for (number, sim_box) in self.boxes.iter_mut().enumerate() {
            if reports.is_deaf(number) {
                continue;
            }
            report(sim_box, &known.held, &self.keys, count, now);
            if let Some(own) = known.speeds.get(number) {
                let mut others = speeds.clone();
                others.subtract(own);
                let rows = sim_box.speeds_sent.update(&others, SPEEDS);
                self.outcome.speed_rows += rows.len();
                sim_box.received.speeds.apply(&rows);
                sim_box.fleet.set_peer_speeds(&sim_box.received.speeds, now);
            }
            let mut others = all.clone();
            others.subtract(&known.demand[number]);
            let demand = &sim_box.index.demand;
            demand.set_others(others, now);
            demand.set_hall(halls[sim_box.hall_number].clone(), now);
            if reports.placements {
                let newest = known.placements.iter().rev().take(PLACEMENTS);
                for (subject, key, from) in newest.rev() {
                    if *from != number {
                        sim_box.index.record_remote(*subject, *key, now);
                    }
                }
            }
        }
    }

    /// What each box learned of each engine's speed, if boxes tell each other.
    fn speeds(&self, now: Instant) -> Vec<Speeds> {
        if !self.plan.engines.is_some_and(|engines| engines.shared) {
            return Vec::new();
        }
        let boxes = self.boxes.iter();
        boxes.map(|sim_box| sim_box.fleet.speeds(now)).collect()
    }

    fn send(&mut self, number: usize, subject: u64, now: Instant) {
        let mut prompt = prompt(subject, TOKENS);
        if self.plan.engines.is_some() {
            vary(&mut prompt);
        }
        let Some(choice) = self.choose(number, &prompt, now) else {
            self.outcome.refused += 1;
            return;
        };
        let server = self.number_by_key[&choice.backend.key];
        let is_first = subject == HOT && !self.boxes[number].has_had_hot;
        self.boxes[number].has_had_hot |= is_first;
        self.judge(server, is_first, now);
        let index = &self.boxes[number].index;
        let is_rising = index.demand.has_just_risen(&self.service, subject, now);
        self.outcome.rising += usize::from(is_rising);
        let mut missing = Missing::default();
        if self.plan.kind != Kind::Plain {
            if index.record_local(&prompt, choice.backend.key, now) {
                self.placements.push((subject, choice.backend.key, number));
            }
            let subject = prompt.subject().map(|part| part.id);
            index.demand.record(&self.service, subject, now);
            if let Some(subject) = subject {
                missing = self.count_tokens(server, subject, &choice);
                self.notify(number, subject, now);
            }
        } else {
            index.demand.record(&self.service, None, now);
        }
        self.held[server] += 1;
        let running = Rc::new(choice.backend.run(choice.prefill_tokens as u64));
        let mut end = now + self.run_time(server);
        if let Some((engines, (work, predicted))) = self.plan.engines.zip(choice.first_event) {
            let own = prompt.parts.last().map_or(0, |part| part.tokens);
            let at = self.first_event(engines, server, own, missing, now);
            end = self.start + engines.end(server, at - self.start, self.run_time(server));
            if now > self.start + self.plan.settling {
                let time = (at - now).as_secs_f64();
                self.outcome.first_event_ms.push(time * 1e3);
            }
            self.first_events.push(FirstEvent {
                at,
                sent: now,
                sim_box: number,
                server,
                work,
                predicted,
                running: running.clone(),
            });
        }
        let harm = self.plan.harm;
        let harm = harm.filter(|harm| harm.affects(server, now - self.start));
        let failing = harm.map(|harm| harm.failing);
        match failing {
            Some(Failing::Silent(time)) => end = now + time,
            Some(Failing::Erring) => end = now + ERROR_TIME,
            None => {}
        }
        if self.plan.harm.is_some() {
            choice.backend.health.record_sent(now);
            if failing.is_none() {
                self.beginnings.push_back((now, number, server));
            }
        }
        self.runs.push(Run {
            failing,
            end,
            sent: now,
            sim_box: number,
            server,
            at_server: true,
            running,
        });
    }

    /// When an engine sends the first event of an answer: it prefills prompts one after the
    /// other, and then takes one step for all that it holds.
    fn first_event(
        &mut self,
        engines: Engines,
        server: usize,
        own: u32,
        missing: Missing,
        now: Instant,
    ) -> Instant {
        let start = (now - self.start).max(self.prefill_ends[server]);
        let copied = start + COPY_TIME * missing.copied;
        let prefill = PREFILL_TIME * (own + missing.prefilled);
        let end = engines.end(server, copied, prefill);
        self.prefill_ends[server] = end;
        let step = STEP_TIME + STEP_MORE * self.held[server];
        self.start + engines.end(server, end, step)
    }

    /// Records the answers that have begun by now at their boxes.
    fn begin_answers(&mut self, now: Instant) {
        while let Some((sent, sim_box, server)) = self.beginnings.front().copied() {
            if sent + BEGIN_TIME > now {
                break;
            }
            self.beginnings.pop_front();
            self.begin_answer(sent, sim_box, server, now);
        }
        self.deliver_returns(now);
    }

    fn begin_answer(&mut self, sent: Instant, sim_box: usize, server: usize, now: Instant) {
        let fleet = &self.boxes[sim_box].fleet;
        let Some(backend) = fleet.get(&self.servers[server].id) else {
            return;
        };
        let was_ejected = backend.health.is_ejected();
        backend.hall.record_received(now);
        backend.record_answering(sent, now);
        let notice_time = self.plan.reports.notice_time;
        if let Some(time) = notice_time.filter(|_| was_ejected) {
            self.returns.push_back((now + time, sent, server));
        }
    }

    /// Delivers notices of servers that have answered though they were ejected.
    fn deliver_returns(&mut self, now: Instant) {
        while let Some((at, sent, server)) = self.returns.front().copied() {
            if at > now {
                break;
            }
            self.returns.pop_front();
            let boxes = self.boxes.iter().enumerate();
            for (_, sim_box) in boxes.filter(|(it, _)| !self.plan.reports.is_deaf(*it)) {
                if let Some(backend) = sim_box.fleet.get(&self.servers[server].id) {
                    backend.health.record_answering_elsewhere(sent, now);
                }
            }
        }
    }

    /// Passes the first events that came by now on to their boxes.
    fn pass_first_events(&mut self, now: Instant) {
        let Some(engines) = self.plan.engines else {
            return;
        };
        let mut events = std::mem::take(&mut self.first_events);
        events.sort_by_key(|event| event.at);
        for event in events {
            if event.at > now {
                self.first_events.push(event);
                continue;
            }
            let fleet = &self.boxes[event.sim_box].fleet;
            let Some(backend) = fleet.get(&self.servers[event.server].id) else {
                continue;
            };
            event.running.answer_started();
            let speed = engines.speed(event.server, event.at - self.start);
            let slowdown = engines.reported.then_some((100.0 / speed).round() as u32);
            let load = Load {
                running: self.held[event.server],
                waiting: 0,
                slots: 64,
                slowdown: slowdown.and_then(Slowdown::new),
            };
            backend.record_load(load, event.at);
            if engines.learned {
                let time = event.at - event.sent;
                backend.record_first_event(event.work, &event.predicted, time, event.at);
            }
        }
    }

    /// How long a request takes at a server that holds it.
    fn run_time(&self, server: usize) -> Duration {
        let held = self.held[server];
        match self.plan.kind {
            Kind::Engines | Kind::SilentEngines => RUN_TIME + RUN_MORE * held,
            Kind::Plain => {
                let waiting = held.saturating_sub(PLAIN_SLOTS);
                PLAIN_TIME.mul_f64(0.5 + fastrand::f64()) + PLAIN_TIME * waiting / PLAIN_SLOTS
            }
        }
    }

    fn choose(&self, number: usize, prompt: &Prompt, now: Instant) -> Option<Choice> {
        let sim_box = &self.boxes[number];
        let criteria = Criteria {
            prompt: (self.plan.kind != Kind::Plain).then_some(prompt),
            copy_ms: Some(0.002),
            tried: &[],
            used: &Used::default(),
            filter: Filter::default(),
            hall: &sim_box.hall,
            not_resumable: false,
            repeatable: false,
            connections: 1_000,
            crowd_factor: BOUND_FACTOR,
            boxes: 1,
        };
        choose::choose(
            &sim_box.fleet,
            &self.service,
            &criteria,
            &sim_box.index,
            now,
        )
    }

    fn judge(&mut self, server: usize, is_first: bool, now: Instant) {
        let mean = f64::from(self.held.iter().sum::<u32>()) / self.plan.servers as f64;
        let above = f64::from(self.held[server]) - load_rule::bound(mean);
        self.outcome.arrivals.push((now - self.start, above > 0.0));
        if now <= self.start + self.plan.settling {
            return;
        }
        self.outcome.judged += 1;
        self.outcome.exceeding += usize::from(above > 0.0);
        self.outcome.exceeding_first += usize::from(above > 0.0 && is_first);
        self.outcome.worst = self.outcome.worst.max(above);
    }

    /// Counts the tokens of a subject that an engine lacks, and returns them.
    fn count_tokens(&mut self, engine: usize, subject: u64, choice: &Choice) -> Missing {
        let is_new_here = self.cached.insert((engine, subject));
        let is_new = self.seen.insert(subject);
        let prefilled = Missing {
            prefilled: TOKENS,
            copied: 0,
        };
        if !is_new_here {
            return Missing::default();
        } else if is_new {
            return prefilled;
        }
        let source = choice.copy_from.as_ref();
        let source = source.map(|backend| self.number_by_key[&backend.key]);
        let is_copied = source.is_some_and(|source| self.cached.contains(&(source, subject)));
        match is_copied {
            true => {
                self.outcome.copied += u64::from(TOKENS);
                Missing {
                    prefilled: 0,
                    copied: TOKENS,
                }
            }
            false => {
                self.outcome.prefilled_again += u64::from(TOKENS);
                prefilled
            }
        }
    }
}

/// Tokens of a subject that an engine lacks.
#[derive(Default, Clone, Copy)]
struct Missing {
    prefilled: u32,
    copied: u32,
}

/// Gives a prompt a part of its own of any usual size; every third prompt has no other.
fn vary(prompt: &mut Prompt) {
    if let Some(own) = prompt.parts.last_mut() {
        own.tokens = fastrand::u32(OWN_TOKENS);
        own.id = fastrand::u64(..);
    }
    if fastrand::u8(..3) == 0 {
        prompt.parts.remove(0);
    }
    prompt.input = prompt.parts.iter().map(|part| part.tokens).sum();
}

/// The sum of all boxes' recent requests, and the sum for each hall.
pub(crate) fn sums(demand: &[Summary], halls: usize) -> (Summary, Vec<Summary>) {
    let mut all = Summary::default();
    let mut by_hall = vec![Summary::default(); halls];
    for (number, summary) in demand.iter().enumerate() {
        all.add(summary);
        by_hall[number % halls].add_services(summary);
    }
    (all, by_hall)
}

/// Sends a box the counts of all other boxes as of some time ago.
fn report(sim_box: &mut SimBox, held: &[u32], keys: &[Key], boxes: usize, now: Instant) {
    let own = sim_box.fleet.running();
    let all = keys.iter().zip(held).map(|(key, held)| {
        let own = own.get(key).copied().unwrap_or(0);
        (*key, held.saturating_sub(own))
    });
    let others = boxes as u32 - 1;
    let sum = Totals {
        boxes: others,
        requests: all.filter(|(_, requests)| *requests > 0).collect(),
        ..Totals::default()
    };
    let changes = sim_box.sent.changes(&sum, COUNTS);
    sim_box.received.apply(others, &changes);
    sim_box
        .fleet
        .set_peer_in_flight(&sim_box.received.requests, others, now);
}
