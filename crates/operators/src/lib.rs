//! Declares a pollenshed configuration in code, checks it and prints it as canonical JSON.
//!
//! Operators declare services, regions, ranks, limits, shift caps and drains with the structs of
//! this crate. Names and addresses are strings, and durations are [`Duration`] values.
//! [`Declaration::config`] applies the same rules as `pollenshed check` and returns all findings at
//! once. `examples/` holds the complete declarations of both users, and `docs/configuration.md`
//! describes the printed JSON for libraries in other languages.
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
/// The exit code is 0 if the configuration was printed, 1 if the declaration has findings, which
/// are printed to standard error, one on each line, and 3 if standard output cannot be written.
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
