//! The bound on an engine's load: stateful fuzzing of a pool against a simple
//! count of what it granted.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use tidepier_clock::Instant;
use tidepier_ids as ids;
use tidepier_placement::{Ended, Grant, Pool, Ticket, Verdict};

use crate::placement::{ask, engine, load, pool_of, ENGINES};
use crate::streams::config;

#[derive(Debug, Clone)]
pub enum Step {
    Ask { account: u8, prefix: u64 },
    Release { index: usize, failed: bool },
    Leave { engine: usize },
    Join { engine: usize },
    Pass { millis: u64 },
    Lose { index: usize },
}

/// The reference counts what it was told: grants by engine, active engines.
#[derive(Debug, Clone, Default)]
pub struct Count {
    active: BTreeMap<usize, bool>,
}

pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = Count;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Count> {
        let active = (0..ENGINES).map(|index| (index, true)).collect();
        Just(Count { active }).boxed()
    }

    fn transitions(_: &Count) -> BoxedStrategy<Step> {
        prop_oneof![
            10 => (0..4u8, any::<u64>()).prop_map(|(account, prefix)| Step::Ask { account, prefix }),
            7 => (any::<usize>(), prop::bool::weighted(0.05))
                .prop_map(|(index, failed)| Step::Release { index, failed }),
            1 => (0..ENGINES).prop_map(|engine| Step::Leave { engine }),
            1 => (0..ENGINES).prop_map(|engine| Step::Join { engine }),
            1 => (0..3000u64).prop_map(|millis| Step::Pass { millis }),
            1 => any::<usize>().prop_map(|index| Step::Lose { index }),
        ]
        .boxed()
    }

    fn apply(mut state: Count, step: &Step) -> Count {
        match step {
            Step::Leave { engine } => drop(state.active.insert(*engine, false)),
            Step::Join { engine } => drop(state.active.insert(*engine, true)),
            _ => {}
        }
        state
    }
}

/// The pool with the test's own book of what was granted.
pub struct System {
    pool: Pool,
    now: Instant,
    number: u64,
    held: Vec<(Ticket, Grant)>,
    waiting: Vec<Ticket>,
    active: BTreeMap<usize, bool>,
    ejected: Vec<ids::Engine>,
}

impl System {
    fn configure(&mut self) {
        let engines: Vec<_> = self
            .active
            .iter()
            .map(|(index, active)| (engine(*index), *active))
            .collect();
        self.pool.configure(load(), &engines);
    }

    /// Checks a grant against the bound, counted here and not by the pool.
    fn granted(&mut self, ticket: Ticket, grant: Grant) {
        self.held.push((ticket, grant.clone()));
        let open = |name: &ids::Engine| self.held.iter().filter(|(_, g)| g.engine == *name).count();
        let usable: Vec<_> = self
            .active
            .iter()
            .filter(|(_, active)| **active)
            .map(|(index, _)| engine(*index))
            .filter(|name| !self.ejected.contains(name))
            .collect();
        assert!(
            usable.contains(&grant.engine),
            "{} is leaving or failed",
            grant.engine
        );
        let total: usize = usable.iter().map(open).sum();
        let mean = total as f64 / usable.len() as f64;
        let bound = (load().multiple * mean).ceil().max(f64::from(load().floor));
        let bound = bound.min(f64::from(load().slots));
        assert!(
            open(&grant.engine) as f64 <= bound,
            "{} over {bound}",
            grant.engine
        );
    }

    fn take(&mut self, verdicts: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in verdicts {
            let index = self.waiting.iter().position(|waiting| *waiting == ticket);
            self.waiting
                .remove(index.expect("a verdict for one that waits"));
            if let Verdict::Granted(grant) = verdict {
                self.granted(ticket, grant);
            }
        }
    }

    fn see_ejected(&mut self) {
        let all = self.pool.engines().iter();
        let out = all.filter(|(_, engine)| engine.ejected.is_some());
        self.ejected = out.map(|(name, _)| name.clone()).collect();
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = System;
    type Reference = Machine;

    fn init_test(_: &Count) -> System {
        let (pool, now) = pool_of(load(), ENGINES);
        System {
            pool,
            now,
            number: 0,
            held: Vec::new(),
            waiting: Vec::new(),
            active: (0..ENGINES).map(|index| (index, true)).collect(),
            ejected: Vec::new(),
        }
    }

    fn apply(mut system: System, _: &Count, step: Step) -> System {
        match step {
            Step::Ask { account, prefix } => {
                system.number += 1;
                let ask = ask(system.number, &format!("account-{account}"), prefix);
                let ticket = ask.ticket.clone();
                match system.pool.ask(ask, system.now) {
                    Verdict::Granted(grant) => system.granted(ticket, grant),
                    Verdict::Waits => system.waiting.push(ticket),
                    Verdict::Refused(fault) => assert!(fault.retry_after.is_some(), "{fault}"),
                }
            }
            Step::Release { index, failed } if !system.held.is_empty() => {
                let index = index % system.held.len();
                let (_, grant) = system.held.remove(index);
                let ended = if failed { Ended::Failed } else { Ended::Served };
                if failed {
                    system.ejected.push(grant.engine.clone());
                }
                let verdicts = system.pool.release(grant.slot, ended, system.now);
                system.take(verdicts);
                // A slot given back twice must change nothing.
                assert!(system
                    .pool
                    .release(grant.slot, ended, system.now)
                    .is_empty());
            }
            Step::Release { .. } => {}
            Step::Leave { engine } => {
                system.active.insert(engine, false);
                system.configure();
            }
            Step::Join { engine } => {
                system.active.insert(engine, true);
                system.configure();
            }
            Step::Pass { millis } => {
                system.now += Duration::from_millis(millis);
                for index in 0..ENGINES {
                    system.pool.recover(&engine(index), system.now);
                }
                system.see_ejected();
                let verdicts = system.pool.tick(system.now);
                system.take(verdicts);
            }
            Step::Lose { index } if !system.held.is_empty() => {
                // The caller gave up: by ticket, granted or not.
                let index = index % system.held.len();
                let (ticket, _) = system.held.remove(index);
                let verdicts = system.pool.withdraw(&ticket, system.now);
                system.take(verdicts);
            }
            Step::Lose { .. } => {}
        }
        system.see_ejected();
        system
    }

    fn check_invariants(system: &System, count: &Count) {
        assert_eq!(system.active, count.active);
        assert_eq!(system.pool.open(), system.held.len(), "open grants");
        assert_eq!(
            system.pool.waiting(),
            system.waiting.len(),
            "waiting requests"
        );
        for (name, engine) in system.pool.engines() {
            let held = system
                .held
                .iter()
                .filter(|(_, grant)| grant.engine == *name)
                .count();
            assert_eq!(engine.open as usize, held, "open grants of {name}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(config(256))]

    #[test]
    fn the_bound_holds_at_every_grant(sequential 1..200 => Machine);
}
