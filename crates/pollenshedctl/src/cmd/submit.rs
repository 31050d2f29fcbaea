use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::eyre;
use pollenshed_protocol::platform::{CONFIG_TABLE, HEAD_KEY, Head};
use pollenshed_transport::platform::{Platform, Put};
use serde_json::json;

use crate::{
    options::Options,
    util::{self, Exit},
};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

const EXAMPLE: &str = "\
Example:
    pollenshedctl submit --platform 127.0.0.1:7100 cali.json

With --json the output is one object:
    {\"version\"}";

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
        .arg(Arg::new("FILE").required(true).value_parser(value_parser!(PathBuf)))
        .after_help(format!("{EXAMPLE}\n\n{}", util::EXIT_CODES))
}

pub fn run(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    let version = submit(args, options)?;
    options.print(vec![format!("submitted version {version}")], |_| json!({"version": version}))?;
    Ok(Exit::Success)
}

fn submit(args: &ArgMatches, options: &Options) -> eyre::Result<u64> {
    let address = *args.get_one::<SocketAddr>("platform").ok_or_else(|| eyre!("no platform"))?;
    let config = options.read_config(util::path(args, "FILE")?)?;
    let document = config.canonical_json();
    let digest = config.digest();
    let platform = Platform::open(address, PLATFORM_TIMEOUT);
    platform.put_object(&digest.hex(), document.as_bytes())?;
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
