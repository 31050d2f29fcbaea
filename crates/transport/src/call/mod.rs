//! Short HTTP calls to the store and to other instances.
//!
//! An [`HttpClient`] keeps one connection open and closes it after any error or timeout, since no
//! further response follows on a connection that has lost one.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use tokio::{task::JoinHandle, time::timeout};

use crate::forward::{InterimCount, connect, handshake};

/// Time limit on connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest response body. A page of the store has at most 1 MB of content, and its encoding adds to
/// that.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why a call failed. Only after [`CallError::Connect`] is it certain that the server did not
/// receive it.
#[derive(Debug)]
pub enum CallError {
    /// The connection could not be established.
    Connect(std::io::Error),
    /// No complete response arrived in time.
    Timeout,
    /// The exchange failed, usually because the connection was lost.
    ConnectionLost(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connect(e) => write!(f, "cannot connect: {e}"),
            CallError::Timeout => f.write_str("no response before the timeout"),
            CallError::ConnectionLost(e) => write!(f, "the connection was lost: {e}"),
        }
    }
}

impl std::error::Error for CallError {}

struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    interim: InterimCount,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A client of one server that makes one call at a time.
pub struct HttpClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl HttpClient {
    /// Creates a client of `address` that connects with its first call.
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient { address, connection: None }
    }

    /// Sends a request with a JSON body and reads the complete response. `time_limit` does not
    /// include connecting.
    pub async fn call(
        &mut self,
        method: Method,
        target: &str,
        body: impl Into<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        // The connection is moved out, so that it is closed if the call fails or is cancelled.
        let connection = self.connection.take().filter(|c| !c.sender.is_closed());
        let mut connection = match connection {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(target)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(|e| CallError::ConnectionLost(e.to_string()))?;
        connection.interim.observe(&mut request);
        let exchange = async {
            let response = connection.sender.send_request(request).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await?.to_bytes();
            Ok::<_, Box<dyn std::error::Error + Send + Sync>>(Response::from_parts(head, body))
        };
        let response = timeout(time_limit, exchange)
            .await
            .map_err(|_| CallError::Timeout)?
            .map_err(|e| CallError::ConnectionLost(e.to_string()))?;
        self.connection = Some(connection);
        Ok(response)
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let stream = connect(self.address, CONNECT_TIMEOUT).await.map_err(CallError::Connect)?;
        let (sender, connection, interim) =
            handshake(stream).await.map_err(|e| CallError::ConnectionLost(e.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // The call that waits for the response gets the error.
            let _ = connection.await;
        });
        Ok(Connection { sender, interim, task })
    }
}
