//! Tests of `pollenshedctl status`.

#[path = "support/instance.rs"]
mod instance;
mod support;

use googletest::prelude::*;
use instance::Instance;
use serde_json::{Value, json};
use support::Workdir;

/// Guards against a disagreement of instances that is not reported, and against one that is
/// reported although they agree.
#[gtest]
fn disagreements_are_found() {
    let dir = Workdir::new();
    let members = [("entry-1", 4), ("entry-2", 4)];
    let first = Instance::bind("entry-1", 4, &members);
    let second = Instance::bind("entry-2", 4, &members);
    let (a, b) = (first.address.to_string(), second.address.to_string());
    let args = ["status", "--instance", &a, "--instance", &b];
    expect_that!(dir.run(&args, "").code, some(eq(0)));
    let owned = json!([{"name": "tavole-1", "in_use": 0, "limit": 3, "state": "ok"}]);
    first.set("owned_backend_servers", owned.clone());
    second.set("owned_backend_servers", owned);
    second.set("config_digest", json!("digest-other"));
    let run = dir.run(&args, "");
    expect_that!(run.code, some(eq(1)));
    expect_that!(run.out, contains_substring("tavole-1 is owned by entry-1 and entry-2"));
    expect_that!(run.out, contains_substring("version 4 is digest-other at entry-2"));
    second.set("config_version", json!(3));
    let json = dir.run(&[&args[..], &["--json"]].concat(), "").out;
    let json: Value = serde_json::from_str(&json).unwrap();
    let found = json["disagreements"].as_array().unwrap();
    expect_that!(found, contains(eq(&json!("entry-2 has version 3, not 4"))));
}

/// Guards against an unreachable instance that is not reported.
#[gtest]
fn unreachable_instances_are_reported() {
    let dir = Workdir::new();
    let instance = Instance::bind("entry-1", 4, &[]);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let unreachable_address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let address = instance.address.to_string();
    let both = dir.run(&["status", "--instance", &address, "--instance", &unreachable_address], "");
    expect_that!(both.code, some(eq(1)));
    expect_that!(both.out, contains_substring(format!("{unreachable_address} does not answer")));
    expect_that!(dir.run(&["status", "--instance", &unreachable_address], "").code, some(eq(3)));
}
