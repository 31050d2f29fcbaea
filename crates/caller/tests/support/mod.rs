//! Mock entries whose answers the test chooses.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use pollenshed_caller::Options;

/// A request as an entry received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// Request line without the version.
    pub line: String,
    /// Value of the ticket header; empty without one.
    pub ticket: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// How a mock entry reacts to a request.
pub enum Action {
    /// Answers with this status, header lines and body, and keeps the connection open.
    Answer(u16, String, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
    /// Sends this, and then blanks until the connection is closed.
    Endless(String),
}

/// A mock entry that records the requests it receives.
pub struct Entry {
    /// Address that it listens on.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl Entry {
    /// Starts an entry that calls `act` for each request. Its threads end with the test process.
    pub fn start(act: impl Fn(&Received) -> Action + Send + Sync + 'static) -> Entry {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (log, act) = (received.clone(), Arc::new(act));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (log, act) = (log.clone(), act.clone());
                thread::spawn(move || serve(stream, &log, &*act));
            }
        });
        Entry { address, received }
    }

    /// Returns the received requests whose request line starts with `start`.
    pub fn received(&self, start: &str) -> Vec<Received> {
        let received = self.received.lock().unwrap();
        received.iter().filter(|r| r.line.starts_with(start)).cloned().collect()
    }
}

fn serve(stream: TcpStream, log: &Mutex<Vec<Received>>, act: &dyn Fn(&Received) -> Action) {
    let mut reader = BufReader::new(stream);
    while let Some(received) = read(&mut reader) {
        log.lock().unwrap().push(received.clone());
        let is_sent = match act(&received) {
            Action::Answer(status, headers, body) => {
                let length = body.len();
                let head = format!(
                    "HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\n{headers}\r\n"
                );
                reader.get_mut().write_all(&[head.as_bytes(), &body].concat()).is_ok()
            }
            Action::Close => false,
            Action::Endless(start) => {
                let mut sent = reader.get_mut().write_all(start.as_bytes());
                while sent.is_ok() {
                    sent = reader.get_mut().write_all(&[b' '; 64 * 1024]);
                }
                false
            }
        };
        if !is_sent {
            return;
        }
    }
}

fn read(reader: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let (mut ticket, mut length) = (String::new(), 0);
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        match header.trim().split_once(": ") {
            None => break,
            Some(("content-length", value)) => length = value.parse().unwrap(),
            Some(("pollenshed-ticket", value)) => ticket = value.to_owned(),
            Some(_) => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let line = line.trim().trim_end_matches(" HTTP/1.1").to_owned();
    Some(Received { line, ticket, body })
}

/// Returns an address that refuses connections.
pub fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Returns a lookup answer that lists `entries`.
pub fn lookup_answer(entries: &[SocketAddr], ttl_ms: u64) -> Action {
    let entries: Vec<String> = entries
        .iter()
        .map(|a| format!(r#"{{"instance":"i","failure_domain":"d","address":"{a}"}}"#))
        .collect();
    let binding = "i.0000000000000001.5";
    let body = format!(
        r#"{{"service":"s","ttl_ms":{ttl_ms},"binding":"{binding}","entries":[{}]}}"#,
        entries.join(",")
    );
    Action::Answer(200, String::new(), body.into_bytes())
}

/// Returns the answer of a backend server with this body.
pub fn done(body: &str) -> Action {
    Action::Answer(200, "pollenshed-outcome: done\r\n".to_owned(), body.as_bytes().to_vec())
}

/// Refuses a request with this status, outcome and reason.
pub fn refused(status: u16, outcome: &str, reason: &str) -> Action {
    let headers = format!("pollenshed-outcome: {outcome}\r\npollenshed-reason: {reason}\r\n");
    Action::Answer(status, headers, Vec::new())
}

/// Returns options with a short deadline and backoff, so that tests end quickly.
pub fn options() -> Options {
    Options {
        deadline: Duration::from_secs(5),
        initial_backoff: Duration::from_millis(1),
        max_backoff: Duration::from_millis(5),
        ..Options::default()
    }
}
