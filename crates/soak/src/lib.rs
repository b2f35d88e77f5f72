//! A randomized fault soak of the relay. It runs real relay processes on loopback, injects
//! faults from outside them, and checks rules against what clients and servers observe.
//!
//! A seed determines the whole [`schedule`] of [`fault`]s. [`fleet`] starts the processes
//! and stand-ins and carries out the schedule; [`load`] sends the requests of the clients;
//! both record what they do and observe in the [`ledger`]. The [`rule`]s read a copy of it,
//! the [`evidence`], and nothing else. [`run`] executes one seed from start to verdict.
//!
//! Invariants:
//!
//! * Generating and judging are separate: no rule knows the schedule, and no generator of
//!   faults or load reads a verdict.
//! * Only processes that the soak started are signalled.
//! * A check that is left out because the host lacked processor time is counted.

pub mod bound;
pub mod count;
pub mod delay_monitor;
pub mod evidence;
pub mod fault;
pub mod fleet;
pub mod gate;
pub mod ledger;
pub mod load;
pub mod misuse;
pub mod odd;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod rule;
pub mod run;
pub mod schedule;
mod sync;
