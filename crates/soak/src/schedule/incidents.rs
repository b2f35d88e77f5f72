//! Rounds of events that belong together: servers that stand still beside a change of the
//! configuration, servers that are harmed while boxes start again, and boxes that are killed or out of step beside the rollout of a release.
//!
//! Half of the seeds have the other faults beside them.

use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tidepier_relay_standin::server as standin;
use tidepier_relay_standin::store::Down;

use super::{ms, pick, Schedule, Step, DELAY_MS};
use crate::fault::{Config, Fault, Harm, Link, Rollout, Server, Services, Signal, Silence, Store};
use crate::odd;
use crate::proxy::Impairment;

/// Mixed into the seed, so that each kind is chosen independently of the others.
const SILENCES_SEED: u64 = 0x7369_6c65_6e63_6573;
const HARMS_SEED: u64 = 0x6861_726d_7365_6564;
const RESTARTS_SEED: u64 = 0x7265_7374_6172_7473;
const OUT_OF_STEP_SEED: u64 = 0x6f75_746f_6673_7465;
const ODD_ENTRIES_SEED: u64 = 0x6f64_6465_6e74_7279;
/// Number of odd entries, and the time in which they are written, in ms.
const ODD_ENTRIES: usize = 50;
const ODD_ENTRIES_MS: Range<u64> = 0..12_000;
/// Number of rounds of each kind.
const SILENCES: usize = 4;
const HARMS: usize = 3;
const RESTARTS: usize = 3;
const OUT_OF_STEP: usize = 2;
/// Time of the first round, and the pause after each, in ms.
const FIRST_MS: Range<u64> = 500..1_500;
const PAUSE_MS: Range<u64> = 1_500..2_500;
/// Duration of a silence, in ms.
const SILENCE_MS: Range<u64> = 500..3_000;
/// Duration of a harm, in ms.
const HARM_MS: Range<u64> = 1_500..4_000;
/// What harmed servers do.
const HARM_FAULTS: [Server; 8] = [
    Server::Faulty(standin::Fault::Hang),
    Server::Faulty(standin::Fault::Hang),
    Server::Standstill,
    Server::Standstill,
    Server::Crash,
    Server::Faulty(standin::Fault::Failure),
    Server::Faulty(standin::Fault::Reset),
    Server::Slow(10),
];
/// Time after a round of harms: the calm before the window of the rule on load, and the window.
const HARM_PAUSE_MS: Range<u64> = 7_000..8_000;
/// Number of boxes beside harms: so few that each sends enough to a server to avoid it.
const HARM_BOXES: RangeInclusive<usize> = 2..=6;
/// Time from the beginning of a harm to the kill of a box, and for which it stays away, in ms: it
/// serves again before the harm ends, as nothing else is to excuse what comes after.
const HARM_KILL_MS: Range<u64> = 0..700;
const HARM_AWAY_MS: Range<u64> = 100..600;
/// Time by which the stop of a box precedes a harm, in ms: it takes that long.
const HARM_STOP_LEAD_MS: Range<u64> = 3_800..4_800;
/// Time from the beginning of a silence to the change of the configuration, in ms, and how long
/// it may precede it.
const CHANGE_MS: Range<u64> = 0..2_300;
const LEAD_MS: u64 = 800;
/// Idle times and time-outs that changes set, in ms.
const IDLE_TIMES_MS: [u64; 4] = [100, 700, 2_000, 15_000];
const TIMEOUTS_MS: [u64; 3] = [3_500, 4_000, 5_000];
/// Time for which boxes that were killed stay away, in ms, and that between their starts.
const AWAY_MS: Range<u64> = 100..2_600;
const START_SPREAD_MS: Range<u64> = 0..300;
/// Time from the first server of a release to the last one of the former, in ms.
const REST_MS: Range<u64> = 100..2_500;
/// Time for which all older servers leave when a release joins, in ms.
const SWAP_MS: Range<u64> = 1_500..3_500;
/// Time for which servers leave, in ms.
const LEAVING_MS: Range<u64> = 0..1_500;
/// Time from a step of a rollout to the kill of all boxes, in ms.
const KILL_DELAY_MS: Range<u64> = 0..500;
/// Time by which a fault of the store precedes such a kill, and its duration, in ms.
const STORE_LEAD_MS: Range<u64> = 0..1_500;
const STORE_MS: Range<u64> = 300..3_000;
/// Time for which a box is out of step, in ms.
const OUT_OF_STEP_MS: Range<u64> = 500..4_000;
/// Time from the join of a release until the streams of clients break, in ms, and for how long
/// their connections are reset.
const BREAK_DELAY_MS: Range<u64> = 50..2_500;
const BREAK_TIME: Duration = Duration::from_millis(30);
/// Time that a box needs to start.
const START_TIME: Duration = Duration::from_millis(200);

