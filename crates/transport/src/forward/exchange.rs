//! One request and its response on a leased connection.

use std::{
    fmt, io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use pollenshed_coordination::steering::BodyKind;

use super::{
    held::{AnswerHold, HeldAnswer, HeldBody},
    pool::Lease,
};

/// Responses up to this size are read completely before they are forwarded, so that an incomplete
/// one can be replaced by an error response.
const BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Body of a request to a backend server.
pub enum RequestBody {
    /// A body that was read completely, or none.
    Whole(Option<Bytes>),
    /// A body that is forwarded as it arrives.
    Streamed {
        /// Start of the body, which was read already.
        first: Option<Bytes>,
        /// Remainder of the body.
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
            RequestBody::Streamed { first, rest } => poll_first_then_rest(first, rest, cx),
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
            RequestBody::Streamed { first, rest } => joined_size_hint(first.as_ref(), rest),
        }
    }
}

/// Why an exchange has no complete response.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection was closed before any byte of the request was sent.
    NotSent,
    /// The connection was lost before the response was complete. The request may have run.
    BrokenOff(String),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::NotSent => {
                f.write_str("the connection was closed before the request was sent")
            }
            ExchangeError::BrokenOff(e) => write!(f, "the response is incomplete: {e}"),
        }
    }
}

impl std::error::Error for ExchangeError {}

/// Head of a response whose body has not been read.
pub struct BackendResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers, including hop-by-hop ones.
    pub headers: HeaderMap,
    body: Incoming,
    lease: Lease,
}

/// Sends a request and waits for the head of its response. Dropping the future closes the
/// connection, which cancels the request.
pub async fn exchange(
    mut lease: Lease,
    mut request: Request<RequestBody>,
) -> Result<BackendResponse, ExchangeError> {
    lease.connection.interim.observe(&mut request);
    match lease.connection.sender.try_send_request(request).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            Ok(BackendResponse { status: head.status, headers: head.headers, body, lease })
        }
        Err(mut e) => match e.take_message() {
            Some(_) => Err(ExchangeError::NotSent),
            None => Err(ExchangeError::BrokenOff(e.into_error().to_string())),
        },
    }
}

impl BackendResponse {
    /// Returns whether no other request was sent on the connection before, so that the response
    /// cannot be a late copy of an earlier one.
    pub fn is_first_on_connection(&self) -> bool {
        self.lease.is_first_request()
    }

    /// Reads the body completely if it has at most 256 KiB; otherwise, or without memory for that,
    /// the rest is read as fast as memory allows while the caller takes the beginning. Both end at
    /// the deadline of `hold`: a body without end, or a caller that has stopped reading, would
    /// occupy memory and the connection for good otherwise.
    ///
    /// `keep_alive` is `None` to close the connection afterwards, or else the idle timeout that the
    /// server advertises, if any.
    pub async fn read(
        mut self,
        keep_alive: Option<Option<Duration>>,
        hold: AnswerHold,
    ) -> Result<ResponseBody, ExchangeError> {
        let mut answer = HeldAnswer::new(hold.bodies.share(BodyKind::Answer, hold.connection));
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|e| ExchangeError::BrokenOff(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            answer.push(&data, self.body.size_hint().lower());
            if answer.total_bytes() > BUFFERED_RESPONSE_BYTES || !answer.reads_on() {
                let body = HeldBody::open(answer, self.body, self.lease, keep_alive, hold);
                return Ok(ResponseBody::Held(body));
            }
        }
        // A connection must not carry another request while its request body is still being sent.
        self.lease.release_if_idle(keep_alive).await;
        if let Some(mut on_read) = hold.on_read {
            on_read.record_read(answer.total_bytes());
        }
        answer.set_complete();
        // A single piece goes to the kernel at once.
        Ok(match answer.take_single() {
            Some(piece) => ResponseBody::Whole(Some(piece)),
            None => ResponseBody::Held(HeldBody::complete(answer, hold.deadline)),
        })
    }
}

/// Body of a response to a caller.
pub enum ResponseBody {
    /// A body that was read completely, or none.
    Whole(Option<Bytes>),
    /// A body in memory, of which more may still come.
    Held(HeldBody),
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
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            ResponseBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Held(body) => {
                body.poll_data(cx).map(|polled| polled.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(bytes) => bytes.is_none(),
            ResponseBody::Held(body) => body.is_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Held(body) => {
                body.left_bytes().map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// Yields `first`, then the frames of `rest`.
fn poll_first_then_rest(
    first: &mut Option<Bytes>,
    rest: &mut Incoming,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
    match first.take() {
        Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
        None => Pin::new(rest).poll_frame(cx),
    }
}

fn joined_size_hint(first: Option<&Bytes>, rest: &Incoming) -> SizeHint {
    let first = first.map_or(0, |b| b.len() as u64);
    rest.size_hint().exact().map_or_else(SizeHint::default, |e| SizeHint::with_exact(e + first))
}
