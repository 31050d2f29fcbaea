use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use pollenshed_state::check::{self, CheckReport};

use crate::{
    options::Options,
    util::{self, Exit},
};

const USAGE: &str = "\
Checks configurations and settings. It makes no network connection.

Prints all findings of all files, one on each line, in the form

    file:line:column: field: what is wrong; expected what would be accepted

For each accepted file, prints its kind and, for a configuration, the digest
under which it would be stored. Settings are also checked against the
configuration if exactly one configuration is given and it is accepted.";

const EXAMPLE: &str = "\
Example:
    pollenshedctl check cali.json entry-1.jsonc
    pollenshedctl check --json - < cali.json

With --json the output is one object:
    {\"files\": [{\"file\", \"kind\", \"digest\", \"findings\": [{\"file\",
      \"position\": {\"line\", \"column\"}, \"path\", \"message\", \"expected\"}]}]}";

pub fn command() -> Command {
    Command::new("check")
        .about("Checks configurations and settings")
        .long_about(USAGE)
        .after_help(format!("{EXAMPLE}\n\n{}", util::EXIT_CODES))
        .arg(
            Arg::new("FILE")
                .help("Configuration or settings in JSON with comments; - reads standard input")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

pub fn run(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    let paths = args.get_many::<PathBuf>("FILE").into_iter().flatten();
    let files = paths.map(|path| options.read(path)).collect::<eyre::Result<Vec<_>>>()?;
    let reports = CheckReport { files: check::check_files(&files) };
    let accepted = reports.all_accepted();
    options.print(reports.files, |files| CheckReport { files })?;
    Ok(if accepted { Exit::Success } else { Exit::Negative })
}
