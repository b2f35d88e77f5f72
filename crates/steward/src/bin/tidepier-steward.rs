//! The steward process of an entry box.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use futures_lite::{FutureExt, StreamExt};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use tidepier_config::{check, Settings};
use tidepier_errors::Kind;
use tidepier_steward::Steward;

/// Orders engines of its hall into the state that the document declares.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// JSON settings file; the same as the router's.
    #[arg(long, env = "TIDEPIER_SETTINGS")]
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
    let settings = match check::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(Kind::Invalid.answer().exit);
        }
    };
    if arguments.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings, arguments.log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(Kind::Internal.answer().exit)
        }
    }
}

fn run(settings: Settings, level: LevelFilter) -> eyre::Result<()> {
    use async_signal::{Signal, Signals};
    let format = ConfigBuilder::new().set_time_format_rfc3339().build();
    WriteLogger::init(level, format, std::io::stderr())?;
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let steward = Steward::new(settings);
    let stopped = async {
        signals.next().await;
        steward.stop();
        // A second signal ends the process at once; the lease then lapses.
        signals.next().await;
    };
    smol::block_on(steward.run().or(stopped));
    Ok(())
}
