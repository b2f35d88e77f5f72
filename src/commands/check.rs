//! `tidepier check`: checks a file without a fleet.

use std::path::{Path, PathBuf};

use eyre::WrapErr;
use tidepier_config::{check, Document, Settings};

/// Checks a fleet document, or with `--settings` a process's settings, and
/// prints every fault.
#[derive(Debug, clap::Args)]
pub struct Command {
    /// The file.
    file: PathBuf,
    /// The file holds the settings of a process.
    #[arg(long)]
    settings: bool,
}

impl Command {
    /// Checks the file.
    ///
    /// # Errors
    ///
    /// All faults of the file.
    pub fn execute(&self) -> eyre::Result<()> {
        let text = read(&self.file)?;
        if self.settings {
            let settings: Settings = check::parse(&text)?;
            println!("settings of box {} are valid", settings.name);
            return Ok(());
        }
        let document: Document = check::parse(&text)?;
        println!(
            "document of fleet {} is valid: {} halls, {} models, {} engines, {} services, {} accounts",
            document.fleet,
            document.halls.len(),
            document.models.len(),
            document.engines.len(),
            document.services.len(),
            document.accounts.len(),
        );
        Ok(())
    }
}

/// Reads a text file.
///
/// # Errors
///
/// The file cannot be read; the error names it.
pub fn read(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))
}
