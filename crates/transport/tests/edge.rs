//! Limits of the callers' interface against malformed, slow and greedy callers over raw TCP.

mod support;

use std::{io::Write, sync::atomic::Ordering, time::Duration};

use googletest::prelude::*;
use pollenshed_transport::edge::Limits;
use support::{limits, read_all, read_until, serve, wait_for};

/// Guards against malformed input that is run, gets no clear refusal, or disturbs another caller.
#[gtest]
fn malformed_requests_get_400_and_disturb_nobody() {
    let served = serve(limits());
    let mut other = served.send(b"POST /wait HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
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
        let answer = served.exchange(input.as_bytes());
        expect_that!(answer, starts_with("HTTP/1.1 400"), "{what}");
    }
    served.gate.add_permits(1);
    expect_that!(read_until(&mut other, "bytes"), ends_with("/wait got 0 bytes"));
}

/// Guards against heads that grow without limit.
#[gtest]
fn large_head_gets_431() {
    let served = serve(limits());
    let head = format!("GET / HTTP/1.1\r\nhost: x\r\nbig: {}\r\n\r\n", "a".repeat(20_000));
    expect_that!(served.exchange(head.as_bytes()), starts_with("HTTP/1.1 431"));
}

/// Guards against a caller that holds a connection by sending its head or body too slowly.
#[gtest]
fn slow_head_and_slow_body_get_408() {
    let served = serve(limits());
    expect_that!(served.exchange(b"GET / HTTP/1.1\r\nho"), starts_with("HTTP/1.1 408"));
    let body = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf";
    expect_that!(served.exchange(body), starts_with("HTTP/1.1 408"));
}

/// Guards against a body that ends early and is taken for a whole one.
#[gtest]
fn body_shorter_than_announced_is_refused() {
    let served = serve(limits());
    let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf";
    let stream = served.send(head);
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    expect_that!(read_all(stream), not(contains_substring("got")));
}

/// Guards against a body beyond the limit, and a refusal that the caller can't read because its
/// connection is reset.
#[gtest]
fn body_beyond_limit_gets_413() {
    let served = serve(limits());
    let mut input = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n".to_vec();
    input.extend_from_slice(&[b'x'; 200_000]);
    expect_that!(served.exchange(&input), starts_with("HTTP/1.1 413"));
    let mut input = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    input.extend_from_slice(b"30000\r\n");
    input.extend_from_slice(&vec![b'x'; 0x30000]);
    input.extend_from_slice(b"\r\n0\r\n\r\n");
    expect_that!(served.exchange(&input), starts_with("HTTP/1.1 413"));
}

/// Guards against memory that grows with the number of bodies, large bodies that keep small ones
/// out, and a budget that is not given back.
#[gtest]
fn buffered_bodies_are_bounded() {
    let served = serve(limits());
    let mut input = b"POST /wait HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n".to_vec();
    input.extend_from_slice(&[b'x'; 100_000]);
    let mut first = served.send(&input);
    wait_for("the first body", || served.waiting.load(Ordering::SeqCst) == 1);
    expect_that!(served.exchange(&input), starts_with("HTTP/1.1 503"));
    let mut small = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 40000\r\n\r\n".to_vec();
    small.extend_from_slice(&[b'x'; 40_000]);
    let mut served_small = served.send(&small);
    expect_that!(read_until(&mut served_small, "bytes"), ends_with("got 40000 bytes"));
    served.gate.add_permits(2);
    expect_that!(read_until(&mut first, "bytes"), ends_with("got 100000 bytes"));
    let mut third = served.send(&input);
    expect_that!(read_until(&mut third, "bytes"), ends_with("got 100000 bytes"));
}

