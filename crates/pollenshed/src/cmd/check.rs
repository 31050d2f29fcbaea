use std::{fs, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command};
use pollenshed_state::check::{self, CheckReport};

use super::{EXIT_FAILED, EXIT_REFUSED, print_line, report_error};

const EXAMPLE: &str = "\
Example:
    pollenshed check /etc/pollenshed/palermo-a-1.jsonc cali.json
    pollenshed check --json cali.json

With --json the output is one object, as that of pollenshedctl check --json:
    {\"files\": [{\"file\", \"kind\", \"digest\", \"findings\": [{\"file\",
      \"position\": {\"line\", \"column\"}, \"path\", \"message\", \"expected\"}]}]}

Exit codes:
    0  all files are accepted
    1  a file cannot be read
    2  wrong usage
    3  at least one file is refused";

/// Defines the command line of `pollenshed check`.
pub fn command() -> Command {
    Command::new("check")
        .about("Checks settings and configuration files without starting anything")
        .long_about(
            "Checks settings and configuration files. Prints all findings of all files, one on \
             each line, as file:line:column: field: what is wrong; expected what is accepted.",
        )
        .after_help(EXAMPLE)
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints one JSON object for scripts instead of lines"),
        )
        .arg(Arg::new("FILE").required(true).num_args(1..).help("Settings or configuration"))
}

/// Runs `pollenshed check`.
pub fn run(args: &ArgMatches) -> ExitCode {
    let paths = args.get_many::<String>("FILE").into_iter().flatten();
    let read = |path: &String| fs::read_to_string(path).map(|text| (path.clone(), text));
    let mut files = Vec::new();
    for path in paths {
        match read(path) {
            Ok(file) => files.push(file),
            Err(e) => return report_error(EXIT_FAILED, format!("cannot read {path}: {e}")),
        }
    }
    let report = CheckReport { files: check::check_files(&files) };
    if let Err(e) = print(&report, args.get_flag("json")) {
        return report_error(EXIT_FAILED, format!("cannot print the findings: {e}"));
    }
    if report.all_accepted() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) }
}

fn print(report: &CheckReport, as_json: bool) -> serde_json::Result<()> {
    if as_json {
        print_line(format_args!("{}", serde_json::to_string_pretty(report)?));
    } else {
        for file_report in &report.files {
            print_line(format_args!("{file_report}"));
        }
    }
    Ok(())
}
