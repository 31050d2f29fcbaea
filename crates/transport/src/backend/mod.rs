//! Client of backend servers. The wire form is described in `pollenshed_protocol::backend`.

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

/// Idle connections to a backend server that are kept for idempotent work.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 4;

/// Idle connections older than this are closed, so that most are closed by this side first.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Headers that belong to one connection and are not passed on.
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

/// What became of a request at a backend server.
#[derive(Debug)]
pub enum BackendOutcome {
    /// The server ran the request; this is its whole answer.
    Answered {
        /// The answer.
        answer: HttpAnswer,
        /// Whether the server said that it is leaving.
        draining: bool,
    },
    /// The server shed the request without running it.
    Shed {
        /// Whether the server said that it is leaving.
        draining: bool,
    },
    /// No connection was made, so the request did not run.
    ConnectFailed(String),
    /// The connection broke after the request may have been sent.
    ConnectionLost(String),
    /// The deadline passed before the whole answer was there.
    TimedOut,
    /// The answer is larger than allowed.
    AnswerTooLarge,
    /// The body could not be read before anything was sent, so the request did not run.
    BodyUnavailable(String),
}

/// What a server said about a request that it was asked to cancel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The request ran and has stopped; it holds no slot any more.
    Stopped,
    /// The server knows no such request: it has ended, or has not arrived yet.
    NotRunning,
    /// The server did not say, or still runs the request.
    Unknown(String),
}

/// A client of backend servers. Calls block; clones share connections.
#[derive(Debug, Clone)]
pub struct BackendClient {
    pooled: Agent,
    fresh: Agent,
    control: Agent,
}

/// One request to a backend server.
pub struct BackendRequest<'a> {
    /// Address of the server.
    pub address: SocketAddr,
    /// The caller's request.
    pub request: &'a HttpRequest,
    /// Id for matching and cancelling.
    pub request_id: &'a str,
    /// Time left.
    pub timeout: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Largest answer body.
    pub max_answer_bytes: u64,
}

impl BackendClient {
    /// Prepares a client; no connection is made before the first call.
    pub fn open() -> BackendClient {
        BackendClient {
            pooled: agent(MAX_IDLE_CONNECTIONS_PER_SERVER, None),
            fresh: agent(0, None),
            control: agent(0, Some(CONTROL_TIMEOUT)),
        }
    }

    /// Sends one request and reads the whole answer.
    ///
    /// Non-idempotent work gets a connection of its own: on a pooled connection that the server has
    /// just closed, the client could not tell whether the request ran.
    pub fn send(&self, send: &BackendRequest<'_>) -> BackendOutcome {
        let agent = if send.idempotent { &self.pooled } else { &self.fresh };
        let body = send.request.body.to_vec();
        match request_head(send).and_then(|head| head.body(body).map_err(|e| e.to_string())) {
            Ok(request) => run(agent, request, send),
            Err(e) => BackendOutcome::ConnectFailed(e),
        }
    }

    /// Sends one request whose body is read in parts, on a connection of its own.
    ///
    /// The whole length is announced first. When a part is missing or wrong, the connection is broken
    /// before that length is reached.
    pub fn send_parts(&self, send: &BackendRequest<'_>, mut body: PartsBody<'_>) -> BackendOutcome {
        let length_bytes = body.length_bytes();
        let head = request_head(send).map(|head| head.header("content-length", length_bytes));
        let request = head.and_then(|head| {
            head.body(SendBody::from_reader(&mut body)).map_err(|e| e.to_string())
        });
        match request {
            Ok(request) => run(&self.fresh, request, send),
            Err(e) => BackendOutcome::ConnectFailed(e),
        }
    }

    /// Reads the health endpoint.
    pub fn health(&self, address: SocketAddr) -> Result<HealthBody, String> {
        self.get_json(&format!("http://{address}/health"))
    }

    /// Reads the load endpoint.
    pub fn load(&self, address: SocketAddr) -> Result<LoadBody, String> {
        self.get_json(&format!("http://{address}/load"))
    }

