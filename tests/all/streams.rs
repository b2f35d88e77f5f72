//! Stateful fuzzing of chats under faults of engines and routers. Every answer
//! must be complete and must belong to its own request; the oracle computes every
//! expected token.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use tidepier_standin::faults::Faults;

use crate::harness::{Fleet, Plan};

/// Number of chats in one burst.
const BURST: u64 = 140;
/// Number of steps in one case.
const STEPS: usize = 40;
/// Engines of the fuzzed fleet.
const ENGINES: usize = 4;
/// Routers of the fuzzed fleet.
const ROUTERS: usize = 3;

/// A fault of an engine's next streams.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Cut,
    Cross,
    Repeat,
    Gap,
    Refuse,
}

#[derive(Debug, Clone)]
pub enum Step {
    /// Concurrent chats of `tokens` tokens each, through all routers.
    Burst { tokens: u64 },
    /// The engine's next `count` streams have a fault.
    Inject {
        engine: usize,
        fault: Fault,
        count: u32,
    },
    /// An engine is killed during a burst and restarted after it.
    KillEngine { engine: usize, tokens: u64 },
    /// A router is killed during a burst and restarted after it.
    KillRouter { router: usize, tokens: u64 },
}

impl Step {
    fn name(&self) -> &'static str {
        match self {
            Step::Burst { .. } => "burst",
            Step::KillEngine { .. } => "engine_killed",
            Step::KillRouter { .. } => "router_killed",
            Step::Inject { fault, .. } => match fault {
                Fault::Cut => "cut",
                Fault::Cross => "cross",
                Fault::Repeat => "repeat",
                Fault::Gap => "gap",
                Fault::Refuse => "refuse",
            },
        }
    }
}

/// The reference state: the number of chats that were sent. The oracle computes
/// each chat's answer from its number.
#[derive(Debug, Clone)]
pub struct Expected {
    sent: u64,
}

pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = Expected;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Expected> {
        Just(Expected { sent: 0 }).boxed()
    }

    fn transitions(_: &Expected) -> BoxedStrategy<Step> {
        let fault = prop_oneof![
            Just(Fault::Cut),
            Just(Fault::Cross),
            Just(Fault::Repeat),
            Just(Fault::Gap),
            Just(Fault::Refuse),
        ];
        let injected = (0..ENGINES, fault, 1..4u32);
        prop_oneof![
            6 => (1..30u64).prop_map(|tokens| Step::Burst { tokens }),
            6 => injected.prop_map(|(engine, fault, count)| Step::Inject { engine, fault, count }),
            1 => (0..ENGINES, 10..40u64).prop_map(|(engine, tokens)| Step::KillEngine { engine, tokens }),
            1 => (0..ROUTERS, 10..40u64).prop_map(|(router, tokens)| Step::KillRouter { router, tokens }),
        ]
        .boxed()
    }

    fn apply(mut state: Expected, step: &Step) -> Expected {
        if !matches!(step, Step::Inject { .. }) {
            state.sent += BURST;
        }
        state
    }
}

pub struct System {
    fleet: Fleet,
    sent: u64,
    /// Chats that ended with an explicit error.
    errors: u64,
    /// Number of steps by name; `scripts/fuzz` adds them up.
    done: BTreeMap<&'static str, u64>,
}

