//! The subcommands, one file each.

pub mod call;
pub mod chat;
pub mod chats;
pub mod claims;
pub mod control;
pub mod decide;
pub mod fleet;
pub mod latency;
pub mod report;
pub mod run;
