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

/// Exit code for wrong usage. `clap` uses the same code.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for settings or a configuration that are not accepted.
pub const EXIT_REFUSED: u8 = 3;
/// Exit code for a daemon that could not start or failed, and for a file that can't be read.
pub const EXIT_FAILED: u8 = 1;

/// Prints an error message to standard error and returns the exit code.
fn report_error(code: u8, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("pollenshed: {message}");
    ExitCode::from(code)
}

/// Prints a line to standard output and ignores errors.
///
/// `println!` panics if the other end of the pipe is closed, which would end the daemon or change
/// the exit code.
fn print_line(line: fmt::Arguments<'_>) {
    let _ = writeln!(io::stdout().lock(), "{line}");
}
