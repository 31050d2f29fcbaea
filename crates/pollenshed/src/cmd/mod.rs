//! Subcommands of the daemon, one file each.

use std::{
    fmt,
    io::{self, Write},
    process::ExitCode,
};

pub mod check;
pub mod dev;
pub mod serve;
pub mod steer;

/// Exit code: the command line is wrong. `clap` uses the same.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: settings or configuration are refused.
pub const EXIT_REFUSED: u8 = 3;
/// Exit code: the daemon could not start or failed.
pub const EXIT_FAILED: u8 = 1;

/// Prints an error for people and returns the exit code.
fn report_error(code: u8, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("pollenshed: {message}");
    ExitCode::from(code)
}

/// Prints a line to standard output. A reader that has closed it must not end the daemon or change
/// an exit code, as `println!` would.
fn print_line(line: fmt::Arguments<'_>) {
    let _ = writeln!(io::stdout().lock(), "{line}");
}
