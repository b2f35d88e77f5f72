//! Many boxes before many servers, all in memory and in steps of time.
//!
//! Each box has its own fleet, index and list of boxes, and decides with the code
//! that a router decides with. A request that is placed runs at its server for a
//! fixed time; then the server tells the box its load, as with an answer. Chance
//! comes from a seed. What a server got in a second is counted over all boxes.

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
use tidepier_relay::fleet::{self, Fleet, InFlight};
use tidepier_relay::health;
use tidepier_relay::traffic::index::Index;

use crate::choice_harness::{address, id};
use crate::harness::{Result, SERVICE};

/// Longest wait for a cold server to bear a request, as of a router.
const COLD_WAIT: Duration = Duration::from_millis(150);
/// Servers that may turn out not to be there before a request is refused while there
/// are others, as of a router.
const ABSENT_HOPEFUL_MAX: usize = 12;
/// Servers that may turn one request away.
const ATTEMPTS: usize = 2;
/// When a refused client comes back where nothing better is known, as of a router.
const SOON: Duration = Duration::from_millis(150);
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

/// What is played.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Boxes of each hall.
    pub(crate) boxes: Vec<u16>,
    /// Servers of each hall.
    pub(crate) servers: Vec<u16>,
    /// Requests a second.
    pub(crate) rate: f64,
    /// Part of them that is about one subject.
    pub(crate) hot: f64,
    /// How long.
    pub(crate) time: Duration,
    /// How long clients come back that were refused; zero: never.
    pub(crate) patience: Duration,
    /// What cold servers bear, and for how long they are cold.
    pub(crate) cold: Cold,
    /// The fleet's bound: so many times that, and so many more.
    pub(crate) bound: (f64, f64),
}

/// One box.
pub(crate) struct Desk {
    pub(crate) name: ids::Box,
    pub(crate) hall: ids::Hall,
    pub(crate) fleet: Fleet,
    pub(crate) roster: Roster,
    index: Index,
}

/// What came of it.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Requests.
    pub(crate) asked: usize,
    /// Refusals: no server took one.
    pub(crate) refused: usize,
    /// Requests whose client gave up after refusals.
    pub(crate) lost: usize,
    /// Time that clients waited to come back, in all.
    pub(crate) waited: Duration,
    /// Connections that found nobody.
    pub(crate) absent: usize,
    /// When each server got a request that it took.
    pub(crate) arrivals: HashMap<ids::Server, Vec<Instant>>,
    /// When each server got a request that it turned away.
    pub(crate) turned: HashMap<ids::Server, Vec<Instant>>,
}

impl Outcome {
    /// Most requests that one of some servers got within a second.
    pub(crate) fn busiest(&self, of: impl Fn(&ids::Server) -> bool) -> usize {
        let chosen = self.arrivals.iter().filter(|(server, _)| of(server));
        let busiest = chosen.map(|(_, at)| within_a_second(at)).max();
        busiest.unwrap_or(0)
    }

    /// Most requests that all servers together took within so long.
    pub(crate) fn busiest_together(&self, time: Duration) -> usize {
        let all: Vec<Instant> = self.arrivals.values().flatten().copied().collect();
        within(&all, time)
    }

