use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use pollenshed_state::ids::ConfigVersion;

use crate::{
    instances,
    options::Options,
    submission::{self, Target},
    util::{self, Exit},
};

const USAGE: &str = "\
Checks a configuration and submits it as the next version.

The document is stored under its digest, and then one conditional write names it
as the version in force. If another submission comes first, this one has no
effect: the winning version and what differs are printed. Name instances, so
that the new version is above every version in force.";

const EXAMPLE: &str = "\
Example:
    pollenshedctl submit --platform 127.0.0.1:7100 --instance 127.0.0.1:8002 --wait cali.json
    submitted version 7";

pub fn command() -> Command {
    let file = Arg::new("FILE").required(true).value_parser(value_parser!(PathBuf));
    let base = Arg::new("base").long("base").value_name("VERSION");
    let command = Command::new("submit")
        .about("Submits a configuration")
        .long_about(USAGE)
        .after_help(format!("{EXAMPLE}\n\n{}\n\n{}", submission::JSON_HELP, util::EXIT_CODES))
        .arg(file.help("Configuration; - reads standard input"))
        .arg(
            base.value_parser(value_parser!(u64))
                .help("Version that the file was made from; another one in force wins the race"),
        )
        .arg(instances::argument("Operators' address of an instance; may be repeated"));
    submission::declare(command).mut_arg("platform", |arg| arg.required(true))
}

pub fn run(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    let config = options.read_config(util::path(args, "FILE")?)?;
    let expected = args.get_one::<u64>("base").map(|version| ConfigVersion(*version));
    Target::new(args)?.submit(&config, expected)?.print(options)
}
