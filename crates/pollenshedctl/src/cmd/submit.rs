use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use pollenshed_state::ids::ConfigVersion;

use crate::{
    instances,
    options::Options,
    submission::{self, Submitter},
    util::{self, Exit},
};

const USAGE: &str = "\
Checks a configuration and submits it as the next version.

Stores the document under its digest, then makes it the version in force with
one conditional write. If another submission comes first, this one has no
effect, and the winning version and the differences are printed. Give the
addresses of instances, so that the new version is higher than every version in
force.";

const EXAMPLE: &str = "\
Example:
    pollenshedctl submit --platform 127.0.0.1:7100 --instance 127.0.0.1:8002 --wait cali.json
    submitted version 7";

pub fn command() -> Command {
    let file = Arg::new("FILE").required(true).value_parser(value_parser!(PathBuf));
    let base = Arg::new("base").long("base").value_name("VERSION");
    let command =
        Command::new("submit")
            .about("Submits a configuration")
            .long_about(USAGE)
            .after_help(format!("{EXAMPLE}\n\n{}\n\n{}", submission::JSON_HELP, util::EXIT_CODES))
            .arg(file.help("Configuration; - reads standard input"))
            .arg(base.value_parser(value_parser!(u64)).help(
                "Version that the file is based on; the race is lost if another one is in force",
            ))
            .arg(instances::argument("Operators' address of an instance; may be repeated"));
    submission::declare(command).mut_arg("platform", |arg| arg.required(true))
}

pub fn run(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    let config = options.read_config(util::path(args, "FILE")?)?;
    let expected = args.get_one::<u64>("base").map(|version| ConfigVersion(*version));
    Submitter::new(args)?.submit(&config, expected)?.print(options)
}
