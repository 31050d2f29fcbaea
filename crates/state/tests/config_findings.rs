//! Tests of what the loader refuses in a configuration, and where.

mod support;

use googletest::prelude::*;
use pollenshed_state::{
    config::{self, Config},
    findings::Findings,
    ids::FailureDomainName,
    units::{BitRate, Percent, Slots},
};
use proptest::prelude::{ProptestConfig, prop_assert, prop_assert_eq, proptest};
use support::{CONFIG, findings_of_changes, replaced};

fn check(text: &str) -> std::result::Result<(), Findings> {
    config::parse("config.jsonc", text).map(|_| ())
}

/// Guards against a loader that refuses what the documents allow: comments and trailing commas.
#[gtest]
fn base_document_is_accepted() {
    expect_that!(config::parse("config.jsonc", CONFIG), ok(anything()));
}

/// Guards against fields that are read wrongly or skipped: unknown, missing, repeated, wrong type,
/// wrong unit.
#[test]
fn fields_that_cannot_be_read_are_refused() {
    let list = findings_of_changes(
        CONFIG,
        &[
            (r#""user": "cali","#, ""),
            (r#""user": "cali","#, r#""user": "cali", "user": "tokachi","#),
            (r#""user": "cali","#, r#""user": "cali", "owner": "cali","#),
            (r#""user": "cali""#, r#""user": 7"#),
            (r#""user": "cali""#, r#""user": "Calì""#),
            (r#""format": 1"#, r#""format": 2"#),
            (r#""format": 1"#, r#""format": 99999999999"#),
            (r#""interval_ms": 10000"#, r#""interval_s": 10"#),
            (r#""interval_ms": 10000"#, r#""interval_ms": "10 s""#),
            (r#""interval_ms": 10000"#, r#""interval_ms": 1e4"#),
            (r#""interval_ms": 10000"#, r#""interval_ms": -1"#),
            (r#""interval_ms": 10000"#, r#""interval_ms": 99999999999999999999"#),
            (r#""interval_ms": 10000"#, r#""interval_ms": 010000"#),
            (r#""interval_ms": 10000"#, r#""interval_ms": +10000"#),
            (r#""user": "cali""#, r#""user": 'cali'"#),
            (r#""slots": 3"#, r#""slots": null"#),
            (r#""rank": "urgent", "idempotent": true"#, r#""rank": "high", "idempotent": "yes""#),
            ("127.0.0.1:21001", "localhost:21001"),
            (r#"{ "backend_server": "tavole-1" }"#, r#"{ "service": "tavole" }"#),
            (r#"{ "backend_server": "tavole-1" }"#, r#"{}"#),
            (r#"{ "backend_server": "tavole-1" }"#, r#""tavole-1""#),
            (r#"["palermo-a", "palermo-b"]"#, r#"{}"#),
        ],
        check,
    );
    insta::assert_snapshot!(list);
}

/// Guards against an inconsistent configuration that instances would notice only in operation.
#[test]
fn impossible_combinations_are_refused() {
    let list = findings_of_changes(
        CONFIG,
        &[
            (r#""catania", "failure"#, r#""palermo", "failure"#),
            (r#"["catania-a"]"#, r#"["catania-a", "palermo-b"]"#),
            (r#"["catania-a"]"#, "[]"),
            (r#""region_link_share_percent": 60"#, r#""region_link_share_percent": 101"#),
            (r#""region_link_bits_per_s": 4000000000"#, r#""region_link_bits_per_s": 0"#),
            (r#""min_share_percent": 30"#, r#""min_share_percent": 41"#),
            (r#""min_share_percent": 30"#, r#""min_share_percent": 0"#),
            (r#""rank": "standard", "min"#, r#""rank": "urgent", "min"#),
            (r#""deadline_ms": 2000"#, r#""deadline_ms": 40"#),
            (r#""deadline_ms": 2000"#, r#""deadline_ms": 300001"#),
            (r#""name": "anagrafe","#, r#""name": "tavole","#),
            (r#""name": "tavole-2""#, r#""name": "anagrafe-1""#),
            ("127.0.0.1:22001", "127.0.0.1:21002"),
            ("127.0.0.1:22001", "0.0.0.0:22001"),
            (r#""failure_domain": "palermo-b""#, r#""failure_domain": "trapani-a""#),
            (r#""slots": 3"#, r#""slots": 0"#),
            (r#""connections": 360"#, r#""connections": 2"#),
            (r#""cap_percent": 10"#, r#""cap_percent": 0"#),
            (r#""cap_percent": 10"#, r#""cap_percent": 101"#),
            (r#""cold_cap_percent": 2"#, r#""cold_cap_percent": 11"#),
            (r#""interval_ms": 10000"#, r#""interval_ms": 0"#),
            (r#""retry_budget_percent": 10"#, r#""retry_budget_percent": 101"#),
            (r#""max_upload_bytes": 8388608"#, r#""max_upload_bytes": 5"#),
            (r#""max_answer_bytes": 1048576"#, r#""max_answer_bytes": 400000000"#),
            (r#""drains": ["#, r#""drains": [{ "region": "catania" }, "#),
            (r#""drains": ["#, r#""drains": [{ "region": "trapani" }, "#),
            (r#""drains": ["#, r#""drains": [{ "backend_server": "tavole-1" }, "#),
        ],
        check,
    );
    insta::assert_snapshot!(list);
}

/// Guards against operations that match requests meant for another operation, or no request.
#[test]
fn misleading_operations_are_refused() {
    let list = findings_of_changes(
        CONFIG,
        &[
            (r#"["POST"], "path_prefix": "/filings""#, r#"["POST"], "path_prefix": "/filings/""#),
            (r#"["POST"], "path_prefix": "/filings""#, r#"["POST"], "path_prefix": "/a/../b""#),
            (r#"["POST"], "path_prefix": "/filings""#, r#"["post"], "path_prefix": "filings""#),
            (r#"["POST"], "path_prefix": "/filings""#, r#"["GET"], "path_prefix": "/""#),
            (r#"["GET", "HEAD"]"#, r#"["GET", "GET"]"#),
            (r#"["GET", "HEAD"]"#, "[]"),
        ],
        check,
    );
    insta::assert_snapshot!(list);
}

/// Guards against reports that stop at the first finding, are out of order, or add findings that
/// only follow from others.
#[test]
fn all_findings_are_reported_at_once_in_order() {
    let mut text = replaced(CONFIG, r#""drains": ["#, r#""drains": [{ "region": "trapani" }, "#);
    text = replaced(&text, r#"["catania-a"]"#, r#"["Catania A"]"#);
    text = replaced(&text, r#""slots": 3"#, r#""slots": 0"#);
    text = replaced(&text, r#""user": "cali","#, "");
    text = replaced(&text, r#""name": "anagrafe","#, r#""nome": "anagrafe","#);
    insta::assert_snapshot!(check(&text).unwrap_err());
}

/// Guards against a syntax error without a position, and a stack overflow on deep nesting.
#[test]
fn texts_that_are_not_json_are_refused() {
    let deep = "[".repeat(100_000);
    let texts = [
        "",
        "{",
        "\u{feff}{}",
        "/* no end",
        "// no end",
        "{\"a",
        "{\"a\\",
        "{\n  \"format\": 1,\n  user: \"cali\"\n}",
        "{} {}",
        "[]",
        &deep,
    ];
    let outcomes: Vec<_> = texts.iter().map(|t| check(t).unwrap_err().to_string()).collect();
    insta::assert_snapshot!(outcomes.join("\n\n"));
}

/// Guards against arithmetic that overflows on the largest numbers that the loader accepts.
#[gtest]
fn largest_numbers_are_refused_without_a_crash() {
    let digits = with_numbers(CONFIG, "9007199254740991");
    expect_that!(check(&digits), err(anything()));
    expect_that!(check(&with_numbers(CONFIG, "0")), err(anything()));
}

/// Replaces each number that is a field's value.
fn with_numbers(text: &str, number: &str) -> String {
    let parts = text.split("\": ").enumerate().map(|(i, part)| {
        let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
        if i > 0 && rest.len() < part.len() { format!("{number}{rest}") } else { part.to_owned() }
    });
    parts.collect::<Vec<_>>().join("\": ")
}

/// Guards against a value built in code that passes where the same file would be refused.
#[test]
fn values_built_in_code_keep_the_same_rules() {
    let mut config: Config = config::parse("config.jsonc", CONFIG).unwrap();
    config.check().unwrap();
    config.services[0].backend_servers[0].slots = Slots(0);
    config.services[0].shift.cap_percent = Percent(u64::MAX);
    config.network.region_link_bits_per_s = BitRate(u64::MAX);
    config.regions[1].failure_domains = vec!["palermo-a".parse::<FailureDomainName>().unwrap()];
    insta::assert_snapshot!(config.check().unwrap_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a loader that crashes on damaged text, or whose canonical form it refuses.
    #[test]
    fn damaged_documents_never_crash(
        at in 0..CONFIG.len(),
        cut in 0..40_usize,
        put in "[\\[\\]{}\"',:/*\\\\0-9a-zè \n]{0,6}",
    ) {
        let text = format!("{}{put}{}", &CONFIG[..at], &CONFIG[CONFIG.len().min(at + cut)..]);
        match config::parse("config.jsonc", &text) {
            Ok(config) => {
                let canonical = config.canonical_json();
                let again = config::parse("canonical", &canonical).unwrap();
                prop_assert_eq!(again.canonical_json(), canonical);
            }
            Err(findings) => {
                let positions: Vec<_> = findings.iter().map(|f| f.position).collect();
                prop_assert!(!positions.is_empty() && positions.is_sorted());
                prop_assert!(positions.iter().all(|p| p.is_some()));
            }
        }
    }
}
