//! Tests a failure domain that is cut off from all other failure domains and from the platform.

mod support;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_protocol::operator::StatusBody;
use serde_json::json;
use support::{
    callers::{Filing, Reply, get, lookup},
    faults::{InstanceLocation, ProxiedFleet, SLOTS, sleep_for},
    wait_for,
};

/// The failure domain that is cut off.
const CUT_OFF: &str = "north-a";
/// Instances in it, by position.
const INSIDE: [usize; 2] = [0, 1];
/// Instances in the other failure domains. The first one is in the same region, so it becomes the
/// owner of backend servers that it can't reach.
const OUTSIDE: [usize; 2] = [2, 3];
const LOCATIONS: [InstanceLocation; 4] = [
    ("north-a-1", "north-a"),
    ("north-a-2", "north-a"),
    ("north-b-1", "north-b"),
    ("south-a-1", "south-a"),
];
/// Readers at each instance. The eight in each failure domain are more than its six slots.
const READERS: [usize; 4] = [4, 4, 8, 8];
/// Time that a request takes, long enough that few callers fill all slots without loading the
/// machine.
const SERVICE_TIME: Duration = Duration::from_millis(300);
/// Requests in a row that an entry must serve without a refusal.
const SERVED_IN_A_ROW: usize = 10;
/// Time for which the partition lasts after both sides have settled, long enough for several polls
/// and probes.
const PARTITION_TIME: Duration = Duration::from_secs(3);
const DEADLINE_MS: u64 = 8_000;

/// Ends the background threads when it is dropped, also by a failed check.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Operator and caller address of each instance, which change at a restart.
type Addresses = Mutex<Vec<(SocketAddr, SocketAddr)>>;

/// Observed versions in force by incarnation, in the order of their observation.
type Versions = Mutex<BTreeMap<String, Vec<u64>>>;

fn status_at(operators: SocketAddr) -> Option<StatusBody> {
    let url = format!("http://{operators}/v1/status");
    ureq::get(url).call().ok()?.body_mut().read_json().ok()
}

fn record_versions(addresses: &Addresses, seen: &Versions, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let current = addresses.lock().unwrap().clone();
        for status in current.into_iter().filter_map(|(operators, _)| status_at(operators)) {
            let run = format!("{}.{}", status.instance, status.incarnation);
            let mut seen = seen.lock().unwrap();
            let versions = seen.entry(run).or_default();
            if versions.last() != Some(&status.config_version) {
                versions.push(status.config_version);
            }
        }
        sleep_for(Duration::from_millis(20));
    }
}

/// Sends reads to one entry until the end of the test.
fn read_in_loop(addresses: &Addresses, at: usize, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let (_, entry) = addresses.lock().unwrap()[at];
        if !matches!(get(entry, "/reads"), Reply::Done(_)) {
            sleep_for(Duration::from_millis(50));
        }
    }
}

fn addresses(fleet: &ProxiedFleet) -> Vec<(SocketAddr, SocketAddr)> {
    fleet.fleet.daemons.iter().map(|d| (d.operator_endpoint, d.caller_endpoint)).collect()
}

fn version_at(fleet: &ProxiedFleet, at: usize) -> Option<u64> {
    fleet.fleet.daemons[at].status().map(|s| s.config_version)
}

fn wait_for_version(fleet: &ProxiedFleet, at: &[usize], version: u64) {
    for at in at {
        wait_for("the version", || (version_at(fleet, *at)? == version).then_some(()));
    }
}

/// Waits until the instance `from` considers all of `others` dead.
fn wait_until_lost(fleet: &ProxiedFleet, from: usize, others: &[usize]) {
    wait_for("the other side to be considered dead", || {
        let status = fleet.fleet.daemons[from].status()?;
        let is_lost = |at: &usize| {
            let name = fleet.locations[*at].0;
            let member = status.members.iter().find(|m| m.instance.as_str() == name);
            member.is_none_or(|m| m.state == "dead")
        };
        others.iter().all(is_lost).then_some(())
    });
}

