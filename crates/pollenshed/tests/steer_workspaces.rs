//! Callers who identify themselves by the key of a workspace, with real processes.

mod steer_support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use pollenshed_standins::steered::{EndpointFault, Run, ServerOptions};
use serde_json::{Value, json};
use steer_support::*;

/// `config_apply` of the instances' settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Returns a configuration with the workspaces `hall` (key `hall-key`, rank 7) and `desk` (key
/// `desk-key`, at home in `catania`), and with a public route `/open/`.
fn config_with_workspaces(version: u64) -> Value {
    let mut config = config(version);
    let paths = config["virtual_hosts"][0]["paths"].as_array_mut().unwrap();
    let mut open = paths[0].clone();
    open["name"] = json!("open");
    open["prefix"] = json!("/open/");
    open["public"] = json!(true);
    paths.push(open);
    config["tenants"] = json!([
        { "name": "hall", "api_keys": ["hall-key", "hall-clé"], "priority": 7 },
        { "name": "desk", "api_keys": ["desk-key", "hall-key"], "allowed_regions": ["catania"] },
    ]);
    config
}

fn put_config(fleet: &Fleet, config: &Value) {
    fleet.store.put("op", "config", config.to_string().as_bytes());
}

fn status_with_key(instance: &Instance, path: &str, id: &str, key: &str) -> Option<u16> {
    let header = format!("Authorization: Token {key}\r\n");
    instance.call(&request("GET", path, id, &header, "")).map(|answer| answer.status)
}

fn wait_for_key(instance: &Instance, key: &str, status: u16) {
    let mut number = 0;
    wait_for("the configuration", || {
        number += 1;
        let id = format!("w-{number}");
        (status_with_key(instance, "/read/1", &id, key) == Some(status)).then_some(())
    });
}

/// Starts servers in each of `domains` and instances in `palermo-a`, with workspaces in force.
fn fleet_with_workspaces(domains: &[&str], instances: usize, full_mesh_peers: usize) -> Fleet {
    let options = |(number, domain): (usize, &&str)| ServerOptions {
        name: format!("i-{number}"),
        failure_domain: (*domain).to_owned(),
        ..Default::default()
    };
    let mut fleet = Fleet::open(domains.iter().enumerate().map(options).collect());
    put_config(&fleet, &config_with_workspaces(2));
    fleet.full_mesh_peers = full_mesh_peers;
    for _ in 0..instances {
        fleet.start("palermo-a");
    }
    fleet.wait_until_ready();
    fleet
}

fn find_run(fleet: &Fleet, id: &str) -> Option<Run> {
    fleet.servers.iter().flat_map(|server| server.runs()).find(|run| run.id == id)
}

