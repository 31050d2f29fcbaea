//! The configuration that operators submit and all instances apply.
//!
//! `docs/configuration.md` describes its printed form, its rules and its canonical form.

mod canonical;
mod diff;
mod document;
mod operation;
mod read;
mod rules;

use crate::{
    findings::{Findings, Violations},
    reader,
};

pub use diff::{Change, ChangeKind};
pub use document::{
    BackendServer, Config, Drain, Network, Operation, ParseRankError, Rank, RankPolicy, Region,
    Service, ShiftPolicy,
};
pub use rules::{
    FORMAT_VERSION, MAX_CONNECTIONS, MAX_DEADLINE_MS, MAX_DELAY_US, MAX_SHIFT_INTERVAL_MS,
    MAX_SLOTS, METHODS, MIN_SHIFT_INTERVAL_MS,
};

/// Reads and checks a configuration in JSON with comments.
///
/// Returns all findings of the text at once, sorted by position. `file_name` is only used in
/// the findings.
pub fn parse(file_name: &str, text: &str) -> Result<Config, Findings> {
    reader::read_document(file_name, text, rules::check)
}

impl Config {
    /// Checks a configuration that was built in code by the same rules as [`parse`].
    ///
    /// The findings have no position.
    pub fn check(&self) -> Result<(), Findings> {
        let mut violations = Violations::default();
        rules::check(self, &mut violations);
        Findings::ok_if_empty(violations.into_findings(), ())
    }
}
