//! One HTTP request to one entry, and its result.

use std::{
    io::{ErrorKind, Read},
    net::SocketAddr,
    time::Duration,
};

use pollenshed_protocol::caller::{
    BACKEND_SERVER_HEADER, OUTCOME_HEADER, Outcome as OutcomeValue, REASON_HEADER, RefusalBody,
};
use ureq::{
    Agent, Body,
    http::{Request, Response, request::Builder},
};

use crate::{Answer, Failure};

/// Reason of a request whose answer is larger than the entry or the application allows.
pub(crate) const ANSWER_TOO_LARGE: &str = "answer-too-large";

/// An HTTP request to an entry.
pub(crate) struct Exchange<'a> {
    pub method: &'a str,
    pub entry: SocketAddr,
    /// Path and query.
    pub path: &'a str,
    pub headers: &'a [(&'a str, String)],
    /// `None` for a method without a body.
    pub body: Option<&'a [u8]>,
    pub timeout: Duration,
    /// Largest body of the answer.
    pub max_answer_bytes: u64,
}

/// The result of one request.
pub(crate) enum Reply {
    /// The complete answer of a backend server.
    Done(Answer),
    /// The entry reports that the request did not run.
    NotRun(Failure),
    /// The entry reports that the request may have run.
    Unknown(Failure),
    /// No connection could be opened, so nothing was sent.
    Unreachable(String),
    /// The entry may have received the request, but no complete answer with an outcome arrived.
    Lost(String),
}

/// A complete HTTP answer.
pub(crate) struct RawAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The reason why no complete HTTP answer arrived.
pub(crate) enum NoAnswer {
    Unreachable(String),
    Lost(String),
    /// The body exceeds [`Exchange::max_answer_bytes`]. The rest is not read.
    TooLarge(String),
}

impl NoAnswer {
    /// Returns the reason as a text.
    pub fn into_text(self) -> String {
        match self {
            NoAnswer::Unreachable(e) | NoAnswer::Lost(e) | NoAnswer::TooLarge(e) => e,
        }
    }
}

impl RawAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Parses the failure that pollenshed itself reports in this answer.
    pub fn failure(&self) -> Failure {
        let body = serde_json::from_slice::<RefusalBody>(&self.body).ok();
        let reason = self.header(REASON_HEADER).unwrap_or("invalid").to_owned();
        let seconds = self.header("retry-after").and_then(|v| v.parse().ok());
        Failure {
            reason,
            detail: body.map_or_else(|| format!("status {}", self.status), |b| b.detail),
            status: Some(self.status),
            retry_after: seconds.map(Duration::from_secs),
        }
    }
}

impl Exchange<'_> {
    /// Sends the request and reads its outcome.
    pub fn run(&self, agent: &Agent) -> Reply {
        match self.send(agent) {
            Ok(raw) => parse_reply(raw),
            Err(NoAnswer::Unreachable(e)) => Reply::Unreachable(e),
            Err(NoAnswer::Lost(e)) => Reply::Lost(e),
            Err(NoAnswer::TooLarge(e)) => Reply::Unknown(Failure::local(ANSWER_TOO_LARGE, e)),
        }
    }

    /// Sends the request and reads the complete answer.
    pub fn send(&self, agent: &Agent) -> Result<RawAnswer, NoAnswer> {
        let uri = format!("http://{}{}", self.entry, self.path);
        let mut builder = Request::builder().method(self.method).uri(uri);
        for (name, value) in self.headers {
            builder = builder.header(*name, value);
        }
        let mut answer = self.call(agent, builder).map_err(|e| classify_error(&e))?;
        read_answer(&mut answer, self.method == "HEAD", self.max_answer_bytes)
    }

    fn call(&self, agent: &Agent, builder: Builder) -> Result<Response<Body>, ureq::Error> {
        let timeout = Some(self.timeout);
        match self.body {
            Some(body) => {
                let request = builder.body(body).map_err(ureq::Error::from)?;
                agent.run(agent.configure_request(request).timeout_global(timeout).build())
            }
            None => {
                let request = builder.body(()).map_err(ureq::Error::from)?;
                agent.run(agent.configure_request(request).timeout_global(timeout).build())
            }
        }
    }
}

fn read_answer(
    answer: &mut Response<Body>,
    is_head: bool,
    max_bytes: u64,
) -> Result<RawAnswer, NoAnswer> {
    let status = answer.status().as_u16();
    let headers = answer
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    let announced_bytes = answer.body().content_length();
    let mut body = Vec::new();
    let reader = answer.body_mut().with_config().limit(u64::MAX).reader();
    let read = reader.take(max_bytes.saturating_add(1)).read_to_end(&mut body);
    read.map_err(|e| NoAnswer::Lost(e.to_string()))?;
    if body.len() as u64 > max_bytes {
        return Err(NoAnswer::TooLarge(format!("the answer has more than {max_bytes} bytes")));
    }
    if !is_head && announced_bytes.is_some_and(|n| n != body.len() as u64) {
        return Err(NoAnswer::Lost(
            "the answer body is shorter than its content-length".to_owned(),
        ));
    }
    Ok(RawAnswer { status, headers, body })
}

fn parse_reply(raw: RawAnswer) -> Reply {
    match raw.header(OUTCOME_HEADER).map(str::parse::<OutcomeValue>) {
        Some(Ok(OutcomeValue::Done)) => {
            let backend_server = raw.header(BACKEND_SERVER_HEADER).unwrap_or_default().to_owned();
            let RawAnswer { status, headers, body } = raw;
            Reply::Done(Answer { status, headers, body, backend_server })
        }
        Some(Ok(OutcomeValue::NotRun)) => Reply::NotRun(raw.failure()),
        Some(Ok(OutcomeValue::Unknown)) => Reply::Unknown(raw.failure()),
        // The HTTP layer of an entry rejects malformed requests without an outcome header.
        _ if (400..500).contains(&raw.status) => Reply::NotRun(raw.failure()),
        _ => Reply::Lost(format!("answer with status {} and without a known outcome", raw.status)),
    }
}

fn classify_error(error: &ureq::Error) -> NoAnswer {
    let text = error.to_string();
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => NoAnswer::Unreachable(text),
        ureq::Error::Io(e) if e.kind() == ErrorKind::ConnectionRefused => {
            NoAnswer::Unreachable(text)
        }
        _ => NoAnswer::Lost(text),
    }
}
