//! Servers that fail together for a while and are sound again, under a steady load.
//!
//! What each server held when a request reached it is compared with the mean of all servers
//! at that moment, from the time on at which they are sound again.

use std::cell::RefCell;
use std::fmt;
use std::time::{Duration, Instant};

use eyre::eyre;
use futures_lite::future;
use smol::{Task, Timer};
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::server::{Fault, Server, Settings};
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::Client;

use crate::box_harness::{self, TestBox};
use crate::harness::{ms, post, run, server_settings, Executor, Result};
use crate::load::{self, arrivals, Arrival};
use crate::load_rule::Excess;

/// Time of load before the servers fail.
const WARM_UP: Duration = Duration::from_millis(2_500);
/// Time of load after they are sound again.
const AFTER: Duration = Duration::from_millis(9_500);
/// Window in which requests are counted: that of the users' rule.
const WINDOW: Duration = Duration::from_secs(5);
/// Interval between two boxes that start again.
const RESTART_INTERVAL: Duration = Duration::from_millis(700);

/// What the servers do while they are harmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Harm {
    /// They answer nothing at all, and go on with what they have got later.
    Dark,
    /// They take requests and never answer them; health checks are answered.
    Hang,
    /// They run requests and answer 500.
    Failure,
    /// They reject requests.
    Rejection,
    /// They reset connections.
    Reset,
    /// They break answers off half-way.
    BreakOff,
    /// They are this many times as slow.
    Slow(u32),
}

impl Harm {
    fn begin(self, server: &Server) {
        match self {
            Self::Dark => server.dark(true),
            Self::Hang => server.fault(Fault::Hang, u32::MAX),
            Self::Failure => server.fault(Fault::Failure, u32::MAX),
            Self::Rejection => server.fault(Fault::Shed, u32::MAX),
            Self::Reset => server.fault(Fault::Reset, u32::MAX),
            Self::BreakOff => server.fault(Fault::BreakOff, u32::MAX),
            Self::Slow(factor) => server.slow(f64::from(factor)),
        }
    }
}

/// What kind of servers there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Model engines, of which this many in ten requests are about the same subject.
    Engines(usize),
    /// Servers of a plain service.
    Plain,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) kind: Kind,
    /// Number of servers.
    pub(crate) servers: u32,
    /// Number of them that are harmed, the first ones.
    pub(crate) harmed: usize,
    pub(crate) harm: Harm,
    /// For how long.
    pub(crate) time: Duration,
    /// Number of boxes.
    pub(crate) boxes: usize,
    /// Interval between requests.
    pub(crate) gap: Duration,
    /// Whether the boxes start again, one after the other, from half of the harm on.
    pub(crate) restarts: bool,
}

impl Scenario {
    /// Three boxes before three engines, two of which are harmed for 3 s. An engine holds 13
    /// requests in the mean.
    pub(crate) fn engines(harm: Harm) -> Self {
        Self {
            kind: Kind::Engines(0),
            servers: 3,
            harmed: 2,
            harm,
            time: Duration::from_secs(3),
            boxes: 3,
            gap: Duration::from_micros(7_350),
            restarts: false,
        }
    }

    /// The same before three servers of a plain service, of which each holds 4 requests in the
    /// mean and has 16 slots.
    pub(crate) fn plain(harm: Harm) -> Self {
        Self {
            kind: Kind::Plain,
            gap: Duration::from_micros(7_350),
            ..Self::engines(harm)
        }
    }

    fn server(&self, number: u32) -> Settings {
        match self.kind {
            Kind::Engines(_) => load::engine(number),
            Kind::Plain => Settings {
                hall: format!("hall-{}", number % 2 + 1),
                slots: 16,
                queue: 48,
                work: ms(90),
                reports_load: false,
                ..server_settings(number)
            },
        }
    }

    fn call(&self, number: usize) -> Call {
        match self.kind {
            Kind::Engines(hot) => load::call(number, hot),
            Kind::Plain => post("/r/x", &format!("{number}")),
        }
    }

    /// Plays it.
    pub(crate) fn play(self) -> Result<Outcome> {
        let mut outcome = None;
        run(async |executor| {
            outcome = Some(play(&executor, self).await?);
            Ok(())
        })?;
        outcome.ok_or_else(|| eyre!("not played"))
    }
}

/// How one request ended.
#[derive(Debug)]
pub(crate) struct Served {
    at: Instant,
    answer: Option<Answer>,
}

impl Served {
    fn is_served(&self) -> bool {
        let served = |it: &Answer| it.status == 200 && it.complete;
        self.answer.as_ref().is_some_and(served)
    }

    fn time(&self) -> Duration {
        self.answer.as_ref().map_or(Duration::MAX, |it| it.elapsed)
    }
}

/// What was played.
pub(crate) struct Outcome {
    arrivals: Vec<Arrival>,
    served: Vec<Served>,
    harmed: Instant,
    sound: Instant,
}

impl Outcome {
    /// Requests over the bound in the window that begins this long after the servers are sound
    /// again.
    fn excess(&self, after: Duration) -> Excess {
        let from = self.sound + after;
        let within = |it: &&Arrival| it.at() >= from && it.at() < from + WINDOW;
        let arrivals: Vec<&Arrival> = self.arrivals.iter().filter(within).collect();
        Excess {
            over: arrivals.iter().filter(|it| it.exceeds()).count(),
            all: arrivals.len(),
        }
    }

