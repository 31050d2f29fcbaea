//! Overload, failures, drains and wrong load reports, with separate processes.

mod support;

use std::{fs, time::Duration};

use googletest::prelude::*;
use pollenshed_standins::backend::{Behaviour, Report, ReportMode};
use serde_json::json;
use support::{
    DOMAINS, Daemon, Fleet,
    closed_loop::{Load, Work},
    deployment, domain_of, wait_for,
};

/// Declared slots of each backend server.
const SLOTS: u64 = 3;
/// Additional slots of the simulated servers, so that excess requests are counted and not shed.
const SPARE_SLOTS: u64 = 16;
/// Interval of the shift policy. Each gossip round moves a ramp by one step, so a shorter interval
/// would not be faster.
const INTERVAL_MS: u64 = 5_000;
/// Cap of the shift policy.
const CAP_PERCENT: u64 = 80;
/// Number of completed requests of a rank that a test waits for.
const MIN_COMPLETED: u64 = 150;

/// Reads of the most urgent rank. They use 8 of 24 slots; half are declared for the rank.
const READS: Work = Work { method: "GET", path: "/reads", deadline_ms: 2_000, callers: 8 };
/// Reads that leave enough headroom at the neighbours of a lost failure domain for its callers. An
/// entry may use only its share of the headroom that they advertise to all.
const LIGHT_READS: Work = Work { callers: 3, ..READS };
/// Filings. They use 4 of 24 slots; 30 % are declared for the rank.
const FILINGS: Work = Work { method: "POST", path: "/filings", deadline_ms: 4_000, callers: 4 };
/// Deferrable reports. They use 2 of 24 slots; 10 % are declared for the rank.
const REPORTS: Work = Work { method: "GET", path: "/reports", deadline_ms: 8_000, callers: 2 };

/// Starts four failure domains with one service that has operations of all ranks.
fn start() -> Fleet {
    let service_time = Duration::from_millis(50);
    let behaviour = Behaviour { name: String::new(), slots: SLOTS, service_time };
    let mut fleet = Fleet::start(&DOMAINS, &behaviour);
    for (_, backend) in &fleet.backends {
        backend.set_slots(SLOTS + SPARE_SLOTS);
    }
    let mut config = fleet.config.clone();
    config["services"][0]["operations"] = json!([
        {"methods": ["GET"], "path_prefix": "/reports", "rank": "deferrable", "idempotent": true},
        {"methods": ["GET"], "path_prefix": "/", "rank": "urgent", "idempotent": true},
        {"methods": ["POST"], "path_prefix": "/", "rank": "standard", "idempotent": false},
    ]);
    config["services"][0]["shift"] = json!({
        "cap_percent": CAP_PERCENT,
        "cold_cap_percent": CAP_PERCENT,
        "interval_ms": INTERVAL_MS,
    });
    fleet.submit(&config);
    fleet.wait_until_in_force(2);
    deployment::wait_until_warm(&fleet);
    fleet
}

fn all(fleet: &Fleet) -> Vec<&Daemon> {
    fleet.daemons.iter().collect()
}

fn all_but<'a>(fleet: &'a Fleet, instance: &str) -> Vec<&'a Daemon> {
    fleet.daemons.iter().filter(|d| d.name != instance).collect()
}

fn expect_slots_kept(fleet: &Fleet) {
    for (name, backend) in &fleet.backends {
        expect_that!(backend.max_in_use(), le(SLOTS), "slots in use at {name}");
    }
}

fn log_of(fleet: &Fleet, instance: &str) -> String {
    fs::read_to_string(fleet.workdir.path.join(format!("{instance}.log"))).unwrap()
}

fn expect_cap_kept(fleet: &Fleet) {
    for daemon in &fleet.daemons {
        let moved =
            deployment::largest_shift_ppm(&log_of(fleet, &daemon.name), "ledger", INTERVAL_MS);
        expect_that!(moved, le(CAP_PERCENT * 10_000), "shift of {} in an interval", daemon.name);
    }
}

/// Expects that at least 95 % of the requests were completed.
fn expect_served(mut load: Load, what: &str) {
    let (sent, done) = load.finish();
    let reasons = load.reasons();
    expect_that!(done * 100, ge(sent * 95), "{what}: {done} of {sent} done, others {reasons}");
}

