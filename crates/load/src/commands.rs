//! The subcommands, one file each.

pub mod chat;
pub mod fleet;
pub mod latency;
pub mod run;
