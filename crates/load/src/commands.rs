//! The subcommands, one file each.

pub mod call;
pub mod chat;
pub mod chats;
pub mod fleet;
pub mod latency;
pub mod run;
