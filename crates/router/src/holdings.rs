//! The places that this box holds. They are reported to a pool's new keeper.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use tidepier_ids as ids;

/// One held place.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub(crate) model: ids::Model,
    pub(crate) hall: ids::Hall,
    pub(crate) account: ids::Account,
    pub(crate) engine: ids::Engine,
    pub(crate) slot: ids::Slot,
    /// The box that granted or adopted it.
    pub(crate) keeper: ids::Box,
}

/// All places that this box holds, by the numbers that it gave them.
#[derive(Default)]
pub(crate) struct Holdings {
    places: Mutex<HashMap<u64, Holding>>,
    /// Requests in flight that a baseline policy has placed, by engine.
    baseline: Mutex<HashMap<ids::Engine, u32>>,
}

impl Holdings {
    pub(crate) fn insert(&self, number: u64, holding: Holding) {
        self.lock().insert(number, holding);
    }

    pub(crate) fn remove(&self, number: u64) -> Option<Holding> {
        self.lock().remove(&number)
    }

    /// Records that `keeper` has adopted a place under a new slot; returns
    /// whether the place is still held.
    pub(crate) fn reassign(&self, number: u64, keeper: &ids::Box, slot: ids::Slot) -> bool {
        match self.lock().get_mut(&number) {
            Some(holding) => {
                holding.keeper = keeper.clone();
                holding.slot = slot;
                true
            }
            None => false,
        }
    }

    /// A copy of all places.
    pub(crate) fn all(&self) -> Vec<(u64, Holding)> {
        let held = self.lock();
        held.iter()
            .map(|(number, holding)| (*number, holding.clone()))
            .collect()
    }

    /// The slots that `keeper` granted or adopted.
    pub(crate) fn slots(&self, keeper: &ids::Box) -> Vec<ids::Slot> {
        let held = self.lock();
        let theirs = held.values().filter(|holding| holding.keeper == *keeper);
        theirs.map(|holding| holding.slot).collect()
    }

    /// Counts a request that a baseline policy has placed.
    pub(crate) fn begin_baseline(&self, engine: &ids::Engine) {
        *self.baseline().entry(engine.clone()).or_default() += 1;
    }

    /// Counts the end of a request that a baseline policy has placed.
    pub(crate) fn end_baseline(&self, engine: &ids::Engine) {
        if let Some(open) = self.baseline().get_mut(engine) {
            *open = open.saturating_sub(1);
        }
    }

    /// Requests in flight on an engine that a baseline policy has placed.
    pub(crate) fn open_baseline(&self, engine: &ids::Engine) -> u32 {
        self.baseline().get(engine).copied().unwrap_or(0)
    }

    fn baseline(&self) -> MutexGuard<'_, HashMap<ids::Engine, u32>> {
        self.baseline.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Holding>> {
        self.places.lock().unwrap_or_else(|e| e.into_inner())
    }
}