impl System {
    fn burst(&mut self, tokens: u64, disturb: impl FnOnce(&mut Fleet)) {
        let range = self.sent..self.sent + BURST;
        self.sent += BURST;
        let addresses = self.fleet.addresses();
        let sent: Vec<_> = range
            .map(|number| {
                let chat = self.fleet.make_chat(number, tokens);
                let (pool, addresses) = (self.fleet.pool.clone(), addresses.clone());
                smol::spawn(async move {
                    let first = number as usize;
                    tidepier_load::caller::ask(&pool, &addresses, first, &chat).await
                })
            })
            .collect();
        std::thread::sleep(std::time::Duration::from_millis(10));
        disturb(&mut self.fleet);
        for chat in sent {
            let outcome = smol::block_on(chat);
            assert_eq!(
                outcome.wrong, 0,
                "a wrong, foreign or doubled token: {outcome:?}"
            );
            let explicit = outcome.refused.is_some() || outcome.trouble.is_some();
            assert!(
                outcome.whole || explicit,
                "neither whole nor an error: {outcome:?}"
            );
            self.errors += u64::from(!outcome.whole);
            if !outcome.whole {
                println!("not whole: {:?} {:?}", outcome.refused, outcome.trouble);
            }
        }
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = System;
    type Reference = Machine;

    fn init_test(_: &Expected) -> System {
        let plan = Plan {
            engines: ENGINES as u16,
            boxes: ROUTERS as u16,
            ..Plan::default()
        };
        System {
            fleet: Fleet::start(plan),
            sent: 0,
            errors: 0,
            done: BTreeMap::new(),
        }
    }

    fn apply(mut system: System, _: &Expected, step: Step) -> System {
        *system.done.entry(step.name()).or_default() += 1;
        match step {
            Step::Burst { tokens } => system.burst(tokens, |_| {}),
            Step::Inject {
                engine,
                fault,
                count,
            } => {
                let switches = &system.fleet.engine(engine).engine().switches;
                let mut faults: Faults = switches.get();
                match fault {
                    Fault::Cut => faults.cut += count,
                    Fault::Cross => faults.cross += count,
                    Fault::Repeat => faults.repeat += count,
                    Fault::Gap => faults.gap += count,
                    Fault::Refuse => faults.refuse += count,
                }
                switches.set(faults);
            }
            Step::KillEngine { engine, tokens } => {
                system.burst(tokens, |fleet| fleet.engine(engine).kill());
                system
                    .fleet
                    .engine(engine)
                    .start()
                    .expect("the engine's port is free");
            }
            Step::KillRouter { router, tokens } => {
                system.burst(tokens, |fleet| fleet.routers[router].kill());
                system.fleet.routers[router].up();
                // Waits for readiness, as a balancer sends nothing to a box that
                // is not ready.
                let restarted = &system.fleet.routers[router];
                let ready = || {
                    restarted
                        .status()
                        .is_some_and(|status| status.generation.0 > 0)
                };
                system.fleet.wait("the new box is ready", ready);
            }
        }
        system
    }

    fn check_invariants(system: &System, expected: &Expected) {
        assert_eq!(system.sent, expected.sent);
    }

    fn teardown(system: System, _: Expected) {
        let whole = system.sent - system.errors;
        println!(
            "answers={} whole={whole} explicit_errors={}",
            system.sent, system.errors
        );
        for (name, count) in &system.done {
            println!("fuzz-step {name} {count}");
        }
        // An answer ends with an error if its router and its engine are both
        // lost, so a few errors are allowed.
        assert!(
            whole * 100 >= system.sent * 99,
            "{} of {} failed",
            system.errors,
            system.sent
        );
    }
}

/// Number of cases: `default` in CI, more with `scripts/fuzz`.
pub fn cases(default: u32) -> u32 {
    let wanted = std::env::var("TIDEPIER_FUZZ_CASES").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The seed: a fixed one in CI, others with `scripts/fuzz`.
pub fn seed() -> u64 {
    let wanted = std::env::var("TIDEPIER_FUZZ_SEED").ok();
    wanted
        .and_then(|text| text.parse().ok())
        .unwrap_or(20_261_202)
}

/// Most shrinking steps after a failure. `scripts/fuzz` sets 0, as each step runs
/// a case again, which can take minutes. With 0, the library panics a second time
/// instead of printing the case's steps; the seed reproduces them.
fn shrinks() -> u32 {
    const DEFAULT: u32 = 8;
    let wanted = std::env::var("TIDEPIER_FUZZ_SHRINKS").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT)
}

/// The configuration of all property tests of this crate: a fixed seed, and
/// failures are not written to files.
pub fn config(default: u32) -> Config {
    Config {
        cases: cases(default),
        rng_seed: RngSeed::Fixed(seed()),
        failure_persistence: None,
        max_shrink_iters: shrinks(),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(8))]

    /// Checks more than 20,000 answers: 8 cases of 40 steps, of which more than
    /// half send a burst.
    #[test]
    fn answers_are_whole_and_ones_own(sequential STEPS => Machine);
}

