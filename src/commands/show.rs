//! `tidepier show`: the document in force.

use serde_json::Value;
use tidepier_http::client::Call;

use crate::client::{document_of, print_json, Reach};

/// Prints the document in force, ready to be changed and applied again.
#[derive(Debug, clap::Args)]
pub struct Command {
    #[command(flatten)]
    reach: Reach,
    /// Prints the whole record: generation, author, time and document.
    #[arg(long)]
    json: bool,
}

impl Command {
    /// Prints the document.
    ///
    /// # Errors
    ///
    /// No box answers, or nothing is in force yet.
    pub fn execute(&self) -> eyre::Result<()> {
        let record: Value = self.reach.open()?.call(&Call::get("/document"))?;
        match self.json {
            true => print_json(&record),
            false => print_json(document_of(&record)),
        }
    }
}
