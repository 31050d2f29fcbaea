//! Requests from callers through an instance to backend servers, with real processes and without
//! faults.

mod steer_support;

use googletest::prelude::*;
use pollenshed_standins::steered::{Server, ServerOptions};
use steer_support::*;

fn describe(answer: Option<Answer>) -> String {
    let Some(answer) = answer else { return "connection closed".to_owned() };
    let mut line = format!("{}", answer.status);
    for name in ["x-request-id", "x-response-stamp", "x-server-load", "connection"] {
        if let Some(value) = answer.header(name) {
            line.push_str(&format!(" {name}={value}"));
        }
    }
    if answer.header("retry-after").is_some() {
        line.push_str(" retry-after");
    }
    format!("{line} {:?}", answer.body)
}

/// Guards against an unintended change of the responses to callers or of the requests to servers.
#[googletest::test]
fn responses_and_backend_requests_stay_the_same() {
    let fleet = Fleet::with(1, 1);
    let instance = &fleet.instances[0];
    let mut lines = Vec::new();
    let mut record = |what: &str, answer| lines.push(format!("{what}: {}", describe(answer)));
    record("read", instance.get("/read/2f?x=%20y", "r-1"));
    record("read again", instance.get("/read/2f?x=%20y", "r-2"));
    record("filing", instance.post("/file/a", "f-1", "feast=June"));
    record("unknown path", instance.get("/none/2f", "r-3"));
    let other_host = request("GET", "/read/2f", "r-4", "", "").replace(HOST, "other.example");
    record("unknown host", instance.call(&other_host));
    let chunked = request("POST", "/scan/b", "s-1", "", "")
        .replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
    record("chunked upload", instance.call(&format!("{chunked}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")));
    let too_large = request("POST", "/scan/b", "s-2", "", "")
        .replace("Content-Length: 0", "Content-Length: 4000001");
    record("too large", instance.call(&too_large));
    record("no host", instance.call("GET /read/2f HTTP/1.1\r\nX-Request-Id: r-5\r\n\r\n"));
    for run in fleet.servers[0].runs() {
        let body = String::from_utf8(run.body).unwrap();
        let in_time = (1..=3_000).contains(&run.deadline_ms);
        lines.push(format!("server: {} {} {body:?} deadline within {in_time}", run.id, run.line));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against responses that belong to another request of the same connection.
#[googletest::test]
fn requests_of_one_connection_are_answered_in_order() {
    let fleet = Fleet::with(2, 1);
    let mut caller = Caller::connect(fleet.instances[0].callers());
    for number in 0..20 {
        let id = format!("r-{number}");
        caller.send(&request("GET", &format!("/read/{number}"), &id, "", ""));
        let answer = caller.read().unwrap();
        expect_that!(answer.header("x-request-id"), some(eq(id.as_str())));
        expect_that!(answer.body, eq(&format!("/read/{number} from tables")));
    }
}

/// Guards against long bodies that arrive changed or incomplete. The body is longer than what an
/// instance buffers, so it is streamed.
#[googletest::test]
fn a_long_upload_arrives_whole() {
    let fleet = Fleet::with(1, 1);
    let body = "0123456789".repeat(350_000);
    let answer = fleet.instances[0].post("/scan/long", "s-1", &body).unwrap();
    expect_that!(answer.status, eq(200));
    let runs = fleet.servers[0].runs();
    expect_that!(runs.len(), eq(1));
    expect_that!(runs[0].body == body.as_bytes(), eq(true));
}

/// Guards against a request that is executed by a server of another service which has taken over
/// the address.
#[googletest::test]
fn a_server_with_the_address_of_another_one_runs_nothing() {
    let mut fleet = Fleet::with(2, 1);
    let address = fleet.servers[0].address();
    let name = |name: &str| ServerOptions { name: name.to_owned(), ..Default::default() };
    fleet.servers[0] = wait_for("the address", || {
        drop(std::mem::replace(&mut fleet.servers[0], Server::bind(name("spare")).unwrap()));
        Server::bind_at(address, name("i-other")).ok()
    });
    for number in 0..6 {
        let body = format!("n={number}");
        let answer = fleet.instances[0].post("/file/a", &format!("f-{number}"), &body).unwrap();
        expect_that!(answer.status, eq(200));
    }
    expect_that!(fleet.servers[0].runs(), is_empty());
    expect_that!(fleet.servers[1].runs().len(), eq(6));
}

/// Guards against a request that is still executed after its caller has disconnected.
#[googletest::test]
fn a_caller_that_leaves_cancels_its_request() {
    let slow =
        ServerOptions { uncached_run: std::time::Duration::from_secs(10), ..Default::default() };
    let mut fleet = Fleet::open(vec![slow]);
    fleet.start("palermo-a");
    fleet.wait_until_ready();
    let mut caller = Caller::connect(fleet.instances[0].callers());
    caller.send(&request("GET", "/read/1", "r-1", "", ""));
    wait_for("the run", || (fleet.servers[0].running() == 1).then_some(()));
    drop(caller);
    wait_for("the end of the run", || (fleet.servers[0].running() == 0).then_some(()));
    expect_that!(fleet.servers[0].runs()[0].finished, eq(false));
}

/// Guards against a request that takes longer than the timeout of its route.
#[googletest::test]
fn a_request_is_answered_when_the_time_of_its_route_is_over() {
    let slow =
        ServerOptions { uncached_run: std::time::Duration::from_secs(10), ..Default::default() };
    let mut fleet = Fleet::open(vec![slow]);
    fleet.start("palermo-a");
    fleet.wait_until_ready();
    let start = std::time::Instant::now();
    let answer = fleet.instances[0].post("/file/a", "f-1", "").unwrap();
    expect_that!(answer.status, eq(504));
    expect_that!(start.elapsed().as_millis(), all!(ge(2_900), lt(3_500)));
}
