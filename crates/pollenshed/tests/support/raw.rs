//! HTTP/1.1 over one connection, for tests that pipeline requests.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A caller's connection, on which requests may be sent before earlier answers are read.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

/// The parts of an answer that tests check.
pub struct Answer {
    /// Status line.
    pub status: String,
    /// Value of `pollenshed-outcome`.
    pub outcome: String,
    /// Body of exactly the announced length.
    pub body: String,
}

impl Connection {
    /// Connects to an entry.
    pub fn open(entry: SocketAddr) -> Connection {
        let stream = TcpStream::connect(entry).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Connection { reader: BufReader::new(stream) }
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next answer.
    pub fn read(&mut self) -> Answer {
        let status = self.line();
        let (mut outcome, mut length) = (String::new(), 0);
        loop {
            let line = self.line();
            let Some((name, value)) = line.split_once(": ") else { break };
            match name {
                "pollenshed-outcome" => outcome = value.to_owned(),
                "content-length" => length = value.parse().unwrap(),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).unwrap();
        Answer { status, outcome, body: String::from_utf8(body).unwrap() }
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line.trim_end().to_owned()
    }
}
