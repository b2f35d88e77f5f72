//! Load and experiments against a fleet on loopback.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tidepier_load::commands::{
    call, chat, chats, claims, control, decide, fleet, latency, report, run,
};

/// Plays callers against a fleet and checks every answer.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Writes the files of a fleet.
    Fleet(fleet::Command),
    /// Calls a plain service once.
    Call(call::Command),
    /// Writes example chats.
    Chats(chats::Command),
    /// Holds one chat.
    Chat(chat::Command),
    /// Runs many callers.
    Run(run::Command),
    /// Measures what one router adds.
    Latency(latency::Command),
    /// Measures what claims cost.
    Claims(claims::Command),
    /// Measures what control costs.
    Control(control::Command),
    /// Measures a keeper's decisions.
    Decide(decide::Command),
    /// Puts the files of a measure together.
    Report(report::Command),
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Fleet(command) => command.execute(),
        Command::Call(command) => command.execute(),
        Command::Chats(command) => command.execute(),
        Command::Chat(command) => command.execute(),
        Command::Run(command) => command.execute(),
        Command::Latency(command) => command.execute(),
        Command::Claims(command) => command.execute(),
        Command::Control(command) => command.execute(),
        Command::Decide(command) => command.execute(),
        Command::Report(command) => command.execute(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
