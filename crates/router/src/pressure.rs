//! The load of the halls' pools, as their keepers report it with each grant.
//!
//! A pool's load bound applies within its hall. Between halls, a router uses
//! the keepers' last reports: a chat is sent to another hall than its first
//! only while the first one's load is well above the mean of all halls.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_config::document::Engine;
use tidepier_ids as ids;
use tidepier_wire::frame::Pressure;

/// Age from which a keeper's report is ignored.
const AGE_MAX: Duration = Duration::from_secs(2);
/// Requests per engine up to which a hall is never moved back in the order:
/// another hall would not serve the chat faster.
const REQUESTS_MIN: f64 = 2.0;

type Reports = HashMap<(ids::Model, ids::Hall), (f64, Instant)>;

/// The last report of each pool's keeper.
#[derive(Default)]
pub(crate) struct Pressures(Mutex<Reports>);

impl Pressures {
    /// Records the report of the keeper of an engine's pool.
    pub(crate) fn record(&self, engine: &Engine, pressure: Pressure) {
        let pool = (engine.model.clone(), engine.hall.clone());
        self.lock()
            .insert(pool, (pressure.requests(), Instant::now()));
    }

    /// Moves halls whose load is above `multiple` times the mean behind the
    /// others, and keeps the order otherwise.
    pub(crate) fn overloaded_last(
        &self,
        model: &ids::Model,
        halls: Vec<ids::Hall>,
        multiple: f64,
    ) -> Vec<ids::Hall> {
        let reports = self.lock();
        let of = |hall: &ids::Hall| -> Option<f64> {
            let (requests, at) = reports.get(&(model.clone(), hall.clone()))?;
            (at.elapsed() < AGE_MAX).then_some(*requests)
        };
        let known: Vec<f64> = halls.iter().filter_map(of).collect();
        if known.len() < 2 {
            return halls;
        }
        let mean = known.iter().sum::<f64>() / known.len() as f64;
        let most = (multiple * mean).max(REQUESTS_MIN);
        let overloaded = |hall: &ids::Hall| of(hall).is_some_and(|requests| requests > most);
        let (last, first): (Vec<_>, Vec<_>) = halls.into_iter().partition(overloaded);
        first.into_iter().chain(last).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Reports> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
