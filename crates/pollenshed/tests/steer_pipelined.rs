//! Requests that callers send before the earlier ones of their connection are answered, with real
//! processes.

mod steer_support;

use std::time::Duration;

use googletest::prelude::*;
use pollenshed_standins::steered::{Run, ServerOptions};
use steer_support::*;

/// Time that each request runs.
const RUN: Duration = Duration::from_millis(600);

/// Starts two servers whose requests last [`RUN`], and one instance.
fn fleet() -> Fleet {
    let options = |number| ServerOptions {
        name: format!("i-{number}"),
        uncached_run: RUN,
        cached_run: RUN,
        ..Default::default()
    };
    let mut fleet = Fleet::open((0..2).map(options).collect());
    fleet.start("palermo-a");
    fleet.wait_until_ready();
    fleet
}

fn read(number: u32, body: &str) -> String {
    let headers = format!("X-Affinity-Key: {}\r\n", number % 2);
    request("GET", &format!("/read/{number}"), &format!("r{number}"), &headers, body)
}

fn runs(fleet: &Fleet) -> Vec<Run> {
    fleet.servers.iter().flat_map(|server| server.runs()).collect()
}

/// Expects the response to the request with this number.
fn expect_answer(answer: Option<&Answer>, path: &str, id: &str) {
    let got = answer.map(|a| (a.status, a.body.as_str(), a.header("x-request-id")));
    let body = format!("{path} from tables");
    expect_that!(got, some(eq((200, body.as_str(), Some(id)))));
}

/// Guards against answers that are swapped or lost when a server resets its connections while it
/// runs pipelined requests.
#[googletest::test]
fn a_reset_keeps_answers_in_order() {
    let fleet = fleet();
    let first = read(0, "");
    let home = fleet.instances[0]
        .call(&first)
        .and_then(|_| fleet.servers.iter().position(|server| !server.runs().is_empty()));
    fleet.servers[home.unwrap()].crash_on("crash");
    let mut caller = Caller::connect(fleet.instances[0].callers());
    let headers = "X-Affinity-Key: 0\r\n";
    let send = |number: u32, body: &str| {
        request("GET", &format!("/read/{number}"), &format!("r{number}"), headers, body)
    };
    caller.send(&[send(1, ""), send(2, "crash"), send(3, ""), send(4, "")].concat());
    for number in 1..=4 {
        let answer = caller.read();
        expect_answer(answer.as_ref(), &format!("/read/{number}"), &format!("r{number}"));
    }
    expect_that!(fleet.servers[home.unwrap()].has_crashed(), eq(true));
}

/// Guards against pipelined requests that wait for the first one, or a request that may run once
/// only and starts before those ahead of it are answered.
#[googletest::test]
fn pipelined_requests_run_side_by_side() {
    let fleet = fleet();
    let mut caller = Caller::connect(fleet.instances[0].callers());
    let order = request("POST", "/file/9", "o9", "X-Affinity-Key: 1\r\n", "order");
    caller.send(&[read(1, ""), read(2, ""), read(3, ""), order, read(4, "")].concat());
    wait_for("three runs", || (runs(&fleet).len() == 3).then_some(()));
    expect_that!(runs(&fleet).iter().any(|run| run.finished), eq(false));
    for number in 1..=3 {
        let answer = caller.read();
        expect_answer(answer.as_ref(), &format!("/read/{number}"), &format!("r{number}"));
    }
    wait_for("the order", || (runs(&fleet).len() == 4).then_some(()));
    expect_that!(runs(&fleet).iter().filter(|run| run.finished).count(), eq(3));
    expect_answer(caller.read().as_ref(), "/file/9", "o9");
    expect_answer(caller.read().as_ref(), "/read/4", "r4");
    let metrics = fleet.instances[0].metrics();
    let started = "pollenshed_pipelined_requests_total{event=\"started\"} 2";
    expect_that!(metrics, contains_substring(started));
}

/// Guards against a planned stop that cuts pipelined requests which were passed on.
#[googletest::test]
fn a_planned_stop_answers_pipelined_requests() {
    let mut fleet = fleet();
    let mut caller = Caller::connect(fleet.instances[0].callers());
    caller.send(&[read(1, ""), read(2, ""), read(3, ""), read(4, "")].concat());
    wait_for("the runs", || (runs(&fleet).len() == 4).then_some(()));
    fleet.instances[0].signal("TERM");
    wait_for("the stop", || (fleet.instances[0].ready() != Some(200)).then_some(()));
    caller.send(&read(5, ""));
    for number in 1..=4 {
        let answer = caller.read();
        expect_answer(answer.as_ref(), &format!("/read/{number}"), &format!("r{number}"));
        let closes = answer.and_then(|a| a.header("connection").map(str::to_owned));
        expect_that!(closes, eq(&(number == 4).then(|| "close".to_owned())));
    }
    expect_that!(caller.read(), none());
    expect_that!(wait_for("the end", || fleet.instances[0].ended()), eq(true));
    expect_that!(runs(&fleet).len(), eq(4));
}

/// Guards against servers that go on with pipelined requests whose caller has left.
#[googletest::test]
fn a_caller_that_leaves_cancels_its_requests() {
    let fleet = fleet();
    let mut caller = Caller::connect(fleet.instances[0].callers());
    caller.send(&[read(1, ""), read(2, ""), read(3, "")].concat());
    wait_for("the runs", || (runs(&fleet).len() == 3).then_some(()));
    drop(caller);
    wait_for("the end", || fleet.servers.iter().all(|server| server.running() == 0).then_some(()));
    expect_that!(runs(&fleet).iter().any(|run| run.finished), eq(false));
    let cancelled = "pollenshed_pipelined_requests_total{event=\"cancelled\"} 2";
    expect_that!(fleet.instances[0].metrics(), contains_substring(cancelled));
}
