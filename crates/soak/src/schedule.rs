//! What a seed decides: the shape of the fleet, and each fault with its time.
//!
//! A schedule is a function of its seed alone. It names boxes and servers by
//! numbers: see [`crate::fault`].

use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tidepier_relay_standin::server as standin;
use tidepier_relay_standin::store::Down;

use crate::fault::{Config, Fault, Link, Return, Server, Signal, Store};
use crate::plan::SERVER_HALLS;
use crate::way::{Direction, Harm};

/// Fewest and most boxes.
const BOXES: RangeInclusive<usize> = 2..=4;
/// Fewest and most faults.
const STEPS: RangeInclusive<usize> = 6..=14;
/// Numbers of servers; more than there are, so that all may be hit.
const SERVER_NUMBERS: Range<usize> = 0..64;
/// The time within which faults begin, in ms.
const SPAN_MS: Range<u64> = 0..10_000;
/// How long a fault lasts, in ms: short of and beyond the times after which
/// boxes doubt each other.
const LASTS_MS: Range<u64> = 100..4_500;
/// How long a box is blind for a change, in ms: beyond the bound on keys.
const BLIND_MS: Range<u64> = 5_000..7_500;
/// Time from the beginning of the blindness to the change.
const BLIND_BEFORE: Duration = Duration::from_millis(300);
/// How often halls are emptied in a run where they are.
const EMPTIED: usize = 3;
/// Makes the choice of emptied halls another one than that of the other faults.
const EMPTIED_SEED: u64 = 0x656d_7074_6965_6421;
/// Requests that end their servers in a run where there are some.
const CRASHING: usize = 2;
/// Makes their choice another one than that of the other faults.
const CRASHING_SEED: u64 = 0x6372_6173_6869_6e67;
/// How long they are sent, in ms: beyond the time after which all boxes know.
const INSIST_MS: Range<u64> = 6_500..9_000;
/// How often machines are suspended in a run where they are.
const SUSPENDED: usize = 3;
/// Makes that choice another one.
const SUSPENDED_SEED: u64 = 0x7375_7370_656e_6465;
/// How long a machine is suspended, in ms: beyond the bound on keys.
const SUSPENDED_MS: Range<u64> = 500..7_000;
/// Servers that leave by their answers alone in a run where some do, and those that ask
/// for rest.
const SAYING: usize = 2;
const RESTING: usize = 4;
/// Makes that choice another one.
const WORDS_SEED: u64 = 0x7761_6e74_7265_7374;
/// How long servers turn requests away that ask for rest, in ms: up to several rests.
const TURNING_MS: Range<u64> = 300..5_000;
/// The rest that they ask for, in ms.
const REST_MS: Range<u64> = 700..4_000;
/// How often the store goes back to a copy in a run where it does.
const RETURNS: usize = 3;
/// Makes that choice another one.
const RETURNS_SEED: u64 = 0x7265_7475_726e_6564;
/// How long the store is away before it does, in ms.
const AWAY_MS: Range<u64> = 0..2_500;
/// How old the copy is, in ms.
const BEHIND_MS: Range<u64> = 300..8_000;
/// Time until the operator writes again, in ms: before the store's word counts again.
const OPERATOR_MS: Range<u64> = 0..2_800;
/// Time until a server does, in ms.
const SERVERS_MS: Range<u64> = 0..2_000;
/// Time from one return to another one in quick succession, in ms.
const AGAIN_MS: Range<u64> = 100..1_500;
/// Delays of a slow way or store, in ms.
const DELAY_MS: Range<u64> = 5..600;

/// A fault with its time, counted from the beginning of the faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// All that a seed decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// The seed.
    pub seed: u64,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of halls that they are spread over.
    pub halls: usize,
    /// The faults, in the order of their times.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// The schedule of a seed.
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let boxes = rng.random_range(BOXES);
        let halls = rng.random_range(1..=2);
        let count = rng.random_range(STEPS);
        let mut steps: Vec<Step> = (0..count).map(|_| step(&mut rng, boxes)).collect();
        let revoked = |step: &&Step| step.fault == Fault::Config(Config::Revoke);
        let blinding = steps.iter().filter(revoked);
        let blinding: Vec<Step> = blinding.map(|step| blind(&mut rng, step, boxes)).collect();
        steps.extend(blinding);
        steps.sort_by_key(|step| step.at);
        Self {
            seed,
            boxes,
            halls,
            steps,
        }
    }

    /// The same, and halls of servers are emptied beside it: what a seed decided
    /// before stays as it is.
    pub fn with_emptied_halls(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ EMPTIED_SEED);
        let steps = (0..EMPTIED).map(|_| Step {
            at: ms(&mut rng, SPAN_MS),
            lasts: ms(&mut rng, LASTS_MS),
            fault: Fault::Config(Config::EmptyHall(rng.random_range(0..SERVER_HALLS))),
        });
        self.with(steps)
    }
}