impl Schedule {
    /// Adds servers that stand still before, at and after changes of the configuration.
    pub fn with_silences(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ SILENCES_SEED);
        let boxes = self.boxes;
        let schedule = self.with_others_in_half_of_seeds(&mut rng);
        let mut steps = Vec::new();
        let mut next = ms(&mut rng, FIRST_MS);
        for _ in 0..SILENCES {
            let end = silence_round(&mut rng, boxes, next, &mut steps);
            next = end + ms(&mut rng, PAUSE_MS);
        }
        Self {
            silences: true,
            long_streams: rng.random_bool(0.5),
            ..schedule.with_steps(steps.into_iter())
        }
    }

    /// Adds servers that hang, stand still, crash, fail or are slow, two thirds of them or a third
    /// at once, while boxes are killed or stopped and start again. After each round there is calm
    /// in which the load of the servers is judged.
    pub fn with_harms(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ HARMS_SEED);
        let boxes = rng.random_range(HARM_BOXES);
        let schedule = self.with_others_in_half_of_seeds(&mut rng);
        let mut steps = Vec::new();
        let last = schedule.steps.iter().map(|step| step.at + step.lasts).max();
        let mut next = last.unwrap_or_default() + ms(&mut rng, FIRST_MS);
        for _ in 0..HARMS {
            let end = harm_round(&mut rng, boxes, next, &mut steps);
            next = end + ms(&mut rng, HARM_PAUSE_MS);
        }
        Self {
            harms: true,
            boxes: boxes.max(schedule.boxes),
            ..schedule.with_steps(steps.into_iter())
        }
    }

    /// Adds kills of all boxes at once, soon after servers of a new release joined or those
    /// of the old one left.
    pub fn with_restarts(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ RESTARTS_SEED);
        let schedule = self.with_others_in_half_of_seeds(&mut rng);
        let first_start = rng.random_bool(0.5);
        let mut steps = Vec::new();
        let mut next = ms(&mut rng, FIRST_MS);
        for _ in 0..RESTARTS {
            let end = restart_round(&mut rng, next, &mut steps);
            next = end + ms(&mut rng, PAUSE_MS);
        }
        Self {
            first_start,
            ..schedule.with_rollouts(steps)
        }
    }

    /// Adds boxes that are stopped, cut off or just started while servers of a new release
    /// join, and streams that break at the other boxes and are taken up there.
    pub fn with_boxes_out_of_step(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ OUT_OF_STEP_SEED);
        let boxes = self.boxes;
        let schedule = self.with_others_in_half_of_seeds(&mut rng);
        let mut steps = Vec::new();
        let mut next = ms(&mut rng, FIRST_MS);
        for _ in 0..OUT_OF_STEP {
            let end = out_of_step_round(&mut rng, boxes, next, &mut steps);
            next = end + ms(&mut rng, PAUSE_MS);
        }
        Self {
            first_start: rng.random_bool(0.8),
            ..schedule.with_rollouts(steps)
        }
    }

    /// Adds odd entries of another writer.
    pub fn with_odd_entries(self) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ ODD_ENTRIES_SEED);
        let schedule = self.with_others_in_half_of_seeds(&mut rng);
        let steps = (0..ODD_ENTRIES).map(|_| {
            let kind = rng.random_range(0..odd::KINDS.len());
            let fields = odd::KINDS[kind].1.len();
            Step {
                at: ms(&mut rng, ODD_ENTRIES_MS),
                lasts: Duration::ZERO,
                fault: Fault::OddEntry(odd::Entry {
                    kind,
                    field: rng.random_range(0..=fields),
                    value: pick(&mut rng, &odd::VALUES),
                }),
            }
        });
        schedule.with_steps(steps)
    }

    fn with_rollouts(self, steps: Vec<Step>) -> Self {
        Self {
            releases: true,
            rollouts: true,
            long_streams: true,
            ..self.with_steps(steps.into_iter())
        }
    }

    /// Keeps the other faults in half of the seeds, and takes them out in the others, in which
    /// they excuse nothing.
    pub(super) fn with_others_in_half_of_seeds(mut self, rng: &mut ChaCha8Rng) -> Self {
        if rng.random_bool(0.5) {
            self.steps.clear();
        }
        self
    }
}

