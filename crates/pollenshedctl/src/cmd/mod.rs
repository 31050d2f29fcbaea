//! The subcommands, one file each. To add one, write the file and add it to [`ALL`].

mod check;
mod diff;
mod drain;
mod explain;
mod status;
mod submit;

use clap::{ArgMatches, Command};

use crate::{options::Options, util::Exit};

/// An entry of the table from which `main` dispatches subcommands.
pub struct Subcommand {
    /// Name on the command line.
    pub name: &'static str,
    /// Builds the clap command with its arguments and help texts. `main` adds the name and
    /// `--json`.
    pub command: fn() -> Command,
    /// Runs the subcommand. `main` prints an error to standard error and exits with
    /// [`Exit::Failure`].
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
