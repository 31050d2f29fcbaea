//! Tests the client of backend servers against servers that close connections.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use googletest::prelude::*;
use pollenshed_protocol::peer::HttpRequest;
use pollenshed_transport::backend::{BackendClient, BackendOutcome, BackendRequest};

/// Starts a server that responds to GET and keeps the connection open, but closes the connection
/// without a response when a complete POST has arrived. Returns its address and the number of POST
/// requests.
fn closing_server() -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let posts = Arc::new(AtomicU64::new(0));
    let counter = posts.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counter = counter.clone();
            thread::spawn(move || serve(BufReader::new(stream), &counter));
        }
    });
    (address, posts)
}

fn serve(mut reader: BufReader<TcpStream>, posts: &AtomicU64) {
    loop {
        let (mut head, mut length) = (String::new(), 0);
        loop {
            let start = head.len();
            if reader.read_line(&mut head).unwrap_or(0) == 0 {
                return;
            }
            let line = head[start..].trim().to_ascii_lowercase();
            if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.parse().unwrap();
            }
            if line.is_empty() {
                break;
            }
        }
        reader.read_exact(&mut vec![0; length]).unwrap();
        if head.starts_with("POST") {
            posts.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        reader.get_mut().write_all(answer).unwrap();
    }
}

/// Guards against an HTTP client that silently retries a non-idempotent request when the server
/// closes a pooled connection, and against reporting such a request as not run.
#[gtest]
fn request_on_a_stale_connection_is_not_repeated() {
    let (address, posts) = closing_server();
    let client = BackendClient::open();
    let send = |method: &str, idempotent| {
        let request =
            HttpRequest { method: method.into(), path: "/x".into(), ..HttpRequest::default() };
        client.send(&BackendRequest {
            address,
            request: &request,
            request_id: "1",
            timeout: Duration::from_secs(5),
            idempotent,
            max_answer_bytes: 1_000,
        })
    };
    for round in 1..=3 {
        // The GET leaves an idle connection in the pool.
        expect_that!(send("GET", true), pat!(BackendOutcome::Answered { .. }));
        expect_that!(send("POST", false), pat!(BackendOutcome::ConnectionLost(anything())));
        expect_that!(posts.load(Ordering::SeqCst), eq(round));
    }
}

/// Guards against a refusal of another request that is taken for one of this request, whose caller
/// is then told that it did not run.
#[gtest]
fn a_refusal_of_another_request_is_not_believed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let refusal = b"HTTP/1.1 503 Full\r\npollenshed-request-id: another\r\n\
            pollenshed-shed: 1\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(refusal).unwrap();
    });
    let request = HttpRequest { method: "GET".into(), path: "/x".into(), ..Default::default() };
    let outcome = BackendClient::open().send(&BackendRequest {
        address,
        request: &request,
        request_id: "own",
        timeout: Duration::from_secs(10),
        idempotent: true,
        max_answer_bytes: 1_000,
    });
    expect_true!(matches!(outcome, BackendOutcome::ConnectionLost(_)), "{outcome:?}");
}
