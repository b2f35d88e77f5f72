//! Which boxes are alive, as one box knows it.
//!
//! Each box sends heartbeats to a constant number of neighbours. What it learns of
//! other boxes travels in them as [`Rumor`]s, so that the cost for a box does not
//! grow with the fleet (after SWIM, Das, Gupta and Motivala 2002).
//!
//! Invariants:
//!
//! * A rumor is applied only if it is newer than the known one: by incarnation,
//!   then by sequence number, then by the order of [`State`], in which a worse
//!   state is newer. So all boxes that have received the same rumors hold the
//!   same table, whatever the order in which the rumors arrived.
//! * Only a box of the same hall declares a box dead. A hall that is partitioned
//!   from this box becomes unreachable, and its boxes stay in the table.
//! * A box that learns that it was declared dead starts a new incarnation.

mod neighbours;
mod table;

pub use neighbours::neighbours;
pub use table::{Member, Rumor, Sight, State, Table};
