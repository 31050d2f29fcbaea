//! Tests the client of backend servers against servers that send bytes without end.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use pollenshed_protocol::peer::HttpRequest;
use pollenshed_transport::backend::{BackendClient, BackendOutcome, BackendRequest};

/// Deadline of the requests. A server without limit sends gigabytes in this time.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Time after the deadline within which a call has ended.
const SLACK: Duration = Duration::from_millis(500);

/// Largest answer that the requests allow.
const MAX_ANSWER_BYTES: u64 = 256 * 1024;

/// Growth of memory that a faulty server may cause.
const MAX_GROWTH_BYTES: u64 = 8 * 1024 * 1024;

/// What a server sends: once, and then again and again until the connection is closed.
struct Endless {
    name: &'static str,
    start: String,
    piece: String,
}

fn kinds() -> Vec<Endless> {
    let kind = |name, start: &str, piece: &str, count| Endless {
        name,
        start: start.to_owned(),
        piece: piece.repeat(count),
    };
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    vec![
        kind("no answer", "", "\u{1}\u{2}no answer", 2_000),
        kind("blank lines", "", "\r\n", 10_000),
        kind("head", "HTTP/1.1 200 OK\r\n", "x-filler: 0123456789abcdef\r\n", 1_000),
        kind("header line", "HTTP/1.1 200 OK\r\nx-filler: ", "0123456789abcdef", 2_000),
        kind("interim", "", "HTTP/1.1 102 Processing\r\na: b\r\n\r\n", 1_000),
        kind("continue", "", "HTTP/1.1 100 Continue\r\n\r\n", 1_000),
        kind("body", "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "[[[[[[[[", 4_000),
        kind("blank body", "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "        ", 4_000),
        kind("chunks", chunked, "1\r\n[\r\n", 4_000),
        kind("chunk size", chunked, "0000000000000000", 2_000),
        kind("chunk extension", &format!("{chunked}1;a="), "0123456789abcdef", 2_000),
        kind("trailers", &format!("{chunked}0\r\n"), "x-filler: 0123456789abcdef\r\n", 1_000),
    ]
}

/// Starts a server for one connection, and returns the channel that tells when it has been closed.
fn serve(kind: &Endless) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, is_closed) = mpsc::channel();
    let (start, piece) = (kind.start.clone(), kind.piece.clone());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        let mut sent = stream.write_all(start.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(piece.as_bytes());
        }
        let _ = closed.send(());
    });
    (address, is_closed)
}

/// Peak memory of this process so far.
fn peak_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1_024
}

fn expect_bounded(name: &str, kind: &Endless, call: impl FnOnce(SocketAddr)) {
    let (address, is_closed) = serve(kind);
    let (before, start) = (peak_bytes(), Instant::now());
    call(address);
    let what = format!("{name}, {}", kind.name);
    expect_that!(start.elapsed(), le(TIMEOUT + SLACK), "{what}");
    expect_that!(peak_bytes().saturating_sub(before), le(MAX_GROWTH_BYTES), "{what}");
    expect_that!(is_closed.recv_timeout(TIMEOUT), ok(anything()), "{what}");
}

/// Guards against memory and connections that a server takes for good by bytes without end.
#[gtest]
fn calls_end_at_bytes_without_end() {
    let client = BackendClient::open();
    for kind in kinds() {
        expect_bounded("request", &kind, |address| {
            let outcome = client.send(&BackendRequest {
                address,
                request: &HttpRequest {
                    method: "GET".into(),
                    path: "/x".into(),
                    ..HttpRequest::default()
                },
                request_id: "1",
                timeout: TIMEOUT,
                idempotent: true,
                max_answer_bytes: MAX_ANSWER_BYTES,
            });
            let is_answered = matches!(outcome, BackendOutcome::Answered { .. });
            expect_that!(is_answered, eq(false), "{}: {outcome:?}", kind.name);
        });
        expect_bounded("health", &kind, |address| {
            expect_true!(client.health(address).is_err(), "{}", kind.name);
        });
        expect_bounded("load", &kind, |address| {
            expect_true!(client.load(address).is_err(), "{}", kind.name);
        });
        expect_bounded("cancel", &kind, |address| drop(client.cancel(address, "1")));
    }
}
