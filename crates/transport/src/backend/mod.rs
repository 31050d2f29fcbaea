//! Client of backend servers. `pollenshed_protocol::backend` describes the wire format.

mod parts;

use std::{
    io::{ErrorKind, Read},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use pollenshed_protocol::{
    backend::{
        DEADLINE_HEADER, DRAINING_HEADER, HealthBody, LoadBody, REQUEST_ID_HEADER, SHED_HEADER,
    },
    peer::{Header, HttpAnswer, HttpRequest},
};
use ureq::{
    Agent, AsSendBody, SendBody,
    http::{HeaderName, HeaderValue, Request, Response, request::Builder},
};

pub use parts::{BodyPart, PartError, PartsBody};

/// Timeout of health, load and cancel calls.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Idle connections to one backend server that are kept for idempotent requests.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 4;

/// Idle connections older than this are closed, so that the client usually closes before the server
/// does.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Hop-by-hop headers, which apply to one connection only, and headers that the HTTP client sets.
/// They are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
    "host",
];

/// Outcome of a request to a backend server.
#[derive(Debug)]
pub enum BackendOutcome {
    /// The server ran the request and sent a complete response.
    Answered {
        /// The response.
        answer: HttpAnswer,
        /// Whether the server reported that it is draining.
        draining: bool,
    },
    /// The server shed the request without running it.
    Shed {
        /// Whether the server reported that it is draining.
        draining: bool,
    },
    /// No connection was established, or the request was invalid, so the request did not run.
    ConnectFailed(String),
    /// The connection broke after the request may have been sent.
    ConnectionLost(String),
    /// The timeout passed before the response was complete. The request may have run.
    TimedOut,
    /// The response body exceeds [`BackendRequest::max_answer_bytes`]. The request ran.
    AnswerTooLarge,
    /// The request body could not be read before anything was sent, so the request did not run.
    BodyUnavailable(String),
}

/// Outcome of a cancel call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The request ran and has stopped; its slot is free.
    Stopped,
    /// The server knows no such request: it has ended or not arrived yet.
    NotRunning,
    /// The call failed, or the request still runs.
    Unknown(String),
}

/// A client of backend servers. Calls block; clones share a connection pool.
#[derive(Debug, Clone)]
pub struct BackendClient {
    pooled: Agent,
    unpooled: Agent,
    control: Agent,
}

/// One request to a backend server.
pub struct BackendRequest<'a> {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// The caller's request.
    pub request: &'a HttpRequest,
    /// Id by which responses are matched and the request can be cancelled.
    pub request_id: &'a str,
    /// Time until the deadline, for the whole exchange; also sent to the server.
    pub timeout: Duration,
    /// Whether the request may run more than once, which allows a pooled connection.
    pub idempotent: bool,
    /// Largest response body in bytes.
    pub max_answer_bytes: u64,
}

