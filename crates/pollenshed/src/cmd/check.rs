use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Describes `pollenshed check`.
pub fn command() -> Command {
    Command::new("check").about("Checks settings and configuration files.")
}

/// Runs `pollenshed check`.
pub fn run(_args: &ArgMatches) -> ExitCode {
    ExitCode::SUCCESS
}
