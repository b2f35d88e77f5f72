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
    #[command(flatten)]
    common: tidepier_process::Options,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.common.main(
        || check::read(&arguments.settings),
        |settings, level| run(settings, level).map(|()| ExitCode::SUCCESS),
        ExitCode::from(Kind::Internal.answer().exit),
    )
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
        // A second signal ends the process at once; the lease then expires.
        signals.next().await;
    };
    smol::spawn(tidepier_clock::watch()).detach();
    smol::block_on(steward.run().or(stopped));
    Ok(())
}
