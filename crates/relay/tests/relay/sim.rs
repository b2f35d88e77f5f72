//! Simulates many boxes before many servers in memory, with simulated time.
//!
//! Each box has its own fleet, index and list of boxes, and decides with the router's code.
//! A placed request runs at its server for a fixed time; then the server reports its load
//! to the box, as with an answer. Randomness comes from a seed. The requests that a server
//! got in a second are counted over all boxes.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::answer::{Answer, Load};
use tidepier_core::catalog::Cold;
use tidepier_core::request::{Part, Prompt};
use tidepier_core::server::{Server, State};
use tidepier_ids as ids;
use tidepier_relay::choose::filter::{Admission, Filter};
use tidepier_relay::choose::{self, Criteria};
use tidepier_relay::cold::{Limit, Roster};
use tidepier_relay::fleet::used::Used;
use tidepier_relay::fleet::{self, Fleet, InFlight};
use tidepier_relay::health;
use tidepier_relay::traffic::index::Index;

use crate::choice_harness::{address, id};
use crate::harness::{Result, SERVICE};

/// Longest wait until a cold server admits a request, as in the router.
const COLD_WAIT: Duration = Duration::from_millis(150);
/// Number of servers that may turn out to be unreachable before a request is refused while
/// there are others, as in the router.
const UNREACHABLE_MAX: usize = 12;
/// Number of servers that may reject one request.
const ATTEMPTS: usize = 2;
/// When the client of a refused request retries if nothing better is known, as in the
/// router.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Slots of a server.
const SLOTS: u32 = 64;
/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(400);
/// Subjects beside the hot one.
const SUBJECTS: u64 = 600;
/// Tokens of a subject.
const TOKENS: u32 = 2_000;
/// The subject that a part of all requests is about.
const HOT: u64 = 7_777;

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Number of boxes in each hall.
    pub(crate) boxes: Vec<u16>,
    /// Number of servers in each hall.
    pub(crate) servers: Vec<u16>,
    /// Requests a second.
    pub(crate) rate: f64,
    /// Part of them that is about one subject.
    pub(crate) hot: f64,
    /// Simulated time.
    pub(crate) time: Duration,
    /// How long clients retry after a refusal; zero: not at all.
    pub(crate) max_wait: Duration,
    /// What cold servers can take, and how long they are cold.
    pub(crate) cold: Cold,
    /// The fleet's bound: a multiple of that, and so many requests a second more.
    pub(crate) bound: (f64, f64),
}

/// One box.
pub(crate) struct SimBox {
    pub(crate) name: ids::Box,
    pub(crate) hall: ids::Hall,
    pub(crate) fleet: Fleet,
    pub(crate) roster: Roster,
    index: Index,
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Requests.
    pub(crate) asked: usize,
    /// Refusals: no server took the request.
    pub(crate) refused: usize,
    /// Requests that their clients gave up after refusals.
    pub(crate) lost: usize,
    /// Total time that requests waited, including their clients' waits between retries.
    pub(crate) waited: Duration,
    /// Connection attempts to servers that were gone.
    pub(crate) absent: usize,
    /// When each server got a request that it accepted.
    pub(crate) arrivals: HashMap<ids::Server, Vec<Instant>>,
    /// When each server got a request that it rejected.
    pub(crate) rejected: HashMap<ids::Server, Vec<Instant>>,
}

impl Outcome {
    /// The most requests that any of the selected servers got within a second.
    pub(crate) fn busiest(&self, of: impl Fn(&ids::Server) -> bool) -> usize {
        let chosen = self.arrivals.iter().filter(|(server, _)| of(server));
        let busiest = chosen.map(|(_, at)| within_a_second(at)).max();
        busiest.unwrap_or(0)
    }

    /// The most requests that all servers together accepted within this time.
    pub(crate) fn busiest_together(&self, time: Duration) -> usize {
        let all: Vec<Instant> = self.arrivals.values().flatten().copied().collect();
        within(&all, time)
    }

