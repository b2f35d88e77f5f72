//! The router process of an entry box.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use log::LevelFilter;
use tidepier_relay::settings::{self, Settings};
use tidepier_relay::signal::Changes;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Routes clients' requests to the servers of the fleet.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// JSON settings file.
    #[arg(long, env = "TIDEPIER_BOOT")]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
    /// What is logged.
    #[arg(long, env = "TIDEPIER_LOG", default_value = "info")]
    log: LevelFilter,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if arguments.check {
        return check(&arguments);
    }
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            match error.downcast_ref::<settings::Error>() {
                Some(_) => ExitCode::from(EXIT_SETTINGS),
                None => ExitCode::FAILURE,
            }
        }
    }
}

fn check(arguments: &Arguments) -> ExitCode {
    match settings::read(&arguments.settings) {
        Ok(_) => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn run(arguments: &Arguments) -> eyre::Result<()> {
    // Before the settings are read, so that no later change is missed.
    let changes = Changes::watch(&arguments.settings)?;
    let settings = settings::read(&arguments.settings)?;
    let queue = tidepier_relay::log::init(arguments.log)?;
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
