use std::{fs, process::ExitCode};

use clap::{Arg, ArgMatches, Command};
use pollenshed_state::check;

use super::{EXIT_FAILED, EXIT_REFUSED, fail};

const EXAMPLE: &str = "\
Example:
    pollenshed check /etc/pollenshed/palermo-a-1.jsonc cali.json

Exit codes:
    0  all files are accepted
    1  a file cannot be read
    2  wrong usage
    3  at least one file is refused";

/// Describes `pollenshed check`.
pub fn command() -> Command {
    Command::new("check")
        .about("Checks settings and configuration files without starting anything")
        .long_about(
            "Checks settings and configuration files. Prints all findings of all files, one on \
             each line, as file:line:column: field: what is wrong; expected what is accepted.",
        )
        .after_help(EXAMPLE)
        .arg(Arg::new("FILE").required(true).num_args(1..).help("Settings or configuration"))
}

/// Runs `pollenshed check`.
pub fn run(args: &ArgMatches) -> ExitCode {
    let names = args.get_many::<String>("FILE").into_iter().flatten();
    let read = |name: &String| fs::read_to_string(name).map(|text| (name.clone(), text));
    let mut files = Vec::new();
    for name in names {
        match read(name) {
            Ok(file) => files.push(file),
            Err(e) => return fail(EXIT_FAILED, format!("cannot read {name}: {e}")),
        }
    }
    let reports = check::files(&files);
    for report in &reports {
        println!("{report}");
    }
    if reports.iter().all(|report| report.findings.is_empty()) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_REFUSED)
    }
}