/// Guards against connections without limit, and a limit that disturbs open connections.
#[gtest]
fn connections_beyond_limit_get_503() {
    let served = serve(Limits { max_connections: 1, ..limits() });
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut open = served.send(request);
    read_until(&mut open, "bytes");
    let refused = served.exchange(b"");
    expect_that!(refused, starts_with("HTTP/1.1 503"));
    expect_that!(refused, contains_substring("retry-after: 1"));
    open.write_all(request).unwrap();
    expect_that!(read_until(&mut open, "bytes"), ends_with("/ got 0 bytes"));
    drop(open);
    wait_for("the closed connection", || served.edge.open_connections() == 0);
    read_until(&mut served.send(request), "bytes");
}

/// Guards against answers that are mixed up or lost when requests are pipelined, and against an
/// HTTP/1.0 connection that stays open.
#[gtest]
fn pipelined_and_old_requests_are_answered() {
    let served = serve(limits());
    let answers = served.exchange(
        b"GET /1 HTTP/1.1\r\nhost: x\r\n\r\nPOST /2 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc\
          GET /3 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    let bodies: Vec<_> = answers.split("\r\n\r\n").skip(1).map(|a| &a[..14]).collect();
    expect_that!(
        bodies,
        elements_are![eq(&"/1 got 0 bytes"), eq(&"/2 got 3 bytes"), eq(&"/3 got 0 bytes")]
    );
    let old = served.exchange(b"GET /old HTTP/1.0\r\n\r\n");
    expect_that!(old, ends_with("/old got 0 bytes"));
}

/// Guards against idle connections that are kept for ever.
#[gtest]
fn idle_connection_is_closed() {
    let served = serve(Limits { idle_timeout: Duration::from_millis(100), ..limits() });
    expect_that!(served.exchange(b""), eq(""));
    let answer = served.exchange(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    expect_that!(answer, ends_with("/ got 0 bytes"));
}

/// Guards against a planned stop that cuts off a request, keeps idle connections, or never ends.
#[gtest]
fn drain_finishes_requests_and_closes_the_rest() {
    let served = serve(Limits { head_timeout: Duration::from_secs(10), ..limits() });
    let request = b"GET /wait HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut half_head = served.send(b"GET /half HTTP/1.1\r\nho");
    let mut idle = served.send(b"GET /first HTTP/1.1\r\nhost: x\r\n\r\n");
    read_until(&mut idle, "bytes");
    let busy = served.send(request);
    wait_for("the open connections", || served.edge.open_connections() == 3);
    let edge = served.edge.clone();
    let drained = served.runtime.spawn(async move { edge.drain().await });
    expect_that!(read_all(idle), eq(""));
    half_head.write_all(b"st: x\r\n\r\n").unwrap();
    expect_that!(read_all(half_head), ends_with("/half got 0 bytes"));
    wait_for("the closed port", || std::net::TcpStream::connect(served.address()).is_err());
    expect_that!(drained.is_finished(), eq(false));
    served.gate.add_permits(1);
    let answer = read_all(busy);
    expect_that!(answer, contains_substring("connection: close"));
    expect_that!(answer, ends_with("/wait got 0 bytes"));
    served.runtime.block_on(drained).unwrap();
    expect_that!(served.edge.open_connections(), eq(0));
}

/// Guards against callers that keep connections to an instance that is about to leave.
#[gtest]
fn discouraged_callers_are_told_to_close() {
    let served = serve(limits());
    served.edge.request_close();
    let answer = served.exchange(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    expect_that!(answer, contains_substring("connection: close"));
}

/// Guards against a check for conflicting lengths that refuses honest chunked bodies, whole or in
/// small pieces, first or later on a connection.
#[gtest]
fn chunked_bodies_are_accepted() {
    let served = serve(limits());
    let request =
        b"POST /c HTTP/1.1\r\nhost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let mut stream = served.send(request);
    expect_that!(read_until(&mut stream, "bytes"), ends_with("/c got 3 bytes"));
    for piece in request.chunks(7) {
        stream.write_all(piece).unwrap();
    }
    expect_that!(read_until(&mut stream, "bytes"), ends_with("/c got 3 bytes"));
}
