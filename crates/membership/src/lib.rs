//! Which boxes live, as seen by one box.
//!
//! Each box sends heartbeats to a constant number of neighbours and spreads
//! what it learns as [`Rumor`]s on them, so that the cost for a box does not
//! grow with the fleet (after SWIM, Das, Gupta and Motivala 2002).
//!
//! Invariants:
//!
//! * A rumor is taken only if it is newer: by incarnation, then by sequence
//!   number, then by how bad its state is. So all boxes that have heard the
//!   same rumors hold the same table, whatever the order.
//! * Only a box of the same hall declares a box dead. A hall that is cut off
//!   becomes unreachable and its boxes stay in the table.
//! * A box that hears of its own death starts a new incarnation.

mod neighbours;
mod table;

pub use neighbours::neighbours;
pub use table::{Member, Rumor, Sight, State, Table};
