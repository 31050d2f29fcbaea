//! Tests of what the loader refuses in settings, and of the documented defaults.

mod support;

use googletest::prelude::*;
use pollenshed_state::{
    findings::Findings,
    settings::{self, CallerLimits, Timing},
};
use support::{SETTINGS, findings_of_changes};

fn check(text: &str) -> std::result::Result<(), Findings> {
    settings::parse("settings.jsonc", text).map(|_| ())
}

/// Guards against omitted fields that do not get their default.
#[gtest]
fn absent_settings_have_their_defaults() {
    let settings = settings::parse("settings.jsonc", SETTINGS).unwrap();
    expect_that!(settings.timing, eq(Timing::default()));
    expect_that!(settings.caller_limits, eq(CallerLimits::default()));
    expect_that!(settings.check(), ok(anything()));
}

/// Guards against settings with which an instance starts but fails under load or after a fault.
#[test]
fn impossible_settings_are_refused() {
    let timing = r#""gossip_period_ms": 250"#;
    let list = findings_of_changes(
        SETTINGS,
        &[
            (r#""instance": "entry-1","#, ""),
            ("timing", "timings"),
            ("10.0.0.1:8001", "10.0.0.1:8000"),
            ("10.0.0.1:8002", "0.0.0.0:8001"),
            ("10.0.0.1:8001", "0.0.0.0:8001"),
            ("10.0.0.9:9000", "10.0.0.9:0"),
            ("10.0.0.2:8001", "10.0.0.1:8001"),
            (r#"["10.0.0.2:8001"]"#, r#"["10.0.0.2:8001", "10.0.0.2:8001"]"#),
            (timing, r#""gossip_period_s": 1"#),
            (timing, r#""gossip_period_ms": 800"#),
            (timing, r#""suspect_after_ms": 3000"#),
            (timing, r#""fence_after_ms": 3000"#),
            (timing, r#""headroom_ttl_ms": 3000"#),
            (timing, r#""platform_poll_ms": 239"#),
            (timing, r#""platform_poll_ms": 0"#),
            (timing, r#""platform_poll_ms": 18001"#),
            (timing, r#""probe_period_ms": 1501"#),
            (timing, r#""lookup_ttl_ms": 60000"#),
            (timing, r#""binding_lifetime_ms": 5000"#),
            (r#""max_connections": 4096"#, r#""max_connections": 0"#),
            (r#""max_connections": 4096"#, r#""max_connections": 40960"#),
        ],
        check,
    );
    insta::assert_snapshot!(list);
}

/// Guards against refusing what tests and small deployments need: free ports, no seeds, no metrics.
#[gtest]
fn free_ports_and_absent_options_are_accepted() {
    let text = SETTINGS.replace("10.0.0.1:800", "127.0.0.1:0").replace("0.1:00", "0.1:0");
    let text = text.replace("127.0.0.1:01", "127.0.0.1:0").replace("127.0.0.1:02", "127.0.0.1:0");
    expect_that!(check(&text), ok(anything()));
    let text = SETTINGS.replace(r#""10.0.0.8:8125""#, "null").replace(r#""10.0.0.2:8001""#, "");
    expect_that!(check(&text), ok(anything()));
}

/// Guards against documentation whose settings or defaults differ from the code.
#[gtest]
fn documented_defaults_equal_the_code() {
    let page = include_str!("../../../docs/settings.md");
    let groups = [
        ("timing", serde_json::to_value(Timing::default()).unwrap()),
        ("caller_limits", serde_json::to_value(CallerLimits::default()).unwrap()),
    ];
    let mut expected = Vec::new();
    for (group, values) in groups {
        for (field, value) in values.as_object().unwrap() {
            expected.push((format!("{group}.{field}"), value.to_string()));
        }
    }
    let mut documented: Vec<(String, String)> = Vec::new();
    for line in
        page.lines().filter(|l| l.starts_with("| `timing.") || l.starts_with("| `caller_limits."))
    {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        documented.push((cells[1].trim_matches('`').to_owned(), cells[3].replace(',', "")));
    }
    expected.sort();
    documented.sort();
    expect_that!(documented, eq(&expected));
}
