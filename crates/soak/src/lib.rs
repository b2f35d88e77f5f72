//! A randomized soak of the relay: real processes on loopback, faults from
//! outside them, and rules that are judged by what clients and servers see.
//!
//! A seed decides the whole [`schedule`] of [`fault`]s; [`fleet`] starts the processes and
//! stand-ins and carries the schedule out; [`load`] plays the clients; all of
//! them write to the [`ledger`]; the [`rule`]s read a copy of it, the
//! [`evidence`], and nothing else.
//! [`run`] puts one seed together.
//!
//! Invariants:
//!
//! * Whoever does something does not judge it: no rule knows the schedule, and
//!   no generator reads a verdict.
//! * Only processes that the soak started are signalled.
//! * A check that is left out because the machine was busy is counted.

pub mod bound;
pub mod evidence;
pub mod fault;
pub mod fleet;
pub mod ledger;
pub mod load;
pub mod plan;
pub mod process;
pub mod pulse;
pub mod rule;
pub mod run;
pub mod schedule;
mod sync;
pub mod way;
