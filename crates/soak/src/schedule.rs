//! The schedule of a seed: the shape of the fleet, and each fault with its time.
//!
//! A schedule is a function of its seed alone. It identifies boxes and servers by numbers:
//! see [`crate::fault`].

mod incidents;
mod misbehaving;

use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::server::{self as standin, Repeat};
use tidepier_relay_standin::store::Down;

use crate::fault::{Config, Fault, Link, Return, Server, Signal, Store};
use crate::plan::SERVER_HALLS;
use crate::proxy::{Direction, Impairment};

/// Range of the number of boxes.
const BOXES: RangeInclusive<usize> = 2..=4;
/// Range of the number of faults.
const STEPS: RangeInclusive<usize> = 6..=14;
/// Numbers of servers; more than there are servers, so that each of them may be affected.
const SERVER_NUMBERS: Range<usize> = 0..64;
/// Time at which faults begin, in ms.
const START_MS: Range<u64> = 0..10_000;
/// Duration of a fault, in ms: both below and above the times after which boxes consider
/// each other lost.
const DURATION_MS: Range<u64> = 100..4_500;
/// Duration of the store outage around a key removal, in ms: longer than the bound on
/// removed keys.
const CUT_OFF_MS: Range<u64> = 5_000..7_500;
/// Time from the start of that outage to the removal.
const CUT_OFF_LEAD: Duration = Duration::from_millis(300);
/// Number of boxes with a hot subject: so many that each has few requests about it.
const HOT_SUBJECT_BOXES: usize = 16;
/// Number of emptied halls that [`Schedule::with_emptied_halls`] adds.
const EMPTYINGS: usize = 3;
/// Mixed into the seed, so that the emptied halls are chosen independently of the other
/// faults.
const EMPTIED_SEED: u64 = 0x656d_7074_6965_6421;
/// Number of crashing requests that [`Schedule::with_crashing_requests`] adds.
const CRASHING_REQUESTS: usize = 2;
/// Mixed into the seed, so that these requests are chosen independently of the other
/// faults.
const CRASHING_SEED: u64 = 0x6372_6173_6869_6e67;
/// Number of parts that [`Schedule::with_crashing_parts`] adds beside the other faults, and the
/// id of the first.
const CRASHING_PARTS: u64 = 1;
const CRASHING_PART: u64 = 0xbad_0000;
/// When it adds a further one: after the other faults have ended, so that nothing else
/// excuses boxes that send such requests.
const LAST_PART: Duration = Duration::from_millis(18_000);
/// Mixed into the seed, so that these are chosen independently of the other faults.
const CRASHING_PARTS_SEED: u64 = 0x7061_7274_2062_6164;
/// How long such a request is sent, in ms: longer than it takes until all boxes know of it.
const CRASHING_MS: Range<u64> = 6_500..9_000;
/// Number of suspensions that [`Schedule::with_suspensions`] adds.
const SUSPENSIONS: usize = 3;
/// Mixed into the seed, so that suspensions are chosen independently of the other faults.
const SUSPENDED_SEED: u64 = 0x7375_7370_656e_6465;
/// Duration of a suspension, in ms: up to more than the bound on removed keys.
const SUSPENDED_MS: Range<u64> = 500..7_000;
/// Number of servers that announce only in their answers that they leave, and of those that
/// request back-offs, which [`Schedule::with_words`] adds.
const LEAVING_SERVERS: usize = 2;
const BACKING_OFF_SERVERS: usize = 4;
/// Mixed into the seed, so that these servers are chosen independently of the other faults.
const WORDS_SEED: u64 = 0x7761_6e74_7265_7374;
/// How long servers that request a back-off reject requests, in ms: up to several
/// back-offs.
const REJECTING_MS: Range<u64> = 300..5_000;
/// The back-off that they request, in ms.
const BACKOFF_MS: Range<u64> = 700..4_000;
/// Number of restores of the store that [`Schedule::with_returns`] adds.
const RETURNS: usize = 3;
/// Mixed into the seed, so that restores are chosen independently of the other faults.
const RETURNS_SEED: u64 = 0x7265_7475_726e_6564;
/// Duration of the outage before a restore, in ms.
const OUTAGE_MS: Range<u64> = 0..2_500;
/// Age of the backup, in ms.
const BACKUP_AGE_MS: Range<u64> = 300..8_000;
/// Time until the operator writes its entries again, in ms: less than boxes wait before
/// they treat the answers of the store as authoritative again.
const OPERATOR_DELAY_MS: Range<u64> = 0..2_800;
/// Time until a server writes its entry again, in ms.
const SERVER_DELAY_MS: Range<u64> = 0..2_000;
/// Time from the end of the outage of the second-last restore to the last one, in ms.
const RETURN_GAP_MS: Range<u64> = 100..1_500;
/// Number of partitions that [`Schedule::with_partitions`] adds beside the other faults.
const PARTITIONS: usize = 2;
/// When it adds a further one: after the other faults have ended, so that nothing else
/// excuses boxes that do not serve.
const LAST_PARTITION: Duration = Duration::from_millis(18_000);
/// Mixed into the seed, so that partitions are chosen independently of the other faults.
const PARTITIONS_SEED: u64 = 0x7061_7274_6974_696f;
/// Duration of a partition, in ms: longer than the time that boxes have to adapt to it.
const PARTITION_MS: Range<u64> = 4_500..8_000;
/// Number of short outages of the store that [`Schedule::with_short_outages`] adds, and the
/// time of the first, when the other faults have ended.
const SHORT_OUTAGES: usize = 3;
const FIRST_SHORT_OUTAGE: Duration = Duration::from_millis(18_000);
/// Mixed into the seed, so that these are chosen independently of the other faults.
const SHORT_OUTAGES_SEED: u64 = 0x7368_6f72_7420_6f75;
/// Time from a server's start to such an outage, in ms: up to when boxes call their watches
/// of the servers again.
const SHORT_OUTAGE_DELAY_MS: Range<u64> = 0..450;
/// Duration of such an outage, in ms: below and above the interval of freshness checks.
const SHORT_OUTAGE_MS: Range<u64> = 100..1_500;
/// Time from its end until a server leaves, in ms: the store has been stable for long enough
/// then that boxes have to act on it in time.
const LEAVE_DELAY_MS: Range<u64> = 3_050..3_800;
/// Time from then to the next outage.
const SHORT_OUTAGE_GAP: Duration = Duration::from_millis(3_000);
/// Number of times that [`Schedule::with_copies`] makes servers send second copies of their
/// answers, the time of the first, and that between two.
const COPIES: u32 = 4;
const FIRST_COPIES: Duration = Duration::from_millis(18_000);
const COPIES_INTERVAL: Duration = Duration::from_millis(3_500);
/// Mixed into the seed, so that these are chosen independently of the other faults.
const COPIES_SEED: u64 = 0x636f_7069_6573_2121;
/// How long servers send such copies, in ms.
const COPIES_MS: Range<u64> = 800..2_500;
/// How late a copy is, in ms.
const COPY_DELAY_MS: Range<u64> = 1..40;
/// Number of further requests on its connection after which a copy is sent.
const COPY_REQUESTS: RangeInclusive<u32> = 1..=3;
/// Number of servers that [`Schedule::with_standstills`] makes stand still, the time of the
/// first, and that between two: the window of the rule on load, and the calm before it.
const STANDSTILLS: u32 = 3;
const FIRST_STANDSTILL: Duration = Duration::from_millis(18_000);
const STANDSTILL_INTERVAL: Duration = Duration::from_millis(7_000);
/// How long a server stands still, in ms.
const STANDSTILL_MS: Range<u64> = 500..5_000;
/// Number of boxes before such servers: so many that each has few requests there.
const STANDSTILL_BOXES: usize = 40;
/// Mixed into the seed, so that these are chosen independently of the other faults.
const STANDSTILLS_SEED: u64 = 0x7374_616e_6473_7469;
/// Number of times that [`Schedule::with_releases`] makes all servers break off streams, each
/// time with the kill of a box and a server that is replaced by one of another release.
const BREAKS: usize = 4;
/// Mixed into the seed, so that these are chosen independently of the other faults.
const RELEASES_SEED: u64 = 0x7265_6c65_6173_6573;
/// How long all servers break off streams, in ms.
const BREAK_MS: Range<u64> = 200..1_200;
/// Factor by which the requests of a slow server take longer.
const SLOWDOWN_FACTOR: u32 = 5;
/// Delays of a slow link or store, in ms.
const DELAY_MS: Range<u64> = 5..600;

