//! How far an order has come, as stored for all boxes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_core::rollout::State;
use tidepier_ids as ids;

/// Prefix of the keys of the stages.
const KEY_PREFIX: &str = "tidepier/rollouts/";

/// The key of the stage of a service's order.
pub fn key(service: &ids::Service) -> String {
    format!("{KEY_PREFIX}{service}")
}

/// The service that a stage's key belongs to.
pub fn service(key: &str) -> Option<ids::Service> {
    key.strip_prefix(KEY_PREFIX)?.parse().ok()
}

/// The stage of an order, as stored.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Number of the revision of the order's own entry. A restore of the store affects both
    /// entries, so that the number refers to the same order in any era in which the store
    /// has both.
    pub order: u64,
    /// State of the order.
    #[serde(with = "StateText")]
    pub state: State,
    /// The share of the requests that the new release gets, from 0 to 1.
    pub share: f64,
    /// Time from the order to this stage in ms, by the clock of the box that wrote it.
    pub elapsed_ms: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "State", rename_all = "snake_case")]
enum StateText {
    InProgress,
    Completed,
    RolledBack,
}

impl Stage {
    /// Whether its share is one: no writer of stages has another, and anyone may write.
    pub fn has_share(&self) -> bool {
        (0.0..=1.0).contains(&self.share)
    }

    /// Time from the order to this stage.
    pub fn elapsed(&self) -> Duration {
        Duration::from_millis(self.elapsed_ms)
    }
}
