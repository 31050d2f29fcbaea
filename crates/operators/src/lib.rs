//! Declares a pollenshed configuration in code, checks it and prints it as canonical JSON.
//!
//! Operators describe services, regions, ranks, limits, shift caps and drains with the plain structs
//! of this crate, which take names and addresses as text and durations as [`Duration`].
//! [`Declaration::config`] checks the whole by the same rules as `pollenshed check` and returns all
//! findings at once. `examples/` holds the complete declarations of both users, and
//! `docs/configuration.md` describes the printed form for libraries in other languages.
//!
//! ```
//! use pollenshed_operators::{milliseconds, percent, Shift};
//!
//! let shift = Shift { cap: percent(10), cold_cap: percent(2), interval: milliseconds(10_000) };
//! assert_eq!(shift.cap.to_string(), "10 %");
//! ```

mod convert;
mod declaration;
mod units;

pub use declaration::{
    BackendServer, Declaration, Drain, Network, Operation, RankPolicy, Region, Service, Shift,
};
pub use pollenshed_state::{
    config::{Config, Rank},
    findings::{Finding, Findings},
    units::{BitRate, ByteSize, Percent, Slots},
};
pub use std::time::Duration;
pub use units::{
    bytes, gigabits_per_s, kibibytes, mebibytes, microseconds, milliseconds, percent, slots,
};

use std::{io::Write, process::ExitCode};

/// Checks the declaration, prints its canonical JSON to standard output and returns the exit code.
///
/// Exit codes: 0 for a printed configuration; 1 for a declaration with findings, which are printed
/// to standard error, one on each line; 3 if standard output cannot be written.
pub fn print(declaration: &Declaration) -> ExitCode {
    let config = match declaration.config() {
        Ok(config) => config,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(1);
        }
    };
    match std::io::stdout().write_all(config.canonical_json().as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot write to standard output: {error}");
            ExitCode::from(3)
        }
    }
}
