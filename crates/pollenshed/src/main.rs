//! The pollenshed daemon. Each subcommand is a module of `cmd`.

use std::process::ExitCode;

use clap::Command;

mod cmd;

fn main() -> ExitCode {
    let app = Command::new("pollenshed")
        .about("Global traffic steering: every process between callers and backend servers.")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(cmd::serve::command())
        .subcommand(cmd::steer::command())
        .subcommand(cmd::check::command())
        .subcommand(cmd::dev::command());
    match app.get_matches().subcommand() {
        Some(("serve", args)) => cmd::serve::run(args),
        Some(("steer", args)) => cmd::steer::run(args),
        Some(("check", args)) => cmd::check::run(args),
        Some(("dev", args)) => cmd::dev::run(args),
        _ => ExitCode::from(cmd::EXIT_USAGE),
    }
}
