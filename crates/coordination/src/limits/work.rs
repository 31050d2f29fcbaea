//! What goes into and comes out of the scheduler.

use std::fmt;

use pollenshed_state::{
    config::Rank,
    ids::{BackendServerName, CallerName, Digest, ServiceName},
    time::Instant,
    units::{ByteSize, Slots},
};

/// Identifies a request at one owner. The owner never gives the same value to two requests.
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
    /// Id under which the scheduler reports what becomes of the request.
    pub id: WorkId,
    /// Service that must run it.
    pub service: ServiceName,
    /// How urgent it is.
    pub rank: Rank,
    /// Caller for fair queueing.
    pub caller: CallerName,
    /// When nobody waits for the answer any more.
    pub deadline: Instant,
    /// Backend servers that must not run it, because an earlier attempt failed there.
    pub excluded: Vec<BackendServerName>,
    /// Digest of service, method, path and body, for requests that crash backend servers.
    pub content: Digest,
    /// Memory that the request holds while it is queued.
    pub body_bytes: ByteSize,
    /// Whether the request comes from another failure domain. Such requests do not count as the
    /// owner's own demand in [`Headroom`].
    pub remote: bool,
}

/// Answer to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResult {
    /// The request waits. It ends by an assignment that is finished, by a refusal that `expire`
    /// returns or by `cancel`.
    Queued,
    /// The request was not accepted and did not run.
    Refused(Refusal),
}

/// Why a request is not run, and when a resend makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is not run.
    pub reason: RefusalReason,
    /// Time to wait before a resend, already jittered.
    pub retry_after_ms: u64,
}

/// Reason of a [`Refusal`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The request cannot finish before its deadline.
    Deadline,
    /// The queue is full and the caller or the rank holds more than its share of it.
    Overloaded,
    /// The content is suspected or known to crash backend servers and may not be tried here.
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
    /// The backend server, one slot of which is counted as in use until the request ends.
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
    /// The connection broke while the request ran, as it does when the server's process dies.
    Crashed,
    /// The request ended without telling anything about its content, as by a failed connection.
    Failed,
    /// Nobody waits any more, but the server may still run the request. The slot stays in use until
    /// `release`, or until ten seconds after the request's deadline.
    Abandoned,
}

/// Answer to a cancellation.
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
    /// No other owner can have work on the server.
    Empty,
    /// An earlier owner may have work on the server until this time, its longest deadline. Until
    /// then the slots count as in use, except those that a load report shows as free.
    UnknownUntil(Instant),
}

/// Whether a server can take its full load at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheState {
    /// The server can take its full load.
    Warm,
    /// The server's caches are empty, so its limit rises from one slot over the ramp time.
    Cold,
}

/// What a backend server says about its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the server says it runs.
    pub in_use: u64,
    /// Slots that the server says it has.
    pub slots: u64,
    /// Whether the server says it is leaving.
    pub draining: bool,
}

/// State of a backend server as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Takes work up to its limit.
    Ok,
    /// Takes work up to a limit that rises over the ramp time.
    Cold,
    /// Finishes its work and takes no more.
    Draining,
    /// Takes no work until `mark_up`.
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
    /// Requests that this owner runs there at most now.
    pub limit: u64,
    /// Declared slots.
    pub slots: Slots,
    /// State for operators.
    pub state: ServerState,
}

/// What an owner can take for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Headroom {
    /// Backend servers that take work, cold ones included.
    pub usable_servers: u64,
    /// Servers among them that are still ramping up.
    pub cold_servers: u64,
    /// Slots that are free now and not claimed by queued work.
    pub free_slots: u64,
    /// Requests per second from other failure domains that leave room for the owner's own demand,
    /// including those that already arrive.
    pub remote_requests_per_s: u64,
}
