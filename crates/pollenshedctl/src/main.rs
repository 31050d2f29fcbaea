//! The operators' command. `main` only dispatches; each subcommand has a file under `cmd`.

use std::process::ExitCode;

use clap::Command;

mod cmd;

fn main() -> ExitCode {
    let app = Command::new("pollenshedctl")
        .about("Checks, submits and watches the configuration of pollenshed.")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .subcommand(cmd::submit::command());
    match app.get_matches().subcommand() {
        Some(("submit", args)) => cmd::submit::run(args),
        _ => ExitCode::FAILURE,
    }
}
