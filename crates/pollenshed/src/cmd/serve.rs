use std::{fs, process::ExitCode, time::Duration};

use clap::{Arg, ArgMatches, Command};
use eyre::{Result, WrapErr, eyre};
use pollenshed::instance::Instance;
use pollenshed_state::settings::{self, Settings};

use pollenshed_transport::logs;

use super::{EXIT_FAILED, EXIT_REFUSED, print_line, report_error};

/// Timeout of writing the last log lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Defines the command line of `pollenshed serve`.
pub fn command() -> Command {
    Command::new("serve")
        .about("Runs one instance until SIGTERM or SIGINT, then stops it as planned.")
        .arg(
            Arg::new("settings").required(true).value_name("FILE").help("Settings of the instance"),
        )
        .after_help("Example: pollenshed serve /etc/pollenshed/palermo-a-1.json")
}

/// Runs `pollenshed serve`.
pub fn run(args: &ArgMatches) -> ExitCode {
    let path = args.get_one::<String>("settings").map_or("", String::as_str);
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(e) => return report_error(EXIT_REFUSED, format!("{e:#}")),
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_error(EXIT_FAILED, format!("{e:#}")),
    }
}

fn read_settings(path: &str) -> Result<Settings> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    settings::parse(path, &text).map_err(|findings| eyre!("{path} is not accepted\n{findings}"))
}

fn serve(settings: Settings) -> Result<()> {
    logs::init().wrap_err("cannot start the log writer")?;
    let instance = Instance::spawn(settings)?;
    print_line(format_args!("ready: callers http://{}", instance.caller_address()));
    print_line(format_args!("ready: operators http://{}", instance.operator_address()));
    print_line(format_args!("ready: peers http://{}", instance.shared().settings.peer_address));
    print_line(format_args!("ready: relay http://{}", instance.shared().settings.relay_address));
    instance.wait_for_signal()?;
    instance.stop();
    logs::flush(FLUSH_TIMEOUT);
    Ok(())
}
