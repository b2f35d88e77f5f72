//! `tidepier schema`: the JSON schemas of the files.

use tidepier_config::{check, Document, Settings};

use crate::client::print_json;

/// Prints the JSON schema of the fleet document, or of the settings.
#[derive(Debug, clap::Args)]
pub struct Command {
    /// The schema of a process's settings.
    #[arg(long)]
    settings: bool,
}

impl Command {
    /// Prints the schema.
    ///
    /// # Errors
    ///
    /// It cannot be printed.
    pub fn execute(&self) -> eyre::Result<()> {
        match self.settings {
            true => print_json(&check::schema::<Settings>()),
            false => print_json(&check::schema::<Document>()),
        }
    }
}
