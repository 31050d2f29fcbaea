//! What backend servers state of themselves in their answers, with real processes.

mod steer_support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use pollenshed_standins::steered::{EndpointFault, Fault, ServerOptions};
use steer_support::{Answer, Caller, Fleet, Instance, request, wait_for};

/// Time after a server has said that it leaves from which on it gets no new request: `drain` of the
/// settings that the tests use.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Sends an idempotent request for one of eight objects.
fn read(instance: &Instance, number: usize, name: &str) -> Option<Answer> {
    let headers = format!("X-Affinity-Key: {}\r\n", number % 8);
    instance.call(&request("GET", "/read/1", &format!("{name}-{number}"), &headers, ""))
}

/// Sends requests one after the other until `end`, and returns their answers.
fn read_until(instance: &Instance, end: Instant, name: &str) -> Vec<Answer> {
    let mut answers = Vec::new();
    while Instant::now() < end {
        answers.extend(read(instance, answers.len(), name));
    }
    answers
}

/// Returns the number of requests that arrived at a server between two points in time.
fn arrivals_between(fleet: &Fleet, server: usize, from: Instant, to: Instant) -> usize {
    fleet.servers[server].arrivals().into_iter().filter(|at| (from..to).contains(at)).count()
}

/// Starts servers, and instances that are a large region if `full_mesh_peers` says so.
fn fleet_with(servers: usize, instances: usize, full_mesh_peers: usize) -> Fleet {
    let options = |number| ServerOptions { name: format!("i-{number}"), ..Default::default() };
    let mut fleet = Fleet::open((0..servers).map(options).collect());
    fleet.full_mesh_peers = full_mesh_peers;
    for _ in 0..instances {
        fleet.start("palermo-a");
    }
    fleet.wait_until_ready();
    fleet
}

/// Sends requests until `server` has said to the instance that it leaves, and returns when.
fn hear_leaving(fleet: &Fleet, instance: usize, server: usize) -> Instant {
    fleet.servers[server].set_fault(Fault::Leaving);
    let before = fleet.servers[server].arrivals().len();
    wait_for("an answer of the server", || {
        (0..8).for_each(|number| {
            read(&fleet.instances[instance], number, "hear");
        });
        (fleet.servers[server].arrivals().len() > before).then(Instant::now)
    })
}

/// Sends requests until `server` has turned one away, and returns the moment after its arrival.
fn hear_rest(fleet: &Fleet, server: usize, rest_ms: u64) -> Instant {
    fleet.servers[server].set_fault(Fault::AsksForRest(rest_ms));
    let before = fleet.servers[server].arrivals().len();
    wait_for("a refusal of the server", || {
        (0..8).for_each(|number| {
            read(&fleet.instances[0], number, "hear");
        });
        fleet.servers[server].arrivals().get(before).map(|at| *at + Duration::from_nanos(1))
    })
}

/// Guards against requests to a server that has said in an answer that it leaves, while the store
/// does not tell, or still lists it as fit.
#[googletest::test]
fn a_server_that_says_that_it_leaves_gets_nothing_after_the_drain_time() {
    for fault in [EndpointFault::Silent, EndpointFault::None] {
        let mut fleet = fleet_with(2, 1, 40);
        fleet.store_endpoint.set_fault(fault);
        let heard_at = hear_leaving(&fleet, 0, 0);
        if fault == EndpointFault::None {
            // The server goes on announcing that it is ready.
            fleet.announce(0, "ready");
        }
        let end = heard_at + DRAIN + Duration::from_millis(1_500);
        let answers = read_until(&fleet.instances[0], end, "after");
        expect_that!(arrivals_between(&fleet, 0, heard_at + DRAIN, end), eq(0), "{fault:?}");
        expect_that!(answers.iter().all(|a| a.status == 200), eq(true), "{fault:?}");
    }
}

/// Guards against a server that is used again because its record was removed and came back.
#[googletest::test]
fn a_server_that_leaves_stays_unused_when_its_record_returns() {
    let mut fleet = fleet_with(2, 1, 40);
    let heard_at = hear_leaving(&fleet, 0, 0);
    fleet.store.remove("servers", "i-0");
    wait_for("the removal", || {
        fleet.instances[0].log().contains("servers: gone; server=i-0").then_some(())
    });
    fleet.announce(0, "ready");
    let end = heard_at + DRAIN + Duration::from_millis(1_500);
    read_until(&fleet.instances[0], end, "after");
    expect_that!(arrivals_between(&fleet, 0, heard_at + DRAIN, end), eq(0));
}

/// Guards against a server that stays unused although it was started again under its name.
#[googletest::test]
fn a_restarted_server_is_used_again_after_its_former_run_left() {
    let mut fleet = fleet_with(2, 1, 40);
    hear_leaving(&fleet, 0, 0);
    fleet.servers[0].set_fault(Fault::None);
    fleet.restart_server(0);
    let used = fleet.servers[0].arrivals().len();
    wait_for("use of the new run", || {
        (0..8).for_each(|number| {
            read(&fleet.instances[0], number, "new");
        });
        (fleet.servers[0].arrivals().len() > used).then_some(())
    });
}

/// Guards against requests that wait or are sent although all servers of the service leave.
#[googletest::test]
fn requests_are_refused_at_once_if_the_last_server_leaves() {
    let fleet = fleet_with(1, 1, 40);
    hear_leaving(&fleet, 0, 0);
    let arrived = fleet.servers[0].arrivals().len();
    let start = Instant::now();
    let answer = read(&fleet.instances[0], 0, "refused").unwrap();
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
    expect_that!(start.elapsed().as_millis(), lt(500));
    expect_that!(fleet.servers[0].arrivals().len(), eq(arrived));
}

