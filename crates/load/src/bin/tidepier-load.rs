//! Load and experiments against a fleet on loopback.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tidepier_load::commands::{call, chat, chats, fleet, latency, run};

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
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Fleet(command) => command.execute(),
        Command::Call(command) => command.execute(),
        Command::Chats(command) => command.execute(),
        Command::Chat(command) => command.execute(),
        Command::Run(command) => command.execute(),
        Command::Latency(command) => command.execute(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