/// Overloads the service with the work `flood` and expects that the other two kinds of work are
/// completed.
fn flood(flood: Work, others: [Work; 2]) {
    let fleet = start();
    let daemons = all(&fleet);
    // Ten times as many requests as slots, with a deadline that queued requests of the flood miss.
    let mut flood = Load::start(&daemons, &Work { callers: 240, deadline_ms: 500, ..flood });
    flood.wait_until_done(MIN_COMPLETED);
    let others = others.map(|work| (Load::start(&daemons, &work), work.path));
    for (load, _) in &others {
        load.wait_until_done(MIN_COMPLETED);
    }
    for (load, path) in others {
        expect_served(load, path);
    }
    flood.finish();
    expect_slots_kept(&fleet);
}

/// Guards against deferrable work that takes slots reserved for other ranks.
#[gtest]
fn flood_of_the_least_urgent_work_keeps_other_shares() {
    flood(REPORTS, [READS, FILINGS]);
}

/// Guards against urgent work that leaves other ranks less than their declared shares.
#[gtest]
fn flood_of_the_most_urgent_work_keeps_other_shares() {
    flood(READS, [FILINGS, REPORTS]);
}

/// Waits until 20 consecutive reads through an entry were served by `domain`.
fn wait_until_served_by(fleet: &Fleet, entry: &str, domain: impl Fn(&str) -> bool) {
    let daemon = fleet.daemons.iter().find(|d| d.name == entry).unwrap();
    let mut in_a_row = 0;
    wait_for("reads to be served by another failure domain", || {
        let server = deployment::read_from(daemon, "ledger", "/reads");
        let is_right = server
            .as_deref()
            .and_then(|s| deployment::server_domain(&fleet.config, s))
            .is_some_and(&domain);
        in_a_row = if is_right { in_a_row + 1 } else { 0 };
        (in_a_row >= 20).then_some(())
    });
}

fn crash_servers(fleet: &mut Fleet, region_or_domain: &str) {
    for (name, backend) in &mut fleet.backends {
        if name.contains(region_or_domain) {
            backend.crash();
        }
    }
}

fn restart_servers(fleet: &mut Fleet) {
    for (_, backend) in fleet.backends.iter_mut().filter(|(_, b)| !b.is_up()) {
        backend.restart().unwrap();
    }
}

/// Guards against a jump of traffic when a failure domain loses its backend servers or gets them
/// back, and against overload of its neighbour.
#[gtest]
fn lost_failure_domain_is_served_elsewhere_under_the_cap() {
    let mut fleet = start();
    let mut load = Load::start(&all_but(&fleet, "north-a-1"), &READS);
    load.wait_until_done(MIN_COMPLETED);
    crash_servers(&mut fleet, "north-a");
    wait_until_served_by(&fleet, "north-a-1", |domain| domain != "north-a");
    restart_servers(&mut fleet);
    wait_until_served_by(&fleet, "north-a-1", |domain| domain == "north-a");
    load.finish();
    expect_cap_kept(&fleet);
    expect_slots_kept(&fleet);
}

/// Guards against a quarantine of a popular read after two backend servers that executed it were
/// lost together with their failure domain.
#[gtest]
fn lost_failure_domain_does_not_quarantine_popular_reads() {
    let mut fleet = start();
    let mut load = Load::start(&all(&fleet), &Work { callers: 16, ..READS });
    load.wait_until_done(MIN_COMPLETED);
    crash_servers(&mut fleet, "north-a");
    let goal = load.counts().0 + MIN_COMPLETED;
    wait_for("more requests to be sent", || (load.counts().0 >= goal).then_some(()));
    load.finish();
    expect_that!(load.reasons(), not(contains_substring("quarantined")));
}

/// Guards against overload of the other region and a jump of traffic when a whole region is lost
/// and comes back.
#[gtest]
fn lost_region_is_served_elsewhere_under_the_cap() {
    let mut fleet = start();
    let southern: Vec<&Daemon> =
        fleet.daemons.iter().filter(|d| d.name.starts_with("south")).collect();
    let load = Load::start(&southern, &READS);
    crash_servers(&mut fleet, "north");
    let lost = fleet.daemons.iter_mut().find(|d| d.name == "north-b-1").unwrap();
    lost.kill();
    wait_until_served_by(&fleet, "north-a-1", |domain| domain.starts_with("south"));
    load.wait_until_done(MIN_COMPLETED);
    restart_servers(&mut fleet);
    restart_instance(&mut fleet, "north-b-1");
    wait_until_served_by(&fleet, "north-a-1", |domain| domain.starts_with("north"));
    wait_until_served_by(&fleet, "north-b-1", |domain| domain.starts_with("north"));
    expect_served(load, "reads of the other region");
    expect_cap_kept(&fleet);
    expect_slots_kept(&fleet);
}

