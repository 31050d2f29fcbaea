//! Finds where a request ends in the bytes of a caller.
//!
//! Heads are parsed with `httparse`, as in `hyper`. A request whose end could be understood in two
//! ways, or that changes how the connection goes on, counts as [`Head::Unusual`]: its connection is
//! left to `hyper` from there on.

use std::mem::MaybeUninit;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Uri, Version, header};

/// Maximum number of header fields, the default of `hyper`.
const MAX_HEADERS: usize = 100;

/// Method, target and host of a request: what determines its route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget {
    /// Method of the request.
    pub method: Method,
    /// Target of the request.
    pub uri: Uri,
    /// Value of the `Host` header.
    pub host: Option<HeaderValue>,
}

/// Body of a request, as far as it has not been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Number of bytes that are left. 0 also stands for a request without a body.
    Length(u64),
    /// A chunked body.
    Chunked(ChunkState),
}

/// Result of parsing the start of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Head {
    /// More bytes are needed.
    Partial,
    /// The head ends after `len` bytes and is followed by a body of this framing.
    Complete {
        /// Length of the head in bytes.
        len: usize,
        /// Framing of the body.
        framing: Framing,
    },
    /// The request is malformed, or its connection can't be split safely.
    Unusual,
}

/// Parses the head of a request.
pub fn parse_head(bytes: &[u8]) -> Head {
    let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut []);
    let len = match request.parse_with_uninit_headers(bytes, &mut headers) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Head::Partial,
        Err(_) => return Head::Unusual,
    };
    if request.version != Some(1) || request.method == Some("CONNECT") {
        return Head::Unusual;
    }
    let mut framing = None;
    for header in request.headers.iter() {
        let name = header.name;
        let found = if name.eq_ignore_ascii_case("content-length") {
            parse_length(header.value).map(Framing::Length)
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            let is_chunked = header.value.eq_ignore_ascii_case(b"chunked");
            is_chunked.then_some(Framing::Chunked(ChunkState::START))
        } else if ["connection", "upgrade", "expect"].iter().any(|n| name.eq_ignore_ascii_case(n)) {
            if name.eq_ignore_ascii_case("connection")
                && header.value.eq_ignore_ascii_case(b"keep-alive")
            {
                continue;
            }
            None
        } else {
            continue;
        };
        // A second statement of the length is left to `hyper`, even if both are the same.
        match found {
            Some(found) if framing.is_none() => framing = Some(found),
            _ => return Head::Unusual,
        }
    }
    Head::Complete { len, framing: framing.unwrap_or(Framing::Length(0)) }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Returns whether `bytes` are the head of a `GET` or `HEAD` request and nothing else, so that
/// `hyper` may have them at once. What it parses then tells the framing; see [`parsed_framing`].
pub fn is_plain_head(bytes: &[u8]) -> bool {
    if !bytes.starts_with(b"GET ") && !bytes.starts_with(b"HEAD ") {
        return false;
    }
    let end = memchr::memchr_iter(b'\n', bytes)
        .map(|at| &bytes[at + 1..])
        .find(|rest| rest.starts_with(b"\n") || rest.starts_with(b"\r\n"));
    end.is_some_and(|end| end == b"\n" || end == b"\r\n")
}

/// Returns the framing of a request that `hyper` has parsed after [`is_plain_head`], or `None` if
/// its connection can't be split safely.
pub fn parsed_framing<B>(request: &Request<B>) -> Option<Framing> {
    if request.version() != Version::HTTP_11 {
        return None;
    }
    let mut framing = Framing::Length(0);
    for (name, value) in request.headers() {
        match *name {
            header::TRANSFER_ENCODING | header::UPGRADE | header::EXPECT => return None,
            header::CONNECTION if !value.as_bytes().eq_ignore_ascii_case(b"keep-alive") => {
                return None;
            }
            header::CONTENT_LENGTH => framing = Framing::Length(parse_length(value.as_bytes())?),
            _ => {}
        }
    }
    Some(framing)
}

/// Returns method, target and host of a request whose head is complete.
pub fn parse_target(bytes: &[u8]) -> Option<RequestTarget> {
    let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut []);
    request.parse_with_uninit_headers(bytes, &mut headers).ok()?;
    let host = request.headers.iter().find(|header| header.name.eq_ignore_ascii_case("host"));
    let host = match host {
        Some(header) => Some(HeaderValue::from_bytes(header.value).ok()?),
        None => None,
    };
    Some(RequestTarget {
        method: request.method?.parse().ok()?,
        uri: Uri::from_maybe_shared(Bytes::copy_from_slice(request.path?.as_bytes())).ok()?,
        host,
    })
}

