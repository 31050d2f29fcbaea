//! Looks for heads that give two lengths for one body.
//!
//! A request with both `content-length` and `transfer-encoding` is a sign of an attempt to make two
//! parties see different requests. `hyper` drops the length before the request can be seen, so the
//! bytes of the head are looked at while they arrive.

/// Bytes of a line that are kept; enough for the longest name that is looked for.
const KEPT_BYTES: usize = 20;

/// What the lines of a head say about its body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Framing {
    has_request_line: bool,
    has_length: bool,
    has_encoding: bool,
    whole: bool,
}

impl Framing {
    /// Tells whether the whole head was seen and gives an encoding and no length.
    ///
    /// Heads that were pipelined behind another request are not seen, so an encoding in one of them
    /// is not trusted either.
    pub fn is_encoded_only(&self) -> bool {
        self.whole && self.has_request_line && self.has_encoding && !self.has_length
    }
}

/// Reads a head line by line as its bytes arrive.
#[derive(Default)]
pub(super) struct HeadScan {
    framing: Framing,
    lines: u64,
    start: Vec<u8>,
    end: [u8; 9],
    line_bytes: usize,
}

impl HeadScan {
    /// Returns what was seen and starts with the next head.
    pub fn take(&mut self) -> Framing {
        std::mem::take(self).framing
    }

    /// Looks at bytes that arrived. Bytes after the end of the head are ignored.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.framing.whole {
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
        if self.start.len() < KEPT_BYTES {
            self.start.push(byte);
        }
        self.end.rotate_left(1);
        self.end[8] = byte;
        self.line_bytes += 1;
    }

    fn end_line(&mut self) {
        if self.line_bytes == 0 {
            // Empty lines before the request line are allowed by RFC 9112, section 2.2.
            self.framing.whole = self.lines > 0;
            return;
        }
        if self.lines == 0 {
            self.framing.has_request_line = self.end.starts_with(b" http/1.");
        }
        self.framing.has_length |= self.start.starts_with(b"content-length:");
        self.framing.has_encoding |= self.start.starts_with(b"transfer-encoding:");
        self.lines += 1;
        self.line_bytes = 0;
        self.start.clear();
    }
}