/// Restarts an instance on other ports and updates the platform's list of instances.
fn restart_instance(fleet: &mut Fleet, instance: &str) {
    let settings = fleet.settings(instance, domain_of(instance));
    let daemon = fleet.daemons.iter_mut().find(|d| d.name == instance).unwrap();
    daemon.kill();
    *daemon = Daemon::spawn(&fleet.workdir, &settings);
    fleet.list_instances();
}

fn submit_drains(fleet: &mut Fleet, drains: serde_json::Value, version: u64) {
    let mut config = fleet.config.clone();
    config["drains"] = drains;
    fleet.submit(&config);
    fleet.wait_until_in_force(version);
}

/// Waits until an entry has moved some of its traffic to another failure domain.
fn wait_for_shift(fleet: &Fleet, instance: &str, to: &str) {
    wait_for("a step of the shift", || {
        let log = log_of(fleet, instance);
        log.lines().any(|l| deployment::is_step_to(l, "ledger", to)).then_some(())
    });
}

/// Guards against a shift above the cap when an operator cancels a drain before it has ended.
#[gtest]
fn reversed_drain_keeps_the_cap() {
    let mut fleet = start();
    let load = Load::start(&all_but(&fleet, "north-a-1"), &LIGHT_READS);
    submit_drains(&mut fleet, json!([{"failure_domain": "north-a"}]), 3);
    wait_for_shift(&fleet, "north-a-1", "north-b");
    submit_drains(&mut fleet, json!([]), 4);
    wait_until_served_by(&fleet, "north-a-1", |domain| domain == "north-a");
    submit_drains(&mut fleet, json!([{"failure_domain": "north-a"}]), 5);
    wait_until_served_by(&fleet, "north-a-1", |domain| domain == "north-b");
    expect_served(load, "reads during the drain");
    expect_cap_kept(&fleet);
    expect_slots_kept(&fleet);
}

/// Expects that wrong reports neither raise a limit above the declared slots nor stop work.
///
/// An owner that sees reports of requests that it did not send holds back for two seconds, because
/// a second owner may have sent them. So the check begins with the first completed requests.
fn expect_limits_with_wrong_reports(report_mode: ReportMode) {
    let fleet = start();
    for (_, backend) in &fleet.backends {
        backend.set_report_mode(report_mode);
    }
    let work = Work { callers: 20, ..READS };
    let load = Load::start(&all(&fleet), &work);
    let mut last = load.counts();
    wait_for("95 % of the reads to be done beside wrong reports", || {
        let (sent, done) = load.counts();
        if sent - last.0 < MIN_COMPLETED {
            return None;
        }
        let is_served = (done - last.1) * 100 >= (sent - last.0) * 95;
        last = (sent, done);
        is_served.then_some(())
    });
    load.wait_until_done(MIN_COMPLETED);
    expect_slots_kept(&fleet);
}

/// Guards against load reports that are half a minute old and are still used.
#[gtest]
fn late_load_reports_change_no_limit() {
    expect_limits_with_wrong_reports(ReportMode::Lagging(Duration::from_secs(30)));
}

/// Guards against load reports that never change and are still used.
#[gtest]
fn frozen_load_reports_change_no_limit() {
    expect_limits_with_wrong_reports(ReportMode::Frozen);
}

/// Guards against reports of more slots than declared that raise the limit.
#[gtest]
fn load_reports_of_too_many_slots_change_no_limit() {
    expect_limits_with_wrong_reports(ReportMode::Fixed(Report {
        in_use: 0,
        slots: 1_000,
        draining: false,
    }));
}

/// Guards against reports of only used slots that stop all work.
#[gtest]
fn load_reports_of_no_free_slot_change_no_limit() {
    expect_limits_with_wrong_reports(ReportMode::Fixed(Report {
        in_use: 50,
        slots: SLOTS,
        draining: false,
    }));
}
