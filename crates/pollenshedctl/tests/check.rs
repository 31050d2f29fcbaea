//! Tests of `pollenshedctl check`.

mod support;

use googletest::prelude::*;
use support::{CALI, Workdir, changed};

const SETTINGS: &str = r#"{
  "instance": "entry-1",
  "failure_domain": "palermo-a",
  "caller_address": "127.0.0.1:8000",
  "peer_address": "127.0.0.1:8001",
  "operator_address": "127.0.0.1:8002",
  "relay_address": "127.0.0.1:8003",
  "platform_address": "127.0.0.1:9000"
}"#;

/// Guards against exit codes by which a script cannot tell accepted, refused and unreadable files
/// apart.
#[gtest]
fn exit_codes_tell_accepted_from_refused_from_unreadable() {
    let dir = Workdir::new();
    dir.write("cali.json", CALI);
    dir.write("entry.jsonc", SETTINGS);
    dir.write("bad.json", &changed("\"slots\": 3", "\"slots\": 0"));
    expect_that!(dir.run(&["check", "cali.json", "entry.jsonc"], "").code, some(eq(0)));
    expect_that!(dir.run(&["check", "-"], CALI).code, some(eq(0)));
    expect_that!(dir.run(&["check", "cali.json", "bad.json"], "").code, some(eq(1)));
    expect_that!(dir.run(&["check"], "").code, some(eq(2)));
    let absent = dir.run(&["check", "absent.json"], "");
    expect_that!(absent.code, some(eq(3)));
    expect_that!(absent.err, contains_substring("cannot read absent.json"));
}

/// Guards against findings without a usable file, line and column.
#[test]
fn findings_are_printed_by_line() {
    let dir = Workdir::new();
    dir.write("bad.json", &changed("\"slots\": 3", "\"slots\": 0").replace("urgent", "high"));
    dir.write("entry.jsonc", &SETTINGS.replace("palermo-a", "trapani-a"));
    dir.write("cali.json", CALI);
    let bad = dir.run(&["check", "bad.json"], "").out;
    let pair = dir.run(&["check", "cali.json", "entry.jsonc"], "").out;
    let out = format!("{bad}\n{pair}");
    insta::assert_snapshot!(out);
}

/// Guards against a change of the JSON output, which scripts read.
#[test]
fn json_output_is_one_object() {
    let dir = Workdir::new();
    dir.write("bad.json", &changed("\"slots\": 3", "\"slots\": 0"));
    dir.write("entry.jsonc", SETTINGS);
    let out = dir.run(&["check", "--json", "bad.json", "entry.jsonc"], "").out;
    insta::assert_snapshot!(out);
}

/// Guards against exit code 0 for a refused file when the reader closes the pipe early.
#[gtest]
fn closed_output_does_not_hide_findings() {
    let dir = Workdir::new();
    let bad = changed("\"slots\": 3", "\"slots\": 0");
    expect_that!(dir.run_without_reader(&["check", "-"], &bad), some(eq(1)));
    expect_that!(dir.run_without_reader(&["check", "--json", "-"], CALI), some(eq(0)));
}
