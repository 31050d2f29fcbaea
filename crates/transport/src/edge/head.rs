//! Detects request heads that give two lengths for one body.
//!
//! A request with both `content-length` and `transfer-encoding` may be request smuggling: an
//! attempt to make two servers see different requests. `hyper` removes the length before the
//! handler sees the request, so the bytes of the head are scanned as they arrive.

/// Bytes kept from the start of a line; enough for the longest header name that is searched for.
const MAX_PREFIX_BYTES: usize = 20;

/// What the lines of a head say about its body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Framing {
    has_request_line: bool,
    has_length: bool,
    has_encoding: bool,
    complete: bool,
}

impl Framing {
    /// Returns whether the complete head was scanned and has a `transfer-encoding` and no
    /// `content-length`.
    ///
    /// Heads that were pipelined behind another request are not scanned, so they never count as
    /// encoded only.
    pub fn is_encoded_only(&self) -> bool {
        self.complete && self.has_request_line && self.has_encoding && !self.has_length
    }
}

/// Scans a head line by line as its bytes arrive.
#[derive(Default)]
pub(super) struct HeadScan {
    framing: Framing,
    lines: u64,
    prefix: Vec<u8>,
    suffix: [u8; 9],
    line_bytes: usize,
}

impl HeadScan {
    /// Returns the result for this head and resets the scan for the next one.
    pub fn take(&mut self) -> Framing {
        std::mem::take(self).framing
    }

    /// Scans bytes as they arrive. Bytes after the end of the head are ignored.
    pub fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.framing.complete {
                return;
            }
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ => self.push(byte.to_ascii_lowercase()),
            }
        }
    }

    fn push(&mut self, byte: u8) {
        if self.prefix.len() < MAX_PREFIX_BYTES {
            self.prefix.push(byte);
        }
        self.suffix.rotate_left(1);
        self.suffix[8] = byte;
        self.line_bytes += 1;
    }

    fn end_line(&mut self) {
        if self.line_bytes == 0 {
            // RFC 9112, section 2.2, allows empty lines before the request line.
            self.framing.complete = self.lines > 0;
            return;
        }
        if self.lines == 0 {
            self.framing.has_request_line = self.suffix.starts_with(b" http/1.");
        }
        self.framing.has_length |= self.prefix.starts_with(b"content-length:");
        self.framing.has_encoding |= self.prefix.starts_with(b"transfer-encoding:");
        self.lines += 1;
        self.line_bytes = 0;
        self.prefix.clear();
    }
}
