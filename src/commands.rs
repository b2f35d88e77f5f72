//! The subcommands, one file each.

pub mod apply;
pub mod check;
pub mod completions;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod keys;
pub mod schema;
pub mod show;
pub mod status;