/// Runs the seeds of `tests/fuzz-seeds.txt`, which have failed before.
#[test]
fn answers_are_whole_with_the_seeds_that_failed() {
    let lines = include_str!("../fuzz-seeds.txt").lines();
    let lines: Vec<_> = lines.filter(|line| !line.starts_with('#')).collect();
    assert!(!lines.is_empty(), "no seeds");
    for line in lines {
        let number = |index: usize| -> u64 {
            let word = line.split('|').nth(index).unwrap_or_default();
            word.trim().parse().expect(line)
        };
        let config = Config {
            cases: number(1) as u32,
            rng_seed: RngSeed::Fixed(number(0)),
            ..config(1)
        };
        println!("seed {line}");
        let steps = Machine::sequential_strategy(STEPS);
        let ran = TestRunner::new(config.clone()).run(&steps, |(first, steps, seen)| {
            Machine::test_sequential(config.clone(), first, steps, seen);
            Ok(())
        });
        assert!(ran.is_ok(), "seed {line}: {ran:?}");
    }
}

/// Guards against streams that fail after the loss of their engine because one
/// engine has more streams than a router that has just started has retries.
#[test]
fn all_streams_of_a_lost_engine_go_on() {
    const CHATS: u64 = 60;
    // Each answer takes more than half a second, so that all are in flight when
    // the engine is killed.
    const TOKENS: u64 = 400;
    const RUNNING: u32 = 25;
    let fleet = Fleet::start(Plan {
        boxes: 1,
        engines: 2,
        ..Plan::default()
    });
    let outcomes = std::thread::scope(|scope| {
        let chats = scope.spawn(|| fleet.chats(1..1 + CHATS, TOKENS));
        let engine = fleet.engine(0);
        let gauge = engine.engine().gauge();
        fleet.wait("the engine has its share", || gauge.get() >= RUNNING);
        engine.kill();
        chats.join().expect("the chats end")
    });
    for outcome in outcomes {
        assert!(outcome.whole, "{outcome:?}");
    }
}

/// Guards against a keeper that drops the requests of a box which has restarted.
/// The keeper releases the places of a dead box some seconds after its death; by
/// then the box may be back under the same name, with requests that wait.
#[test]
fn a_box_that_came_back_keeps_its_requests() {
    const CHATS: u64 = 6;
    // The answers take a second each and run one after the other, so that some
    // requests are waiting when the keeper releases the old places.
    const TOKENS: u64 = 50;
    const STEP_US: u64 = 20_000;
    let mut fleet = Fleet::start(Plan {
        boxes: 2,
        engines: 1,
        step_us: STEP_US,
        ..Plan::default()
    });
    let narrow = fleet.apply_with(0, None, |document| {
        document.load.slots = 1;
        document.load.floor = 1;
    });
    let generation = narrow.expect("applied").0;
    fleet.wait("in force", || {
        fleet.generations().iter().all(|g| *g == generation)
    });
    let keeps = |index: usize| {
        let status = fleet.routers[index].status();
        status.is_some_and(|status| !status.pools.is_empty())
    };
    fleet.wait("a keeper", || keeps(0) != keeps(1));
    let restarted = usize::from(keeps(0));
    fleet.routers[restarted].kill();
    let keeper = &fleet.routers[1 - restarted];
    fleet.wait("the keeper knows of the death", || {
        let status = keeper.status();
        let name = &fleet.routers[restarted].settings.name;
        status.is_some_and(|s| s.boxes.iter().all(|b| b.name != *name || b.state == "dead"))
    });
    fleet.routers[restarted].up();
    fleet.wait("ready again", || {
        fleet.generations()[restarted] == generation
    });
    let outcomes = std::thread::scope(|scope| {
        let ask = |number| {
            let fleet = &fleet;
            scope.spawn(move || fleet.chat(restarted, number, TOKENS))
        };
        let sent: Vec<_> = (1..1 + CHATS).map(ask).collect();
        let ended = sent.into_iter().map(|chat| chat.join().expect("it ends"));
        ended.collect::<Vec<_>>()
    });
    for outcome in outcomes {
        assert!(outcome.whole, "{outcome:?}");
    }
}
