//! The pools of which this box is the keeper, without the tasks that work on
//! them.
//!
//! Each call holds the lock only while it works on the pools. It returns the
//! verdicts, and the calling code sends them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_config::document::Load;
use tidepier_ids as ids;
use tidepier_placement::{Ended, Pool, Ticket, Verdict};

use crate::status::PoolStatus;

/// Decisions, each with the ticket of the request that it answers.
pub(crate) type Verdicts = Vec<(Ticket, Verdict)>;

#[derive(Default)]
struct State {
    pools: HashMap<ids::Model, Pool>,
    /// Time of the last tick or the last request for a place.
    ticked: Option<Instant>,
}

/// An engine to probe, of a pool that this box keeps.
pub(crate) struct Target {
    pub(crate) model: ids::Model,
    pub(crate) engine: ids::Engine,
    /// Whether it is probed more often: this box became the keeper of its pool a
    /// short while ago, or the engine is ejected and may recover.
    pub(crate) is_frequent: bool,
}

/// The pools of one box.
#[derive(Default)]
pub(crate) struct Pools(Mutex<State>);

impl Pools {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Runs `work` on the pool of `model`, if this box keeps it.
    pub(crate) fn with_pool<T>(
        &self,
        model: &ids::Model,
        work: impl FnOnce(&mut Pool) -> T,
    ) -> Option<T> {
        self.lock().pools.get_mut(model).map(work)
    }

    /// The pools that this box keeps, sorted by model.
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

    /// The active engines of the pools that this box keeps.
    pub(crate) fn engines(&self) -> Vec<Target> {
        let state = self.lock();
        let now = Instant::now();
        let pools = state.pools.iter();
        let engines = pools.flat_map(|(model, pool)| {
            let active = pool.engines().iter().filter(|(_, engine)| engine.active);
            active.map(move |(name, engine)| Target {
                model: model.clone(),
                engine: name.clone(),
                is_frequent: pool.is_young(now) || engine.ejected.is_some(),
            })
        });
        engines.collect()
    }

    /// Records the load report of an engine; `None` if it did not answer.
    pub(crate) fn record_report(
        &self,
        model: &ids::Model,
        engine: &ids::Engine,
        running: Option<u32>,
    ) {
        let now = Instant::now();
        self.with_pool(model, |pool| match running {
            Some(running) => {
                pool.report(engine, running);
                pool.recover(engine, now);
            }
            None => pool.fail(engine, now),
        });
    }

    /// Runs `work` on every pool that this box keeps and returns all verdicts.
    pub(crate) fn for_each(&self, mut work: impl FnMut(&mut Pool) -> Verdicts) -> Verdicts {
        let mut state = self.lock();
        state.pools.values_mut().flat_map(&mut work).collect()
    }

    /// Releases a place in the pool that granted it.
    pub(crate) fn release(&self, slot: ids::Slot, ended: Ended, now: Instant) -> Verdicts {
        let mut state = self.lock();
        let pool = state.pools.values_mut().find(|pool| pool.holds(slot));
        let out = pool.map(|pool| pool.release(slot, ended, now));
        out.unwrap_or_default()
    }

    /// Records the time of a tick or a request; returns the previous one.
    pub(crate) fn record_tick(&self, now: Instant) -> Option<Instant> {
        self.lock().ticked.replace(now)
    }

    /// Removes and returns the pools of the models that `ends` selects.
    pub(crate) fn remove_matching(&self, ends: impl Fn(&ids::Model) -> bool) -> Vec<Pool> {
        let mut state = self.lock();
        let ended = state.pools.extract_if(|model, _| ends(model));
        ended.map(|(_, pool)| pool).collect()
    }

    /// Configures the pool of `model`; a new pool grants nothing before `wait`
    /// has passed.
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