/// A fault with its time, counted from the end of the warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// Everything that a seed determines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// The seed.
    pub seed: u64,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of halls that the boxes are spread over.
    pub halls: usize,
    /// Whether most streams are about one subject, before many servers.
    pub hot_subject: bool,
    /// Whether the servers of streams run two releases, and clients take streams up.
    pub releases: bool,
    /// Whether the prompts of streams share a part.
    pub prompts: bool,
    /// Whether requests that may run once are sent to more servers than there are.
    pub copies: bool,
    /// Whether plain servers may stand still, and many clients send requests slowly.
    pub standstills: bool,
    /// Whether all servers may stand still, and most requests are streams.
    pub silences: bool,
    /// Whether servers may be harmed together, and hold many requests.
    pub harms: bool,
    /// Whether the servers of streams run one release, except during rollouts of the next.
    /// Most requests are streams, which clients take up, also without naming them.
    pub rollouts: bool,
    /// Whether streams are long.
    pub long_streams: bool,
    /// Whether clients and servers may misbehave, which have time for late requests.
    pub misbehaving: bool,
    /// Whether the settings of the boxes say that the fleet starts for the first time. They
    /// stay so when a box is started again.
    pub first_start: bool,
    /// The faults, ordered by the time at which they begin.
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
        let outages = steps.iter().filter(revoked);
        let outages: Vec<Step> = outages
            .map(|step| cut_off_store(&mut rng, step, boxes))
            .collect();
        steps.extend(outages);
        steps.sort_by_key(|step| step.at);
        Self {
            seed,
            boxes,
            halls,
            hot_subject: false,
            releases: false,
            prompts: false,
            copies: false,
            standstills: false,
            silences: false,
            harms: false,
            rollouts: false,
            long_streams: false,
            misbehaving: false,
            first_start: false,
            steps,
        }
    }

    /// Adds emptied halls. The other faults of the seed stay as they are.
    pub fn with_emptied_halls(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ EMPTIED_SEED);
        let steps = (0..EMPTYINGS).map(|_| Step {
            at: ms(&mut rng, START_MS),
            lasts: ms(&mut rng, DURATION_MS),
            fault: Fault::Config(Config::EmptyHall(rng.random_range(0..SERVER_HALLS))),
        });
        self.with_steps(steps)
    }
}

