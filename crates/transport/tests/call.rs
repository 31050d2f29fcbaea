//! Tests the client of the store and of peers against servers that misbehave.

use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::mpsc,
    thread,
    time::Duration,
};

use googletest::prelude::*;
use http::Method;
use pollenshed_transport::call::{CallError, HttpClient};

/// Time limit of the call, which the test does not wait for.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Bytes of interim responses that a client may read before it closes the connection. The kernel
/// holds a part of them.
const MAX_READ_BYTES: usize = 16 * 1024 * 1024;

/// Guards against interim responses without end that keep the only thread of an instance busy.
#[gtest]
fn a_call_ends_at_interim_responses_without_end() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, sent_bytes) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let piece = "HTTP/1.1 102 Processing\r\na: b\r\n\r\n".repeat(1_000);
        let mut bytes = 0;
        while bytes < 10 * MAX_READ_BYTES && stream.write_all(piece.as_bytes()).is_ok() {
            bytes += piece.len();
        }
        let _ = closed.send(bytes);
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, async {
        HttpClient::new(address).call(Method::GET, "/rows-get", "", TIME_LIMIT).await
    });
    expect_true!(matches!(result, Err(CallError::ConnectionLost(_))), "{:?}", result.err());
    expect_that!(sent_bytes.recv_timeout(TIME_LIMIT), ok(le(MAX_READ_BYTES)));
}