    /// Share of the requests that no server took.
    pub(crate) fn refused_part(&self) -> f64 {
        self.refused as f64 / self.asked.max(1) as f64
    }
}

fn within_a_second(at: &[Instant]) -> usize {
    within(at, Duration::from_secs(1))
}

fn within(at: &[Instant], time: Duration) -> usize {
    let mut at = at.to_vec();
    at.sort_unstable();
    let until = |first: &Instant| *first + time;
    let counts = at.iter().enumerate().map(|(place, first)| {
        let end = until(first);
        at[place..].iter().take_while(|later| **later < end).count()
    });
    counts.max().unwrap_or(0)
}

/// A request that runs, with the guard that counts it. The order is that of the end times,
/// with the earliest the greatest.
struct Run {
    end: Instant,
    number: usize,
    box_index: usize,
    server: ids::Server,
    running: InFlight,
}

impl PartialEq for Run {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
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
        (other.end, other.number).cmp(&(self.end, self.number))
    }
}

/// A refused request that is retried. The order is that of the times.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Retry {
    at: Instant,
    subject: u64,
    since: Instant,
}

/// The simulated boxes and servers.
pub(crate) struct Sim {
    pub(crate) plan: Plan,
    pub(crate) start: Instant,
    pub(crate) sim_boxes: Vec<SimBox>,
    service: ids::Service,
    /// Servers that are gone, without a report to any box.
    gone: RefCell<HashSet<ids::Server>>,
    /// Servers that reject all requests until a time, with the back-off that they request.
    rejecting: RefCell<HashMap<ids::Server, (Instant, Duration)>>,
    rng: RefCell<fastrand::Rng>,
}

impl Sim {
    /// All boxes know all servers, which are warm, and each other.
    pub(crate) fn new(plan: Plan, seed: u64) -> Result<Rc<Self>> {
        let start = Instant::now();
        let mut sim_boxes = Vec::new();
        for (hall, count) in plan.boxes.iter().enumerate() {
            for number in 0..*count {
                sim_boxes.push(SimBox {
                    name: id(&format!("box-{hall}-{number}"))?,
                    hall: id(&format!("hall-{hall}"))?,
                    fleet: Fleet::default(),
                    roster: Roster::default(),
                    index: Index::default(),
                });
            }
        }
        let sim = Self {
            plan,
            start,
            sim_boxes,
            service: id(SERVICE)?,
            gone: RefCell::default(),
            rejecting: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        };
        for sim_box in &sim.sim_boxes {
            let boxes = sim.sim_boxes.iter().map(|other| (&other.name, &other.hall));
            sim_box.roster.set_members(&sim_box.name, boxes, start);
            sim_box.roster.set_listed(start);
            for server in sim.servers()? {
                sim_box.fleet.announce(server, start);
            }
        }
        Ok(Rc::new(sim))
    }

    /// The servers, warm.
    pub(crate) fn servers(&self) -> Result<Vec<Server>> {
        let mut servers = Vec::new();
        for (hall, count) in self.plan.servers.iter().enumerate() {
            for number in 0..*count {
                servers.push(Server {
                    id: id(&format!("i-{hall}-{number}"))?,
                    born: None,
                    service: self.service.clone(),
                    address: address(number),
                    hall: id(&format!("hall-{hall}"))?,
                    slots: SLOTS,
                    release: None,
                    state: State::Ready,
                    cold: Duration::ZERO,
                });
            }
        }
        Ok(servers)
    }

    /// Makes some servers cold for this long, and announces it to all boxes at once.
    pub(crate) fn chill(&self, of: impl Fn(&Server) -> bool, cold: Duration) -> Result {
        for server in self.servers()?.into_iter().filter(of) {
            for sim_box in &self.sim_boxes {
                let server = Server {
                    cold,
                    ..server.clone()
                };
                sim_box.fleet.announce(server, self.start);
            }
        }
        Ok(())
    }

