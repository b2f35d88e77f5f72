//! The router process of an entry box.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use log::LevelFilter;
use tidepier_relay::settings::{self, Settings};
use tidepier_relay::signal::Requests;

/// Routes clients' requests to the servers of the fleet.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// JSON settings file.
    #[arg(long, env = "TIDEPIER_BOOT")]
    settings: PathBuf,
    #[command(flatten)]
    common: tidepier_process::Options,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.common.main(
        || read(&arguments.settings),
        |(settings, changes), level| run(settings, changes?, level).map(|()| ExitCode::SUCCESS),
        ExitCode::FAILURE,
    )
}

/// Starts to watch the settings file before reading it, so that no later change is
/// missed.
fn read(file: &Path) -> Result<(Settings, io::Result<Requests>), settings::Error> {
    let changes = Requests::watch(file);
    Ok((settings::read(file)?, changes))
}

fn run(settings: Settings, changes: Requests, level: LevelFilter) -> eyre::Result<()> {
    let queue = tidepier_relay::log::init(level)?;
    log_start(&settings);
    let outcome = smol::block_on(tidepier_relay::run(settings, changes));
    match &outcome {
        Ok(()) => log::info!(target: "process", "event=stopped reason=asked"),
        Err(error) => {
            let reason = format!("{error:#}");
            log::error!(target: "process", "event=stopped reason={reason:?}");
        }
    }
    queue.flush();
    outcome
}

fn log_start(settings: &Settings) {
    log::info!(
        target: "process",
        "event=started version={} box={} hall={} callers={} first_start={}",
        env!("CARGO_PKG_VERSION"),
        settings.name,
        settings.hall,
        settings.callers,
        settings.first_start,
    );
}
