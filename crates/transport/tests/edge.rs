//! Tests the callers' interface against malformed, slow and excessive requests over raw TCP.

mod support;

use std::{io::Write, sync::atomic::Ordering, time::Duration};

use googletest::prelude::*;
use pollenshed_transport::edge::Limits;
use support::{limits, read_all, read_until, serve, wait_for};

/// Guards against malformed input that reaches the handler, gets no 400, or affects another caller.
#[gtest]
fn malformed_requests_get_400_without_affecting_others() {
    let server = serve(limits());
    let mut other = server.send(b"POST /wait HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
    let inputs: [(&str, &str); 9] = [
        ("garbage", "\x16\x03\x01 hello\r\n\r\n"),
        ("no version", "GET /\r\n\r\n"),
        ("bad version", "GET / HTTP/9.9\r\n\r\n"),
        ("bad header", "GET / HTTP/1.1\r\nhost: x\r\nno colon here\r\n\r\n"),
        ("bad length", "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: many\r\n\r\nbody"),
        (
            "two lengths",
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nbody",
        ),
        (
            "bad chunk",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n",
        ),
        (
            "length then chunked",
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        (
            "chunked then length",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n",
        ),
    ];
    for (what, input) in inputs {
        let answer = server.exchange(input.as_bytes());
        expect_that!(answer, starts_with("HTTP/1.1 400"), "{what}");
    }
    server.gate.add_permits(1);
    expect_that!(read_until(&mut other, "bytes"), ends_with("/wait got 0 bytes"));
}

/// Guards against heads of unlimited size.
#[gtest]
fn large_head_gets_431() {
    let server = serve(limits());
    let head = format!("GET / HTTP/1.1\r\nhost: x\r\nbig: {}\r\n\r\n", "a".repeat(20_000));
    expect_that!(server.exchange(head.as_bytes()), starts_with("HTTP/1.1 431"));
}

/// Guards against a caller that occupies a connection by sending its head or body too slowly.
#[gtest]
fn slow_head_and_slow_body_get_408() {
    let server = serve(limits());
    expect_that!(server.exchange(b"GET / HTTP/1.1\r\nho"), starts_with("HTTP/1.1 408"));
    let body = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf";
    expect_that!(server.exchange(body), starts_with("HTTP/1.1 408"));
}

/// Guards against treating a body that ends early as complete.
#[gtest]
fn body_shorter_than_announced_is_refused() {
    let server = serve(limits());
    let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf";
    let stream = server.send(head);
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    expect_that!(read_all(stream), not(contains_substring("got")));
}

/// Guards against a body beyond the limit that is accepted, and against a 413 that the caller can't
/// read because its connection is reset.
#[gtest]
fn body_beyond_limit_gets_413() {
    let server = serve(limits());
    let mut input = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n".to_vec();
    input.extend_from_slice(&[b'x'; 200_000]);
    expect_that!(server.exchange(&input), starts_with("HTTP/1.1 413"));
    let mut input = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    input.extend_from_slice(b"30000\r\n");
    input.extend_from_slice(&vec![b'x'; 0x30000]);
    input.extend_from_slice(b"\r\n0\r\n\r\n");
    expect_that!(server.exchange(&input), starts_with("HTTP/1.1 413"));
}

/// Guards against memory that grows with the number of bodies, large bodies that block small ones,
/// and a budget that is not released.
#[gtest]
fn buffered_bodies_are_bounded() {
    let server = serve(limits());
    let mut input = b"POST /wait HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n".to_vec();
    input.extend_from_slice(&[b'x'; 100_000]);
    let mut first = server.send(&input);
    wait_for("the first body", || server.waiting.load(Ordering::SeqCst) == 1);
    expect_that!(server.exchange(&input), starts_with("HTTP/1.1 503"));
    let mut small = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 40000\r\n\r\n".to_vec();
    small.extend_from_slice(&[b'x'; 40_000]);
    let mut served_small = server.send(&small);
    expect_that!(read_until(&mut served_small, "bytes"), ends_with("got 40000 bytes"));
    server.gate.add_permits(2);
    expect_that!(read_until(&mut first, "bytes"), ends_with("got 100000 bytes"));
    let mut third = server.send(&input);
    expect_that!(read_until(&mut third, "bytes"), ends_with("got 100000 bytes"));
}

/// Guards against an unlimited number of connections, and a limit that affects open connections.
#[gtest]
fn connections_beyond_limit_get_503() {
    let server = serve(Limits { max_connections: 1, ..limits() });
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut open = server.send(request);
    read_until(&mut open, "bytes");
    let refused = server.exchange(b"");
    expect_that!(refused, starts_with("HTTP/1.1 503"));
    expect_that!(refused, contains_substring("retry-after: 1"));
    open.write_all(request).unwrap();
    expect_that!(read_until(&mut open, "bytes"), ends_with("/ got 0 bytes"));
    drop(open);
    wait_for("the closed connection", || server.edge.open_connections() == 0);
    read_until(&mut server.send(request), "bytes");
}

/// Guards against responses that are reordered or lost when requests are pipelined, and against an
/// HTTP/1.0 connection that stays open.
#[gtest]
fn pipelined_and_http_1_0_requests_are_answered() {
    let server = serve(limits());
    let answers = server.exchange(
        b"GET /1 HTTP/1.1\r\nhost: x\r\n\r\nPOST /2 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc\
          GET /3 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    let bodies: Vec<_> = answers.split("\r\n\r\n").skip(1).map(|a| &a[..14]).collect();
    expect_that!(
        bodies,
        elements_are![eq(&"/1 got 0 bytes"), eq(&"/2 got 3 bytes"), eq(&"/3 got 0 bytes")]
    );
    let old = server.exchange(b"GET /old HTTP/1.0\r\n\r\n");
    expect_that!(old, ends_with("/old got 0 bytes"));
}

/// Guards against idle connections that stay open forever.
#[gtest]
fn idle_connection_is_closed() {
    let server = serve(Limits { idle_timeout: Duration::from_millis(100), ..limits() });
    expect_that!(server.exchange(b""), eq(""));
    let answer = server.exchange(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    expect_that!(answer, ends_with("/ got 0 bytes"));
}

/// Guards against a planned stop that aborts a request, keeps idle connections, or never ends.
#[gtest]
fn drain_finishes_requests_and_closes_idle_connections() {
    let server = serve(Limits { head_timeout: Duration::from_secs(10), ..limits() });
    let request = b"GET /wait HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut half_head = server.send(b"GET /half HTTP/1.1\r\nho");
    let mut idle = server.send(b"GET /first HTTP/1.1\r\nhost: x\r\n\r\n");
    read_until(&mut idle, "bytes");
    let busy = server.send(request);
    wait_for("the open connections", || server.edge.open_connections() == 3);
    let edge = server.edge.clone();
    let drained = server.runtime.spawn(async move { edge.drain().await });
    expect_that!(read_all(idle), eq(""));
    half_head.write_all(b"st: x\r\n\r\n").unwrap();
    expect_that!(read_all(half_head), ends_with("/half got 0 bytes"));
    wait_for("the closed port", || std::net::TcpStream::connect(server.address()).is_err());
    expect_that!(drained.is_finished(), eq(false));
    server.gate.add_permits(1);
    let answer = read_all(busy);
    expect_that!(answer, contains_substring("connection: close"));
    expect_that!(answer, ends_with("/wait got 0 bytes"));
    server.runtime.block_on(drained).unwrap();
    expect_that!(server.edge.open_connections(), eq(0));
}

/// Guards against callers that keep connections to an instance that is about to stop.
#[gtest]
fn responses_ask_callers_to_close_before_a_stop() {
    let server = serve(limits());
    server.edge.request_close();
    let answer = server.exchange(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    expect_that!(answer, contains_substring("connection: close"));
}

/// Guards against a check for conflicting lengths that refuses valid chunked bodies, in one piece
/// or in small segments, on the first or a later request of a connection.
#[gtest]
fn chunked_bodies_are_accepted() {
    let server = serve(limits());
    let request =
        b"POST /c HTTP/1.1\r\nhost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let mut stream = server.send(request);
    expect_that!(read_until(&mut stream, "bytes"), ends_with("/c got 3 bytes"));
    for piece in request.chunks(7) {
        stream.write_all(piece).unwrap();
    }
    expect_that!(read_until(&mut stream, "bytes"), ends_with("/c got 3 bytes"));
}
