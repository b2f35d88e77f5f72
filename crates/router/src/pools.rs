//! The pools that this box keeps, without any of its tasks.
//!
//! Each call locks for as long as it works on the pools and no longer; verdicts
//! are handed back to be sent by whoever called.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_config::document::Load;
use tidepier_ids as ids;
use tidepier_placement::{Ended, Pool, Ticket, Verdict};

use crate::status::PoolStatus;

/// Decisions, and whom they are for.
pub(crate) type Verdicts = Vec<(Ticket, Verdict)>;

#[derive(Default)]
struct Kept {
    pools: HashMap<ids::Model, Pool>,
    /// When the pools were last ticked or asked for a place.
    ticked: Option<Instant>,
}

/// An engine of a pool that this box keeps.
pub(crate) struct Watched {
    pub(crate) model: ids::Model,
    pub(crate) engine: ids::Engine,
    /// Whether it is looked at often: its pool was taken over a short while ago,
    /// or it is out and may come back.
    pub(crate) often: bool,
}

/// The pools of one box.
#[derive(Default)]
pub(crate) struct Pools(Mutex<Kept>);

impl Pools {
    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Runs `work` on the pool of `model`, if this box keeps it.
    pub(crate) fn on<T>(&self, model: &ids::Model, work: impl FnOnce(&mut Pool) -> T) -> Option<T> {
        self.lock().pools.get_mut(model).map(work)
    }

    /// The pools kept here, by model.
    pub(crate) fn summary(&self) -> Vec<PoolStatus> {
        let state = self.lock();
        let mut rows: Vec<_> = state
            .pools
            .iter()
            .map(|(model, pool)| PoolStatus {
                model: model.clone(),
                engines: pool.engines().len(),
                open: pool.open(),
                waiting: pool.waiting(),
            })
            .collect();
        rows.sort_by(|a, b| a.model.cmp(&b.model));
        rows
    }

    /// Engines of the pools kept here.
    pub(crate) fn engines(&self) -> Vec<Watched> {
        let state = self.lock();
        let now = Instant::now();
        let pools = state.pools.iter();
        let engines = pools.flat_map(|(model, pool)| {
            let active = pool.engines().iter().filter(|(_, engine)| engine.active);
            active.map(move |(name, engine)| Watched {
                model: model.clone(),
                engine: name.clone(),
                often: pool.is_young(now) || engine.ejected.is_some(),
            })
        });
        engines.collect()
    }

    /// Takes what an engine reported; `None`: it did not answer.
    pub(crate) fn report(&self, model: &ids::Model, engine: &ids::Engine, running: Option<u32>) {
        let now = Instant::now();
        self.on(model, |pool| match running {
            Some(running) => {
                pool.report(engine, running);
                pool.recover(engine, now);
            }
            None => pool.fail(engine, now),
        });
    }

    /// Runs `work` on every pool kept here and returns all verdicts.
    pub(crate) fn each(&self, mut work: impl FnMut(&mut Pool) -> Verdicts) -> Verdicts {
        let mut state = self.lock();
        state.pools.values_mut().flat_map(&mut work).collect()
    }

    /// Gives a place back to the pool that granted it.
    pub(crate) fn release(&self, slot: ids::Slot, ended: Ended, now: Instant) -> Verdicts {
        let mut state = self.lock();
        let pool = state.pools.values_mut().find(|pool| pool.holds(slot));
        let out = pool.map(|pool| pool.release(slot, ended, now));
        out.unwrap_or_default()
    }

    /// Notes a look at the pools; returns the time of the one before.
    pub(crate) fn looked(&self, now: Instant) -> Option<Instant> {
        self.lock().ticked.replace(now)
    }

    /// Takes out the pools that `ends` holds for.
    pub(crate) fn take(&self, ends: impl Fn(&ids::Model) -> bool) -> Vec<Pool> {
        let mut state = self.lock();
        let ended = state.pools.extract_if(|model, _| ends(model));
        ended.map(|(_, pool)| pool).collect()
    }

    /// Configures the pool of `model`; a new one waits for `wait` before it
    /// grants anything.
    pub(crate) fn configure(
        &self,
        model: ids::Model,
        load: &Load,
        engines: &[(ids::Engine, bool)],
        wait: Duration,
    ) {
        let mut state = self.lock();
        let pool = state.pools.entry(model).or_insert_with(|| {
            metrics::counter!("tidepier_keeper_takeovers_total").increment(1);
            Pool::new(load.clone(), Instant::now() + wait)
        });
        pool.configure(load.clone(), engines);
    }
}
