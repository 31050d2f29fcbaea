//! Tests the client of backend servers against servers that end answers oddly.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use pollenshed_protocol::peer::HttpRequest;
use pollenshed_transport::backend::{BackendClient, BackendOutcome, BackendRequest};

/// Starts a server that does this with its only connection.
fn server(act: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || act(listener.accept().unwrap().0));
    address
}

fn send(address: SocketAddr, body_bytes: usize) -> BackendOutcome {
    let request = HttpRequest {
        method: "POST".into(),
        path: "/x".into(),
        body: Bytes::from(vec![b'u'; body_bytes]),
        ..HttpRequest::default()
    };
    BackendClient::open().send(&BackendRequest {
        address,
        request: &request,
        request_id: "1",
        timeout: Duration::from_secs(10),
        idempotent: false,
        max_answer_bytes: 10_000_000,
    })
}

/// Guards against a status that is none and counts as an answer.
#[gtest]
fn a_status_that_is_none_is_no_answer() {
    for status in ["000", "099", "600", "999", "2x0", "20", "-"] {
        let address = server(move |mut stream| {
            let _ = stream.read(&mut [0; 4_096]).unwrap();
            let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 3\r\n\r\nodd");
            stream.write_all(answer.as_bytes()).unwrap();
        });
        let outcome = send(address, 0);
        expect_true!(matches!(outcome, BackendOutcome::ConnectionLost(_)), "{status}: {outcome:?}");
    }
}

/// Guards against the beginning of an answer that counts as a whole one, after a reset while a
/// request of 16 MB was still sent.
#[gtest]
fn a_reset_while_an_upload_is_sent_is_no_answer() {
    for delay_ms in [0, 1, 20, 300, 2_000] {
        for bytes in [1, 1_000, 70_000, 1_000_000] {
            let address = server(move |mut stream| {
                let _ = stream.read(&mut [0; 4_096]).unwrap();
                thread::sleep(Duration::from_millis(delay_ms));
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n");
                // The answer is not read while the request is sent, so this need not all be taken.
                stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
                let _ = stream.write_all(&vec![b'a'; bytes]);
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            });
            let outcome = send(address, 16_000_000);
            let is_lost = matches!(outcome, BackendOutcome::ConnectionLost(_));
            expect_true!(is_lost, "{delay_ms} ms, {bytes} bytes");
        }
    }
}
