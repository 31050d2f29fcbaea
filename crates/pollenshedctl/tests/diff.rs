//! Tests of `pollenshedctl diff`.

mod support;

use googletest::prelude::*;
use support::{CALI, Workdir, changed};

/// Guards against exit codes that differ from those of diff(1): 0 for equal, 1 for different, and a
/// higher one for errors.
#[gtest]
fn exit_codes_tell_equal_from_different_from_refused() {
    let dir = Workdir::new();
    dir.write("old.json", CALI);
    dir.write("same.json", &format!("// A comment is not a difference.\n{CALI}"));
    dir.write("new.json", &changed("\"cap_percent\": 5", "\"cap_percent\": 6"));
    dir.write("bad.json", "{}");
    let same = dir.run(&["diff", "old.json", "same.json"], "");
    expect_that!((same.code, same.out.as_str()), eq((Some(0), "")));
    expect_that!(dir.run(&["diff", "old.json", "new.json"], "").code, some(eq(1)));
    expect_that!(dir.run(&["diff", "old.json"], "").code, some(eq(2)));
    let bad = dir.run(&["diff", "old.json", "bad.json"], "");
    expect_that!(bad.code, some(eq(3)));
    expect_that!(bad.err, contains_substring("bad.json:1:1: services: missing field"));
}

/// Guards against a change of the lines or the JSON output, which people and scripts read.
#[test]
fn differences_are_printed_as_lines_or_json() {
    let dir = Workdir::new();
    dir.write("old.json", CALI);
    let drained = "\"drains\": [{ \"failure_domain\": \"catania-a\" }]";
    let new = changed("\"drains\": []", drained)
        .replace("\"deadline_ms\": 2000", "\"deadline_ms\": 2500");
    let lines = dir.run(&["diff", "old.json", "-"], &new).out;
    let json = dir.run(&["diff", "--json", "old.json", "-"], &new).out;
    let out = format!("{lines}\n{json}");
    insta::assert_snapshot!(out);
}
