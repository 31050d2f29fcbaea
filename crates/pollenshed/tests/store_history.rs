//! A platform store that is restored to an older state, and a wrong instance list. The instances
//! are real processes.

#[path = "support/store.rs"]
mod store;
mod support;

use std::time::Duration;

use googletest::prelude::*;
use pollenshed_coordination::replication::Outcome;
use pollenshed_protocol::platform::InstanceList;
use pollenshed_standins::backend::Behaviour;
use pollenshed_state::ids::ConfigVersion;
use serde_json::json;
use store::{list_instances_at, unused_address};
use support::Fleet;

/// Log text of a rejected version of the store.
const REJECTED: &str = "rejected a version of the store";

fn behaviour() -> Behaviour {
    Behaviour { name: String::new(), slots: 3, service_time: Duration::from_millis(2) }
}

/// Guards against a restore of the store that reverts an accepted configuration, against log lines
/// for the same rejected version in every poll, and against a version number that is used twice.
#[gtest]
fn restored_store_reverts_no_configuration() {
    let fleet = Fleet::start(&["north-a", "north-b"], &behaviour());
    let old = fleet.platform.save();
    let drain = |name: &str| fleet.config_with_drain(json!({"backend_server": name}));
    fleet.submit_with_floor(&drain("ledger-north-a-1"), 0);
    fleet.wait_for_versions(&[2, 2]);
    fleet.platform.restore(old);
    fleet.wait_for_reads(8);
    fleet.wait_for_versions(&[2, 2]);
    expect_that!(fleet.log_lines("north-a-1", REJECTED), eq(1));
    // A submission that does not ask the instances for their version gets a number that is already
    // in force there.
    let outcome = fleet.submit_with_floor(&drain("ledger-north-b-1"), 0);
    expect_that!(outcome, eq(&Outcome::Accepted { version: ConfigVersion(2) }));
    fleet.wait_for_reads(8);
    expect_that!(fleet.log_lines("north-a-1", "in force with another document"), eq(1));
    expect_that!(fleet.log_lines("north-a-1", REJECTED), eq(2));
    let outcome = fleet.submit_with_floor(&drain("ledger-north-b-1"), 2);
    expect_that!(outcome, eq(&Outcome::Accepted { version: ConfigVersion(3) }));
    fleet.wait_for_versions(&[3, 3]);
}

/// Guards against members that are removed because the platform's list is empty, old or wrong, and
/// against an instance that finds no member because of it.
#[gtest]
fn wrong_instance_list_changes_no_member() {
    let mut fleet = Fleet::start(&["north-a", "north-b"], &behaviour());
    fleet.platform.set_instances(InstanceList::default());
    fleet.wait_for_reads(8);
    fleet.wait_until_in_force(1);
    // The list is empty. A new instance finds the others by the seed peers of its settings.
    fleet.spawn_with_seeds("north-a-2", "north-a");
    fleet.wait_until_in_force(1);
    // The list is old: it names an instance that has ended, which must not become a member.
    list_instances_at(&fleet, |_, daemon| daemon.peer_endpoint);
    fleet.remove("north-b-1");
    fleet.spawn_with_seeds("north-b-2", "north-b");
    fleet.wait_for_versions(&[1, 1, 1]);
    // The list is wrong: it gives each name the address of another instance, or an address without
    // a listener.
    let peers: Vec<_> = fleet.daemons.iter().map(|d| d.peer_endpoint).collect();
    let dead = unused_address();
    list_instances_at(&fleet, |number, _| if number == 0 { dead } else { peers[number - 1] });
    let settings = fleet.settings("north-a-3", "north-a");
    fleet.daemons.push(support::Daemon::spawn(&fleet.workdir, &settings));
    fleet.wait_until_in_force(1);
    fleet.wait_until_each_serves();
}
