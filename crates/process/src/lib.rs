//! What the mains of tidepier's processes share.
//!
//! Invariant: nothing starts before the settings have been read and found
//! valid, and a process that ends says by its exit code which of both failed.

use std::fmt::Display;
use std::process::ExitCode;

use log::LevelFilter;

/// Exit code for settings that cannot be used.
pub const EXIT_SETTINGS: u8 = 2;

// Not a doc comment: it would take the place of each program's own.
// Options of every process. clap takes the name for a group of its own, so it
// differs from that of the struct it is a part of.
#[derive(Debug, Clone, Copy, clap::Args)]
#[expect(missing_docs, reason = "a comment would show as the program's own")]
pub struct Options {
    /// Checks the settings and exits.
    #[arg(long)]
    pub check: bool,
    /// What is logged.
    #[arg(long, env = "TIDEPIER_LOG", default_value = "info")]
    pub log: LevelFilter,
}

impl Options {
    /// Reads the settings, and runs with them unless they were to be checked
    /// only. `failed` is the exit code of a run that failed.
    pub fn main<S, E: Display>(
        &self,
        read: impl FnOnce() -> Result<S, E>,
        run: impl FnOnce(S, LevelFilter) -> eyre::Result<ExitCode>,
        failed: ExitCode,
    ) -> ExitCode {
        let settings = match read() {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(EXIT_SETTINGS);
            }
        };
        if self.check {
            println!("settings are valid");
            return ExitCode::SUCCESS;
        }
        run(settings, self.log).unwrap_or_else(|error| {
            eprintln!("{error:#}");
            failed
        })
    }
}
