//! Tests that each caller gets the complete answer to its own request, or none that it could take
//! for it.

mod support;

use std::{thread, time::Duration};

use fastrand::Rng;
use googletest::prelude::*;
use pollenshed_standins::{backend::Run, proxy::Direction};
use support::{
    callers::{Filing, Reply, get, put},
    faults::{ProxiedFleet, TWO_ENTRIES, answer_to},
    raw::Connection,
    wait_for,
};

/// Callers' connections that are open at the same time.
const CONNECTIONS: usize = 12;

/// Requests that are sent on a connection before its first answer is read.
const PIPELINED_REQUESTS: usize = 6;

/// Length of the answers that are cut. It is more than one read of a socket returns.
const LONG_ANSWER_BYTES: usize = 200_000;

fn long_answer(run: &Run) -> (u16, Vec<u8>) {
    (200, long_text(&run.path, &run.body).into_bytes())
}

fn long_text(path: &str, body: &[u8]) -> String {
    let piece = format!("{path} {}\n", String::from_utf8_lossy(body));
    piece.repeat(LONG_ANSWER_BYTES / piece.len())
}

/// Sets service times that depend on the path, so that requests end in another order than they
/// started.
fn vary_service_times(fleet: &ProxiedFleet) {
    for (_, backend) in &fleet.fleet.backends {
        backend.set_service_time_by(|run| {
            let sum: u64 = run.path.bytes().map(u64::from).sum();
            Duration::from_millis(sum * 7 % 60)
        });
    }
}

/// Guards against answers that are mixed up between pipelined requests or between connections.
#[gtest]
fn pipelined_requests_get_their_own_answers() {
    let fleet = ProxiedFleet::start(&TWO_ENTRIES, Duration::from_millis(5));
    vary_service_times(&fleet);
    thread::scope(|scope| {
        for number in 0..CONNECTIONS {
            let entry = fleet.fleet.daemons[number % 2].caller_endpoint;
            scope.spawn(move || check_pipelined_requests(entry, number));
        }
    });
}

/// Sends reads and filings alternately over one connection, then reads and checks all answers.
fn check_pipelined_requests(entry: std::net::SocketAddr, number: usize) {
    let mut connection = Connection::open(entry);
    let mut expected = Vec::new();
    for request in 0..PIPELINED_REQUESTS {
        let path = format!("/pages/{number}-{request}");
        let body = format!("page {number}-{request}");
        if request % 2 == 0 {
            connection.send(&format!("GET /v1/run/ledger{path} HTTP/1.1\r\nhost: entry\r\n\r\n"));
            expected.push(answer_to("GET", &path, ""));
        } else {
            let filing = Filing::prepare(entry, 1, body.clone());
            connection.send(&format!(
                "POST /v1/run/ledger{path} HTTP/1.1\r\nhost: entry\r\npollenshed-ticket: {}\r\n\
                 content-length: {}\r\n\r\n{body}",
                filing.ticket,
                body.len()
            ));
            expected.push(answer_to("POST", &path, &body));
        }
    }
    for expected in expected {
        let answer = connection.read();
        assert_eq!(
            (answer.outcome.as_str(), &answer.body),
            ("done", &expected),
            "{}",
            answer.status
        );
    }
}

/// Guards against a partial answer that is forwarded as if it were complete.
#[gtest]
fn cut_answers_are_not_forwarded() {
    let mut fleet = ProxiedFleet::start(&TWO_ENTRIES, Duration::from_millis(5));
    fleet.fleet.backends.iter().for_each(|(_, b)| b.set_answer_by(long_answer));
    let mut lost = 0;
    for seed in 201..=212 {
        let mut rng = Rng::with_seed(seed);
        let bytes = rng.usize(1..LONG_ANSWER_BYTES);
        let by_proxy = rng.bool();
        for (proxy, (_, backend)) in fleet.server_proxies.iter().zip(&fleet.fleet.backends) {
            if by_proxy {
                proxy.cut_after(Direction::ToCaller, Some(bytes as u64));
            } else {
                backend.set_faults(|f| f.cut_answers_after_bytes = Some(bytes));
            }
        }
        let entry = fleet.fleet.daemons[rng.usize(..2)].caller_endpoint;
        let filing = Filing::prepare(entry, 1, format!("cut {seed}"));
        let path = format!("/long/{seed}");
        for (reply, whole) in [
            (filing.send(entry, 2_000), long_text("/filings", filing.body.as_bytes())),
            (get(entry, &path), long_text(&path, b"")),
        ] {
            println!("seed {seed}: cut after {bytes}, {}", kind(&reply));
            match reply {
                Reply::Done(body) => assert!(body == whole, "seed {seed}: a partial answer"),
                Reply::NoWholeAnswer(e) => {
                    panic!("seed {seed}: the caller's connection broke: {e}")
                }
                _ => lost += 1,
            }
        }
        expect_that!(fleet.fleet.runs_of(filing.body.as_bytes()), le(1));
        fleet.fleet.backends.iter().for_each(|(_, b)| {
            b.set_faults(|f| f.cut_answers_after_bytes = None);
        });
        fleet.heal();
        fleet.wait_until_ready();
    }
    expect_that!(lost, gt(0), "no answer was cut");
}

