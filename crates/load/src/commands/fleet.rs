//! `tidepier-load fleet`: writes the files of a fleet.

use std::fs;
use std::path::PathBuf;

use eyre::WrapErr;

use crate::fleet::{Fleet, Size};

/// Writes a fleet's document, the settings of each box and of the stand-ins.
#[derive(clap::Args)]
pub struct Command {
    #[command(flatten)]
    size: Size,
    /// Where the files go.
    #[arg(long)]
    dir: PathBuf,
}

impl Command {
    /// Writes the files.
    ///
    /// # Errors
    ///
    /// A file cannot be written.
    pub fn execute(&self) -> eyre::Result<()> {
        let fleet = Fleet::new(&self.size);
        fs::create_dir_all(&self.dir)?;
        self.write("document.json", &fleet.document)?;
        self.write("standin.json", &fleet.outside)?;
        for settings in &fleet.boxes {
            self.write(&format!("box-{}.json", settings.name), settings)?;
        }
        Ok(())
    }

    fn write(&self, name: &str, value: &impl serde::Serialize) -> eyre::Result<()> {
        let path = self.dir.join(name);
        let mut text = serde_json::to_string_pretty(value)?;
        text.push('\n');
        fs::write(&path, text).wrap_err_with(|| format!("writing {}", path.display()))
    }
}