/// Waits until an entry has served a row of reads and filings without a refusal. Returns all
/// filings sent.
fn wait_until_served(fleet: &ProxiedFleet, at: usize, phase: &str) -> Vec<Filing> {
    let entry = fleet.fleet.daemons[at].caller_endpoint;
    let began = Instant::now();
    let mut filings = Vec::new();
    let (mut in_a_row, mut refused) = (0, BTreeMap::<String, usize>::new());
    wait_for("requests that are served in a row", || {
        let filing = Filing::prepare(entry, 1, format!("{phase} at {at} {}", filings.len()));
        // The caller does not change to another entry after a refusal.
        let replies = [filing.send(entry, DEADLINE_MS), get(entry, &format!("/{phase}/{at}"))];
        filings.push(filing);
        let failed = replies.iter().find(|reply| !matches!(reply, Reply::Done(_)));
        in_a_row = if failed.is_some() { 0 } else { in_a_row + 1 };
        if let Some(failed) = failed {
            *refused.entry(format!("{failed:?}")).or_default() += 1;
        }
        (in_a_row == SERVED_IN_A_ROW).then_some(())
    });
    println!(
        "{phase}: {} serves after {} ms, before: {refused:?}",
        fleet.locations[at].0,
        began.elapsed().as_millis()
    );
    filings
}

/// Checks that a lookup at an instance returns only entries of its own side of the partition.
fn expect_own_side_named(fleet: &ProxiedFleet, at: usize, own_side: &[usize]) {
    let names: Vec<_> = own_side.iter().map(|at| fleet.locations[*at].0).collect();
    let answer = wait_for("a lookup", || lookup(fleet.fleet.daemons[at].caller_endpoint, 1));
    let foreign_entries: Vec<_> =
        answer.entries.iter().filter(|e| !names.contains(&e.instance.as_str())).collect();
    expect_that!(foreign_entries, is_empty(), "{}", fleet.locations[at].0);
}

/// Returns how many `filings` ran at a backend server inside the failure domain that is cut off, or
/// outside of it.
fn runs(fleet: &ProxiedFleet, filings: &[Filing], inside: bool) -> usize {
    let backends = fleet.fleet.backends.iter().filter(|(name, _)| name.contains(CUT_OFF) == inside);
    let runs: Vec<_> = backends.flat_map(|(_, b)| b.runs()).collect();
    let has_run = |filing: &&Filing| runs.iter().any(|r| r.body == filing.body.as_bytes());
    filings.iter().filter(has_run).count()
}

/// Submits a new configuration that differs only in the retry budget, so that all backend servers
/// stay in use.
fn submit_change(fleet: &mut ProxiedFleet, retry_budget_percent: u64) {
    let mut config = fleet.fleet.config.clone();
    config["services"][0]["retry_budget_percent"] = json!(retry_budget_percent);
    fleet.fleet.submit(&config);
}

