//! Tests of the backend server stand-in, on whose faults the tests of instances rely.

mod support;

use std::{thread, time::Duration};

use googletest::prelude::*;
use pollenshed_standins::backend::{Backend, Behaviour, ColdStart, Report, ReportMode};
use support::{call, wait_for};

fn backend(service_time_ms: u64) -> Backend {
    let behaviour = Behaviour {
        name: "server".to_owned(),
        slots: 1,
        service_time: Duration::from_millis(service_time_ms),
    };
    Backend::bind("127.0.0.1:0".parse().unwrap(), behaviour).unwrap()
}

/// Guards against a stand-in that runs more than its slots or whose cancel call has no effect.
#[gtest]
fn second_request_is_shed_and_first_is_cancelled() {
    let server = backend(60_000);
    let address = server.address();
    let id = "pollenshed-request-id: a/1#0\r\n";
    let first = thread::spawn(move || call(address, "POST /x", id, "body"));
    wait_for("the first run", || (server.in_use() == 1).then_some(()));
    let shed = call(address, "POST /x", "", "other").unwrap();
    expect_that!(shed, contains_substring("pollenshed-shed: 1"));
    let cancelled = call(address, "POST /cancel/a_1_0", "", "").unwrap();
    expect_that!(cancelled, starts_with("HTTP/1.1 200"));
    expect_that!(server.in_use(), eq(0), "the answer tells that the slot is free");
    expect_that!(first.join().unwrap().unwrap(), contains_substring("cancelled"));
    expect_that!(server.counts().cancelled, eq(1));
    expect_that!(server.runs().len(), eq(1));
    expect_that!(server.max_in_use(), eq(1));
}

/// Guards against a request that runs on after its deadline, or that starts although its deadline
/// has passed on arrival.
#[gtest]
fn work_stops_at_its_deadline() {
    let server = backend(60_000);
    let late = call(server.address(), "GET /x", "pollenshed-deadline-ms: 20\r\n", "").unwrap();
    expect_that!(late, starts_with("HTTP/1.1 504"));
    let expired = call(server.address(), "GET /x", "pollenshed-deadline-ms: 0\r\n", "").unwrap();
    expect_that!(expired, contains_substring("pollenshed-shed: 1"));
    expect_that!(server.runs().len(), eq(1));
}

/// Guards against a crash that leaves connections or the port open, or a port that stays closed.
#[gtest]
fn marked_request_crashes_and_restart_serves_on_the_same_port() {
    let mut server = backend(1);
    server.set_faults(|faults| faults.crash_marker = Some(b"poison".to_vec()));
    let answer = call(server.address(), "POST /x", "", "some poison here");
    expect_that!(answer, some(eq("")));
    expect_that!(server.is_up(), eq(false));
    wait_for("the closed port", || {
        call(server.address(), "GET /x", "", "").is_none().then_some(())
    });
    server.restart().unwrap();
    let answer = call(server.address(), "POST /x", "", "harmless").unwrap();
    expect_that!(answer, contains_substring("server ran POST /x with 8 bytes"));
    expect_that!(server.runs().len(), eq(2));
    expect_that!(server.counts().crashes, eq(1));
}

/// Guards against reports that give the actual state although the test has fixed or frozen them.
#[gtest]
fn reports_can_be_fixed_and_frozen() {
    let server = backend(1);
    let load = || call(server.address(), "GET /load", "", "").unwrap();
    server.set_report_mode(ReportMode::Fixed(Report { in_use: 7, slots: 9, draining: true }));
    expect_that!(load(), contains_substring(r#"{"in_use":7,"slots":9}"#));
    let health = call(server.address(), "GET /health", "", "").unwrap();
    expect_that!(health, contains_substring("draining"));
    server.set_report_mode(ReportMode::Frozen);
    server.set_slots(5);
    expect_that!(load(), contains_substring(r#""slots":1"#));
    server.set_report_mode(ReportMode::Live);
    expect_that!(load(), contains_substring(r#""slots":5"#));
    server.set_report_mode(ReportMode::Failing);
    expect_that!(load(), starts_with("HTTP/1.1 500"));
}

/// Guards against stand-ins started together that share a port, a name or their records.
#[gtest]
fn stand_ins_started_together_are_separate() {
    let behaviour = Behaviour { name: "tavole".to_owned(), slots: 3, service_time: Duration::ZERO };
    let servers = Backend::bind_many(12, &behaviour).unwrap();
    let answer = call(servers[11].address(), "GET /x", "", "").unwrap();
    expect_that!(answer, contains_substring("tavole-12 ran GET /x"));
    let runs: Vec<_> = servers.iter().map(|s| s.runs().len()).collect();
    expect_that!(runs.iter().sum::<usize>(), eq(1));
}

/// Guards against a cut answer that looks complete, and a drain that answers do not announce.
#[gtest]
fn cut_answer_is_shorter_than_announced() {
    let server = backend(1);
    server.set_draining(true);
    server.set_faults(|faults| faults.cut_answers_after_bytes = Some(3));
    let answer = call(server.address(), "GET /x", "", "").unwrap();
    expect_that!(answer, ends_with("\r\n\r\nser"));
    expect_that!(answer, contains_substring("pollenshed-draining: 1"));
    expect_that!(server.received_while_draining().len(), eq(1));
}

/// Guards against a cold start that does not end, and a connection limit that is not enforced.
#[gtest]
fn cold_start_ends_and_connections_are_limited() {
    let server = backend(0);
    let cold = ColdStart { extra: Duration::from_millis(200), requests: 2 };
    server.start_cold(cold);
    let timed = || {
        let start = std::time::Instant::now();
        call(server.address(), "GET /x", "", "").unwrap();
        start.elapsed()
    };
    expect_that!(timed(), ge(Duration::from_millis(200)));
    expect_that!(timed(), ge(Duration::from_millis(100)));
    expect_that!(timed(), lt(Duration::from_millis(100)));
    server.set_faults(|faults| faults.max_connections = Some(0));
    expect_that!(call(server.address(), "GET /x", "", "").unwrap_or_default(), eq(""));
    expect_that!(server.counts().refused_connections, eq(1));
}
