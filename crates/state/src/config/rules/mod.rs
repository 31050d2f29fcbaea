//! Validation rules for configurations that were read from a file or built in code.

mod drains;
mod network;
mod operations;
mod services;

use std::collections::HashMap;

use super::document::Config;
use crate::findings::Violations;

/// The only supported version of the document's format.
pub const FORMAT_VERSION: u32 = 1;

/// Longest accepted one-way delay, 10 s.
pub const MAX_DELAY_US: u64 = 10_000_000;

/// Longest accepted deadline, half of the default lifetime of a binding. Settings whose lifetime of
/// a binding does not exceed every deadline are refused too, so that a request ends while the ledger
/// still remembers its ticket.
pub const MAX_DEADLINE_MS: u64 = 300_000;

/// Maximum number of slots of one backend server.
pub const MAX_SLOTS: u64 = 1_024;

/// Maximum number of connections of one backend server: the number of ports of one address.
pub const MAX_CONNECTIONS: u64 = 65_535;

/// Shortest interval of a shift cap. Headroom is advertised by gossip every 250 ms, so a
/// shorter interval could end without new information.
pub const MIN_SHIFT_INTERVAL_MS: u64 = 250;

/// Longest interval of a shift cap, one hour.
pub const MAX_SHIFT_INTERVAL_MS: u64 = 3_600_000;

/// HTTP methods that an operation can have.
pub const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// Adds a violation for each rule that `config` breaks.
pub(super) fn check(config: &Config, violations: &mut Violations) {
    if config.format != FORMAT_VERSION {
        violations.add("format", format!("format {} is not known", config.format), "1");
    }
    network::check(config, violations);
    services::check(config, violations);
    for (i, service) in config.services.iter().enumerate() {
        operations::check(&format!("services[{i}].operations"), &service.operations, violations);
    }
    drains::check(config, violations);
}

/// Reports each entry that repeats an earlier one. Entries are pairs of path and value.
fn report_repeated<T: std::hash::Hash + Eq + std::fmt::Display>(
    what: &str,
    entries: impl Iterator<Item = (String, T)>,
    violations: &mut Violations,
) {
    let mut first: HashMap<T, String> = HashMap::new();
    for (path, value) in entries {
        if let Some(earlier) = first.get(&value) {
            let message = format!("duplicate {what} {value}, also at {earlier}");
            violations.add(path, message, "a unique value");
        } else {
            first.insert(value, path);
        }
    }
}

fn report_empty<T>(path: &str, list: &[T], what: &str, violations: &mut Violations) {
    if list.is_empty() {
        violations.add(path, "the list is empty", format!("at least one {what}"));
    }
}

/// Returns the paths of all lists of failure domains.
fn failure_domain_lists(config: &Config) -> impl Iterator<Item = String> {
    (0..config.regions.len()).map(|i| format!("regions[{i}].failure_domains"))
}
