use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::ArgMatches;
use eyre::eyre;

/// Section of the help texts about exit codes.
pub const EXIT_CODES: &str = "\
Exit codes:
    0  accepted, no difference, or done
    1  findings, or differences
    2  wrong usage
    3  failure: a file cannot be read or compared, or an instance or the platform
       does not answer
    4  lost race: another submission came first and this one has no effect
    5  not in force: accepted, but not in force everywhere before the timeout";

/// Exit status of the command. [`EXIT_CODES`] documents the codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The files are accepted or equal, or the operation succeeded.
    Success,
    /// There are findings, differences, disagreements or no matching log lines.
    Negative,
    /// The arguments are invalid.
    Usage,
    /// A file cannot be read or compared, or an instance or the platform does not answer.
    Failure,
    /// Another submission came first, and this one has no effect.
    LostRace,
    /// The submission was accepted, but is not in force everywhere before the timeout.
    NotInForce,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Negative => 1,
            Exit::Usage => 2,
            Exit::Failure => 3,
            Exit::LostRace => 4,
            Exit::NotInForce => 5,
        })
    }
}

/// Returns a required path from the arguments.
pub fn path<'a>(args: &'a ArgMatches, name: &str) -> eyre::Result<&'a Path> {
    let path = args.get_one::<PathBuf>(name).map(PathBuf::as_path);
    path.ok_or_else(|| eyre!("{name} is missing"))
}