/// Returns whether the blank line that ends a head may lie in `bytes`, of which the first
/// `searched` had none. Spares parsing a head again for each piece of it.
pub fn may_end(bytes: &[u8], searched: usize) -> bool {
    let rest = &bytes[searched.saturating_sub(3)..];
    rest.windows(2).any(|w| w == b"\n\n") || rest.windows(3).any(|w| w == b"\n\r\n")
}

/// Malformed chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedChunk;

/// Position in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkState {
    /// In the line with the size of a chunk.
    Size {
        /// Size in bytes, from the digits read.
        bytes: u64,
        /// Number of digits read.
        digits: u8,
        /// Whether the size is complete and an extension or blanks follow.
        is_complete: bool,
    },
    /// Behind the carriage return of such a line.
    SizeEnd(u64),
    /// In the data of a chunk, of which this number of bytes is left.
    Data(u64),
    /// Behind the data of a chunk.
    DataEnd,
    /// Behind the carriage return after the data.
    DataLineFeed,
    /// At the start of a line after the last chunk.
    TrailerStart,
    /// In a trailer field.
    Trailer,
    /// Behind the carriage return of a trailer field.
    TrailerEnd,
    /// Behind the carriage return of the last line.
    LastLineFeed,
}

impl ChunkState {
    /// State at the start of a body.
    pub const START: ChunkState = ChunkState::Size { bytes: 0, digits: 0, is_complete: false };

    /// Reads `bytes`. Returns how many belong to the body, and the state behind them, which is
    /// `None` at the end of the body.
    pub fn advance(self, bytes: &[u8]) -> Result<(usize, Option<ChunkState>), MalformedChunk> {
        let mut state = self;
        let mut at = 0;
        while at < bytes.len() {
            if let ChunkState::Data(left) = state {
                let taken = left.min((bytes.len() - at) as u64);
                at += taken as usize;
                let left = left - taken;
                state = if left == 0 { ChunkState::DataEnd } else { ChunkState::Data(left) };
                continue;
            }
            at += 1;
            match state.step(bytes[at - 1])? {
                Some(next) => state = next,
                None => return Ok((at, None)),
            }
        }
        Ok((at, Some(state)))
    }

    fn step(self, byte: u8) -> Result<Option<ChunkState>, MalformedChunk> {
        let next = match (self, byte) {
            (ChunkState::Size { bytes, digits: 1.., .. }, b'\r') => ChunkState::SizeEnd(bytes),
            (ChunkState::Size { .. }, b'\n') => return Err(MalformedChunk),
            (ChunkState::Size { is_complete: true, .. }, _) => self,
            (ChunkState::Size { bytes, digits: 1.., .. }, b';' | b' ' | b'\t') => {
                ChunkState::Size { bytes, digits: 1, is_complete: true }
            }
            (ChunkState::Size { bytes, digits, .. }, _) => {
                let digit = char::from(byte).to_digit(16).ok_or(MalformedChunk)?;
                let bytes = bytes.checked_mul(16).ok_or(MalformedChunk)? + u64::from(digit);
                let digits = digits.checked_add(1).ok_or(MalformedChunk)?;
                ChunkState::Size { bytes, digits, is_complete: false }
            }
            (ChunkState::SizeEnd(0), b'\n') => ChunkState::TrailerStart,
            (ChunkState::SizeEnd(bytes), b'\n') => ChunkState::Data(bytes),
            (ChunkState::DataEnd, b'\r') => ChunkState::DataLineFeed,
            (ChunkState::DataLineFeed, b'\n') => ChunkState::START,
            (ChunkState::TrailerStart, b'\r') => ChunkState::LastLineFeed,
            (ChunkState::LastLineFeed, b'\n') => return Ok(None),
            (ChunkState::Trailer, b'\r') => ChunkState::TrailerEnd,
            (ChunkState::TrailerEnd, b'\n') => ChunkState::TrailerStart,
            (ChunkState::TrailerStart | ChunkState::Trailer, b) if b != b'\n' => {
                ChunkState::Trailer
            }
            _ => return Err(MalformedChunk),
        };
        Ok(Some(next))
    }
}