/// Guards against a request that runs on behalf of a workspace whose key the caller doesn't hold,
/// against a key that reaches a server or a log, and against a known caller that is turned away.
#[googletest::test]
fn servers_are_told_the_workspace_and_not_the_key() {
    let fleet = fleet_with_workspaces(&["palermo-a"], 1, 40);
    let instance = &fleet.instances[0];
    let cases = [
        ("known key", "/read/1", "Authorization: Token hall-key\r\n"),
        ("name of another", "/read/1", "X-Tenant-Id: desk\r\nAuthorization: Token hall-key\r\n"),
        (
            "name twice",
            "/read/1",
            "x-tenant-id: a\r\nX-TENANT-ID: b\r\nauthorization: Token hall-key\r\n",
        ),
        ("scheme in lower case", "/read/1", "AUTHORIZATION:  token   hall-key \r\n"),
        ("key beyond ASCII", "/read/1", "Authorization: Token hall-clé\r\n"),
        (
            "hop-by-hop",
            "/read/1",
            "Connection: x-tenant-id, authorization\r\nAuthorization: Token hall-key\r\n",
        ),
        ("public, key", "/open/1", "Authorization: Token hall-key\r\n"),
        ("public, unknown key", "/open/1", "Authorization: Token no-key\r\nX-Tenant-Id: hall\r\n"),
        ("public, no key", "/open/1", "X-Tenant-Id: hall\r\n"),
        ("no key", "/read/1", "X-Tenant-Id: hall\r\n"),
        ("unknown key", "/read/1", "Authorization: Token no-key\r\n"),
        ("empty key", "/read/1", "Authorization: Token \r\n"),
        ("another scheme", "/read/1", "Authorization: Bearer hall-key\r\n"),
        ("key in another case", "/read/1", "Authorization: Token HALL-KEY\r\n"),
        ("key with more", "/read/1", "Authorization: Token hall-key x\r\n"),
        (
            "two keys",
            "/read/1",
            "Authorization: Token hall-key\r\nauthorization: Token hall-key\r\n",
        ),
        ("unknown path", "/none/1", "Authorization: Token no-key\r\n"),
    ];
    let mut lines = Vec::new();
    for (number, (what, path, headers)) in cases.iter().enumerate() {
        let id = format!("k-{number}");
        let answer = instance.call(&request("GET", path, &id, headers, "")).unwrap();
        let demands = answer.header("www-authenticate").map_or("", |_| ", demands a key");
        let run = find_run(&fleet, &id).map_or("not run".to_owned(), |run| {
            format!("workspace {:?}, key {:?}", run.workspace, run.authorization)
        });
        lines.push(format!("{what}: {}{demands}, {run}", answer.status));
    }
    let chunked = request("POST", "/scan/b", "k-trailers", "Authorization: Token hall-key\r\n", "")
        .replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\nTrailer: x-tenant-id\r\n");
    let trailers = "X-Tenant-Id: desk\r\nAuthorization: Token hall-key\r\n";
    let answer = instance.call(&format!("{chunked}3\r\nabc\r\n0\r\n{trailers}\r\n")).unwrap();
    let run = find_run(&fleet, "k-trailers").unwrap();
    lines.push(format!("trailers: {}, {:?} {:?}", answer.status, run.workspace, run.authorization));
    let counts = |line: &&str| {
        line.contains("unknown-key")
            || line.contains("workspace_requests_total{")
            || line.contains("service=\"tables\"") && line.starts_with("pollenshed_requests_total")
    };
    let metrics = instance.metrics();
    lines.extend(metrics.lines().filter(counts).map(str::to_owned));
    insta::assert_snapshot!(lines.join("\n"));
    let log = instance.log();
    expect_that!(log, contains_substring("config: keys of several workspaces; count=1"));
    for text in [log, metrics] {
        expect_that!(text, not(contains_regex("hall-key|desk-key|hall-clé|no-key")));
    }
}

/// Guards against a refusal that a caller doesn't get, or a connection that breaks, because its body
/// was not read.
#[googletest::test]
fn a_refusal_reaches_a_caller_that_sends_its_whole_body_first() {
    let fleet = fleet_with_workspaces(&["palermo-a"], 1, 40);
    let mut caller = Caller::connect(fleet.instances[0].callers());
    let body = "0123456789".repeat(350_000);
    let unknown = "Authorization: Token no-key\r\n";
    let answer = caller.exchange(&request("POST", "/scan/long", "b-1", unknown, &body)).unwrap();
    expect_that!(answer.status, eq(401));
    let known = "Authorization: Token hall-key\r\n";
    let answer = caller.exchange(&request("GET", "/read/1", "b-2", known, ""));
    expect_that!(answer.map(|a| a.status), some(eq(200)));
    expect_that!(find_run(&fleet, "b-1"), none());
    // Without the promise to go on, its caller sends no body, so the next bytes are no body either.
    let mut caller = Caller::connect(fleet.instances[0].callers());
    let expect = format!("{unknown}Expect: 100-continue\r\n");
    let head = request("POST", "/scan/long", "b-3", &expect, "").replace("h: 0", "h: 100");
    expect_that!(caller.exchange(&head).map(|a| a.status), some(eq(401)));
    let answer = caller.exchange(&request("GET", "/read/1", "b-4", known, ""));
    expect_that!(answer, none());
}

