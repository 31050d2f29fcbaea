//! A store that comes back from a copy without its latest writes, with real processes.

mod steer_support;

use std::{
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_standins::steered::{EndpointFault, ServerOptions, StoreCopy};
use serde_json::Value;
use steer_support::{Fleet, Instance, config, request, wait_for};

/// Time within which a confirmed configuration is in force: `config_apply` of the settings that the
/// tests use.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Starts a server in each failure domain of `servers`, and an instance in each of `instances`.
fn fleet_in(servers: &[&str], instances: &[&str]) -> Fleet {
    let options = servers.iter().enumerate().map(|(number, domain)| ServerOptions {
        name: format!("i-{number}"),
        failure_domain: (*domain).to_owned(),
        ..Default::default()
    });
    let mut fleet = Fleet::open(options.collect());
    for domain in instances {
        fleet.start(domain);
    }
    fleet.wait_until_ready();
    fleet
}

/// Returns a configuration whose only idempotent route has the prefix `/read-VERSION/`.
fn config_with_own_route(version: u64) -> Value {
    let mut config = config(version);
    config["virtual_hosts"][0]["paths"][0]["prefix"] = format!("/read-{version}/").into();
    config
}

fn put_config(fleet: &Fleet, version: u64) {
    fleet.store.put("op", "config", config_with_own_route(version).to_string().as_bytes());
}

fn is_in_force(instance: &Instance, version: u64) -> bool {
    instance.get(&format!("/read-{version}/1"), "probe").is_some_and(|a| a.status == 200)
}

fn wait_until_in_force(fleet: &Fleet, version: u64) {
    for instance in &fleet.instances {
        wait_for("the configuration", || is_in_force(instance, version).then_some(()));
    }
}

/// Takes the store away for a moment and brings it back as it was at the time of the copy.
fn restore(fleet: &Fleet, copy: &StoreCopy) {
    fleet.store_endpoint.set_fault(EndpointFault::Busy);
    thread::sleep(Duration::from_millis(500));
    fleet.store.restore(copy);
    fleet.store_endpoint.set_fault(EndpointFault::None);
}

/// Sends requests for eight objects to an instance until `end` and returns their statuses.
fn read_until(instance: &Instance, version: u64, end: Instant) -> Vec<u16> {
    let mut statuses = Vec::new();
    while Instant::now() < end {
        let headers = format!("X-Affinity-Key: {}\r\n", statuses.len() % 8);
        let id = format!("r-{}", statuses.len());
        let text = request("GET", &format!("/read-{version}/1"), &id, &headers, "");
        statuses.push(instance.call(&text).map_or(0, |answer| answer.status));
    }
    statuses
}

fn arrivals_since(fleet: &Fleet, server: usize, from: Instant) -> usize {
    fleet.servers[server].arrivals().into_iter().filter(|at| *at >= from).count()
}

/// Guards against a configuration that is missed because the restored store gives it a version
/// number below the known ones.
#[googletest::test]
fn a_configuration_that_is_written_after_a_restore_comes_into_force() {
    let fleet = fleet_in(&["palermo-a"], &["palermo-a", "palermo-a", "catania-a"]);
    let copy = fleet.store.copy();
    for version in 2..10 {
        put_config(&fleet, version);
    }
    wait_until_in_force(&fleet, 9);
    restore(&fleet, &copy);
    put_config(&fleet, 9);
    thread::sleep(CONFIG_APPLY);
    let start = Instant::now();
    put_config(&fleet, 10);
    wait_until_in_force(&fleet, 10);
    expect_that!(start.elapsed().as_millis(), lt(CONFIG_APPLY.as_millis()));
}

/// Guards against a configuration that is missed because the restored store has given out the known
/// version number again before an instance reads on.
#[googletest::test]
fn a_configuration_is_not_missed_when_version_numbers_are_given_out_again() {
    let fleet = fleet_in(&["palermo-a"], &["palermo-a"]);
    put_config(&fleet, 2);
    let copy = fleet.store.copy();
    put_config(&fleet, 3);
    wait_until_in_force(&fleet, 3);
    fleet.store_endpoint.set_fault(EndpointFault::Busy);
    thread::sleep(Duration::from_millis(500));
    fleet.store.restore(&copy);
    put_config(&fleet, 4);
    for _ in 0..20 {
        fleet.store.put("other", "row", b"");
    }
    fleet.store_endpoint.set_fault(EndpointFault::None);
    let start = Instant::now();
    wait_until_in_force(&fleet, 4);
    // The delay of a retry after the outage comes on top.
    expect_that!(start.elapsed().as_millis(), lt(CONFIG_APPLY.as_millis() + 1_200));
}

/// Guards against a copy that takes back a stop, a removal, an evacuation or a configuration until
/// its writer has written again, and that removes a server which registered after the copy.
#[googletest::test]
fn a_copy_of_the_store_takes_nothing_back() {
    let domains = ["palermo-a", "palermo-a", "palermo-b", "palermo-a", "palermo-a"];
    let mut fleet = fleet_in(&domains, &["palermo-a", "catania-a"]);
    fleet.store.remove("servers", "i-3");
    for instance in &fleet.instances {
        wait_for("the removal", || instance.log().contains("gone; server=i-3").then_some(()));
    }
    let copy = fleet.store.copy();
    fleet.announce(0, "draining");
    fleet.store.put("op", "evacuate/palermo-b", b"{}");
    fleet.announce(3, "ready");
    fleet.store.remove("servers", "i-4");
    put_config(&fleet, 2);
    wait_until_in_force(&fleet, 2);
    let log = |instance: usize| fleet.instances[instance].log();
    for instance in 0..2 {
        wait_for("the changes", || {
            let seen = ["draining; server=i-0", "gone; server=i-4", "evacuation: changed"];
            let log = log(instance);
            (seen.iter().all(|text| log.contains(text))
                && log.matches("ready; server=i-3").count() == 2)
                .then_some(())
        });
    }
    let start = Instant::now();
    restore(&fleet, &copy);
    let check = |statuses: Vec<u16>| {
        expect_that!(statuses, each(eq(&200)));
        let arrivals: Vec<usize> =
            (0..5).map(|server| arrivals_since(&fleet, server, start)).collect();
        expect_that!((arrivals[0], arrivals[2], arrivals[4]), eq((0, 0, 0)), "{arrivals:?}");
        expect_that!(arrivals[1], gt(0));
        expect_that!(arrivals[3], gt(0));
    };
    for instance in &fleet.instances {
        check(read_until(instance, 2, Instant::now() + Duration::from_millis(600)));
    }
    // All write again but the server that has left, whose copied record stays for a while.
    let row = |server: usize, state: &str| fleet.servers[server].announcement(state, 0, 99);
    fleet.store.put("servers", "i-0", &row(0, "draining"));
    for server in [1, 2, 3] {
        fleet.store.put("servers", &format!("i-{server}"), &row(server, "ready"));
    }
    fleet.store.put("op", "evacuate/palermo-b", b"{}");
    put_config(&fleet, 2);
    for instance in &fleet.instances {
        check(read_until(instance, 2, Instant::now() + Duration::from_millis(1_800)));
    }
    expect_that!(log(0).matches("gone; server=i-3").count(), eq(1));
    // What is written after that counts, so a server can return.
    fleet.store.put("servers", "i-4", &row(4, "ready"));
    wait_for("the return of a server", || {
        let end = Instant::now() + Duration::from_millis(100);
        fleet.instances.iter().for_each(|i| drop(read_until(i, 2, end)));
        (arrivals_since(&fleet, 4, start) > 0).then_some(())
    });
}

/// Time within which a failure domain is empty after its evacuation was confirmed, as on the users'
/// platform.
const EVACUATION: Duration = Duration::from_millis(5_000);

/// Evacuates a failure domain or takes its evacuation back, and waits until `instance` knows.
fn set_evacuated(fleet: &Fleet, instance: usize, is_evacuated: bool) {
    let changes = || fleet.instances[instance].log().matches("evacuation: changed").count();
    let known = changes();
    if is_evacuated {
        fleet.store.put("op", "evacuate/palermo-b", b"{}");
    } else {
        fleet.store.remove("op", "evacuate/palermo-b");
    }
    wait_for("the evacuation", || (changes() > known).then_some(()));
}

/// Checks that no instance sends to `palermo-b`, where server 1 is, although it is used otherwise.
fn expect_evacuated(fleet: &Fleet) {
    let start = Instant::now();
    for instance in &fleet.instances {
        let statuses = read_until(instance, 2, start + Duration::from_millis(500));
        expect_that!(statuses, each(eq(&200)));
    }
    expect_that!(arrivals_since(fleet, 1, start), eq(0));
}

/// Guards against an evacuation that is ignored for good because it was set and ended before the
/// store came back from a copy, and set again before an instance read the copy.
#[googletest::test]
fn a_failure_domain_evacuated_again_after_a_restore_is_emptied() {
    let fleet = fleet_in(&["palermo-a", "palermo-b"], &["palermo-a", "catania-a"]);
    put_config(&fleet, 2);
    wait_until_in_force(&fleet, 2);
    set_evacuated(&fleet, 0, true);
    set_evacuated(&fleet, 0, false);
    let copy = fleet.store.copy();
    fleet.store_endpoint.set_fault(EndpointFault::Busy);
    thread::sleep(Duration::from_millis(500));
    fleet.store.restore(&copy);
    fleet.store.put("op", "evacuate/palermo-b", b"{}");
    fleet.store_endpoint.set_fault(EndpointFault::None);
    thread::sleep(EVACUATION);
    expect_evacuated(&fleet);
}

/// Guards against an evacuation that is ignored for good because the restored store gives it a
/// version below that of an end which it has lost.
#[googletest::test]
fn an_evacuation_is_not_taken_for_a_relic_by_its_version() {
    let fleet = fleet_in(&["palermo-a", "palermo-b"], &["palermo-a", "catania-a"]);
    put_config(&fleet, 2);
    wait_until_in_force(&fleet, 2);
    let copy = fleet.store.copy();
    set_evacuated(&fleet, 0, true);
    for _ in 0..20 {
        fleet.store.put("other", "row", b"");
    }
    set_evacuated(&fleet, 0, false);
    fleet.store_endpoint.set_fault(EndpointFault::Busy);
    thread::sleep(Duration::from_millis(500));
    fleet.store.restore(&copy);
    fleet.store.put("op", "evacuate/palermo-b", b"{}");
    fleet.store_endpoint.set_fault(EndpointFault::None);
    thread::sleep(EVACUATION);
    expect_evacuated(&fleet);
    // What the copy has brought back can still be taken back.
    set_evacuated(&fleet, 0, false);
}

/// Guards against a failure domain that loses its requests because a copy brings back an evacuation
/// that has ended, until the operator has ended it again.
#[googletest::test]
fn an_evacuation_that_ended_after_the_copy_stays_ended() {
    let fleet = fleet_in(&["palermo-a", "palermo-b"], &["palermo-a", "catania-a"]);
    set_evacuated(&fleet, 0, true);
    let copy = fleet.store.copy();
    set_evacuated(&fleet, 0, false);
    let changes = || {
        let count = |i: &Instance| i.log().matches("evacuation: changed").count();
        fleet.instances.iter().map(count).sum::<usize>()
    };
    wait_for("the end of the evacuation", || (changes() == 4).then_some(()));
    restore(&fleet, &copy);
    for instance in &fleet.instances {
        let held = "copied row set aside; table=op key=evacuate/palermo-b";
        wait_for("the row of the copy", || instance.log().contains(held).then_some(()));
    }
    fleet.store.remove("op", "evacuate/palermo-b");
    thread::sleep(Duration::from_millis(2_500));
    expect_that!(changes(), eq(4));
}

/// Guards against rows of the instances that stay lost in a restored store, so that instances which
/// start later find no others.
#[googletest::test]
fn instances_write_again_what_a_restored_store_has_lost() {
    let mut fleet = fleet_in(&["palermo-a"], &[]);
    let copy = fleet.store.copy();
    fleet.start("palermo-a");
    fleet.start("palermo-b");
    fleet.wait_until_ready();
    let written = |table: &str, key: &str| fleet.store.get(table, key).is_some();
    let all_written = || {
        (written("instances", "front-0")
            && written("instances", "front-1")
            && written("homes", "all"))
        .then_some(())
    };
    fleet.instances[0].get("/read/1", "r-1");
    wait_for("the rows", all_written);
    fleet.store.restore(&copy);
    wait_for("the rows after the restore", all_written);
}

/// Guards against a server that is removed because it is missing in a copy, after a restore in which
/// no call to the store failed.
#[googletest::test]
fn a_restore_that_fails_no_call_removes_no_server() {
    let mut fleet = fleet_in(&["palermo-a", "palermo-a"], &["palermo-a"]);
    fleet.store.remove("servers", "i-1");
    let log = || fleet.instances[0].log();
    wait_for("the removal", || log().contains("gone; server=i-1").then_some(()));
    let copy = fleet.store.copy();
    fleet.announce(1, "ready");
    // The removal was applied, so the store has answered for longer than removals are held.
    let log = || fleet.instances[0].log();
    wait_for("the server", || (log().matches("ready; server=i-1").count() == 2).then_some(()));
    fleet.store.restore(&copy);
    wait_for("the restore", || log().contains("store: restored from a copy").then_some(()));
    thread::sleep(Duration::from_millis(1_500));
    fleet.announce(1, "ready");
    thread::sleep(Duration::from_millis(2_500));
    expect_that!(fleet.instances[0].log().matches("gone; server=i-1").count(), eq(1));
}