impl BackendClient {
    /// Creates a client that connects with its first call.
    pub fn open() -> BackendClient {
        BackendClient {
            pooled: agent(MAX_IDLE_CONNECTIONS_PER_SERVER, None),
            unpooled: agent(0, None),
            control: agent(0, Some(CONTROL_TIMEOUT)),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// A non-idempotent request gets a new connection: on a pooled connection that the server has
    /// just closed, the client could not tell whether the request ran.
    pub fn send(&self, backend_request: &BackendRequest<'_>) -> BackendOutcome {
        let agent = if backend_request.idempotent { &self.pooled } else { &self.unpooled };
        let body = backend_request.request.body.to_vec();
        match request_builder(backend_request)
            .and_then(|builder| builder.body(body).map_err(|e| e.to_string()))
        {
            Ok(request) => run_request(agent, request, backend_request),
            Err(e) => BackendOutcome::ConnectFailed(e),
        }
    }

    /// Sends a request whose body is read part by part, on a new connection.
    ///
    /// The `content-length` is the sum of all parts. If a part is missing or corrupt, the
    /// connection is closed before that length is reached.
    pub fn send_parts(
        &self,
        backend_request: &BackendRequest<'_>,
        mut body: PartsBody<'_>,
    ) -> BackendOutcome {
        let length_bytes = body.length_bytes();
        let builder = request_builder(backend_request)
            .map(|builder| builder.header("content-length", length_bytes));
        let request = builder.and_then(|builder| {
            builder.body(SendBody::from_reader(&mut body)).map_err(|e| e.to_string())
        });
        match request {
            Ok(request) => run_request(&self.unpooled, request, backend_request),
            Err(e) => BackendOutcome::ConnectFailed(e),
        }
    }

    /// Calls the health endpoint; the error is a text for people.
    pub fn health(&self, address: SocketAddr) -> Result<HealthBody, String> {
        self.get_json(&format!("http://{address}/health"))
    }

    /// Calls the load endpoint; the error is a text for people.
    pub fn load(&self, address: SocketAddr) -> Result<LoadBody, String> {
        self.get_json(&format!("http://{address}/load"))
    }

    /// Asks a server to cancel a request whose result is no longer needed.
    pub fn cancel(&self, address: SocketAddr, request_id: &str) -> CancelOutcome {
        let id = request_id.replace(['/', '#', '?', '%'], "_");
        let url = format!("http://{address}/cancel/{id}");
        match self.control.post(url).send_empty().map(|response| response.status().as_u16()) {
            Ok(200) => CancelOutcome::Stopped,
            Ok(404) => CancelOutcome::NotRunning,
            Ok(status) => CancelOutcome::Unknown(format!("status {status}")),
            Err(e) => CancelOutcome::Unknown(e.to_string()),
        }
    }

    fn get_json<T: serde::de::DeserializeOwned>(&self, url: &str) -> Result<T, String> {
        let mut response = self.control.get(url).call().map_err(|e| e.to_string())?;
        response.body_mut().read_json().map_err(|e| e.to_string())
    }
}

fn agent(max_idle: usize, timeout: Option<Duration>) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections_per_host(max_idle)
        .max_idle_age(MAX_IDLE_AGE)
        .timeout_global(timeout)
        .build()
        .into()
}

fn run_request(
    agent: &Agent,
    request: Request<impl AsSendBody>,
    backend_request: &BackendRequest<'_>,
) -> BackendOutcome {
    let request = agent
        .configure_request(request)
        .timeout_global(Some(backend_request.timeout))
        .allow_non_standard_methods(true)
        .build();
    match agent.run(request) {
        Ok(mut response) => read_response(&mut response, backend_request),
        Err(e) => error_outcome(&e),
    }
}

fn request_builder(backend_request: &BackendRequest<'_>) -> Result<Builder, String> {
    let deadline_ms = backend_request.timeout.as_millis().to_string();
    let mut builder = Request::builder()
        .method(backend_request.request.method.as_str())
        .uri(format!("http://{}{}", backend_request.address, backend_request.request.path));
    for header in backend_request.request.headers.iter().filter(|h| is_forwarded_header(&h.name)) {
        let name = HeaderName::try_from(header.name.as_str()).map_err(|e| e.to_string())?;
        let value = HeaderValue::try_from(header.value.as_str()).map_err(|e| e.to_string())?;
        builder = builder.header(name, value);
    }
    Ok(builder
        .header(DEADLINE_HEADER, deadline_ms)
        .header(REQUEST_ID_HEADER, backend_request.request_id))
}

/// Returns whether a header is forwarded between callers and backend servers. Hop-by-hop headers
/// and pollenshed's own headers are not.
pub fn is_forwarded_header(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
        && !name.to_ascii_lowercase().starts_with("pollenshed-")
}

fn read_response(
    response: &mut Response<ureq::Body>,
    backend_request: &BackendRequest<'_>,
) -> BackendOutcome {
    // A response with another request id belongs to another request, whatever it says.
    if let Some(id) = response.headers().get(REQUEST_ID_HEADER)
        && id.as_bytes() != backend_request.request_id.as_bytes()
    {
        return BackendOutcome::ConnectionLost("answer names another request".to_owned());
    }
    let is_set = |name: &str| response.headers().get(name).is_some_and(|v| v == "1");
    let draining = is_set(DRAINING_HEADER);
    if response.status() == 503 && is_set(SHED_HEADER) {
        return BackendOutcome::Shed { draining };
    }
    let status = u32::from(response.status().as_u16());
    if !(200..600).contains(&status) {
        return BackendOutcome::ConnectionLost(format!("no final answer has status {status}"));
    }
    let headers = response_headers(response);
    let content_length = response.body().content_length();
    if content_length.is_some_and(|n| n > backend_request.max_answer_bytes) {
        return BackendOutcome::AnswerTooLarge;
    }
    let mut body = Vec::new();
    let reader = response.body_mut().with_config().limit(u64::MAX).reader();
    match reader.take(backend_request.max_answer_bytes + 1).read_to_end(&mut body) {
        Err(e) if e.kind() == ErrorKind::TimedOut => return BackendOutcome::TimedOut,
        Err(e) => return BackendOutcome::ConnectionLost(e.to_string()),
        Ok(_) => {}
    }
    if body.len() as u64 > backend_request.max_answer_bytes {
        return BackendOutcome::AnswerTooLarge;
    }
    if backend_request.request.method != "HEAD"
        && content_length.is_some_and(|n| n != body.len() as u64)
    {
        return BackendOutcome::ConnectionLost("answer is shorter than announced".to_owned());
    }
    let answer = HttpAnswer { status, headers, body: Bytes::from(body) };
    BackendOutcome::Answered { answer, draining }
}

fn response_headers(response: &Response<ureq::Body>) -> Vec<Header> {
    response
        .headers()
        .iter()
        .filter(|(name, _)| is_forwarded_header(name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}

fn error_outcome(error: &ureq::Error) -> BackendOutcome {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_) => BackendOutcome::ConnectFailed(error.to_string()),
        ureq::Error::Timeout(_) => BackendOutcome::TimedOut,
        ureq::Error::Io(e) if e.kind() == ErrorKind::ConnectionRefused => {
            BackendOutcome::ConnectFailed(error.to_string())
        }
        _ => BackendOutcome::ConnectionLost(error.to_string()),
    }
}
