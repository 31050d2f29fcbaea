//! Bodies of callers' requests.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{Body, Incoming},
};

use super::limits::{Budget, Hold};

/// The body of a caller's request, which has not arrived yet.
pub struct RequestBody {
    incoming: Incoming,
    pause_timeout: Duration,
    budget: Budget,
}

/// Why a body was not read. None of it has been passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than allowed.
    TooLarge {
        /// The limit.
        limit: u64,
    },
    /// The caller paused for too long.
    PauseTimeout,
    /// The body ended before its announced length, or its chunks are malformed.
    Incomplete,
    /// The instance holds too many bodies in memory.
    BufferFull,
}

impl BodyError {
    /// Returns the status that tells a caller about the error.
    pub fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::PauseTimeout => StatusCode::REQUEST_TIMEOUT,
            BodyError::Incomplete => StatusCode::BAD_REQUEST,
            BodyError::BufferFull => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the reason word of `docs/callers.md`.
    pub fn reason(&self) -> &'static str {
        match self {
            BodyError::TooLarge { .. } => "body-too-large",
            BodyError::PauseTimeout => "body-timeout",
            BodyError::Incomplete => "body-incomplete",
            BodyError::BufferFull => "no-buffer",
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge { limit } => {
                write!(f, "the body is larger than {limit} bytes; use an upload in parts")
            }
            BodyError::PauseTimeout => f.write_str("the body paused for too long"),
            BodyError::Incomplete => {
                f.write_str("the body ended before its announced length or is malformed")
            }
            BodyError::BufferFull => f.write_str("the instance holds too many bodies in memory"),
        }
    }
}

impl std::error::Error for BodyError {}

/// A whole body together with its share of the budget, which ends when the last use of the body is
/// dropped.
struct Buffered {
    bytes: Vec<u8>,
    _hold: Hold,
}

impl AsRef<[u8]> for Buffered {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl RequestBody {
    pub(super) fn new(incoming: Incoming, pause_timeout: Duration, budget: Budget) -> RequestBody {
        RequestBody { incoming, pause_timeout, budget }
    }

    /// Returns the length that the caller announced.
    pub fn content_length_bytes(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Reads the whole body into memory, at most `limit` bytes. The bytes count against the
    /// interface's budget until the returned value and its clones are dropped.
    pub async fn read_whole(mut self, limit: u64) -> Result<Bytes, BodyError> {
        if self.content_length_bytes().is_some_and(|n| n > limit) {
            return Err(BodyError::TooLarge { limit });
        }
        let mut hold = self.budget.hold();
        // The announced length is allocated at once, since growing would copy and hold twice as much.
        // Memory is used only as bytes arrive.
        let announced = usize::try_from(self.content_length_bytes().unwrap_or(0)).unwrap_or(0);
        let mut bytes = Vec::with_capacity(announced);
        while let Some(piece) = self.next_piece().await? {
            // Only bytes that have arrived are counted, so that an announced length alone can't
            // use up the budget.
            if bytes.len() as u64 + piece.len() as u64 > limit {
                return Err(BodyError::TooLarge { limit });
            }
            if !hold.grow(piece.len() as u64) {
                return Err(BodyError::BufferFull);
            }
            bytes.extend_from_slice(&piece);
        }
        Ok(Bytes::from_owner(Buffered { bytes, _hold: hold }))
    }

    /// Returns the next piece of the body, or nothing at its end.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let frame = tokio::time::timeout(self.pause_timeout, self.incoming.frame());
            match frame.await {
                Err(_) => return Err(BodyError::PauseTimeout),
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(BodyError::Incomplete),
                // Frames without data are trailers, which nobody uses.
                Ok(Some(Ok(frame))) => {
                    if let Ok(piece) = frame.into_data() {
                        return Ok(Some(piece));
                    }
                }
            }
        }
    }
}
