//! Reads the bodies of callers' requests within limits on size, time and memory.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{Body, Incoming},
};

use super::limits::{Budget, Reservation};

/// The body of a caller's request. Nothing of it has been read yet.
pub struct RequestBody {
    incoming: Incoming,
    pause_timeout: Duration,
    budget: Budget,
}

/// Why a body could not be read. None of it has been forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge {
        /// The limit in bytes.
        limit: u64,
    },
    /// The caller sent nothing for longer than the body pause timeout.
    PauseTimeout,
    /// The body ended before its `content-length`, or its chunked encoding is malformed.
    Incomplete,
    /// The budget for buffered bodies has no room for this one.
    BufferFull,
}

impl BodyError {
    /// Returns the HTTP status for a response to the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::PauseTimeout => StatusCode::REQUEST_TIMEOUT,
            BodyError::Incomplete => StatusCode::BAD_REQUEST,
            BodyError::BufferFull => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the value of the `pollenshed-reason` header, as listed in `docs/callers.md`.
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

/// A complete body and its reservation, which is released when the last clone of the body is
/// dropped.
struct BufferedBody {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl RequestBody {
    pub(super) fn new(incoming: Incoming, pause_timeout: Duration, budget: Budget) -> RequestBody {
        RequestBody { incoming, pause_timeout, budget }
    }

    /// Returns the `content-length`; `None` for a chunked body.
    pub fn content_length_bytes(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Reads the complete body into memory, at most `limit` bytes. The bytes count against the
    /// interface's budget until the returned value and its clones are dropped.
    pub async fn read_whole(mut self, limit: u64) -> Result<Bytes, BodyError> {
        if self.content_length_bytes().is_some_and(|n| n > limit) {
            return Err(BodyError::TooLarge { limit });
        }
        let mut reservation = self.budget.reservation();
        // The full length is allocated at once, since growing the buffer would copy it and hold
        // twice as much. The system provides memory only as bytes arrive.
        let capacity = usize::try_from(self.content_length_bytes().unwrap_or(0)).unwrap_or(0);
        let mut bytes = Vec::with_capacity(capacity);
        while let Some(data) = self.next_data().await? {
            // Only bytes that have arrived are counted, so that a large `content-length` alone
            // can't use up the budget.
            if bytes.len() as u64 + data.len() as u64 > limit {
                return Err(BodyError::TooLarge { limit });
            }
            if !reservation.reserve(data.len() as u64) {
                return Err(BodyError::BufferFull);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Bytes::from_owner(BufferedBody { bytes, _reservation: reservation }))
    }

    /// Returns the next data of the body, or `None` at its end.
    async fn next_data(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let frame = tokio::time::timeout(self.pause_timeout, self.incoming.frame());
            match frame.await {
                Err(_) => return Err(BodyError::PauseTimeout),
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(BodyError::Incomplete),
                // Frames without data are trailers, which are ignored.
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}
