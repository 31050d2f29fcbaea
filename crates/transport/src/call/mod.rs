//! Short HTTP calls to the store and to other instances.
//!
//! A [`HttpClient`] keeps one connection and gives it up after any error or timeout, since an answer
//! that was lost on a connection is never followed by another one.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{task::JoinHandle, time::timeout};

use crate::forward::connect;

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest answer; one page of the store has at most 1 MB of content and its encoding.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why a call has no answer. Whether it was performed is not known unless the connection failed.
#[derive(Debug)]
pub enum CallError {
    /// No connection.
    Connect(std::io::Error),
    /// No answer in time.
    Timeout,
    /// The connection broke.
    ConnectionLost(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connect(e) => write!(f, "no connection: {e}"),
            CallError::Timeout => f.write_str("no answer in time"),
            CallError::ConnectionLost(e) => write!(f, "the connection broke: {e}"),
        }
    }
}

impl std::error::Error for CallError {}

struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Calls one address, one call at a time.
pub struct HttpClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl HttpClient {
    /// Creates a caller of `address` that connects with its first call.
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient { address, connection: None }
    }

    /// Makes a call and reads the whole answer.
    pub async fn call(
        &mut self,
        method: Method,
        target: &str,
        body: impl Into<Bytes>,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        // Taken out, so that the connection is closed if the call is abandoned.
        let connection = self.connection.take().filter(|c| !c.sender.is_closed());
        let mut connection = match connection {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let request = Request::builder()
            .method(method)
            .uri(target)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(|e| CallError::ConnectionLost(e.to_string()))?;
        let exchange = async {
            let answer = connection.sender.send_request(request).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await?;
            Ok::<_, Box<dyn std::error::Error + Send + Sync>>((status, body.to_bytes()))
        };
        let answer = timeout(time_limit, exchange)
            .await
            .map_err(|_| CallError::Timeout)?
            .map_err(|e| CallError::ConnectionLost(e.to_string()))?;
        self.connection = Some(connection);
        Ok(answer)
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let stream = connect(self.address, CONNECT_TIMEOUT).await.map_err(CallError::Connect)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| CallError::ConnectionLost(e.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // The error is seen by the call that waits for the answer.
            let _ = connection.await;
        });
        Ok(Connection { sender, task })
    }
}
