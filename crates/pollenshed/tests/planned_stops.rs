//! Planned stops of entries and backend servers abort no request.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_standins::backend::{Report, ReportMode};
use support::{
    callers::{Reply, post},
    faults::{ProxiedFleet, SLOTS, THREE_ENTRIES, signal, sleep_for},
    load::Load,
    wait_for,
};

/// Number of callers. Each sends its requests one after the other.
const CALLERS: u8 = 6;

/// Time that a backend server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Time within which all instances know that a backend server is leaving and send it no new work.
const LEAVING_KNOWN: Duration = Duration::from_secs(3);

/// Requests that are served after [`LEAVING_KNOWN`], of which the leaving backend server must get
/// none.
const WATCHED_REQUESTS: u64 = 200;

fn caller_addresses(fleet: &ProxiedFleet) -> Vec<std::net::SocketAddr> {
    fleet.fleet.daemons.iter().map(|d| d.caller_endpoint).collect()
}

/// Runs `action` under load and checks that no request was aborted: no connection breaks and no
/// outcome is unknown. A refusal is allowed, because the caller then sends the request again.
fn run_under_load(fleet: &mut ProxiedFleet, action: impl FnOnce(&mut ProxiedFleet, &Load)) -> Load {
    let load = Load::new(caller_addresses(fleet));
    thread::scope(|scope| {
        for client in 1..=CALLERS {
            let load = &load;
            scope.spawn(move || load.run_caller(client));
        }
        let stop_guard = StopOnDrop(&load);
        wait_for("load", || (load.done() > 50).then_some(()));
        action(fleet, &load);
        let before = load.done();
        wait_for("load after the stop", || (load.done() > before + 50).then_some(()));
        drop(stop_guard);
    });
    let refused = load.refused();
    println!("{} served, {} refused", load.done(), refused.len());
    expect_that!(load.wrong(), is_empty());
    load
}

/// Stops the load when it is dropped, also after a panic; otherwise the callers' threads never end.
struct StopOnDrop<'a>(&'a Load);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop();
    }
}

/// Calls `announce`, which makes known that the first backend server is leaving, and checks that the
/// server gets no new work after [`LEAVING_KNOWN`].
fn check_leaving(announce: impl FnOnce(&ProxiedFleet, &str)) {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    let name = fleet.fleet.backends[0].0.clone();
    run_under_load(&mut fleet, |fleet, load| {
        wait_for("work at the backend server", || {
            (!fleet.fleet.backends[0].1.runs().is_empty()).then_some(())
        });
        announce(fleet, &name);
        sleep_for(LEAVING_KNOWN);
        let before = fleet.fleet.backends[0].1.runs().len();
        let served = load.done();
        wait_for("more load", || (load.done() > served + WATCHED_REQUESTS).then_some(()));
        let after = fleet.fleet.backends[0].1.runs().len();
        expect_that!(after, eq(before), "new work at a leaving backend server");
    });
}

fn report(draining: bool) -> ReportMode {
    ReportMode::Fixed(Report { in_use: 0, slots: SLOTS, draining })
}

/// Guards against new work for a backend server that the platform's list names as leaving.
#[gtest]
fn backend_server_listed_as_leaving_gets_no_new_work() {
    check_leaving(|fleet, name| fleet.list_with_leaving(&[name.to_owned()]));
}

/// Guards against new work for a backend server whose health endpoint reports that it drains.
#[gtest]
fn backend_server_draining_by_its_health_report_gets_no_new_work() {
    check_leaving(|fleet, _| fleet.fleet.backends[0].1.set_report_mode(report(true)));
}

/// Guards against new work for a backend server whose responses state that it drains, while its
/// health endpoint reports that it does not.
#[gtest]
fn backend_server_draining_by_its_responses_gets_no_new_work() {
    check_leaving(|fleet, _| {
        fleet.fleet.backends[0].1.set_report_mode(report(false));
        fleet.fleet.backends[0].1.set_draining(true);
    });
}