/// Adds a round of silences; returns its end.
fn silence_round(
    rng: &mut ChaCha8Rng,
    boxes: usize,
    start: Duration,
    steps: &mut Vec<Step>,
) -> Duration {
    let silent_from = start + Duration::from_millis(LEAD_MS);
    let mut end = silent_from;
    let mut silence = |rng: &mut ChaCha8Rng, at: Duration| {
        let services = [
            Services::Streams,
            Services::Streams,
            Services::All,
            Services::Others,
        ];
        let silence = Silence {
            services: pick(rng, &services),
            percent: pick(rng, &[100, 100, 60, 30]),
        };
        let lasts = ms(rng, SILENCE_MS);
        end = end.max(at + lasts);
        steps.push(Step {
            at,
            lasts,
            fault: Fault::Silence(silence),
        });
    };
    silence(rng, silent_from);
    if rng.random_bool(0.4) {
        let delay = ms(rng, SILENCE_MS);
        silence(rng, silent_from + delay);
    }
    for _ in 0..rng.random_range(1..=2) {
        steps.push(Step {
            at: start + ms(rng, CHANGE_MS),
            lasts: Duration::ZERO,
            fault: Fault::Config(change(rng)),
        });
    }
    if rng.random_bool(0.35) {
        steps.push(Step {
            at: start + ms(rng, CHANGE_MS),
            lasts: ms(rng, SILENCE_MS),
            fault: Fault::Process(rng.random_range(0..boxes), Signal::Freeze),
        });
    }
    end
}

/// Adds a round of harms; returns its end.
fn harm_round(
    rng: &mut ChaCha8Rng,
    boxes: usize,
    start: Duration,
    steps: &mut Vec<Step>,
) -> Duration {
    let lasts = ms(rng, HARM_MS);
    let services = pick(rng, &[Services::Streams, Services::Others, Services::All]);
    let start = start + Duration::from_millis(HARM_STOP_LEAD_MS.end);
    let mut end = start + lasts;
    let mut step = |at: Duration, lasts: Duration, fault| {
        end = end.max(at + lasts);
        steps.push(Step { at, lasts, fault });
    };
    let harm = Harm {
        services,
        percent: pick(rng, &[67, 67, 34]),
        fault: pick(rng, &HARM_FAULTS),
    };
    step(start, lasts, Fault::Harm(harm));
    // Another harm begins while the first one lasts, or as it ends.
    if rng.random_bool(0.3) {
        let at = start + lasts.mul_f64(rng.random_range(0.2..1.0));
        let harm = Harm {
            fault: pick(rng, &HARM_FAULTS),
            ..harm
        };
        step(at, ms(rng, HARM_MS), Fault::Harm(harm));
    }
    for _ in 0..rng.random_range(0..=2) {
        let chosen = rng.random_range(0..boxes);
        let (at, lasts, signal) = match rng.random_bool(0.7) {
            true => (
                start + ms(rng, HARM_KILL_MS),
                ms(rng, HARM_AWAY_MS),
                Signal::Kill,
            ),
            false => {
                let lead = ms(rng, HARM_STOP_LEAD_MS);
                (start - lead, Duration::ZERO, Signal::Terminate)
            }
        };
        step(at, lasts, Fault::Process(chosen, signal));
    }
    if rng.random_bool(0.2) {
        let (at, away) = (start + ms(rng, HARM_KILL_MS), ms(rng, HARM_AWAY_MS));
        let spread = ms(rng, START_SPREAD_MS);
        step(at, away, Fault::KillAll(spread));
    }
    end
}

