//! Failures of the platform's store: it is down, is slow or loses replies. The instances are real
//! processes.

#[path = "support/store.rs"]
mod store;
mod support;

use std::time::Duration;

use googletest::prelude::*;
use pollenshed_coordination::replication::Outcome;
use pollenshed_standins::{backend::Behaviour, platform::Faults};
use pollenshed_state::ids::ConfigVersion;
use serde_json::json;
use store::{DomainFleet, store_unavailable};
use support::{Fleet, wait_for};

fn behaviour() -> Behaviour {
    Behaviour { name: String::new(), slots: 3, service_time: Duration::from_millis(2) }
}

/// Guards against requests or a restart of an instance that need the store.
#[gtest]
fn traffic_and_a_restart_need_no_store() {
    let mut fleet = Fleet::start(&["north-a", "north-b"], &behaviour());
    fleet.platform.set_faults(store_unavailable());
    fleet.wait_for_reads(4);
    for _ in 0..20 {
        fleet.expect_served();
    }
    fleet.remove("north-a-1");
    fleet.spawn_with_seeds("north-a-1", "north-a");
    fleet.wait_for_versions(&[1, 1]);
    fleet.wait_until_each_serves();
}

/// Guards against instances that lose the configuration while they are replaced during an outage,
/// and against a fleet that does not recover by itself after all instances were replaced at once.
#[gtest]
fn replacement_of_all_instances_during_an_outage() {
    let mut fleet = Fleet::start(&["north-a", "north-b"], &behaviour());
    fleet.platform.set_faults(store_unavailable());
    for domain in ["north-a", "north-b"] {
        fleet.spawn_with_seeds(&format!("{domain}-2"), domain);
        fleet.wait_until_in_force(1);
        fleet.remove(&format!("{domain}-1"));
        fleet.wait_until_each_serves();
    }
    // All instances are replaced at once. None has the configuration, so no request is served.
    fleet.daemons.clear();
    for domain in ["north-a", "north-b"] {
        fleet.spawn_with_seeds(&format!("{domain}-3"), domain);
    }
    fleet.wait_for_reads(4);
    fleet.wait_for_versions(&[0, 0]);
    let url = format!("http://{}/v1/run/ledger/page", fleet.daemons[0].caller_endpoint);
    expect_that!(ureq::get(&url).call(), err(anything()));
    fleet.platform.set_faults(Faults::default());
    fleet.wait_until_in_force(1);
    fleet.wait_until_each_serves();
}

/// Guards against a slow store that delays requests, and against a lost reply to a write that makes
/// a version disappear or appear twice.
#[gtest]
fn slow_store_that_loses_every_write_reply() {
    let fleet = Fleet::start(&["north-a", "north-b"], &behaviour());
    let delay = Duration::from_millis(200);
    fleet.platform.set_faults(Faults { delay, lose_write_replies: true, ..Faults::default() });
    for version in 2..=4 {
        let drain = json!({"backend_server": format!("ledger-north-a-{}", 1 + version % 2)});
        let outcome = fleet.submit_with_floor(&fleet.config_with_drain(drain), 0);
        expect_that!(outcome, eq(&Outcome::Accepted { version: ConfigVersion(version) }));
        fleet.expect_served();
    }
    fleet.wait_for_versions(&[4, 4]);
}

/// Guards against instances that apply no change after reads failed for a while, and against an
/// outage that fills the log.
#[gtest]
fn changes_arrive_after_an_outage() {
    let fleet = Fleet::start(&["north-a", "north-b"], &behaviour());
    fleet.platform.set_faults(Faults { lose_read_replies: true, ..Faults::default() });
    fleet.wait_for_reads(10);
    fleet.platform.set_faults(Faults::default());
    let config = fleet.config_with_drain(json!({"failure_domain": "north-b"}));
    let outcome = fleet.submit_with_floor(&config, 0);
    expect_that!(outcome, eq(&Outcome::Accepted { version: ConfigVersion(2) }));
    fleet.wait_for_versions(&[2, 2]);
    expect_that!(fleet.log_lines("north-a-1", "reader: a poll of the platform failed"), le(2));
}

/// Guards against a head row that names a missing document and stops the instances, or is applied.
#[gtest]
fn missing_object_keeps_the_version_in_force() {
    let fleet = Fleet::start(&["north-a", "north-b"], &behaviour());
    fleet.platform.set_faults(Faults { hide_objects: true, ..Faults::default() });
    let config = fleet.config_with_drain(json!({"failure_domain": "north-b"}));
    fleet.submit_with_floor(&config, 0);
    fleet.wait_for_reads(6);
    fleet.wait_for_versions(&[1, 1]);
    fleet.expect_served();
    fleet.platform.set_faults(Faults::default());
    fleet.wait_for_versions(&[2, 2]);
}

/// Guards against a failure domain that gets no change while its readers are paused, and against a
/// paused reader that keeps its old version after it resumes.
#[gtest]
fn others_take_over_from_paused_readers() {
    let domain = DomainFleet::start(4, &behaviour());
    let readers = domain.readers();
    for reader in &readers {
        store::signal(&domain.fleet.daemons[*reader], "-STOP");
    }
    let config = domain.fleet.config_with_drain(json!({"backend_server": "ledger-north-a-1"}));
    domain.fleet.submit_with_floor(&config, 0);
    for (_, daemon) in domain.fleet.daemons.iter().enumerate().filter(|(n, _)| !readers.contains(n))
    {
        wait_for("the change at an instance that runs", || {
            (daemon.status()?.config_version == 2).then_some(())
        });
    }
    for reader in &readers {
        store::signal(&domain.fleet.daemons[*reader], "-CONT");
    }
    domain.fleet.wait_for_versions(&[2; 4]);
}

/// Guards against a failure domain that gets no change because its readers run but can't reach the
/// platform.
#[gtest]
fn others_take_over_from_readers_that_are_cut_off() {
    let mut domain = DomainFleet::start(5, &behaviour());
    for reader in domain.readers() {
        domain.platform_proxies[reader].refuse_new();
        domain.platform_proxies[reader].cut();
        domain.platform_proxies[reader].reset_connections();
    }
    let config = domain.fleet.config_with_drain(json!({"backend_server": "ledger-north-a-1"}));
    domain.fleet.submit_with_floor(&config, 0);
    domain.fleet.wait_for_versions(&[2; 5]);
}

/// Guards against a failure domain that stops or loses its configuration when none of its instances
/// can reach the platform.
#[gtest]
fn failure_domain_that_is_cut_off_keeps_running() {
    let mut domain = DomainFleet::start(3, &behaviour());
    for proxy in &mut domain.platform_proxies {
        proxy.refuse_new();
        proxy.cut();
        proxy.reset_connections();
    }
    let config = domain.fleet.config_with_drain(json!({"backend_server": "ledger-north-a-1"}));
    domain.fleet.submit_with_floor(&config, 0);
    for _ in 0..10 {
        domain.fleet.wait_until_each_serves();
    }
    domain.fleet.wait_for_versions(&[1; 3]);
    for proxy in &mut domain.platform_proxies {
        proxy.heal().unwrap();
    }
    domain.fleet.wait_for_versions(&[2; 3]);
}