impl Schedule {
    /// The same, and requests end their servers beside it.
    pub fn with_crashing_requests(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ CRASHING_SEED);
        let first: usize = rng.random_range(0..4);
        let steps = (0..CRASHING).map(|number| Step {
            at: ms(&mut rng, SPAN_MS),
            lasts: ms(&mut rng, INSIST_MS),
            fault: Fault::Crashing(first + number),
        });
        self.with(steps)
    }

    /// The same, and machines are suspended beside it.
    pub fn with_suspensions(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ SUSPENDED_SEED);
        let boxes = self.boxes;
        let steps = (0..SUSPENDED).map(|_| Step {
            at: ms(&mut rng, SPAN_MS),
            lasts: ms(&mut rng, SUSPENDED_MS),
            fault: Fault::Process(rng.random_range(0..boxes), Signal::Suspend),
        });
        self.with(steps)
    }

    /// The same, and servers say in answers that they leave or ask for rest, some of the
    /// former while the store is away.
    pub fn with_words(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ WORDS_SEED);
        let mut steps: Vec<Step> = Vec::new();
        for number in 0..SAYING + RESTING {
            let says = number < SAYING;
            let fault = match says {
                true => Server::Say,
                false => Server::Rest(ms(&mut rng, REST_MS)),
            };
            steps.push(Step {
                at: ms(&mut rng, SPAN_MS),
                lasts: ms(&mut rng, if says { LASTS_MS } else { TURNING_MS }),
                fault: Fault::Server(rng.random_range(SERVER_NUMBERS), fault),
            });
        }
        let down = pick(&mut rng, &[Down::Silent, Down::Busy, Down::Reset]);
        steps.push(Step {
            at: steps[0].at.saturating_sub(BLIND_BEFORE),
            lasts: ms(&mut rng, BLIND_MS),
            fault: Fault::Store(Store::Down(down)),
        });
        self.with(steps.into_iter())
    }

    /// The same, and the store goes back to copies of itself: the last time soon after the
    /// one before, at the moment of a change, and beside a box that is killed.
    pub fn with_returns(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ RETURNS_SEED);
        let boxes = self.boxes;
        let mut steps: Vec<Step> = Vec::new();
        for number in 0..RETURNS {
            let at = match steps.last() {
                Some(last) if number + 1 == RETURNS => {
                    last.at + last.lasts + ms(&mut rng, AGAIN_MS)
                }
                _ => ms(&mut rng, SPAN_MS),
            };
            let away = pick(&mut rng, &[Some(Down::Reset), Some(Down::Silent), None]);
            steps.push(Step {
                at,
                lasts: ms(&mut rng, AWAY_MS),
                fault: Fault::Store(Store::Return(Return {
                    away,
                    behind: ms(&mut rng, BEHIND_MS),
                    operator: ms(&mut rng, OPERATOR_MS),
                    servers: ms(&mut rng, SERVERS_MS),
                })),
            });
        }
        let first = steps[0].at;
        for fault in [
            Fault::Config(Config::Revoke),
            Fault::Process(rng.random_range(0..boxes), Signal::Kill),
        ] {
            let lasts = ms(&mut rng, LASTS_MS);
            steps.push(Step {
                at: first,
                lasts,
                fault,
            });
        }
        self.with(steps.into_iter())
    }

    /// The same with so many boxes, of which its faults touch the first ones.
    pub fn with_boxes(self, boxes: usize) -> Self {
        Self { boxes, ..self }
    }

    /// The same with more steps: what the seed decided before stays as it is.
    fn with(self, more: impl Iterator<Item = Step>) -> Self {
        let mut steps = self.steps;
        steps.extend(more);
        steps.sort_by_key(|step| step.at);
        Self { steps, ..self }
    }
}

