//! What became of a call.

use std::{fmt, time::Duration};

/// What became of a call. It is a value; no outcome is an error of the library.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A backend server ran the request and this is its whole answer.
    Done(Answer),
    /// The request did not run and will not run. Sending it again as a new request is safe.
    NotRun(Failure),
    /// The request may have run. Only its user can find out.
    Unknown(Failure),
}

/// A backend server's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Backend server that ran the request.
    pub backend_server: String,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Reason word of `docs/callers.md`, or `unreachable` or `connection-lost` from this library.
    pub reason: String,
    /// A sentence for people.
    pub detail: String,
    /// HTTP status, if an entry answered.
    pub status: Option<u16>,
    /// Shortest wait before another request, if an entry named one.
    pub retry_after: Option<Duration>,
}

impl Failure {
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
