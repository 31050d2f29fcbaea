//! Names of the callers' HTTP interface, described in `docs/callers.md`.

mod reason;
mod uploads;

use std::{fmt, net::SocketAddr, str::FromStr};

use pollenshed_state::ids::{FailureDomainName, InstanceName, ServiceName};
use serde::{Deserialize, Serialize};

pub use reason::{refused_before_ticket, resend_may_resolve};
pub use uploads::{
    MAX_PART_BYTES, MAX_PARTS, UploadComplete, UploadOpened, UploadPart, UploadStatus,
};

/// Request header: ticket of a non-idempotent request.
pub const TICKET_HEADER: &str = "pollenshed-ticket";
/// Request header: milliseconds left until the caller gives up.
pub const DEADLINE_HEADER: &str = "pollenshed-deadline-ms";
/// Request header: name of the caller, for fair queueing.
pub const CALLER_HEADER: &str = "pollenshed-caller";
/// Request header: the caller's own key for a request without a ticket.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header: digest of an upload's part.
pub const DIGEST_HEADER: &str = "pollenshed-digest";
/// Answer header: one of [`Outcome`].
pub const OUTCOME_HEADER: &str = "pollenshed-outcome";
/// Answer header: why the outcome is not `done`.
pub const REASON_HEADER: &str = "pollenshed-reason";
/// Answer header: backend server that ran the request.
pub const BACKEND_SERVER_HEADER: &str = "pollenshed-backend-server";

/// Outcome of a request, as [`OUTCOME_HEADER`] carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran the request and this is its whole answer.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        })
    }
}

/// Error of parsing a text that names no [`Outcome`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseOutcomeError;

impl fmt::Display for ParseOutcomeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected done, not-run or unknown")
    }
}

impl std::error::Error for ParseOutcomeError {}

impl FromStr for Outcome {
    type Err = ParseOutcomeError;

    fn from_str(text: &str) -> Result<Outcome, ParseOutcomeError> {
        match text {
            "done" => Ok(Outcome::Done),
            "not-run" => Ok(Outcome::NotRun),
            "unknown" => Ok(Outcome::Unknown),
            _ => Err(ParseOutcomeError),
        }
    }
}

/// Answer of `GET /v1/lookup`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LookupAnswer {
    /// Service that was asked for.
    pub service: ServiceName,
    /// How long the caller may cache the answer.
    pub ttl_ms: u64,
    /// Binding for tickets; it names the first entry.
    pub binding: String,
    /// Entries to use, the best first.
    pub entries: Vec<LookupEntry>,
}

/// One entry in a [`LookupAnswer`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LookupEntry {
    /// Instance that the entry runs on.
    pub instance: InstanceName,
    /// Its failure domain.
    pub failure_domain: FailureDomainName,
    /// Address where it accepts callers.
    pub address: SocketAddr,
}

/// Body of every answer that pollenshed itself gives instead of passing on a backend server's.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalBody {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Why the outcome is not `done`: a fixed word for scripts.
    pub reason: String,
    /// The reason as a sentence for people.
    pub detail: String,
}
