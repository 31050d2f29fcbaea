use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::ArgMatches;
use eyre::eyre;

/// Exit codes for the help texts.
pub const EXIT_CODES: &str = "\
Exit codes:
    0  accepted, no difference, or done
    1  findings, or differences
    2  wrong usage
    3  trouble: a file cannot be read or compared, or an instance or the platform
       does not answer
    4  lost race: another submission came first and this one has no effect
    5  not in force: accepted, and not in force everywhere within the time";

/// How a run ended, as documented in [`EXIT_CODES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The answer is yes, or the work is done.
    Success,
    /// The answer is no.
    Negative,
    /// The arguments make no sense.
    Usage,
    /// There is no answer.
    Trouble,
    /// Another submission came first.
    LostRace,
    /// The submission was accepted and is not in force everywhere in time.
    NotInForce,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Negative => 1,
            Exit::Usage => 2,
            Exit::Trouble => 3,
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
