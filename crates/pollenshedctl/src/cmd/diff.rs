use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use pollenshed_state::config::Change;
use serde::Serialize;

use crate::{
    options::Options,
    util::{self, Exit},
};

const USAGE: &str = "\
Compares two configurations field by field.

Prints one line for each difference. Paths contain the names of list entries
instead of their indices, so that an added entry does not change the paths of
the others. Formatting, comments and the order of unordered lists are ignored.
Both files must be accepted by `check`; otherwise the findings are printed to
standard error.";

const EXAMPLE: &str = "\
Example:
    pollenshedctl diff old.json new.json
    services[tavole].shift.cap_percent: 10 -> 20

With --json the output is one object:
    {\"changes\": [{\"path\", \"change\": \"added\" | \"removed\" | \"changed\", \"old\", \"new\"}]}";

pub fn command() -> Command {
    let file =
        |name, help| Arg::new(name).help(help).required(true).value_parser(value_parser!(PathBuf));
    Command::new("diff")
        .about("Compares two configurations")
        .long_about(USAGE)
        .after_help(format!("{EXAMPLE}\n\n{}", util::EXIT_CODES))
        .arg(file("OLD", "Configuration that is the base; - reads standard input"))
        .arg(file("NEW", "Configuration to compare; - reads standard input"))
}

#[derive(Serialize)]
struct Output {
    changes: Vec<Change>,
}

pub fn run(args: &ArgMatches, options: &Options) -> eyre::Result<Exit> {
    let config = |name| options.read_config(util::path(args, name)?);
    let changes = config("OLD")?.diff(&config("NEW")?);
    let exit = if changes.is_empty() { Exit::Success } else { Exit::Negative };
    options.print(changes, |changes| Output { changes })?;
    Ok(exit)
}
