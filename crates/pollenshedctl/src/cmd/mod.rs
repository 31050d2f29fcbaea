//! One file per subcommand. To add one, write the file and add a line to [`ALL`].

mod check;
mod diff;
mod drain;
mod explain;
mod status;
mod submit;

use clap::{ArgMatches, Command};

use crate::{options::Options, util::Exit};

/// A subcommand as `main` dispatches it.
pub struct Subcommand {
    /// Word on the command line.
    pub name: &'static str,
    /// Returns the arguments and the usage text; `main` adds the name and `--json`.
    pub command: fn() -> Command,
    /// Runs it. An error is printed to standard error and ends in [`Exit::Trouble`].
    pub run: fn(&ArgMatches, &Options) -> eyre::Result<Exit>,
}

/// All subcommands, in the order of the help text.
pub const ALL: &[Subcommand] = &[
    Subcommand { name: "check", command: check::command, run: check::run },
    Subcommand { name: "diff", command: diff::command, run: diff::run },
    Subcommand { name: "submit", command: submit::command, run: submit::run },
    Subcommand { name: "status", command: status::command, run: status::run },
    Subcommand { name: "drain", command: drain::command, run: drain::run },
    Subcommand { name: "explain", command: explain::command, run: explain::run },
];
