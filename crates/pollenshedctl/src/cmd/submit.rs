use std::{fs, net::SocketAddr, process::ExitCode, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, eyre};
use pollenshed_protocol::platform::{CONFIG_TABLE, HEAD_KEY, Head};
use pollenshed_state::{config::Config, ids::Digest};
use pollenshed_transport::platform::{Platform, Put};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Describes `pollenshedctl submit`.
pub fn command() -> Command {
    Command::new("submit")
        .about("Submits a configuration.")
        .arg(
            Arg::new("platform")
                .long("platform")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the platform"),
        )
        .arg(Arg::new("file").required(true).value_name("FILE"))
        .after_help("Example: pollenshedctl submit --platform 127.0.0.1:7100 cali.json")
}

/// Runs `pollenshedctl submit`.
pub fn run(args: &ArgMatches) -> ExitCode {
    match submit(args) {
        Ok(version) => {
            println!("submitted version {version}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("pollenshedctl: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn submit(args: &ArgMatches) -> Result<u64> {
    let file = args.get_one::<String>("file").map_or("", String::as_str);
    let address = *args.get_one::<SocketAddr>("platform").ok_or_else(|| eyre!("no platform"))?;
    let text = fs::read_to_string(file).wrap_err_with(|| format!("cannot read {file}"))?;
    let config: Config = serde_json::from_str(&text).wrap_err_with(|| file.to_owned())?;
    let document = serde_json::to_vec_pretty(&config)?;
    let digest = Digest::of(&document);
    let platform = Platform::open(address, PLATFORM_TIMEOUT);
    platform.put_object(&digest.hex(), &document)?;
    let present = platform.get_row(CONFIG_TABLE, HEAD_KEY)?;
    let revision = present.as_ref().map_or(0, |row| row.revision);
    let version = match present {
        Some(row) => serde_json::from_value::<Head>(row.value)?.version + 1,
        None => 1,
    };
    let submission_id = format!("{:016x}", fastrand::u64(..));
    let head = Head { version, digest: digest.to_string(), submission_id, past: Vec::new() };
    match platform.put_row(CONFIG_TABLE, HEAD_KEY, revision, serde_json::to_value(head)?)? {
        Put::Written(_) => Ok(version),
        Put::Refused(_) => Err(eyre!("another operator submitted at the same time")),
    }
}
