//! Removals from the store that no tombstone tells of, with real processes: the instance that reads
//! the store for its region is killed and started again, or the store forgets its history.

mod steer_support;

use std::{
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_standins::steered::EndpointFault;
use serde_json::json;
use steer_support::{Fleet, Instance, request, wait_for};

/// Time after the removal of a server's record within which the server gets its last request:
/// `drain` of the settings that the tests use.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which requests are sent after that.
const WATCHED: Duration = Duration::from_millis(1_500);

/// Number of objects in the requests.
const OBJECTS: usize = 8;

/// A kill of the reader, a removal of a server's record and a restart of the reader.
#[derive(Debug, Clone, Copy)]
struct Case {
    instances: usize,
    /// Whether the region counts as a large one, where an instance assigns the requests.
    is_large: bool,
    /// Time from the kill to the removal.
    removed_after_ms: u64,
    /// Time from the kill to the restart. `None` if the reader does not return.
    restarted_after_ms: Option<u64>,
}

/// Plays a case while callers use the last instance, which runs all the time. Returns the number of
/// requests that reached the server later than [`DRAIN`] after its removal.
fn late_arrivals(case: Case) -> usize {
    let mut fleet = Fleet::with(3, 0);
    fleet.full_mesh_peers = if case.is_large { 1 } else { 40 };
    for _ in 0..case.instances {
        fleet.start("palermo-a");
    }
    fleet.wait_until_ready();
    let used = fleet.instances.len() - 1;
    wait_for("an answer of the server that leaves", || {
        send(&fleet, used);
        (!fleet.servers[0].arrivals().is_empty()).then_some(())
    });
    // The store has answered for longer than the time in which expired records return.
    wait_for("reads of some seconds", || {
        let metrics = fleet.instances[0].metrics();
        let reads = metrics
            .lines()
            .filter(|l| l.starts_with("pollenshed_store_calls_total{") && l.contains("servers"));
        let reads: u64 = reads.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok()).sum();
        (reads >= 5).then_some(())
    });
    fleet.instances[0].signal("KILL");
    let killed_at = Instant::now();
    let after = |ms| killed_at + Duration::from_millis(ms);
    let removal_at = after(case.removed_after_ms);
    let mut restart_at = case.restarted_after_ms.map(after);
    let mut removed_at: Option<Instant> = None;
    while removed_at.is_none_or(|at| at.elapsed() < DRAIN + WATCHED) {
        if removed_at.is_none() && Instant::now() >= removal_at {
            fleet.store.remove("servers", "i-0");
            removed_at = Some(Instant::now());
        }
        if restart_at.take_if(|at| Instant::now() >= *at).is_some() {
            fleet.restart(0);
        }
        send(&fleet, used);
    }
    let limit = removed_at.unwrap() + DRAIN;
    fleet.servers[0].arrivals().into_iter().filter(|at| *at > limit).count()
}

/// Sends one request for each object.
fn send(fleet: &Fleet, instance: usize) {
    for object in 0..OBJECTS {
        let headers = format!("X-Affinity-Key: {object}\r\n");
        fleet.instances[instance].call(&request("GET", "/read/x", "r", &headers, ""));
    }
}

/// Plays several cases at the same time.
fn expect_no_late_arrivals(cases: &[Case]) {
    thread::scope(|scope| {
        let plays: Vec<_> =
            cases.iter().map(|case| (case, scope.spawn(|| late_arrivals(*case)))).collect();
        for (case, play) in plays {
            expect_that!(play.join().unwrap(), eq(0), "{case:?}");
        }
    });
}

/// Guards against a server that stays in use at instances that were not killed, because the reader
/// was started again after the removal and never knew the server.
#[googletest::test]
fn a_restarted_reader_passes_on_what_was_removed_before_it_started() {
    let case = |instances, is_large, removed_after_ms| Case {
        instances,
        is_large,
        removed_after_ms,
        restarted_after_ms: Some(500),
    };
    expect_no_late_arrivals(&[
        case(2, false, 100),
        case(2, false, 300),
        case(2, false, 450),
        case(4, false, 300),
        case(4, true, 300),
    ]);
}

