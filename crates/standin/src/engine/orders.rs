//! Orders to an engine: what it has loaded and which order it took last.

use serde::{Deserialize, Serialize};

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of who orders.
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
    /// The fencing number of the last order taken.
    pub fencing: u64,
    /// Orders taken.
    pub taken: u64,
    /// Orders with an older number than an earlier one that were taken.
    pub stale: u64,
}

/// The order book of an engine.
#[derive(Debug, Default)]
pub struct Orders {
    /// Whether orders with an old number are refused.
    pub checks: bool,
    /// What is loaded.
    pub loaded: Loaded,
    highest: u64,
}

impl Orders {
    /// An empty book.
    pub fn new(checks: bool) -> Self {
        Self {
            checks,
            ..Self::default()
        }
    }

    /// Takes an order, or returns the number that it had to reach.
    ///
    /// # Errors
    ///
    /// The highest number seen, when this engine checks and the order's is lower.
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