fn ms(rng: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn step(rng: &mut ChaCha8Rng, boxes: usize) -> Step {
    let at = ms(rng, SPAN_MS);
    let lasts = ms(rng, LASTS_MS);
    let fault = match rng.random_range(0..20) {
        0..5 => Fault::Link(link(rng, boxes), harm(rng)),
        5..10 => Fault::Process(rng.random_range(0..boxes), signal(rng)),
        10..13 => Fault::Store(store(rng)),
        13..16 => Fault::Server(rng.random_range(SERVER_NUMBERS), server(rng)),
        16 => Fault::Servers(faulty(rng)),
        _ => Fault::Config(config(rng)),
    };
    Step { at, lasts, fault }
}

/// Cuts a box, or all, off from the store just before a change, for longer than
/// the bound on keys.
fn blind(rng: &mut ChaCha8Rng, change: &Step, boxes: usize) -> Step {
    let harm = pick(rng, &[Harm::Silence, Harm::Cut(Direction::Back)]);
    let fault = match rng.random_range(0..3) {
        0 => Fault::Store(Store::Down(Down::Silent)),
        1 => Fault::Store(Store::Deaf),
        _ => Fault::Link(Link::Store(rng.random_range(0..boxes)), harm),
    };
    Step {
        at: change.at.saturating_sub(BLIND_BEFORE),
        lasts: ms(rng, BLIND_MS),
        fault,
    }
}

fn link(rng: &mut ChaCha8Rng, boxes: usize) -> Link {
    let first = rng.random_range(0..boxes);
    let other = (first + rng.random_range(1..boxes)) % boxes;
    match rng.random_range(0..4) {
        0 => Link::Client(first),
        1 => Link::Server(rng.random_range(SERVER_NUMBERS)),
        2 => Link::Store(first),
        _ => Link::Peer(first, other),
    }
}

fn harm(rng: &mut ChaCha8Rng) -> Harm {
    match rng.random_range(0..5) {
        0 => Harm::Delay(ms(rng, DELAY_MS)),
        1 => Harm::Reset,
        2 => Harm::Cut(Direction::There),
        3 => Harm::Cut(Direction::Back),
        _ => Harm::Silence,
    }
}

fn signal(rng: &mut ChaCha8Rng) -> Signal {
    pick(
        rng,
        &[
            Signal::Freeze,
            Signal::Terminate,
            Signal::Kill,
            Signal::Reload,
        ],
    )
}

fn store(rng: &mut ChaCha8Rng) -> Store {
    let slow = Store::Slow(ms(rng, DELAY_MS));
    let down = pick(rng, &[Down::Silent, Down::Busy, Down::Reset]);
    let others = [
        Store::Refusing,
        Store::Losing,
        Store::Forgetful,
        Store::Deaf,
    ];
    match rng.random_range(0..8) {
        0 => slow,
        1..4 => Store::Down(down),
        _ => pick(rng, &others),
    }
}

fn faulty(rng: &mut ChaCha8Rng) -> standin::Fault {
    let faults = [
        standin::Fault::Shed,
        standin::Fault::Failure,
        standin::Fault::LostAnswer,
        standin::Fault::Garbage,
        standin::Fault::Extra,
        standin::Fault::LateExtra,
        standin::Fault::CutEvent,
        standin::Fault::Unframed,
        standin::Fault::Reset,
    ];
    pick(rng, &faults)
}

fn server(rng: &mut ChaCha8Rng) -> Server {
    let others = [
        Server::Dark,
        Server::Slow,
        Server::Crash,
        Server::Leave,
        Server::Join,
    ];
    match rng.random_range(0..16) {
        0..8 => Server::Faulty(faulty(rng)),
        8..11 => Server::Leave,
        _ => pick(rng, &others),
    }
}

fn config(rng: &mut ChaCha8Rng) -> Config {
    pick(rng, &[Config::Mark, Config::Storm, Config::Revoke])
}

fn pick<T: Copy>(rng: &mut ChaCha8Rng, all: &[T]) -> T {
    *all.choose(rng).unwrap_or(&all[0])
}