fn kind(reply: &Reply) -> &'static str {
    match reply {
        Reply::Done(_) => "done",
        Reply::NotRun(_) => "not-run",
        Reply::Unknown(_) => "unknown",
        Reply::NoWholeAnswer(_) => "broken",
    }
}

/// Guards against a late answer on a keep-alive connection that is taken for the answer to the next
/// request.
#[gtest]
fn late_answers_go_to_no_other_request() {
    let fleet = ProxiedFleet::start(&TWO_ENTRIES, Duration::from_millis(5));
    for (_, backend) in &fleet.fleet.backends {
        backend.set_service_time_by(|run| {
            // After the deadline of reads, but while the reads that follow are running.
            let is_slow = run.path.starts_with("/slow");
            Duration::from_millis(if is_slow { 2_200 } else { 5 })
        });
    }
    let entries: Vec<_> = fleet.fleet.daemons.iter().map(|d| d.caller_endpoint).collect();
    thread::scope(|scope| {
        for number in 0..8 {
            let entry = entries[number % 2];
            scope.spawn(move || {
                let reply = get(entry, &format!("/slow/{number}"));
                // The deadline of a read is 2,000 ms, so its answer comes too late.
                assert!(!matches!(reply, Reply::Done(_)), "an answer beyond the deadline");
                for next in 0..20 {
                    let path = format!("/next/{number}-{next}");
                    let reply = get(entry, &path);
                    assert!(
                        matches!(&reply, Reply::Done(body) if *body == answer_to("GET", &path, ""))
                            || matches!(&reply, Reply::NotRun(_)),
                        "{path} got {reply:?}"
                    );
                }
            });
        }
    });
}

/// Guards against a backend client that repeats a filing after a reused connection was lost.
#[gtest]
fn filing_is_not_repeated_on_a_stale_connection() {
    let fleet = ProxiedFleet::start(&TWO_ENTRIES, Duration::from_millis(100));
    for seed in 221..=224 {
        let entry = fleet.fleet.daemons[Rng::with_seed(seed).usize(..2)].caller_endpoint;
        // These reads leave idle connections to the backend servers.
        thread::scope(|scope| {
            for number in 0..6 {
                scope.spawn(move || get(entry, &format!("/warm/{number}")));
            }
        });
        let filing = Filing::prepare(entry, 1, format!("stale {seed}"));
        let reply = thread::scope(|scope| {
            let sending = scope.spawn(|| filing.send(filing.address, 3_000));
            wait_for("the filing to run", || {
                let is_running = fleet.fleet.runs_of(filing.body.as_bytes()) > 0;
                is_running.then_some(())
            });
            // The backend server has counted a run of the filing, and the client sees a reset
            // connection.
            fleet.server_proxies.iter().for_each(|proxy| proxy.reset_connections());
            sending.join().unwrap()
        });
        expect_that!(reply, matches_pattern!(Reply::Unknown(anything())), "seed {seed}");
        fleet.wait_until_ready();
        expect_that!(fleet.fleet.runs_of(filing.body.as_bytes()), eq(1), "seed {seed}");
    }
}

/// Guards against an idempotent request that gets the answer to a request with another body.
#[gtest]
fn interleaved_writes_get_their_own_answers() {
    let fleet = ProxiedFleet::start(&TWO_ENTRIES, Duration::from_millis(5));
    vary_service_times(&fleet);
    let entries: Vec<_> = fleet.fleet.daemons.iter().map(|d| d.caller_endpoint).collect();
    thread::scope(|scope| {
        for number in 0..CONNECTIONS {
            let entry = entries[number % 2];
            scope.spawn(move || {
                for write in 0..10 {
                    let (path, body) = (format!("/w/{write}"), format!("write {number}-{write}"));
                    let reply = put(entry, &path, &body);
                    assert_eq!(reply, Reply::Done(answer_to("PUT", &path, &body)));
                }
            });
        }
    });
}
