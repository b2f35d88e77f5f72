//! Orders to an engine to load a model, and what it has loaded.

use serde::{Deserialize, Serialize};

/// An order to load a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The sender's fencing number.
    pub fencing: u64,
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: String,
    /// Adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The weight store's permit.
    pub permit: String,
}

/// What an engine has loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<String>,
    /// The fencing number of the order accepted last.
    pub fencing: u64,
    /// Orders accepted.
    pub taken: u64,
    /// Orders that were accepted although an earlier one had a higher fencing
    /// number.
    pub stale: u64,
}

/// The orders that an engine has accepted.
#[derive(Debug, Default)]
pub struct Orders {
    /// Whether orders with a lower fencing number than an earlier one are
    /// rejected.
    pub checks: bool,
    /// What is loaded.
    pub loaded: Loaded,
    highest: u64,
}

impl Orders {
    /// An engine that has accepted no order yet.
    pub fn new(checks: bool) -> Self {
        Self {
            checks,
            ..Self::default()
        }
    }

    /// Accepts an order, or returns the fencing number that it had to reach.
    ///
    /// # Errors
    ///
    /// The highest fencing number seen, when this engine checks and the order's
    /// is lower.
    pub fn take(&mut self, order: &Order) -> Result<(), u64> {
        let old = order.fencing < self.highest;
        if old && self.checks {
            return Err(self.highest);
        }
        self.highest = self.highest.max(order.fencing);
        self.loaded.stale += u64::from(old);
        self.loaded.taken += 1;
        self.loaded.model = order.model.clone();
        self.loaded.version = order.version.clone();
        self.loaded.adapters = order.adapters.clone();
        self.loaded.fencing = order.fencing;
        Ok(())
    }
}
