//! Fixed error responses, and closing a connection without a reset.

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

/// Refused connections that are being closed at the same time; further ones are dropped at once.
const MAX_REFUSALS: usize = 64;

/// Longest time for writing a fixed response, and for closing a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes that are read and discarded while a connection is being closed.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// Response to a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    retry-after: 1\r\npollenshed-outcome: not-run\r\npollenshed-reason: too-many-connections\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Response to a head that did not arrive in time.
pub(super) const HEAD_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    pollenshed-outcome: not-run\r\npollenshed-reason: head-timeout\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Returns the response to a request that gives two lengths for its body.
pub(super) fn conflicting_lengths() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::default());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    headers.insert(REASON_HEADER, HeaderValue::from_static("conflicting-lengths"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Refuses connections beyond the limit.
pub(super) struct Refuser(Arc<Semaphore>);

impl Default for Refuser {
    fn default() -> Refuser {
        Refuser(Arc::new(Semaphore::new(MAX_REFUSALS)))
    }
}

impl Refuser {
    /// Responds 503 and closes; just closes if too many refusals are under way.
    pub fn refuse(&self, stream: TcpStream) {
        if let Ok(permit) = self.0.clone().try_acquire_owned() {
            tokio::spawn(async move {
                respond_and_close(stream, TOO_MANY_CONNECTIONS).await;
                drop(permit);
            });
        }
    }
}

/// Writes a fixed response and closes the connection.
pub(super) async fn respond_and_close(mut stream: TcpStream, response: &'static [u8]) {
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, stream.write_all(response)).await;
    close(stream).await;
}

/// Closes a connection so that the caller can still read its response.
///
/// Closing a socket with unread bytes resets the connection, and a reset discards what the caller
/// has not read yet, so incoming bytes are read and discarded first, within a limit on time and
/// size.
pub(super) async fn close(mut stream: TcpStream) {
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, async {
        stream.shutdown().await?;
        let mut buffer = vec![0; 16 * 1024];
        let mut remaining_bytes = MAX_DISCARDED_BYTES;
        while remaining_bytes > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                read => remaining_bytes = remaining_bytes.saturating_sub(read),
            }
        }
        Ok::<_, std::io::Error>(())
    })
    .await;
}
