//! Clients that do not keep to the limits, servers whose answers are odd, and planned stops with
//! requests that are whole only late in the grace period.
//!
//! Half of the seeds have the other faults beside them.

use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tidepier_relay_standin::server as standin;
use tidepier_relay_standin::server::{Odd, Order};

use super::{ms, pick, Schedule, Step, SERVER_NUMBERS};
use crate::fault::{Config, Fault, Server, Signal};
use crate::misuse::{Misuse, Port};

/// Mixed into the seed, so that these are chosen independently of the other faults.
const MISBEHAVING_SEED: u64 = 0x6d69_7362_6568_6176;
/// Number of crowds of clients, when they begin and how long they go on, in ms.
const CROWDS: RangeInclusive<usize> = 2..=4;
const CROWD_MS: Range<u64> = 0..4_500;
const CROWD_TIME_MS: Range<u64> = 1_500..3_500;
/// The same of odd servers.
const ODD_SERVERS: RangeInclusive<usize> = 4..=7;
const ODD_SERVERS_MS: Range<u64> = 0..6_000;
const ODD_SERVERS_TIME_MS: Range<u64> = 300..2_000;
/// Signals and changes of the configuration beside them.
const CHANGES: RangeInclusive<usize> = 1..=3;
const CHANGES_MS: Range<u64> = 500..6_000;
const AWAY_MS: Range<u64> = 100..1_000;
/// Time of the first planned stop: so long after the crowds and the odd servers that they do
/// not excuse it.
const STOP: Duration = Duration::from_millis(11_200);
/// Time from the first stop to a second one, in ms: within its grace period.
const SECOND_STOP_MS: Range<u64> = 500..3_000;
/// Time from a stop to a change beside it, in ms.
const STOP_CHANGE_MS: Range<u64> = 500..7_000;

/// Where clients connect to.
const PORTS: [Port; 6] = [
    Port::Clients,
    Port::Clients,
    Port::Clients,
    Port::Clients,
    Port::Readiness,
    Port::Boxes,
];

/// What is odd about the answers of servers.
const ODD: [Odd; 24] = [
    Odd::Status("000"),
    Odd::Status("001"),
    Odd::Status("099"),
    Odd::RequestLine,
    Odd::FieldName("X Odd"),
    Odd::FieldName("X-Odd "),
    Odd::FieldName(" X-Odd"),
    Odd::FieldName("X\tOdd"),
    Odd::FieldName("X\x01Odd"),
    Odd::FieldName("X\x7fOdd"),
    Odd::FieldName(""),
    Odd::TrailerName("X Odd"),
    Odd::TrailerName("X\x01Odd"),
    Odd::EndlessHead,
    Odd::EndlessHead,
    Odd::EndlessBody,
    Odd::EndlessBody,
    Odd::EndlessTrailers,
    Odd::Events(Order::Repeated),
    Odd::Events(Order::Restarted),
    Odd::Events(Order::Overlapping),
    Odd::Events(Order::Swapped),
    Odd::UnframedCut,
    Odd::UnframedCut,
];

impl Schedule {
    /// Adds clients and servers that do not behave, then planned stops.
    pub fn with_misbehaving(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ MISBEHAVING_SEED);
        let boxes = self.boxes;
        let schedule = self.with_others_in_half_of_seeds(&mut rng);
        let mut steps = Vec::new();
        let mut step = |at, lasts, fault| steps.push(Step { at, lasts, fault });
        for _ in 0..rng.random_range(CROWDS) {
            let port = pick(&mut rng, &PORTS);
            let misuse = pick(&mut rng, &Misuse::ALL);
            let fault = Fault::Misuse(rng.random_range(0..boxes), port, misuse);
            step(ms(&mut rng, CROWD_MS), ms(&mut rng, CROWD_TIME_MS), fault);
        }
        for _ in 0..rng.random_range(ODD_SERVERS) {
            let odd = standin::Fault::Odd(pick(&mut rng, &ODD));
            let fault = match rng.random_bool(0.5) {
                true => Fault::Servers(odd),
                false => Fault::Server(rng.random_range(SERVER_NUMBERS), Server::Faulty(odd)),
            };
            step(
                ms(&mut rng, ODD_SERVERS_MS),
                ms(&mut rng, ODD_SERVERS_TIME_MS),
                fault,
            );
        }
        // Answers without a length, which may look complete when their box ends.
        if rng.random_bool(0.5) {
            let at = ms(&mut rng, ODD_SERVERS_MS);
            let lasts = ms(&mut rng, ODD_SERVERS_TIME_MS);
            let killed = Fault::Process(rng.random_range(0..boxes), Signal::Kill);
            step(at, lasts, Fault::Servers(standin::Fault::Unframed));
            step(at + lasts / 2, ms(&mut rng, AWAY_MS), killed);
        }
        for _ in 0..rng.random_range(CHANGES) {
            let signal = pick(&mut rng, &[Signal::Terminate, Signal::Kill, Signal::Reload]);
            let signal = Fault::Process(rng.random_range(0..boxes), signal);
            let fault = pick(&mut rng, &[signal, signal, Fault::Config(Config::Mark)]);
            step(ms(&mut rng, CHANGES_MS), ms(&mut rng, AWAY_MS), fault);
        }
        let first = rng.random_range(0..boxes);
        step(
            STOP,
            ms(&mut rng, AWAY_MS),
            Fault::LateStop(first, rng.random()),
        );
        if rng.random_bool(0.5) {
            let other = (first + rng.random_range(1..boxes)) % boxes;
            let at = STOP + ms(&mut rng, SECOND_STOP_MS);
            step(
                at,
                ms(&mut rng, AWAY_MS),
                Fault::LateStop(other, rng.random()),
            );
        }
        let reload = Fault::Process(first, Signal::Reload);
        let fault = pick(
            &mut rng,
            &[
                reload,
                Fault::Config(Config::Mark),
                Fault::Config(Config::Storm),
            ],
        );
        step(STOP + ms(&mut rng, STOP_CHANGE_MS), Duration::ZERO, fault);
        Self {
            misbehaving: true,
            ..schedule.with_steps(steps.into_iter())
        }
    }
}
