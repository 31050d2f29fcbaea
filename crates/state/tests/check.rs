//! Tests of checking whole files together.

mod support;

use googletest::prelude::*;
use pollenshed_state::check;
use support::{CONFIG, SETTINGS, replaced};

fn reports(files: &[(&str, &str)]) -> String {
    let files: Vec<_> = files.iter().map(|(n, t)| (n.to_string(), t.to_string())).collect();
    let reports: Vec<_> = check::check_files(&files).iter().map(ToString::to_string).collect();
    reports.join("\n")
}

/// Guards against settings that no instance could use with the configuration in force.
#[test]
fn settings_are_checked_against_the_configuration() {
    let mut settings = replaced(SETTINGS, "palermo-a", "trapani-a");
    let limits = r#""max_connections": 4096"#;
    settings = replaced(&settings, limits, r#""max_buffered_bytes": 2048"#);
    let timing = r#""gossip_period_ms": 250"#;
    settings = replaced(&settings, timing, r#""binding_lifetime_ms": 60000"#);
    let lines = reports(&[("c", CONFIG), ("s", &settings), ("good", SETTINGS)]);
    insta::assert_snapshot!(lines);
}

/// Guards against settings read as a configuration, which would report every field as unknown.
#[gtest]
fn kinds_of_files_are_told_apart() {
    let broken = replaced(SETTINGS, "10.0.0.1:8000", "entry:8000");
    let lines = reports(&[("s", &broken), ("empty", "{}"), ("deep", &"[".repeat(100_000))]);
    expect_that!(lines.lines().next(), some(starts_with("s:4:21: caller_address: ")));
    expect_that!(lines, contains_substring("empty:1:1: services: missing field"));
    expect_that!(lines, contains_substring("deep:1:33: document: nested"));
}