    /// Tells a server that nobody waits for a request any more.
    pub fn cancel(&self, address: SocketAddr, request_id: &str) -> CancelOutcome {
        let id = request_id.replace(['/', '#', '?', '%'], "_");
        let url = format!("http://{address}/cancel/{id}");
        match self.control.post(url).send_empty().map(|answer| answer.status().as_u16()) {
            Ok(200) => CancelOutcome::Stopped,
            Ok(404) => CancelOutcome::NotRunning,
            Ok(status) => CancelOutcome::Unknown(format!("status {status}")),
            Err(e) => CancelOutcome::Unknown(e.to_string()),
        }
    }

    fn get_json<T: serde::de::DeserializeOwned>(&self, url: &str) -> Result<T, String> {
        let mut answer = self.control.get(url).call().map_err(|e| e.to_string())?;
        answer.body_mut().read_json().map_err(|e| e.to_string())
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

fn run(
    agent: &Agent,
    request: Request<impl AsSendBody>,
    send: &BackendRequest<'_>,
) -> BackendOutcome {
    let request = agent
        .configure_request(request)
        .timeout_global(Some(send.timeout))
        .allow_non_standard_methods(true)
        .build();
    match agent.run(request) {
        Ok(mut answer) => read_answer(&mut answer, send),
        Err(e) => outcome_of_error(&e),
    }
}

fn request_head(send: &BackendRequest<'_>) -> Result<Builder, String> {
    let deadline_ms = send.timeout.as_millis().to_string();
    let mut builder = Request::builder()
        .method(send.request.method.as_str())
        .uri(format!("http://{}{}", send.address, send.request.path));
    for header in send.request.headers.iter().filter(|h| is_forwarded_header(&h.name)) {
        let name = HeaderName::try_from(header.name.as_str()).map_err(|e| e.to_string())?;
        let value = HeaderValue::try_from(header.value.as_str()).map_err(|e| e.to_string())?;
        builder = builder.header(name, value);
    }
    Ok(builder.header(DEADLINE_HEADER, deadline_ms).header(REQUEST_ID_HEADER, send.request_id))
}

/// Tells whether a header belongs to the request and not to one connection.
pub fn is_forwarded_header(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
        && !name.to_ascii_lowercase().starts_with("pollenshed-")
}

fn read_answer(answer: &mut Response<ureq::Body>, send: &BackendRequest<'_>) -> BackendOutcome {
    let is_set = |name: &str| answer.headers().get(name).is_some_and(|v| v == "1");
    let draining = is_set(DRAINING_HEADER);
    if answer.status() == 503 && is_set(SHED_HEADER) {
        return BackendOutcome::Shed { draining };
    }
    // An answer that names another request belongs to somebody else and must not be passed on.
    if let Some(id) = answer.headers().get(REQUEST_ID_HEADER)
        && id.as_bytes() != send.request_id.as_bytes()
    {
        return BackendOutcome::ConnectionLost("answer names another request".to_owned());
    }
    let status = u32::from(answer.status().as_u16());
    let headers = answer_headers(answer);
    let announced = answer.body().content_length();
    if announced.is_some_and(|n| n > send.max_answer_bytes) {
        return BackendOutcome::AnswerTooLarge;
    }
    let mut body = Vec::new();
    let reader = answer.body_mut().with_config().limit(u64::MAX).reader();
    match reader.take(send.max_answer_bytes + 1).read_to_end(&mut body) {
        Err(e) if e.kind() == ErrorKind::TimedOut => return BackendOutcome::TimedOut,
        Err(e) => return BackendOutcome::ConnectionLost(e.to_string()),
        Ok(_) => {}
    }
    if body.len() as u64 > send.max_answer_bytes {
        return BackendOutcome::AnswerTooLarge;
    }
    if send.request.method != "HEAD" && announced.is_some_and(|n| n != body.len() as u64) {
        return BackendOutcome::ConnectionLost("answer is shorter than announced".to_owned());
    }
    let answer = HttpAnswer { status, headers, body: Bytes::from(body) };
    BackendOutcome::Answered { answer, draining }
}

fn answer_headers(answer: &Response<ureq::Body>) -> Vec<Header> {
    answer
        .headers()
        .iter()
        .filter(|(name, _)| is_forwarded_header(name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}

fn outcome_of_error(error: &ureq::Error) -> BackendOutcome {
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
