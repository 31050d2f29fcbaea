//! Backend servers that end answers oddly: with a reset while a long request is still sent, or with
//! a status that is none. With real processes.

mod steer_support;

use std::{io::Write, net::TcpStream, thread, time::Duration};

use googletest::prelude::*;
use pollenshed_standins::steered::{EarlyAnswer, Fault, ServerOptions, large_answer};
use steer_support::{Fleet, HOST, Instance, WAIT_TIMEOUT, received::Received, request};

/// Size of the uploads: more than sockets take in at once, less than the configuration allows.
const UPLOAD_BYTES: usize = 3_900_000;

/// Statuses that no answer can have.
const ODD_STATUSES: [&str; 7] = ["000", "099", "600", "999", "2x0", "20", "-"];

/// How a caller sends its upload.
#[derive(Debug, Clone, Copy)]
struct Upload {
    version: &'static str,
    is_chunked: bool,
    /// Whether the second half is sent only after a pause.
    pauses: bool,
}

/// Sends an upload on a new connection and reads until the connection ends.
fn upload(instance: &Instance, how: Upload, id: &str) -> Received {
    let mut stream = TcpStream::connect(instance.callers()).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut sending = stream.try_clone().unwrap();
    let mut body = id.as_bytes().to_vec();
    body.resize(UPLOAD_BYTES, b'u');
    let framing = if how.is_chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {UPLOAD_BYTES}")
    };
    let head = format!(
        "POST /scan/x {}\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
         Connection: close\r\n{framing}\r\n\r\n",
        how.version
    );
    let sender = thread::spawn(move || {
        let _ = sending.write_all(head.as_bytes());
        for (number, half) in body.chunks(UPLOAD_BYTES / 2).enumerate() {
            if how.pauses && number == 1 {
                thread::sleep(Duration::from_millis(300));
            }
            let size = format!("{:x}\r\n", half.len());
            let framed = if how.is_chunked {
                [size.as_bytes(), half, b"\r\n"].concat()
            } else {
                half.to_vec()
            };
            if sending.write_all(&framed).is_err() {
                return;
            }
        }
        if how.is_chunked {
            let _ = sending.write_all(b"0\r\n\r\n");
        }
    });
    let received = Received::read_from(&mut stream);
    sender.join().unwrap();
    received
}

fn one_server() -> Fleet {
    let options = ServerOptions { name: "i-0".to_owned(), ..Default::default() };
    let mut fleet = Fleet::open(vec![options]);
    fleet.start("palermo-a");
    fleet.wait_until_ready();
    fleet
}

/// Plays early answers of all sizes and delays against uploads that are sent like this. Returns
/// what was wrong.
fn play_early_answers(how: Upload, resets: bool) -> Vec<String> {
    let fleet = one_server();
    let instance = &fleet.instances[0];
    let mut faults = Vec::new();
    let (mut cases, mut sent_cases) = (0, 0);
    for version in ["HTTP/1.0", "HTTP/1.1"] {
        for delay_ms in [0, 1, 20, 300, 2_000] {
            for bytes in [1, 1_000, 70_000, 300_000, 1_000_000] {
                if delay_ms == 2_000 && bytes != 70_000 {
                    continue;
                }
                // An answer makes the server count as sound again. Every other upload finds its
                // connection; with anything left over it is closed.
                let before = if cases % 2 == 0 { Fault::None } else { Fault::ExtraAnswers };
                fleet.servers[0].set_fault(before);
                steer_support::wait_for("a sound server", || {
                    let answer = instance.get("/read/x", &format!("before-{cases}"));
                    answer.filter(|answer| answer.status == 200)
                });
                let early = EarlyAnswer { version, delay_ms, bytes, resets };
                fleet.servers[0].set_fault(Fault::EarlyAnswers(early));
                let id = format!("early-{cases}");
                let received = upload(instance, how, &id);
                let ran = fleet.servers[0].runs().iter().filter(|run| run.id == id).count();
                cases += 1;
                sent_cases += ran;
                if let Err(fault) = check_early_answer(&received, early, ran) {
                    faults.push(format!("{fault}: {how:?} {early:?}"));
                }
            }
        }
    }
    if sent_cases * 10 < cases * 9 {
        faults.push(format!("only {sent_cases} of {cases} uploads were sent"));
    }
    faults
}

