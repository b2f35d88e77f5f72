//! How loaded the halls' pools are, as told with each grant.
//!
//! A pool's bound holds within its hall. Between halls a router goes by what
//! the keepers told it last: a chat leaves its own hall only while that hall is
//! told to be well above the mean of the others.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_config::document::Engine;
use tidepier_ids as ids;
use tidepier_wire::frame::Pressure;

/// Age at which what a keeper told no longer counts.
const FRESH: Duration = Duration::from_secs(2);
/// Requests for each engine below which a hall is never left: there is
/// nothing to gain.
const IDLE: f64 = 2.0;

type Told = HashMap<(ids::Model, ids::Hall), (f64, Instant)>;

/// What keepers told.
#[derive(Default)]
pub(crate) struct Pressures(Mutex<Told>);

impl Pressures {
    /// Notes what the keeper of an engine's pool told.
    pub(crate) fn note(&self, engine: &Engine, pressure: Pressure) {
        let pool = (engine.model.clone(), engine.hall.clone());
        self.lock()
            .insert(pool, (pressure.requests(), Instant::now()));
    }

    /// Puts halls that are above `multiple` times the mean behind the others;
    /// the order is kept otherwise.
    pub(crate) fn spread(
        &self,
        model: &ids::Model,
        halls: Vec<ids::Hall>,
        multiple: f64,
    ) -> Vec<ids::Hall> {
        let told = self.lock();
        let of = |hall: &ids::Hall| -> Option<f64> {
            let (requests, at) = told.get(&(model.clone(), hall.clone()))?;
            (at.elapsed() < FRESH).then_some(*requests)
        };
        let known: Vec<f64> = halls.iter().filter_map(of).collect();
        if known.len() < 2 {
            return halls;
        }
        let mean = known.iter().sum::<f64>() / known.len() as f64;
        let most = (multiple * mean).max(IDLE);
        let full = |hall: &ids::Hall| of(hall).is_some_and(|requests| requests > most);
        let (late, early): (Vec<_>, Vec<_>) = halls.into_iter().partition(full);
        early.into_iter().chain(late).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Told> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