fn change(rng: &mut ChaCha8Rng) -> Config {
    let idle = Config::Idle(Duration::from_millis(pick(rng, &IDLE_TIMES_MS)));
    let timeout = Config::Timeout(Duration::from_millis(pick(rng, &TIMEOUTS_MS)));
    pick(
        rng,
        &[idle, idle, timeout, timeout, Config::Mark, Config::Storm],
    )
}

/// Adds a rollout with a kill of all boxes; returns its end.
fn restart_round(rng: &mut ChaCha8Rng, start: Duration, steps: &mut Vec<Step>) -> Duration {
    let mut step = |at, lasts, fault| steps.push(Step { at, lasts, fault });
    let join = Rollout::Join(rng.random_range(1..=3));
    step(start, Duration::ZERO, Fault::Rollout(join));
    let rest = start + ms(rng, REST_MS);
    let leaving = ms(rng, LEAVING_MS);
    let has_rest = rng.random_bool(0.7);
    if has_rest {
        step(rest, leaving, Fault::Rollout(Rollout::Rest));
    }
    let before_kill = match has_rest && rng.random_bool(0.7) {
        true => rest + leaving,
        false => start,
    };
    let kill = before_kill + ms(rng, KILL_DELAY_MS);
    let away = ms(rng, AWAY_MS);
    let spread = ms(rng, START_SPREAD_MS);
    step(kill, away, Fault::KillAll(spread));
    if rng.random_bool(0.5) {
        let down = pick(rng, &[Down::Silent, Down::Busy, Down::Reset]);
        let slow = Store::Slow(ms(rng, DELAY_MS));
        let fault = pick(rng, &[slow, Store::Down(down), Store::Losing]);
        let at = kill.saturating_sub(ms(rng, STORE_LEAD_MS));
        step(at, ms(rng, STORE_MS), Fault::Store(fault));
    }
    kill + away + spread
}

/// Adds a rollout beside which a box is out of step; returns its end.
fn out_of_step_round(
    rng: &mut ChaCha8Rng,
    boxes: usize,
    start: Duration,
    steps: &mut Vec<Step>,
) -> Duration {
    let mut step = |at, lasts, fault| steps.push(Step { at, lasts, fault });
    let chosen = rng.random_range(0..boxes);
    let other = (chosen + rng.random_range(1..boxes)) % boxes;
    let store = Fault::Link(Link::Store(chosen), Impairment::Silence);
    let faults: [&[Fault]; 4] = [
        &[Fault::Process(chosen, Signal::Freeze)],
        &[Fault::CutOff(chosen)],
        &[store],
        &[Fault::CutOff(chosen), store],
    ];
    let lasts = ms(rng, OUT_OF_STEP_MS);
    for fault in pick(rng, &faults) {
        step(start, lasts, *fault);
    }
    let is_swap = rng.random_bool(0.5);
    let joins = match is_swap {
        true => start + lasts.mul_f64(rng.random_range(0.0..0.3)),
        false => start + lasts.mul_f64(rng.random_range(0.0..0.9)),
    };
    // Another box may just have started then, and learn of the new release first.
    if rng.random_bool(0.4) {
        let away = ms(rng, AWAY_MS);
        let kill = (joins + ms(rng, KILL_DELAY_MS)).saturating_sub(away + START_TIME);
        step(kill, away, Fault::Process(other, Signal::Kill));
    }
    let join = Rollout::Join(rng.random_range(1..=3));
    step(joins, Duration::ZERO, Fault::Rollout(join));
    // All older servers leave at once, so that streams begin at the new ones, while a box that
    // does not know it may still send to the older ones.
    if is_swap {
        step(
            joins + BREAK_TIME,
            ms(rng, SWAP_MS),
            Fault::Rollout(Rollout::Rest),
        );
    }
    let mut end = start + lasts;
    let kept = match rng.random_bool(0.8) {
        true => chosen,
        false => other,
    };
    for _ in 0..2 {
        let at = joins + ms(rng, BREAK_DELAY_MS);
        step(at, BREAK_TIME, Fault::BreakClients(kept));
        end = end.max(at);
    }
    let rest = end + ms(rng, REST_MS);
    if !is_swap {
        step(rest, ms(rng, LEAVING_MS), Fault::Rollout(Rollout::Rest));
    }
    rest
}
