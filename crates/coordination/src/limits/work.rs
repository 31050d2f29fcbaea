//! Input and output types of the scheduler.

use std::fmt;

use pollenshed_state::{
    config::Rank,
    ids::{BackendServerName, CallerName, Digest, ServiceName},
    time::Instant,
    units::{ByteSize, Slots},
};

/// Identifies a request at one owner, which never reuses an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

impl fmt::Display for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "work {}", self.0)
    }
}

/// A request that waits for a slot of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Id under which the scheduler reports the assignment or the refusal.
    pub id: WorkId,
    /// Service that must run it.
    pub service: ServiceName,
    /// How urgent it is.
    pub rank: Rank,
    /// Caller for fair queueing.
    pub caller: CallerName,
    /// Time at which the caller stops waiting for the answer.
    pub deadline: Instant,
    /// Backend servers that must not run it, because an earlier attempt failed there.
    pub excluded: Vec<BackendServerName>,
    /// Digest of service, method, path and body, under which crashes are recorded.
    pub content: Digest,
    /// Memory that the request holds while it is queued.
    pub body_bytes: ByteSize,
    /// Whether the request comes from another failure domain. Such requests do not count as local
    /// demand in [`Headroom`].
    pub remote: bool,
}

/// Result of [`Scheduler::submit`](super::Scheduler::submit).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResult {
    /// The request is queued. It ends when its assignment is finished, when `expire` returns a
    /// refusal for it, or by `cancel`.
    Queued,
    /// The request was not accepted and did not run.
    Refused(Refusal),
}

/// Why a request is not run, and when the sender may retry it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is not run.
    pub reason: RefusalReason,
    /// Time to wait before a retry, already jittered.
    pub retry_after_ms: u64,
}

/// Reason of a [`Refusal`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The request cannot finish before its deadline.
    Deadline,
    /// The queue or the entry is full, and the caller or the rank holds more than its share.
    Overloaded,
    /// The content is suspected or known to crash backend servers and may not run here.
    Quarantined,
    /// No owned backend server of the service may run the request.
    NoBackendServer,
    /// A request with this id is queued or running. That request is not affected.
    Duplicate,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalReason::Deadline => "deadline",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::NoBackendServer => "no backend server",
            RefusalReason::Duplicate => "duplicate",
        })
    }
}

/// A request to dispatch now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub id: WorkId,
    /// Backend server to run it. One of its slots counts as in use until the request ends.
    pub server: BackendServerName,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server answered after `latency_us`.
    Answered {
        /// Time from dispatch to the end of the answer.
        latency_us: u64,
    },
    /// The backend server refused to run the request.
    Shed,
    /// The connection broke while the request ran, which happens when the server process dies.
    Crashed,
    /// The request ended in a way that says nothing about its content, such as a failed connect.
    Failed,
    /// The caller stopped waiting, but the server may still run the request. The slot stays in use
    /// until `release`, or until ten seconds after the request's deadline.
    Abandoned,
}

/// Result of [`Scheduler::cancel`](super::Scheduler::cancel).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResult {
    /// The request was queued and will never be dispatched.
    Removed,
    /// The request was dispatched. Its slot stays in use until it is finished.
    Running,
    /// No such request is queued or running.
    NotFound,
}

/// A backend server that this instance owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// Name of the server.
    pub name: BackendServerName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Requests that it runs at the same time.
    pub slots: Slots,
}

/// What is known about the slots of a server when it is added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Occupancy {
    /// No other owner can have requests on the server.
    Empty,
    /// Requests of an earlier owner may run on the server until this time, the latest of their
    /// deadlines. Until then the slots count as in use, except those that a load report shows as
    /// free.
    UnknownUntil(Instant),
}

/// Whether a new server's caches are filled, so that it can take its full load at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheState {
    /// The server can take its full load.
    Warm,
    /// The server's caches are empty, so its limit rises from one slot over the ramp time.
    Cold,
}

/// Load that a backend server reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run on the server, from all owners.
    pub in_use: u64,
    /// Total slots of the server; may be fewer than configured.
    pub slots: u64,
    /// Whether the server is shutting down and wants no new requests.
    pub draining: bool,
}

/// State of a backend server, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests up to its limit.
    Ok,
    /// Takes requests up to a limit that rises over the ramp time.
    Cold,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// Takes no requests until `mark_up`.
    Down,
}

impl fmt::Display for ServerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ServerState::Ok => "ok",
            ServerState::Cold => "cold",
            ServerState::Draining => "draining",
            ServerState::Down => "down",
        })
    }
}

/// Status of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSnapshot {
    /// Name of the server.
    pub name: BackendServerName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Slots that this owner's requests hold, including abandoned ones.
    pub in_use: u64,
    /// Most requests that this owner may run there now.
    pub limit: u64,
    /// Declared slots.
    pub slots: Slots,
    /// State shown to operators.
    pub state: ServerState,
}

/// Spare capacity of an owner for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Headroom {
    /// Backend servers that take requests, cold ones included.
    pub usable_servers: u64,
    /// Servers among them that are still ramping up.
    pub cold_servers: u64,
    /// Slots that are free now and not needed by queued requests.
    pub free_slots: u64,
    /// Total rate of requests from other failure domains that still leaves room for local demand,
    /// including those that arrive already.
    pub remote_requests_per_s: u64,
}