    /// Makes some servers disappear without a report to any box.
    pub(crate) fn lose(&self, of: impl Fn(&Server) -> bool) -> Result {
        let lost = self.servers()?.into_iter().filter(of).map(|it| it.id);
        self.gone.borrow_mut().extend(lost);
        Ok(())
    }

    /// Makes some servers reject all requests for the first `time`, and request a back-off
    /// of `backoff`.
    pub(crate) fn reject(
        &self,
        of: impl Fn(&Server) -> bool,
        time: Duration,
        backoff: Duration,
    ) -> Result {
        let rejecting = self.servers()?.into_iter().filter(of);
        let rejecting = rejecting.map(|it| (it.id, (self.start + time, backoff)));
        self.rejecting.borrow_mut().extend(rejecting);
        Ok(())
    }

    /// Whether the chosen server rejects the request. If so, the box learns of the
    /// requested back-off.
    fn rejects(&self, sim_box: &SimBox, choice: &choose::Choice, now: Instant) -> bool {
        let rejecting = self.rejecting.borrow();
        let rejection = rejecting.get(&choice.backend.server.id);
        let Some((_, backoff)) = rejection.filter(|(until, _)| now < *until) else {
            return false;
        };
        let answer = Answer {
            status: 503,
            not_executed: true,
            retry_after: Some(*backoff),
            ..Answer::default()
        };
        sim_box.fleet.apply_answer(&choice.backend, &answer, now);
        true
    }

    /// The server that ranks first for the hot subject.
    pub(crate) fn hot_server(&self) -> Result<ids::Server> {
        let sim_box = &self.sim_boxes[0];
        let choice = self.choose(sim_box, &prompt(HOT), self.start, &[], Duration::ZERO);
        let choice = choice.ok_or_else(|| eyre::eyre!("no server at all"))?;
        Ok(choice.backend.server.id.clone())
    }

