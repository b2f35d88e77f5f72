//! `tidepier`, the operators' command line.

use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use tidepier::commands::{
    apply, check, completions, diff, drain, explain, keys, schema, show, status,
};
use tidepier::exit;

/// Operates a fleet of tidepier routers.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks a file.
    Check(check::Command),
    /// Shows what applying a document would change.
    Diff(diff::Command),
    /// Applies a document.
    Apply(apply::Command),
    /// Prints the document in force.
    Show(show::Command),
    /// Shows every box.
    Status(status::Command),
    /// Tells what became of a request.
    Explain(explain::Command),
    /// Stops a box or an engine as planned.
    Drain(drain::Command),
    /// Makes keys.
    Keys(keys::Command),
    /// Prints the JSON schemas of the files.
    Schema(schema::Command),
    /// Prints a completion script for a shell.
    Completions(completions::Command),
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Check(command) => command.execute(),
        Command::Diff(command) => command.execute(),
        Command::Apply(command) => command.execute(),
        Command::Show(command) => command.execute(),
        Command::Status(command) => command.execute(),
        Command::Explain(command) => command.execute(),
        Command::Drain(command) => command.execute(),
        Command::Keys(command) => command.execute(),
        Command::Schema(command) => command.execute(),
        Command::Completions(command) => {
            command.execute(Arguments::command());
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            exit::code(&error)
        }
    }
}
