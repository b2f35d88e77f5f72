//! The operators' command line of tidepier.
//!
//! Each subcommand is a clap struct with an `execute` of its own under
//! [`commands`]. Exit codes follow the table of [`tidepier_errors::Kind`].

pub mod client;
pub mod commands;
pub mod exit;
pub mod table;
