//! Answers as they came, for tests of answers that may be broken off.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use super::{Instance, WAIT_TIMEOUT};

/// What a caller got from a connection that ended.
pub struct Received {
    /// Head and body as they came.
    pub bytes: Vec<u8>,
    /// Whether the connection ended with a reset.
    pub was_reset: bool,
}

impl Received {
    /// Reads until the connection ends.
    pub fn read_from(stream: &mut TcpStream) -> Received {
        let mut bytes = Vec::new();
        let was_reset = stream.read_to_end(&mut bytes).is_err();
        Received { bytes, was_reset }
    }

    /// Sends a request on a new connection and reads until the connection ends.
    pub fn call(instance: &Instance, text: &str) -> Received {
        let mut stream = TcpStream::connect(instance.callers()).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let text = text.replacen("\r\n", "\r\nConnection: close\r\n", 1);
        stream.write_all(text.as_bytes()).unwrap();
        Received::read_from(&mut stream)
    }

    /// Returns the status, if a head came.
    pub fn status(&self) -> Option<u16> {
        let head = self.bytes.get(..64.min(self.bytes.len()))?;
        String::from_utf8_lossy(head).split(' ').nth(1)?.parse().ok()
    }

    /// Returns the body if the answer looks complete to the caller.
    pub fn complete_body(&self) -> Option<Vec<u8>> {
        let end = self.bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.bytes[..end]).to_lowercase();
        let body = &self.bytes[end + 4..];
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if let Some(length) = length {
            return (length.parse() == Ok(body.len())).then(|| body.to_vec());
        }
        if !head.contains("transfer-encoding: chunked") {
            return (!self.was_reset).then(|| body.to_vec());
        }
        let mut rest = body;
        let mut whole = Vec::new();
        loop {
            let line = rest.windows(2).position(|two| two == b"\r\n")?;
            let size = std::str::from_utf8(&rest[..line]).ok()?;
            let size = usize::from_str_radix(size, 16).ok()?;
            if size == 0 {
                return Some(whole);
            }
            whole.extend_from_slice(rest.get(line + 2..line + 2 + size)?);
            rest = rest.get(line + 4 + size..)?;
        }
    }
}
