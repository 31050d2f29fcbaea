//! An instance that answers operators with a fixed status.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use serde_json::{Value, json};

/// A running answerer. Its thread ends with the process.
pub struct Instance {
    /// Operators' address.
    pub address: SocketAddr,
    status: Arc<Mutex<Value>>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Instance {
    /// Answers as `name`, which obeys `version` and sees `members` with their versions.
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

    /// Changes one field of the status.
    pub fn set(&self, field: &str, value: Value) {
        self.status.lock().unwrap()[field] = value;
    }

    /// Returns the request lines so far.
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
    let first = lines.next()?.ok()?;
    // The head ends with an empty line.
    lines.by_ref().map_while(Result::ok).find(|line| line.is_empty());
    let body = status.to_string();
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    Some(first)
}