/// Guards against a server that stays in use because the instance that reads the store next, or the
/// restarted one, holds its removal back as that of a record which expired in an outage.
#[googletest::test]
fn a_removal_counts_at_once_although_the_reader_was_killed() {
    let case = |instances, is_large, removed_after_ms, restarted_after_ms| Case {
        instances,
        is_large,
        removed_after_ms,
        restarted_after_ms,
    };
    expect_no_late_arrivals(&[
        case(2, false, 100, Some(3_000)),
        case(2, false, 700, Some(500)),
        case(2, false, 100, None),
        case(4, false, 300, Some(1_500)),
        case(4, false, 800, Some(1_500)),
        case(4, false, 100, None),
        case(4, true, 300, Some(1_500)),
    ]);
}

/// Guards against a removal that has no effect because the removed row was the newest of its table
/// and the store has forgotten its history since: an evacuation stays in force, and a server that
/// has left stays in use.
#[googletest::test]
fn the_newest_row_of_a_table_is_removed_although_the_history_is_gone() {
    let mut fleet = Fleet::with(2, 2);
    fleet.store.put("op", "evacuate/catania-a", b"{}");
    fleet.announce(1, "draining");
    for instance in &fleet.instances {
        wait_for("both rows", || {
            let log = instance.log();
            (log.contains("evacuation: changed") && log.contains("draining; server=i-1"))
                .then_some(())
        });
    }
    fleet.store_endpoint.set_fault(EndpointFault::Busy);
    wait_for("the loss of the store", || {
        let log = fleet.instances[0].log();
        let is_lost = |table| log.contains(&format!("store: lost; table={table}"));
        (is_lost("servers") && is_lost("op")).then_some(())
    });
    fleet.store.remove("op", "evacuate/catania-a");
    fleet.store.remove("servers", "i-1");
    fleet.store.truncate_history();
    fleet.store_endpoint.set_fault(EndpointFault::None);
    for instance in &fleet.instances {
        wait_for("the end of the evacuation", || {
            (instance.log().matches("evacuation: changed").count() == 2).then_some(())
        });
        wait_for("the removal", || instance.log().contains("gone; server=i-1").then_some(()));
    }
}

/// Returns the bytes that an instance has sent to peers that follow it.
fn bytes_to_followers(instance: &Instance) -> u64 {
    let metrics = instance.metrics();
    let lines = metrics.lines().filter(|l| l.starts_with("pollenshed_peer_answer_bytes_total"));
    lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>() as u64
}

/// Guards against a whole table for each instance of a region at the same moment, because the store
/// has forgotten its history and the reader has read the table again. In a region of a hundred
/// instances most of these transfers did not end in time, and each instance read the store itself.
#[googletest::test]
fn followers_get_changes_only_after_the_reader_has_read_a_table_again() {
    const SERVERS: u32 = 1_000;
    let fleet = Fleet::with(1, 3);
    let put = |number: u32, state: &str| {
        let record = json!({
            "service": format!("other-{:x}", fastrand::u64(..)), "address": "10.0.0.1:80",
            "zone": "palermo-a", "slots": 3, "state": state, "born": 5, "sequence": 1,
        });
        fleet.store.put("servers", &format!("x-{number}"), record.to_string().as_bytes());
    };
    (0..SERVERS).for_each(|number| put(number, "ready"));
    let wait_for_line = |line: &str| {
        for instance in &fleet.instances {
            wait_for(line, || instance.log().contains(line).then_some(()));
        }
    };
    wait_for_line(&format!("ready; server=x-{} ", SERVERS - 1));
    let whole = bytes_to_followers(&fleet.instances[0]);
    let reads_again =
        || fleet.instances[0].log().contains("history is gone, reading again; table=servers");
    let mut removed = 0;
    // The reader may get a removal before the history is gone.
    while !reads_again() {
        fleet.store.remove("servers", &format!("x-{removed}"));
        put(SERVERS + removed, "ready");
        fleet.store.truncate_history();
        wait_for_line(&format!("gone; server=x-{removed} "));
        wait_for_line(&format!("ready; server=x-{} ", SERVERS + removed));
        removed += 1;
    }
    // The first transfers were of the whole table for each of the two followers.
    let sent = bytes_to_followers(&fleet.instances[0]) - whole;
    expect_that!(sent, lt(whole / 4), "{removed} removals");
}
