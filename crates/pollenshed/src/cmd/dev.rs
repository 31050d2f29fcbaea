use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Describes `pollenshed dev`.
pub fn command() -> Command {
    Command::new("dev").about("Runs one instance with stand-ins on loopback.")
}

/// Runs `pollenshed dev`.
pub fn run(_args: &ArgMatches) -> ExitCode {
    ExitCode::SUCCESS
}
