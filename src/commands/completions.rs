//! `tidepier completions`: completion scripts for shells.

use clap_complete::{generate, Shell};

/// Prints a completion script.
#[derive(Debug, clap::Args)]
pub struct Command {
    /// The shell.
    shell: Shell,
}

impl Command {
    /// Prints the script for `command`.
    pub fn execute(&self, mut command: clap::Command) {
        generate(self.shell, &mut command, "tidepier", &mut std::io::stdout());
    }
}
