//! One request and its answer on a leased connection.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::pool::Lease;

/// Answers up to this size are read whole before they are passed on, so that one that breaks off
/// can be replaced by a clear failure.
const WHOLE_ANSWER_BYTES: usize = 256 * 1024;

/// Body of a request to a backend server.
pub enum RequestBody {
    /// A body that was read whole, or none.
    Whole(Option<Bytes>),
    /// A body that is passed on as it arrives.
    Streamed {
        /// What was read before.
        first: Option<Bytes>,
        /// What follows.
        rest: Incoming,
    },
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            RequestBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            RequestBody::Streamed { first, rest } => poll_joined(first, rest, cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Whole(bytes) => bytes.is_none(),
            RequestBody::Streamed { first, rest } => first.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            RequestBody::Streamed { first, rest } => joined(first.as_ref(), rest),
        }
    }
}

/// Why an exchange has no whole answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection had ended before any byte of the request was sent.
    NotSent,
    /// The connection ended without a whole answer. The request may have run.
    BrokenOff(String),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::NotSent => f.write_str("the connection had ended"),
            ExchangeError::BrokenOff(e) => write!(f, "the answer broke off: {e}"),
        }
    }
}

impl std::error::Error for ExchangeError {}

/// Head of an answer whose body was not read yet.
pub struct BackendResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers as the server sent them.
    pub headers: HeaderMap,
    body: Incoming,
    lease: Lease,
}

/// Sends a request and waits for the head of its answer. Dropping the future closes the
/// connection, which cancels the request.
pub async fn exchange(
    mut lease: Lease,
    request: Request<RequestBody>,
) -> Result<BackendResponse, ExchangeError> {
    match lease.connection.sender.try_send_request(request).await {
        Ok(answer) => {
            let (head, body) = answer.into_parts();
            Ok(BackendResponse { status: head.status, headers: head.headers, body, lease })
        }
        Err(mut e) => match e.take_message() {
            Some(_) => Err(ExchangeError::NotSent),
            None => Err(ExchangeError::BrokenOff(e.into_error().to_string())),
        },
    }
}

impl BackendResponse {
    /// Reads the body, whole if it is not too large. `keeps` tells for how long the connection may
    /// be idle, if the server says so; `None` closes it.
    pub async fn read(
        mut self,
        keeps: Option<Option<Duration>>,
    ) -> Result<ResponseBody, ExchangeError> {
        let mut whole = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|e| ExchangeError::BrokenOff(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            whole.extend_from_slice(&data);
            if whole.len() > WHOLE_ANSWER_BYTES {
                return Ok(ResponseBody::Streamed {
                    first: Some(whole.freeze()),
                    rest: self.body,
                    _lease: Box::new(self.lease),
                });
            }
        }
        // A connection whose request body is still being sent must not carry another request.
        if let Some(keeps) = keeps {
            tokio::task::yield_now().await;
            if self.lease.connection.sender.is_ready() {
                self.lease.release(keeps);
            }
        }
        Ok(ResponseBody::Whole(Some(whole.freeze())))
    }
}

/// Body of an answer.
pub enum ResponseBody {
    /// Read whole.
    Whole(Option<Bytes>),
    /// Passed on as it arrives. The connection is closed at its end.
    Streamed {
        /// What was read before.
        first: Option<Bytes>,
        /// What follows.
        rest: Incoming,
        /// Keeps the connection open.
        _lease: Box<Lease>,
    },
}

impl ResponseBody {
    /// Returns an empty body.
    pub fn empty() -> ResponseBody {
        ResponseBody::Whole(None)
    }
}

impl From<&str> for ResponseBody {
    fn from(text: &str) -> ResponseBody {
        ResponseBody::Whole(Some(Bytes::copy_from_slice(text.as_bytes())))
    }
}

impl From<String> for ResponseBody {
    fn from(text: String) -> ResponseBody {
        ResponseBody::Whole(Some(Bytes::from(text)))
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> ResponseBody {
        ResponseBody::Whole(Some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            ResponseBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Streamed { first, rest, .. } => poll_joined(first, rest, cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(bytes) => bytes.is_none(),
            ResponseBody::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Streamed { first, rest, .. } => joined(first.as_ref(), rest),
        }
    }
}

/// Returns what was read before, and then what follows.
fn poll_joined(
    first: &mut Option<Bytes>,
    rest: &mut Incoming,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
    match first.take() {
        Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
        None => Pin::new(rest).poll_frame(cx),
    }
}

fn joined(first: Option<&Bytes>, rest: &Incoming) -> SizeHint {
    let first = first.map_or(0, |b| b.len() as u64);
    rest.size_hint().exact().map_or_else(SizeHint::default, |e| SizeHint::with_exact(e + first))
}