/// Guards against a key that is still served, or a new one that is refused, after the time in which
/// a configuration has to be in force, at an instance that the store turns away.
#[googletest::test]
fn keys_change_in_time_at_an_instance_that_the_store_turns_away() {
    let mut fleet = fleet_with_workspaces(&["palermo-a"], 2, 40);
    let endpoint = fleet.store.bind().unwrap();
    fleet.start_with("palermo-b", endpoint.address());
    fleet.wait_until_ready();
    endpoint.set_fault(EndpointFault::Busy);
    let cut_off = &fleet.instances[2];
    wait_for_key(cut_off, "hall-key", 200);
    let mut config = config_with_workspaces(3);
    config["tenants"][0]["api_keys"] = json!(["new-key"]);
    config["tenants"][1]["api_keys"] = json!(["desk-key"]);
    put_config(&fleet, &config);
    let start = Instant::now();
    wait_for_key(cut_off, "hall-key", 401);
    wait_for_key(cut_off, "new-key", 200);
    expect_that!(start.elapsed(), lt(CONFIG_APPLY));
    expect_that!(status_with_key(cut_off, "/read/1", "c-1", "hall-key"), some(eq(401)));
}

/// Guards against a caller that gives up its key because an instance that has just started knows no
/// keys.
#[googletest::test]
fn an_instance_without_a_configuration_refuses_nobody_for_good() {
    let mut fleet = Fleet::open(Vec::new());
    fleet.store_endpoint.set_fault(EndpointFault::Busy);
    fleet.start("palermo-a");
    let instance = &fleet.instances[0];
    let answer = wait_for("an answer", || {
        let mut caller = Caller::open(instance.callers(), WAIT_TIMEOUT).ok()?;
        caller.exchange(&request("GET", "/read/1", "n-1", "Authorization: Token hall-key\r\n", ""))
    });
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
}

/// Guards against a request that runs outside of the regions of its workspace or of its route, in a
/// small region and in one where another instance assigns it.
#[googletest::test]
fn requests_run_in_the_regions_of_route_and_workspace() {
    for full_mesh_peers in [40, 1] {
        let fleet = fleet_with_workspaces(&["palermo-a", "catania-a"], 3, full_mesh_peers);
        let mut config = config_with_workspaces(3);
        config["virtual_hosts"][0]["paths"][1]["allowed_regions"] = json!(["palermo"]);
        put_config(&fleet, &config);
        for instance in &fleet.instances {
            wait_for("the configuration", || {
                instance.metrics().contains("pollenshed_config_version 3").then_some(())
            });
        }
        for number in 0..24 {
            let instance = &fleet.instances[number % 3];
            let headers = |key: &str| {
                format!("Authorization: Token {key}\r\nX-Affinity-Key: {}\r\n", number / 6)
            };
            let name = |what: &str| format!("{what}-{number}");
            let desk = request("GET", "/read/1", &name("desk"), &headers("desk-key"), "");
            expect_that!(instance.call(&desk).map(|a| a.status), some(eq(200)));
            let hall = request("POST", "/file/1", &name("hall"), &headers("hall-key"), "");
            expect_that!(instance.call(&hall).map(|a| a.status), some(eq(200)));
            let none = request("POST", "/file/1", &name("none"), &headers("desk-key"), "");
            expect_that!(instance.call(&none).map(|a| a.status), some(eq(503)));
        }
        let ran = |server: usize, prefix: &str| {
            fleet.servers[server].runs().iter().filter(|run| run.id.starts_with(prefix)).count()
        };
        expect_that!((ran(0, "desk"), ran(1, "desk")), eq((0, 24)));
        expect_that!((ran(0, "hall"), ran(1, "hall")), eq((24, 0)));
        expect_that!((ran(0, "none"), ran(1, "none")), eq((0, 0)));
    }
}
