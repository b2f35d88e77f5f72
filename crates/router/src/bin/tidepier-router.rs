//! The router process of an entry box.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use eyre::WrapErr;
use futures_lite::StreamExt;
use metrics_exporter_prometheus::PrometheusBuilder;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use smol::Executor;
use tidepier_config::settings::Address;
use tidepier_config::{check, Settings};
use tidepier_errors::Kind;
use tidepier_ids as ids;
use tidepier_router::{set_metrics, Node};

/// Routes callers' requests to model engines and plain services.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// JSON settings file.
    #[arg(long, env = "TIDEPIER_SETTINGS")]
    settings: PathBuf,
    /// Overrides the box name of the settings.
    #[arg(long = "box", env = "TIDEPIER_BOX")]
    name: Option<ids::Box>,
    /// Overrides the hall of the settings.
    #[arg(long, env = "TIDEPIER_HALL")]
    hall: Option<ids::Hall>,
    /// Overrides where callers connect.
    #[arg(long, env = "TIDEPIER_CALLERS")]
    callers: Option<Address>,
    /// Overrides where other boxes connect.
    #[arg(long, env = "TIDEPIER_PEERS")]
    peers: Option<Address>,
    /// Overrides where operators connect.
    #[arg(long, env = "TIDEPIER_ADMIN")]
    admin: Option<Address>,
    #[command(flatten)]
    common: tidepier_process::Options,
}

impl Arguments {
    fn settings(&self) -> Result<Settings, check::FileError> {
        let mut settings: Settings = check::read(&self.settings)?;
        if let Some(name) = &self.name {
            settings.name = name.clone();
        }
        if let Some(hall) = &self.hall {
            settings.hall = hall.clone();
        }
        settings.callers = self.callers.unwrap_or(settings.callers);
        settings.peers = self.peers.unwrap_or(settings.peers);
        settings.admin = self.admin.unwrap_or(settings.admin);
        Ok(settings)
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.common.main(
        || arguments.settings(),
        |settings, level| {
            Ok(match run(settings, level)? {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::from(Kind::Deadline.answer().exit),
            })
        },
        ExitCode::from(Kind::Internal.answer().exit),
    )
}

/// Runs until a signal; returns how many requests were cut off by the shutdown.
fn run(settings: Settings, level: LevelFilter) -> eyre::Result<usize> {
    let format = ConfigBuilder::new().set_time_format_rfc3339().build();
    WriteLogger::init(level, format, std::io::stderr())?;
    let recorder = PrometheusBuilder::new().build_recorder();
    set_metrics(recorder.handle());
    metrics::set_global_recorder(recorder)?;
    let executor = Arc::new(Executor::new());
    executor.spawn(tidepier_clock::watch()).detach();
    let node = Node::start(settings, &executor).wrap_err("starting")?;
    log::info!("serving box={} hall={}", node.name(), node.hall());
    smol::block_on(executor.run(until_stopped(node)))
}

async fn until_stopped(node: Arc<Node>) -> eyre::Result<usize> {
    use async_signal::{Signal, Signals};
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    let finishing = node.finish();
    // A second signal ends the process at once.
    let second = async {
        signals.next().await;
        node.open_requests()
    };
    Ok(futures_lite::future::or(finishing, second).await)
}
