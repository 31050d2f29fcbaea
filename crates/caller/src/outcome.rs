//! Results of calls.

use std::{fmt, time::Duration};

/// The result of a call. Failed requests are reported as ordinary values too, not as errors.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A backend server ran the request. This is its complete answer.
    Done(Answer),
    /// The request did not run and will not run. It is safe to send it again as a new request.
    NotRun(Failure),
    /// The request may have run. Only the application can find out whether it did.
    Unknown(Failure),
}

/// The complete answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers as names and values. The names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Name of the backend server that ran the request.
    pub backend_server: String,
}

/// Why there is no answer from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// A reason listed in `docs/callers.md`, or one that this library sets itself: `unreachable`,
    /// `connection-lost`, `no-entry`, `deadline`, `read-failed` or `invalid`.
    pub reason: String,
    /// Explanation for people.
    pub detail: String,
    /// HTTP status, if an entry answered.
    pub status: Option<u16>,
    /// Shortest wait before another request, if the entry sent `retry-after`.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure that this library detected itself, without an answer of an entry.
    pub(crate) fn local(reason: &str, detail: impl Into<String>) -> Failure {
        Failure {
            reason: reason.to_owned(),
            detail: detail.into(),
            status: None,
            retry_after: None,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.reason, self.detail)
    }
}
