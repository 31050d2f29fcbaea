use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use pollenshed::steer::{self, SETTINGS_VARIABLE, settings::SteerSettings};
use pollenshed_transport::logs;
use tokio::{runtime::Builder, task::LocalSet};

use super::{EXIT_FAILED, EXIT_REFUSED, EXIT_USAGE, print_line, report_error};

/// Maximum time for writing the last log lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Defines the command line of `pollenshed steer`.
pub fn command() -> Command {
    Command::new("steer")
        .about("Runs one instance on the users' platform until SIGTERM, then stops it as planned.")
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .env(SETTINGS_VARIABLE)
                .help("Settings of the instance"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and ends"),
        )
        .after_help("Example: pollenshed steer /etc/pollenshed/steer.json")
}

/// Runs `pollenshed steer` and returns its exit code.
pub fn run(args: &ArgMatches) -> ExitCode {
    let Some(path) = args.get_one::<PathBuf>("settings") else {
        return report_error(
            EXIT_USAGE,
            format!("name a settings file or set {SETTINGS_VARIABLE}"),
        );
    };
    let settings = match SteerSettings::open(path) {
        Ok(settings) => settings,
        Err(e) => return report_error(EXIT_REFUSED, format!("{e:#}")),
    };
    if args.get_flag("check") {
        print_line(format_args!("{}: the settings are accepted", path.display()));
        return ExitCode::SUCCESS;
    }
    match steer(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_error(EXIT_FAILED, format!("{e:#}")),
    }
}

fn steer(settings: SteerSettings) -> Result<()> {
    logs::init_to(std::io::stdout()).wrap_err("cannot start the log writer")?;
    let runtime =
        Builder::new_current_thread().enable_all().build().wrap_err("cannot start the runtime")?;
    let result = LocalSet::new().block_on(&runtime, steer::run(settings));
    logs::flush(FLUSH_TIMEOUT);
    result
}
