//! Tests of declarations and of the JSON that the examples print.

use std::{env, fs, path::Path, time::Duration};

use googletest::prelude::*;
use pollenshed_operators::{Declaration, Drain, Service, percent};

#[path = "../examples/cali.rs"]
mod cali;
#[path = "../examples/tokachi.rs"]
mod tokachi;

/// Compares the printed JSON with a golden file. `UPDATE_GOLDEN=1` rewrites the file.
fn check_golden(name: &str, declaration: &Declaration) {
    let printed = declaration.config().unwrap().canonical_json();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &printed).unwrap();
    }
    let golden = fs::read_to_string(&path).unwrap();
    assert!(printed == golden, "{name} differs; UPDATE_GOLDEN=1 rewrites it");
    let read = pollenshed_state::config::parse(name, &golden).unwrap();
    assert_that!(read.canonical_json(), eq(&golden));
}

/// Guards against a change of the printed JSON, which libraries in other languages also generate.
#[test]
fn cali_matches_its_golden_file() {
    check_golden("cali.json", &cali::declaration());
}

/// Guards against a change of the printed JSON, which libraries in other languages also generate.
#[test]
fn tokachi_matches_its_golden_file() {
    check_golden("tokachi.json", &tokachi::declaration());
}

/// Guards against examples whose sizes differ from those in `docs/design.md`.
#[gtest]
fn examples_have_the_sizes_of_the_design_page() {
    let slots_of = |s: &Service| s.backend_servers[0].slots.0;
    for (declaration, slots) in
        [(cali::declaration(), [3, 3, 3, 3]), (tokachi::declaration(), [4, 3, 3, 4])]
    {
        expect_that!(declaration.services.iter().map(slots_of).collect::<Vec<_>>(), eq(&slots));
        for service in &declaration.services {
            expect_that!(service.backend_servers.len(), eq(12));
            expect_true!(service.backend_servers.iter().all(|b| b.connections == 360));
            for name in declaration.regions.iter().flat_map(|r| &r.failure_domains) {
                let here = service.backend_servers.iter().filter(|b| b.failure_domain == *name);
                expect_that!(here.count(), eq(2));
            }
        }
    }
}

/// Guards against a check that stops at the first finding, or that misses other findings because a
/// name is invalid.
#[test]
fn all_findings_of_a_declaration_are_reported_at_once() {
    let mut declaration = cali::declaration();
    declaration.regions[0].name = "Palermo".to_owned();
    declaration.services[0].backend_servers[1].address = "localhost:80".to_owned();
    declaration.services[1].shift.cap = percent(0);
    declaration.services[2].shift.interval = Duration::from_micros(10_000_500);
    declaration.services[3].name = "tavole".to_owned();
    declaration.drains = vec![Drain::FailureDomain("trapani-a".to_owned())];
    let findings = declaration.config().unwrap_err();
    insta::assert_snapshot!(findings);
}
