//! Tests of the canonical form, the difference and the classification of requests.

mod support;

use googletest::prelude::*;
use pollenshed_state::config::{self, Config, Drain};
use support::{CONFIG, replaced};

fn base() -> Config {
    config::parse("config.jsonc", CONFIG).unwrap()
}

/// Guards against two spellings of one configuration that get two digests.
#[gtest]
fn order_and_spelling_do_not_change_the_canonical_form() {
    let mut other = base();
    other.regions.reverse();
    other.regions[1].failure_domains.reverse();
    other.ranks.reverse();
    other.services.reverse();
    other.services[1].backend_servers.reverse();
    other.services[1].operations[0].methods.reverse();
    expect_that!(other.canonical_json(), eq(&base().canonical_json()));
    expect_that!(other.digest(), eq(base().digest()));
    let read_again = config::parse("canonical", &other.canonical_json()).unwrap();
    expect_that!(read_again.canonical_json(), eq(&other.canonical_json()));
}

/// Guards against a change of the form, which would change the digest of stored configurations.
#[test]
fn canonical_form_stays_as_documented() {
    insta::assert_snapshot!(base().canonical_json());
}

/// Guards against documentation that omits a field or a limit of the configuration.
#[gtest]
fn every_field_and_limit_is_documented() {
    let page = include_str!("../../../docs/configuration.md");
    let canonical = base().canonical_json();
    let fields = canonical.lines().filter_map(|line| line.trim().split_once("\": "));
    for (field, _) in fields {
        let row = format!("| `{}` |", &field[1..]);
        expect_that!(page, contains_substring(row));
    }
    let limits = [
        ("deadline_ms", config::MAX_DEADLINE_MS),
        ("to_clients_us", config::MAX_DELAY_US),
        ("slots", config::MAX_SLOTS),
        ("connections", config::MAX_CONNECTIONS),
        ("interval_ms", config::MIN_SHIFT_INTERVAL_MS),
        ("interval_ms", config::MAX_SHIFT_INTERVAL_MS),
    ];
    for (field, limit) in limits {
        let row = page.lines().find(|line| line.starts_with(&format!("| `{field}` |")));
        expect_that!(
            row.unwrap_or_default().replace(',', ""),
            contains_substring(limit.to_string())
        );
    }
    expect_true!(config::METHODS.iter().all(|method| page.contains(method)));
}

/// Guards against losing the order of operations, which matters because the first match applies.
#[gtest]
fn order_of_operations_is_kept() {
    let mut other = base();
    other.services[1].operations.reverse();
    expect_that!(other.digest(), not(eq(base().digest())));
    let changes = base().diff(&other);
    expect_that!(changes.len(), eq(1));
    expect_that!(changes[0].path, eq("services[anagrafe].operations"));
}

/// Guards against differences named by index, which shift when an entry is added before others.
#[test]
fn differences_are_named_by_name() {
    let mut other = base();
    other.services[0].shift.cap_percent.0 = 20;
    let mut server = other.services[0].backend_servers[0].clone();
    server.name = "tavole-0".parse().unwrap();
    other.services[0].backend_servers.insert(0, server);
    other.services[1].operations[0].idempotent = true;
    other.regions[0].failure_domains.remove(0);
    other.ranks[1].deadline_ms = 9_000;
    other.drains = vec![Drain::Region("catania".parse().unwrap())];
    let changes: Vec<_> = base().diff(&other).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(changes.join("\n"));
    assert_that!(base().diff(&base()), is_empty());
}

/// Guards against a caller that picks another operation's rank or retries by spelling the path
/// in a way that a backend server reads as another path.
#[gtest]
fn ambiguous_paths_match_no_operation() {
    let text =
        replaced(CONFIG, r#""methods": ["GET"], "path"#, r#""methods": ["GET", "POST"], "path"#);
    let config = config::parse("config.jsonc", &text).unwrap();
    let prefix =
        |path: &str| config.services[1].operation("POST", path).map(|o| o.path_prefix.as_str());
    for path in ["/filings", "/filings/", "/filings/7?x=/..", "/%66ilings", "/%66%69lings/7"] {
        expect_that!(prefix(path), some(eq("/filings")), "{path}");
    }
    for path in ["/", "/filings-old", "/reads/7", "/filings%20x", "/a.b/..c"] {
        expect_that!(prefix(path), some(eq("/")), "{path}");
    }
    for path in [
        "",
        "filings",
        "//filings",
        "/reads/../filings",
        "/reads/%2e%2E/filings",
        "/./filings",
        "/%2ffilings",
        "/reads\\..\\filings",
        "/%5cfilings",
        "/filings;x",
        "/filings%3bx",
        "/filings%00",
        "/%2566ilings",
        "/%6",
        "/%zz",
        "/%+6",
        "/%ff",
        "/filings#x",
        "/a/%2e",
        "/é%f",
    ] {
        expect_that!(prefix(path), none(), "{path}");
    }
    expect_that!(config.services[1].operation("post", "/filings"), none());
}
