//! The load and experiment tool.
//!
//! It sends requests as clients do. It knows the expected answers in advance
//! ([`tidepier_standin::oracle`]), checks every token, and prints one JSON line
//! at the end of each run.

pub mod caller;
pub mod chats;
pub mod commands;
pub mod fleet;
pub mod outside;
pub mod process;
pub mod tally;
pub mod workload;
