//! Answers that are given without reading a request, and the orderly end of a connection.

use std::{sync::Arc, time::Duration};

use hyper::{
    Response, StatusCode,
    header::{CONNECTION, HeaderValue},
};
use pollenshed_protocol::caller::{OUTCOME_HEADER, REASON_HEADER};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Semaphore,
};

use super::ResponseBody;

/// Refused connections that are being ended at the same time; more are dropped at once.
const MAX_REFUSING: usize = 64;

/// Longest time in which an ended connection is still read.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Most bytes that are still read from an ended connection.
const LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Answer to a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    retry-after: 1\r\npollenshed-outcome: not-run\r\npollenshed-reason: too-many-connections\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Answer to a head that did not arrive in time.
pub(super) const HEAD_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    pollenshed-outcome: not-run\r\npollenshed-reason: head-timeout\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Answer to a request that gives two lengths for its body.
pub(super) fn conflicting_lengths() -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::default());
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    let headers = answer.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    headers.insert(REASON_HEADER, HeaderValue::from_static("conflicting-lengths"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// Refuses connections beyond the limit.
pub(super) struct Refuser(Arc<Semaphore>);

impl Default for Refuser {
    fn default() -> Refuser {
        Refuser(Arc::new(Semaphore::new(MAX_REFUSING)))
    }
}

impl Refuser {
    /// Answers 503 and closes; closes without an answer when too many are being refused.
    pub fn refuse(&self, stream: TcpStream) {
        if let Ok(permit) = self.0.clone().try_acquire_owned() {
            tokio::spawn(async move {
                answer_and_end(stream, TOO_MANY_CONNECTIONS).await;
                drop(permit);
            });
        }
    }
}

/// Writes a fixed answer and ends the connection.
pub(super) async fn answer_and_end(mut stream: TcpStream, answer: &'static [u8]) {
    let _ = tokio::time::timeout(LINGER_TIME, stream.write_all(answer)).await;
    end(stream).await;
}

/// Ends a connection so that the caller can still read its answer.
///
/// Closing a socket with unread bytes resets the connection, and a reset discards what the caller
/// has not read yet, so the rest is read for a while.
pub(super) async fn end(mut stream: TcpStream) {
    let _ = tokio::time::timeout(LINGER_TIME, async {
        stream.shutdown().await?;
        let mut buffer = vec![0; 16 * 1024];
        let mut left = LINGER_BYTES;
        while left > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                read => left = left.saturating_sub(read),
            }
        }
        Ok::<_, std::io::Error>(())
    })
    .await;
}