/// Waits until all of these entries serve requests. Returns all filings sent.
fn wait_until_all_serve(fleet: &ProxiedFleet, at: &[usize], phase: &str) -> Vec<Filing> {
    thread::scope(|scope| {
        let serve = |at: &usize| {
            let at = *at;
            scope.spawn(move || wait_until_served(fleet, at, phase))
        };
        let threads: Vec<_> = at.iter().map(serve).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Checks that each side of the partition serves its callers and uses only itself. Returns all
/// filings sent.
fn check_both_sides(fleet: &ProxiedFleet, phase: &str) -> Vec<Filing> {
    let (mut inside, outside) = thread::scope(|scope| {
        let outside = scope.spawn(|| wait_until_all_serve(fleet, &OUTSIDE, phase));
        (wait_until_all_serve(fleet, &INSIDE, phase), outside.join().unwrap())
    });
    expect_that!(runs(fleet, &inside, false), eq(0), "{phase}: the cut-off side ran elsewhere");
    expect_that!(runs(fleet, &outside, true), eq(0), "{phase}: the others used the cut-off side");
    INSIDE.iter().for_each(|at| expect_own_side_named(fleet, *at, &INSIDE));
    OUTSIDE.iter().for_each(|at| expect_own_side_named(fleet, *at, &OUTSIDE));
    inside.extend(outside);
    inside
}

/// Cuts the failure domain off, changes the configuration outside, restarts an instance inside and
/// ends the partition. Returns all filings sent.
fn run_partition(fleet: &mut ProxiedFleet, current: &Addresses) -> Vec<Filing> {
    fleet.cut_off(CUT_OFF);
    submit_change(fleet, 11);
    wait_for_version(fleet, &OUTSIDE, 2);
    INSIDE.iter().for_each(|at| wait_until_lost(fleet, *at, &OUTSIDE));
    OUTSIDE.iter().for_each(|at| wait_until_lost(fleet, *at, &INSIDE));
    let mut filings = check_both_sides(fleet, "partition");
    expect_that!(INSIDE.map(|at| version_at(fleet, at)), eq([Some(1); 2]));

    fleet.restart_with_seeds(INSIDE[1]);
    *current.lock().unwrap() = addresses(fleet);
    wait_for_version(fleet, &INSIDE, 1);
    let from_peer = [("version", "1"), ("source", "peer"), ("peer", LOCATIONS[INSIDE[0]].0)];
    let (name, text) = (LOCATIONS[INSIDE[1]].0, "config: a version is in force");
    expect_that!(fleet.fleet.config_lines(name, text, &from_peer), ge(1));
    sleep_for(PARTITION_TIME);
    filings.extend(check_both_sides(fleet, "restarted"));
    expect_that!(INSIDE.map(|at| version_at(fleet, at)), eq([Some(1); 2]));
    expect_that!(OUTSIDE.map(|at| version_at(fleet, at)), eq([Some(2); 2]));

    let healed = Instant::now();
    fleet.heal();
    wait_for_version(fleet, &INSIDE, 2);
    println!("healed: version 2 inside after {} ms", healed.elapsed().as_millis());
    fleet.wait_until_ready();
    filings.extend(wait_until_all_serve(fleet, &[INSIDE, OUTSIDE].concat(), "healed"));
    filings
}

/// Guards against a failure domain that stops serving its own callers, loses its configuration or
/// sends requests to others while it is cut off, and against others that still use it. After the
/// partition, guards against a configuration that reverts or does not arrive. At all times, guards
/// against slots that both sides use at once.
#[gtest]
fn failure_domain_is_cut_off_from_all_others_and_from_the_platform() {
    let mut fleet = ProxiedFleet::start(&LOCATIONS, SERVICE_TIME);
    let current = Addresses::new(addresses(&fleet));
    let (seen, is_over) = (Versions::default(), AtomicBool::new(false));
    let filings = thread::scope(|scope| {
        let _end = SetOnDrop(&is_over);
        scope.spawn(|| record_versions(&current, &seen, &is_over));
        let readers = READERS.iter().enumerate().flat_map(|(at, readers)| vec![at; *readers]);
        for at in readers {
            let (current, is_over) = (&current, &is_over);
            scope.spawn(move || read_in_loop(current, at, is_over));
        }
        run_partition(&mut fleet, &current)
    });
    let faults: Vec<_> = filings.iter().filter_map(|f| f.find_violation(&fleet.fleet)).collect();
    expect_that!(faults, is_empty());
    let seen = seen.into_inner().unwrap();
    println!("versions seen: {seen:?}");
    let reverted: Vec<_> = seen.iter().filter(|(_, versions)| !versions.is_sorted()).collect();
    expect_that!(reverted, is_empty());
    let peak_in_use: Vec<_> =
        fleet.fleet.backends.iter().map(|(n, b)| (n, b.max_in_use())).collect();
    println!("most slots in use: {peak_in_use:?}");
    expect_that!(peak_in_use.iter().map(|(_, in_use)| *in_use).max(), some(le(SLOTS)));
}
