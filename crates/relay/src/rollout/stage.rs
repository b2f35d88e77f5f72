//! How far an order has come, as it lies in the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_core::rollout::State;
use tidepier_ids as ids;

/// Beginning of the keys under which boxes keep how far orders have come.
const KEYS: &str = "tidepier/rollouts/";

/// The key of how far the order for a service has come.
pub fn key(service: &ids::Service) -> String {
    format!("{KEYS}{service}")
}

/// The service whose order a key is of.
pub fn service(key: &str) -> Option<ids::Service> {
    key.strip_prefix(KEYS)?.parse().ok()
}

/// One entry.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Number of the revision of the order's own entry. The store goes back with both, so
    /// that it is of the same order in any era in which the store has both.
    pub order: u64,
    /// How far it has come.
    #[serde(with = "Told")]
    pub state: State,
    /// The part of the requests that the new release gets.
    pub share: f64,
    /// Time from the order to this, in ms, by the clock of who wrote it.
    pub elapsed_ms: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "State", rename_all = "snake_case")]
enum Told {
    InProgress,
    Completed,
    RolledBack,
}

impl Stage {
    /// Time from the order to this.
    pub fn elapsed(&self) -> Duration {
        Duration::from_millis(self.elapsed_ms)
    }
}