fn check_early_answer(
    received: &Received,
    early: EarlyAnswer,
    ran: usize,
) -> std::result::Result<(), String> {
    if ran > 1 {
        return Err(format!("ran {ran} times"));
    }
    match (received.status(), received.complete_body()) {
        (Some(200), Some(_)) if early.resets => Err("a part looks whole".to_owned()),
        (Some(200), Some(body)) if body != large_answer(early.bytes) => {
            Err(format!("{} bytes look whole", body.len()))
        }
        (None | Some(200 | 502), _) => Ok(()),
        (Some(503), _) if ran == 0 => Ok(()),
        (status, _) => Err(format!("status {status:?}")),
    }
}

/// Plays the same with several ways to send uploads at once.
fn play_all(ways: &[Upload], resets: bool) -> Vec<String> {
    thread::scope(|scope| {
        let plays: Vec<_> =
            ways.iter().map(|how| scope.spawn(move || play_early_answers(*how, resets))).collect();
        plays.into_iter().flat_map(|play| play.join().unwrap()).collect()
    })
}

/// Guards against the beginning of an answer that the caller takes for a whole one, after the
/// server reset the connection while a long request was still sent.
#[googletest::test]
fn a_reset_while_an_upload_is_sent_never_looks_like_a_whole_answer() {
    let ways = [
        Upload { version: "HTTP/1.1", is_chunked: false, pauses: false },
        Upload { version: "HTTP/1.1", is_chunked: false, pauses: true },
        Upload { version: "HTTP/1.1", is_chunked: true, pauses: false },
        Upload { version: "HTTP/1.0", is_chunked: false, pauses: true },
    ];
    expect_that!(play_all(&ways, true), is_empty());
}

/// Guards against an early answer that ends with a plain close and reaches the caller in part.
#[googletest::test]
fn an_early_answer_that_is_closed_is_whole_or_broken_off() {
    let ways = [
        Upload { version: "HTTP/1.1", is_chunked: false, pauses: false },
        Upload { version: "HTTP/1.1", is_chunked: true, pauses: false },
    ];
    expect_that!(play_all(&ways, false), is_empty());
}

/// Guards against a status that is none and reaches the caller as an answer.
#[googletest::test]
fn a_status_that_is_none_is_no_answer() {
    let fleet = one_server();
    let instance = &fleet.instances[0];
    for (number, status) in ODD_STATUSES.into_iter().enumerate() {
        fleet.servers[0].set_fault(Fault::OddStatus(status));
        for (method, path) in [("GET", "/read/x"), ("POST", "/file/x")] {
            let id = format!("odd-{number}-{method}");
            let answer = instance.call(&request(method, path, &id, "X-Affinity-Key: 1\r\n", &id));
            let answer = answer.map(|answer| answer.status);
            let runs = fleet.servers[0].runs().iter().filter(|run| run.id == id).count();
            let is_failure = answer == Some(502) || (answer == Some(503) && runs == 0);
            expect_that!(is_failure, eq(true), "{status} {method} {answer:?}");
        }
        fleet.servers[0].set_fault(Fault::None);
        steer_support::wait_for("an answer after the fault", || {
            instance.get("/read/x", &format!("after-{number}")).filter(|a| a.status == 200)
        });
    }
}

/// Guards against requests that may be repeated and fail because one server answers with a status
/// that is none.
#[googletest::test]
fn a_request_that_may_repeat_leaves_a_server_with_odd_statuses() {
    for status in ODD_STATUSES {
        let fleet = Fleet::with(3, 1);
        fleet.servers[0].set_fault(Fault::OddStatus(status));
        for number in 0..9 {
            let headers = format!("X-Affinity-Key: {number}\r\n");
            let id = format!("odd-{number}");
            let answer = fleet.instances[0].call(&request("GET", "/read/x", &id, &headers, ""));
            expect_that!(answer.map(|a| a.status), some(eq(200)), "{status}");
        }
        expect_that!(fleet.servers[0].runs(), not(is_empty()), "{status}");
    }
}