/// Guards against a planned stop that aborts requests, loses outcomes, or refuses connections of
/// callers that cached the entry's address.
#[gtest]
fn entry_stops_under_load() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    let name = fleet.locations[0].0;
    let load = run_under_load(&mut fleet, |fleet, load| {
        load.set_entries(caller_addresses(fleet)[1..].to_vec());
        stop_entry(fleet, 0);
    });
    let entry = fleet.fleet.daemons[0].caller_endpoint;
    let prefix = format!("{name}.");
    let own_filings: Vec<_> =
        load.filings().into_iter().filter(|(ticket, ..)| ticket.starts_with(&prefix)).collect();
    expect_that!(own_filings, not(is_empty()));
    for (ticket, body, answer) in own_filings {
        let reply = post(entry, &ticket, &body, 2_000);
        expect_that!(reply, eq(&Reply::Done(answer)), "{ticket} sent again after the stop");
        expect_that!(fleet.fleet.runs_of(body.as_bytes()), eq(1));
    }
}

/// Stops an entry as planned and prints how long it took.
fn stop_entry(fleet: &mut ProxiedFleet, at: usize) {
    let name = fleet.locations[at].0;
    let began = Instant::now();
    signal(&fleet.fleet.daemons[at], "-TERM");
    expect_that!(fleet.fleet.daemons[at].wait_for_end(), eq(true));
    println!("{name} drained in {} ms", began.elapsed().as_millis());
    fleet.remove(at);
}

/// Guards against requests that are aborted while all entries are replaced one after the other.
#[gtest]
fn all_entries_are_replaced_under_load() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    run_under_load(&mut fleet, |fleet, load| {
        for location in
            [("north-a-3", "north-a"), ("north-a-4", "north-a"), ("north-b-2", "north-b")]
        {
            fleet.add(location);
            fleet.list();
            fleet.wait_until_ready();
            load.set_entries(caller_addresses(fleet)[1..].to_vec());
            stop_entry(fleet, 0);
        }
    });
}

/// Guards against requests that are aborted while all backend servers are replaced one after the
/// other.
#[gtest]
fn all_backend_servers_are_replaced_under_load() {
    let mut fleet = ProxiedFleet::start(&THREE_ENTRIES, SERVICE_TIME);
    run_under_load(&mut fleet, |fleet, _| {
        for at in 0..fleet.fleet.backends.len() {
            replace_backend(fleet, at);
        }
    });
}

/// Drains a backend server, ends it when none of its slots is in use, and restarts it.
fn replace_backend(fleet: &mut ProxiedFleet, at: usize) {
    let began = Instant::now();
    let name = fleet.fleet.backends[at].0.clone();
    fleet.fleet.backends[at].1.set_draining(true);
    wait_for_state(fleet, &name, "draining");
    wait_for("an idle backend server", || {
        // The stand-in frees a slot when it sends the response, the owner when the response has
        // arrived.
        let in_use = fleet.fleet.backends[at].1.in_use() + in_use_by_owners(fleet, &name);
        (in_use == 0).then_some(())
    });
    println!("{name} drained in {} ms", began.elapsed().as_millis());
    fleet.fleet.backends[at].1.crash();
    wait_for_state(fleet, &name, "down");
    fleet.fleet.backends[at].1.set_draining(false);
    fleet.fleet.backends[at].1.restart().unwrap();
    wait_for("the new backend server to be in use", || {
        let states = states_of(fleet, &name);
        states.iter().any(|state| state == "ok" || state == "cold").then_some(())
    });
}

fn wait_for_state(fleet: &ProxiedFleet, name: &str, state: &str) {
    wait_for(state, || states_of(fleet, name).iter().any(|s| s == state).then_some(()));
}

/// Returns the slots of a backend server that its owners count as in use.
fn in_use_by_owners(fleet: &ProxiedFleet, name: &str) -> u64 {
    let statuses = fleet.fleet.daemons.iter().filter_map(support::Daemon::status);
    let servers = statuses.flat_map(|status| status.owned_backend_servers);
    servers.filter(|s| s.name == name).map(|s| s.in_use).sum()
}

fn states_of(fleet: &ProxiedFleet, name: &str) -> Vec<String> {
    let statuses = fleet.fleet.daemons.iter().filter_map(support::Daemon::status);
    let servers = statuses.flat_map(|status| status.owned_backend_servers);
    servers.filter(|s| s.name == name).map(|s| s.state).collect()
}
