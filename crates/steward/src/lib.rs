//! The steward process. It orders engines to load the models that the document
//! declares, at the rate for which the weight store gives permits.
//!
//! It is a process of its own so that neither an unresponsive weight store nor a
//! crash of the steward can affect the router's streams. Every box runs one. In
//! each hall, only the one that holds the lease of the hall's duty acts.
//!
//! Orders are level-triggered: the steward compares what the document declares
//! with what an engine reports, and repeats the order until the two are equal.
//!
//! Invariants:
//!
//! * No order is sent after the end of the lease by this process's own
//!   monotonic clock. The lease is counted from before the call that took or
//!   renewed it, less a margin for the time that an order takes to arrive.
//! * Orders carry the duty's fencing number, which is higher for each later
//!   holder.
//! * A new holder sends orders to an engine that does not check fencing numbers
//!   only after the longest time that an order of the previous holder can take.

mod duty;
mod orders;
mod work;

pub use duty::{Duty, Hold};
pub use orders::{Loaded, Order};
pub use work::Steward;