/// Guards against a large region in which the instance that assigns the requests of an object has
/// not heard that a server leaves.
#[googletest::test]
fn no_instance_of_a_large_region_uses_a_server_that_it_has_heard_to_leave() {
    let fleet = fleet_with(3, 4, 1);
    fleet.store_endpoint.set_fault(EndpointFault::Silent);
    let heard_at = hear_leaving(&fleet, 0, 0);
    let end = heard_at + DRAIN + Duration::from_millis(1_500);
    read_until(&fleet.instances[0], end, "after");
    expect_that!(arrivals_between(&fleet, 0, heard_at + DRAIN, end), eq(0));
}

/// Guards against requests to a server that has turned one away and asked to be left alone.
#[googletest::test]
fn a_server_that_asks_for_rest_gets_two_requests_at_most_until_it_ends() {
    for (instances, full_mesh_peers, rest_ms) in [(1, 40, 300), (1, 40, 3_000), (4, 1, 3_000)] {
        let fleet = fleet_with(3, instances, full_mesh_peers);
        let heard_at = hear_rest(&fleet, 0, rest_ms);
        fleet.servers[0].set_fault(Fault::None);
        let end = heard_at + Duration::from_millis(rest_ms);
        let answers = read_until(&fleet.instances[0], end, "rest");
        let case = format!("{instances} instances, {rest_ms} ms");
        expect_that!(arrivals_between(&fleet, 0, heard_at, end), le(2), "{case}");
        expect_that!(answers.iter().all(|a| a.status == 200), eq(true), "{case}");
        wait_for("the return to the server", || {
            read_until(&fleet.instances[0], Instant::now() + Duration::from_millis(100), "back");
            let now = Instant::now();
            (arrivals_between(&fleet, 0, end, now) > 0).then_some(())
        });
    }
}

/// Guards against a shorter rest that replaces a longer one: it is stated to a request that was on
/// its way already.
#[googletest::test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let fleet = fleet_with(1, 1, 40);
    let server = &fleet.servers[0];
    server.set_fault(Fault::AsksForRest(100));
    server.delay_rests(Duration::from_millis(300));
    let mut late = Caller::connect(fleet.instances[0].callers());
    late.send(&request("GET", "/read/1", "late", "", ""));
    wait_for("the first request", || (server.arrivals().len() == 1).then_some(()));
    server.set_fault(Fault::AsksForRest(3_000));
    server.delay_rests(Duration::ZERO);
    let heard_at = hear_rest(&fleet, 0, 3_000);
    expect_that!(late.read().map(|a| a.status), some(eq(503)));
    server.set_fault(Fault::None);
    let end = heard_at + Duration::from_millis(2_800);
    read_until(&fleet.instances[0], end, "rest");
    expect_that!(arrivals_between(&fleet, 0, heard_at, end), le(2));
}

/// Guards against callers that wait although all servers of the service want a rest, and against
/// callers that are told to come back sooner.
#[googletest::test]
fn requests_are_refused_until_the_first_server_ends_its_rest() {
    let fleet = fleet_with(2, 1, 40);
    for server in 0..2 {
        fleet.servers[server].set_fault(Fault::AsksForRest(20_000));
    }
    wait_for("the refusals", || {
        (0..8).for_each(|number| {
            read(&fleet.instances[0], number, "hear");
        });
        let has_heard = |server: usize| !fleet.servers[server].arrivals().is_empty();
        (has_heard(0) && has_heard(1)).then_some(())
    });
    let start = Instant::now();
    let answers: Vec<Answer> =
        (0..8).filter_map(|number| read(&fleet.instances[0], number, "refused")).collect();
    expect_that!(start.elapsed().as_millis(), lt(2_000));
    let statuses: Vec<u16> = answers.iter().map(|a| a.status).collect();
    expect_that!(statuses, each(eq(&503)));
    let seconds: Vec<f64> =
        answers.iter().filter_map(|a| a.header("retry-after")?.parse().ok()).collect();
    expect_that!(seconds.len(), eq(8));
    expect_that!(seconds, each(all!(ge(&15.0), le(&30.0))));
    let distinct: std::collections::BTreeSet<u64> =
        seconds.iter().map(|s| (s * 1_000.0) as u64).collect();
    expect_that!(distinct.len(), ge(4), "{seconds:?}");
}

/// Guards against a stated pace that the instance which chooses the servers doesn't hear, in a small
/// region from its own answers and in a large one from the reports of others.
#[googletest::test]
fn what_a_server_states_of_its_machine_is_heard() {
    for full_mesh_peers in [40, 1] {
        let mut fleet = Fleet::open(vec![ServerOptions::default()]);
        fleet.full_mesh_peers = full_mesh_peers;
        fleet.servers[0].state_run_time(250);
        for _ in 0..3 {
            fleet.start("palermo-a");
        }
        fleet.wait_until_ready();
        let knows_slow = |i: &Instance| i.metrics().contains("servers{state=\"slow\"} 1");
        let mut number = 0;
        wait_for("the statement", || {
            number += 1;
            let answer = fleet.instances[0].get("/read/1", &format!("p-{number}"))?;
            assert_eq!(answer.header("x-server-load"), None);
            knows_slow(&fleet.instances[0]).then_some(())
        });
        // The instance that assigns the object is another one for some objects.
        let hears_from_others = wait_for("the report", || {
            number += 1;
            let header = format!("X-Affinity-Key: {number}\r\n");
            let id = format!("q-{number}");
            fleet.instances[0].call(&request("GET", "/read/1", &id, &header, ""))?;
            let others = fleet.instances[1..].iter().any(knows_slow);
            (others || full_mesh_peers > 1).then_some(others)
        });
        expect_that!(hears_from_others, eq(full_mesh_peers == 1));
    }
}
