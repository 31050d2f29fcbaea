//! A mock instance that answers every request of an operator with a given status.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use serde_json::{Value, json};

/// A running mock instance. Its thread ends with the test process.
pub struct Instance {
    /// Address of its operators' interface.
    pub address: SocketAddr,
    status: Arc<Mutex<Value>>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Instance {
    /// Starts a mock instance called `name` with `version` in force. Its status lists `members`
    /// with their versions.
    pub fn bind(name: &str, version: u64, members: &[(&str, u64)]) -> Instance {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let status = Arc::new(Mutex::new(status(name, version, members)));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (shared, log) = (status.clone(), requests.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                log.lock().unwrap().extend(answer(stream, &shared.lock().unwrap()));
            }
        });
        Instance { address, status, requests }
    }

    /// Sets one field of the status.
    pub fn set(&self, field: &str, value: Value) {
        self.status.lock().unwrap()[field] = value;
    }

    /// Returns the request lines that were received so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

fn status(name: &str, version: u64, members: &[(&str, u64)]) -> Value {
    let member = |(name, version): &(&str, u64)| {
        json!({
            "instance": name,
            "failure_domain": "palermo-a",
            "state": "alive",
            "config_version": version,
            "peer_address": "127.0.0.1:1",
        })
    };
    json!({
        "instance": name,
        "failure_domain": "palermo-a",
        "incarnation": "0000000000000001",
        "leaving": false,
        "config_version": version,
        "config_digest": format!("digest-{version}"),
        "members": members.iter().map(member).collect::<Vec<_>>(),
        "owned_backend_servers": [],
        "dropped_log_lines": 0,
    })
}

fn answer(mut stream: TcpStream, status: &Value) -> Option<String> {
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let request_line = lines.next()?.ok()?;
    // An empty line ends the head.
    lines.by_ref().map_while(Result::ok).find(|line| line.is_empty());
    let body = status.to_string();
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    Some(request_line)
}