    /// Part of the requests that no server took.
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

/// A request that runs: its end, and what counts it. The order is that of ends,
/// the first one greatest.
struct Run {
    end: Instant,
    number: usize,
    desk: usize,
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

/// A refused request that comes back. The order is that of moments.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Back {
    at: Instant,
    subject: u64,
    since: Instant,
}

/// Boxes and servers.
pub(crate) struct Sim {
    pub(crate) plan: Plan,
    pub(crate) start: Instant,
    pub(crate) desks: Vec<Desk>,
    service: ids::Service,
    /// Servers that are not there, and that nobody has told of.
    gone: RefCell<HashSet<ids::Server>>,
    /// Servers that turn all away until a moment, and then ask for so much rest.
    turning: RefCell<HashMap<ids::Server, (Instant, Duration)>>,
    chance: RefCell<fastrand::Rng>,
}

impl Sim {
    /// All boxes know all servers, which are warm, and each other.
    pub(crate) fn new(plan: Plan, seed: u64) -> Result<Rc<Self>> {
        let start = Instant::now();
        let mut desks = Vec::new();
        for (hall, count) in plan.boxes.iter().enumerate() {
            for number in 0..*count {
                desks.push(Desk {
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
            desks,
            service: id(SERVICE)?,
            gone: RefCell::default(),
            turning: RefCell::default(),
            chance: RefCell::new(fastrand::Rng::with_seed(seed)),
        };
        for desk in &sim.desks {
            let boxes = sim.desks.iter().map(|other| (&other.name, &other.hall));
            desk.roster.set_members(&desk.name, boxes, start);
            desk.roster.set_listed(start);
            for server in sim.servers()? {
                desk.fleet.announce(server, start);
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

    /// Has some servers be cold for so much longer, as all boxes are told at once.
    pub(crate) fn chill(&self, of: impl Fn(&Server) -> bool, cold: Duration) -> Result {
        for server in self.servers()?.into_iter().filter(of) {
            for desk in &self.desks {
                let server = Server {
                    cold,
                    ..server.clone()
                };
                desk.fleet.announce(server, self.start);
            }
        }
        Ok(())
    }

    /// Has some servers be gone, without a word.
    pub(crate) fn lose(&self, of: impl Fn(&Server) -> bool) -> Result {
        let lost = self.servers()?.into_iter().filter(of).map(|it| it.id);
        self.gone.borrow_mut().extend(lost);
        Ok(())
    }

    /// Has some servers turn all away for the first `time`, and ask for `rest`.
    pub(crate) fn turn_away(
        &self,
        of: impl Fn(&Server) -> bool,
        time: Duration,
        rest: Duration,
    ) -> Result {
        let turning = self.servers()?.into_iter().filter(of);
        let turning = turning.map(|it| (it.id, (self.start + time, rest)));
        self.turning.borrow_mut().extend(turning);
        Ok(())
    }

    /// Whether a server turns a box away that sends there; the box hears for how long.
    fn turns_away(&self, desk: &Desk, choice: &choose::Choice, now: Instant) -> bool {
        let turning = self.turning.borrow();
        let told = turning.get(&choice.backend.server.id);
        let Some((_, rest)) = told.filter(|(until, _)| now < *until) else {
            return false;
        };
        let answer = Answer {
            status: 503,
            not_run: true,
            retry_after: Some(*rest),
            ..Answer::default()
        };
        desk.fleet.apply_answer(&choice.backend, &answer, now);
        true
    }

    /// The server that comes first for the hot subject.
    pub(crate) fn hot_server(&self) -> Result<ids::Server> {
        let desk = &self.desks[0];
        let choice = self.choose(desk, &prompt(HOT), self.start, &[], Duration::ZERO);
        let choice = choice.ok_or_else(|| eyre::eyre!("no server at all"))?;
        Ok(choice.backend.server.id.clone())
    }

    fn choose(
        &self,
        desk: &Desk,
        prompt: &Prompt,
        now: Instant,
        tried: &[ids::Server],
        patience: Duration,
    ) -> Option<choose::Choice> {
        let (overage, tolerance) = self.plan.bound;
        let gate = Admission {
            limit: Limit::new(self.plan.cold, overage, tolerance),
            roster: &desk.roster,
            max_wait: patience,
        };
        let ask = Criteria {
            prompt: Some(prompt),
            copy_ms: Some(0.007),
            tried,
            filter: Filter {
                gate: Some(gate),
                ..Filter::default()
            },
            hall: &desk.hall,
            not_resumable: false,
            connections: 1_000,
            crowd_factor: 2.0,
        };
        choose::choose(&desk.fleet, &self.service, &ask, &desk.index, now)
    }

    /// Plays it.
    pub(crate) fn play(&self) -> Outcome {
        let mut outcome = Outcome::default();
        let mut runs: BinaryHeap<Run> = BinaryHeap::new();
        let mut held: HashMap<ids::Server, u32> = HashMap::new();
        let count = (self.plan.rate * self.plan.time.as_secs_f64()) as usize;
        let mut back: BinaryHeap<Reverse<Back>> = BinaryHeap::new();
        let mut fresh = 0;
        for number in 0.. {
            let next = self.start + self.plan.time.mul_f64(fresh as f64 / count as f64);
            let returned = back.peek().is_some_and(|Reverse(it)| it.at <= next);
            let returned = returned.then(|| back.pop()).flatten();
            let (now, returned) = match returned {
                Some(Reverse(it)) => (it.at, Some(it)),
                None if fresh == count => break,
                None => (next, None),
            };
            if returned.is_none() {
                fresh += 1;
                outcome.asked += 1;
            }
            while runs.peek().is_some_and(|run| run.end <= now) {
                let Some(run) = runs.pop() else { break };
                self.end(run, &mut held);
            }
            let (desk, subject) = self.request(returned.as_ref().map(|it| it.subject));
            let since = returned.map_or(now, |it| it.since);
            let prompt = prompt(subject);
            let desk_of = &self.desks[desk];
            let Some(choice) = self.there(desk_of, &prompt, now, &mut outcome) else {
                outcome.refused += 1;
                let servers = desk_of.fleet.serving(&self.service);
                let rest = fleet::earliest_backoff(servers.iter(), now);
                let wait = rest.map_or(SOON, |rest| rest.retry_delay(fresh as u8 % 3, now));
                let again = now + wait;
                if self.plan.patience > again - since {
                    back.push(Reverse(Back {
                        at: again,
                        subject,
                        since,
                    }));
                } else {
                    outcome.lost += 1;
                }
                continue;
            };
            let now = choice.cold.unwrap_or(now);
            if choice.cold.is_some() {
                choice.backend.pace.sent(now);
            }
            self.desks[desk]
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
                desk,
                server,
                running: choice.backend.run(choice.prefill_tokens as u64),
            });
        }
        outcome
    }

    /// The first server chosen that is there; `None` after too many that are not,
    /// and where none is left to choose.
    fn there(
        &self,
        desk: &Desk,
        prompt: &Prompt,
        now: Instant,
        outcome: &mut Outcome,
    ) -> Option<choose::Choice> {
        let mut tried = Vec::new();
        while tried.len() <= ABSENT_HOPEFUL_MAX {
            let choice = self.choose(desk, prompt, now, &tried, Duration::ZERO);
            let choice = choice.or_else(|| self.choose(desk, prompt, now, &tried, COLD_WAIT))?;
            let server = &choice.backend.server.id;
            if self.turns_away(desk, &choice, now) {
                let turned = outcome.turned.entry(server.clone()).or_default();
                turned.push(now);
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
            choice.backend.health.sent(now);
            choice.backend.record(health::Outcome::NotListening, now);
            tried.push(server.clone());
        }
        None
    }

    /// A request at some box, about a subject that is given if it comes back.
    fn request(&self, subject: Option<u64>) -> (usize, u64) {
        let mut chance = self.chance.borrow_mut();
        let desk = chance.usize(0..self.desks.len());
        if let Some(subject) = subject {
            return (desk, subject);
        }
        let subject = match chance.f64() < self.plan.hot {
            true => HOT,
            false => chance.u64(0..SUBJECTS),
        };
        (desk, subject)
    }

    /// Ends a request: the box hears the server's load with the answer.
    fn end(&self, run: Run, held: &mut HashMap<ids::Server, u32>) {
        let left = held.entry(run.server.clone()).or_default();
        *left = left.saturating_sub(1);
        let running = *left;
        if let Some(backend) = self.desks[run.desk].fleet.get(&run.server) {
            let load = Load {
                running,
                waiting: 0,
                slots: SLOTS,
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