impl Schedule {
    /// Adds requests that crash servers.
    pub fn with_crashing_requests(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ CRASHING_SEED);
        let first: usize = rng.random_range(0..4);
        let steps = (0..CRASHING_REQUESTS).map(|number| Step {
            at: ms(&mut rng, START_MS),
            lasts: ms(&mut rng, CRASHING_MS),
            fault: Fault::Crashing(first + number),
        });
        self.with_steps(steps)
    }

    /// Adds parts of prompts that crash servers: one beside the other faults, one after them.
    pub fn with_crashing_parts(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ CRASHING_PARTS_SEED);
        let steps = (0..=CRASHING_PARTS).map(|number| Step {
            at: match number {
                CRASHING_PARTS => LAST_PART,
                _ => ms(&mut rng, START_MS),
            },
            lasts: ms(&mut rng, CRASHING_MS),
            fault: Fault::CrashingPart(CRASHING_PART + number),
        });
        Self {
            prompts: true,
            ..self.with_steps(steps)
        }
    }

    /// Adds suspensions of boxes.
    pub fn with_suspensions(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ SUSPENDED_SEED);
        let boxes = self.boxes;
        let steps = (0..SUSPENSIONS).map(|_| Step {
            at: ms(&mut rng, START_MS),
            lasts: ms(&mut rng, SUSPENDED_MS),
            fault: Fault::Process(rng.random_range(0..boxes), Signal::Suspend),
        });
        self.with_steps(steps)
    }

    /// Adds servers that announce in answers that they leave or request back-offs, and a
    /// store outage that begins shortly before the first of the former.
    pub fn with_words(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ WORDS_SEED);
        let mut steps: Vec<Step> = Vec::new();
        for number in 0..LEAVING_SERVERS + BACKING_OFF_SERVERS {
            let leaves = number < LEAVING_SERVERS;
            let fault = match leaves {
                true => Server::Say,
                false => Server::Rest(ms(&mut rng, BACKOFF_MS)),
            };
            steps.push(Step {
                at: ms(&mut rng, START_MS),
                lasts: ms(&mut rng, if leaves { DURATION_MS } else { REJECTING_MS }),
                fault: Fault::Server(rng.random_range(SERVER_NUMBERS), fault),
            });
        }
        let down = pick(&mut rng, &[Down::Silent, Down::Busy, Down::Reset]);
        steps.push(Step {
            at: steps[0].at.saturating_sub(CUT_OFF_LEAD),
            lasts: ms(&mut rng, CUT_OFF_MS),
            fault: Fault::Store(Store::Down(down)),
        });
        self.with_steps(steps.into_iter())
    }

    /// Adds restores of the store from backups: the last one soon after the one before. A
    /// key removal and the kill of a box begin together with the first one.
    pub fn with_returns(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ RETURNS_SEED);
        let boxes = self.boxes;
        let mut steps: Vec<Step> = Vec::new();
        for number in 0..RETURNS {
            let at = match steps.last() {
                Some(last) if number + 1 == RETURNS => {
                    last.at + last.lasts + ms(&mut rng, RETURN_GAP_MS)
                }
                _ => ms(&mut rng, START_MS),
            };
            let away = pick(&mut rng, &[Some(Down::Reset), Some(Down::Silent), None]);
            steps.push(Step {
                at,
                lasts: ms(&mut rng, OUTAGE_MS),
                fault: Fault::Store(Store::Return(Return {
                    away,
                    behind: ms(&mut rng, BACKUP_AGE_MS),
                    operator: ms(&mut rng, OPERATOR_DELAY_MS),
                    servers: ms(&mut rng, SERVER_DELAY_MS),
                })),
            });
        }
        let first = steps[0].at;
        for fault in [
            Fault::Config(Config::Revoke),
            Fault::Process(rng.random_range(0..boxes), Signal::Kill),
        ] {
            let lasts = ms(&mut rng, DURATION_MS);
            steps.push(Step {
                at: first,
                lasts,
                fault,
            });
        }
        self.with_steps(steps.into_iter())
    }

    /// Adds partitions of some boxes from all servers.
    pub fn with_partitions(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ PARTITIONS_SEED);
        let boxes = self.boxes;
        let steps = (0..=PARTITIONS).map(|number| {
            let cut = pick(&mut rng, &[Cut::Silent, Cut::Reset, Cut::New]);
            let (first, count) = (rng.random_range(0..boxes), rng.random_range(1..boxes));
            let at = match number {
                PARTITIONS => LAST_PARTITION,
                _ => ms(&mut rng, START_MS),
            };
            Step {
                at,
                lasts: ms(&mut rng, PARTITION_MS),
                fault: Fault::Partition(first, count, cut),
            }
        });
        self.with_steps(steps)
    }

    /// Adds short outages of the store, for all boxes or one, in the calm after the other
    /// faults. Shortly before each a server joins, and after it one leaves.
    pub fn with_short_outages(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ SHORT_OUTAGES_SEED);
        let boxes = self.boxes;
        let mut steps: Vec<Step> = Vec::new();
        let mut next = FIRST_SHORT_OUTAGE;
        for _ in 0..SHORT_OUTAGES {
            let server = |rng: &mut ChaCha8Rng, at, fault| Step {
                at,
                lasts: Duration::ZERO,
                fault: Fault::Server(rng.random_range(SERVER_NUMBERS), fault),
            };
            let one = Link::Store(rng.random_range(0..boxes));
            let outage = Step {
                at: next + ms(&mut rng, SHORT_OUTAGE_DELAY_MS),
                lasts: ms(&mut rng, SHORT_OUTAGE_MS),
                fault: pick(
                    &mut rng,
                    &[
                        Fault::Store(Store::Down(Down::Silent)),
                        Fault::Link(one, Impairment::Loss),
                    ],
                ),
            };
            let leaves_at = outage.at + outage.lasts + ms(&mut rng, LEAVE_DELAY_MS);
            steps.push(server(&mut rng, next, Server::Join));
            steps.push(outage);
            steps.push(server(&mut rng, leaves_at, Server::Leave));
            next = leaves_at + SHORT_OUTAGE_GAP;
        }
        self.with_steps(steps.into_iter())
    }

    /// Adds servers that reject requests and send second copies of all their answers, after the
    /// other faults. Requests that may run once are sent to more servers than there are, so
    /// that some get them again.
    pub fn with_copies(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ COPIES_SEED);
        let steps = (0..COPIES).map(|number| {
            let late = Repeat::After(ms(&mut rng, COPY_DELAY_MS));
            let after = Repeat::AtRequest(rng.random_range(COPY_REQUESTS));
            Step {
                at: FIRST_COPIES + COPIES_INTERVAL * number,
                lasts: ms(&mut rng, COPIES_MS),
                fault: Fault::Copies(pick(&mut rng, &[Repeat::AtOnce, late, after, after])),
            }
        });
        Self {
            copies: true,
            ..self.with_steps(steps)
        }
    }

    /// Adds plain servers that stand still, after the other faults, before more boxes.
    pub fn with_standstills(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ STANDSTILLS_SEED);
        let steps = (0..STANDSTILLS).map(|number| Step {
            at: FIRST_STANDSTILL + STANDSTILL_INTERVAL * number,
            lasts: ms(&mut rng, STANDSTILL_MS),
            fault: Fault::Server(rng.random_range(SERVER_NUMBERS), Server::Standstill),
        });
        Self {
            standstills: true,
            ..self.with_steps(steps).with_boxes(STANDSTILL_BOXES)
        }
    }

    /// Has servers of two releases serve streams, which break off and which clients take up.
    pub fn with_releases(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ RELEASES_SEED);
        let boxes = self.boxes;
        let mut steps: Vec<Step> = Vec::new();
        for _ in 0..BREAKS {
            let at = ms(&mut rng, START_MS);
            let broken = pick(
                &mut rng,
                &[standin::Fault::CutEvent, standin::Fault::BreakOff],
            );
            let killed = rng.random_range(0..boxes);
            let faults = [
                Fault::Servers(broken),
                Fault::Process(killed, Signal::Kill),
                Fault::Server(rng.random_range(SERVER_NUMBERS), Server::Leave),
            ];
            steps.extend(faults.map(|fault| Step {
                at,
                lasts: ms(&mut rng, BREAK_MS),
                fault,
            }));
        }
        Self {
            releases: true,
            ..self.with_steps(steps.into_iter())
        }
    }

    /// Sets the number of boxes; the faults affect only the first ones.
    pub fn with_boxes(self, boxes: usize) -> Self {
        Self { boxes, ..self }
    }

    /// Makes most streams be about one subject, and adds boxes and servers.
    pub fn with_hot_subject(self) -> Self {
        Self {
            hot_subject: true,
            ..self.with_boxes(HOT_SUBJECT_BOXES)
        }
    }

    /// Adds steps. The faults that the seed determined before stay as they are.
    fn with_steps(self, more: impl Iterator<Item = Step>) -> Self {
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
    let at = ms(rng, START_MS);
    let lasts = ms(rng, DURATION_MS);
    let fault = match rng.random_range(0..20) {
        0..5 => Fault::Link(link(rng, boxes), impairment(rng)),
        5..10 => Fault::Process(rng.random_range(0..boxes), signal(rng)),
        10..13 => Fault::Store(store(rng)),
        13..16 => Fault::Server(rng.random_range(SERVER_NUMBERS), server(rng)),
        16 => Fault::Servers(faulty(rng)),
        _ => Fault::Config(config(rng)),
    };
    Step { at, lasts, fault }
}

/// Cuts one box or all boxes off from the store just before a change, for longer than the
/// bound on removed keys.
fn cut_off_store(rng: &mut ChaCha8Rng, change: &Step, boxes: usize) -> Step {
    let impairment = pick(
        rng,
        &[Impairment::Silence, Impairment::Cut(Direction::Back)],
    );
    let fault = match rng.random_range(0..3) {
        0 => Fault::Store(Store::Down(Down::Silent)),
        1 => Fault::Store(Store::Deaf),
        _ => Fault::Link(Link::Store(rng.random_range(0..boxes)), impairment),
    };
    Step {
        at: change.at.saturating_sub(CUT_OFF_LEAD),
        lasts: ms(rng, CUT_OFF_MS),
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

fn impairment(rng: &mut ChaCha8Rng) -> Impairment {
    match rng.random_range(0..5) {
        0 => Impairment::Delay(ms(rng, DELAY_MS)),
        1 => Impairment::Reset,
        2 => Impairment::Cut(Direction::There),
        3 => Impairment::Cut(Direction::Back),
        _ => Impairment::Silence,
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
        Server::Slow(SLOWDOWN_FACTOR),
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
