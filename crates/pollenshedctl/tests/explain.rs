//! Tests of `pollenshedctl explain`. `crates/pollenshed/tests/explain.rs` tests the answers of
//! instances.

#[path = "support/instance.rs"]
mod instance;
mod support;

use googletest::prelude::*;
use instance::Instance;
use serde_json::{Value, json};
use support::Workdir;

fn explaining_instance() -> Instance {
    let instance = Instance::bind("entry-1", 4, &[]);
    instance.set("service", json!("tavole"));
    let entry = json!({"instance": "entry-1", "failure_domain": "palermo-a", "state": "alive"});
    instance.set("entries", json!([entry]));
    let server = |name: &str, owner: Value, state: &str| json!({"name": name, "owner": owner, "state": state});
    let domain = |name: &str, share_ppm: u64, reason: &str, servers: Value| {
        json!({
            "failure_domain": name,
            "share_ppm": share_ppm,
            "headroom_requests_per_s": 7,
            "reason": reason,
            "backend_servers": servers,
        })
    };
    let home = json!([server("tavole-1", json!("entry-1"), "ok")]);
    let away = json!([server("tavole-2", json!(null), "draining")]);
    let domains = json!([
        domain("palermo-a", 989_500, "home, moves towards 800000 ppm", home),
        domain("palermo-b", 10_500, "away, moves towards 200000 ppm", away),
    ]);
    instance.set("failure_domains", domains);
    instance
}

/// Guards against a report that omits a share, a reason, an owner or a state, or rounds a share.
#[gtest]
fn report_names_entries_shares_owners_and_states() {
    let instance = explaining_instance();
    let address = instance.address.to_string();
    let args = ["explain", "--instance", &address, "--client", "192.0.2.7", "tavole"];
    let run = Workdir::new().run(&args, "");
    expect_that!(run.code, some(eq(0)), "{}", run.err);
    let expected = [
        "entry-1: version 4 in force",
        "entry entry-1 of palermo-a, alive",
        "palermo-a: 98.9500% of the traffic, headroom 7/s, home, moves towards 800000 ppm",
        "  tavole-1 is ok, owned by entry-1",
        "palermo-b: 1.0500% of the traffic, headroom 7/s, away, moves towards 200000 ppm",
        "  tavole-2 is draining, owned by nobody",
    ];
    expect_that!(run.out.lines().collect::<Vec<_>>(), eq(&expected));
    expect_that!(
        instance.requests(),
        elements_are![starts_with("GET /v1/explain?service=tavole&client=192.0.2.7 ")]
    );
}

/// Guards against JSON output that differs from the answer of the instance.
#[gtest]
fn json_is_the_answer_of_the_instance() {
    let instance = explaining_instance();
    let address = instance.address.to_string();
    let args = ["explain", "--json", "--instance", &address, "tavole"];
    let json: Value = serde_json::from_str(&Workdir::new().run(&args, "").out).unwrap();
    expect_that!(json["client"], eq(&Value::Null));
    expect_that!(json["failure_domains"][1]["share_ppm"], eq(&json!(10_500)));
    expect_that!(json["failure_domains"][1]["backend_servers"][0]["owner"], eq(&Value::Null));
    expect_that!(
        instance.requests(),
        elements_are![starts_with("GET /v1/explain?service=tavole ")]
    );
}

/// Guards against exit code 0 when the instance does not answer or an argument is wrong.
#[gtest]
fn unreachable_instance_and_invalid_arguments_are_errors() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let dir = Workdir::new();
    expect_that!(dir.run(&["explain", "--instance", &address, "tavole"], "").code, some(eq(3)));
    let args = ["explain", "--instance", &address, "--client", "somebody", "tavole"];
    expect_that!(dir.run(&args, "").code, some(eq(2)));
    expect_that!(dir.run(&["explain", "tavole"], "").code, some(eq(2)));
}
