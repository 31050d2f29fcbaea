//! Command-line tool for operators of pollenshed. `docs/configuration.md` describes the documents
//! that it checks.

mod cmd;
mod instances;
mod logs;
mod options;
mod submission;
mod util;

use std::process::ExitCode;

use clap::Command;

use crate::{options::Options, util::Exit};

const ABOUT: &str = "Checks, compares and submits configurations, and queries instances.";

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let matches = cli().get_matches();
    let Some((name, args)) = matches.subcommand() else {
        return Exit::Usage.into();
    };
    let Some(subcommand) = cmd::ALL.iter().find(|s| s.name == name) else {
        return Exit::Usage.into();
    };
    match (subcommand.run)(args, &Options::new(args)) {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("pollenshedctl {name}: {report:#}");
            Exit::Failure.into()
        }
    }
}

fn cli() -> Command {
    Command::new("pollenshedctl")
        .about(ABOUT)
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(util::EXIT_CODES)
        .subcommands(cmd::ALL.iter().map(|s| Options::declare((s.command)().name(s.name))))
}