    /// The worst window that begins this long after the servers are sound again or later.
    pub(crate) fn worst(&self, after: Duration) -> Excess {
        let since =
            |it: &Arrival| Some((it.at().checked_duration_since(self.sound)?, it.exceeds()));
        let mut arrivals: Vec<(Duration, bool)> = self.arrivals.iter().filter_map(since).collect();
        arrivals.sort();
        Excess::worst(&arrivals, after)
    }

    /// When the last request over the bound came, after the servers were sound again.
    fn last(&self) -> Option<Duration> {
        let over = self.arrivals.iter().filter(|it| it.exceeds());
        let since = over.filter_map(|it| it.at().checked_duration_since(self.sound));
        since.max()
    }

    /// Requests that were not served, all requests, and in ms the median of their times and the
    /// time that 99 in 100 did not exceed, of those sent in a period.
    fn callers(&self, from: Instant, to: Instant) -> (usize, usize, u128, u128) {
        let sent = self.served.iter().filter(|it| it.at >= from && it.at < to);
        let sent: Vec<&Served> = sent.collect();
        let served = sent.iter().filter(|it| it.is_served());
        let mut times: Vec<Duration> = served.map(|it| it.time()).collect();
        times.sort();
        let part = |share: usize| times.get(times.len() * share / 100);
        let part = |share| part(share).map_or(0, Duration::as_millis);
        (sent.len() - times.len(), sent.len(), part(50), part(99))
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "over the bound")?;
        for seconds in 0..4 {
            let Excess { over, all } = self.excess(Duration::from_secs(seconds));
            write!(f, " {seconds} s: {over} of {all},")?;
        }
        write!(f, " last at {:.1?};", self.last().unwrap_or_default())?;
        let harmed = self.callers(self.harmed, self.sound);
        let after = self.callers(self.sound, self.sound + WINDOW);
        write!(f, " not served, all, median, p99: {harmed:?} {after:?}")
    }
}

/// Sends requests to boxes that are ready, in turn.
async fn load(
    executor: &Executor,
    scenario: Scenario,
    boxes: &RefCell<Vec<TestBox>>,
    time: Duration,
) -> Vec<Task<Served>> {
    let mut calls = Vec::new();
    let start = Instant::now();
    let mut at = start;
    while at < start + time {
        let number = calls.len();
        let front = {
            let boxes = boxes.borrow();
            let in_turn = (0..boxes.len()).map(|it| &boxes[(number + it) % boxes.len()]);
            let mut ready = in_turn.filter(|it| it.is_ready());
            ready.next().map(|it| it.router.client_address())
        };
        let call = scenario.call(number);
        calls.push(executor.spawn(async move {
            let at = Instant::now();
            let answer = match front {
                Some(front) => Client::once(front, &call).await.ok(),
                None => None,
            };
            Served { at, answer }
        }));
        at += scenario.gap;
        Timer::at(at).await;
    }
    calls
}

/// Starts each box again, one after the other; what an old one has got it still answers.
async fn restart(
    executor: &Executor,
    site: &Site,
    boxes: &RefCell<Vec<TestBox>>,
) -> Result<Vec<TestBox>> {
    let mut ended = Vec::new();
    let count = boxes.borrow().len();
    for number in 0..count {
        let (name, hall) = (format!("box-{number}"), hall(number));
        let started = TestBox::start(executor, site, &name, hall, 1_000).await?;
        ended.push(std::mem::replace(&mut boxes.borrow_mut()[number], started));
        Timer::after(RESTART_INTERVAL).await;
    }
    Ok(ended)
}

fn hall(number: usize) -> &'static str {
    match number % 3 {
        2 => "hall-2",
        _ => "hall-1",
    }
}

async fn play(executor: &Executor, scenario: Scenario) -> Result<Outcome> {
    let site = match scenario.kind {
        Kind::Engines(_) => load::engines_site()?,
        Kind::Plain => box_harness::site_with_keys()?,
    };
    let servers: std::io::Result<Vec<Server>> = (1..=scenario.servers)
        .map(|number| site.server(scenario.server(number)))
        .collect();
    let servers = servers?;
    let halls: Vec<&str> = (0..scenario.boxes).map(hall).collect();
    let boxes = box_harness::start_boxes_in(executor, &site, &halls).await?;
    let boxes = RefCell::new(boxes);
    let harmed = Instant::now() + WARM_UP;
    let sound = harmed + scenario.time;
    let time = WARM_UP + scenario.time + AFTER;
    let harm = async {
        Timer::at(harmed).await;
        let harmed = &servers[..scenario.harmed];
        harmed.iter().for_each(|it| scenario.harm.begin(it));
        Timer::at(sound).await;
        harmed.iter().for_each(Server::heal);
    };
    let restarts = async {
        match scenario.restarts {
            true => {
                Timer::at(harmed + scenario.time / 2).await;
                restart(executor, &site, &boxes).await
            }
            false => Ok(Vec::new()),
        }
    };
    let load = load(executor, scenario, &boxes, time);
    let (calls, (_, ended)) = future::zip(load, future::zip(harm, restarts)).await;
    let _ended = ended?;
    let mut served = Vec::new();
    for call in calls {
        served.push(call.await);
    }
    Ok(Outcome {
        arrivals: arrivals(&servers),
        served,
        harmed,
        sound,
    })
}
