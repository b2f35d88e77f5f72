//! The steward process: orders to engines, and paced use of the weight store.
//!
//! It is a process of its own so that nothing it does, a stuck weight store or
//! a crash, can touch a stream. Every box runs one; in each hall the one that
//! holds the duty's lease acts.
//!
//! Orders are level-triggered: what the document wants is compared with what
//! an engine reports, and ordered until the two are equal.
//!
//! Invariants:
//!
//! * No order is sent after the end of the lease by this process's own
//!   monotonic clock, counted from before the call that renewed it, less a
//!   margin for the order's flight.
//! * Orders carry the lease's fencing number, which grows from holder to
//!   holder.
//! * An engine that does not check fencing numbers is ordered by a new holder
//!   only after the longest time that an order of the holder before can take.

mod duty;
mod orders;
mod work;

pub use duty::{Duty, Hold};
pub use orders::{Loaded, Order};
pub use work::Steward;
