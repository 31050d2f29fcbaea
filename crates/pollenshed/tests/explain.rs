//! Compares what an instance explains to operators with what the fleet does.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use pollenshed_protocol::operator::{ExplainBody, ExplainedFailureDomain};
use pollenshed_standins::backend::Behaviour;
use serde_json::json;
use support::{Daemon, Fleet, wait_for};

fn start() -> Fleet {
    let service_time = Duration::from_millis(5);
    let behaviour = Behaviour { name: String::new(), slots: 3, service_time };
    Fleet::start(&["north-a", "north-b"], &behaviour)
}

fn explain(daemon: &Daemon, query: &str) -> std::result::Result<ExplainBody, ureq::Error> {
    let url = format!("http://{}/v1/explain?{query}", daemon.operator_endpoint);
    ureq::get(url).call()?.body_mut().read_json()
}

fn domain<'a>(body: &'a ExplainBody, name: &str) -> &'a ExplainedFailureDomain {
    body.failure_domains.iter().find(|d| d.failure_domain.as_str() == name).unwrap()
}

/// Guards against an explanation that names another version, entries that lookups do not return, or
/// instances that do not own the backend servers.
#[gtest]
fn explanation_agrees_with_lookups_and_owners() {
    let fleet = start();
    let daemon = &fleet.daemons[0];
    let body = wait_for("all traffic at home", || {
        let body = explain(daemon, "service=ledger&client=10.0.0.7").unwrap();
        (domain(&body, "north-a").share_ppm == 1_000_000).then_some(body)
    });
    expect_that!(body.config_version, eq(1));
    let lookup = support::callers::lookup(daemon.caller_endpoint, 7).unwrap();
    let looked_up: Vec<_> = lookup.entries.iter().map(|e| &e.instance).collect();
    expect_that!(body.entries.iter().map(|e| &e.instance).collect::<Vec<_>>(), eq(&looked_up));
    expect_that!(body.entries.iter().filter(|e| e.state != "alive").count(), eq(0));
    expect_that!(domain(&body, "north-a").reason, eq("home, moves towards 1000000 ppm"));
    expect_that!(domain(&body, "north-b").reason, eq("away, moves towards 0 ppm"));
    // The instance knows the states of only the backend servers that it owns.
    for (name, is_own) in [("north-a", true), ("north-b", false)] {
        let owner = fleet.daemons.iter().find(|d| support::domain_of(&d.name) == name).unwrap();
        let owned = owner.status().unwrap().owned_backend_servers;
        let servers = &domain(&body, name).backend_servers;
        expect_that!(servers.len(), eq(2));
        for server in servers {
            let owner_name = server.owner.as_ref().map(ToString::to_string);
            expect_that!(owner_name, some(eq(&owner.name)), "{}", server.name);
            expect_true!(owned.iter().any(|s| s.name == server.name.as_str()));
            expect_that!(server.state == "known to its owner only", eq(!is_own));
        }
    }
}

/// Guards against a drain that the explanation does not name, or that moves less traffic than it
/// states.
#[gtest]
fn explanation_follows_a_drain() {
    let mut fleet = start();
    let mut config = fleet.config.clone();
    config["drains"] = json!([{"failure_domain": "north-a"}]);
    fleet.submit(&config);
    let body = wait_for("all traffic away", || {
        let body = explain(&fleet.daemons[0], "service=ledger").unwrap();
        (domain(&body, "north-b").share_ppm == 1_000_000).then_some(body)
    });
    expect_that!(body.config_version, eq(2));
    expect_that!(body.client, none());
    expect_that!(domain(&body, "north-a").reason, eq("home, drained, moves towards 0 ppm"));
    expect_that!(domain(&body, "north-a").share_ppm, eq(0));
    expect_that!(domain(&body, "north-b").reason, eq("away, moves towards 1000000 ppm"));
    // Failure domains are sorted by share, the largest first.
    expect_that!(body.failure_domains[0].failure_domain.as_str(), eq("north-b"));
}

/// Guards against an empty explanation for a service that does not exist or for an invalid query.
#[gtest]
fn invalid_queries_are_refused() {
    let fleet = start();
    let code = |query: &str| match explain(&fleet.daemons[0], query) {
        Err(ureq::Error::StatusCode(code)) => code,
        other => panic!("{other:?}"),
    };
    expect_that!(code("service=unknown"), eq(404));
    expect_that!(code("service=Not%20a%20name"), eq(400));
    expect_that!(code("client=10.0.0.7"), eq(400));
    expect_that!(code("service=ledger&client=somebody"), eq(400));
}
