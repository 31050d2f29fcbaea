//! Raw HTTP over TCP, so that a test sees exactly what a stand-in sends.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Longest time that a test waits for a condition.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `condition` returns a value.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < CONDITION_TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Sends the request line `line` with extra header lines and a body, and returns everything that
/// arrives until the connection ends; `None` if connecting or sending fails.
pub fn call(address: SocketAddr, line: &str, headers: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    let length = body.len();
    let head = format!("{line} HTTP/1.1\r\nconnection: close\r\ncontent-length: {length}\r\n");
    write!(stream, "{head}{headers}\r\n{body}").ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    Some(String::from_utf8_lossy(&answer).into_owned())
}