    fn choose(
        &self,
        sim_box: &SimBox,
        prompt: &Prompt,
        now: Instant,
        tried: &[ids::Server],
        max_wait: Duration,
    ) -> Option<choose::Choice> {
        let (overage, tolerance) = self.plan.bound;
        let gate = Admission {
            limit: Limit::new(self.plan.cold, overage, tolerance),
            roster: &sim_box.roster,
            max_wait,
        };
        let criteria = Criteria {
            prompt: Some(prompt),
            copy_ms: Some(0.007),
            tried,
            used: &Used::default(),
            filter: Filter {
                gate: Some(gate),
                ..Filter::default()
            },
            hall: &sim_box.hall,
            not_resumable: false,
            repeatable: false,
            connections: 1_000,
            crowd_factor: 2.0,
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

    /// Runs the simulation.
    pub(crate) fn play(&self) -> Outcome {
        let mut outcome = Outcome::default();
        let mut runs: BinaryHeap<Run> = BinaryHeap::new();
        let mut held: HashMap<ids::Server, u32> = HashMap::new();
        let count = (self.plan.rate * self.plan.time.as_secs_f64()) as usize;
        let mut retries: BinaryHeap<Reverse<Retry>> = BinaryHeap::new();
        let mut first_attempts = 0;
        for number in 0.. {
            let next = self.start + self.plan.time.mul_f64(first_attempts as f64 / count as f64);
            let returned = retries.peek().is_some_and(|Reverse(it)| it.at <= next);
            let returned = returned.then(|| retries.pop()).flatten();
            let (now, returned) = match returned {
                Some(Reverse(it)) => (it.at, Some(it)),
                None if first_attempts == count => break,
                None => (next, None),
            };
            if returned.is_none() {
                first_attempts += 1;
                outcome.asked += 1;
            }
            while runs.peek().is_some_and(|run| run.end <= now) {
                let Some(run) = runs.pop() else { break };
                self.end(run, &mut held);
            }
            let (box_index, subject) = self.request(returned.as_ref().map(|it| it.subject));
            let since = returned.map_or(now, |it| it.since);
            let prompt = prompt(subject);
            let sim_box = &self.sim_boxes[box_index];
            let Some(choice) = self.accepted(sim_box, &prompt, now, &mut outcome) else {
                outcome.refused += 1;
                let servers = sim_box.fleet.serving(&self.service);
                let backoff = fleet::earliest_backoff(servers.iter(), now);
                let wait = backoff.map_or(DEFAULT_RETRY_DELAY, |backoff| {
                    backoff.retry_delay(first_attempts as u8 % 3, now)
                });
                let again = now + wait;
                if self.plan.max_wait > again - since {
                    retries.push(Reverse(Retry {
                        at: again,
                        subject,
                        since,
                    }));
                } else {
                    outcome.lost += 1;
                }
                continue;
            };
            let now = choice.admission_time.unwrap_or(now);
            if choice.admission_time.is_some() {
                choice.backend.window.sent(now);
            }
            self.sim_boxes[box_index]
                .index
                .record_local(&prompt, choice.backend.key, now);
            let server = choice.backend.server.id.clone();
            outcome.waited += now - since;
            outcome
                .arrivals
                .entry(server.clone())
                .or_default()
                .push(now);
            *held.entry(server.clone()).or_default() += 1;
            runs.push(Run {
                end: now + RUN_TIME,
                number,
                box_index,
                server,
                running: choice.backend.run(choice.prefill_tokens as u64),
            });
        }
        outcome
    }

    /// Returns the first chosen server that is reachable and accepts the request; `None`
    /// after too many unreachable servers or rejections, or if no server is left.
    fn accepted(
        &self,
        sim_box: &SimBox,
        prompt: &Prompt,
        now: Instant,
        outcome: &mut Outcome,
    ) -> Option<choose::Choice> {
        let mut tried = Vec::new();
        while tried.len() <= UNREACHABLE_MAX {
            let choice = self.choose(sim_box, prompt, now, &tried, Duration::ZERO);
            let choice = choice.or_else(|| self.choose(sim_box, prompt, now, &tried, COLD_WAIT))?;
            let server = &choice.backend.server.id;
            if self.rejects(sim_box, &choice, now) {
                let rejected = outcome.rejected.entry(server.clone()).or_default();
                rejected.push(now);
                tried.push(server.clone());
                if tried.len() >= ATTEMPTS {
                    return None;
                }
                continue;
            }
            if !self.gone.borrow().contains(server) {
                return Some(choice);
            }
            outcome.absent += 1;
            choice.backend.health.record_sent(now);
            choice
                .backend
                .record(health::Outcome::NotListening, now, now);
            tried.push(server.clone());
        }
        None
    }

    /// Picks a random box and, unless it is a retry with a given subject, a subject.
    fn request(&self, subject: Option<u64>) -> (usize, u64) {
        let mut rng = self.rng.borrow_mut();
        let box_index = rng.usize(0..self.sim_boxes.len());
        if let Some(subject) = subject {
            return (box_index, subject);
        }
        let subject = match rng.f64() < self.plan.hot {
            true => HOT,
            false => rng.u64(0..SUBJECTS),
        };
        (box_index, subject)
    }

    /// Ends a request: the box learns the server's load from the answer.
    fn end(&self, run: Run, held: &mut HashMap<ids::Server, u32>) {
        let left = held.entry(run.server.clone()).or_default();
        *left = left.saturating_sub(1);
        let running = *left;
        if let Some(backend) = self.sim_boxes[run.box_index].fleet.get(&run.server) {
            let load = Load {
                running,
                waiting: 0,
                slots: SLOTS,
                slowdown: None,
            };
            backend.record_load(load, run.end);
        }
        drop(run.running);
    }
}

/// A prompt about a subject.
fn prompt(subject: u64) -> Prompt {
    let own = Part {
        id: subject + 1_000_000,
        tokens: 100,
    };
    let shared = Part {
        id: subject,
        tokens: TOKENS,
    };
    Prompt {
        input: TOKENS + own.tokens,
        output: 50,
        hint: None,
        parts: vec![shared, own],
    }
}
