//! A request that needs a backend server, and the decision on it.

use std::fmt;

use pollenshed_state::ids::{BackendServerName, InstanceName, RegionName, ServiceName};

use super::cold::cold_senders;

/// A request that needs a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Service that runs the request.
    pub service: &'a ServiceName,
    /// Key of the run time estimate, which identifies the route and the service.
    pub estimate_key: u64,
    /// Key of the object that the request is for, or `None` if any server suits it equally well.
    pub object_key: Option<u64>,
    /// Regions whose servers may run the request. If empty, all may.
    pub home_regions: &'a [RegionName],
    /// Size of the body and, as far as known, of the answer.
    pub bytes: u64,
    /// Time from the arrival of the request within which it should be answered.
    pub target_ms: f64,
    /// What is left of the target; negative once it has passed.
    pub target_left_ms: f64,
    /// Time left until the deadline of the request.
    pub left_ms: f64,
    /// The request must not run twice.
    pub at_most_once: bool,
    /// The body is large, so that links between regions should not carry it.
    pub has_large_body: bool,
    /// Urgency; 0 is the most urgent. It counts only while there is too little room for all.
    pub rank: u32,
    /// Key of the workspace on whose behalf the request comes, see [`workspace_key`].
    ///
    /// [`workspace_key`]: super::workspace_key
    pub workspace: Option<u64>,
    /// Servers that must not be chosen, because the request was sent to them already.
    pub tried: &'a [BackendServerName],
    /// Random number that spreads the retry times of refused callers.
    pub jitter_seed: u64,
}

/// Limits on the requests that are sent to cold servers.
#[derive(Clone, Copy)]
pub struct ColdLimits<'a> {
    /// This instance.
    pub instance: &'a InstanceName,
    /// Returns the live instances of this instance's region, including itself. It is called for cold
    /// servers only, since few requests meet one.
    pub region_instances: &'a dyn Fn() -> &'a [InstanceName],
    /// Requests a second that a cold server of the service tolerates from all instances together.
    pub rate_per_s: f64,
    /// Requests that a cold server tolerates at once.
    pub burst: f64,
}

impl ColdLimits<'_> {
    /// Returns this instance's share of the rate of a cold server, or `None` if it must not send to
    /// the server.
    pub(super) fn share_per_s(&self, name: &BackendServerName) -> Option<f64> {
        let senders = cold_senders(name, (self.region_instances)(), self.burst);
        senders.contains(&self.instance).then(|| self.rate_per_s / senders.len() as f64)
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No server of the service may be used.
    NoServer,
    /// All usable servers are too busy for the request.
    Busy,
    /// The time left is too short for a run on any server.
    TooLate,
    /// The slots that are left are kept for more urgent requests, or for workspaces that ask for no
    /// more than usual.
    Reserved,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalReason::NoServer => "no-server",
            RefusalReason::Busy => "busy",
            RefusalReason::TooLate => "too-late",
            RefusalReason::Reserved => "reserved",
        })
    }
}

/// Decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send the request to a server.
    Send {
        /// The server.
        server: BackendServerName,
        /// Number of requests that run or wait at the server, as far as known.
        load: u32,
        /// Expected time until the answer.
        expected_ms: f64,
        /// Time after which the server counts as silent if it has answered no request since this
        /// one was sent.
        silence_timeout_ms: f64,
        /// The request has to wait, because all slots of the server are taken.
        waits: bool,
        /// Share of the server's rate that this instance may use; infinite unless the server is
        /// cold.
        cold_rate_per_s: f64,
    },
    /// Refuse the request as not run.
    Refuse {
        /// Reason that is reported to the caller.
        reason: RefusalReason,
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
}
