//! The load and experiment tool.
//!
//! It plays callers whose right answers it knows in advance
//! ([`tidepier_standin::oracle`]), checks every token, and ends each run with
//! one JSON line.

pub mod caller;
pub mod chats;
pub mod commands;
pub mod fleet;
pub mod outside;
pub mod process;
pub mod tally;
pub mod workload;
