//! Runs all stand-ins in one process, for the demo and for measurement.

use std::path::PathBuf;
use std::sync::Arc;

use clap::Parser;
use eyre::WrapErr;
use tidepier_standin::part::Part;
use tidepier_standin::{admin, Fleet, Settings};

/// Stand-ins of the platform, engines and services. For tests and the demo only.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// JSON settings file.
    #[arg(long, env = "TIDEPIER_STANDIN_SETTINGS")]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    let text = std::fs::read_to_string(&arguments.settings)
        .wrap_err_with(|| format!("reading {}", arguments.settings.display()))?;
    let settings: Settings = serde_json::from_str(&text)
        .wrap_err_with(|| format!("reading {}", arguments.settings.display()))?;
    let fleet = Arc::new(Fleet::start(&settings)?);
    let admin = Part::new(settings.admin, Arc::new(admin::Door(fleet)));
    admin.start()?;
    smol::block_on(futures_lite::future::pending::<()>());
    Ok(())
}
