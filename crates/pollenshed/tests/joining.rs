//! Instances that join under load take over backend servers without a pause in dispatching and
//! without exceeding the slots.

mod support;

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use support::{
    Daemon,
    faults::{DEAD_AFTER_MS, ProxiedFleet, SLOTS, THREE_ENTRIES, signal, sleep_for},
    load::Load,
    wait_for,
};

/// Callers that each send one request after the other, one for each slot of the fleet.
const CALLERS: u8 = 12;

/// Time that one request takes at a backend server, long enough that requests of former owners
/// still run after a release.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Least share of the requests that must be served.
const MIN_DONE_PERCENT: u64 = 95;

/// Time for which the load continues after the last change, longer than an owner waits without a
/// release.
const LOAD_AFTER_CHANGE: Duration = Duration::from_millis(DEAD_AFTER_MS + 500);

fn callers_of(fleet: &ProxiedFleet) -> Vec<SocketAddr> {
    fleet.fleet.daemons.iter().map(|d| d.caller_endpoint).collect()
}

/// Runs `during` under load and checks the answers, the slots in use and the share of served
/// requests.
fn under_load(name: &str, during: impl FnOnce(&mut ProxiedFleet, &Load)) {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    let load = Load::new(callers_of(&fleet));
    thread::scope(|scope| {
        for client in 1..=CALLERS {
            let load = &load;
            scope.spawn(move || load.run_caller(client));
        }
        let stop = StopOnDrop(&load);
        wait_for("load", || (load.done() > 50).then_some(()));
        during(&mut fleet, &load);
        sleep_for(LOAD_AFTER_CHANGE);
        drop(stop);
    });
    let (done, refused) = (load.done(), load.refused());
    let peak_in_use = fleet.fleet.backends.iter().map(|(_, b)| b.max_in_use()).max().unwrap();
    println!(
        "{name}: {done} served, {} refused, at most {peak_in_use} slots in use",
        refused.len()
    );
    expect_that!(load.wrong(), is_empty());
    expect_that!(peak_in_use, le(SLOTS), "{name}");
    let all = done + refused.len() as u64;
    expect_that!(done * 100, ge(all * MIN_DONE_PERCENT), "{name}: refused {refused:?}");
}

/// Stops the load when it is dropped. Without it, a failed check would leave the callers running,
/// and the test would never end.
struct StopOnDrop<'a>(&'a Load);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop();
    }
}

/// Guards against backend servers to which no instance dispatches, or with more requests than
/// slots, while instances join one after the other.
#[gtest]
fn instances_join_under_load() {
    under_load("join", |fleet, load| {
        for location in
            [("north-a-3", "north-a"), ("north-b-2", "north-b"), ("north-a-4", "north-a")]
        {
            fleet.add(location);
            fleet.list();
            load.set_entries(callers_of(fleet));
            fleet.fleet.wait_until_in_force(1);
        }
    });
}

/// Guards against refusals while all instances of a failure domain are replaced one after the
/// other, with no wait until the new instances own backend servers.
#[gtest]
fn failure_domain_is_replaced_without_a_wait() {
    under_load("replace", |fleet, load| {
        for name in ["north-a-3", "north-a-4"] {
            fleet.add((name, "north-a"));
            fleet.list();
            // The first entry is always an original one of this failure domain. It stops next.
            load.set_entries(callers_of(fleet)[1..].to_vec());
            signal(&fleet.fleet.daemons[0], "-TERM");
            expect_that!(fleet.fleet.daemons[0].wait_for_end(), eq(true));
            fleet.remove(0);
        }
    });
}

/// Guards against a new owner that still waits after the former owner released its backend servers.
#[gtest]
fn joining_owner_need_not_wait() {
    let mut fleet = ProxiedFleet::start(&[("north-a-1", "north-a")], SERVICE_TIME);
    // A release is accepted only if a member has run for this time.
    sleep_for(Duration::from_millis(DEAD_AFTER_MS));
    let began = Instant::now();
    // With these names at least one of the two backend servers gets a new owner.
    for name in ["north-a-2", "north-a-3", "north-a-4", "north-a-5"] {
        fleet.add((name, "north-a"));
    }
    fleet.list();
    let new = &fleet.fleet.daemons[1..];
    wait_for("a new owner", || {
        let statuses = new.iter().filter_map(Daemon::status);
        statuses.flat_map(|s| s.owned_backend_servers).any(|s| s.limit > 0).then_some(())
    });
    let time = began.elapsed();
    println!("new owner after {} ms", time.as_millis());
    expect_that!(time, lt(Duration::from_millis(DEAD_AFTER_MS)));
}
