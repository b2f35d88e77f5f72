//! What is simulated of a server that stands still, and how the users' rule judges it.

use std::time::Duration;

use crate::load_rule::{self, Excess};
use crate::spread_harness::NOTICE_TIME;

/// Time from the start that is not judged.
const SETTLING: Duration = Duration::from_secs(1);

/// The kind of servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Kind {
    /// Servers of a plain service: 6 slots, 24 places in the queue, 30 ms for a request, and
    /// five times as long for one in a hundred.
    Plain,
    /// Model engines: 64 slots; the first event comes after 40 to 250 ms, the last one
    /// after 0.7 s.
    Engines,
}

impl Kind {
    pub(crate) fn slots(self) -> usize {
        match self {
            Kind::Plain => 6,
            Kind::Engines => 64,
        }
    }

    pub(crate) fn queue(self) -> usize {
        match self {
            Kind::Plain => 24,
            Kind::Engines => 192,
        }
    }

    /// Time after which a box gives a request up: the time-out of its route.
    pub(crate) fn timeout(self) -> Duration {
        match self {
            Kind::Plain => Duration::from_millis(1_100),
            Kind::Engines => Duration::from_millis(4_000),
        }
    }

    /// Time until an answer begins, and until it ends, at a server that holds `held`
    /// requests.
    pub(crate) fn run_time(self, held: usize) -> (Duration, Duration) {
        let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        match self {
            Kind::Plain => {
                let tail = if fastrand::u8(..100) == 0 { 5.0 } else { 1.0 };
                let time = ms((30.0 * tail * (0.5 + fastrand::f64())).min(220.0));
                (time, time)
            }
            Kind::Engines => {
                let prefill = if fastrand::u8(..10) < 3 { 150.0 } else { 0.0 };
                let first = 40.0 + prefill * (0.6 + 0.8 * fastrand::f64()) + 2.0 * held as f64;
                (ms(first), ms(first + 600.0 + 30.0 * held as f64))
            }
        }
    }
}

/// What happens to one of the servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Trouble {
    /// Nothing.
    None,
    /// Its process stands still: what reaches it waits until it goes on.
    Standstill,
    /// Its requests do not go on, but it rejects those that its queue does not hold.
    Stuck,
    /// Requests that begin meanwhile take this many times as long.
    Slow(f64),
    /// This share of its answers is lost.
    Mute(f64),
    /// What boxes of the first hall send it is lost.
    Way,
}

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) kind: Kind,
    pub(crate) boxes: usize,
    pub(crate) servers: usize,
    /// Halls that boxes and servers are divided between.
    pub(crate) halls: usize,
    /// Round-trip time to another hall.
    pub(crate) round_trip: Duration,
    /// Share of the requests that boxes of the first hall get; `None`: as the others.
    pub(crate) first_hall: Option<f64>,
    /// Requests a second for each server.
    pub(crate) rate: f64,
    pub(crate) trouble: Trouble,
    /// When the trouble begins, and how long it lasts.
    pub(crate) from: Duration,
    pub(crate) lasts: Duration,
    /// Time before which there are no requests.
    pub(crate) quiet: Duration,
    /// In each second, every fifth box stands still for this long, and then sends all
    /// requests that came meanwhile.
    pub(crate) pause: Duration,
    /// Simulated time.
    pub(crate) time: Duration,
    /// Whether boxes hear of each other.
    pub(crate) reports: bool,
    /// Every box of which the number is a multiple of this hears of none; 0: all hear.
    pub(crate) deaf: usize,
    /// Time that a message takes from a box to the hub of its hall, and back.
    pub(crate) notice: Duration,
    /// When all boxes start again and know nothing, if they do.
    pub(crate) restart: Option<Duration>,
}

impl Plan {
    /// 78 boxes of three halls, a millisecond apart, before three plain servers, one of
    /// which stands still for 4.5 s.
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            kind: Kind::Plain,
            boxes: 78,
            servers: 3,
            halls: 3,
            round_trip: Duration::from_millis(1),
            first_hall: None,
            rate,
            trouble: Trouble::Standstill,
            from: Duration::from_millis(6_000),
            lasts: Duration::from_millis(4_500),
            quiet: Duration::ZERO,
            pause: Duration::ZERO,
            time: Duration::from_millis(14_000),
            reports: true,
            deaf: 0,
            notice: NOTICE_TIME,
            restart: None,
        }
    }
}

/// The result of a simulation.
#[derive(Debug, Default, Clone, PartialEq)]
pub(crate) struct Outcome {
    /// When each judged request reached its server, and whether that was over the bound.
    arrivals: Vec<(Duration, bool)>,
    /// Requests that were answered.
    pub(crate) answered: usize,
    /// Requests that were given up.
    pub(crate) given_up: usize,
    /// Requests that servers rejected for good.
    pub(crate) rejected: usize,
    /// Requests that got no server.
    pub(crate) refused: usize,
    /// Requests that reached the disturbed server while it was.
    pub(crate) reached: usize,
    /// Messages by which hubs told boxes of a change in what stands still.
    pub(crate) told: usize,
    /// Health checks of servers that stood still.
    pub(crate) probes: usize,
    /// Health checks before requests.
    pub(crate) checks: usize,
}

impl Outcome {
    /// Records that a request reaches a server that holds `held` of all requests that a number
    /// of servers hold.
    pub(crate) fn record_arrival(&mut self, at: Duration, held: usize, all: usize, servers: usize) {
        let is_over = load_rule::is_over(held, all, servers);
        self.arrivals.push((at, is_over));
    }

    /// Requests over the bound in the worst window.
    pub(crate) fn worst(&self) -> Excess {
        Excess::worst(&self.arrivals, SETTLING)
    }
}
